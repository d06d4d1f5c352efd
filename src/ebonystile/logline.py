"""Format the values in a line of key=value pairs (logfmt)."""

import json
import typing

UNQUOTED_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/+,@[]"
)
"""Characters that need no quotes in a value."""


def format_value(value: typing.Any) -> str:
    """Return a value as text for a line: bytes as hex, quoted where necessary."""
    if isinstance(value, bytes):
        return value.hex() or '""'
    if isinstance(value, bool):
        return "true" if value else "false"
    text = str(value)
    return text if text and UNQUOTED_CHARACTERS.issuperset(text) else json.dumps(text)
