"""Start a balancer: `ebonystile-balancer`."""

import click

import ebonystile
from ebonystile import settings
from ebonystile.commands import shell
from ebonystile.daemon import balancer


@click.command(context_settings={"help_option_names": ["-h", "--help"]})
@click.option(
    "--settings", "path", required=True, type=click.Path(dir_okay=False), help="Settings file."
)
@click.version_option(ebonystile.__version__, prog_name="ebonystile-balancer")
@shell.telling_errors
def main(path):
    """Route callers' packets to sidecars until SIGTERM; then relay on until drained.

    Exit status: 0 after a graceful stop, 1 if it couldn't start or failed, 2 for wrong settings.
    """
    balancer.run(settings.read_balancer(path))


if __name__ == "__main__":
    main()
