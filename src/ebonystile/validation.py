"""Read JSON with comments into pydantic models, and report all faults at once with their paths."""

import difflib
import json
import pathlib
import types
import typing

import json5
import pydantic

from ebonystile import errors

Model = typing.TypeVar("Model", bound=pydantic.BaseModel)

MAX_FILE_BYTES = 1 << 20
"""Largest file read; the platform's values have the same bound."""


class StrictModel(pydantic.BaseModel):
    """Base of models of external data: no unknown keys, no implicit conversions, immutable."""

    model_config = pydantic.ConfigDict(extra="forbid", strict=True, frozen=True)


def read_json(path: str | pathlib.Path, *, step: str) -> typing.Any:
    """Return the value in a JSON file; raise `SettingsError` if it can't be read or parsed."""
    peer = str(path)
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise errors.SettingsError([error.strerror or str(error)], step=step, peer=peer) from error
    if len(data) > MAX_FILE_BYTES:
        fault = f"the file is larger than {MAX_FILE_BYTES} bytes"
        raise errors.SettingsError([fault], step=step, peer=peer)
    return parse_json(data, step=step, peer=peer)


def parse_json(data: bytes, *, step: str, peer: str) -> typing.Any:
    """Return the value of the JSON with comments in `data`; raise `SettingsError` if invalid.

    Duplicate keys are refused, since it is ambiguous which one is meant. Plain JSON is tried first:
    the parser of JSON with comments takes seconds for a large document.
    """
    try:
        text = data.decode()
        try:
            return json.loads(
                text, object_pairs_hook=reject_duplicate_keys, parse_constant=reject_constant
            )
        except json.JSONDecodeError:
            return json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        raise errors.SettingsError([f"not JSON: {error}"], step=step, peer=peer) from error


def reject_duplicate_keys(pairs: list[tuple[str, typing.Any]]) -> dict[str, typing.Any]:
    """Return the object of these pairs; raise `ValueError` if a key occurs twice."""
    value = dict(pairs)
    if len(value) < len(pairs):
        names = [name for name, _ in pairs]
        twice = sorted({name for name in names if names.count(name) > 1})
        raise ValueError(f"duplicate keys: {', '.join(twice)}")
    return value


def reject_constant(name: str) -> typing.Any:
    """Raise `ValueError` for NaN and the infinities, which are not JSON (RFC 8259 section 6)."""
    raise ValueError(f"{name} is not a number")


def validate(model: type[Model], value: typing.Any, *, step: str, peer: str) -> Model:
    """Return `value` as the model; raise `SettingsError` with all faults, each with its path."""
    try:
        return model.model_validate(value)
    except pydantic.ValidationError as error:
        faults = [describe_fault(model, detail) for detail in error.errors(include_url=False)]
        raise errors.SettingsError(faults, step=step, peer=peer) from error


def describe_fault(model: type[pydantic.BaseModel], detail: typing.Mapping[str, typing.Any]) -> str:
    """Return one fault as `path: reason`."""
    location = detail["loc"]
    where = format_path(location)
    if detail["type"] == "extra_forbidden":
        return f"{where}: unknown key{suggest_key(model, location)}"
    if detail["type"] == "missing":
        return f"{where}: is required"
    reason = detail["msg"].removeprefix("Value error, ")
    return f"{where}: {reason}" if where else reason


def format_path(location: tuple[str | int, ...]) -> str:
    """Return a location in a form such as `keys[0].secret`."""
    path = ""
    for step in location:
        path += f"[{step}]" if isinstance(step, int) else f".{step}"
    return path.removeprefix(".")


def suggest_key(model: type[pydantic.BaseModel], location: tuple[str | int, ...]) -> str:
    """Return a hint with the known key closest to the unknown one at `location`."""
    parent = model_at(model, location[:-1])
    if parent is None:
        return ""
    nearest = difflib.get_close_matches(str(location[-1]), parent.model_fields, n=1, cutoff=0.0)
    return f', the nearest known one is "{nearest[0]}"' if nearest else ""


def model_at(annotation: typing.Any, location: tuple[str | int, ...]) -> typing.Any:
    """Return the model at a location, or None if the location does not lead to a model."""
    annotation = unwrap(annotation)
    if not location:
        return annotation if is_model(annotation) else None
    step, rest = location[0], location[1:]
    if is_model(annotation):
        field = annotation.model_fields.get(str(step))
        return model_at(field.annotation, rest) if field else None
    arguments = typing.get_args(annotation)
    return model_at(arguments[-1], rest) if arguments else None


def unwrap(annotation: typing.Any) -> typing.Any:
    """Return an annotation without `Annotated` and `| None`."""
    origin = typing.get_origin(annotation)
    if origin is typing.Annotated:
        return unwrap(typing.get_args(annotation)[0])
    if origin in (typing.Union, types.UnionType):
        choices = [a for a in typing.get_args(annotation) if a is not type(None)]
        return unwrap(choices[0])
    return annotation


def is_model(annotation: typing.Any) -> bool:
    """Return whether the annotation is a pydantic model."""
    return isinstance(annotation, type) and issubclass(annotation, pydantic.BaseModel)
