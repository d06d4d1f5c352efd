"""Generate the reference of all settings from the models that validate them."""

import dataclasses
import enum
import typing
from collections import abc

import annotated_types
import pydantic
from pydantic import fields

from ebonystile import settings, validation
from ebonystile.platform import documents

MODELS: abc.Mapping[str, type[pydantic.BaseModel]] = {
    "ebonystile-balancer": settings.BalancerSettings,
    "ebonystile-sidecar": settings.SidecarSettings,
    "ebonystile": settings.OperatorSettings,
    "Each of `keys`": settings.Key,
    "`gate` of a balancer": settings.GateSettings,
    "`spreading` of a sidecar": settings.SpreadingSettings,
}

FORMS = {
    settings.parse_address: "ip:port",
    settings.parse_url: "http://ip:port",
    settings.parse_secret: "hex digits",
    settings.parse_name: "name",
    documents.check_address: "ip:port",
}
"""The written form of a value, by the function that parses or checks it."""

HEAD = """# Settings

Each program reads one file of JSON with comments, given by `--settings FILE`. It is checked whole:
every fault is told with its path, and an unknown key with the nearest known one. `ebonystile check
FILE` does the same without starting anything. Names ending in `_ms` are milliseconds.

This page is the output of `ebonystile settings`.
"""


TABLE_SEPARATOR = "| --- | --- | --- | --- |"

DOCUMENT_HEAD = """## Each service of a document

A document at `services/<shard>` of the platform names services; [CONFIGURATION](CONFIGURATION.md)
describes them. `ebonystile check FILE` checks one, `ebonystile preview FILE` shows its effect.
"""

CARRIER_HEAD = """## Daemons on the users' platform

`python3 -m ebonystile.carrier balancer` and `... sidecar` read the file that `EBONYSTILE_NODE_FILE`
names, plain JSON, at the start, at SIGHUP and when it changes. The platform fills it in from
`deploy/settings.json`.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Setting:
    """A setting without a pydantic model: its form, whether it is required, and its meaning."""

    name: str
    form: str
    need: str
    meaning: str


def page(carriers: abc.Sequence[Setting]) -> str:
    """Return the complete reference in Markdown; `carriers` are the carrying daemons' settings."""
    sections = [section(title, model) for title, model in MODELS.items()]
    return "\n".join([HEAD, *sections, document_section(), carrier_section(carriers)])


def section(title: str, model: type[pydantic.BaseModel]) -> str:
    """Return the table of one model."""
    return "\n".join([f"## {title}", "", *field_table(model), ""])


def document_section() -> str:
    """Return the table of a service as operators publish it."""
    return "\n".join([DOCUMENT_HEAD, *field_table(documents.ServiceSpec), ""])


def field_table(model: type[pydantic.BaseModel]) -> list[str]:
    """Return the lines of the table of a model's fields."""
    rows = [row(name, field) for name, field in model.model_fields.items()]
    return ["| key | form | default | meaning |", TABLE_SEPARATOR, *rows]


def carrier_section(carriers: abc.Sequence[Setting]) -> str:
    """Return the table of the settings that the platform fills in for the carrying daemons."""
    rows = [f"| `{one.name}` | {one.form} | {one.need} | {one.meaning} |" for one in carriers]
    return "\n".join(
        [CARRIER_HEAD, "| key | form | default | meaning |", TABLE_SEPARATOR, *rows, ""]
    )


def row(name: str, field: fields.FieldInfo) -> str:
    """Return the table row of one setting."""
    default = "required" if field.is_required() else f"`{default_text(field.default)}`"
    meaning = (field.description or "").replace("|", "\\|")
    return f"| `{name}` | {form_of(field)} | {default} | {meaning} |"


def default_text(value: typing.Any) -> str:
    """Format a default as it is written in a settings file."""
    if isinstance(value, pydantic.BaseModel):
        return "{}"
    return "null" if value is None else str(value)


def form_of(field: fields.FieldInfo) -> str:
    """Return the form of a value with its bounds."""
    bounds = [bound_text(item) for item in field.metadata]
    return " ".join([type_text(field.annotation, field.metadata), *filter(None, bounds)])


def bound_text(item: typing.Any) -> str:
    """Format a bound of a number, or return an empty string for other metadata."""
    if isinstance(item, annotated_types.Ge):
        return f"from {item.ge}"
    if isinstance(item, annotated_types.Le):
        return f"to {item.le}"
    return ""


def type_text(annotation: typing.Any, metadata: abc.Sequence[typing.Any] = ()) -> str:
    """Return the JSON name of a type."""
    for item in metadata:
        if isinstance(item, pydantic.BeforeValidator):
            return FORMS[item.func]
        if isinstance(item, pydantic.AfterValidator) and item.func in FORMS:
            return FORMS[item.func]
    if typing.get_origin(annotation) is typing.Annotated:
        inner, *extra = typing.get_args(annotation)
        return type_text(inner, extra)
    if typing.get_origin(annotation) is typing.Literal:
        return " or ".join(f'"{choice}"' for choice in typing.get_args(annotation))
    if isinstance(annotation, type) and issubclass(annotation, enum.Enum):
        return " or ".join(f'"{choice.value}"' for choice in annotation)
    if typing.get_origin(annotation) is list:
        return f"list of {type_text(typing.get_args(annotation)[0])}".replace("object", "objects")
    if validation.is_model(annotation) or typing.get_origin(annotation) is dict:
        return "object"
    if annotation in (int, float):
        return "number"
    return type_text(optional_of(annotation))


def optional_of(annotation: typing.Any) -> typing.Any:
    """Return X of `X | None`."""
    choices = [a for a in typing.get_args(annotation) if a is not type(None)]
    if not choices:
        raise TypeError(f"no form for {annotation}")
    return choices[0]
