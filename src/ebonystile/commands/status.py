"""Show the status of all processes: `ebonystile status`."""

import click

from ebonystile.commands import shell
from ebonystile.operator import messages, status


@click.command("status")
@click.option("--json", "as_json", is_flag=True, help="Print a JSON array, one object per process.")
@shell.with_query_options
def show(context, as_json):
    """Show the status of every process in one table.

    A * marks a revision that is behind the newest. A process that doesn't answer is shown as
    unreachable; if none answers, the exit status is 1.
    """
    replies = context.query_all(messages.StatusRequest)
    if as_json:
        shell.print_json(status.as_json(replies))
    else:
        click.echo(status.table(replies))
