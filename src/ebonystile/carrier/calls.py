"""A non-blocking HTTP/1.1 client for the event loop: one server, one call at a time."""

import dataclasses
import selectors
import socket
from collections import abc

import httptools

from ebonystile import clock, loop
from ebonystile.core import view

RECEIVE_BYTES = 65_536
MAX_BODY_BYTES = 4 << 20
"""Largest answer in bytes; a value of the store is at most 1 MB, about twice that as base64."""

KEEPALIVE_IDLE_S, KEEPALIVE_INTERVAL_S, KEEPALIVE_COUNT = 1, 1, 2
"""TCP keep-alive closes a connection to a dead peer within 3 s."""

USER_TIMEOUT_MS = 1_500
"""Time after which unacknowledged bytes close the connection, in ms."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A complete HTTP answer; the names of `headers` are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(slots=True)
class PendingCall:
    """The call in progress; `deadline` and `first_byte_by` are times in ms."""

    path: str
    deadline: int
    on_answer: abc.Callable[[Answer], None]
    on_failure: abc.Callable[[str], None]
    first_byte_by: int | None = None
    has_begun: bool = False
    retried: bool = False


class Client:
    """A client of one server over one connection, which is reopened after any failure."""

    def __init__(self, event_loop: loop.Loop, server: view.Address):
        self.event_loop = event_loop
        self.server = server
        self.socket: socket.socket | None = None
        self.parser: httptools.HttpResponseParser | None = None
        self.pending: PendingCall | None = None
        self.unsent = b""
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.complete = False
        self.reused = False
        self.keep_alive = True

    def get(
        self,
        path: str,
        deadline: int,
        on_answer: abc.Callable[[Answer], None],
        on_failure: abc.Callable[[str], None],
        first_byte_by: int | None = None,
    ) -> None:
        """Request a path; exactly one of the two callbacks is called, by the deadline (ms).

        The call fails at `first_byte_by` (ms) if no byte of the answer has arrived by then.
        """
        self.pending = PendingCall(path, deadline, on_answer, on_failure, first_byte_by)
        self.event_loop.call_at(deadline, self.check_deadline)
        if first_byte_by is not None:
            self.event_loop.call_at(first_byte_by, self.check_deadline)
        self.send_request()

    def send_request(self) -> None:
        """Send the pending call, over a new connection if none is open."""
        self.reused = self.socket is not None
        if self.socket is None:
            self.connect()
        self.parser = httptools.HttpResponseParser(self)
        self.headers = {}
        self.body.clear()
        self.complete = False
        host = f"{self.server[0]}:{self.server[1]}"
        self.unsent = f"GET {self.pending.path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode()
        self.watch_events(selectors.EVENT_READ | selectors.EVENT_WRITE)

    def connect(self) -> None:
        """Open a connection, without waiting for it to be established."""
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setblocking(False)
        for level, option, value in (
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
            (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        ):
            self.socket.setsockopt(level, option, value)
        self.socket.connect_ex(self.server)
        self.event_loop.selector.register(self.socket, selectors.EVENT_WRITE, self.on_ready)

    def watch_events(self, events: int) -> None:
        """Set the events of the connection that the loop watches for."""
        self.event_loop.selector.modify(self.socket, events, self.on_ready)

    def on_ready(self) -> None:
        """Send and receive what the connection allows now."""
        if self.socket is None:
            return
        try:
            if self.unsent:
                self.send()
            self.receive()
        except BlockingIOError:
            return
        except OSError as error:
            self.on_connection_lost(error.strerror or str(error))
        except httptools.HttpParserError as error:
            self.fail(f"malformed HTTP answer: {error}")

    def send(self) -> None:
        """Send as much as the socket buffer takes."""
        sent = self.socket.send(self.unsent)
        self.unsent = self.unsent[sent:]
        if not self.unsent:
            self.watch_events(selectors.EVENT_READ)

    def receive(self) -> None:
        """Read and parse the available data."""
        while self.socket is not None:
            data = self.socket.recv(RECEIVE_BYTES)
            if not data:
                self.on_connection_lost("connection closed")
                return
            if self.pending is None:
                self.close()
                return
            self.pending.has_begun = True
            self.parser.feed_data(data)
            if len(self.body) > MAX_BODY_BYTES:
                self.fail("answer too large")
                return
            if self.complete:
                self.finish_call()
                return

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header of the answer; called by the parser."""
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        """Append a part of the answer's body; called by the parser."""
        self.body += data

    def on_message_complete(self) -> None:
        """Record the end of the answer; called by the parser."""
        status = self.parser.get_status_code()
        self.complete = status >= 200
        self.keep_alive = self.parser.should_keep_alive()

    def finish_call(self) -> None:
        """Pass the complete answer to the callback of the call."""
        done, self.pending = self.pending, None
        answer = Answer(self.parser.get_status_code(), self.headers, bytes(self.body))
        if not self.keep_alive:
            self.close()
        done.on_answer(answer)

    def on_connection_lost(self, reason: str) -> None:
        """Retry once if the lost connection was reused from an earlier call; else fail.

        A server may close an idle connection just as the next call is sent on it. All calls are
        idempotent reads.
        """
        self.close()
        if self.pending is None:
            return
        if self.reused and not self.pending.retried and not self.body:
            self.pending.retried = True
            self.send_request()
            return
        self.fail(reason)

    def fail(self, reason: str) -> None:
        """Close the connection and report the failure of the call."""
        self.close()
        failed, self.pending = self.pending, None
        if failed is not None:
            failed.on_failure(reason)

    def check_deadline(self) -> None:
        """Fail the call if a deadline has passed."""
        if self.pending is None:
            return
        now = clock.now()
        first_byte_by = self.pending.first_byte_by
        if now >= self.pending.deadline:
            self.fail("no answer in time")
        elif first_byte_by is not None and not self.pending.has_begun and now >= first_byte_by:
            self.fail("no first byte of an answer in time")

    def cancel(self) -> None:
        """Cancel the call in progress; neither callback is called."""
        self.pending = None
        self.close()

    def close(self) -> None:
        """Close the connection."""
        if self.socket is not None:
            self.event_loop.selector.unregister(self.socket)
            self.socket.close()
            self.socket = None
        self.unsent = b""
