"""Exchange messages too large for a datagram with another process, over a websocket."""

import socket
import struct

from websockets import exceptions
from websockets.sync import client

from ebonystile import clock, errors
from ebonystile.core import view

MAX_MESSAGE_BYTES = 2_000_000
SEND_TIMEOUT_S = 2
CLOSE_TIMEOUT_S = 0.5
"""Longest time for the closing handshake after the answer, in seconds."""


def exchange(address: view.Address, path: str, message: bytes, wait_until: int) -> bytes:
    """Return the answer of the process at `address` to one message; raise `PeerError`.

    The exchange ends by `wait_until` (ms, by `clock.now`), or up to `SEND_TIMEOUT_S` later if the
    peer stops reading in the middle of the message.
    """
    peer = f"{address[0]}:{address[1]}"
    step = f"exchange {path}"
    try:
        return exchange_once(address, path, message, wait_until)
    except TimeoutError as error:
        raise errors.PeerError("no answer in time", step=step, peer=peer) from error
    except exceptions.InvalidStatus as error:
        reason = f"refused with HTTP status {error.response.status_code}"
        raise errors.PeerError(reason, step=step, peer=peer) from error
    except exceptions.ConnectionClosed as error:
        reason = f"closed the connection: {error.rcvd.reason if error.rcvd else 'no close frame'}"
        raise errors.PeerError(reason, step=step, peer=peer) from error
    except OSError as error:
        raise errors.PeerError(error.strerror or str(error), step=step, peer=peer) from error
    except exceptions.WebSocketException as error:
        raise errors.PeerError(str(error), step=step, peer=peer) from error


def exchange_once(address: view.Address, path: str, message: bytes, wait_until: int) -> bytes:
    """Return the answer to one message; errors of the libraries are passed on."""
    with client.connect(
        f"ws://{address[0]}:{address[1]}{path}",
        sock=connect(address, wait_until),
        open_timeout=seconds_left(wait_until),
        close_timeout=CLOSE_TIMEOUT_S,
        ping_interval=None,
        max_size=MAX_MESSAGE_BYTES,
        proxy=None,
    ) as connection:
        connection.send(message)
        answer = connection.recv(timeout=seconds_left(wait_until))
    if isinstance(answer, str):
        raise exceptions.ProtocolError("the answer is text")
    return answer


def connect(address: view.Address, wait_until: int) -> socket.socket:
    """Return a TCP connection with a send timeout."""
    connection = socket.create_connection(address, seconds_left(wait_until))
    connection.settimeout(None)
    set_send_timeout(connection)
    return connection


def set_send_timeout(connection: socket.socket) -> None:
    """Make `send` fail if the peer reads nothing for `SEND_TIMEOUT_S`.

    The kernel accepts connections for a paused process. Once the buffers are full, `send` would
    block its thread for the whole pause, until no thread is left for healthy peers.
    """
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDTIMEO, struct.pack("ll", SEND_TIMEOUT_S, 0)
    )


def seconds_left(wait_until: int) -> float:
    """Return the seconds until `wait_until`; raise `TimeoutError` if it has passed."""
    left = clock.seconds_until(wait_until)
    if not left:
        raise TimeoutError
    return left
