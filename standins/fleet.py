"""Run both users' services on loopback: platform, upstreams, sidecars, balancers, replacements.

Everything that changes is changed as operators do it: by labels and by the platform's list. A
replacement starts the new process, tells the old one to leave and sends it SIGTERM.
"""

import dataclasses
import json
import pathlib
import secrets
import socket
import sys
import threading
import time
import typing

from standins import processes, web

LEAVE_SECONDS = 1.5
"""Time from the label `leaving` to SIGTERM, for the label to reach every process."""

FABRIC_SECONDS = 0.3
"""Time from a balancer's removal from the fabric to its SIGTERM."""

STOP_SECONDS = 40.0

FEED_INTERVAL_MS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service of one of the users."""

    name: str
    address: str
    upstreams: int
    slots: int
    zones: tuple[str, ...]
    service_ms: int


NORRLAND = ("lulea-a", "lulea-b", "umea")
PORT_LOUIS = ("ebene-a", "ebene-b", "caudan", "pailles")

SERVICES = (
    Service("line-status", "10.1.0.1:443", 7, 2, NORRLAND, 15),
    Service("photo", "10.1.0.2:443", 3, 2, NORRLAND, 60),
    Service("ledger", "10.2.0.1:443", 7, 3, PORT_LOUIS, 15),
    Service("evidence", "10.2.0.2:443", 4, 3, PORT_LOUIS, 40),
)


@dataclasses.dataclass(slots=True)
class Member:
    """An upstream with the sidecar beside it, or a balancer (which has no upstream)."""

    name: str
    role: str
    zone: str
    address: tuple[str, int]
    process: processes.Child
    service: Service | None = None
    upstream: processes.Child | None = None
    listen: tuple[str, int] | None = None


def free_address() -> tuple[str, int]:
    """Return a loopback address whose port is free for UDP and TCP at this moment."""
    while True:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp, socket.socket() as tcp:
            udp.bind(("127.0.0.1", 0))
            address = udp.getsockname()
            try:
                tcp.bind(address)
            except OSError:
                continue
            return address


def text_of(address: tuple[str, int]) -> str:
    """Return an address as `ip:port`."""
    return f"{address[0]}:{address[1]}"


class Fleet:
    """All processes of the system and around it, callers apart."""

    def __init__(self, children: processes.Children, folder: pathlib.Path):
        self.children = children
        self.folder = folder
        self.secret = secrets.token_hex(32)
        self.feed_start = web.now_ms()
        self.platform = children.start_platform()
        self.upstreams: dict[str, Member] = {}
        self.balancers: dict[str, Member] = {}
        self.labels: dict[str, dict[str, str]] = {}
        self.counts: list[dict[str, typing.Any]] = []
        self.faults: list[str] = []
        self.lock = threading.Lock()

    # Publishing

    def publish_services(self, services: typing.Iterable[Service]) -> None:
        """Publish the services with their selectors."""
        specs = {s.name: {"address": s.address, "selector": {"app": s.name}} for s in services}
        processes.publish_value(self.platform, "services/main", {"services": specs})

    def label(self, name: str, labels: dict[str, str] | None) -> None:
        """Change the labels of one instance; None removes it."""
        with self.lock:
            self.labels.pop(name, None)
            if labels is not None:
                self.labels[name] = labels
            document = {"instances": self.labels}
            processes.publish_value(self.platform, "labels/main", document)

    def list_instance(self, member: Member, state: str) -> None:
        """Change the state of an instance in the platform's list."""
        address = text_of(member.address)
        processes.publish_instance(
            self.platform, member.name, member.role, address, member.zone, state
        )

    # Starting

    def settings(self, name: str, zone: str, **more: typing.Any) -> pathlib.Path:
        """Write the settings of one process of the system."""
        document = {
            "name": name,
            "zone": zone,
            "platform": self.platform.url,
            "keys": [{"id": 1, "secret": self.secret}],
            "seeds": [text_of(m.address) for m in list(self.balancers.values())[:3]],
            **more,
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(document, indent=2))
        return path

    def launch(self, program: str, name: str, settings: pathlib.Path) -> processes.Child:
        """Start a program of the system."""
        path = pathlib.Path(sys.executable).parent / program
        command = [str(path), "--settings", str(settings)]
        log = self.folder / f"{name}.log"
        return self.children.add(processes.Child(name, command, log))

    def add_upstream(self, service: Service, name: str, zone: str) -> Member:
        """Start an upstream and its sidecar, and publish them."""
        upstream = self.children.start_upstream(
            name,
            service.name,
            *("--slots", service.slots, "--queue", 64, "--connections", 2000),
            *("--service-ms", service.service_ms, "--spread", 0.4, "--seed", len(name)),
            *("--cold-ms", 500, "--cold-factor", 3),
            *("--feed-start", self.feed_start, "--feed-interval", FEED_INTERVAL_MS),
        )
        address = free_address()
        settings = self.settings(
            name,
            zone,
            address=text_of(address),
            upstream=upstream.url,
            slots=service.slots,
        )
        process = self.launch("ebonystile-sidecar", name, settings)
        process.wait_ready()
        member = Member(name, "upstream", zone, address, process, service, upstream)
        self.upstreams[name] = member
        self.list_instance(member, "live")
        self.label(name, {"app": service.name, "zone": zone})
        return member

    def add_balancer(self, name: str, zone: str) -> Member:
        """Start a balancer and publish it."""
        address = free_address()
        listen = free_address()
        settings = self.settings(name, zone, address=text_of(address), listen=text_of(listen))
        process = self.launch("ebonystile-balancer", name, settings)
        process.wait_ready()
        member = Member(name, "balancer", zone, address, process, listen=listen)
        self.balancers[name] = member
        self.list_instance(member, "live")
        return member

    # Replacing

    def remove_upstream(self, member: Member) -> None:
        """Let an upstream leave: label, SIGTERM to the sidecar, then to the upstream."""
        self.label(member.name, {**self.labels[member.name], "leaving": "true"})
        time.sleep(LEAVE_SECONDS)
        self.list_instance(member, "leaving")
        self.stop(member.process)
        self.collect(member)
        self.list_instance(member, "gone")
        self.label(member.name, None)
        del self.upstreams[member.name]

    def remove_balancer(self, member: Member, fabric: typing.Callable[[], None]) -> None:
        """Let a balancer leave; `fabric` is called once no caller's packet may go there."""
        del self.balancers[member.name]
        self.list_instance(member, "leaving")
        fabric()
        time.sleep(FABRIC_SECONDS)
        self.stop(member.process)
        self.list_instance(member, "gone")

    def stop(self, process: processes.Child) -> None:
        """Stop a process of the system; an exit status other than 0 is a fault."""
        status = process.stop(STOP_SECONDS)
        if status != 0:
            last = list(process.lines)[-3:]
            self.faults.append(f"{process.name} ended with {status}: {last}")

    def collect(self, member: Member) -> None:
        """Stop an upstream and keep what it counted."""
        status = member.upstream.stop(STOP_SECONDS)
        line = member.upstream.lines[-1] if member.upstream.lines else ""
        if status != 0 or not line.startswith("counts "):
            self.faults.append(f"upstream {member.name} ended with {status}: {line[:200]}")
            return
        self.counts.append(json.loads(line.removeprefix("counts ")))

    def stop_all(self) -> None:
        """Stop what is left, sidecars before their upstreams, and collect the counts."""
        members = list(self.upstreams.values())
        for member in (*members, *self.balancers.values()):
            member.process.popen.terminate()
        for member in members:
            self.stop(member.process)
            self.collect(member)
        for member in self.balancers.values():
            self.stop(member.process)
