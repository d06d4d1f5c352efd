"""Serve a process's TCP port: websockets for exchanges, plain HTTP for metrics and health.

Each websocket message is a request that is answered by one message. The server treats messages as
opaque bytes; a handler for each path interprets them.
"""

import collections
import contextlib
import http
import socket
import threading
import time
import typing
from collections import abc

from websockets import exceptions as websockets_exceptions
from websockets import frames
from websockets.sync import server as websockets_server

from ebonystile import errors, logs
from ebonystile.core import view
from ebonystile.peer import bulk

MAX_MESSAGE_BYTES = bulk.MAX_MESSAGE_BYTES
"""Largest message accepted; the platform's values are at most half of it."""

HANDSHAKE_TIMEOUT_S = 3
IDLE_TIMEOUT_S = 30
CLOSE_TIMEOUT_S = 2
"""Timeouts of the handshake, of the next message and of the closing handshake, in seconds."""

EVICTION_TIMEOUT_S = 1
"""Longest wait for an evicted connection to be released, in seconds."""

ACCEPT_POLL_S = 0.2
ACCEPT_BACKOFF_S = 0.1
BACKLOG = 128
METRICS_PATH = "/metrics"
HEALTH_PATH = "/healthz"
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

Handler = abc.Callable[[bytes], bytes]


class Listener(socket.socket):
    """A listening socket whose `accept` fails only once the socket is closed.

    The library's accept loop ends at the first error. Transient ones, such as exhausted file
    descriptors (EMFILE) or an aborted connection (ECONNABORTED), would leave a running process
    without its TCP server; they are retried here.
    """

    def accept(self):
        """Return the next connection; raise `OSError` when this socket is closed."""
        while True:
            try:
                connection, peer = super().accept()
                bulk.set_send_timeout(connection)
                return connection, peer
            except TimeoutError:
                continue
            except OSError:
                if self.fileno() < 0:
                    raise
                time.sleep(ACCEPT_BACKOFF_S)


class Server:
    """The TCP server of a process; `counts` holds its connections and messages by outcome."""

    def __init__(
        self,
        handlers: abc.Mapping[str, Handler],
        metrics_text: abc.Callable[[], bytes],
        is_healthy: abc.Callable[[], bool],
        connection_limit: int,
    ):
        self.handlers = dict(handlers)
        self.metrics_text = metrics_text
        self.is_healthy = is_healthy
        self.free_connections = threading.BoundedSemaphore(connection_limit)
        self.lock = threading.Lock()
        self.silent_connections: dict[socket.socket, None] = {}
        self.counts: collections.Counter[str] = collections.Counter()

    def start(self, address: view.Address) -> None:
        """Listen on `address` and serve in a new thread; raise `PeerError` if that fails."""
        listener = make_listener(address)
        self.address: view.Address = listener.getsockname()
        self.server = websockets_server.serve(
            self.serve_websocket,
            sock=listener,
            process_request=self.handle_http,
            open_timeout=HANDSHAKE_TIMEOUT_S,
            close_timeout=CLOSE_TIMEOUT_S,
            ping_interval=None,
            max_size=MAX_MESSAGE_BYTES,
            max_queue=2,
        )
        self.serve_connection = self.server.handler
        self.server.handler = self.admit
        self.thread = threading.Thread(target=self.server.serve_forever, name="tcp-server")
        self.thread.start()

    def stop(self) -> None:
        """Close all connections and wait for the threads; may be called twice."""
        with self.lock:
            silent = list(self.silent_connections)
        for connection in silent:
            shut_down(connection)
        self.server.shutdown()
        self.thread.join()

    def count(self, name: str) -> None:
        """Increment a count; thread-safe."""
        with self.lock:
            self.counts[name] += 1

    def admit(self, connection: socket.socket, peer: view.Address) -> None:
        """Serve an accepted connection within the limit; at the limit, evict a silent one."""
        if not self.free_connections.acquire(blocking=False) and not self.evict_silent():
            self.count("connections_refused")
            connection.close()
            with self.server.lock:
                self.server.handler_threads.discard(threading.current_thread())
            return
        with self.lock:
            self.silent_connections[connection] = None
        try:
            self.serve_connection(connection, peer)
        finally:
            self.mark_active(connection)
            self.free_connections.release()

    def evict_silent(self) -> bool:
        """Shut down the oldest silent connection; return whether a place became free.

        Without eviction, connections that send nothing could block handovers. The system's own
        processes send their first message within milliseconds, and invalid messages close the
        connection, so only connections without any message are evicted.
        """
        with self.lock:
            longest = next(iter(self.silent_connections), None)
            if longest is None:
                return False
            del self.silent_connections[longest]
        self.count("silent_ended")
        shut_down(longest)
        return self.free_connections.acquire(timeout=EVICTION_TIMEOUT_S)

    def mark_active(self, connection: socket.socket) -> None:
        """Exempt a connection from eviction once it has sent a message, or ended."""
        with self.lock:
            self.silent_connections.pop(connection, None)

    def handle_http(self, connection: websockets_server.ServerConnection, request) -> typing.Any:
        """Answer plain HTTP; return None for a handler's path, which `serve_websocket` serves."""
        path = request.path.partition("?")[0]
        if path == METRICS_PATH:
            response = connection.respond(http.HTTPStatus.OK, self.metrics_text().decode())
            del response.headers["Content-Type"]
            response.headers["Content-Type"] = METRICS_CONTENT_TYPE
            return response
        if path == HEALTH_PATH:
            if self.is_healthy():
                return connection.respond(http.HTTPStatus.OK, "ok\n")
            return connection.respond(http.HTTPStatus.SERVICE_UNAVAILABLE, "leaving\n")
        if path not in self.handlers:
            self.count("unknown_path")
            return connection.respond(http.HTTPStatus.NOT_FOUND, "no such path\n")
        return None

    def serve_websocket(self, connection: websockets_server.ServerConnection) -> None:
        """Answer messages until the peer closes, idles or sends an invalid one."""
        handler = self.handlers[connection.request.path.partition("?")[0]]
        try:
            while True:
                message = connection.recv(timeout=IDLE_TIMEOUT_S)
                self.mark_active(connection.socket)
                answer = self.answer(handler, message)
                if answer is None:
                    connection.close(frames.CloseCode.POLICY_VIOLATION, "not understood")
                    return
                connection.send(answer)
        except TimeoutError:
            self.count("idle")
        except websockets_exceptions.ConnectionClosedOK:
            pass
        except websockets_exceptions.ConnectionClosed:
            self.count("connection_lost")

    def answer(self, handler: Handler, message: bytes | str) -> bytes | None:
        """Return the handler's answer, or None if the message is invalid or the handler fails."""
        if isinstance(message, str):
            self.count("bad_message")
            return None
        try:
            answer = handler(message)
        except errors.EbonystileError as error:
            self.count("bad_message")
            logs.event("exchange_refused", level="DEBUG", error=str(error))
            return None
        except Exception as error:
            # A bug in one handler must not end the server for other peers.
            self.count("handler_failed")
            logs.exception("exchange_failed", error)
            return None
        self.count("answered")
        return answer


def shut_down(connection: socket.socket) -> None:
    """Shut a connection down; the thread that reads from it then closes it."""
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)


def make_listener(address: view.Address) -> Listener:
    """Return a socket that listens on `address`; raise `PeerError` if that fails."""
    listener = Listener(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(BACKLOG)
    except OSError as error:
        listener.close()
        reason = error.strerror or str(error)
        peer = f"{address[0]}:{address[1]}"
        raise errors.PeerError(reason, step="listen on TCP", peer=peer) from error
    listener.settimeout(ACCEPT_POLL_S)
    return listener


def serve(
    address: view.Address,
    handlers: abc.Mapping[str, Handler],
    metrics_text: abc.Callable[[], bytes],
    *,
    is_healthy: abc.Callable[[], bool] = lambda: True,
    connection_limit: int = 64,
) -> Server:
    """Return a running server; a handler takes one message and returns the answer.

    A handler that raises an `EbonystileError` refuses the message: the connection is closed and
    the refusal counted. `/healthz` returns 503 while `is_healthy` returns false.
    """
    server = Server(handlers, metrics_text, is_healthy, connection_limit)
    server.start(address)
    return server
