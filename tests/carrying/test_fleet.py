"""Which upstreams are known, and for how long those are remembered whose entries have gone."""

from ebonystile.core.carrying import fleet

ADDRESS = ("10.0.1.1", 7720)


def made(name="u1", service="s", address=ADDRESS):
    return fleet.make_upstream(name, 1, service, address, "a", 2)


def names(upstreams):
    return [upstream.name for upstream in upstreams]


def test_an_upstream_without_an_entry_may_live_on_for_a_minute():
    known = fleet.Fleet()
    known.put(made())
    assert known.unlisted() == []
    known.remove("u1", 1_000)
    assert not known.upstreams_of("s") and names(known.unlisted()) == ["u1"]
    known.expire(1_000 + fleet.UNLISTED_TTL_MS - 1)
    assert names(known.unlisted()) == ["u1"]
    known.expire(1_000 + fleet.UNLISTED_TTL_MS)
    assert known.unlisted() == []


def test_whoever_has_taken_its_address_shows_that_it_is_gone():
    """An address is used again, perhaps by another service: the former upstream is gone."""
    known = fleet.Fleet()
    known.put(made())
    known.remove("u1", 1_000)
    known.put(made("u2", "t"))
    assert known.unlisted() == []
    known.expire(1_001)
    known.remove("u2", 1_002)
    assert names(known.unlisted()) == ["u2"]


def test_few_are_remembered_after_a_whole_fleet_has_gone():
    known = fleet.Fleet()
    for number in range(fleet.MAX_UNLISTED + 50):
        known.put(made(f"u{number}", address=(f"10.{number // 250}.0.{number % 250}", 7720)))
    for number in range(fleet.MAX_UNLISTED + 50):
        known.remove(f"u{number}", 1_000)
    assert len(known.unlisted()) == fleet.MAX_UNLISTED


def test_of_two_starts_at_one_address_the_one_listed_last_holds():
    """An upstream's instance loses power and is back before the old entry has lapsed.

    The entries do not say when their upstreams started. Whatever their names, the address belongs
    to the one whose entry came to be last.
    """
    for first, second in (("a", "b"), ("b", "a")):
        known = fleet.Fleet()
        known.put(fleet.make_upstream(second, 0, "t", ADDRESS, "a", 2, created_revision=9))
        known.put(fleet.make_upstream(first, 0, "s", ADDRESS, "a", 2, created_revision=4))
        assert names(known.upstreams_of("t")) == [second]
        assert names(known.upstreams_of("s")) == []
