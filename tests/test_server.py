"""Check the TCP server of a process with its client, over loopback."""

import contextlib
import http.client
import socket
import threading

import pytest

from ebonystile import clock, errors
from ebonystile.daemon import server
from ebonystile.peer import bulk

WAIT_MS = 10_000


@contextlib.contextmanager
def serving(handlers=None, **options):
    running = server.serve(("127.0.0.1", 0), handlers or {}, lambda: b"a_total 1.0\n", **options)
    try:
        yield running
    finally:
        running.stop()


def ask(running, path, message):
    return bulk.exchange(running.address, path, message, clock.now() + WAIT_MS)


def get(running, path):
    connection = http.client.HTTPConnection(*running.address, timeout=WAIT_MS / 1000)
    connection.request("GET", path)
    with contextlib.closing(connection):
        response = connection.getresponse()
        return response.status, response.getheader("Content-Type"), response.read()


def refuse(message):
    raise errors.DatagramError("no", step="decode", peer="test")


def fail(message):
    raise ZeroDivisionError


def test_several_paths_answer():
    with serving({"/a": lambda m: m + b"a", "/b": lambda m: m + b"b"}) as running:
        assert ask(running, "/a", b"1") == b"1a"
        assert ask(running, "/b", b"") == b"b"
        large = b"x" * (server.MAX_MESSAGE_BYTES - 1)
        assert ask(running, "/a", large) == large + b"a"


def test_metrics_and_health():
    healthy = [True]
    with serving(is_healthy=lambda: healthy[0]) as running:
        assert get(running, "/metrics") == (200, server.METRICS_CONTENT_TYPE, b"a_total 1.0\n")
        assert get(running, "/healthz")[0] == 200
        healthy[0] = False
        assert get(running, "/healthz")[0] == 503
        assert get(running, "/other")[0] == 404


@pytest.mark.parametrize(
    ("path", "message", "counted"),
    [
        ("/refuse", b"", "bad_message"),
        ("/fail", b"", "handler_failed"),
        ("/none", b"", "unknown_path"),
        ("/echo", b"x" * (server.MAX_MESSAGE_BYTES + 1), "connection_lost"),
    ],
)
def test_bad_input_is_refused_counted_and_survived(path, message, counted):
    handlers = {"/refuse": refuse, "/fail": fail, "/echo": lambda m: m}
    with serving(handlers) as running:
        with pytest.raises(errors.PeerError) as caught:
            ask(running, path, message)
        assert caught.value.step == f"exchange {path}"
        assert ask(running, "/echo", b"still here") == b"still here"
    assert running.counts[counted] == 1


@pytest.mark.parametrize("data", [b"", b"\x00\xff" * 500, b"GET / HTTP/9\r\n\r\n", b"x" * 70_000])
def test_foreign_bytes_are_survived(data):
    with serving({"/echo": lambda m: m}) as running:
        with socket.create_connection(running.address) as connection, contextlib.suppress(OSError):
            connection.sendall(data)
        assert ask(running, "/echo", b"1") == b"1"


def test_silent_connections_are_evicted():
    """Guards against silent connections that use up the limit and block handovers.

    A new connection is served at once, and the oldest silent one is shut down.
    """
    handlers = {"/echo": lambda m: m}
    with serving(handlers, connection_limit=2) as running, contextlib.ExitStack() as held:
        silent = [held.enter_context(connected(running)) for _ in range(2)]
        wait_until_accepted(running, 2)
        assert ask(running, "/echo", b"1") == b"1"
        assert silent[0].recv(1) == b""
    assert running.counts["silent_ended"] == 1


def test_connections_past_the_limit_are_closed_and_a_freed_one_serves():
    """Guards against serving beyond the limit, and against places that are never released."""
    entered, leave = threading.Event(), threading.Event()

    def hold(message):
        entered.set()
        leave.wait(WAIT_MS / 1000)
        return message

    with serving({"/hold": hold}, connection_limit=1) as running:
        asking = threading.Thread(target=ask, args=(running, "/hold", b""))
        asking.start()
        assert entered.wait(WAIT_MS / 1000)
        with pytest.raises(errors.PeerError):
            ask(running, "/hold", b"")
        leave.set()
        asking.join()
        assert wait_for_answer(running) == b"again"
    assert running.counts["connections_refused"] >= 1


def wait_for_answer(running):
    deadline = clock.now() + WAIT_MS
    while clock.now() < deadline:
        with contextlib.suppress(errors.PeerError):
            return ask(running, "/hold", b"again")
    return None


def test_accept_waits_out_an_error():
    """Guards against a server that stops at a transient error of `accept` (EMFILE)."""
    with contextlib.closing(server.make_listener(("127.0.0.1", 0))) as listener:
        faults = [OSError(24, "Too many open files"), ConnectionAbortedError()]

        class Faulty(server.Listener):
            def _accept(self):
                if faults:
                    raise faults.pop()
                return super()._accept()

        faulty = Faulty(fileno=listener.detach())
        with contextlib.closing(faulty), socket.create_connection(faulty.getsockname()):
            faulty.accept()[0].close()
        assert not faults


def test_refused_connection_is_a_peer_error():
    with serving() as running:
        address = running.address
    with pytest.raises(errors.PeerError):
        bulk.exchange(address, "/a", b"", clock.now() + WAIT_MS)


def test_exchange_with_an_unresponsive_peer_times_out():
    with contextlib.closing(server.make_listener(("127.0.0.1", 0))) as silent:
        with pytest.raises(errors.PeerError, match="in time"):
            bulk.exchange(silent.getsockname(), "/a", b"", clock.now() + 50)
        with pytest.raises(errors.PeerError, match="in time"):
            bulk.exchange(silent.getsockname(), "/a", b"", clock.now() - 1)


def test_a_taken_port_is_a_peer_error():
    with serving() as running, pytest.raises(errors.PeerError, match="listen on TCP"):
        server.make_listener(running.address)


def test_stop_ends_silent_connections():
    with serving({"/echo": lambda m: m}) as running:
        silent = socket.create_connection(running.address)
        wait_until_accepted(running)
    assert silent.recv(1) in (b"", b"H")
    silent.close()


def connected(running):
    return contextlib.closing(socket.create_connection(running.address))


def wait_until_accepted(running, number=1):
    deadline = clock.now() + WAIT_MS
    while len(running.silent_connections) < number:
        assert clock.now() < deadline
