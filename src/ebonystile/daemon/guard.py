"""Exit at once if the owner thread fails, and with status 0 after a graceful stop."""

import os
import signal
from collections import abc

from ebonystile import logs, loop

FAILURE = 1


def run(owner: loop.Loop) -> None:
    """Run the loop; log an unexpected exception and exit the process.

    If only the owner thread ended, other threads would keep the process alive: it would hold its
    port and answer TCP, but neither serve nor hand over any flow. A process that exits is replaced.
    """
    try:
        owner.run()
    except Exception as error:
        logs.exception("bug", error)
        os._exit(FAILURE)
    for number in (signal.SIGTERM, signal.SIGINT):
        # At exit Python restores the default action of handled signals, but not of ignored ones.
        # Without this a late SIGTERM would give a graceful stop the exit status of a crash.
        signal.signal(number, signal.SIG_IGN)


def install_signal_handlers(owner: loop.Loop, leave: abc.Callable[[str], None]) -> None:
    """Leave gracefully at the first SIGTERM or SIGINT; only log later ones."""
    loop.install_signal_handlers(owner, leave, lambda name: logs.event("signal_again", signal=name))
