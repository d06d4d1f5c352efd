"""Show what the logs of the carrying daemons tell, in one order: `ebonystile logs`."""

import click

from ebonystile.commands import shell
from ebonystile.operator import carried


@click.command("logs")
@click.argument("logs", nargs=-1, type=click.File("r", errors="replace"))
@click.option("--process", default="", help="Only lines of this process.")
@click.option("--event", default="", help="Only events of this name.")
@click.option("--upstream", default="", help="Only events that name this upstream.")
@click.option("--at", type=shell.MomentType(), help="Only around this time, as lines show it.")
@click.option(
    "--within-s", type=click.IntRange(1), default=5, show_default=True, help="How far around."
)
@shell.report_errors
def show(logs, process, event, upstream, at, within_s):
    """Show what LOGS of the carrying daemons, or standard input, tell, merged into one time line.

    `ebonystile trace` follows one flow. Lines are put in order by their processes' clocks.
    """
    around = 1000 * within_s
    since, until = (0, None) if at is None else (at - around, at + around)
    wanted = carried.Filter(process, event, upstream, since=since, until=until)
    for line in carried.select(shell.iter_lines(logs), wanted):
        click.echo(carried.format_line(line))
