"""Open what comes from the system's other processes, alike in every shell."""

import collections

from ebonystile import errors, logs
from ebonystile.core import view
from ebonystile.daemon import control
from ebonystile.peer import messages, seal


def open_packet(
    data: bytes,
    source: view.Address,
    opener: seal.Seal,
    plane: control.Control,
    counts: collections.Counter[str],
) -> messages.Forward | messages.Return | messages.LoadReport | None:
    """Return the message of the packet path in a sealed datagram.

    Return None where there is none: the control plane has taken a message of its own, or the
    datagram is forged, damaged, replayed or foreign, which is counted.
    """
    try:
        opened = opener.open(data)
        if plane.on_opened(opened, source):
            return None
        return messages.unpack(opened.content)
    except errors.DatagramError as error:
        counts["dropped_sealed"] += 1
        logs.event("datagram_dropped", level="DEBUG", source=source[0], error=str(error))
        return None
