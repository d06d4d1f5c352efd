"""Start a sidecar: `ebonystile-sidecar`."""

from ebonystile import settings
from ebonystile.commands import shell
from ebonystile.daemon import sidecar


@shell.program("ebonystile-sidecar")
def main(path):
    """Serve the flows and requests of one upstream until SIGTERM, then drain and hand over.

    Exit status: 0 after a graceful stop, 1 if it couldn't start or failed, 2 for wrong settings.
    """
    sidecar.run(settings.read_sidecar(path))


if __name__ == "__main__":
    main()
