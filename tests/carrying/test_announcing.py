"""Sidecars that the store's list does not show, and how soon callers learn of lost flows."""

import pytest

from ebonystile.core.carrying import announcing, balancer_state, effects, messages, packet
from ebonystile.peer import carrying
from tests.carrying import world

SECOND = 1_000


def seed_with(scene, *seeds):
    """Let everybody know these balancers from the settings."""
    for node in scene.sidecars:
        node.core.announcer.seeds = tuple(seed.address for seed in seeds)
    for node in scene.balancers:
        others = tuple(seed.address for seed in seeds if seed is not node)
        node.core.confirmation.seeds = others
        node.core.confirmation.is_seed = node in seeds


def view_begins(scene, nodes):
    """Let balancers that have just started have their view from now on."""
    for node in nodes:
        node.core.set_view_current(False, scene.now)
        node.core.set_view_current(True, scene.now)


def restart_everything(scene, *, upstreams):
    """Start all processes anew, all at this moment, and the upstreams as well if told so."""
    for node in scene.sidecars:
        if upstreams:
            node.upstream.restart()
        scene.restart_sidecar(node)
    for node in scene.balancers:
        scene.restart_balancer(node)


def restart_without_entry(scene, node, *, upstreams):
    """Start everything anew after an upstream has lost its entry, which nobody remembers."""
    del scene.entry_of[node.address]
    restart_everything(scene, upstreams=upstreams)
    for other in scene.everyone():
        other.core.fleet.unlisted_until.clear()


def test_callers_learn_of_flows_lost_with_everything_within_half_a_second():
    """All machines lose power and are back; a caller's packet finds its flow nowhere.

    Nobody knows yet whether the list is whole. Its next copy comes long after that has become
    clear; told only then, it had no time left to be served on a new flow.
    """
    scene = world.World(balancers=3)
    caller = scene.open()
    restart_everything(scene, upstreams=True)
    seed_with(scene, scene.balancers[1])
    view_begins(scene, scene.balancers)
    scene.ask(caller, b"again")
    scene.run(announcing.SEED_MIN_LISTENED_MS)
    assert caller.resets == 0
    scene.run(100)
    assert caller.resets == 1


def test_witnesses_tell_before_any_seed_has_started():
    """All machines lose power, and the seeds' take longest to come back.

    The first few sidecars of the list have listened since their own start and heard of nobody
    without an entry. A balancer need not wait for a seed, and callers of lost flows are told.
    """
    scene = world.World(balancers=2, upstreams=6)
    caller = scene.open()
    restart_everything(scene, upstreams=True)
    scene.known(scene.sidecars)
    scene.run(300)
    scene.restart_balancer(scene.balancers[0])
    view_begins(scene, scene.balancers)
    scene.ask(caller, b"again")
    scene.run(announcing.WITNESS_MIN_LISTENED_MS - 300 - 20)
    assert caller.resets == 0
    scene.run(announcing.ASK_INTERVAL_MS + 100)
    assert caller.resets == 1


def test_witnesses_tell_of_a_living_upstream_without_an_entry():
    """As above, but only processes were killed, and one upstream has lost its entry in an outage.

    Its sidecar tells the witnesses, as it tells the seeds, of which there are none. A balancer that
    asks them hears of it and asks there before it tells the caller that its flow is over.
    """
    scene = world.World(balancers=3, upstreams=6)
    caller = scene.open()
    home = scene.home_of(caller)
    restart_without_entry(scene, home, upstreams=False)
    view_begins(scene, scene.balancers)
    scene.ask(caller, b"again")
    scene.run(2 * SECOND)
    assert caller.resets == 0
    assert caller.answer.endswith(b"again")


def test_witnesses_do_not_confirm_a_list_that_is_still_filling():
    """Entries come back one by one after an outage, so that everybody's list grows.

    With it changes who the witnesses are: a sidecar without an entry may have told others than a
    balancer asks.
    """
    scene = world.World(balancers=1, upstreams=8)
    caller = scene.open()
    home = scene.home_of(caller)
    listed = {a: e for a, e in scene.entry_of.items() if a != home.address}
    scene.entry_of = dict(list(listed.items())[:4])
    restart_everything(scene, upstreams=False)
    view_begins(scene, scene.balancers)
    scene.ask(caller, b"again")
    for address, entry in list(listed.items())[4:]:
        scene.run(announcing.WITNESS_MIN_LISTENED_MS // 2)
        scene.entry_of[address] = entry
        scene.known(scene.sidecars)
        assert not scene.balancers[0].core.confirmation.confirmed


def test_a_witness_asked_just_after_its_list_has_grown_answers():
    """A balancer's question and a change of the list come in one turn of the sidecar's loop.

    The question bears the time at which the turn began, a millisecond before the change. The answer
    must fit into a datagram; a process that failed on it would leave its upstream without packets.
    """
    scene = world.World()
    core = scene.sidecars[0].core
    scene.add_upstream("a")
    scene.known(scene.sidecars)
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
    view_begins(scene, scene.balancers)
    scene.ask(caller, b"again")
    scene.run(500)
    assert caller.resets == 1


@pytest.mark.parametrize("seeds", ["none", "dead", "just started"])
def test_without_a_seed_that_can_tell_callers_wait_until_the_view_is_sure_by_itself(seeds):
    """The instances that the settings name are gone, or their balancers have just started.

    Two sidecars are listed, too few to be taken for witnesses of a whole list.
    """
    scene = world.World(balancers=2, upstreams=2)
    caller = scene.open()
    restart_everything(scene, upstreams=True)
    if seeds != "none":
        seed_with(scene, scene.balancers[1])
    scene.balancers[1].alive = seeds != "dead"
    view_begins(scene, scene.balancers)
    if seeds == "just started":
        scene.balancers[1].core.started_at = scene.now + 10 * SECOND
        scene.balancers[1].core.confirmation.started_at = scene.now + 10 * SECOND
    scene.ask(caller, b"again")
    scene.run(balancer_state.MIN_VIEW_AGE_MS - 50)
    assert caller.resets == 0
    scene.run(200)
    assert caller.resets == 1


def test_a_flow_at_an_upstream_without_an_entry_lives_through_the_loss_of_all_processes():
    """The store was away for longer than entries last, and is back; all processes are killed then.

    The list that the new ones read misses an upstream that lives. Its sidecar tells the seed, and
    a balancer that is about to tell a caller that its flow is over asks there first.
    """
    scene = world.World(balancers=3)
    caller = scene.open()
    home = scene.home_of(caller)
    restart_without_entry(scene, home, upstreams=False)
    seed_with(scene, scene.balancers[1])
    view_begins(scene, scene.balancers)
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


def test_a_sidecar_without_an_entry_for_long_is_silent():
    """Its upstream is gone for good, or the store can't hear it, and is to be taken as gone."""
    announcer = announcing.Announcer((("10.0.0.1", 7720),))
    sent = [now for now in range(0, 60_000, 200) if announcer.due_announcements(False, now)]
    assert len(sent) == announcing.ANNOUNCE_UNLISTED_MS // announcing.ANNOUNCE_INTERVAL_MS


def test_a_sidecar_that_is_gone_since_it_announced_itself_keeps_nobody_waiting():
    """All machines lose power; one comes back for a moment, its upstream gone, and is taken away.

    Its sidecar has announced itself meanwhile. Each caller whose flow was lost would be told a
    third of a second later if its balancer waited for that sidecar as for one that is listed.
    """
    scene = world.World(balancers=3, upstreams=5)
    caller = scene.open()
    gone = next(n for n in scene.sidecars if n is not scene.home_of(caller))
    restart_without_entry(scene, gone, upstreams=True)
    seed_with(scene, scene.balancers[1])
    scene.run(world.TICK_MS + 5)
    gone.alive = False
    view_begins(scene, scene.balancers)
    scene.ask(caller, b"again")
    scene.run(announcing.SEED_MIN_LISTENED_MS + 250)
    assert caller.resets == 1


def test_an_empty_list_right_after_the_return_of_the_store_ends_no_flow():
    """All entries have lapsed in an outage; a balancer that starts reads an empty list."""
    scene = world.World(balancers=1)
    caller = scene.open()
    listed = dict(scene.entry_of)
    scene.entry_of.clear()
    scene.restart_balancer(scene.balancers[0])
    view_begins(scene, scene.balancers)
    scene.ask(caller, b"again")
    scene.run(500)
    assert caller.resets == 0
    scene.entry_of.update(listed)
    for made in listed.values():
        scene.balancers[0].core.fleet.put(made)
    scene.run(1_000)
    assert caller.answer.endswith(b"again") and caller.resets == 0


def test_a_sidecar_that_others_may_read_from_offers_itself_once_a_second():
    announcer = announcing.Announcer((("10.0.0.1", 7720),))
    announcer.is_relay = True
    sent = [now for now in range(0, 5_000, 200) if announcer.due_announcements(True, now)]
    assert sent == [0, 1_000, 2_000, 3_000, 4_000]


def test_a_seed_names_at_most_as_many_sidecars_as_fit_into_a_datagram():
    scene = world.World(balancers=1)
    (seed,) = scene.balancers
    for number in range(announcing.MAX_UNLISTED_PER_ANSWER + 10):
        source = (f"10.9.0.{number}", 7720)
        seed.core.on_message(messages.Announce(False, False), None, source, scene.now)
    (sent,) = seed.core.on_message(messages.AskUnlisted(), None, ("10.0.0.9", 1), scene.now)
    assert len(sent.message.sidecars) == announcing.MAX_UNLISTED_PER_ANSWER
    assert len(carrying.pack(sent.message)) <= 1_200


def test_a_seed_that_can_t_name_all_sidecars_without_an_entry_confirms_nothing():
    """The store has lost all entries in an outage, and every process has just started.

    The seed has heard more sidecars than one answer holds. If its word confirmed the asker's view,
    callers of the upstreams that it left out would be told that their flows are gone.
    """
    scene = world.World(balancers=2)
    seed, asker = scene.balancers
    seed_with(scene, seed)
    for number in range(announcing.MAX_UNLISTED_PER_ANSWER + 1):
        source = (f"10.9.0.{number}", 7720)
        seed.core.on_message(messages.Announce(False, False), None, source, scene.now)
    scene.run(announcing.SEED_MIN_LISTENED_MS)
    view_begins(scene, [asker])
    (sent,) = seed.core.on_message(messages.AskUnlisted(), None, asker.address, scene.now)
    asker.core.on_message(sent.message, None, seed.address, scene.now)
    assert not asker.core.is_view_confirmed(scene.now)


def test_a_balancer_reads_from_a_sidecar_that_offers_itself():
    scene = world.World(balancers=1)
    source = scene.sidecars[0].address
    offered = messages.Announce(True, True)
    done = scene.balancers[0].core.on_message(offered, None, source, scene.now)
    assert done == [effects.ReadFrom(source)]


@pytest.mark.parametrize("role", ["balancer", "sidecar"])
def test_a_message_meant_for_the_other_role_changes_nothing(role):
    """An instance's address was another role's before; a stray datagram must not end a process."""
    scene = world.World()
    node = scene.balancers[0] if role == "balancer" else scene.sidecars[0]
    stray = messages.Ask(b"f" * 12, 1) if role == "balancer" else messages.AnswerUnlisted(1, ())
    (traced,) = node.core.on_message(stray, None, ("10.0.0.9", 1), scene.now)
    assert traced.event == "message_refused"


def test_few_flows_wait_for_a_sure_view():
    scene = world.World(balancers=1)
    core = scene.balancers[0].core
    for number in range(balancer_state.MAX_PENDING + 10):
        flow = packet.end_of("100.64.0.7", number + 1) + packet.end_of(*world.ROUTE)
        core.add_pending(packet.Packet(flow, b"", 0, 0, 0))
    assert len(core.pending) == balancer_state.MAX_PENDING
