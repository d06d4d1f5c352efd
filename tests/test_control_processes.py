"""Check with real processes that the configuration comes through outages, kills and pauses."""

import signal
import time

import pytest

from ebonystile import clock, errors
from ebonystile.core.control import configuration, watching
from ebonystile.peer import bulk, control, seal
from standins import processes, system

ZONE = "umea"
BOUND_S = 40


class Fleet:
    """Four balancers of one zone, each knowing the first two as its seeds."""

    def __init__(self, children):
        self.system = system.System(children)
        self.publish("first")
        self.seeds = []
        for number in range(4):
            self.start(f"entry-{number}")

    def start(self, name):
        entry = self.system.start_balancer(name, ZONE, seeds=self.seeds)
        if len(self.seeds) < 2:
            self.seeds = [*self.seeds, f"127.0.0.1:{entry.port}"]
        return entry

    def publish(self, app):
        value = {"services": {"line": {"address": "10.1.0.1:443", "selector": {"app": app}}}}
        self.revision = processes.publish_value(self.system.platform, "services/00", value)

    def mode(self, **fields):
        self.system.platform.post("standin/mode", fields)

    def shown(self, entry):
        """Return the answer to a pull from scratch: whether caught up, and the revision."""
        key = seal.Key(1, bytes.fromhex(self.system.key))
        own = seal.Seal([key], incarnation=clock.now())
        question = own.seal(
            control.CONTROL.to_items(control.make_pull(1, configuration.PullRequest()))
        )
        try:
            address = ("127.0.0.1", entry.port)
            answer = bulk.exchange(address, "/control", question, clock.now() + 2_000)
        except errors.PeerError:
            return False, 0
        reply = control.CONTROL.from_items(own.open(answer).body)
        return reply.caught_up, control.unpack_update(reply.update).values.complete_revision

    def wait_all(self, entries):
        for entry in entries:
            wait_until(lambda entry=entry: self.shown(entry) == (True, self.revision))


def wait_until(true):
    give_up = time.monotonic() + BOUND_S
    while not true():
        assert time.monotonic() < give_up, "it did not come true in time"
        time.sleep(0.1)


@pytest.fixture
def fleet(children):
    return Fleet(children)


def test_start_during_a_platform_outage_takes_the_peers_configuration(fleet):
    """The platform goes down, then a balancer is replaced: callers must not notice."""
    fleet.mode(mode="down")
    late = fleet.start("late")
    assert fleet.shown(late) == (True, fleet.revision)


def test_start_from_a_stale_platform_takes_the_peers_higher_revision(fleet):
    """The platform's replica shows revision 1 again when a balancer starts."""
    old = fleet.revision
    fleet.publish("second")
    fleet.wait_all(fleet.system.balancers.values())
    fleet.mode(mode="stale", revision=old)
    late = fleet.start("late")
    assert fleet.shown(late) == (True, fleet.revision)


def test_change_is_taken_though_the_watchers_were_killed(fleet):
    """Both processes that watch the platform are killed; then a change is published.

    The others see that the platform's last word grows old, and one of them begins to watch.
    """
    epoch = clock.now() // 600_000
    names = sorted(fleet.system.balancers, key=lambda n: watching.weight(n, epoch), reverse=True)
    for name in names[:2]:
        fleet.system.balancers[name].child.kill()
    fleet.publish("second")
    fleet.wait_all(fleet.system.balancers[name] for name in names[2:])


def test_paused_process_does_not_serve_until_someone_answers(fleet):
    """A balancer wakes from a pause while no one answers it, so it cannot know what it missed.

    It must hand no packet on by its old view: its health says 503. Once the platform is back it
    catches up and serves again.
    """
    paused, *others = fleet.system.balancers.values()
    paused.child.signal(signal.SIGSTOP)
    fleet.publish("second")
    fleet.wait_all(others)
    fleet.mode(mode="down")
    for entry in others:
        entry.child.signal(signal.SIGSTOP)
    time.sleep(3)
    paused.child.signal(signal.SIGCONT)
    wait_until(lambda: not healthy(paused))
    fleet.mode(mode="up")
    for entry in others:
        entry.child.signal(signal.SIGCONT)
    fleet.wait_all([paused, *others])
    wait_until(lambda: healthy(paused))


def test_process_that_does_not_answer_is_suspected_and_nothing_else_happens(fleet):
    """The list names balancers that never answer: they died, or a partition is in the way.

    The others suspect them, tell operators so, and go on.
    """
    for number in range(2):
        fleet.system.enlist(f"ghost-{number}", "balancer", system.free_port(), ZONE)
    entries = fleet.system.balancers.values()
    told = 'ebonystile_events_total{event="suspected"}'
    wait_until(lambda: any(told in metrics_of(entry) for entry in entries))
    assert all(healthy(entry) for entry in entries)


def metrics_of(entry):
    """Return the metrics of a process."""
    url = f"http://127.0.0.1:{entry.port}/metrics"
    return system.HTTP.request("GET", url).data.decode()


def healthy(entry):
    """Tell whether the process says that it may be handed packets."""
    url = f"http://127.0.0.1:{entry.port}/healthz"
    return system.HTTP.request("GET", url).status == 200
