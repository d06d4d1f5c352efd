"""Start the balancer: `ebonystile-balancer --settings FILE`."""

import sys

import click

import ebonystile
from ebonystile import errors, settings
from ebonystile.daemon import balancer

EXIT_SETTINGS = 2
EXIT_FAILURE = 1


@click.command()
@click.option("--settings", "path", required=True, help="Settings file: JSON with comments.")
@click.version_option(ebonystile.__version__)
def main(path: str) -> None:
    """Run one balancer until SIGTERM, then leave gracefully."""
    try:
        balancer.run(settings.read_balancer(path))
    except errors.SettingsError as error:
        for fault in error.faults:
            click.echo(f"{path}: {fault}", err=True)
        sys.exit(EXIT_SETTINGS)
    except errors.EbonystileError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_FAILURE)


if __name__ == "__main__":
    main()
