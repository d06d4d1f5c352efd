"""Start modules as child processes, wait for their `ready` line, and stop them."""

import collections
import contextlib
import json
import os
import pathlib
import queue
import subprocess
import sys
import threading
import time
import typing

import urllib3

ROOT = pathlib.Path(__file__).resolve().parent.parent
READY_SECONDS = 30.0
STOP_SECONDS = 20.0
KEPT_LINES = 10_000

HTTP = urllib3.PoolManager(maxsize=16, retries=False, timeout=10.0)


class Child:
    """A child process whose standard output is read line by line into `lines`.

    With `log`, its standard error is written to that file.
    """

    def __init__(self, name: str, command: list[str], log: pathlib.Path | None = None):
        self.name = name
        self.lines: collections.deque[str] = collections.deque(maxlen=KEPT_LINES)
        self.ready: queue.SimpleQueue[str | None] = queue.SimpleQueue()
        self.fields: dict[str, str] = {}
        paths = [str(ROOT / "src"), str(ROOT)]
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(paths), "PYTHONUNBUFFERED": "1"}
        with contextlib.ExitStack() as stack:
            self.popen = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=stack.enter_context(log.open("w")) if log else None,
                text=True,
            )
        self.reader = threading.Thread(target=self.read, daemon=True)
        self.reader.start()

    def read(self) -> None:
        """Store the output lines and queue the ready line, or None at the end of the output."""
        for line in self.popen.stdout:
            self.lines.append(line.rstrip("\n"))
            if line.startswith("ready"):
                self.ready.put(line)
        self.ready.put(None)

    def send_line(self, document: typing.Any) -> None:
        """Write a JSON document as one line to the child's standard input."""
        try:
            self.popen.stdin.write(json.dumps(document) + "\n")
            self.popen.stdin.flush()
        except OSError:
            # The child has ended; `wait` returns its exit status.
            pass

    def wait_ready(self, seconds: float = READY_SECONDS) -> None:
        """Wait for the ready line and parse its key=value fields; raise RuntimeError on timeout."""
        try:
            line = self.ready.get(timeout=seconds)
        except queue.Empty:
            line = None
        if line is None:
            self.kill()
            raise RuntimeError(f"{self.name} did not become ready: {list(self.lines)[-5:]}")
        self.fields = dict(item.split("=", 1) for item in line.split()[1:] if "=" in item)

    @property
    def port(self) -> int:
        """The port given in the ready line."""
        return int(self.fields["port"])

    @property
    def url(self) -> str:
        """The base URL of a child that serves HTTP."""
        return f"http://127.0.0.1:{self.port}"

    def get(self, path: str) -> typing.Any:
        """Read a JSON document from the child."""
        return self.call("GET", path)

    def post(self, path: str, document: typing.Any) -> typing.Any:
        """Post a JSON document to the child."""
        return self.call("POST", path, json=document)

    def call(self, method: str, path: str, **options: typing.Any) -> typing.Any:
        """Send an HTTP request and return the JSON response; raise unless the status is 200."""
        response = HTTP.request(method, f"{self.url}/{path}", **options)
        if response.status != 200:
            raise RuntimeError(f"{self.name}: {path}: {response.status} {response.data[:200]!r}")
        return response.json()

    def signal(self, number: int) -> None:
        """Send a signal if the child is still running."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def stop(self, seconds: float = STOP_SECONDS) -> int:
        """Terminate the child and return its exit status; kill it on timeout."""
        if self.popen.poll() is None:
            self.popen.terminate()
        return self.wait(seconds)

    def wait(self, seconds: float = STOP_SECONDS) -> int:
        """Wait for the child and its output to end; kill it on timeout. Return its exit status."""
        try:
            self.popen.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()
        self.reader.join(5)
        self.popen.stdin.close()
        return self.popen.returncode

    def kill(self) -> None:
        """Kill the child if it is running."""
        if self.popen.poll() is None:
            self.popen.kill()
        self.popen.wait()


class Children:
    """Starts children and stops them all at the end of the `with` block."""

    def __init__(self) -> None:
        self.children: list[Child] = []

    def __enter__(self) -> "Children":
        return self

    def __exit__(self, *_: object) -> None:
        running = [child for child in self.children if child.popen.poll() is None]
        for child in running:
            child.popen.terminate()
        give_up = time.monotonic() + STOP_SECONDS
        for child in running:
            child.wait(max(0.1, give_up - time.monotonic()))

    def launch(
        self, name: str, module: str, *arguments: object, log: pathlib.Path | None = None
    ) -> Child:
        """Start `python -m module` without waiting; call `wait_ready` on the child."""
        child = Child(name, [sys.executable, "-m", module, *map(str, arguments)], log)
        self.children.append(child)
        return child

    def start(self, name: str, module: str, *arguments: object) -> Child:
        """Start `python -m module` and wait until it is ready."""
        child = self.launch(name, module, *arguments)
        child.wait_ready()
        return child

    def start_platform(self, *arguments: object) -> Child:
        """Start a platform stand-in on a free port."""
        return self.start("platform", "standins.platform", "--port", 0, *arguments)

    def start_upstream(self, name: str, service: str, *arguments: object) -> Child:
        """Start an upstream stand-in on a free port."""
        fixed = ("--port", 0, "--name", name, "--service", service)
        return self.start(name, "standins.upstream", *fixed, *arguments)


def publish_value(platform: Child, key: str, value: typing.Any) -> int:
    """Publish a value (None deletes the key) and return the platform's revision."""
    return platform.post("standin/values", {"key": key, "value": value})["revision"]


def publish_instance(
    platform: Child, name: str, role: str, address: str, zone: str, state: str = "live"
) -> int:
    """Add or update an instance in the platform's list and return the list's revision."""
    fields = {"name": name, "role": role, "address": address, "zone": zone, "state": state}
    return platform.post("standin/instances", fields)["revision"]
