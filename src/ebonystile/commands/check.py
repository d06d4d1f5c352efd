"""Validate settings and documents before they are used: `ebonystile check`."""

import pathlib
import typing

import click

from ebonystile import errors, settings, validation
from ebonystile.commands import shell
from ebonystile.core.carrying import routes
from ebonystile.operator import traits
from ebonystile.platform import documents, node

STEP = "check"
SETTINGS = {
    "balancer": settings.BalancerSettings,
    "sidecar": settings.SidecarSettings,
    "operator": settings.OperatorSettings,
}
CARRIER_LABEL = "carrier settings"
CARRIER = "carrier"
"""Settings of the carrying daemons, filled in by the platform."""

SERVICES = "services"
SERVICES_LABEL = f"{SERVICES} document"

KINDS = (*SETTINGS, CARRIER, *documents.MODELS)


@click.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=False))
@click.option(
    "--kind", type=click.Choice(KINDS), help="Kind of the files, if their keys don't show it."
)
@shell.report_errors
def check(files, kind):
    """Check FILES: settings of any program, or documents for the platform.

    Every fault of every file is shown with its path. The exit status is 2 if there is any.
    """
    faulty = False
    for file in files:
        try:
            label = check_file(pathlib.Path(file), kind)
        except errors.SettingsError as error:
            faulty = True
            for fault in error.faults:
                click.echo(f"{file}: {fault}", err=True)
        else:
            click.echo(f"{file}: {label} ok")
            for line in explain_fields(pathlib.Path(file), label):
                click.echo(f"  {line}")
    if faulty:
        raise click.exceptions.Exit(shell.INVALID_INPUT)


def check_file(path: pathlib.Path, kind: str | None) -> str:
    """Validate a file and return a label of its kind; raise `SettingsError` with every fault."""
    value = validation.read_json(path, step=STEP)
    kind = kind or kind_of(value, str(path))
    if kind in SETTINGS:
        validation.validate(SETTINGS[kind], value, step=STEP, peer=str(path))
        return f"{kind} settings"
    if kind == CARRIER:
        node.read(path)
        return CARRIER_LABEL
    documents.parse(f"{kind}/{path.stem}", value)
    return f"{kind} document"


def explain_fields(path: pathlib.Path, label: str) -> list[str]:
    """Return the lines that explain a valid file, for the kinds that have any."""
    if label == CARRIER_LABEL:
        return explain_carrier(path)
    if label == SERVICES_LABEL:
        return explain_services(path)
    return []


def explain_services(path: pathlib.Path) -> list[str]:
    """Return a line for each service that states traits of its requests."""
    value = validation.read_json(path, step=STEP)
    services = documents.parse(f"{SERVICES}/{path.stem}", value).services
    stated = {name: spec.requests() for name, spec in services.items()}
    return [
        f"{name}: requests: {traits.text_of(requests)}"
        for name, requests in stated.items()
        if requests != routes.NO_TRAITS
    ]


def explain_carrier(path: pathlib.Path) -> list[str]:
    """Return a line for each field of carrier settings, with its value and meaning."""
    node_settings = node.read(path)
    return [
        f"{name}: {getattr(node_settings, name) or 'none'} ({meaning})"
        for name, meaning in node.MEANINGS.items()
    ]


def kind_of(value: typing.Any, peer: str) -> str:
    """Return the kind that shares the most keys with the value, to tolerate misspelt keys."""
    keys = set(value) if isinstance(value, dict) else set()
    models = {**SETTINGS, **documents.MODELS}
    fields = {kind: set(model.model_fields) for kind, model in models.items()}
    fields[CARRIER] = set(node.MEANINGS)
    shared = {kind: len(keys & known) for kind, known in fields.items()}
    best = max(shared, key=lambda kind: shared[kind])
    if not shared[best]:
        fault = f"holds no known key; give its kind by --kind {'|'.join(KINDS)}"
        raise errors.SettingsError([fault], step=STEP, peer=peer)
    return best
