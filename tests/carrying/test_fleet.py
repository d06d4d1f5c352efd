"""The fleet's listed upstreams, and how long those without an entry are remembered."""

from ebonystile.core.carrying import fleet

ADDRESS = ("10.0.1.1", 7720)


def made(name="u1", service="s", address=ADDRESS):
    return fleet.make_upstream(name, 1, service, address, "a", 2)


def names(upstreams):
    return [upstream.name for upstream in upstreams]


def test_an_upstream_that_lost_its_entry_is_remembered_for_a_minute():
    known = fleet.Fleet()
    known.put(made())
    assert known.unlisted() == []
    known.remove("u1", 1_000)
    assert not known.upstreams_of("s") and names(known.unlisted()) == ["u1"]
    known.expire(1_000 + fleet.UNLISTED_TTL_MS - 1)
    assert names(known.unlisted()) == ["u1"]
    known.expire(1_000 + fleet.UNLISTED_TTL_MS)
    assert known.unlisted() == []


def test_an_upstream_is_gone_once_its_address_is_reused():
    """An address may be reused by another service, which must not get the former's packets."""
    known = fleet.Fleet()
    known.put(made())
    known.remove("u1", 1_000)
    known.put(made("u2", "t"))
    assert known.unlisted() == []
    known.expire(1_001)
    known.remove("u2", 1_002)
    assert names(known.unlisted()) == ["u2"]


def test_the_number_of_unlisted_upstreams_is_bounded():
    known = fleet.Fleet()
    for number in range(fleet.MAX_UNLISTED + 50):
        known.put(made(f"u{number}", address=(f"10.{number // 250}.0.{number % 250}", 7720)))
    for number in range(fleet.MAX_UNLISTED + 50):
        known.remove(f"u{number}", 1_000)
    assert len(known.unlisted()) == fleet.MAX_UNLISTED


def test_of_two_entries_at_one_address_the_one_created_last_counts():
    """An instance restarts before its old entry expires; the entries give no times of start."""
    for first, second in (("a", "b"), ("b", "a")):
        known = fleet.Fleet()
        known.put(fleet.make_upstream(second, 0, "t", ADDRESS, "a", 2, created_revision=9))
        known.put(fleet.make_upstream(first, 0, "s", ADDRESS, "a", 2, created_revision=4))
        assert names(known.upstreams_of("t")) == [second]
        assert names(known.upstreams_of("s")) == []
