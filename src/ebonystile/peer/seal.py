"""Seal and open the datagrams between the system's processes with a keyed MAC.

A sealed datagram is `key id (1 byte) | MAC (16 bytes) | incarnation, sequence, revision (8 bytes
each) | content`. The MAC is keyed BLAKE2b (RFC 7693) over all that follows it. Several keys may be
known at once, so that a key can be replaced without a moment at which processes refuse one
another; the first one seals. Content is a CBOR array, or a header of the packet path (messages.py).
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
SEALED = 1 + MAC_BYTES
"""Where the sealed part of a datagram begins."""

HEADER = struct.Struct("!QQQ")
"""Incarnation, sequence and revision of the sender."""

CONTENT = SEALED + HEADER.size
"""Where the content of a datagram begins."""

REPLAY_WINDOW = 1024
"""How far behind the newest sequence number of a sender a datagram may arrive."""

MAX_SENDERS = 20_000
"""Senders remembered at once; the least recently heard is forgotten first.

More than the 18,000 processes of the target size: with fewer, a balancer that hears all sidecars in
turn would forget each before it is heard again, and take its old datagrams for new ones.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """A secret shared by the system's processes; `id` (0-255) names it on the wire."""

    id: int
    secret: bytes


@dataclasses.dataclass(slots=True)
class Opened:
    """What a sealed datagram says: who sent it, the revision in force there, and the content."""

    incarnation: int
    revision: int
    content: bytes

    @property
    def body(self) -> list:
        """The items of a CBOR content; raise `DatagramError` if it is none."""
        try:
            return cbor2.loads(self.content)
        except Exception as error:
            raise fault(f"not CBOR: {error}") from error


class ReplayWindow:
    """Tell a sequence number seen before from a new one, as RFC 4303 section 3.4.3 does.

    Without it a datagram recorded on the wire could be sent again later; every message is
    idempotent, so the symptom would be wasted work and stale hints rather than a second run.
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
    """Seal what one process sends and open what it receives."""

    def __init__(self, keys: typing.Sequence[Key], incarnation: int):
        if not keys:
            raise ValueError("a seal needs at least one key")
        self.incarnation = incarnation
        self.sequence = 0
        self.revision = 0
        self.key_id = bytes((keys[0].id,))
        self.states = {
            key.id: hashlib.blake2b(key=key.secret, digest_size=MAC_BYTES) for key in keys
        }
        self.own_state = self.states[keys[0].id]
        self.windows: collections.OrderedDict[int, ReplayWindow] = collections.OrderedDict()

    def seal(self, body: list) -> bytes:
        """Return the sealed datagram for the CBOR items in `body`."""
        return self.seal_content(cbor2.dumps(body))

    def seal_content(self, content: bytes) -> bytes:
        """Return the sealed datagram for the content."""
        self.sequence += 1
        sealed = HEADER.pack(self.incarnation, self.sequence, self.revision) + content
        state = self.own_state.copy()
        state.update(sealed)
        return self.key_id + state.digest() + sealed

    def open(self, data: bytes, *, replayable: bool = False) -> Opened:
        """Return what `data` says; raise `DatagramError` if it is forged, damaged or replayed.

        `replayable` skips the last check, for bulk exchanges: those travel over TCP and may be
        held up there behind more datagrams than the window holds. All of them are idempotent.
        """
        if len(data) < CONTENT:
            raise fault("too short")
        known = self.states.get(data[0])
        if known is None:
            raise fault(f"key {data[0]} is not known here")
        state = known.copy()
        state.update(data[SEALED:])
        if not hmac.compare_digest(state.digest(), data[1:SEALED]):
            raise fault("the MAC does not match")
        incarnation, sequence, revision = HEADER.unpack_from(data, SEALED)
        if not replayable and not self.window_of(incarnation).accept(sequence):
            raise fault("replayed")
        return Opened(incarnation, revision, data[CONTENT:])

    def window_of(self, incarnation: int) -> ReplayWindow:
        """Return the sender's replay window, forgetting the stalest sender beyond the bound."""
        window = self.windows.get(incarnation)
        if window is None:
            window = self.windows[incarnation] = ReplayWindow()
            if len(self.windows) > MAX_SENDERS:
                self.windows.popitem(last=False)
        else:
            self.windows.move_to_end(incarnation)
        return window


def fault(reason: str) -> errors.DatagramError:
    """Return the error for a datagram that does not open."""
    return errors.DatagramError(reason, step="open datagram", peer="peer")


def make_seal(keys: typing.Iterable[typing.Any], incarnation: int) -> Seal:
    """Return a seal for keys with `id` and `secret`, the first of which seals."""
    return Seal([Key(key.id, key.secret) for key in keys], incarnation)
