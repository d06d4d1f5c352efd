"""Check the exit of a process: on a bug in the owner thread, and on late signals."""

import subprocess
import sys

SCRIPT = """
import threading, time
from ebonystile import logs, loop
from ebonystile.daemon import guard
logs.setup("test", "guarded", 1)
owner = loop.Loop()
threading.Thread(target=time.sleep, args=(600,)).start()
owner.post(lambda: 1 / 0)
guard.run(owner)
"""


def test_a_bug_ends_the_process():
    """Guards against a process that lives on in other threads after its owner thread failed."""
    done = subprocess.run(
        [sys.executable, "-c", SCRIPT], capture_output=True, text=True, timeout=60, check=False
    )
    assert done.returncode == 1
    assert "event=bug" in done.stderr
    assert "ZeroDivisionError" in done.stderr


LATE_SIGTERM = """
import os, signal
from ebonystile import loop
from ebonystile.daemon import guard
owner = loop.Loop()
guard.install_signal_handlers(owner, lambda reason: owner.stop())
owner.post(lambda: os.kill(os.getpid(), signal.SIGTERM))
guard.run(owner)
os.kill(os.getpid(), signal.SIGTERM)
class Late:
    def __del__(self):
        os.kill(os.getpid(), signal.SIGTERM)
late = Late()
"""


def test_a_sigterm_during_exit_changes_nothing():
    """Guards against a crash status after a graceful stop.

    At exit Python restores the default action of SIGTERM, so a late one would end the process.
    """
    done = subprocess.run([sys.executable, "-c", LATE_SIGTERM], timeout=60, check=False)
    assert done.returncode == 0
