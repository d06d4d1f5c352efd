"""The order of calls to the store when answers are late or lost, or history is compacted."""

import random

from ebonystile.core import positions
from ebonystile.core.carrying import reading


def make(now=0):
    return reading.Reader(random.Random(1), now)


def read_all(reader, now=0, revision=5):
    assert reader.next_call(now).kind is reading.Kind.CONFIGURATION
    reader.on_listed(revision, "", now)
    assert reader.next_call(now).kind is reading.Kind.ENTRIES
    reader.on_listed(revision + 2, "", now)


def test_all_lists_are_read_once_and_then_watched_from_the_first_page_on():
    """Pages are no snapshot: a change between the first and the last page must not be missed."""
    reader = make()
    read_all(reader)
    call = reader.next_call(0)
    assert call.kind is reading.Kind.WATCH and call.revision == 5
    reader.on_watched(8, False, 0)
    assert reader.is_current


def test_startup_uses_a_stale_read_that_a_watch_brings_up_to_date():
    """Two consistent reads by every process of a starting fleet would cost too much.

    The view counts as current only when the first watch, which does not wait, has been answered.
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


def test_only_reads_at_startup_may_be_stale():
    """A stale read might miss the newer configuration for which the reader starts over."""
    for start_over in (
        reading.Reader.on_history_lost,
        reading.Reader.read_now,
        reading.Reader.mark_stale,
    ):
        reader = make()
        read_all(reader)
        reader.on_watched(9, False, 0)
        start_over(reader, 0)
        assert not reader.next_call(0).allow_stale


def test_all_pages_of_a_list_are_read():
    reader = make()
    reader.on_listed(5, "", 0)
    reader.on_listed(5, "servers/k", 0)
    assert not reader.complete
    assert reader.next_call(0).after == "servers/k"
    reader.on_listed(6, "", 0)
    assert reader.complete


def test_every_call_has_a_short_timeout():
    """A connection may hang after a lost answer.

    A watch must end soon enough to read again before a new configuration has to be in force.
    """
    reader = make()
    assert reader.next_call(0).deadline <= 1_500
    read_all(reader)
    call = reader.next_call(0)
    assert call.wait_until < call.deadline <= 6_000


def test_a_plain_call_fails_early_if_its_answer_does_not_begin():
    """An unresponsive store must not delay startup by the timeout of a whole answer."""
    reader = make()
    call = reader.next_call(0)
    assert 400 < call.first_byte_by < call.deadline
    read_all(reader)
    assert reader.next_call(0).first_byte_by is None


def test_failures_are_followed_by_growing_pauses_and_the_view_is_not_current():
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


def test_a_store_that_has_compacted_the_history_is_read_again():
    reader = make()
    read_all(reader)
    reader.on_history_lost(10)
    assert reader.next_call(10).kind is reading.Kind.CONFIGURATION


def test_a_view_marked_stale_is_current_only_once_it_is_complete_again():
    reader = make()
    read_all(reader)
    reader.mark_stale(10)
    assert not reader.is_current
    read_all(reader, 10)
    assert reader.is_current


def test_changes_in_quick_succession_complete_one_watch():
    """Each watch that returns a change is charged as a call, and changes come in groups."""
    reader = make()
    read_all(reader)
    reader.on_watched(8, True, 100)
    assert reader.next_call(100) is None
    assert reader.next_call(100 + reading.CHANGE_PAUSE_MS) is not None


def test_a_restored_store_is_read_again_before_the_view_is_current():
    """Its copy may lack what was read before, so a flow that is not found may still be open."""
    reader = make()
    read_all(reader)
    assert not reader.note_epoch(3, 5)
    reader.on_watched(positions.make_position(3, 9), False, 5)
    assert reader.is_current
    assert reader.note_epoch(4, 10) and not reader.is_current
    assert reader.is_earlier_epoch(3) and not reader.is_earlier_epoch(4)
    assert reader.recovered_at == 10
    assert not reader.next_call(10).allow_stale
    read_all(reader, 10, positions.make_position(4, 2))
    assert reader.is_current and not reader.note_epoch(4, 11)


def test_a_list_that_a_restoration_interrupts_is_read_again_from_its_start():
    """The pages of the two epochs would add up to a list that never was."""
    reader = make()
    reader.note_epoch(1, 0)
    reader.on_listed(positions.make_position(1, 9), "", 0)
    assert reader.note_epoch(2, 0)
    read_all(reader, 0, positions.make_position(2, 7))
    assert reader.next_call(0).revision == positions.make_position(2, 7)
