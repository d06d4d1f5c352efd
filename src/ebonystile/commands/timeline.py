"""Show the merged events of all processes: `ebonystile timeline`."""

import functools

import click

from ebonystile import clock
from ebonystile.commands import shell
from ebonystile.operator import events, messages


@click.command("timeline")
@click.option("--flow", type=shell.IdType(), default=b"", help="Only this flow.")
@click.option("--request", type=shell.IdType(), default=b"", help="Only this request.")
@click.option("--upstream", default="", help="Only events that name this upstream.")
@click.option("--event", default="", help="Only events of this name.")
@click.option("--last-s", type=click.IntRange(1), help="Only events of the last N seconds.")
@click.option(
    "--limit",
    type=click.IntRange(1, messages.MAX_EVENTS),
    default=1_000,
    show_default=True,
    help="Maximum number of events per process; the newest are kept.",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object per line.")
@shell.with_query_options
def show(context, flow, request, upstream, event, last_s, limit, as_json):
    """Show the events of all processes, merged into one ordered time line.

    Ids may be shortened: a filter matches every id with that prefix. A ~ before a time marks an
    event whose own clock is behind those of the events before it.
    """
    since = clock.now() - 1000 * last_s if last_s else 0
    replies = context.query_all(
        functools.partial(
            messages.EventsRequest,
            flow=flow,
            request=request,
            upstream=upstream,
            event=event,
            since=since,
            limit=limit,
        )
    )
    records = events.merge_records(replies)
    if as_json:
        for record in records:
            shell.print_json(events.object_of(record))
    else:
        click.echo(events.table(records))
    for reply in replies:
        if reply.error:
            click.echo(f"warning: {reply.process.name} did not answer: {reply.error}", err=True)
