"""Format rows of text as aligned columns for terminals."""

import typing
from collections import abc

GAP = "  "


def render(headers: abc.Sequence[str], rows: typing.Iterable[abc.Sequence[str]]) -> str:
    """Return the table as lines without trailing spaces, with control characters escaped."""
    lines = [list(headers), *[[printable(cell) for cell in row] for row in rows]]
    widths = [max(len(line[column]) for line in lines) for column in range(len(headers))]
    return "\n".join(
        GAP.join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )


def printable(text: str) -> str:
    """Return the text with all non-printable characters escaped."""
    return "".join(c if c.isprintable() else c.encode("unicode_escape").decode() for c in text)
