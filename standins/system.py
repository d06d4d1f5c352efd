"""Start balancers and sidecars on loopback, with stand-ins, for tests and the demo."""

import contextlib
import json
import pathlib
import secrets
import socket
import tempfile
import threading
import time
import typing

import urllib3

from standins import processes

HTTP = urllib3.PoolManager(retries=False, timeout=2.0)
READY_S = 30
POLL_S = 0.05


PORTS = range(10_000, 30_000)
"""Below the ephemeral port range.

An outgoing connection could otherwise take a port between the check that it is free and its use.
"""


def free_port() -> int:
    """Return a port that is currently free for UDP and TCP."""
    while True:
        port = secrets.choice(PORTS)
        with (
            contextlib.suppress(OSError),
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
        ):
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
            return port


class System:
    """The processes of a run: a platform, balancers, and upstreams with their sidecars."""

    def __init__(
        self,
        children: processes.Children,
        *platform_arguments: object,
        logs: pathlib.Path | None = None,
    ):
        self.children = children
        self.logs = logs
        self.temporary = tempfile.TemporaryDirectory(prefix="ebonystile-")
        self.directory = pathlib.Path(self.temporary.name)
        self.lock = threading.Lock()
        self.platform = children.start_platform(*platform_arguments)
        self.key = secrets.token_hex(32)
        self.balancers: dict[str, Balancer] = {}
        self.labels: dict[str, dict[str, str]] = {}

    def publish_services(self, selectors: dict[str, dict[str, str]]) -> None:
        """Publish services with their selectors."""
        services = {
            name: {"address": f"10.1.0.{number}:443", "selector": selector}
            for number, (name, selector) in enumerate(selectors.items(), 1)
        }
        processes.publish_value(self.platform, "services/00", {"services": services})

    def label(self, name: str, labels: dict[str, str] | None) -> None:
        """Publish an instance's labels; None removes them."""
        with self.lock:
            self.labels.pop(name, None)
            if labels is not None:
                self.labels[name] = labels
            processes.publish_value(self.platform, "labels/00", {"instances": self.labels})

    def enlist(self, name: str, role: str, port: int, zone: str, state: str = "live") -> None:
        """Add an instance to the platform's list, or update it."""
        processes.publish_instance(self.platform, name, role, f"127.0.0.1:{port}", zone, state)

    def settings(self, name: str, port: int, zone: str, **extra: typing.Any) -> pathlib.Path:
        """Write a settings file and return its path."""
        document = {
            "name": name,
            "zone": zone,
            "address": f"127.0.0.1:{port}",
            "platform": self.platform.url,
            "keys": [{"id": 1, "secret": self.key}],
            **extra,
        }
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(document))
        return path

    def start_balancer(self, name: str, zone: str, **extra: typing.Any) -> "Balancer":
        """Start a balancer and add it to the platform's list."""
        balancer = Balancer(name, zone, free_port(), free_port())
        path = self.settings(
            name, balancer.port, zone, listen=f"127.0.0.1:{balancer.listen}", **extra
        )
        balancer.child = self.launch("ebonystile.commands.balancer", name, path)
        self.enlist(name, "balancer", balancer.port, zone)
        wait_healthy(balancer.child, balancer.port)
        self.balancers[name] = balancer
        return balancer

    def start_sidecar(
        self, name: str, zone: str, upstream: processes.Child, **extra: typing.Any
    ) -> "Sidecar":
        """Start the sidecar of an upstream and add it to the platform's list."""
        sidecar = Sidecar(name, zone, free_port(), upstream)
        path = self.settings(name, sidecar.port, zone, upstream=upstream.url, **extra)
        sidecar.child = self.launch("ebonystile.commands.sidecar", name, path)
        self.enlist(name, "upstream", sidecar.port, zone)
        wait_healthy(sidecar.child, sidecar.port)
        return sidecar

    def launch(self, module: str, name: str, settings: pathlib.Path) -> processes.Child:
        """Start a module; with `logs`, its standard error goes to a file in that folder."""
        log = self.logs / f"{name}.log" if self.logs else None
        return self.children.launch(name, module, "--settings", settings, log=log)

    def addresses(self) -> list[tuple[str, int]]:
        """Return the addresses of the balancers that callers send packets to."""
        return [("127.0.0.1", b.listen) for b in list(self.balancers.values())]


class Balancer:
    """A running balancer."""

    def __init__(self, name: str, zone: str, port: int, listen: int):
        self.name = name
        self.zone = zone
        self.port = port
        self.listen = listen
        self.child: processes.Child


class Sidecar:
    """A running sidecar with its upstream."""

    def __init__(self, name: str, zone: str, port: int, upstream: processes.Child):
        self.name = name
        self.zone = zone
        self.port = port
        self.upstream = upstream
        self.child: processes.Child


def wait_healthy(child: processes.Child, port: int) -> None:
    """Wait until a process reports healthy; raise RuntimeError if it ends or on timeout."""
    give_up = time.monotonic() + READY_S
    while time.monotonic() < give_up:
        if child.popen.poll() is not None:
            raise RuntimeError(f"{child.name} ended with status {child.popen.returncode}")
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            if HTTP.request("GET", f"http://127.0.0.1:{port}/healthz").status == 200:
                return
        time.sleep(POLL_S)
    raise RuntimeError(f"{child.name} was not ready in {READY_S} s")
