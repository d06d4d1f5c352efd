"""A TCP proxy in front of a port whose connections a test can break."""

import contextlib
import socket
import threading

CHUNK_BYTES = 65_536


class Cutter:
    """Relay TCP connections to the local port `target`, except between `cut` and `heal`."""

    def __init__(self, target: int):
        self.target = ("127.0.0.1", target)
        self.address = ("127.0.0.1", 0)
        self.connections: list[socket.socket] = []
        self.heal()

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self.address[1]}"

    def heal(self) -> None:
        """Listen again on the same port and relay new connections."""
        self.listener = socket.create_server(self.address)
        self.address = self.listener.getsockname()
        threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    def cut(self) -> None:
        """Refuse new connections and break the open ones."""
        for each in [self.listener, *self.connections]:
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)
            each.close()
        self.connections.clear()

    def accept(self, listener: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while True:
                near = listener.accept()[0]
                far = socket.create_connection(self.target)
                self.connections += [near, far]
                for source, sink in ((near, far), (far, near)):
                    threading.Thread(target=self.pump, args=(source, sink), daemon=True).start()

    def pump(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                sink.sendall(data)
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_RDWR)
