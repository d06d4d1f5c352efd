"""Run the event loop of the thread that owns a core: sockets, timers and an inbox of callbacks.

Blocking calls run in executors whose callbacks post to the inbox, so only the owner thread accesses
the core and the core needs no lock.
"""

import collections
import dataclasses
import heapq
import itertools
import selectors
import signal
import socket
import typing
from collections import abc

from ebonystile import clock, errors
from ebonystile.core import view

RECEIVE_BYTES = 65_535
BATCH_DATAGRAMS = 64
"""Upper bound on the datagrams read from one socket in one step of the loop."""

MAX_LAG_MS = 1000
"""Upper bound on the reported lag, in ms; the socket's buffer is bounded as well."""

RECENTLY_FULL_MS = 100
"""Age of the last full batch, in ms, beyond which the socket counts as idle."""

BUFFER_BYTES = 8 << 20
"""Requested size of a socket's buffers, in bytes; the kernel may grant less."""


@dataclasses.dataclass(slots=True)
class Timer:
    """An action to run every `period` ms, next at `due`."""

    due: int
    period: int
    action: abc.Callable[[], None]


class Loop:
    """The event loop of an owner thread; only `post` may be called from other threads.

    `now` is the time in ms at which the current step began.
    """

    def __init__(self):
        self.selector = selectors.DefaultSelector()
        self.inbox: collections.deque[abc.Callable[[], None]] = collections.deque()
        self.timers: list[Timer] = []
        self.alarms: list[tuple[int, int, abc.Callable[[], None]]] = []
        self.alarm_numbers = itertools.count()
        self.receivers: dict[socket.socket, Receiver] = {}
        self.running = True
        self.now = clock.now()
        self.wake_sender, self.wake_receiver = socket.socketpair()
        self.wake_sender.setblocking(False)
        self.wake_receiver.setblocking(False)
        self.selector.register(self.wake_receiver, selectors.EVENT_READ, self.drain_wakeups)

    def post(self, action: abc.Callable[[], None]) -> None:
        """Run an action in the owner thread soon; thread-safe."""
        self.inbox.append(action)
        try:
            self.wake_sender.send(b"\0")
        except OSError:
            # The socket is full if a wake-up is pending already, and closed if the loop has ended.
            pass

    def call_every(self, period: int, action: abc.Callable[[], None]) -> None:
        """Run an action every `period` ms from now on."""
        self.timers.append(Timer(clock.now() + period, period, action))

    def call_at(self, due: int, action: abc.Callable[[], None]) -> None:
        """Run an action once at the time `due` in ms."""
        heapq.heappush(self.alarms, (due, next(self.alarm_numbers), action))

    def listen(
        self,
        address: view.Address,
        on_datagram: abc.Callable[[bytes, view.Address], None],
        buffer_bytes: int = BUFFER_BYTES,
    ) -> socket.socket:
        """Return a UDP socket bound to `address` whose datagrams are passed to `on_datagram`."""
        udp = make_socket(address, buffer_bytes)
        receiver = Receiver(udp, on_datagram)
        self.receivers[udp] = receiver
        self.selector.register(udp, selectors.EVENT_READ, receiver.drain)
        return udp

    def lag(self, udp: socket.socket) -> int:
        """Return for how long the socket has had a backlog, in ms; 0 if the loop keeps up."""
        receiver = self.receivers[udp]
        if receiver.behind_since is None or clock.now() - receiver.last_full_at > RECENTLY_FULL_MS:
            return 0
        return min(MAX_LAG_MS, receiver.last_full_at - receiver.behind_since)

    def drain_wakeups(self) -> None:
        """Read the pending wake-ups."""
        try:
            self.wake_receiver.recv(4096)
        except OSError:
            pass

    def run(self) -> None:
        """Run until `stop` is called, then close the sockets."""
        while self.running:
            self.step()
        for key in list(self.selector.get_map().values()):
            if key.fileobj is not self.wake_receiver:
                key.fileobj.close()
        self.selector.close()
        self.wake_sender.close()
        self.wake_receiver.close()

    def step(self) -> None:
        """Wait for a datagram, a posted action or a timer, and run what is due."""
        ready = self.selector.select(self.seconds_until_due())
        self.now = clock.now()
        for key, _ in ready:
            key.data()
        for _ in range(len(self.inbox)):
            self.inbox.popleft()()
        now = clock.now()
        for timer in self.timers:
            if timer.due <= now:
                timer.due = now + timer.period
                timer.action()
        while self.alarms and self.alarms[0][0] <= now:
            heapq.heappop(self.alarms)[2]()

    def seconds_until_due(self) -> float | None:
        """Return the seconds until the next timer is due; None without timers."""
        if self.inbox:
            return 0
        due = [timer.due for timer in self.timers]
        if self.alarms:
            due.append(self.alarms[0][0])
        return clock.seconds_until(min(due)) if due else None

    def overdue_ms(self) -> int:
        """Return by how much the earliest timer is late in this step, in ms; 0 if none is."""
        due = min((timer.due for timer in self.timers), default=self.now)
        if self.alarms:
            due = min(due, self.alarms[0][0])
        return max(0, self.now - due)

    def stop(self) -> None:
        """End the loop after the current step."""
        self.running = False


def make_socket(address: view.Address, buffer_bytes: int = BUFFER_BYTES) -> socket.socket:
    """Return a bound UDP socket; raise `PeerError` if that fails."""
    udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp.setblocking(False)
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        udp.setsockopt(socket.SOL_SOCKET, option, buffer_bytes)
    try:
        udp.bind(address)
    except OSError as error:
        udp.close()
        peer = f"{address[0]}:{address[1]}"
        reason = error.strerror or str(error)
        raise errors.PeerError(reason, step="listen on UDP", peer=peer) from error
    return udp


class Receiver:
    """Read datagrams from one socket in batches of adaptive size.

    Reading an empty socket costs as much as reading a datagram, so `batch` doubles while it is used
    up and falls back to the number read. `behind_since` is the time (ms) since which no batch has
    emptied the socket, `last_full_at` that of the last batch of the largest size.
    """

    def __init__(self, udp: socket.socket, on_datagram: abc.Callable[[bytes, view.Address], None]):
        self.udp = udp
        self.on_datagram = on_datagram
        self.batch = 1
        self.behind_since: int | None = None
        self.last_full_at = 0

    def drain(self) -> None:
        """Read one batch of datagrams.

        The kernel reports the ICMP error of an earlier send on the next receive; it is ignored, as
        it shows nothing about this socket.
        """
        receive, on_datagram = self.udp.recvfrom, self.on_datagram
        for received in range(self.batch):
            try:
                data, source = receive(RECEIVE_BYTES)
            except BlockingIOError:
                self.batch = max(1, received)
                self.behind_since = None
                return
            except OSError:
                continue
            on_datagram(data, source)
        if self.batch == BATCH_DATAGRAMS:
            self.last_full_at = clock.now()
            self.behind_since = (
                self.last_full_at if self.behind_since is None else self.behind_since
            )
        self.batch = min(BATCH_DATAGRAMS, self.batch * 2)


def send(udp: socket.socket, data: bytes, address: view.Address) -> bool:
    """Send a datagram; return False if the kernel refused it, which amounts to packet loss."""
    try:
        udp.sendto(data, address)
    except (OSError, OverflowError):
        return False
    return True


def install_signal_handlers(
    owner: Loop, leave: abc.Callable[[str], None], again: abc.Callable[[str], None]
) -> None:
    """Call `leave` at the first SIGTERM or SIGINT, `again` at later ones, in the loop's thread."""
    received: list[str] = []

    def handle(number: int, _frame: typing.Any) -> None:
        name = signal.Signals(number).name
        first = not received
        received.append(name)
        owner.post(lambda: (leave if first else again)(name))

    signal.signal(signal.SIGTERM, handle)
    signal.signal(signal.SIGINT, handle)
