"""Show the merged logs of the carrying daemons: `ebonystile logs`."""

import click

from ebonystile.commands import shell
from ebonystile.operator import carried


@click.command("logs")
@click.argument("logs", nargs=-1, type=click.File("r", errors="replace"))
@click.option("--process", default="", help="Only lines of this process.")
@click.option("--event", default="", help="Only events of this name.")
@click.option("--upstream", default="", help="Only events that name this upstream.")
@click.option("--at", type=shell.MomentType(), help="Only around this time, as log lines show it.")
@click.option(
    "--within-s",
    type=click.IntRange(1),
    default=5,
    show_default=True,
    help="Seconds before and after --at.",
)
@shell.report_errors
def show(logs, process, event, upstream, at, within_s):
    """Merge LOGS of the carrying daemons, or standard input, into one time line.

    `ebonystile trace` follows one flow. Lines are ordered by the clocks of their processes.
    """
    around = 1000 * within_s
    since, until = (0, None) if at is None else (at - around, at + around)
    wanted = carried.Filter(process, event, upstream, since=since, until=until)
    for line in carried.select(shell.iter_lines(logs), wanted):
        click.echo(carried.format_line(line))
