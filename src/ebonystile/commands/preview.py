"""Show the effect of changed documents before they are published: `ebonystile preview`."""

import pathlib
import typing
from collections import abc

import click
import pydantic

from ebonystile import errors, validation
from ebonystile.commands import check, shell
from ebonystile.core.control import configuration
from ebonystile.operator import directory, messages, preview
from ebonystile.platform import client as platform_client

STEP = "preview"
PRESENT_REVISION = 1
"""Revision assigned to documents from files; its value has no effect."""

INSTANCES = pydantic.TypeAdapter(list[platform_client.Instance])


@click.command("preview")
@click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=False))
@click.option("--key", help="Key of the document on the platform, if a single file is given.")
@click.option(
    "--present",
    multiple=True,
    type=click.Path(dir_okay=False),
    help="A document now in force, instead of the platform's; may be repeated.",
)
@click.option(
    "--instances",
    type=click.Path(dir_okay=False),
    help="The list of instances to use with --present, in the platform's format.",
)
@click.option("--flows/--no-flows", default=True, help="Query how many flows would move.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@shell.with_query_options
def show(context, files, key, present, instances, flows, as_json):
    """Show what publishing the changed documents in FILES would do; nothing is published.

    The key of each document is its kind and the file's name: services/main for main.json that
    holds services. The faults of a document that would be refused are shown, with exit status 2.
    """
    if key and len(files) != 1:
        raise click.UsageError("--key can be used with one file only")
    if bool(present) != bool(instances):
        raise click.UsageError("--present and --instances must be used together")
    changed = read_documents(files, key)
    configured = configuration_of(context, present, instances)
    for name in sorted(changed.keys() - configured.values.entries.keys()):
        click.echo(f"warning: {name} is a new document", err=True)
    result = preview.preview(configured, changed)
    counts = flow_counts(context, result) if flows else {}
    if as_json:
        shell.print_json(preview.as_json(result, counts))
    else:
        click.echo(preview.table(result, counts))


def read_documents(files: abc.Iterable[str], key: str | None = None) -> dict[str, typing.Any]:
    """Read the documents in the files, by key; raise `SettingsError`."""
    documents: dict[str, typing.Any] = {}
    for file in files:
        path = pathlib.Path(file)
        value = validation.read_json(path, step=STEP)
        own_key = key or f"{check.kind_of(value, file)}/{path.stem}"
        if own_key in documents:
            raise errors.SettingsError([f"{own_key} is given twice"], step=STEP, peer=file)
        documents[own_key] = value
    return documents


def configuration_of(
    context: shell.QueryContext, present: abc.Sequence[str], instances: str | None
) -> configuration.Configuration:
    """Return the configuration now in force, from the files or from the platform."""
    if instances is not None:
        values = [(k, PRESENT_REVISION, v) for k, v in read_documents(present).items()]
        listed = read_instances(instances)
        return directory.make_configuration(PRESENT_REVISION, values, listed, PRESENT_REVISION)
    if context.platform is None:
        reason = "the settings name no platform; give --present and --instances"
        raise errors.PlatformError(reason, step=STEP, peer="platform")
    return directory.read_configuration(context.platform, context.deadline())


def read_instances(file: str) -> list[platform_client.Instance]:
    """Read a list of instances from a file; raise `SettingsError` with every fault."""
    value = validation.read_json(file, step=STEP)
    try:
        return INSTANCES.validate_python(value)
    except pydantic.ValidationError as error:
        faults = [f"{validation.format_path(e['loc'])}: {e['msg']}" for e in error.errors()]
        raise errors.SettingsError(faults, step=STEP, peer=file) from error


def flow_counts(context: shell.QueryContext, result: preview.Preview) -> dict[str, int | None]:
    """Query the number of flows of each upstream that would leave a service."""
    leaving = {name for change in result.changes for name in change.leave}
    if not leaving:
        return {}
    processes = [p for p in context.find_processes() if p.name in leaving]
    replies = context.client.ask_all(processes, messages.StatusRequest)
    return {
        reply.process.name: reply.answer.flows
        for reply in replies
        if isinstance(reply.answer, messages.Status)
    }
