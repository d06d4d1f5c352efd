"""Check that configurations merge to the same state in any order and never revert."""

import itertools

from hypothesis import given, settings
from hypothesis import strategies as st

from ebonystile.core.carrying import routes
from ebonystile.core.control import assembly, configuration, store
from ebonystile.platform import documents

NAMES = ["a", "b", "c", "d"]


def services(**selectors):
    return {
        "services": {
            name: {"address": f"10.0.0.{i}:80", "selector": selector}
            for i, (name, selector) in enumerate(selectors.items(), 1)
        }
    }


def labels(**instances):
    return {"instances": instances}


def upstream(name, port=1, *, leaving=False, role="upstream"):
    return assembly.Instance(name, role, ("127.0.0.1", port), "umea", leaving)


def feed(conf, *values, after=None, complete=None):
    """Apply values of the platform, (key, revision, value) each, and return what changed."""
    after = conf.values.complete_revision if after is None else after
    complete = max((v[1] for v in values), default=after) if complete is None else complete
    return conf.apply_values(configuration.values_delta(after, complete, values))


def list_instances(conf, revision, *instances, gone=()):
    rows = [(i, False) for i in instances] + [(upstream(n), True) for n in gone]
    after = conf.instances.complete_revision
    return conf.apply_instances(configuration.instances_delta(after, revision, rows))


def state(conf):
    """Return what copies must agree on: the entries in force, the refusals and the view."""
    view = conf.view
    return (
        {k: e for k, e in conf.values.entries.items() if e.value is not None},
        conf.current_refusals,
        {n: (s.address, [u.name for u in s.upstreams]) for n, s in view.services.items()},
        {e.name: (e.address, e.leaving) for e in view.endpoints.values()},
    )


def members(conf, name):
    return [u.name for u in conf.view.services[name].upstreams]


def test_selectors_choose_upstreams_as_labels_change():
    conf = configuration.Configuration()
    feed(conf, ("services/1", 1, services(line={"app": "line", "tier": ["x", "y"]})))
    feed(conf, ("labels/1", 2, labels(u1={"app": "line", "tier": "x"}, u2={"app": "line"})))
    list_instances(conf, 1, upstream("u1", 1), upstream("u2", 2), upstream("u3", 3))
    assert members(conf, "line") == ["u1"]
    feed(conf, ("labels/2", 3, labels(u3={"app": "line", "tier": "y"})))
    assert members(conf, "line") == ["u1", "u3"]
    feed(conf, ("labels/2", 4, labels(u3={"app": "line", "tier": "y", "leaving": "true"})))
    assert [u.leaving for u in conf.view.services["line"].upstreams] == [False, True]
    feed(conf, ("services/1", 5, services(line={"app": "line"})))
    assert members(conf, "line") == ["u1", "u2", "u3"]
    list_instances(conf, 2, gone=["u1"])
    assert members(conf, "line") == ["u2", "u3"]
    feed(conf, ("services/1", 6, None))
    assert conf.view.services == {}
    assert conf.view.revision == 6


def test_refused_value_leaves_the_older_in_force_until_it_is_corrected():
    conf = configuration.Configuration()
    feed(conf, ("services/1", 1, services(line={"app": "line"})))
    _, refusals = feed(conf, ("services/1", 2, services(line={})))
    assert [(r.key, r.revision) for r in refusals] == [("services/1", 2)]
    assert "line" in conf.view.services
    assert conf.digest.values == 2
    feed(conf, ("services/1", 3, services(photo={"app": "photo"})))
    assert list(conf.view.services) == ["photo"]
    assert conf.current_refusals == []


def test_new_process_gets_the_older_value_of_a_refused_key():
    """A process that starts while the platform has an invalid value must get the valid older one.

    It has the same revision as its peers, so only its list of refused keys makes them send it.
    """
    old = configuration.Configuration()
    feed(old, ("services/1", 1, services(line={"app": "line"})))
    feed(old, ("services/1", 2, services(line={})))
    new = configuration.Configuration()
    feed(new, ("services/1", 2, services(line={})))
    assert new.view.services == {}
    new.apply(old.update_for(new.pull_request()))
    assert state(new) == state(old)
    assert "line" in new.view.services


def test_name_in_two_documents_goes_to_the_first_key_in_any_order():
    first = ("services/1", 1, services(line={"app": "one"}))
    second = ("services/2", 2, services(line={"app": "two"}))
    for order in ([first, second], [second, first]):
        conf = configuration.Configuration()
        for value in order:
            feed(conf, value, after=0)
        assert conf.assembly.specs.values["line"].selector == (("app", ("one",)),)
        assert conf.conflicts() == ["line: in services/1 and services/2; services/1 holds"]
    feed(conf, ("services/1", 3, None))
    assert conf.assembly.specs.values["line"].selector == (("app", ("two",)),)


def test_statement_of_an_instance_overrides_the_list():
    conf = configuration.Configuration()
    list_instances(conf, 1, upstream("u1"))
    conf.set_override("u1", upstream("u1", leaving=True))
    list_instances(conf, 2, upstream("u1"))
    assert [e.leaving for e in conf.view.endpoints.values()] == [True]
    conf.set_override("u1", None)
    assert [e.leaving for e in conf.view.endpoints.values()] == [False]


def test_balancers_that_leave_are_not_listed():
    conf = configuration.Configuration()
    list_instances(conf, 1, upstream("b1", 1, role="balancer"), upstream("b2", 2, role="balancer"))
    assert conf.view.balancers == (("127.0.0.1", 1), ("127.0.0.1", 2))
    list_instances(conf, 2, upstream("b1", 1, role="balancer", leaving=True))
    assert conf.view.balancers == (("127.0.0.1", 2),)


def test_one_change_shares_all_other_endpoints():
    conf = configuration.Configuration()
    feed(conf, ("services/1", 1, services(line={"app": "line"}, photo={"app": "photo"})))
    list_instances(conf, 1, *(upstream(f"u{i}", i + 1) for i in range(50)))
    before = conf.view
    list_instances(conf, 2, upstream("u7", 99))
    after = conf.view
    changed = [k for k in after.endpoints if after.endpoints[k] is not before.endpoints.get(k)]
    assert len(changed) == 1


def test_dropped_tombstones_turn_a_delta_into_a_snapshot(monkeypatch):
    monkeypatch.setattr(store, "MAX_TOMBSTONES", 2)
    conf = configuration.Configuration()
    behind = configuration.Configuration()
    feed(conf, *((f"labels/{i}", i, labels(**{f"u{i}": {}})) for i in range(1, 7)))
    behind.apply(conf.update_for(behind.pull_request()))
    feed(conf, *((f"labels/{i}", i + 10, None) for i in range(1, 6)))
    assert len(conf.values.entries) == 3
    update = conf.update_for(behind.pull_request())
    assert sorted(update.values.names) == ["labels/4", "labels/5", "labels/6"]
    stale = behind.update_for(configuration.PullRequest())
    behind.apply(update)
    assert state(behind) == state(conf)
    conf.apply(stale)
    assert state(behind) == state(conf)


def test_every_refused_document_gets_its_older_value_in_one_update():
    """Sent one at a time, an entry that is refused again would block all that follow it."""
    peer = configuration.Configuration()
    feed(peer, ("services/a", 1, services(line={"app": "l"})))
    feed(peer, ("services/b", 2, services(photo={"app": "p"})))
    new = configuration.Configuration()
    feed(new, ("services/a", 3, services(line={})), ("services/b", 4, services(photo={})))
    new.apply(peer.update_for(new.pull_request()))
    assert set(new.view.services) == {"line", "photo"}


def test_update_comes_in_parts_that_fit_a_message(monkeypatch):
    monkeypatch.setattr(configuration, "MAX_UPDATE_VALUES_BYTES", 100)
    conf = configuration.Configuration()
    feed(conf, *((f"labels/{i}", i, labels(**{f"u{i}": {}})) for i in range(1, 9)))
    list_instances(conf, 5, upstream("u3"))
    new = configuration.Configuration()
    parts = 0
    while new.digest.is_behind(conf.digest):
        new.apply(conf.update_for(new.pull_request()))
        parts += 1
    assert state(new) == state(conf)
    assert 2 < parts < 9


VALUES = st.sampled_from(
    [
        None,
        services(line={"app": "line"}),
        services(line={"app": "photo"}, photo={"app": "photo"}),
        services(line={}),
    ]
)
HISTORY = st.lists(st.tuples(st.sampled_from(NAMES), VALUES), max_size=12)
CUTS = st.lists(st.integers(0, 12), min_size=3, max_size=3)


def read_at(history, cut):
    """Return a configuration that read the platform once, when `cut` changes had been made."""
    latest = {}
    for revision, (name, value) in enumerate(history[:cut], 1):
        latest[name] = (f"services/{name}", revision, value)
    conf = configuration.Configuration()
    feed(conf, *latest.values(), after=0, complete=min(cut, len(history)))
    return conf


@settings(max_examples=150, deadline=None)
@given(HISTORY, CUTS)
def test_joins_commute_repeat_and_never_revert(history, cuts):
    """Three copies that read the platform at different times are merged in every order, twice."""
    results = []
    for order in itertools.permutations(range(3)):
        copies = [read_at(history, cut) for cut in cuts]
        for i, j in [(order[0], order[1]), (order[1], order[2]), (order[2], order[0])] * 2:
            before = {k: e.revision for k, e in copies[i].values.entries.items()}
            copies[i].apply(copies[j].update_for(copies[i].pull_request()))
            for key, revision in before.items():
                assert copies[i].values.entries[key].revision >= revision
        results.append([state(c) for c in copies])
    assert all(copy == results[0][0] for result in results for copy in result)


def traited(**traits):
    return {"services": {"line": {"address": "10.0.0.1:80", "selector": {"app": "line"}, **traits}}}


def test_traits_of_requests_reach_the_view_and_change_alone():
    conf = configuration.Configuration()
    feed(conf, ("services/1", 1, services(line={"app": "line"})))
    assert conf.view.services["line"].requests == routes.NO_TRAITS
    feed(conf, ("services/1", 2, traited(kind="idempotent", objective_ms=300)))
    stated = routes.RequestTraits(routes.RequestKind.IDEMPOTENT, 300)
    assert conf.view.services["line"].requests == stated


class EarlierService(documents.Document):
    """A service as the version without traits reads it."""

    address: documents.AddressText
    selector: dict[str, str]

    def requests(self):
        return routes.NO_TRAITS


class EarlierServices(documents.Document):
    services: dict[str, EarlierService]


def test_a_refusal_by_an_earlier_version_affects_no_process_of_the_newer_one(monkeypatch):
    """Guards against a service that an upgrade in progress takes away, or that stays refused."""
    earlier, newer = configuration.Configuration(), configuration.Configuration()
    older = ("services/1", 1, services(line={"app": "line"}))
    stated = ("services/1", 2, traited(priority=1))
    feed(newer, older)
    feed(newer, stated)
    with monkeypatch.context() as patch:
        patch.setitem(documents.MODELS, "services", EarlierServices)
        feed(earlier, older)
        feed(earlier, stated)
        assert [r.revision for r in earlier.current_refusals] == [2]
        assert earlier.view.services["line"].requests == routes.NO_TRAITS
        update = earlier.update_for(newer.pull_request())
    newer.apply(update)
    assert newer.current_refusals == []
    assert newer.view.services["line"].requests.priority == 1
    # The upgraded process starts without documents and gets them from a peer.
    upgraded = configuration.Configuration()
    upgraded.apply(newer.update_for(upgraded.pull_request()))
    assert upgraded.view.services["line"].requests.priority == 1
