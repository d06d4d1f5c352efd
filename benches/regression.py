"""Run the regression deployments one after the other, and print one table of before and now.

The users' bench and the folder of its site files come as arguments, since they are not a part of
this project. Figures are read from the journal entries that the bench leaves.
"""

import dataclasses
import json
import os
import pathlib
import subprocess
import typing

import click

SITES = (
    "shifted/norrlinje-lb-now-grown.toml",
    "large/norrlinje-lb-large.toml",
    "further/saomai-pets.toml",
    "further-grown/saomai-pets-grown.toml",
    "grown/norrlinje-lb-grown.toml",
    "grown/recouvra-ebony-grown.toml",
    "sites/recouvra-ebony.toml",
)
"""Site files below the folder that is given, the newest milestone first."""

LARGE_SITES = frozenset(site for site in SITES if "large" in site or "grown" in site)
LARGE_DAYS, SMALL_DAYS = 8, 40
"""Days hunted on deployments of 60 instances or more, and on smaller ones."""

MOST_FALL = 0.03
"""How far the worth of a deployment may fall: less is noise."""

QUIET = "quiet"


class RegressionError(click.ClickException):
    """A run of the bench that left no entry of the kind asked for."""


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What a score and a hunt of one deployment showed.

    `worth` is the mean of the standard days with trouble; `before` that of the last score before,
    if there is one. `broken` counts the hunted days on which a rule was broken, None if none was
    hunted.
    """

    site: str
    worth: float
    before: float | None
    gate: bool
    hunted: int = 0
    broken: int | None = None

    @property
    def holds(self) -> bool:
        """Tell whether nothing fell or broke."""
        fell = self.before is not None and self.worth < self.before - MOST_FALL
        return self.gate and not fell and not self.broken


def entries(journal: pathlib.Path, command: str, site: str) -> list[dict[str, typing.Any]]:
    """Return the entries of a command on a deployment, the oldest first."""
    read = (json.loads(path.read_text()) for path in sorted(journal.glob("*.json")))
    return [entry for entry in read if entry["cmd"] == command and entry.get("site") == site]


def worth_of(score: dict[str, typing.Any]) -> float:
    """Return the mean worth of the standard days with trouble, without the day drawn just then."""
    days = [day for day in score["days"] if day["slot"] != QUIET]
    standard = [day["G"] for day in days if not day["name"].startswith("fresh-")]
    if not standard:
        raise RegressionError(f"no standard day with trouble in entry {score['id']}")
    return sum(standard) / len(standard)


def outcome_of(
    site: str, scores: list[dict[str, typing.Any]], hunt: dict[str, typing.Any] | None
) -> Outcome:
    """Return the outcome of the newest score, the one before it and a hunt."""
    if not scores:
        raise RegressionError(f"no score of {site} in the journal")
    newest = scores[-1]
    return Outcome(
        site,
        worth_of(newest),
        worth_of(scores[-2]) if len(scores) > 1 else None,
        bool(newest["figures"]["gate"]),
        len(hunt["days"]) if hunt else 0,
        sum(bool(day["rules"]) for day in hunt["days"]) if hunt else None,
    )


def table(outcomes: list[Outcome]) -> str:
    """Return the outcomes as a table."""
    lines = [f"{'deployment':24} {'before':>7} {'now':>7}  gate    hunted  broken"]
    for one in outcomes:
        before = "-" if one.before is None else f"{one.before:.3f}"
        broken = "-" if one.broken is None else str(one.broken)
        gate = "passed" if one.gate else "FAILED"
        mark = "" if one.holds else "  <"
        lines.append(
            f"{one.site:24} {before:>7} {one.worth:7.3f}  {gate}  {one.hunted:6}  {broken:>6}{mark}"
        )
    return "\n".join(lines)


def run(
    bench: pathlib.Path, command: str, site_file: pathlib.Path, why: str, *further: str
) -> list[dict[str, typing.Any]]:
    """Run the bench at half of the cores; return all its entries of that command and deployment.

    A run that was given up leaves no entry, and the one before it must not pass for its own.
    """
    journal, site = pathlib.Path("journal"), site_file.stem
    known = len(entries(journal, command, site))
    jobs = str(max(1, (os.cpu_count() or 1) // 2))
    arguments = [command, str(site_file), *further, "--jobs", jobs, "--why", why]
    done = subprocess.run([str(bench), *arguments], check=False)
    found = entries(journal, command, site)
    if len(found) == known:
        raise RegressionError(f"{command} of {site}: no entry, status {done.returncode}")
    return found


@click.command()
@click.argument("bench", type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path))
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=pathlib.Path))
@click.option("--why", required=True, help="What the runs are for, for the journal.")
@click.option("--site", "chosen", multiple=True, type=click.Choice(SITES), help="Only these.")
@click.option("--hunt/--no-hunt", default=True, help="Whether to hunt after each score.")
def main(
    bench: pathlib.Path, folder: pathlib.Path, why: str, chosen: tuple[str, ...], hunt: bool
) -> None:
    """Score and hunt the deployments of FOLDER in turn with BENCH, at half of the cores."""
    outcomes = []
    for site in chosen or SITES:
        site_file = folder / site
        scores = run(bench, "score", site_file, why)
        hunted = None
        if hunt:
            days = LARGE_DAYS if site in LARGE_SITES else SMALL_DAYS
            hunted = run(bench, "hunt", site_file, why, "--days", str(days))[-1]
        outcomes.append(outcome_of(site_file.stem, scores, hunted))
        click.echo(table(outcomes))
    if not all(one.holds for one in outcomes):
        raise SystemExit(1)


if __name__ == "__main__":
    main()
