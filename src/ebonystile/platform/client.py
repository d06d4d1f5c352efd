"""A client of the platform's API: watches published values and the list of instances.

The platform may be down or answer with an older revision. This client checks the form of each
answer only; callers compare the revisions, which are positions (`core.positions`): a platform that
was restored from an older copy goes back to a lower revision, in a new epoch.
"""

import dataclasses
import typing
import urllib.parse
from collections import abc

import pydantic

from ebonystile import clock, errors, settings, webclient
from ebonystile.core import positions

MAX_ANSWER_BYTES = 2 << 20
"""Largest answer in bytes; a value, or a page of values, is at most about 1 MB."""

WAIT_MARGIN_MS = 2000
"""Time allowed for an answer after the end of a watch, in ms."""

MAX_CONNECTIONS = 2

Revision = typing.Annotated[int, pydantic.Field(ge=0, le=positions.MAX_REVISION)]
Epoch = typing.Annotated[int, pydantic.Field(ge=0, le=positions.MAX_EPOCH)]

Name = typing.Annotated[str, pydantic.Field(min_length=1, max_length=256)]


class Model(pydantic.BaseModel):
    """Base of the answers' models: strict types, unknown keys ignored."""

    model_config = pydantic.ConfigDict(strict=True, frozen=True)


class Value(Model):
    """One published value as parsed JSON; None means that the key is deleted."""

    key: Name
    revision: Revision
    value: typing.Any


class ValuesPage(Model):
    """An answer to a watch of values."""

    revision: Revision
    epoch: Epoch = 0
    values: tuple[Value, ...]
    more: bool


class Instance(Model):
    """One instance of the platform's list; `address` is the pair of IPv4 address and port."""

    name: Name
    role: typing.Literal["balancer", "upstream"]
    address: settings.Address
    zone: Name
    state: typing.Literal["live", "leaving", "gone"]


class InstancesPage(Model):
    """An answer to a watch of instances."""

    revision: Revision
    epoch: Epoch = 0
    instances: tuple[Instance, ...]
    more: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Values:
    """The values changed after a position, oldest first, complete up to the position `revision`.

    `revision` may be lower than the requested one, with no entries, if the platform is stale. If it
    is of a later epoch, the entries begin from the start.
    """

    revision: int
    entries: tuple[Value, ...]
    more: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Instances:
    """The instances changed after a position of the list, oldest first; as `Values`."""

    revision: int
    entries: tuple[Instance, ...]
    more: bool


Page = typing.TypeVar("Page", ValuesPage, InstancesPage)
Read = typing.TypeVar("Read", Values, Instances)


class Platform:
    """A blocking client of the platform; thread-safe."""

    def __init__(self, url: str, now: webclient.Clock):
        self.url = url
        self.now = now
        self.web = webclient.Client(url, MAX_CONNECTIONS, block=False, now=now)

    def watch(self, after: int, wait_until: int) -> Values:
        """Return the values that changed after a position; wait for one until `wait_until`."""
        step = "watch values"
        page = self.fetch_page("/v1/watch", after, wait_until, ValuesPage, step)
        revisions = [value.revision for value in page.values]
        if revisions != sorted(set(revisions)):
            raise self.error("values are not in the order of their revisions", step)
        first = first_revision(after, page)
        if revisions and not first < revisions[0] <= revisions[-1] <= page.revision:
            raise self.error("values lie outside the revisions of the answer", step)
        placed = tuple(
            value.model_copy(update={"revision": position_in(page, value.revision)})
            for value in page.values
        )
        return Values(position_in(page, page.revision), placed, page.more)

    def instances(self, after: int, wait_until: int) -> Instances:
        """Return the instances that changed after a position of the list."""
        step = "watch instances"
        page = self.fetch_page("/v1/instances", after, wait_until, InstancesPage, step)
        return Instances(position_in(page, page.revision), page.instances, page.more)

    def fetch_page(
        self, path: str, after: int, wait_until: int, model: type[Page], step: str
    ) -> Page:
        """Make one call and return its validated answer."""
        wait_ms = max(0, wait_until - self.now())
        query = urllib.parse.urlencode(
            {
                "after": positions.revision_of(after),
                "epoch": positions.epoch_of(after),
                "wait_ms": wait_ms,
            }
        )
        response = self.web.exchange(
            "GET",
            f"{path}?{query}",
            deadline=self.now() + wait_ms + WAIT_MARGIN_MS,
            limit=MAX_ANSWER_BYTES,
            fail=lambda reason, _: self.error(reason, step),
        )
        if response.status != 200:
            raise self.error(f"status {response.status}", step)
        try:
            page = model.model_validate_json(response.body)
        except pydantic.ValidationError as error:
            fault = error.errors()[0]
            raise self.error(f"{fault['loc']}: {fault['msg']}", step) from error
        if page.more and page.revision <= first_revision(after, page):
            raise self.error("there is more, but nothing came", step)
        return page

    def error(self, reason: str, step: str) -> errors.PlatformError:
        """Return the error for an unusable answer."""
        return errors.PlatformError(reason, step=step, peer=self.url)

    def close(self) -> None:
        """Close the kept connections."""
        self.web.close()


def first_revision(after: int, page: ValuesPage | InstancesPage) -> int:
    """Return the revision after which the page begins: that of `after`, or 0 in another epoch."""
    return positions.revision_of(after) if page.epoch == positions.epoch_of(after) else 0


def position_in(page: ValuesPage | InstancesPage, revision: int) -> int:
    """Return the position of a revision in the epoch of a page."""
    return positions.make_position(page.epoch, revision)


def read_all_pages(read: abc.Callable[[int, int], Read], wait_until: int) -> Read:
    """Read all pages of the list or of the values into one; raise `PlatformError`."""
    step = "read platform"
    page = read(0, clock.now())
    entries = list(page.entries)
    while page.more:
        if clock.now() >= wait_until:
            reason = "too many pages for the time given"
            raise errors.PlatformError(reason, step=step, peer="platform")
        following = read(page.revision, clock.now())
        if positions.epoch_of(following.revision) != positions.epoch_of(page.revision):
            reason = "the platform was restored between two pages"
            raise errors.PlatformError(reason, step=step, peer="platform")
        page = following
        entries += page.entries
    return dataclasses.replace(page, entries=tuple(entries))


def make_platform(url: str, now: webclient.Clock = clock.now) -> Platform:
    """Return a client for the platform at `url`."""
    return Platform(url, now)
