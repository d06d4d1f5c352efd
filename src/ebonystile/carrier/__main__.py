"""Start a daemon: `python3 -m ebonystile.carrier balancer|sidecar`."""

import os
import signal
import sys

EXIT_INVALID_SETTINGS = 2
"""Exit status for invalid settings or an invalid command line."""


def main(arguments: list[str]) -> int:
    """Run the daemon that the command line names and return its exit status."""
    install_signal_handlers()
    from ebonystile import errors
    from ebonystile.platform import node

    try:
        settings = node.read(node.path())
        make_daemon(arguments, settings).run()
    except errors.EbonystileError as error:
        print(f"error: {error}", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    return 0


def install_signal_handlers() -> None:
    """Install handlers for SIGHUP and SIGTERM before the slow imports.

    Until then the default action of SIGHUP would end the process. It is ignored here, as the
    settings are read later anyway. SIGTERM exits at once, as no state is held yet.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))


def make_daemon(arguments: list[str], settings):
    """Return the daemon named by the arguments, with its `node.Node` as settings.

    Each program imports only its own modules.
    """
    if arguments == ["balancer"]:
        from ebonystile.carrier import balancer

        return balancer.Daemon(settings)
    if arguments == ["sidecar"]:
        from ebonystile.carrier import sidecar

        return sidecar.Daemon(settings)
    from ebonystile import errors

    raise errors.UserError(
        "expected one argument: balancer or sidecar", step="start", peer="command line"
    )


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
