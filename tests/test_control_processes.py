"""Check with real processes that configuration survives outages, kills and pauses."""

import signal
import time

import pytest

from ebonystile import clock, errors
from ebonystile.core import positions
from ebonystile.core.control import configuration, watching
from ebonystile.peer import bulk, control, seal
from standins import processes, system

ZONE = "umea"
BOUND_S = 40


class Fleet:
    """Four balancers of one zone, with the first two as seeds."""

    def __init__(self, children):
        self.system = system.System(children)
        self.epoch = 0
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
        revision = processes.publish_value(self.system.platform, "services/00", value)
        self.revision = positions.make_position(self.epoch, revision)

    def restore(self):
        """Let the platform come back from the copy that was kept."""
        self.system.platform.post("standin/restore", {})
        self.epoch += 1

    def set_platform_mode(self, **fields):
        self.system.platform.post("standin/mode", fields)

    def pull_revision(self, entry):
        """Return whether a process has caught up, and its revision, from a pull of everything."""
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

    def wait_for_revision(self, entries):
        for entry in entries:
            wait_until(lambda entry=entry: self.pull_revision(entry) == (True, self.revision))


def wait_until(condition):
    give_up_at = time.monotonic() + BOUND_S
    while not condition():
        assert time.monotonic() < give_up_at, "the condition did not become true in time"
        time.sleep(0.1)


@pytest.fixture
def fleet(children):
    return Fleet(children)


def test_start_during_a_platform_outage_takes_the_peers_configuration(fleet):
    """Guards against a balancer without a view when it starts during an outage of the platform."""
    fleet.set_platform_mode(mode="down")
    late = fleet.start("late")
    assert fleet.pull_revision(late) == (True, fleet.revision)


def test_start_from_a_stale_platform_takes_the_peers_higher_revision(fleet):
    """Guards against a balancer that starts with the old revision of a stale replica."""
    old = fleet.revision
    fleet.publish("second")
    fleet.wait_for_revision(fleet.system.balancers.values())
    fleet.set_platform_mode(mode="stale", revision=old)
    late = fleet.start("late")
    assert fleet.pull_revision(late) == (True, fleet.revision)


def test_changes_arrive_after_the_platform_was_restored_from_an_older_copy(fleet):
    """Guards against changes that are passed over because their revisions were given out before."""
    fleet.system.platform.post("standin/backup", {})
    for _ in range(3):
        fleet.publish("second")
    fleet.wait_for_revision(fleet.system.balancers.values())
    fleet.restore()
    fleet.publish("second")
    fleet.publish("third")
    fleet.wait_for_revision(fleet.system.balancers.values())


def test_change_arrives_though_the_watchers_were_killed(fleet):
    """Guards against a change that is missed because all watchers of the platform died.

    The other processes see the last confirmation age, and one of them takes over the watch.
    """
    epoch = clock.now() // 600_000
    names = sorted(fleet.system.balancers, key=lambda n: watching.weight(n, epoch), reverse=True)
    for name in names[:2]:
        fleet.system.balancers[name].child.kill()
    fleet.publish("second")
    fleet.wait_for_revision(fleet.system.balancers[name] for name in names[2:])


def test_paused_process_does_not_serve_until_its_view_is_confirmed(fleet):
    """Guards against routing by a stale view after a pause.

    While neither the platform nor a peer answers, `/healthz` returns 503; once the platform is
    back, the balancer catches up and serves again.
    """
    paused, *others = fleet.system.balancers.values()
    paused.child.signal(signal.SIGSTOP)
    fleet.publish("second")
    fleet.wait_for_revision(others)
    fleet.set_platform_mode(mode="down")
    for entry in others:
        entry.child.signal(signal.SIGSTOP)
    time.sleep(3)
    paused.child.signal(signal.SIGCONT)
    wait_until(lambda: not is_healthy(paused))
    fleet.set_platform_mode(mode="up")
    for entry in others:
        entry.child.signal(signal.SIGCONT)
    fleet.wait_for_revision([paused, *others])
    wait_until(lambda: is_healthy(paused))


def test_unresponsive_process_is_suspected_and_the_others_stay_healthy(fleet):
    """Guards against peers that become unhealthy because listed balancers never answer.

    The suspicion is visible in the metrics.
    """
    for number in range(2):
        fleet.system.enlist(f"ghost-{number}", "balancer", system.free_port(), ZONE)
    entries = fleet.system.balancers.values()
    suspected_count = 'ebonystile_events_total{event="suspected"}'
    wait_until(lambda: any(suspected_count in metrics_of(entry) for entry in entries))
    assert all(is_healthy(entry) for entry in entries)


def metrics_of(entry):
    """Return the metrics text of a process."""
    url = f"http://127.0.0.1:{entry.port}/metrics"
    return system.HTTP.request("GET", url).data.decode()


def is_healthy(entry):
    """Return whether the process reports itself healthy on `/healthz`."""
    url = f"http://127.0.0.1:{entry.port}/healthz"
    return system.HTTP.request("GET", url).status == 200
