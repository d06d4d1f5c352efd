"""Start the process beside an upstream: `ebonystile-sidecar`."""

import click

import ebonystile
from ebonystile import settings
from ebonystile.commands import shell
from ebonystile.daemon import sidecar


@click.command(context_settings={"help_option_names": ["-h", "--help"]})
@click.option(
    "--settings", "path", required=True, type=click.Path(dir_okay=False), help="Settings file."
)
@click.version_option(ebonystile.__version__, prog_name="ebonystile-sidecar")
@shell.telling_errors
def main(path):
    """Hold the flows and requests of one upstream until SIGTERM; then finish and hand over.

    Exit status: 0 after a graceful stop, 1 if it couldn't start or failed, 2 for wrong settings.
    """
    sidecar.run(settings.read_sidecar(path))


if __name__ == "__main__":
    main()
