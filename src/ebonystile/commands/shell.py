"""What all commands share: exit statuses, how errors are told, and the operator's settings.

A fault that the user can mend is told in readable lines on standard error; a bug keeps its
traceback.
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
"""Exit statuses: done; couldn't be done; settings, documents or the command line are wrong."""

CONTEXT = {"help_option_names": ["-h", "--help"]}
SETTINGS_VARIABLE = "EBONYSTILE_SETTINGS"


def report_errors(function: abc.Callable) -> abc.Callable:
    """Return the command with errors that are no bugs told as lines and as an exit status."""

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
    """Return the lines of all files, one after the other, or those of standard input."""
    return itertools.chain.from_iterable(files or (sys.stdin,))


def program(name: str) -> abc.Callable:
    """Return a decorator that makes a function of a settings file the command of a program."""

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
    """An address on the command line, as ip:port."""

    name = "ip:port"

    def convert(self, value, param, ctx):
        """Return the address, or tell why it is none."""
        try:
            return settings.parse_address(value) if isinstance(value, str) else value
        except ValueError as error:
            self.fail(str(error), param, ctx)


class MomentType(click.ParamType):
    """A time on the command line, as time lines show it."""

    name = "time"

    def convert(self, value, param, ctx):
        """Return the time in ms since the epoch, or tell why it is none."""
        try:
            moment = datetime.datetime.fromisoformat(value)
        except ValueError:
            self.fail(f'"{value}" is not a time like 2026-12-02T11:08:16.290Z', param, ctx)
        return round(moment.timestamp() * 1000)


class IdType(click.ParamType):
    """An id on the command line, in hex; the beginning of one is enough for a filter."""

    name = "hex"

    def convert(self, value, param, ctx):
        """Return the bytes, or tell that it isn't hex."""
        try:
            return bytes.fromhex(value) if isinstance(value, str) else value
        except ValueError:
            self.fail(f'"{value}" is not hexadecimal digits in pairs', param, ctx)


def with_query_options(function: abc.Callable) -> abc.Callable:
    """Give a command the options of those that ask processes, and a `QueryContext` made of them."""

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
        help="Ask only this process; may be repeated. Without it the platform's list is asked.",
    )
    @click.option("--wait-ms", type=click.IntRange(1), help="Longest wait for each process.")
    @report_errors
    @functools.wraps(function)
    def command(path, addresses, wait_ms, **kwargs):
        context = make_query_context(settings.read_operator(path), addresses, wait_ms)
        return function(context, **kwargs)

    return command


@dataclasses.dataclass(frozen=True, slots=True)
class QueryContext:
    """What a command needs to ask the platform and the processes."""

    client: client.Client
    platform: platform_client.Platform | None
    seeds: tuple[view.Address, ...]
    selected: tuple[view.Address, ...]

    def find_processes(self) -> list[client.Process]:
        """Return the processes to ask; raise `PeerError` where none is known."""
        if self.selected:
            return directory.processes_at(self.selected)
        found = directory.find(self.client, self.platform, self.seeds)
        for warning in found.warnings:
            click.echo(f"warning: {warning}", err=True)
        if not found.processes:
            reason = "no process is known; name one by --process"
            raise errors.PeerError(reason, step="find processes", peer="platform")
        return list(found.processes)

    def query_all(self, make: client.QuestionFactory) -> list[client.Reply]:
        """Ask all processes; raise `PeerError` where not one of them answers."""
        replies = self.client.ask_all(self.find_processes(), make)
        if all(reply.answer is None for reply in replies):
            first = replies[0]
            reason = f"none of {len(replies)} processes answered; the first: {first.error}"
            raise errors.PeerError(reason, step="ask processes", peer=first.process.name)
        return replies

    def deadline(self) -> int:
        """Return the end, in ms, of a wait that starts now."""
        return clock.now() + self.client.wait_ms


def make_query_context(
    read: settings.OperatorSettings,
    addresses: abc.Sequence[view.Address],
    wait_ms: int | None,
) -> QueryContext:
    """Return a context by the settings, with what the command line puts in their place."""
    query_client = client.make_client(
        read.keys,
        wait_ms=wait_ms or read.wait_ms,
        parallel=read.parallel,
        randomness=random.SystemRandom(),
    )
    platform = None
    if read.platform is not None:
        platform = platform_client.make_platform(read.platform, clock.now)
    return QueryContext(query_client, platform, tuple(read.processes), tuple(addresses))


def print_json(value: typing.Any) -> None:
    """Print one JSON document on one line."""
    click.echo(json.dumps(value))


def require_full_id(value: bytes, name: str) -> bytes:
    """Return a whole id; a command that needs one can't do with its beginning."""
    if len(value) != messages.ID_BYTES:
        raise click.BadParameter(f"{name} is {2 * messages.ID_BYTES} hexadecimal digits")
    return value
