"""Run the carrier daemons on loopback, with stand-ins of the platform, endpoints and requesters.

The daemons are separate processes, started by the `run` lines of the deploy file. The store, the
routers, the endpoints and the requesters run in the event loop of this process and do what the
users' pages say; the sentences that matter stand beside the code. Only the standard library is
used.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse
import zlib

ROOT = pathlib.Path(__file__).resolve().parent.parent

BROKEN, HELD, UNABLE = 10, 0, 2
"""Exit statuses; `run.sh` turns BROKEN into 1, which an error of Python itself would give too."""

HEAD = struct.Struct("!IIIIBHHIHI")
SYN, ACK, FIN, RST, BOUNCED = 2, 32, 8, 128, 64
MODULUS = 1 << 32
SUM_KEY = b"the ends' own key"

SYN_COPIES_S = (0.0, 0.2, 0.6)
OPEN_TIMEOUT_S = 1.4
RESEND_S, MAX_RESEND_S = 0.2, 1.6
RESET_WINDOW = 76_800

METRICS_PORT = 9464
PROBE_S = 0.5
HISTORY_S = 20.0
VALUE_BYTES = 1_048_576
PAGE_ITEMS, PAGE_BYTES = 500, 1_000_000


def now() -> float:
    """Return the steady clock in seconds."""
    return time.monotonic()


class Record:
    """What was sent, answered and run, with the time in seconds since the start of the case."""

    def __init__(self, folder: pathlib.Path):
        self.started = now()
        self.file = (folder / "record.txt").open("w")

    def write(self, text: str) -> None:
        """Add a line."""
        self.file.write(f"{now() - self.started:9.3f} {text}\n")
        self.file.flush()


# Packets


def pack(origin, target, flags, seq, ack, data=b"") -> bytes:
    """Return a packet with its keyed sum; `origin` and `target` are (host, port)."""
    source, sport = int_of(origin[0]), origin[1]
    dest, dport = int_of(target[0]), target[1]
    total = keyed_sum(seq, ack, flags, dport, dest, sport, source, data)
    return HEAD.pack(total, seq, ack, 0, flags, len(data), dport, dest, sport, source) + data


def keyed_sum(seq, ack, flags, dport, dest, sport, source, data) -> int:
    """Return the sum over all fields but `echo`, `pad` and BOUNCED."""
    head = HEAD.pack(0, seq, ack, 0, flags & ~BOUNCED, len(data), dport, dest, sport, source)
    return zlib.crc32(SUM_KEY + head + data) or 1


class Packet:
    """A parsed packet; `is_own` is whether one of the two ends wrote it so."""

    def __init__(self, raw: bytes):
        total, self.seq, self.ack, self.echo, self.flags, length, dport, dest, sport, source = (
            HEAD.unpack_from(raw)
        )
        self.raw = raw
        self.data = raw[HEAD.size :]
        self.origin, self.target = (host_of(source), sport), (host_of(dest), dport)
        self.total = total
        self.is_own = length == len(self.data) and total == keyed_sum(
            self.seq, self.ack, self.flags, dport, dest, sport, source, self.data
        )

    @property
    def is_system_reset(self) -> bool:
        """Return whether this is a reset of the system's own: an RST, no data, `sum` 0."""
        return self.flags == RST and not self.data and self.total == 0


def int_of(host: str) -> int:
    """Return an IPv4 address as a number."""
    return int.from_bytes(socket.inet_aton(host), "big")


def host_of(number: int) -> str:
    """Return an IPv4 address as text."""
    return socket.inet_ntoa(number.to_bytes(4, "big"))


# The platform's store


class Store:
    """The platform's store: linearizable, with a history of 20 s; only its read side is served."""

    def __init__(self):
        self.revision = 10
        self.items: dict[str, dict] = {}
        self.history: list[tuple[float, int, str, bytes]] = []
        self.floor = 10
        self.changed = asyncio.Event()
        self.largest_answer = 0

    async def serve(self, host: str, port: int) -> None:
        """Serve the calls at an address."""
        self.server = await asyncio.start_server(self.on_connection, host, port)

    def put(self, key: str, value: dict | None) -> int:
        """Write a value, or delete the key; return the revision, which confirms the write."""
        data = None
        if value is not None:
            data = base64.b64encode(json.dumps(value, separators=(",", ":")).encode())
        return self.put_encoded(key, data)

    def put_encoded(self, key: str, data: bytes | None) -> int:
        """Write a value, encoded as the store's answers show it, or delete the key."""
        value = data
        self.revision += 1
        head = b'{"key":"%s","revision":%d' % (key.encode(), self.revision)
        if data is None:
            self.items.pop(key, None)
            shown = head + b',"tombstone":true}'
        else:
            created = self.items[key]["created"] if key in self.items else self.revision
            shown = head + b',"value":"%s","created":%d,"lease":0}' % (data, created)
        if value is not None:
            self.items[key] = {"created": created, "shown": shown}
        self.history.append((now(), self.revision, key, shown))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def forget_old(self) -> None:
        """Drop the history that is older than 20 s."""
        while self.history and self.history[0][0] < now() - HISTORY_S:
            self.floor = self.history.pop(0)[1]

    async def on_connection(self, reader, writer) -> None:
        """Answer the calls of one channel."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                status, body = await self.answer(target)
                self.largest_answer = max(self.largest_answer, len(body))
                writer.write(
                    f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode() + body
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            writer.close()

    async def answer(self, target: str) -> tuple[int, bytes]:
        """Return the status and body of a call."""
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        if path == "/-/kv-range":
            return 200, self.page(fields.get("prefix", ""), fields.get("after", ""))
        if path == "/-/kv-watch":
            return await self.watch(fields)
        return 404, b"{}"

    def page(self, prefix: str, after: str) -> bytes:
        """Return a page of a list: at most about 500 items or 1 MB."""
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        shown, size = [], 0
        for key in keys:
            if shown and (len(shown) >= PAGE_ITEMS or size > PAGE_BYTES):
                break
            shown.append(self.items[key]["shown"])
            size += len(shown[-1])
        more = b"true" if len(shown) < len(keys) else b"false"
        tail = b'],"has_more":%s,"store_revision":%d}' % (more, self.revision)
        return b'{"items":[' + b",".join(shown) + tail

    async def watch(self, fields: dict[str, str]) -> tuple[int, bytes]:
        """Return the events after a revision, as soon as there is one."""
        after, prefix = int(fields["after"]), fields.get("prefix", "")
        until = now() + int(fields.get("wait_ms", "0")) / 1000
        while True:
            self.forget_old()
            if after < self.floor:
                return 410, b"{}"
            events = [s for _, r, k, s in self.history if r > after and k.startswith(prefix)]
            left = until - now()
            if events or left <= 0:
                tail = b'],"store_revision":%d}' % self.revision
                return 200, b'{"events":[' + b",".join(events) + tail
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass


# Endpoints


class Endpoint(asyncio.DatagramProtocol):
    """An endpoint beside a daemon; each start of one has its own id and holds its own flows.

    `took` is called with each opening packet that it takes, `ran` with each request that it runs.
    """

    def __init__(self, name: str, service: str, outbound, work_s: float = 0.02):
        self.name, self.service, self.outbound, self.work_s = name, service, outbound, work_s
        self.flows: dict = {}
        self.born = round(time.time() * 1000)
        self.alive = True
        self.took = self.ran = lambda *_: None
        self.foreign = 0
        self.forged = 0

    def connection_made(self, transport):
        """Keep the socket."""
        self.transport = transport

    def stop(self) -> None:
        """End without a word, and forget all flows."""
        self.alive = False
        self.flows.clear()
        self.transport.abort()

    def send(self, raw: bytes) -> None:
        """Send a packet to `outbound`, as all of its packets."""
        if self.alive:
            self.transport.sendto(raw, self.outbound)

    def datagram_received(self, raw, addr):
        """Take a packet, or return it with BOUNCED set."""
        if not self.alive:
            return
        got = Packet(raw)
        if not got.is_own:
            self.forged += 1
            return
        flow = (got.origin, got.target)
        if got.flags & SYN:
            self.on_syn(flow, got)
            return
        held = self.flows.get(flow)
        if held is None or (not held["open"] and got.ack != (held["seq"] + 1) % MODULUS):
            self.foreign += 1
            marked = bytearray(raw)
            marked[16] |= BOUNCED
            self.send(bytes(marked))
            return
        self.on_packet(flow, held, got)

    def on_syn(self, flow, got: Packet) -> None:
        """Accept a flow with a position of this endpoint's own."""
        if flow not in self.flows:
            seq = random.randrange(MODULUS)
            self.flows[flow] = {
                "seq": seq,
                "next": (seq + 1) % MODULUS,
                "expected": (got.seq + 1) % MODULUS,
                "open": False,
                "sent": {},
                "unacknowledged": 0,
            }
            self.took(self, flow)
        held = self.flows[flow]
        self.send(pack(flow[1], flow[0], SYN | ACK, held["seq"], held["expected"]))

    def on_packet(self, flow, held, got: Packet) -> None:
        """Run a request, or acknowledge a copy of one."""
        held["open"] = True
        if got.flags & RST:
            del self.flows[flow]
            return
        held["acknowledged"] = got.ack
        if not got.data:
            return
        if got.seq != held["expected"]:
            self.send(pack(flow[1], flow[0], ACK, held["next"], held["expected"]))
            return
        held["expected"] = (held["expected"] + len(got.data)) % MODULUS
        self.ran(self, flow, got.data)
        asyncio.get_running_loop().call_later(self.work_s, self.answer, flow, held, got.data)

    def answer(self, flow, held, request: bytes) -> None:
        """Answer a request; send the answer again until it is acknowledged."""
        if self.flows.get(flow) is not held:
            return
        body = b"answer of " + self.name.encode() + b" to " + request.split(b"\r\n")[1]
        data = (
            b"HTTP/1.1 200 OK\r\nResponse-Seal: %08x\r\nContent-Length: %d\r\n\r\n"
            % (zlib.crc32(body), len(body))
        ) + body
        raw = pack(flow[1], flow[0], ACK, held["next"], held["expected"], data)
        held["next"] = (held["next"] + len(data)) % MODULUS
        self.resend(flow, held, raw, held["next"], RESEND_S)

    def resend(self, flow, held, raw: bytes, end: int, pause: float) -> None:
        """Send a packet, and again until it is acknowledged."""
        if self.flows.get(flow) is not held or held.get("acknowledged") == end:
            return
        self.send(raw)
        later = min(MAX_RESEND_S, 2 * pause)
        asyncio.get_running_loop().call_later(pause, self.resend, flow, held, raw, end, later)


# Requesters


class Flow:
    """One flow of a requester, with one request at a time.

    `state` is opening, open, failed (it never opened), reset or closed.
    """

    def __init__(self, world: "Deployment", caller, route):
        self.world, self.caller, self.route = world, caller, route
        self.seq = random.randrange(MODULUS)
        self.ack = 0
        self.state = "opening"
        self.opened_at = 0.0
        self.request = None
        self.answers = 0
        self.answered = asyncio.Event()
        self.ended = asyncio.Event()
        self.through = None
        self.created_at = now()
        loop = asyncio.get_running_loop()
        for number, after in enumerate(SYN_COPIES_S):
            loop.call_later(after, self.send_syn, number)
        loop.call_later(OPEN_TIMEOUT_S, self.give_up)

    def send(self, flags, seq, ack, data=b"") -> None:
        """Send a packet through the daemon that the router selects now."""
        self.through = self.world.router.select(self.caller, self.route)
        if self.through is not None:
            raw = pack(self.caller, self.route, flags, seq, ack, data)
            self.world.send(raw, (self.through.host, self.world.ports["data"]))

    def send_syn(self, number: int) -> None:
        """Send a copy of the opening packet."""
        if self.state == "opening":
            self.send(SYN, self.seq, number)

    def give_up(self) -> None:
        """End an attempt without an answer to its opening packets."""
        if self.state == "opening":
            self.end("failed")

    def end(self, state: str) -> None:
        """End the flow."""
        self.state, self.ended_at = state, now()
        self.world.flows.pop((self.caller, self.route), None)
        self.ended.set()
        self.answered.set()

    def close(self) -> None:
        """End an open flow; its endpoint forgets it."""
        if self.state == "open":
            self.send(RST | ACK, self.seq, self.ack)
            self.end("closed")

    async def ask(self, timeout: float, note: str = "") -> bool:
        """Send a request on the flow; return whether it was answered in time."""
        self.world.next_request += 1
        identity = f"Request-Id: {self.world.next_request}"
        head = f"GET / HTTP/1.1\r\n{identity}\r\n\r\n".encode()
        self.request, self.request_id = head, identity
        self.answered.clear()
        self.interval = RESEND_S
        if self.state == "open":
            self.send_request(head)
        try:
            await asyncio.wait_for(self.answered.wait(), timeout)
        except TimeoutError:
            return False
        return self.request is None

    def send_request(self, data: bytes) -> None:
        """Send the request, and again until it is answered."""
        if self.state != "open" or self.request is not data:
            return
        self.send(ACK, self.seq, self.ack, data)
        asyncio.get_running_loop().call_later(self.interval, self.send_request, data)
        self.interval = min(MAX_RESEND_S, 2 * self.interval)

    def on_packet(self, got: Packet, sender: str) -> None:
        """Take a packet of the flow's endpoint, or a reset."""
        if got.is_system_reset:
            self.on_reset(got, sender)
        elif not got.is_own:
            self.world.forged += 1
        elif got.flags & RST:
            self.end("ended by its endpoint")
        elif got.flags & SYN and self.state == "opening":
            self.state, self.opened_at = "open", now()
            self.seq = (self.seq + 1) % MODULUS
            self.ack = (got.seq + 1) % MODULUS
            self.send(ACK, self.seq, self.ack)
            if self.request is not None:
                self.send_request(self.request)
        elif got.data and self.state == "open":
            if got.seq == self.ack and self.request is not None:
                self.ack = (got.seq + len(got.data)) % MODULUS
                self.seq = (self.seq + len(self.request)) % MODULUS
                self.request = None
                self.answers += 1
                self.answered.set()
            self.send(ACK, self.seq, self.ack)

    def on_reset(self, got: Packet, sender: str) -> None:
        """Take a reset of the system: any before the flow is open, then one near the last `ack`."""
        near = (got.seq - self.ack + RESET_WINDOW) % MODULUS <= 2 * RESET_WINDOW
        if self.state == "opening":
            self.end("failed")
        elif near:
            self.reset_by = sender
            self.end("reset")


# Routers and machines


class Machine:
    """A machine with one daemon; `endpoint` is set on the machines of endpoints."""

    def __init__(self, name: str, role: str, host: str, memory_mb: int):
        self.name, self.role, self.host, self.memory_mb = name, role, host, memory_mb
        self.process = None
        self.endpoint = None
        self.service = None
        self.started_at = 0.0


class Router:
    """The routers: a hash (`mod`) of addresses and ports over the daemons in rotation."""

    def __init__(self, world: "Deployment"):
        self.world = world
        self.rotation: list[Machine] = []
        self.misses: dict[str, int] = {}
        self.has_asked = asyncio.Event()

    async def asked(self) -> None:
        """Wait until the daemons have been asked the next time."""
        self.has_asked.clear()
        await self.has_asked.wait()

    def select(self, caller, route) -> Machine | None:
        """Return the daemon that gets the packets of a flow now."""
        if not self.rotation:
            return None
        key = f"{caller}{route}".encode()
        return self.rotation[zlib.crc32(key) % len(self.rotation)]

    async def run(self) -> None:
        """Ask each daemon twice per second; two misses take it out of rotation."""
        while True:
            fronts = [m for m in self.world.machines if m.role == "balancer"]
            ready = await asyncio.gather(*(self.world.is_ready(m) for m in fronts))
            for machine, is_ready in zip(fronts, ready, strict=True):
                missed = 0 if is_ready else self.misses.get(machine.name, 2) + 1
                self.misses[machine.name] = missed
            self.set([m for m in fronts if self.misses[m.name] < 2])
            self.has_asked.set()
            await asyncio.sleep(PROBE_S)

    def set(self, rotation: list[Machine]) -> None:
        """Change the rotation."""
        if [m.name for m in rotation] != [m.name for m in self.rotation]:
            names = ", ".join(m.name for m in rotation)
            self.world.record.write(f"in rotation: {names}")
            self.rotation = rotation


class Callers(asyncio.DatagramProtocol):
    """The requesters' socket."""

    def __init__(self, world: "Deployment"):
        self.world = world

    def connection_made(self, transport):
        """Keep the socket."""
        self.transport = transport

    def datagram_received(self, raw, addr):
        """Pass a packet to its flow."""
        got = Packet(raw)
        flow = self.world.flows.get((got.target, got.origin))
        if flow is not None:
            flow.on_packet(got, addr[0])


class Deployment:
    """A small deployment on loopback; use it with `async with`."""

    def __init__(
        self,
        folder: pathlib.Path,
        fronts: dict[str, str],
        sides: dict[str, tuple],
        *,
        states_born: bool = False,
    ):
        self.states_born = states_born
        self.record = Record(folder)
        self.net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.directory = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.directory.name)
        self.zones = dict.fromkeys({*fronts.values(), *(z for z, _ in sides.values())}, "region")
        self.store = Store()
        self.store_host = f"{self.net}.1"
        self.caller_host = f"{self.net}.2"
        self.route_host = f"{self.net}.3"
        self.machines: list[Machine] = []
        self.zone_of: dict[str, str] = {}
        for number, (name, zone) in enumerate(fronts.items()):
            self.machines.append(Machine(name, "balancer", f"{self.net}.{10 + number}", 300))
            self.zone_of[name] = zone
        for number, (name, (zone, service)) in enumerate(sides.items()):
            machine = Machine(name, "sidecar", f"{self.net}.{100 + number}", 168)
            machine.service = service
            self.machines.append(machine)
            self.zone_of[name] = zone
        self.ports = dict(
            zip(
                ("data", "ready", "internal", "outbound", "app", "store"),
                free_ports(f"{self.net}.1", 6),
                strict=True,
            )
        )
        self.router = Router(self)
        self.flows: dict = {}
        self.next_port = 20_000
        self.next_request = 0
        self.version = 0
        self.encoded_routes = (None, b"", 0)
        self.forged = 0
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.commands = {name: role["run"].split() for name, role in deploy["roles"].items()}
        self.tasks: list[asyncio.Task] = []

    def machine(self, name: str) -> Machine:
        """Return a machine by its name."""
        return next(m for m in self.machines if m.name == name)

    @property
    def fronts(self) -> list[Machine]:
        """Return the machines of class front."""
        return [m for m in self.machines if m.role == "balancer"]

    @property
    def sides(self) -> list[Machine]:
        """Return the machines of class side."""
        return [m for m in self.machines if m.role == "sidecar"]

    async def __aenter__(self) -> "Deployment":
        loop = asyncio.get_running_loop()
        await self.store.serve(self.store_host, self.ports["store"])
        self.callers, _ = await loop.create_datagram_endpoint(
            lambda: Callers(self), local_addr=(self.caller_host, self.ports["data"])
        )
        for machine in self.sides:
            await self.add_endpoint(machine, machine.service)
        return self

    async def __aexit__(self, *_) -> None:
        self.store.server.close()
        for task in self.tasks:
            task.cancel()
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait(10)
        if keep := os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        self.directory.cleanup()

    async def start(self) -> None:
        """Start all daemons and wait until they are ready."""
        for machine in self.machines:
            self.spawn(machine)
        end = now() + 20
        while not all(await asyncio.gather(*(self.is_ready(m) for m in self.machines))):
            if now() > end:
                raise RuntimeError("the daemons were not ready in 20 s")
            await asyncio.sleep(0.1)
        self.tasks.append(asyncio.create_task(self.router.run()))
        while len(self.router.rotation) < len(self.fronts):
            await asyncio.sleep(0.05)

    async def add_endpoint(self, machine: Machine, service: str, cold_s: float = 0.0) -> None:
        """Start the endpoint of a machine and let it register itself."""
        outbound = (machine.host, self.ports["outbound"])
        identity = f"i-{random.randrange(1 << 40):010x}"
        _, machine.endpoint = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: Endpoint(identity, service, outbound),
            local_addr=(machine.host, self.ports["app"]),
        )
        self.register(machine, warmup_left_s=cold_s)

    def register(self, machine: Machine, state="ready", warmup_left_s: float = 0.0) -> None:
        """Write the entry of a machine's endpoint."""
        body = {
            "service": machine.endpoint.service,
            "address": f"{machine.host}:{self.ports['app']}",
            "zone": self.zone_of[machine.name],
            "version": "v1",
            "max_concurrency": 4,
            "state": state,
            "warmup_left_ms": round(1000 * warmup_left_s),
            "seq": 1,
        }
        if self.states_born:
            body["born"] = machine.endpoint.born
        self.store.put(f"servers/{machine.endpoint.name}", body)

    def configure(self, routes: list[dict], services: set[str], idle_ms: int = 15_000) -> int:
        """Write a new version of the configuration in full; return its size in bytes."""
        self.version += random.randrange(1, 5)
        body = {
            "version": self.version,
            "services": [
                {"name": s, "health_path": "/health", "max_conns": 2000, "protocol": "h1"}
                for s in sorted(services)
            ],
            "limits": {
                "max_header_bytes": 16_384,
                "max_body_bytes": 262_144,
                "header_timeout_ms": 3_000,
                "idle_timeout_ms": idle_ms,
            },
        }
        if self.encoded_routes[0] is not routes:
            shown = json.dumps(routes, separators=(",", ":")).encode() + b"}"
            self.encoded_routes = (routes, base64.b64encode(shown), len(shown))
        _, tail, tail_size = self.encoded_routes
        # The head fills whole groups of three bytes, so the routes are encoded only once.
        head = json.dumps(body, separators=(",", ":")).encode()[:-1] + b',"routes":'
        head += b" " * (-len(head) % 3)
        size = len(head) + tail_size
        if size > VALUE_BYTES:
            raise ValueError(f"{size} bytes are more than the store takes")
        self.store.put_encoded("op/config", base64.b64encode(head) + tail)
        return size

    def route(self, name: str, port: int, service: str, host: str = "") -> dict:
        """Return a route as the configuration holds it."""
        return {
            "name": name,
            "host": host or self.route_host,
            "prefix": f"/{port}/",
            "type": "safe",
            "timeout_ms": 2500,
            "latency_slo_ms": 150,
            "priority": 2,
            "service": service,
            "attempts": 2,
        }

    def spawn(self, machine: Machine) -> None:
        """Start a machine's daemon by the `run` line of its role."""
        settings = self.folder / f"{machine.name}.json"
        settings.write_text(json.dumps(self.settings_of(machine)))
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["EBONYSTILE_NODE_FILE"] = str(settings)
        log = (self.folder / f"{machine.name}.log").open("ab")
        machine.process = subprocess.Popen(
            self.commands[machine.role],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()
        machine.started_at = now()

    def settings_of(self, machine: Machine) -> dict:
        """Return what the platform makes of the template `deploy/settings.json`."""
        ports = self.ports
        body = {
            "name": machine.name,
            "role": machine.role,
            "zone": self.zone_of[machine.name],
            "regions": self.zones,
            "packets": f"{machine.host}:{ports['data']}",
            "ready": f"{machine.host}:{ports['ready']}",
            "internal_port": ports["internal"],
            "store": f"{self.store_host}:{ports['store']}",
            "link_mbps": 1000.0,
            "change_bounds_ms": [10000, 3000, 3000],
            "admission": False,
            "metrics": f"{machine.host}:{METRICS_PORT}",
            "seeds": [f"{m.host}:8166" for m in self.fronts[:3]],
        }
        if machine.role == "sidecar":
            body["from_upstream"] = f"{machine.host}:{ports['outbound']}"
            body["upstream"] = f"{machine.host}:{ports['app']}"
            body["service"] = machine.service
        return body

    def signal(self, machine: Machine, number: int) -> None:
        """Send a signal to a machine's daemon."""
        self.record.write(f"{signal.Signals(number).name} to {machine.name}")
        machine.process.send_signal(number)

    def log_of(self, machine: Machine) -> str:
        """Return what a machine's daemons have logged."""
        return (self.folder / f"{machine.name}.log").read_text(errors="replace")

    async def is_ready(self, machine: Machine) -> bool:
        """Return whether a daemon answers 200 at its readiness address."""
        try:
            async with asyncio.timeout(0.4):
                reader, writer = await asyncio.open_connection(machine.host, self.ports["ready"])
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
            return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    def send(self, raw: bytes, address) -> None:
        """Send a packet of a requester."""
        self.callers.sendto(raw, address)

    def open_flow(self, port: int, host: str = "") -> Flow:
        """Begin a flow to a route, from a new port."""
        self.next_port += 1
        caller, route = (self.caller_host, self.next_port), (host or self.route_host, port)
        flow = self.flows[(caller, route)] = Flow(self, caller, route)
        return flow


def free_ports(host: str, count: int) -> list[int]:
    """Return free ports of a loopback address."""
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_STREAM) for _ in range(count)]
    for each in sockets:
        each.bind((host, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def in_trouble() -> bool:
    """Return whether the disruption takes place: not with TROUBLE=0."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(case) -> None:
    """Run a case, a coroutine function that returns the exit status, and exit with it."""
    try:
        status = asyncio.run(asyncio.wait_for(case(), 115))
    except Exception as error:  # noqa: BLE001
        print(f"the case could not run: {error!r}", file=sys.stderr)
        status = UNABLE
    sys.exit(status)
