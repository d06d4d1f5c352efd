"""Shared parts of all commands: exit statuses, error reports, option types and queries.

Expected errors are printed as lines on standard error; a bug keeps its traceback.
"""

import dataclasses
import datetime
import functools
import itertools
import json
import random
import sys
import typing
from collections import abc

import click

import ebonystile
from ebonystile import clock, errors, settings
from ebonystile.core import view
from ebonystile.operator import client, directory, messages
from ebonystile.platform import client as platform_client

SUCCESS = 0
FAILURE = 1
INVALID_INPUT = 2
"""Exit statuses; `INVALID_INPUT` is for settings, documents or a command line that are wrong."""

CONTEXT = {"help_option_names": ["-h", "--help"]}
SETTINGS_VARIABLE = "EBONYSTILE_SETTINGS"


def report_errors(function: abc.Callable) -> abc.Callable:
    """Wrap a command to print expected errors as lines and set the exit status."""

    @functools.wraps(function)
    def command(*args, **kwargs):
        try:
            return function(*args, **kwargs)
        except errors.SettingsError as error:
            for fault in error.faults:
                click.echo(f"{error.peer}: {fault}", err=True)
            raise click.exceptions.Exit(INVALID_INPUT) from error
        except errors.EbonystileError as error:
            click.echo(f"error: {error}", err=True)
            raise click.exceptions.Exit(FAILURE) from error

    return command


def iter_lines(files: abc.Sequence[typing.TextIO]) -> abc.Iterator[str]:
    """Iterate over the lines of all files, or of standard input if there are none."""
    return itertools.chain.from_iterable(files or (sys.stdin,))


def program(name: str) -> abc.Callable:
    """Return a decorator that turns a function of a settings path into a program's command."""

    def decorate(function: abc.Callable) -> click.Command:
        command = report_errors(function)
        command = click.version_option(ebonystile.__version__, prog_name=name)(command)
        command = click.option(
            "--settings",
            "path",
            required=True,
            type=click.Path(dir_okay=False),
            help="Settings file, JSON with comments.",
        )(command)
        return click.command(name, context_settings=CONTEXT)(command)

    return decorate


class AddressType(click.ParamType):
    """An address as ip:port."""

    name = "ip:port"

    def convert(self, value, param, ctx):
        """Parse the address, or fail with the reason."""
        try:
            return settings.parse_address(value) if isinstance(value, str) else value
        except ValueError as error:
            self.fail(str(error), param, ctx)


class MomentType(click.ParamType):
    """A time in ISO 8601, as time lines show it."""

    name = "time"

    def convert(self, value, param, ctx):
        """Return the time in ms since the epoch, or fail with the reason."""
        try:
            moment = datetime.datetime.fromisoformat(value)
        except ValueError:
            self.fail(f'"{value}" is not a time like 2026-12-02T11:08:16.290Z', param, ctx)
        return round(moment.timestamp() * 1000)


class IdType(click.ParamType):
    """An id in hex; filters also accept a prefix of one."""

    name = "hex"

    def convert(self, value, param, ctx):
        """Return the bytes, or fail if the value is not hex."""
        try:
            return bytes.fromhex(value) if isinstance(value, str) else value
        except ValueError:
            self.fail(f'"{value}" is not hexadecimal digits in pairs', param, ctx)


def with_query_options(function: abc.Callable) -> abc.Callable:
    """Add the options for querying processes to a command, and pass it a `QueryContext`."""

    @click.option(
        "--settings",
        "path",
        envvar=SETTINGS_VARIABLE,
        required=True,
        type=click.Path(dir_okay=False),
        help=f"Operator settings (JSON with comments); or set {SETTINGS_VARIABLE}.",
    )
    @click.option(
        "--process",
        "addresses",
        multiple=True,
        type=AddressType(),
        help="Query only this process; may be repeated. By default all on the platform's list.",
    )
    @click.option("--wait-ms", type=click.IntRange(1), help="Timeout for each process.")
    @report_errors
    @functools.wraps(function)
    def command(path, addresses, wait_ms, **kwargs):
        context = make_query_context(settings.read_operator(path), addresses, wait_ms)
        return function(context, **kwargs)

    return command


@dataclasses.dataclass(frozen=True, slots=True)
class QueryContext:
    """What a command needs to query the platform and the processes.

    `selected` are the processes given on the command line; `seeds` are those of the settings.
    """

    client: client.Client
    platform: platform_client.Platform | None
    seeds: tuple[view.Address, ...]
    selected: tuple[view.Address, ...]

    def find_processes(self) -> list[client.Process]:
        """Return the processes to query; raise `PeerError` if none is known."""
        if self.selected:
            return directory.processes_at(self.selected)
        discovery = directory.find(self.client, self.platform, self.seeds)
        for warning in discovery.warnings:
            click.echo(f"warning: {warning}", err=True)
        if not discovery.processes:
            reason = "no process is known; name one by --process"
            raise errors.PeerError(reason, step="find processes", peer="platform")
        return list(discovery.processes)

    def query_all(self, make: client.QuestionFactory) -> list[client.Reply]:
        """Query all processes; raise `PeerError` if none of them answers."""
        replies = self.client.ask_all(self.find_processes(), make)
        if all(reply.answer is None for reply in replies):
            first = replies[0]
            reason = f"none of {len(replies)} processes answered; the first: {first.error}"
            raise errors.PeerError(reason, step="ask processes", peer=first.process.name)
        return replies

    def deadline(self) -> int:
        """Return the deadline, in ms, of a query that starts now."""
        return clock.now() + self.client.wait_ms


def make_query_context(
    operator_settings: settings.OperatorSettings,
    addresses: abc.Sequence[view.Address],
    wait_ms: int | None,
) -> QueryContext:
    """Build the context from the settings; options of the command line take precedence."""
    query_client = client.make_client(
        operator_settings.keys,
        wait_ms=wait_ms or operator_settings.wait_ms,
        parallel=operator_settings.parallel,
        randomness=random.SystemRandom(),
    )
    platform = None
    if operator_settings.platform is not None:
        platform = platform_client.make_platform(operator_settings.platform, clock.now)
    return QueryContext(
        query_client, platform, tuple(operator_settings.processes), tuple(addresses)
    )


def print_json(value: typing.Any) -> None:
    """Print one JSON document on one line."""
    click.echo(json.dumps(value))


def require_full_id(value: bytes, name: str) -> bytes:
    """Return the id if it is complete; raise `click.BadParameter` for a prefix."""
    if len(value) != messages.ID_BYTES:
        raise click.BadParameter(f"{name} is {2 * messages.ID_BYTES} hexadecimal digits")
    return value
