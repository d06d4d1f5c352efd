"""HTTP/1.1 server of the stand-ins, on loopback, with keep-alive and bounded request bodies."""

import argparse
import dataclasses
import http.server
import json
import signal
import socketserver
import threading
import time
import typing
import urllib.parse

MAX_BODY_BYTES = 32 << 20
"""Maximum size of a request body."""


def now_ms() -> int:
    """Return the wall clock in milliseconds since the epoch."""
    return int(time.time() * 1000)


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """A complete HTTP request. `path` has no leading slash; header names are lower case."""

    method: str
    path: str
    parameters: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def number(self, name: str, default: int) -> int:
        """Return an integer query parameter; raise ValueError if it is malformed."""
        return int(self.parameters.get(name, default))

    def json(self) -> typing.Any:
        """Return the body parsed as JSON; raise ValueError if it is malformed."""
        return json.loads(self.body)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An HTTP response. With `cut` the connection is closed without a response."""

    status: int = 200
    body: bytes = b""
    kind: str = "application/json"
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    cut: bool = False


def json_answer(value: typing.Any, status: int = 200, **headers: str) -> Answer:
    """Return a response with `value` as JSON."""
    named = {name.replace("_", "-"): text for name, text in headers.items()}
    return Answer(status, json.dumps(value).encode(), headers=named)


class App(typing.Protocol):
    """The application that a server runs."""

    def answer(self, query: Query) -> Answer:
        """Return the response to a request; called in the thread of its connection, may block."""


class Handler(http.server.BaseHTTPRequestHandler):
    """Reads requests from a connection and writes the responses."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1
    server: "Server"

    def exchange(self) -> None:
        """Read a request, pass it to the app and write the response."""
        try:
            length = int(self.headers.get("Content-Length", "0"))
        except ValueError:
            length = -1
        if not 0 <= length <= MAX_BODY_BYTES or "Transfer-Encoding" in self.headers:
            self.close_connection = True
            headers = {"X-Not-Run": "1"}
            self.write(Answer(413, b'{"error": "body length"}', headers=headers))
            return
        body = self.rfile.read(length)
        if len(body) < length:
            self.close_connection = True
            return
        with self.server.exchanges:
            self.write(self.answer(body))
            self.wfile.flush()

    def answer(self, body: bytes) -> Answer:
        """Return the app's response, or status 400 for a malformed number or document."""
        path, _, text = self.path.partition("?")
        parameters = dict(urllib.parse.parse_qsl(text))
        headers = {name.lower(): value for name, value in self.headers.items()}
        query = Query(
            self.command, urllib.parse.unquote(path).strip("/"), parameters, headers, body
        )
        try:
            return self.server.app.answer(query)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            return json_answer({"error": repr(error)}, 400, X_Not_Run="1")

    def write(self, answer: Answer) -> None:
        """Write a response, or close the connection if it is `cut`."""
        if answer.cut:
            self.close_connection = True
            return
        if self.server.stopping.is_set():
            self.close_connection = True
        self.send_response(answer.status)
        self.send_header("Content-Type", answer.kind)
        self.send_header("Content-Length", str(len(answer.body)))
        for name, value in answer.headers.items():
            self.send_header(name, value)
        if self.close_connection:
            self.send_header("Connection", "close")
        self.end_headers()
        self.wfile.write(answer.body)

    do_GET = do_POST = do_DELETE = exchange  # noqa: N815 (names that http.server looks up)

    def log_message(self, format: str, *args: typing.Any) -> None:
        """Suppress the request log."""


class Exchanges:
    """Counts requests in progress, so that a stop can wait for the last response."""

    def __init__(self) -> None:
        self.condition = threading.Condition()
        self.count = 0

    def __enter__(self) -> None:
        with self.condition:
            self.count += 1

    def __exit__(self, *_: object) -> None:
        with self.condition:
            self.count -= 1
            self.condition.notify_all()

    def wait_idle(self, seconds: float) -> bool:
        """Wait until no request is in progress; return False on timeout."""
        with self.condition:
            return self.condition.wait_for(lambda: self.count == 0, seconds)


class Server(http.server.ThreadingHTTPServer):
    """Serves one app; `connections` is the number of open connections."""

    daemon_threads = True
    request_queue_size = 256

    def __init__(self, port: int, app: App):
        self.app = app
        self.exchanges = Exchanges()
        self.stopping = threading.Event()
        self.connections = 0
        self.connections_lock = threading.Lock()
        super().__init__(("127.0.0.1", port), Handler)

    def server_bind(self) -> None:
        """Bind without the reverse DNS lookup of HTTPServer, which can take seconds."""
        socketserver.TCPServer.server_bind(self)
        self.server_name, self.server_port = self.server_address[:2]

    def process_request_thread(self, request: typing.Any, client_address: typing.Any) -> None:
        """Count the connection while it is open."""
        with self.connections_lock:
            self.connections += 1
        try:
            super().process_request_thread(request, client_address)
        finally:
            with self.connections_lock:
                self.connections -= 1

    def handle_error(self, request: typing.Any, client_address: typing.Any) -> None:
        """Log nothing: clients may close the connection during a request."""


def port_option(parser: argparse.ArgumentParser) -> None:
    """Add the `--port` option, common to all stand-ins."""
    parser.add_argument("--port", type=int, default=0, help="TCP port; 0 picks a free one")


def serve(server: Server, on_stop: typing.Callable[[], None], timeout_ms: int) -> bool:
    """Serve until SIGTERM or SIGINT, then let requests in progress finish.

    Print `ready port=...` once connections are accepted. Return whether all requests finished
    in time: `timeout_ms` before the server stops listening, and again after it.
    """
    signalled = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: signalled.set())
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    print(f"ready port={server.server_port}", flush=True)
    signalled.wait()
    server.stopping.set()
    on_stop()
    finished = server.exchanges.wait_idle(timeout_ms / 1000)
    server.shutdown()
    finished = server.exchanges.wait_idle(timeout_ms / 1000) and finished
    server.server_close()
    return finished
