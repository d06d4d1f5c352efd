"""End a process cleanly: at once when its owner thread meets a bug, else with the right status."""

import os
import signal
from collections import abc

from ebonystile import logs, loop

FAILURE = 1


def run(owner: loop.Loop) -> None:
    """Run the loop; at an exception that nobody expected, log it and end the process.

    Only the owner thread decides anything. If it ended alone, the threads around it would keep a
    process alive that still answers TCP and holds its port, but neither serves nor hands over any
    flow: callers would wait in silence. A process that is gone is replaced, and its callers go on.
    """
    try:
        owner.run()
    except Exception as error:
        logs.failure("bug", error)
        os._exit(FAILURE)
    for number in (signal.SIGTERM, signal.SIGINT):
        # While Python goes down it puts the default action back in place of handlers, though not
        # in place of "ignore". A second SIGTERM then would end a process that has left gracefully
        # with a status that looks like a crash; it has nothing more to tell us.
        signal.signal(number, signal.SIG_IGN)


def install_signal_handlers(owner: loop.Loop, leave: abc.Callable[[str], None]) -> None:
    """Leave gracefully at the first SIGTERM or SIGINT; note later ones, which change nothing."""
    loop.install_signal_handlers(owner, leave, lambda name: logs.event("signal_again", signal=name))
