"""Which call of the store comes next when answers are late, lost, refused or forgotten."""

import random

from ebonystile.core.carrying import reading


def make(now=0):
    return reading.Reader(random.Random(1), now)


def read_all(reader, now=0, revision=5):
    assert reader.next_call(now).kind is reading.Kind.CONFIGURATION
    reader.on_listed(revision, "", now)
    assert reader.next_call(now).kind is reading.Kind.ENTRIES
    reader.on_listed(revision + 2, "", now)


def test_all_is_read_once_and_then_watched_from_the_first_page_on():
    """Pages are no snapshot: what changed between the first and the last must be seen again."""
    reader = make()
    read_all(reader)
    call = reader.next_call(0)
    assert call.kind is reading.Kind.WATCH and call.revision == 5
    reader.on_watched(8, False, 0)
    assert reader.is_current


def test_a_start_reads_an_old_state_and_then_at_once_what_is_newer():
    """A whole fleet starts; two calls at full price for each process would be most of a day's.

    The state that comes may be seconds old, so nobody is told anything by it before the watch from
    its revision is answered, which does not wait for a change.
    """
    reader = make()
    assert reader.next_call(0).allow_stale
    read_all(reader)
    assert not reader.is_current
    call = reader.next_call(7)
    assert call.kind is reading.Kind.WATCH and call.wait_until == 7
    reader.on_watched(9, True, 8)
    assert reader.is_current
    assert reader.next_call(8 + reading.CHANGE_PAUSE_MS).wait_until > 1_000


def test_only_the_reads_of_a_start_may_be_old():
    """History is gone, or a peer has a newer configuration: an old state would not bring it."""
    for read_again in (
        reading.Reader.on_history_lost,
        reading.Reader.read_now,
        reading.Reader.mark_stale,
    ):
        reader = make()
        read_all(reader)
        reader.on_watched(9, False, 0)
        read_again(reader, 0)
        assert not reader.next_call(0).allow_stale


def test_a_list_of_many_pages_is_followed_to_its_end():
    reader = make()
    reader.on_listed(5, "", 0)
    reader.on_listed(5, "servers/k", 0)
    assert not reader.complete
    assert reader.next_call(0).after == "servers/k"
    reader.on_listed(6, "", 0)
    assert reader.complete


def test_every_call_has_a_short_limit_of_its_own():
    """A lost answer leaves a connection that says nothing more.

    A watch must end soon enough to read again before a new configuration has to be in force.
    """
    reader = make()
    assert reader.next_call(0).deadline <= 1_500
    read_all(reader)
    call = reader.next_call(0)
    assert call.wait_until < call.deadline <= 6_000


def test_a_plain_call_is_given_up_early_if_its_answer_does_not_begin():
    """A store that keeps silent at a start must not hold it for the limit of a whole answer."""
    reader = make()
    call = reader.next_call(0)
    assert 400 < call.first_byte_by < call.deadline
    read_all(reader)
    assert reader.next_call(0).first_byte_by is None


def test_failures_are_followed_by_growing_pauses_and_the_view_counts_as_old():
    reader = make()
    read_all(reader)
    pauses = []
    now = 0
    for _ in range(12):
        reader.on_failed(now)
        pauses.append(reader.next_at - now)
        now = reader.next_at
        assert not reader.is_current
    assert pauses[0] <= 150 and max(pauses) <= 1_500
    assert reader.next_call(now).kind is reading.Kind.WATCH
    reader.on_watched(9, False, now)
    assert reader.is_current and reader.recovered_at == now


def test_a_store_without_the_history_is_read_anew():
    reader = make()
    read_all(reader)
    reader.on_history_lost(10)
    assert reader.next_call(10).kind is reading.Kind.CONFIGURATION


def test_after_a_pause_the_view_is_trusted_only_once_it_is_whole_again():
    reader = make()
    read_all(reader)
    reader.mark_stale(10)
    assert not reader.is_current
    read_all(reader, 10)
    assert reader.is_current


def test_news_in_quick_succession_wake_one_watch():
    """Every watch that a change wakes is a priced call, and changes come in groups."""
    reader = make()
    read_all(reader)
    reader.on_watched(8, True, 100)
    assert reader.next_call(100) is None
    assert reader.next_call(100 + reading.CHANGE_PAUSE_MS) is not None
