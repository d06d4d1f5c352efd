"""Trace a carried flow through logs: `ebonystile trace`."""

import click

from ebonystile.commands import shell
from ebonystile.operator import carried, links


@click.command("trace")
@click.argument("flow")
@click.argument("logs", nargs=-1, type=click.File("r", errors="replace"))
@shell.report_errors
def show(flow, logs):
    """Show what became of FLOW, from the LOGS of all processes or standard input.

    FLOW is `caller>route`, each as ip:port, as the caller's own log names its connection. Lines of
    all processes are ordered by their clocks, which may differ by some ms. Lines that show a link
    of the flow's balancers as busy or narrowed at that time are among them.
    """
    lines = links.follow(shell.iter_lines(logs), flow)
    for line in lines:
        click.echo(carried.format_line(line, without="flow"))
    click.echo(carried.final_decision(lines))
    for sentence in links.explain(lines):
        click.echo(sentence)
