"""Fixtures that tests of real processes share."""

import threading

import pytest

from standins import processes, web


@pytest.fixture
def children():
    """Start child processes; all are ended, by their ids, when the test is over."""
    with processes.Children() as started:
        yield started


@pytest.fixture(scope="module")
def module_children():
    """Start child processes that the tests of one module share."""
    with processes.Children() as started:
        yield started


class Canned:
    """Answer every query with the same answer, as a faulty outside system may."""

    def __init__(self, answer):
        self.fixed = answer

    def answer(self, query):
        return self.fixed


@pytest.fixture
def serve():
    """Return a function that serves one fixed HTTP answer and returns the URL."""
    servers = []

    def start(answer):
        server = web.Server(0, Canned(answer))
        threading.Thread(target=server.serve_forever, args=(0.01,), daemon=True).start()
        servers.append(server)
        return f"http://127.0.0.1:{server.server_port}"

    yield start
    for server in servers:
        server.shutdown()
        server.server_close()
