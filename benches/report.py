"""Print measurements: one JSON object a line on standard output, progress on standard error."""

import dataclasses
import json
import sys


@dataclasses.dataclass(frozen=True, slots=True)
class Measure:
    """One figure; `baseline` was measured in the same run, `aim` says what `met` was judged by."""

    name: str
    value: float
    unit: str
    baseline: float | None = None
    ratio: float | None = None
    aim: str | None = None
    met: bool | None = None


def measure(
    name: str,
    value: float,
    unit: str,
    *,
    baseline: float | None = None,
    at_most: float | None = None,
    at_least: float | None = None,
) -> Measure:
    """Return a measure; the aim is for the ratio if there is a baseline, else for the value."""
    ratio = value / baseline if baseline else None
    judged = value if baseline is None else ratio
    aim, met = None, None
    if at_most is not None:
        aim, met = f"<= {at_most}", judged is not None and judged <= at_most
    elif at_least is not None:
        aim, met = f">= {at_least}", judged is not None and judged >= at_least
    return Measure(name, value, unit, baseline, ratio, aim, met)


def emit(each: Measure) -> None:
    """Print a measure."""
    fields = dataclasses.asdict(each)
    rounded = {k: round(v, 4) if isinstance(v, float) else v for k, v in fields.items()}
    print(json.dumps(rounded), flush=True)


def progress(text: str) -> None:
    """Tell whoever waits what is being run."""
    print(text, file=sys.stderr, flush=True)
