"""Start a daemon: `python3 -m ebonystile.carrier balancer|sidecar`."""

import os
import signal
import sys

REFUSED = 2
"""Exit status where the settings or the command line do not hold."""


def main(arguments: list[str]) -> int:
    """Run the program that the command line names; return its exit status."""
    mind_signals()
    from ebonystile import errors
    from ebonystile.platform import node

    try:
        settings = node.read(node.path())
        make_daemon(arguments, settings).run()
    except errors.EbonystileError as error:
        print(f"error: {error}", file=sys.stderr)
        return REFUSED
    return 0


def mind_signals() -> None:
    """Act on signals from the first moment on, before the modules that take time are imported.

    A process that is told of changed settings while it starts would end by the signal's default
    action, and its upstream's flows would wait for one more start; the settings are read after this
    anyway. One that is told to end holds nothing yet and ends at once.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))


def make_daemon(arguments: list[str], settings):
    """Return the daemon for its `node.Node`; each program imports only its own modules."""
    if arguments == ["balancer"]:
        from ebonystile.carrier import balancer

        return balancer.Daemon(settings)
    if arguments == ["sidecar"]:
        from ebonystile.carrier import sidecar

        return sidecar.Daemon(settings)
    from ebonystile import errors

    raise errors.UserError("say balancer or sidecar", step="start", peer="command line")


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
