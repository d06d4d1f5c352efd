"""Check that a bug in the thread that decides ends the whole process."""

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
    """The core raises while another thread lives: the process says why and is gone at once."""
    done = subprocess.run(
        [sys.executable, "-c", SCRIPT], capture_output=True, text=True, timeout=60, check=False
    )
    assert done.returncode == 1
    assert "event=bug" in done.stderr
    assert "ZeroDivisionError" in done.stderr
