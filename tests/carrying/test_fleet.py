"""The fleet's listed upstreams, and how long those without an entry are remembered."""

from ebonystile.core.carrying import fleet

ADDRESS = ("10.0.1.1", 7720)


def made(name="u1", service="s", address=ADDRESS):
    return fleet.make_upstream(name, 1, service, address, "a", 2)


def names(upstreams):
    return [upstream.name for upstream in upstreams]


def test_an_upstream_that_lost_its_entry_is_remembered_for_a_minute():
    members = fleet.Fleet()
    members.put(made())
    assert members.unlisted() == []
    members.remove("u1", 1_000)
    assert not members.upstreams_of("s") and names(members.unlisted()) == ["u1"]
    members.expire(1_000 + fleet.UNLISTED_TTL_MS - 1)
    assert names(members.unlisted()) == ["u1"]
    members.expire(1_000 + fleet.UNLISTED_TTL_MS)
    assert members.unlisted() == []


def test_an_upstream_is_gone_once_its_address_is_reused():
    """An address may be reused by another service, which must not get the former's packets."""
    members = fleet.Fleet()
    members.put(made())
    members.remove("u1", 1_000)
    members.put(made("u2", "t"))
    assert members.unlisted() == []
    members.expire(1_001)
    members.remove("u2", 1_002)
    assert names(members.unlisted()) == ["u2"]


def test_the_number_of_unlisted_upstreams_is_bounded():
    members = fleet.Fleet()
    for number in range(fleet.MAX_UNLISTED + 50):
        members.put(made(f"u{number}", address=(f"10.{number // 250}.0.{number % 250}", 7720)))
    for number in range(fleet.MAX_UNLISTED + 50):
        members.remove(f"u{number}", 1_000)
    assert len(members.unlisted()) == fleet.MAX_UNLISTED


def test_of_two_entries_at_one_address_the_one_created_last_counts():
    """An instance restarts before its old entry expires; the entries give no times of start."""
    for first, second in (("a", "b"), ("b", "a")):
        members = fleet.Fleet()
        members.put(fleet.make_upstream(second, 0, "t", ADDRESS, "a", 2, created_position=9))
        members.put(fleet.make_upstream(first, 0, "s", ADDRESS, "a", 2, created_position=4))
        assert names(members.upstreams_of("t")) == [second]
        assert names(members.upstreams_of("s")) == []
