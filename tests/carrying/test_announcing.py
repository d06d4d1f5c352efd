"""Announcements of sidecars without an entry, and how soon lost flows are reset."""

import pytest

from ebonystile.core.carrying import (
    announcing,
    balancer_state,
    batches,
    effects,
    fleet,
    messages,
    packet,
)
from ebonystile.peer import carrying
from tests.carrying import world

SECOND = 1_000


def seed_with(scene, *seeds):
    """Configure these balancers as the seeds of all processes."""
    for node in scene.sidecars:
        node.core.announcer.seeds = tuple(seed.address for seed in seeds)
    for node in scene.balancers:
        others = tuple(seed.address for seed in seeds if seed is not node)
        node.core.confirmation.seeds = others
        node.core.confirmation.is_seed = node in seeds


def make_views_current(scene, nodes):
    """Let the views of balancers become current now, as after their start."""
    for node in nodes:
        node.core.set_view_current(False, scene.now)
        node.core.set_view_current(True, scene.now)


def restart_everything(scene, *, upstreams):
    """Restart all processes at once, with `upstreams` the upstreams as well."""
    for node in scene.sidecars:
        if upstreams:
            node.upstream.restart()
        scene.restart_sidecar(node)
    for node in scene.balancers:
        scene.restart_balancer(node)


def restart_without_entry(scene, node, *, upstreams):
    """Restart everything after an upstream has lost its entry, with no process aware of it."""
    del scene.entries[node.address]
    restart_everything(scene, upstreams=upstreams)
    for other in scene.all_nodes():
        other.core.fleet.unlisted_until.clear()


def test_flows_lost_in_a_power_loss_are_reset_within_half_a_second():
    """A flow is not found while the balancer's view is unconfirmed.

    It must be reset once the view is confirmed, not only at the caller's next retransmission, which
    would leave no time for a new flow.
    """
    scene = world.World(balancers=3)
    caller = scene.open()
    restart_everything(scene, upstreams=True)
    seed_with(scene, scene.balancers[1])
    make_views_current(scene, scene.balancers)
    scene.ask(caller, b"again")
    scene.run(announcing.SEED_MIN_LISTENED_MS)
    assert caller.resets == 0
    scene.run(100)
    assert caller.resets == 1


def test_witnesses_confirm_a_view_before_any_seed_has_started():
    """After a power loss the instances of the seeds may take longest to restart.

    The witnesses alone must be enough to confirm the view and reset lost flows.
    """
    scene = world.World(balancers=2, upstreams=6)
    caller = scene.open()
    restart_everything(scene, upstreams=True)
    scene.publish_entries(scene.sidecars)
    scene.run(300)
    scene.restart_balancer(scene.balancers[0])
    make_views_current(scene, scene.balancers)
    scene.ask(caller, b"again")
    scene.run(announcing.WITNESS_MIN_LISTENED_MS - 300 - 20)
    assert caller.resets == 0
    scene.run(announcing.ASK_INTERVAL_MS + 100)
    assert caller.resets == 1


def test_witnesses_name_a_running_upstream_without_an_entry():
    """A flow at an upstream without an entry must not be reset after all processes restarted.

    There are no seeds: its sidecar announces itself to the witnesses, which balancers ask.
    """
    scene = world.World(balancers=3, upstreams=6)
    caller = scene.open()
    home = scene.home_of(caller)
    restart_without_entry(scene, home, upstreams=False)
    make_views_current(scene, scene.balancers)
    scene.ask(caller, b"again")
    scene.run(2 * SECOND)
    assert caller.resets == 0
    assert caller.answer.endswith(b"again")


def test_witnesses_do_not_confirm_a_list_that_is_still_filling():
    """While entries return one by one after an outage, the set of witnesses changes.

    A sidecar without an entry may have announced itself to others than those a balancer asks.
    """
    scene = world.World(balancers=1, upstreams=8)
    caller = scene.open()
    home = scene.home_of(caller)
    listed = {a: e for a, e in scene.entries.items() if a != home.address}
    scene.entries = dict(list(listed.items())[:4])
    restart_everything(scene, upstreams=False)
    make_views_current(scene, scene.balancers)
    scene.ask(caller, b"again")
    for address, entry in list(listed.items())[4:]:
        scene.run(announcing.WITNESS_MIN_LISTENED_MS // 2)
        scene.entries[address] = entry
        scene.publish_entries(scene.sidecars)
        assert not scene.balancers[0].core.confirmation.confirmed


def test_a_witness_asked_just_after_its_list_has_grown_answers():
    """A question may be handled with a time slightly before the last change of the list.

    A negative duration could not be encoded, and the sidecar's process would end.
    """
    scene = world.World()
    core = scene.sidecars[0].core
    scene.add_upstream("a")
    scene.publish_entries(scene.sidecars)
    question = messages.AskUnlisted()
    (sent,) = core.on_message(question, None, scene.balancers[0].address, scene.now - 1)
    assert carrying.unpack(carrying.pack(sent.message)).listened_ms == 0


def test_two_witnesses_are_not_enough():
    confirmation = announcing.ListConfirmation((), False, 0)
    confirmation.on_view_current(0)
    witnesses = (("10.0.0.1", 1), ("10.0.0.2", 1), ("10.0.0.3", 1), ("10.0.0.4", 1))
    for witness in (*witnesses[:2], witnesses[0], ("10.0.0.9", 1)):
        confirmation.record_answer(witness, announcing.WITNESS_MIN_LISTENED_MS, witnesses)
    confirmation.record_answer(witnesses[2], announcing.WITNESS_MIN_LISTENED_MS - 1, witnesses)
    assert not confirmation.confirmed
    confirmation.record_answer(witnesses[2], announcing.WITNESS_MIN_LISTENED_MS, witnesses)
    assert confirmation.confirmed


def test_a_seed_confirms_its_own_view():
    scene = world.World(balancers=1)
    caller = scene.open()
    restart_everything(scene, upstreams=True)
    seed_with(scene, scene.balancers[0])
    make_views_current(scene, scene.balancers)
    scene.ask(caller, b"again")
    scene.run(500)
    assert caller.resets == 1


@pytest.mark.parametrize("seeds", ["none", "dead", "just started"])
def test_without_seeds_and_witnesses_a_view_is_confirmed_by_its_age(seeds):
    """The seeds are gone or have just started, and two sidecars are too few witnesses."""
    scene = world.World(balancers=2, upstreams=2)
    caller = scene.open()
    restart_everything(scene, upstreams=True)
    if seeds != "none":
        seed_with(scene, scene.balancers[1])
    scene.balancers[1].alive = seeds != "dead"
    make_views_current(scene, scene.balancers)
    if seeds == "just started":
        scene.balancers[1].core.started_at = scene.now + 10 * SECOND
        scene.balancers[1].core.confirmation.started_at = scene.now + 10 * SECOND
    scene.ask(caller, b"again")
    scene.run(balancer_state.MIN_VIEW_AGE_MS - 50)
    assert caller.resets == 0
    scene.run(200)
    assert caller.resets == 1


def test_a_flow_at_an_upstream_without_an_entry_survives_a_restart_of_all_processes():
    """After an outage of the store the list may lack a running upstream.

    Its sidecar announces itself to the seed, and a balancer asks there before it resets a flow.
    """
    scene = world.World(balancers=3)
    caller = scene.open()
    home = scene.home_of(caller)
    restart_without_entry(scene, home, upstreams=False)
    seed_with(scene, scene.balancers[1])
    make_views_current(scene, scene.balancers)
    scene.ask(caller, b"again")
    scene.run(2 * SECOND)
    assert caller.resets == 0
    assert caller.answer.endswith(b"again")


def test_a_sidecar_announces_itself_at_each_tick_until_its_upstream_is_listed():
    announcer = announcing.Announcer((("10.0.0.1", 7720),))
    assert announcer.due_announcements(False, 0)
    assert not announcer.due_announcements(False, announcing.ANNOUNCE_INTERVAL_MS - 1)
    assert announcer.due_announcements(False, announcing.ANNOUNCE_INTERVAL_MS)
    assert not announcer.due_announcements(True, 2 * announcing.ANNOUNCE_INTERVAL_MS)


def test_a_sidecar_without_an_entry_stops_its_announcements_after_a_time():
    """An upstream that has no entry for long is gone, or counts as gone."""
    announcer = announcing.Announcer((("10.0.0.1", 7720),))
    sent = [now for now in range(0, 60_000, 200) if announcer.due_announcements(False, now)]
    assert len(sent) == announcing.ANNOUNCE_UNLISTED_MS // announcing.ANNOUNCE_INTERVAL_MS


def test_a_sidecar_that_ended_after_its_announcement_delays_no_reset():
    """A balancer must not wait for an unlisted sidecar as long as for a listed one.

    A sidecar may announce itself after a power loss and end with its instance soon after.
    """
    scene = world.World(balancers=3, upstreams=5)
    caller = scene.open()
    gone = next(n for n in scene.sidecars if n is not scene.home_of(caller))
    restart_without_entry(scene, gone, upstreams=True)
    seed_with(scene, scene.balancers[1])
    scene.run(world.TICK_MS + 5)
    gone.alive = False
    make_views_current(scene, scene.balancers)
    scene.ask(caller, b"again")
    scene.run(announcing.SEED_MIN_LISTENED_MS + 250)
    assert caller.resets == 1


def test_an_empty_list_right_after_the_return_of_the_store_ends_no_flow():
    """A balancer that starts after an outage in which all entries expired reads an empty list."""
    scene = world.World(balancers=1)
    caller = scene.open()
    listed = dict(scene.entries)
    scene.entries.clear()
    scene.restart_balancer(scene.balancers[0])
    make_views_current(scene, scene.balancers)
    scene.ask(caller, b"again")
    scene.run(500)
    assert caller.resets == 0
    scene.entries.update(listed)
    for made in listed.values():
        scene.balancers[0].core.fleet.put(made)
    scene.run(1_000)
    assert caller.answer.endswith(b"again") and caller.resets == 0


def test_a_seed_that_keeps_lapsed_entries_names_their_sidecars():
    """A balancer that starts while the others still keep them must not reset their flows."""
    scene = world.World(balancers=2)
    caller = scene.open()
    started, seed = scene.balancers
    listed = dict(scene.entries)
    for node in (seed, *scene.sidecars):
        for upstream in listed.values():
            node.core.fleet.remove(upstream.name, scene.now, scene.now + fleet.RELIST_GRACE_MS)
    scene.entries.clear()
    scene.restart_balancer(started)
    seed_with(scene, seed)
    make_views_current(scene, [started])
    scene.ask(caller, b"again")
    scene.run(fleet.RELIST_GRACE_MS - 100)
    assert caller.resets == 0
    assert caller.answer.endswith(b"again")


def test_a_search_that_began_before_the_list_was_read_resets_no_flow():
    """A balancer that starts knows only a sidecar that has announced itself, which answers late."""
    scene = world.World(balancers=2)
    caller = scene.open()
    started = scene.balancers[0]
    announced = next(n for n in scene.sidecars if n is not scene.home_of(caller))
    scene.start_without_view(started)
    announcing.record_unlisted(started.core.fleet, announced.address, scene.now + SECOND)
    scene.delays = lambda step, origin, target: [8 if origin == announced.address else 1]
    scene.ask(caller, b"again")
    scene.run(batches.BATCH_DELAY_MS + 5)
    for upstream in scene.entries.values():
        started.core.fleet.put(upstream)
    started.core.set_view_current(True, scene.now)
    started.core.confirmation.confirm()
    scene.run(150)
    assert caller.resets == 0
    assert caller.answer.endswith(b"again")


def test_a_relay_announces_itself_once_a_second():
    announcer = announcing.Announcer((("10.0.0.1", 7720),))
    announcer.is_relay = True
    sent = [now for now in range(0, 5_000, 200) if announcer.due_announcements(True, now)]
    assert sent == [0, 1_000, 2_000, 3_000, 4_000]


def test_a_seed_names_no_more_sidecars_than_fit_into_a_datagram():
    scene = world.World(balancers=1)
    (seed,) = scene.balancers
    for number in range(announcing.MAX_UNLISTED_PER_ANSWER + 10):
        source = (f"10.9.0.{number}", 7720)
        seed.core.on_message(messages.Announce(False, False), None, source, scene.now)
    (sent,) = seed.core.on_message(messages.AskUnlisted(), None, ("10.0.0.9", 1), scene.now)
    assert len(sent.message.sidecars) == announcing.MAX_UNLISTED_PER_ANSWER
    assert len(carrying.pack(sent.message)) <= 1_200


def test_an_answer_that_can_t_name_all_sidecars_without_an_entry_confirms_no_view():
    """If it did, flows at the sidecars that the answer leaves out would be reset."""
    scene = world.World(balancers=2)
    seed, asker = scene.balancers
    seed_with(scene, seed)
    for number in range(announcing.MAX_UNLISTED_PER_ANSWER + 1):
        source = (f"10.9.0.{number}", 7720)
        seed.core.on_message(messages.Announce(False, False), None, source, scene.now)
    scene.run(announcing.SEED_MIN_LISTENED_MS)
    make_views_current(scene, [asker])
    (sent,) = seed.core.on_message(messages.AskUnlisted(), None, asker.address, scene.now)
    asker.core.on_message(sent.message, None, seed.address, scene.now)
    assert not asker.core.is_view_confirmed(scene.now)


def test_a_balancer_adds_a_relay_that_announces_itself():
    scene = world.World(balancers=1)
    source = scene.sidecars[0].address
    offered = messages.Announce(True, True)
    done = scene.balancers[0].core.on_message(offered, None, source, scene.now)
    assert done == [effects.AddRelay(source)]


@pytest.mark.parametrize("role", ["balancer", "sidecar"])
def test_a_message_meant_for_the_other_role_changes_nothing(role):
    """An address may have belonged to the other role before; a stray datagram must do no harm."""
    scene = world.World()
    node = scene.balancers[0] if role == "balancer" else scene.sidecars[0]
    stray = messages.Ask(b"f" * 12, 1) if role == "balancer" else messages.AnswerUnlisted(1, ())
    (traced,) = node.core.on_message(stray, None, ("10.0.0.9", 1), scene.now)
    assert traced.event == "message_refused"


def test_the_number_of_flows_waiting_for_a_confirmed_view_is_bounded():
    scene = world.World(balancers=1)
    core = scene.balancers[0].core
    for number in range(balancer_state.MAX_PENDING + 10):
        flow = packet.endpoint_of("100.64.0.7", number + 1) + packet.endpoint_of(*world.ROUTE)
        core.add_pending(packet.Packet(flow, b"", 0, 0, 0))
    assert len(core.pending) == balancer_state.MAX_PENDING
