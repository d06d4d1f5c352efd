"""Exchange messages that are too large for a datagram with another process, by websocket."""

import socket
import struct

from websockets import exceptions
from websockets.sync import client

from ebonystile import clock, errors
from ebonystile.core import view

MAX_MESSAGE_BYTES = 2_000_000
SEND_STALL_S = 2
CLOSE_S = 0.5
"""Seconds spent on a polite goodbye once the answer is here."""


def exchange(address: view.Address, path: str, message: bytes, wait_until: int) -> bytes:
    """Return the answer of the process at `address` to one message; raise `PeerError`.

    From the connection to the answer it ends by `wait_until` (ms, by `clock.now`), but for a peer
    that stops reading in the middle of the message, which costs `SEND_STALL_S` more.
    """
    peer = f"{address[0]}:{address[1]}"
    step = f"exchange {path}"
    try:
        return exchange_until(address, path, message, wait_until)
    except TimeoutError as error:
        raise errors.PeerError("no answer in time", step=step, peer=peer) from error
    except exceptions.InvalidStatus as error:
        reason = f"refused with HTTP status {error.response.status_code}"
        raise errors.PeerError(reason, step=step, peer=peer) from error
    except exceptions.ConnectionClosed as error:
        reason = f"closed the connection: {error.rcvd.reason if error.rcvd else 'without a word'}"
        raise errors.PeerError(reason, step=step, peer=peer) from error
    except OSError as error:
        raise errors.PeerError(error.strerror or str(error), step=step, peer=peer) from error
    except exceptions.WebSocketException as error:
        raise errors.PeerError(str(error), step=step, peer=peer) from error


def exchange_until(address: view.Address, path: str, message: bytes, wait_until: int) -> bytes:
    """Return the answer, or raise whatever the libraries raise."""
    with client.connect(
        f"ws://{address[0]}:{address[1]}{path}",
        sock=connected(address, wait_until),
        open_timeout=seconds_left(wait_until),
        close_timeout=CLOSE_S,
        ping_interval=None,
        max_size=MAX_MESSAGE_BYTES,
        proxy=None,
    ) as connection:
        connection.send(message)
        answer = connection.recv(timeout=seconds_left(wait_until))
    if isinstance(answer, str):
        raise exceptions.ProtocolError("the answer is text")
    return answer


def connected(address: view.Address, wait_until: int) -> socket.socket:
    """Return a connection whose sending cannot hang."""
    connection = socket.create_connection(address, seconds_left(wait_until))
    connection.settimeout(None)
    bound_sending(connection)
    return connection


def bound_sending(connection: socket.socket) -> None:
    """Make sending fail where the peer reads nothing for `SEND_STALL_S`.

    A paused process still accepts in its kernel; once the buffers are full, `send` would hold its
    thread for as long as the pause lasts, until no thread is left for the peers that are well.
    """
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, struct.pack("ll", SEND_STALL_S, 0))


def seconds_left(wait_until: int) -> float:
    """Return the seconds left; raise `TimeoutError` where none are."""
    left = clock.seconds_until(wait_until)
    if not left:
        raise TimeoutError
    return left
