"""Explain where a flow is routed: `ebonystile explain`."""

import functools

import click

from ebonystile.commands import shell
from ebonystile.operator import explain, messages


@click.command("explain")
@click.argument("service")
@click.argument("flow", type=shell.IdType())
@click.option("--token", type=shell.IdType(), default=b"", help="Token of the caller's packets.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@shell.with_query_options
def show(context, service, flow, token, as_json):
    """Explain where packets of FLOW to SERVICE are sent, why, and at which revision.

    FLOW is the whole flow id in hex, as logs and the time line show it. Each process answers from
    its own view, so differences between them are visible.
    """
    flow = shell.require_full_id(flow, "a flow id")
    make = functools.partial(messages.ExplainRequest, service=service, flow=flow, token=token)
    route = explain.route_of(service, flow, context.query_all(make))
    if as_json:
        shell.print_json(explain.as_json(route))
    else:
        click.echo("\n".join(explain.lines(route)))
