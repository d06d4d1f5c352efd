"""Seal and open the datagrams between the system's processes with a keyed MAC.

A sealed datagram is `key id (1 byte) | MAC (16 bytes) | incarnation, sequence, revision (8 bytes
each) | content`. The MAC is keyed BLAKE2b (RFC 7693) over all bytes that follow it. Several keys
are accepted at once, so that keys can be rotated without rejecting valid datagrams; the first one
seals. The content is a CBOR array, or a message of the packet path (messages.py).
"""

import collections
import dataclasses
import hashlib
import hmac
import struct
import typing

import cbor2

from ebonystile import errors

MAC_BYTES = 16
SEALED_OFFSET = 1 + MAC_BYTES
"""Offset of the part of a datagram that the MAC covers."""

HEADER = struct.Struct("!QQQ")
"""The sender's incarnation, sequence number and revision."""

CONTENT_OFFSET = SEALED_OFFSET + HEADER.size
"""Offset of a datagram's content."""

REPLAY_WINDOW = 1024
"""How many sequence numbers behind a sender's newest one a datagram is still accepted."""

MAX_SENDERS = 20_000
"""Largest number of senders with a replay window; the least recently active is dropped first.

It exceeds the 18,000 processes of the largest supported deployment. With fewer, a balancer that
receives from all sidecars in turn would drop each window before its next use and accept replays.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """A secret shared by the system's processes; `id` (0-255) identifies it on the wire."""

    id: int
    secret: bytes


@dataclasses.dataclass(slots=True)
class OpenedDatagram:
    """The content of a verified datagram, with its sender's incarnation and revision in force."""

    incarnation: int
    revision: int
    content: bytes

    @property
    def body(self) -> list:
        """The items of the CBOR content; raise `DatagramError` if it is not valid CBOR."""
        try:
            return cbor2.loads(self.content)
        except Exception as error:
            raise make_error(f"not CBOR: {error}") from error


class ReplayWindow:
    """A sliding window that rejects repeated sequence numbers, as in RFC 4303 section 3.4.3.

    Every message is idempotent, so a replayed datagram could not run a request twice, but it would
    waste work and deliver stale reports.
    """

    __slots__ = ("newest", "seen")

    def __init__(self):
        self.newest = -1
        self.seen = 0

    def accept(self, sequence: int) -> bool:
        """Record the number and return whether it is new and not too old."""
        if sequence > self.newest:
            shift = min(sequence - self.newest, REPLAY_WINDOW)
            self.seen = ((self.seen << shift) | 1) & ((1 << REPLAY_WINDOW) - 1)
            self.newest = sequence
            return True
        behind = self.newest - sequence
        if behind >= REPLAY_WINDOW or self.seen >> behind & 1:
            return False
        self.seen |= 1 << behind
        return True


class Seal:
    """Seals the datagrams that one process sends and opens those that it receives."""

    def __init__(self, keys: typing.Sequence[Key], incarnation: int):
        if not keys:
            raise ValueError("a seal needs at least one key")
        self.incarnation = incarnation
        self.sequence = 0
        self.revision = 0
        self.key_id = bytes((keys[0].id,))
        self.keyed_macs = {
            key.id: hashlib.blake2b(key=key.secret, digest_size=MAC_BYTES) for key in keys
        }
        self.own_mac = self.keyed_macs[keys[0].id]
        self.windows: collections.OrderedDict[int, ReplayWindow] = collections.OrderedDict()

    def seal(self, body: list) -> bytes:
        """Return the sealed datagram for the CBOR items in `body`."""
        return self.seal_content(cbor2.dumps(body))

    def seal_content(self, content: bytes) -> bytes:
        """Return the sealed datagram for the content."""
        self.sequence += 1
        sealed = HEADER.pack(self.incarnation, self.sequence, self.revision) + content
        mac = self.own_mac.copy()
        mac.update(sealed)
        return self.key_id + mac.digest() + sealed

    def open(self, data: bytes, *, replayable: bool = False) -> OpenedDatagram:
        """Verify and decode `data`; raise `DatagramError` if it is forged, damaged or replayed.

        `replayable` skips the replay check for bulk exchanges: they use TCP and may be delayed by
        more datagrams than the window holds. All of them are idempotent.
        """
        if len(data) < CONTENT_OFFSET:
            raise make_error("too short")
        keyed_mac = self.keyed_macs.get(data[0])
        if keyed_mac is None:
            raise make_error(f"unknown key {data[0]}")
        mac = keyed_mac.copy()
        mac.update(data[SEALED_OFFSET:])
        if not hmac.compare_digest(mac.digest(), data[1:SEALED_OFFSET]):
            raise make_error("the MAC does not match")
        incarnation, sequence, revision = HEADER.unpack_from(data, SEALED_OFFSET)
        if not replayable and not self.replay_window(incarnation).accept(sequence):
            raise make_error("replayed")
        return OpenedDatagram(incarnation, revision, data[CONTENT_OFFSET:])

    def replay_window(self, incarnation: int) -> ReplayWindow:
        """Return the sender's replay window; drop the least recently used beyond `MAX_SENDERS`."""
        window = self.windows.get(incarnation)
        if window is None:
            window = self.windows[incarnation] = ReplayWindow()
            if len(self.windows) > MAX_SENDERS:
                self.windows.popitem(last=False)
        else:
            self.windows.move_to_end(incarnation)
        return window


def make_error(reason: str) -> errors.DatagramError:
    """Return the error for a datagram that cannot be opened."""
    return errors.DatagramError(reason, step="open datagram", peer="peer")


def make_seal(keys: typing.Iterable[typing.Any], incarnation: int) -> Seal:
    """Return a seal for keys with an `id` and a `secret`; the first one seals."""
    return Seal([Key(key.id, key.secret) for key in keys], incarnation)
