"""Send a request as a caller: `ebonystile call`."""

import contextlib
import sys

import click

from ebonystile import clock, errors
from ebonystile.caller import client
from ebonystile.commands import shell

EXIT_NOT_RUN = 3
EXIT_OUTCOME_UNKNOWN = 4
"""Exit statuses: the request was certainly not run; it is unknown whether it was run."""


@click.command("call")
@click.argument("service")
@click.argument("path")
@click.option(
    "--balancer",
    "balancers",
    multiple=True,
    required=True,
    type=shell.AddressType(),
    help="Address of a balancer; may be repeated, and each packet goes to any one of them.",
)
@click.option("--data", default="", help="Body of the request, as text.")
@click.option("--file", type=click.File("rb"), help="Read the body from a file; - for stdin.")
@click.option(
    "--idempotent/--once",
    default=False,
    help="Whether the request may be run more than once; the default is --once.",
)
@click.option("--deadline-ms", type=click.IntRange(1), default=10_000, show_default=True)
@click.option("--feed", is_flag=True, help="Follow PATH as a feed and print one line per event.")
@click.option(
    "--position",
    type=click.IntRange(0),
    default=0,
    help="Position of the last event already received.",
)
@click.option("--count", type=click.IntRange(1), help="Stop after this many events.")
@shell.report_errors
def show(service, path, balancers, data, file, idempotent, deadline_ms, feed, position, count):
    """Send one request to SERVICE and print the answer, or follow a feed.

    Exit status: 0 answered, 1 failed, 2 wrong usage, 3 the request was not run and never will be
    (the message says when to retry), 4 it is unknown whether the request was run.
    """
    deadline = clock.now() + deadline_ms
    with contextlib.closing(client.make_caller(balancers)) as caller:
        flow = caller.open(service, deadline)
        if feed:
            follow(flow.subscribe(path, position), deadline_ms, count)
        else:
            body = file.read() if file else data.encode()
            send_request(flow, path, body, deadline, idempotent)


def send_request(
    flow: client.Flow, path: str, body: bytes, deadline: int, idempotent: bool
) -> None:
    """Send one request; print the answer, or report its outcome and exit."""
    try:
        answer = flow.request(path, body, deadline, idempotent=idempotent)
    except errors.NotRunError as error:
        wait = max(0, error.retry_at - clock.now())
        click.echo(f"not run: {error.reason}; retry in {wait} ms", err=True)
        raise click.exceptions.Exit(EXIT_NOT_RUN) from error
    except errors.OutcomeUnknownError as error:
        click.echo(f"outcome unknown: {error.reason}", err=True)
        raise click.exceptions.Exit(EXIT_OUTCOME_UNKNOWN) from error
    sys.stdout.buffer.write(answer.body)
    sys.stdout.buffer.flush()


def follow(feed: client.Feed, idle_timeout_ms: int, count: int | None) -> None:
    """Print events, one per line, until `count` were received; raise after `idle_timeout_ms`."""
    printed = 0
    while count is None or printed < count:
        event = feed.next(clock.now() + idle_timeout_ms)
        if event is None:
            reason = f"no event for {idle_timeout_ms} ms"
            raise errors.CallError(reason, step="follow feed", peer=feed.flow.core.service)
        click.echo(f"{event.position} {event.body.decode(errors='replace')}")
        printed += 1
