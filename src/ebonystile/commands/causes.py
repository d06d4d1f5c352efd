"""Group disrupted flows by cause: `ebonystile causes`."""

import click

from ebonystile import errors
from ebonystile.commands import shell
from ebonystile.operator import carried, causes, events, tables

HEADERS = ("BEGAN", "CAUSE", "FLOWS", "MEDIAN MS", "LONGEST MS")


@click.command("causes")
@click.argument("logs", nargs=-1, type=click.File("r", errors="replace"))
@click.option("--at", type=shell.MomentType(), help="Only around this time, as log lines show it.")
@click.option(
    "--within-s",
    type=click.IntRange(1),
    default=5,
    show_default=True,
    help="Seconds before and after --at.",
)
@click.option(
    "--span-ms", type=click.IntRange(1), default=2_000, show_default=True, help="Length of a span."
)
@shell.report_errors
def show(logs, at, within_s, span_ms):
    """Show why callers had to wait or were not served, from the LOGS of all carrying daemons.

    Each flow counts once, in the span in which its disruption began, with the time until it was
    reset or served. Lines that the daemons suppressed (`lines_suppressed`) are not counted.
    """
    around = 1000 * within_s
    since, until = (0, None) if at is None else (at - around, at + around)
    lines = carried.select(shell.iter_lines(logs), carried.Filter(since=since, until=until))
    if not lines:
        reason = "no line of a carrying daemon for that time"
        raise errors.UserError(reason, step="read", peer="logs")
    rows = causes.rows(causes.find_disruptions(lines), span_ms)
    if not rows:
        click.echo("No flow was disrupted.")
        return
    cells = [
        (
            events.time_text(row.span_start),
            row.cause.value,
            str(row.flows),
            str(row.median_ms),
            str(row.max_ms),
        )
        for row in rows
    ]
    click.echo(tables.render(HEADERS, cells))
