"""Group disrupted flows by cause: `ebonystile causes`."""

import click

from ebonystile import errors
from ebonystile.commands import shell
from ebonystile.operator import carried, causes, events, links, tables

HEADERS = ("BEGAN", "CAUSE", "FLOWS", "MEDIAN MS", "LONGEST MS")
LINK_HEADERS = ("LINK OF", "BACKLOGS", "BUSY MS", "LONGEST WAIT MS", "DROPPED", "LOWEST MBIT/S")


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
    reset or served. Lines that the daemons suppressed (`lines_suppressed`) are not counted. A
    second table shows the balancers whose own links were busy or narrowed.
    """
    around = 1000 * within_s
    since, until = (0, None) if at is None else (at - around, at + around)
    lines = carried.select(shell.iter_lines(logs), carried.Filter(since=since, until=until))
    if not lines:
        reason = "no line of a carrying daemon for that time"
        raise errors.UserError(reason, step="read", peer="logs")
    click.echo(flow_table(causes.rows(causes.find_disruptions(lines), span_ms)))
    link_rows = links.rows(lines)
    if link_rows:
        click.echo(f"\n{link_table(link_rows)}")


def flow_table(rows: list[causes.Row]) -> str:
    """Return the table of the disrupted flows, or that there are none."""
    if not rows:
        return "No flow was disrupted."
    cells = [
        (
            events.time_text(row.span_start),
            row.text,
            str(row.flows),
            str(row.median_ms),
            str(row.max_ms),
        )
        for row in rows
    ]
    return tables.render(HEADERS, cells)


def link_table(rows: list[links.Row]) -> str:
    """Return the table of the links that were busy or narrowed."""
    cells = [
        (
            row.process,
            str(row.backlogs),
            str(row.busy_ms),
            str(row.longest_wait_ms),
            str(row.dropped),
            row.lowest_mbps or "as configured",
        )
        for row in rows
    ]
    return tables.render(LINK_HEADERS, cells)
