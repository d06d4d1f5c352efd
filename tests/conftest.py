"""Fixtures that tests of real processes share."""

import threading

import hypothesis
import pytest

from standins import processes, web
from tests import known_red


def pytest_collection_modifyitems(config, items):
    """Mark the tests in KNOWN-RED.txt as expected failures; one that always fails is strict."""
    known = {entry.test: entry for entry in known_red.read(config.rootpath / known_red.NAME)}
    for item in items:
        entry = known.get(item.nodeid)
        if entry is not None:
            item.add_marker(pytest.mark.xfail(reason=entry.seen, strict=entry.fails_always))


def pytest_terminal_summary(terminalreporter, config):
    """Print the entries of KNOWN-RED.txt."""
    for entry in known_red.read(config.rootpath / known_red.NAME):
        terminalreporter.write_line(
            f"known red: {entry.test} | {entry.command} | {entry.seen} | {entry.issue}"
        )


# The same examples, and so the same verdict, in every run; --hypothesis-seed explores others.
hypothesis.settings.register_profile("suite", derandomize=True, deadline=None)
# More and longer examples, by hand: --hypothesis-profile=long. They are shown as they were drawn:
# to reduce one of 400 steps takes minutes.
hypothesis.settings.register_profile(
    "long",
    deadline=None,
    max_examples=2_000,
    stateful_step_count=400,
    phases=(hypothesis.Phase.generate,),
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile("suite")


@pytest.fixture
def children():
    """Start child processes, which are ended by their ids after the test."""
    with processes.Children() as started:
        yield started


@pytest.fixture(scope="module")
def module_children():
    """Start child processes for all tests of one module."""
    with processes.Children() as started:
        yield started


class Canned:
    """A handler that gives every query the same answer, as a faulty external system may."""

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
