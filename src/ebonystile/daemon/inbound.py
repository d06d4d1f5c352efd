"""Open datagrams from the system's other processes."""

import collections

from ebonystile import errors, logs
from ebonystile.core import view
from ebonystile.daemon import control
from ebonystile.peer import messages, seal


def open_packet(
    data: bytes,
    source: view.Address,
    opener: seal.Seal,
    control_plane: control.Control,
    counts: collections.Counter[str],
) -> messages.Forward | messages.Return | messages.LoadReport | None:
    """Return the packet-path message in a sealed datagram, or None.

    None means that the control plane handled the datagram, or that it was invalid (forged,
    damaged, replayed or of another protocol), which is counted.
    """
    try:
        opened = opener.open(data)
        if control_plane.handle_datagram(opened, source):
            return None
        return messages.unpack(opened.content)
    except errors.DatagramError as error:
        counts["dropped_sealed"] += 1
        logs.event("datagram_dropped", level="DEBUG", source=source[0], error=str(error))
        return None
