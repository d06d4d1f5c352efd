"""Format what a service states about its requests."""

import dataclasses
import typing

from ebonystile.core.carrying import routes

NOT_STATED = "not stated"


def text_of(traits: routes.RequestTraits) -> str:
    """Return the traits as text, as in "idempotent, objective 300 ms, priority 2"."""
    if traits == routes.NO_TRAITS:
        return NOT_STATED
    parts = [
        traits.kind.value if traits.kind else "",
        f"objective {traits.objective_ms} ms" if traits.objective_ms else "",
        f"timeout {traits.timeout_ms} ms" if traits.timeout_ms else "",
        f"priority {traits.priority}",
    ]
    return ", ".join(filter(None, parts))


def as_json(traits: routes.RequestTraits | None) -> dict[str, typing.Any] | None:
    """Return the traits as a JSON object with the keys of a document; None stays None."""
    if traits is None:
        return None
    kind = traits.kind.value if traits.kind else None
    return {**dataclasses.asdict(traits), "kind": kind}
