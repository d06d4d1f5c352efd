"""Calls between processes over real sockets: what a relay answers, and how calls fail."""

import socket

import pytest

from ebonystile import clock, loop
from ebonystile.carrier import calls, relay
from ebonystile.core.carrying import reading
from ebonystile.platform import entries, store


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()


class Bench:
    """A relay and a client of it on one loop."""

    def __init__(self):
        self.loop = loop.Loop()
        self.direct = True
        address = free_address()
        self.relay = relay.StoreRelay(self.loop, address, lambda: self.direct)
        self.client = calls.Client(self.loop, address)
        self.results = []

    def get(self, kind, limit=2_000, begin=None, **more):
        now = clock.now()
        call = reading.Call(kind, now + limit, wait_until=now + 300, **more)
        self.client.get(
            store.build_path(call, now),
            call.deadline,
            lambda status, body: self.results.append((call, status, body)),
            lambda reason: self.results.append((call, 0, reason)),
            first_byte_by=None if begin is None else now + begin,
        )

    def step_until(self, done, limit=3_000):
        end = clock.now() + limit
        self.loop.every(20, lambda: None)
        while not done() and clock.now() < end:
            self.loop.step()
        assert done()

    def result(self):
        self.step_until(lambda: self.results)
        call, status, body = self.results.pop()
        return store.parse_result(call, status, body)

    def status(self):
        self.step_until(lambda: self.results)
        return self.results.pop()[1]


@pytest.fixture
def bench():
    made = Bench()
    yield made
    made.client.cancel()
    made.relay.server.close()


def entry(name, revision, tombstone=False):
    return entries.Item(f"servers/{name}", b"\x00\xff", revision, tombstone)


def fill(bench, count=3, revision=10):
    for number in range(count):
        bench.relay.add_item(entry(f"u{number:04}", number + 1))
    bench.relay.restart(revision)
    bench.relay.advance(revision)


def test_a_list_comes_whole_over_several_pages(bench):
    fill(bench, count=relay.PAGE_ITEMS + 3, revision=9_000)
    bench.get(reading.Kind.ENTRIES)
    first = bench.result()
    bench.get(reading.Kind.ENTRIES, after=first.next_after)
    second = bench.result()
    keys = [item.key for item in (*first.items, *second.items)]
    assert keys == sorted(bench.relay.items) and not second.next_after
    assert first.items[0].value == b"\x00\xff" and first.current and first.revision == 9_000


def test_a_watch_is_answered_when_something_changes(bench):
    fill(bench)
    bench.get(reading.Kind.WATCH, revision=10)
    bench.step_until(lambda: bench.relay.pending_watches)
    bench.relay.add_item(entry("u0000", 11, tombstone=True))
    bench.relay.advance(11)
    news = bench.result()
    assert [(i.key, i.tombstone) for i in news.items] == [("servers/u0000", True)]
    assert news.revision == 11
    assert "servers/u0000" not in bench.relay.items


def test_a_watch_without_news_ends_in_its_time(bench):
    fill(bench)
    bench.get(reading.Kind.WATCH, revision=10)
    news = bench.result()
    assert news.items == () and news.revision == 10


def test_a_reader_that_is_too_far_behind_is_told_to_read_everything(bench):
    fill(bench)
    bench.get(reading.Kind.WATCH, revision=9)
    assert isinstance(bench.result(), store.HistoryLost)


def test_a_relay_that_has_lost_the_store_answers_no_watch_but_gives_its_list(bench):
    """Two relays that read from one another would take old news for the store's present word.

    So a watch is refused, at once even if it was waiting; a process that starts while the store
    refuses it gets the list, marked as not current.
    """
    fill(bench)
    bench.get(reading.Kind.WATCH, revision=10)
    bench.step_until(lambda: bench.relay.pending_watches)
    bench.direct = False
    bench.relay.expire_watches(clock.now())
    assert bench.status() == 503
    bench.get(reading.Kind.WATCH, revision=10)
    assert bench.status() == 503
    bench.get(reading.Kind.ENTRIES)
    assert not bench.result().current


def test_calls_on_one_connection_follow_one_another(bench):
    fill(bench)
    for _ in range(3):
        bench.get(reading.Kind.ENTRIES)
        assert bench.status() == 200
    assert len(bench.relay.server.connections) == 1


def test_a_call_of_a_port_where_nobody_listens_fails_at_once():
    made = Bench()
    made.relay.server.close()
    started = clock.now()
    made.get(reading.Kind.ENTRIES)
    assert made.status() == 0 and clock.now() - started < 1_000


def test_a_call_without_an_answer_fails_at_its_deadline():
    """The server accepts the connection and never answers, as one that was stopped."""
    made = Bench()
    made.relay.server.close()
    with silent_server() as silent:
        made.client.server = silent.getsockname()
        started = clock.now()
        made.get(reading.Kind.ENTRIES, limit=300)
        assert made.status() == 0
        assert 250 <= clock.now() - started < 2_000


def silent_server():
    """Return a socket that accepts connections and says nothing."""
    silent = socket.socket()
    silent.bind(("127.0.0.1", 0))
    silent.listen()
    return silent


def test_a_call_whose_answer_does_not_begin_fails_before_its_deadline():
    """The store keeps silent when a process starts; its callers wait until it asks elsewhere."""
    made = Bench()
    with silent_server() as silent:
        made.client.server = silent.getsockname()
        started = clock.now()
        made.get(reading.Kind.ENTRIES, limit=2_000, begin=200)
        made.step_until(lambda: made.results)
        assert made.results[0][2] == "no first byte of an answer in time"
        assert 150 <= clock.now() - started < 1_500


def test_an_answer_that_has_begun_may_take_until_the_deadline():
    """A narrow line carries a large configuration for longer than an answer takes to begin."""
    made = Bench()
    with silent_server() as slow:
        made.client.server = slow.getsockname()
        made.get(reading.Kind.ENTRIES, limit=2_000, begin=200)
        connection, _ = slow.accept()
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{")
        waited = clock.now() + 400
        made.step_until(lambda: clock.now() >= waited)
        assert made.results == []
        connection.sendall(b"}")
        assert made.status() == 200
        connection.close()


def test_bytes_that_are_no_http_close_the_connection_and_nothing_else(bench):
    fill(bench)
    with socket.create_connection(bench.relay.server.socket.getsockname()) as rude:
        rude.sendall(b"\x16\x03\x01 rubbish\r\n\r\n")
        rude.settimeout(0.05)
        closed = []

        def hung_up():
            try:
                closed.append(rude.recv(100))
            except TimeoutError:
                return False
            except ConnectionError:
                return True
            return closed[-1] == b""

        bench.step_until(hung_up)
    bench.get(reading.Kind.ENTRIES)
    assert bench.status() == 200


class Reader:
    """A connection that keeps what it is answered."""

    def __init__(self):
        self.pages = []

    def answer(self, page):
        self.pages.append(page)


def test_one_answer_is_made_for_all_readers_that_stand_at_one_revision(bench):
    """Fifty readers wait; a change comes. Making each an answer of its own took 7 ms a change."""
    bench.relay.restart(4)
    readers = [Reader() for _ in range(50)]
    bench.relay.pending_watches = [
        relay.PendingWatch(reader, 4, clock.now() + 1_000) for reader in readers
    ]
    bench.relay.add_item(entries.Item("servers/u1", b"{}", 5))
    bench.relay.advance(5)
    assert [len(reader.pages) for reader in readers] == [1] * 50
    assert len({id(reader.pages[0]) for reader in readers}) == 1
    assert not bench.relay.pending_watches
