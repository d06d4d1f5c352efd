"""Start a balancer: `ebonystile-balancer`."""

from ebonystile import settings
from ebonystile.commands import shell
from ebonystile.daemon import balancer


@shell.program("ebonystile-balancer")
def main(path):
    """Route callers' packets to sidecars until SIGTERM, then keep relaying until drained.

    Exit status: 0 after a graceful stop, 1 if it couldn't start or failed, 2 for wrong settings.
    """
    balancer.run(settings.read_balancer(path))


if __name__ == "__main__":
    main()
