"""Validate the documents that the platform publishes: each is accepted or refused as a whole.

A document is the JSON value of one key. `services/<shard>` defines services, their addresses and
their selectors; `labels/<shard>` gives the labels of instances. Validation depends on key and
value only, so all processes of one release accept the same documents.
"""

import difflib
import ipaddress
import typing

import pydantic

from ebonystile import errors
from ebonystile.core.carrying import routes

MAX_BYTES = 1 << 20
"""Largest value that the platform stores, in bytes of JSON."""

LEAVING_LABEL = "leaving"
"""The label that, with the value "true", keeps new work from an instance."""

NAME = r"^[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?$"
LABEL_KEY = r"^[A-Za-z0-9]([A-Za-z0-9._/-]{0,61}[A-Za-z0-9])?$"
LABEL_VALUE = r"^[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?$|^$"

Name = typing.Annotated[str, pydantic.StringConstraints(pattern=NAME)]
LabelKey = typing.Annotated[str, pydantic.StringConstraints(pattern=LABEL_KEY)]
LabelValue = typing.Annotated[str, pydantic.StringConstraints(pattern=LABEL_VALUE)]
AnyOf = typing.Annotated[list[LabelValue], pydantic.Field(min_length=1, max_length=64)]


def check_address(text: str) -> str:
    """Return `text` if it is an IPv4 address and a port, as in "10.1.0.1:443"."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise ValueError(f'"{text}" is not an IPv4 address and a port') from error
    if not port.isascii() or not port.isdigit() or not 0 < int(port) < 1 << 16:
        raise ValueError(f'"{text}" has no port from 1 to 65535')
    return text


AddressText = typing.Annotated[str, pydantic.AfterValidator(check_address)]


class Document(pydantic.BaseModel):
    """Base of all documents: strict types, unknown keys refused."""

    model_config = pydantic.ConfigDict(extra="forbid", strict=True, frozen=True)


KindText = typing.Annotated[routes.RequestKind, pydantic.Strict(False)]
"""A kind of requests. JSON has no enumerations, so its value is accepted, in strict models too."""

TraitMs = typing.Annotated[int, pydantic.Field(ge=0, le=routes.MAX_TRAIT_MS)]


class ServiceSpec(Document):
    """A service: its address, its selector and the traits of its requests.

    Every key of the selector must match, a list matches any of it.
    """

    address: AddressText = pydantic.Field(description="Where callers reach the service.")
    selector: dict[LabelKey, LabelValue | AnyOf] = pydantic.Field(
        min_length=1, max_length=16, description="Labels that an upstream of the service has."
    )
    kind: KindText | None = pydantic.Field(
        None, description="Whether requests may be repeated, and which side sends bulk."
    )
    objective_ms: TraitMs = pydantic.Field(
        0, description="Response time that callers expect; 0: not stated."
    )
    timeout_ms: TraitMs = pydantic.Field(
        0, description="Time after which callers give a request up; 0: not stated."
    )
    priority: int = pydantic.Field(
        routes.DEFAULT_PRIORITY,
        ge=0,
        le=routes.MAX_PRIORITY,
        description="Priority of the requests; 0 is the highest.",
    )

    @pydantic.model_validator(mode="after")
    def check_times(self) -> typing.Self:
        """Refuse an objective above the timeout: no answer could be both late and in time."""
        if 0 < self.timeout_ms < self.objective_ms:
            raise ValueError(
                f"objective_ms {self.objective_ms} is above timeout_ms {self.timeout_ms}"
            )
        return self

    def requests(self) -> routes.RequestTraits:
        """Return the traits of the service's requests."""
        return routes.RequestTraits(self.kind, self.objective_ms, self.timeout_ms, self.priority)


class Services(Document):
    """The document at `services/<shard>`."""

    services: dict[Name, ServiceSpec]

    @pydantic.model_validator(mode="after")
    def check_addresses(self) -> typing.Self:
        """Refuse two services with the same address: packets for one could reach the other."""
        owners: dict[str, str] = {}
        for name, spec in self.services.items():
            owner = owners.setdefault(spec.address, name)
            if owner != name:
                raise ValueError(f'"{owner}" and "{name}" both have the address {spec.address}')
        return self


Labels = typing.Annotated[dict[LabelKey, LabelValue], pydantic.Field(max_length=64)]


class InstanceLabels(Document):
    """The document at `labels/<shard>`."""

    instances: dict[Name, Labels]


MODELS: dict[str, type[Document]] = {"services": Services, "labels": InstanceLabels}
"""The model of each kind of key, the part before the slash."""


def parse(key: str, value: typing.Any) -> Services | InstanceLabels:
    """Return the validated document; raise `SettingsError` with all of its faults."""
    kind, _, shard = key.partition("/")
    model = MODELS.get(kind)
    if model is None or not shard:
        raise errors.SettingsError([key_fault(key, kind)], step="check document", peer=key)
    try:
        return model.model_validate(value)
    except pydantic.ValidationError as error:
        raise errors.SettingsError(
            faults_of(error, model), step="check document", peer=key
        ) from error


def list_faults(key: str, value: typing.Any) -> list[str]:
    """Return all faults of the document, each with its path; an empty list if it is valid."""
    try:
        parse(key, value)
    except errors.SettingsError as error:
        return error.faults
    return []


def key_fault(key: str, kind: str) -> str:
    """Return the fault of a key that is not of a known kind."""
    near = difflib.get_close_matches(kind, MODELS, n=1)
    known = near[0] if near else " or ".join(MODELS)
    return f'key "{key}": expected {known}/<shard>'


def faults_of(error: pydantic.ValidationError, model: type[Document]) -> list[str]:
    """Return one line for each fault, in the order of the document."""
    lines = []
    for fault in error.errors(include_url=False, include_context=False):
        # Skip pydantic's own names for keys and for the branches of a union.
        skipped = ("[key]", "constrained-str")
        path = ".".join(
            str(step)
            for step in fault["loc"]
            if step not in skipped and not str(step).startswith("list[")
        )
        text = fault["msg"].removeprefix("Value error, ")
        if fault["type"] == "extra_forbidden":
            text = f"unknown key{suggestion(str(fault['loc'][-1]), model)}"
        lines.append(f"{path or 'document'}: {text}")
    return list(dict.fromkeys(lines))


def suggestion(word: str, model: type[Document]) -> str:
    """Return a hint with the known key most similar to `word`, "" if there is none."""
    known = [*model.model_fields, *ServiceSpec.model_fields]
    near = difflib.get_close_matches(word, known, n=1)
    return f' (did you mean "{near[0]}"?)' if near else ""
