"""Settings of the balancer, the sidecar and the operators' client.

Settings are read once, at the start, from a file of JSON with comments (`--settings FILE`).
Durations end in `_ms` and are in milliseconds. Configuration that may change while a process runs
(services, selectors, labels) comes from the platform instead.
"""

import ipaddress
import pathlib
import re
import typing
import urllib.parse

import pydantic

from ebonystile import validation
from ebonystile.core import view

STEP = "read settings"
SECRET_BYTES = 32
NAME = re.compile(r"[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?")
"""Valid names; the documents that the platform publishes have the same rule."""

SECOND_MS = 1_000
MINUTE_MS = 60 * SECOND_MS


def parse_address(value: typing.Any) -> view.Address:
    """Return the address in `ip:port`; raise `ValueError` for any other value."""
    host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not colon:
        raise ValueError('give it as "ip:port"')
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise ValueError(f'"{host}" is not an IPv4 number') from error
    if not (port.isascii() and port.isdecimal() and len(port) <= 5 and 0 < int(port) < 65_536):
        raise ValueError(f'"{port}" is not a port from 1 to 65535')
    return host, int(port)


def parse_url(value: typing.Any) -> str:
    """Return the URL without a trailing slash; raise `ValueError` unless it is http://ip:port."""
    if not isinstance(value, str) or not value.startswith("http://"):
        raise ValueError('give it as "http://ip:port"')
    parts = urllib.parse.urlsplit(value)
    if parts.query or parts.fragment:
        raise ValueError("a query or fragment has no place here")
    parse_address(parts.netloc)
    return value.rstrip("/")


def parse_secret(value: typing.Any) -> bytes:
    """Return the bytes of a secret in hex; the message of the `ValueError` omits the secret."""
    try:
        secret = bytes.fromhex(value)
    except (TypeError, ValueError):
        secret = b""
    if len(secret) != SECRET_BYTES:
        raise ValueError(f"give {SECRET_BYTES} bytes as {2 * SECRET_BYTES} hexadecimal digits")
    return secret


def parse_name(value: typing.Any) -> str:
    """Return the name; raise `ValueError` if it is invalid."""
    if not isinstance(value, str) or not NAME.fullmatch(value):
        raise ValueError("give a name of letters, digits and ._- between them, at most 63")
    return value


Address = typing.Annotated[view.Address, pydantic.BeforeValidator(parse_address)]
Url = typing.Annotated[str, pydantic.BeforeValidator(parse_url)]
Secret = typing.Annotated[bytes, pydantic.BeforeValidator(parse_secret)]
Name = typing.Annotated[str, pydantic.BeforeValidator(parse_name)]
LogLevel = typing.Literal["DEBUG", "INFO", "WARNING", "ERROR"]


def duration(default: int, description: str, *, minimum: int = 1, maximum: int = 60 * MINUTE_MS):
    """Return a field for a duration in milliseconds."""
    return pydantic.Field(default, ge=minimum, le=maximum, description=description)


def integer(default: int, description: str, *, minimum: int = 1, maximum: int = 10_000_000):
    """Return a field for an integer, such as a count or a limit."""
    return pydantic.Field(default, ge=minimum, le=maximum, description=description)


class Key(validation.StrictModel):
    """A key that authenticates datagrams and exchanges between the system's processes."""

    id: int = pydantic.Field(ge=0, le=255, description="Number that names the key on the wire.")
    secret: Secret = pydantic.Field(
        repr=False, description=f"{SECRET_BYTES} random bytes in hex, alike in every process."
    )


def check_keys(keys: list[Key]) -> list[Key]:
    """Refuse two keys with the same id, which a receiver could not distinguish."""
    if len({key.id for key in keys}) < len(keys):
        raise ValueError("two keys have the same id")
    return keys


Keys = typing.Annotated[
    list[Key],
    pydantic.Field(min_length=1, max_length=4),
    pydantic.AfterValidator(check_keys),
]


class ProcessSettings(validation.StrictModel):
    """The settings that balancers and sidecars share."""

    name: Name = pydantic.Field(description="Name of this instance on the platform's list.")
    zone: Name = pydantic.Field(description="Availability zone that this instance is in.")
    address: Address = pydantic.Field(
        description="Address towards the system's other processes: UDP for datagrams, and TCP "
        "of the same number for bulk exchanges, operators and metrics."
    )
    platform: Url = pydantic.Field(description="URL of the platform's service.")
    seeds: list[Address] = pydantic.Field(
        default=[],
        max_length=64,
        description="Addresses of some other processes, asked for the configuration at the start "
        "and whenever the platform doesn't answer.",
    )
    keys: Keys = pydantic.Field(
        description="Keys accepted from other processes; the first one signs. Two at once allow "
        "rotation: add the new one last everywhere, then put it first, then drop the old one."
    )
    log_level: LogLevel = pydantic.Field("INFO", description="Least level of the lines logged.")
    watch_ms: int = duration(
        2 * SECOND_MS,
        "How long one watch of the platform waits for a newer revision. Its answer confirms the "
        "configuration for all; where that is old, other processes begin to watch.",
        minimum=100,
        maximum=5 * SECOND_MS,
    )
    instances_poll_ms: int = duration(
        2 * SECOND_MS,
        "Least time between two reads of the platform's list, by the few processes that read it.",
    )
    exchange_ms: int = duration(
        SECOND_MS, "How often a balancer compares revisions with a random peer; sidecars a quarter."
    )
    drain_ms: int = duration(
        30 * SECOND_MS,
        "Longest time between SIGTERM and the end of the process, which comes as soon as nothing "
        "is left to do.",
        maximum=24 * 60 * MINUTE_MS,
    )
    tcp_connection_limit: int = integer(64, "TCP connections held at once; more are refused.")
    event_limit: int = integer(10_000, "Events kept in memory for the time line; oldest go first.")


def ratio(default: float, description: str, *, maximum: float = 1.0):
    """Return a field for a share or another ratio."""
    return pydantic.Field(default, ge=0, le=maximum, description=description)


class GateSettings(validation.StrictModel):
    """The admission control of a balancer for opens; docs/POLICY.md explains how to tune it."""

    opens_per_second: int = integer(
        5_000, "Opens carried a second; beyond it each service and caller gets a fair share."
    )
    lag_ms: int = duration(50, "Lag behind the arriving datagrams beyond which less is carried.")
    return_soonest_ms: int = duration(200, "Soonest that a refused caller is told to come back.")
    return_latest_ms: int = duration(5 * SECOND_MS, "Latest that a refused caller is told to.")


class SpreadingSettings(validation.StrictModel):
    """Placement and limits of a sidecar; docs/POLICY.md explains how to tune them."""

    placement: typing.Literal[
        "power-of-two", "rendezvous", "bounded-loads", "least-of-all", "lexicographic"
    ] = pydantic.Field(
        "power-of-two", description="How it is decided whether an open is kept or passed on."
    )
    candidates: int = integer(2, "Siblings compared for an open (power-of-two).", maximum=64)
    work_gap: float = ratio(
        0.3,
        "Requests a slot by which a sibling must have less for an open to go there.",
        maximum=100,
    )
    flow_gap: float = ratio(0.1, "Share of flows by which it must hold fewer, with work alike.")
    passes: int = integer(3, "How often an open is passed on at most.", minimum=0, maximum=8)
    report_fade: float = ratio(
        0.5,
        "Time in which a report fades towards the mean, in recent request times; 0 never fades.",
        maximum=100,
    )
    report_ms: int = duration(SECOND_MS, "How often siblings are told the load.", minimum=100)
    report_least_ms: int = duration(100, "Least time between two reports of changed load.")
    report_step: int = integer(2, "Change of work, in requests, that is reported early.")
    report_fanout: int = integer(8, "Siblings that are told.", maximum=64)
    stale_after_ms: int = duration(3 * SECOND_MS, "Age at which a sibling's report is ignored.")
    ramp_ms: int = duration(
        30 * SECOND_MS, "Time in which a fresh or returning upstream gets to its whole weight."
    )
    claim_frozen_ms: int = duration(
        30 * SECOND_MS, "Time after which an unchanged load that the upstream claims is ignored."
    )
    queue_order: typing.Literal["fifo", "deadline"] = pydantic.Field(
        "fifo", description="Which queued request runs next: the oldest or the most urgent."
    )
    when_shed: typing.Literal["shrink", "keep"] = pydantic.Field(
        "shrink", description="What becomes of the slots in use while the upstream sheds."
    )
    return_horizon_ms: int = duration(
        10 * SECOND_MS, "Latest that a refused request is told to come back."
    )
    suspect_failures: int = integer(3, "Failures in a row that make the upstream suspected.")
    suspect_hold_ms: int = duration(
        2 * SECOND_MS,
        "First time that a suspected upstream is left alone; doubled at each relapse.",
    )
    suspect_longest_ms: int = duration(2 * MINUTE_MS, "Longest time that it is left alone.")


class BalancerSettings(ProcessSettings):
    """The settings of `ebonystile-balancer`."""

    listen: Address = pydantic.Field(description="UDP address that the fabric hands packets to.")
    gate: GateSettings = pydantic.Field(
        GateSettings(), description="When opens are refused because there are too many."
    )

    @pydantic.model_validator(mode="after")
    def check_addresses(self) -> typing.Self:
        """Refuse one address for callers and for processes: callers' datagrams carry no MAC."""
        if self.listen == self.address:
            raise ValueError("listen: must differ from address")
        return self


class SidecarSettings(ProcessSettings):
    """The settings of `ebonystile-sidecar`."""

    upstream: Url = pydantic.Field(description="URL of the upstream beside this process.")
    slots: int = integer(2, "Requests that the upstream runs at once.", maximum=10_000)
    queue_limit: int = integer(
        64, "Requests that may wait for a slot; more are refused.", minimum=0
    )
    flow_limit: int = integer(8_000, "Flows that may have their home here; more are passed on.")
    ledger_limit: int = integer(
        50_000, "Requests remembered at once; when it is full, new requests are refused."
    )
    ledger_bytes_limit: int = integer(
        64 << 20, "Bytes of answers and uploads remembered at once.", maximum=16 << 30
    )
    flow_lease_ms: int = duration(
        3 * MINUTE_MS, "How long a flow stays without a sign of its caller.", minimum=10 * SECOND_MS
    )
    ledger_margin_ms: int = duration(
        10 * SECOND_MS, "How long after its deadline a request and its answer are remembered."
    )
    skew_bound_ms: int = duration(
        2 * SECOND_MS, "Most by which the clocks of callers and instances are trusted to differ."
    )
    max_deadline_ms: int = duration(
        10 * MINUTE_MS, "Furthest deadline taken; bounds how long the ledger must remember."
    )
    health_poll_ms: int = duration(
        SECOND_MS, "How often the upstream's health and drain state are read."
    )
    load_poll_ms: int = duration(SECOND_MS, "How often the upstream's load is read.")
    spreading: SpreadingSettings = pydantic.Field(
        SpreadingSettings(), description="How work is spread over the sidecars of a service."
    )

    drain_ms: int = duration(
        11 * MINUTE_MS,
        "Longest time between SIGTERM and the end of the process, which comes as soon as nothing "
        "runs and every flow is handed over; at least the furthest deadline, so that no request "
        "in progress is cut off.",
        maximum=24 * 60 * MINUTE_MS,
    )

    @pydantic.model_validator(mode="after")
    def check_margin(self) -> typing.Self:
        """Refuse a margin below the skew: callers with slow clocks may ask until then."""
        if self.ledger_margin_ms < self.skew_bound_ms:
            raise ValueError("ledger_margin_ms: must not be less than skew_bound_ms")
        return self

    @pydantic.model_validator(mode="after")
    def check_drain(self) -> typing.Self:
        """Refuse a drain that could end before a running request."""
        if self.drain_ms < self.max_deadline_ms:
            raise ValueError("drain_ms: must not be less than max_deadline_ms")
        return self


class OperatorSettings(validation.StrictModel):
    """The settings of `ebonystile`, the operators' client."""

    platform: Url | None = pydantic.Field(
        None, description="URL of the platform's service: its list names the processes to ask."
    )
    processes: list[Address] = pydantic.Field(
        default=[],
        max_length=64,
        description="Processes that tell of the others when the platform doesn't answer.",
    )
    keys: Keys = pydantic.Field(description="Keys of the system's processes; the first one signs.")
    wait_ms: int = duration(2 * SECOND_MS, "Longest time that one command waits for processes.")
    parallel: int = integer(64, "Processes asked at the same time.", maximum=1_000)

    @pydantic.model_validator(mode="after")
    def check_source(self) -> typing.Self:
        """Refuse settings without a source of processes."""
        if self.platform is None and not self.processes:
            raise ValueError("platform: give it, or processes, or both")
        return self


Settings = typing.TypeVar("Settings", BalancerSettings, SidecarSettings, OperatorSettings)


def read(model: type[Settings], path: str | pathlib.Path) -> Settings:
    """Return the settings in the file as `model`; raise `SettingsError` with all faults."""
    value = validation.read_json(path, step=STEP)
    return validation.validate(model, value, step=STEP, peer=str(path))


def read_balancer(path: str | pathlib.Path) -> BalancerSettings:
    """Return the settings of a balancer."""
    return read(BalancerSettings, path)


def read_sidecar(path: str | pathlib.Path) -> SidecarSettings:
    """Return the settings of a sidecar."""
    return read(SidecarSettings, path)


def read_operator(path: str | pathlib.Path) -> OperatorSettings:
    """Return the settings of the operators' client."""
    return read(OperatorSettings, path)
