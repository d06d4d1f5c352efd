"""Run several services on loopback and replace their processes, as a rolling upgrade does.

Changes are made as operators make them: by labels and in the platform's list. A replacement starts
the new process, marks the old one as leaving, and only then sends it SIGTERM.
"""

import concurrent.futures
import dataclasses
import json
import pathlib
import time
import typing

from standins import processes, system, web

LEAVE_SECONDS = 2.5
"""Time from the label `leaving` to SIGTERM; requests started after it count as late work."""

FABRIC_SECONDS = 0.3
"""Time from a balancer's removal from the callers' address lists to its SIGTERM."""

STOP_SECONDS = 40.0

FEED_INTERVAL_MS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service, with the number and settings of its upstreams."""

    name: str
    upstreams: int
    slots: int
    zones: tuple[str, ...]
    service_ms: int


NORRLAND = ("lulea-a", "lulea-b", "umea")
PORT_LOUIS = ("ebene-a", "ebene-b", "caudan", "pailles")

SERVICES = (
    Service("line-status", 7, 2, NORRLAND, 15),
    Service("photo", 3, 2, NORRLAND, 60),
    Service("ledger", 7, 3, PORT_LOUIS, 15),
    Service("evidence", 4, 3, PORT_LOUIS, 40),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An upstream with its sidecar, and the service that it belongs to."""

    service: Service
    sidecar: system.Sidecar


def runs_of(counts: dict[str, typing.Any]) -> int:
    """Return the total number of runs of an upstream."""
    return sum(counts["runs"].values())


class Fleet:
    """All processes of a run except the callers."""

    def __init__(self, children: processes.Children, logs: pathlib.Path):
        self.children = children
        self.feed_start = web.now_ms()
        self.system = system.System(children, logs=logs)
        self.members: dict[str, Member] = {}
        self.counts: list[dict[str, typing.Any]] = []
        self.faults: list[str] = []
        self.late_work = 0

    def publish_services(self, services: typing.Iterable[Service]) -> None:
        """Publish the services, each with its own selector."""
        self.system.publish_services({s.name: {"app": s.name} for s in services})

    def add_upstream(self, service: Service, name: str, zone: str) -> None:
        """Start an upstream and its sidecar, and publish them."""
        upstream = self.children.start_upstream(
            name,
            service.name,
            *("--slots", service.slots, "--queue", 64, "--connections", 2000),
            *("--service-ms", service.service_ms, "--spread", 0.4, "--seed", len(self.members)),
            *("--cold-ms", 500, "--cold-factor", 3),
            *("--feed-start", self.feed_start, "--feed-interval", FEED_INTERVAL_MS),
        )
        sidecar = self.system.start_sidecar(name, zone, upstream, slots=service.slots)
        self.system.label(name, {"app": service.name, "zone": zone})
        self.members[name] = Member(service, sidecar)

    def remove_upstream(self, member: Member) -> None:
        """Remove an upstream: label it, send SIGTERM to its sidecar, then to the upstream."""
        sidecar = member.sidecar
        labels = self.system.labels[sidecar.name]
        self.system.label(sidecar.name, {**labels, "leaving": "true"})
        time.sleep(LEAVE_SECONDS)
        started = runs_of(sidecar.upstream.get("standin/runs"))
        self.system.enlist(sidecar.name, "upstream", sidecar.port, sidecar.zone, "leaving")
        self.stop(sidecar.child)
        counts = self.collect(sidecar)
        self.late_work += runs_of(counts) - started
        self.system.enlist(sidecar.name, "upstream", sidecar.port, sidecar.zone, "gone")
        self.system.label(sidecar.name, None)
        del self.members[sidecar.name]

    def remove_balancer(
        self, balancer: system.Balancer, update_callers: typing.Callable[[], None]
    ) -> None:
        """Remove a balancer; callers stop sending to it first, so that no packet is lost."""
        del self.system.balancers[balancer.name]
        self.system.enlist(balancer.name, "balancer", balancer.port, balancer.zone, "leaving")
        update_callers()
        time.sleep(FABRIC_SECONDS)
        self.stop(balancer.child)
        self.system.enlist(balancer.name, "balancer", balancer.port, balancer.zone, "gone")

    def stop(self, child: processes.Child) -> None:
        """Stop a process; a nonzero exit status is a fault."""
        status = child.stop(STOP_SECONDS)
        if status != 0:
            self.faults.append(f"{child.name} ended with status {status}")

    def collect(self, sidecar: system.Sidecar) -> dict[str, typing.Any]:
        """Stop an upstream, and store and return its run counts."""
        status = sidecar.upstream.stop(STOP_SECONDS)
        line = sidecar.upstream.lines[-1] if sidecar.upstream.lines else ""
        if status != 0 or not line.startswith("counts "):
            raise RuntimeError(f"upstream {sidecar.name} ended with {status}: {line[:200]}")
        self.counts.append(json.loads(line.removeprefix("counts ")))
        return self.counts[-1]

    def stop_all(self) -> None:
        """Stop the remaining processes, sidecars before upstreams, and collect the run counts."""
        sidecars = [member.sidecar for member in self.members.values()]
        balancers = list(self.system.balancers.values())
        processes_left = [process.child for process in (*sidecars, *balancers)]
        with concurrent.futures.ThreadPoolExecutor(len(processes_left)) as pool:
            list(pool.map(self.stop, processes_left))
            list(pool.map(self.collect, sidecars))
