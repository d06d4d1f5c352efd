"""A non-blocking HTTP/1.1 server for the event loop: readiness, metrics and the store relay."""

import dataclasses
import selectors
import socket
from collections import abc

import httptools

from ebonystile import errors, loop
from ebonystile.core import view

MAX_CONNECTIONS = 256
"""Maximum open connections; a further one replaces the oldest."""

RECEIVE_BYTES = 4_096
REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 503: "Service Unavailable"}


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """An HTTP response."""

    status: int
    body: bytes = b""
    content_type: str = "text/plain"
    headers: tuple[tuple[str, str], ...] = ()


class Connection:
    """One client connection; its requests are handled in order."""

    def __init__(self, server: "Server", accepted: socket.socket):
        self.server = server
        self.socket = accepted
        self.parser = httptools.HttpRequestParser(self)
        self.path = b""
        self.unsent = b""
        self.requests: list[str] = []
        self.keep_alive = True
        self.closed = False
        accepted.setblocking(False)
        server.event_loop.selector.register(accepted, selectors.EVENT_READ, self.on_ready)

    def on_ready(self) -> None:
        """Send unsent data, then read and parse new requests."""
        if self.unsent:
            self.flush()
        try:
            data = b"" if self.closed else self.socket.recv(RECEIVE_BYTES)
            if not data:
                self.close()
                return
            self.parser.feed_data(data)
        except BlockingIOError:
            return
        except (OSError, httptools.HttpParserError):
            # The client has disconnected or does not speak HTTP.
            self.close()
            return
        requests, self.requests = self.requests, []
        for request in requests:
            self.server.on_request(self, request)

    def on_url(self, url: bytes) -> None:
        """Append a part of the request's path; called by the parser."""
        self.path += url

    def on_message_complete(self) -> None:
        """Record a complete request; called by the parser."""
        self.requests.append(self.path.decode("latin-1"))
        self.path = b""
        self.keep_alive = self.parser.should_keep_alive()

    def answer(self, response: Response) -> None:
        """Send a response, unless the connection has been closed."""
        if self.closed:
            return
        keep = "keep-alive" if self.keep_alive else "close"
        head = (
            f"HTTP/1.1 {response.status} {REASONS[response.status]}\r\n"
            f"Content-Type: {response.content_type}\r\n"
            f"Content-Length: {len(response.body)}\r\nConnection: {keep}\r\n"
        )
        more = "".join(f"{name}: {value}\r\n" for name, value in response.headers)
        self.unsent += f"{head}{more}\r\n".encode() + response.body
        self.flush()

    def flush(self) -> None:
        """Send as much as the socket buffer takes, the rest when it becomes writable."""
        selector = self.server.event_loop.selector
        try:
            self.unsent = self.unsent[self.socket.send(self.unsent) :]
        except BlockingIOError:
            pass
        except OSError:
            # The client has disconnected.
            self.close()
            return
        events = selectors.EVENT_READ | (selectors.EVENT_WRITE if self.unsent else 0)
        selector.modify(self.socket, events, self.on_ready)

    def close(self) -> None:
        """Close the connection."""
        if self.closed:
            return
        self.closed = True
        self.server.event_loop.selector.unregister(self.socket)
        self.socket.close()
        self.server.connections.pop(self, None)


class Server:
    """Accepts requests on one address; `on_request` answers each with `Connection.answer`."""

    def __init__(
        self,
        event_loop: loop.Loop,
        address: view.Address,
        on_request: abc.Callable[[Connection, str], None],
    ):
        self.event_loop = event_loop
        self.on_request = on_request
        self.connections: dict[Connection, None] = {}
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.setblocking(False)
        try:
            self.socket.bind(address)
            self.socket.listen(MAX_CONNECTIONS)
        except OSError as error:
            peer = f"{address[0]}:{address[1]}"
            raise errors.PeerError(str(error), step="listen on TCP", peer=peer) from error
        event_loop.selector.register(self.socket, selectors.EVENT_READ, self.accept)

    def accept(self) -> None:
        """Accept a connection; close the oldest if there are too many."""
        try:
            accepted, _ = self.socket.accept()
        except OSError:
            # The client gave up before it was accepted.
            return
        if len(self.connections) >= MAX_CONNECTIONS:
            next(iter(self.connections)).close()
        self.connections[Connection(self, accepted)] = None

    def close(self) -> None:
        """Stop accepting connections and close the open ones."""
        self.event_loop.selector.unregister(self.socket)
        self.socket.close()
        for connection in list(self.connections):
            connection.close()
