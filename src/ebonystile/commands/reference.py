"""Print what can be set for each program: `ebonystile settings`."""

import click

from ebonystile.operator import reference


@click.command("settings")
def show():
    """Print every setting of each program with its form, its default and its meaning."""
    click.echo(reference.page(), nl=False)
