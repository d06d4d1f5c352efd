"""Run the daemons that carry flows as real processes on loopback.

The store, the upstreams and the callers are stand-ins in this process; each machine has its own
loopback address. Faults are injected by signals, by the modes of the store, by the rates of links
and by stopping or slowing upstreams.
"""

import collections
import contextlib
import dataclasses
import heapq
import http.client
import json
import os
import pathlib
import selectors
import signal
import socket
import subprocess
import sys
import threading
import time
import typing

from ebonystile.core.carrying import packet
from ebonystile.platform import packets
from standins import ends, narrow_link, store, system

ROOT = pathlib.Path(__file__).resolve().parent.parent
SERVICE = "line-status"
ROUTE = ("198.18.0.1", 443)
START_S = 15.0
STEP_S = 0.02


@dataclasses.dataclass(frozen=True)
class Ports:
    """The ports of an installation, the same on all of its machines."""

    packets: int
    ready: int
    metrics: int
    internal: int
    from_upstream: int
    upstream: int


class Reservation:
    """Reserves the ports of one installation until it is released.

    `free_port` checks an address that no machine uses, so it may return the same port twice, also
    to installations that start at the same time. A socket bound there holds each port.
    """

    def __init__(self) -> None:
        self.guards: list[socket.socket] = []
        self.ports = Ports(*(self.reserve() for _ in dataclasses.fields(Ports)))

    def reserve(self) -> int:
        """Return a port reserved for this installation."""
        while True:
            port = system.free_port()
            with contextlib.suppress(OSError):
                self.guards.append(udp(("127.0.0.1", port)))
                return port

    def release(self) -> None:
        """Release the ports."""
        for guard in self.guards:
            guard.close()

    def __enter__(self) -> "Reservation":
        return self

    def __exit__(self, *_: object) -> None:
        self.release()


@dataclasses.dataclass
class Machine:
    """One instance: its address, the settings of its daemon and the daemon's process.

    `lines_at_start` is the number of log lines before the process was started. `door` is where it
    reads the store. `link` is the file with the rate of its link, None if the rate is not limited.
    Answers of its upstream are sent `answer_delay_ms` late.
    """

    name: str
    role: str
    host: str
    settings: pathlib.Path
    log: pathlib.Path
    door: store.Door
    process: subprocess.Popen | None = None
    lines_at_start: int = 0
    upstream: ends.Upstream | None = None
    upstream_socket: socket.socket | None = None
    link: pathlib.Path | None = None
    answer_delay_ms: int = 0


class Installation:
    """An installation on loopback; use it in a `with` block.

    `link_mbps` limits the links of the first balancers, and their settings state the rates.
    `traits` has what the configuration states about the requests of a route, by its endpoint.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        balancers: int = 2,
        upstreams: int = 3,
        link_mbps: typing.Sequence[float] = (),
        traits: dict[tuple[str, int], dict[str, typing.Any]] | None = None,
    ):
        self.directory = directory
        self.link_mbps = link_mbps
        self.traits = traits or {}
        self.reservation = Reservation()
        self.ports = self.reservation.ports
        self.store = store.Store()
        self.lock = threading.RLock()
        self.selector = selectors.DefaultSelector()
        self.callers: dict[packet.Flow, ends.Caller] = {}
        self.caller_socket = udp(("127.0.3.1", self.ports.packets))
        self.selector.register(self.caller_socket, selectors.EVENT_READ, self.on_caller_packet)
        self.next_port = 20_000
        self.unread: list[int] = []
        self.shown: collections.deque[tuple[int, packet.Flow, bool]] = collections.deque(
            maxlen=5_000
        )
        self.delayed: list[tuple[int, int, Machine, bytes]] = []
        self.delayed_count = 0
        self.version = 0
        self.longest_turn_ms = 0
        self.balancers = [self.machine("balancer", n) for n in range(balancers)]
        self.sidecars = [self.machine("sidecar", n) for n in range(upstreams)]
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.drive, daemon=True)

    def __enter__(self) -> "Installation":
        self.configure({ROUTE: SERVICE})
        for machine in self.sidecars:
            self.publish(machine)
        self.thread.start()
        for machine in (*self.sidecars, *self.balancers):
            self.start(machine)
        self.wait(lambda: all(self.is_ready(m) for m in (*self.sidecars, *self.balancers)))
        return self

    def __exit__(self, *_: object) -> None:
        for machine in (*self.sidecars, *self.balancers):
            self.signal(machine, signal.SIGCONT)
            self.signal(machine, signal.SIGKILL)
        for machine in (*self.sidecars, *self.balancers):
            if machine.process is not None:
                machine.process.wait(10)
        self.ended.set()
        self.thread.join(10)
        for descriptor in self.unread:
            os.close(descriptor)
        self.store.close()
        self.selector.close()
        self.caller_socket.close()
        for machine in self.sidecars:
            machine.upstream_socket.close()
        self.reservation.release()

    def machine(self, role: str, number: int) -> Machine:
        """Return a machine with its settings file, and with an upstream if it runs a sidecar."""
        net = 1 if role == "sidecar" else 2
        host = f"127.0.{net}.{number + 1}"
        name = f"{role}-{number + 1}"
        settings = self.directory / f"{name}.json"
        door = self.store.open_door()
        body = {
            "name": name,
            "role": role,
            "zone": "a",
            "packets": f"{host}:{self.ports.packets}",
            "ready": f"{host}:{self.ports.ready}",
            "metrics": f"{host}:{self.ports.metrics}",
            "internal_port": self.ports.internal,
            "store": door.address,
            "seeds": [f"127.0.2.{n}:{self.ports.internal}" for n in (1, 2)],
            **self.extra_settings(role),
        }
        made = Machine(name, role, host, settings, self.directory / f"{name}.log", door)
        if role == "balancer" and number < len(self.link_mbps):
            body["link_mbps"] = self.link_mbps[number]
            made.link = self.directory / f"{name}.link"
            self.set_link(made, self.link_mbps[number])
        if role == "sidecar":
            body["from_upstream"] = f"{host}:{self.ports.from_upstream}"
            body["upstream"] = f"{host}:{self.ports.upstream}"
            body["service"] = SERVICE
            made.upstream = ends.Upstream(name, 1_000_000 * (number + 1))
            made.upstream_socket = udp((host, self.ports.upstream))
            self.selector.register(
                made.upstream_socket, selectors.EVENT_READ, lambda: self.on_upstream_packet(made)
            )
        settings.write_text(json.dumps(body))
        return made

    def extra_settings(self, role: str) -> dict:
        """Return the settings that an installation with other settings adds or replaces."""
        return {}

    def set_link(self, machine: Machine, mbps: float) -> None:
        """Set the rate of a limited link, in Mbit/s; the settings of its daemon stay as they are.

        The file is replaced as a whole, as the daemon reads it at any time.
        """
        written = machine.link.with_suffix(".new")
        written.write_text(str(mbps))
        written.replace(machine.link)

    def publish(self, machine: Machine, **changes) -> None:
        """Write the store entry of an upstream."""
        self.store.put(f"servers/{machine.name}", self.entry_of(machine, **changes))

    def entry_of(self, machine: Machine, **changes) -> dict:
        """Return the store entry of an upstream."""
        return {
            "service": SERVICE,
            "address": f"{machine.host}:{self.ports.upstream}",
            "zone": "a",
            "version": "v1",
            "max_concurrency": 2,
            "state": "ready",
            "warmup_left_ms": 0,
            "seq": 1,
            "born": 1,
            **changes,
        }

    def configure(self, routes: dict[tuple[str, int], str]) -> None:
        """Publish a new version of the configuration."""
        self.version += 3
        listed = self.route_bodies(routes)
        limits = {"idle_timeout_ms": 15_000}
        body = {"version": self.version, "routes": listed, "services": [], "limits": limits}
        self.store.put("op/config", body)

    def route_bodies(self, routes: dict[tuple[str, int], str]) -> list[dict]:
        """Return the routes as the configuration lists them."""
        return [
            {
                "name": f"r{port}",
                "host": host,
                "prefix": f"/{port}/",
                "service": service,
                **self.traits.get((host, port), {}),
            }
            for (host, port), service in routes.items()
        ]

    def start(self, machine: Machine) -> None:
        """Start a machine's daemon."""
        with machine.log.open("a") as log:
            self.spawn(machine, log)

    def start_unread(self, machine: Machine) -> None:
        """Start a machine's daemon with a full pipe that is never read as its standard output."""
        reading, writing = os.pipe()
        os.set_blocking(writing, False)
        try:
            while True:
                os.write(writing, b"x" * 4096)
        except BlockingIOError:
            pass
        self.spawn(machine, writing)
        os.close(writing)
        self.unread.append(reading)

    def spawn(self, machine: Machine, output: typing.Any) -> None:
        """Start a machine's daemon, with `output` as its standard output."""
        environment = {**os.environ, "EBONYSTILE_NODE_FILE": str(machine.settings)}
        environment["PYTHONPATH"] = os.pathsep.join([str(ROOT / "src"), str(ROOT)])
        module = "ebonystile.carrier"
        if machine.link is not None:
            module = "standins.narrow_link"
            environment[narrow_link.FILE_VARIABLE] = str(machine.link)
        machine.lines_at_start = len(self.lines(machine))
        machine.process = subprocess.Popen(
            [sys.executable, "-m", module, machine.role],
            env=environment,
            stdout=output,
            stderr=subprocess.STDOUT,
        )

    def signal(self, machine: Machine, number: int) -> None:
        """Send a signal to a machine's daemon if it is running."""
        if machine.process is not None and machine.process.poll() is None:
            machine.process.send_signal(number)

    def kill(self, machine: Machine) -> None:
        """Kill a machine's daemon and wait for it to exit."""
        self.signal(machine, signal.SIGKILL)
        machine.process.wait(10)

    def stop(self, machine: Machine) -> int:
        """Terminate a machine's daemon and return its exit status."""
        self.signal(machine, signal.SIGTERM)
        return machine.process.wait(10)

    def is_ready(self, machine: Machine) -> bool:
        """Return whether a machine's daemon reports that it is ready for packets."""
        try:
            return self.page(machine, self.ports.ready, "/-/ready").status == http.HTTPStatus.OK
        except (OSError, http.client.HTTPException):
            return False

    def metrics(self, machine: Machine) -> dict[str, float]:
        """Return the metrics of a machine's daemon by name with labels."""
        page = self.page(machine, self.ports.metrics, "/metrics")
        lines = page.read().decode().splitlines()
        samples = [line.rpartition(" ") for line in lines if not line.startswith("#")]
        return {name: float(value) for name, _, value in samples}

    def page(self, machine: Machine, port: int, path: str) -> http.client.HTTPResponse:
        """Return the HTTP response of a machine's daemon for a path."""
        connection = http.client.HTTPConnection(machine.host, port, timeout=1)
        connection.request("GET", path, headers={"Connection": "close"})
        return connection.getresponse()

    def lines(self, machine: Machine) -> list[str]:
        """Return the log lines of a machine's daemons."""
        return machine.log.read_text().splitlines() if machine.log.exists() else []

    def has_begun(self, machine: Machine) -> bool:
        """Return whether a machine's current or last daemon has logged its start."""
        return any("event=start " in line for line in self.lines(machine)[machine.lines_at_start :])

    def wait(self, done, seconds: float = START_S) -> None:
        """Wait until a condition holds; raise AssertionError on timeout."""
        end = time.monotonic() + seconds
        while not done():
            if time.monotonic() > end:
                raise AssertionError(f"condition not met within {seconds} s: {done}")
            time.sleep(STEP_S)

    def caller(
        self, through: Machine, request: bytes = b"hello", route: tuple[str, int] = ROUTE
    ) -> ends.Caller:
        """Start a caller whose flow goes through a balancer, with its first request."""
        with self.lock:
            self.next_port += 1
            flow = packet.endpoint_of("127.0.3.1", self.next_port) + packet.endpoint_of(*route)
            made = ends.Caller(flow, now_ms())
            made.through = through
            made.ask(request, now_ms())
            self.callers[flow] = made
        return made

    def ask(self, caller: ends.Caller, request: bytes) -> None:
        """Send a request on a caller's open flow."""
        with self.lock:
            caller.ask(request, now_ms())

    def close(self, caller: ends.Caller) -> None:
        """Close a caller's open flow."""
        with self.lock:
            self.send(caller, caller.close())

    def answered(
        self, caller: ends.Caller, request: bytes = b"hello", seconds: float = 10
    ) -> bytes:
        """Wait for the answer to a request and return the name of the upstream.

        Raise AssertionError on timeout, with what the caller and this installation did.
        """
        try:
            self.wait(
                lambda: caller.answer is not None and caller.answer.endswith(b":" + request),
                seconds,
            )
        except AssertionError as error:
            raise AssertionError(
                f"no answer within {seconds} s: {caller.describe()}; longest turn of the "
                f"stand-ins {self.longest_turn_ms} ms, {len(self.callers)} callers"
            ) from error
        return caller.answer.partition(b":")[0]

    def drive(self) -> None:
        """Send the callers' due packets and receive packets until the installation stops."""
        turn_ended_at = now_ms()
        while not self.ended.is_set():
            now = now_ms()
            self.longest_turn_ms = max(self.longest_turn_ms, now - turn_ended_at)
            turn_ended_at = now
            for key, _ in self.selector.select(STEP_S / 4):
                with self.lock:
                    key.data()
            with self.lock:
                self.callers = {f: c for f, c in self.callers.items() if not c.over}
                for caller in self.callers.values():
                    for raw in caller.due(now_ms()):
                        self.send(caller, raw)
                self.send_delayed(now_ms())

    def send(self, caller: ends.Caller, raw: bytes) -> None:
        """Send a caller's packet to its balancer."""
        try:
            self.caller_socket.sendto(raw, (caller.through.host, self.ports.packets))
        except OSError:
            # The balancer's port is closed while it is down; the caller sends again.
            pass

    def on_caller_packet(self) -> None:
        """Receive one packet and pass it to its flow's caller."""
        try:
            raw = self.caller_socket.recv(65_535)
        except OSError:
            return
        received = packets.from_upstream(raw)
        caller = self.callers.get(received.flow) if received is not None else None
        if caller is None:
            return
        for sent in caller.on_packet(raw, now_ms()):
            self.send(caller, sent)

    def on_upstream_packet(self, machine: Machine) -> None:
        """Receive one packet for an upstream and send its replies."""
        try:
            raw = machine.upstream_socket.recv(65_535)
        except OSError:
            return
        shown = packets.from_caller(raw)
        if shown is not None and not shown.opens:
            held = shown.flow in machine.upstream.flows
            self.shown.append((now_ms(), shown.flow, held))
        is_delayed = machine.answer_delay_ms and shown is not None and shown.length
        for sent in machine.upstream.on_packet(raw):
            if is_delayed:
                self.delayed_count += 1
                due = now_ms() + machine.answer_delay_ms
                heapq.heappush(self.delayed, (due, self.delayed_count, machine, sent))
            else:
                self.send_from_upstream(machine, sent)

    def send_delayed(self, now: int) -> None:
        """Send the delayed answers that are due, unless their upstream has lost the flow since."""
        while self.delayed and self.delayed[0][0] <= now:
            _, _, machine, raw = heapq.heappop(self.delayed)
            if packets.from_upstream(raw).flow in machine.upstream.flows:
                self.send_from_upstream(machine, raw)

    def send_from_upstream(self, machine: Machine, raw: bytes) -> None:
        """Send a packet of an upstream to its sidecar."""
        try:
            machine.upstream_socket.sendto(raw, (machine.host, self.ports.from_upstream))
        except OSError:
            # The sidecar is down; callers send again.
            pass

    def foreign(self) -> int:
        """Return the number of packets that reached upstreams for flows that they do not hold."""
        return sum(sum(m.upstream.foreign.values()) for m in self.sidecars)


def udp(address: tuple[str, int]) -> socket.socket:
    """Return a bound, non-blocking UDP socket."""
    made = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    made.setblocking(False)
    try:
        made.bind(address)
    except OSError:
        made.close()
        raise
    return made


def now_ms() -> int:
    """Return the monotonic clock in ms."""
    return time.monotonic_ns() // 1_000_000
