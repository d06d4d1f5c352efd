"""Trace a carried flow through logs: `ebonystile trace`."""

import click

from ebonystile.commands import shell
from ebonystile.operator import carried


@click.command("trace")
@click.argument("flow")
@click.argument("logs", nargs=-1, type=click.File("r", errors="replace"))
@shell.report_errors
def show(flow, logs):
    """Show what became of FLOW, from the LOGS of all processes or standard input.

    FLOW is `caller>route`, each as ip:port, as the caller's own log names its connection. Lines of
    all processes are ordered by their clocks, which may differ by some ms.
    """
    lines = carried.select(shell.iter_lines(logs), carried.Filter(flow=flow))
    for line in lines:
        click.echo(carried.format_line(line, without="flow"))
    click.echo(carried.final_decision(lines))
