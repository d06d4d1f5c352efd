"""Check the ring of events, and that merging never puts an effect before its cause."""

import collections
import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonystile import timeline


def record(process, sequence, time, link=b"", step=0, incarnation=1):
    return timeline.Record(
        time, process, "sidecar", incarnation, sequence, "e", link=link, step=step
    )


def test_a_ring_keeps_the_newest_events_in_sequence():
    ring = timeline.make_ring("a", "sidecar", 9, 3)
    for time in range(5):
        ring.add(time, "opened", flow=bytes([time]))
    held = ring.select(timeline.Filter(), 10)
    assert [(r.sequence, r.time) for r in held] == [(3, 2), (4, 3), (5, 4)]
    assert [r.sequence for r in ring.select(timeline.Filter(), 2)] == [4, 5]


@pytest.mark.parametrize(
    ("wanted", "taken"),
    [
        ({}, True),
        ({"flow": b"\x01"}, True),
        ({"flow": b"\x02"}, False),
        ({"request": b"\x07\x08"}, True),
        ({"request": b"\x08"}, False),
        ({"upstream": "u1"}, True),
        ({"upstream": "u"}, False),
        ({"event": "run"}, True),
        ({"event": "ru"}, False),
        ({"since": 50}, True),
        ({"since": 51}, False),
    ],
)
def test_filter(wanted, taken):
    ring = timeline.make_ring("a", "sidecar", 9, 3)
    held = ring.add(50, "run", flow=b"\x01\x02", request=b"\x07\x08", upstream="u1")
    assert timeline.Filter(**wanted).matches(held) is taken


def test_a_receiver_whose_clock_is_behind_comes_after_its_sender():
    """Guards against sorting by time alone: the receiver's clock is 500 ms behind the sender's."""
    sent = record("old", 1, 1_000, link=b"t")
    received = record("new", 1, 500, link=b"t", step=1)
    later = record("new", 2, 510)
    other = record("third", 1, 700)
    assert timeline.merge([later, received, other, sent]) == [other, sent, received, later]


def test_a_record_fetched_twice_comes_out_once():
    assert timeline.merge([record("a", 1, 5), record("a", 1, 5)]) == [record("a", 1, 5)]


def test_a_cycle_of_causes_keeps_every_record():
    records = [
        record("a", 1, 5, link=b"x", step=1),
        record("a", 2, 6, link=b"y"),
        record("b", 1, 5, link=b"y", step=1),
        record("b", 2, 6, link=b"x"),
    ]
    assert sorted(timeline.merge(records), key=timeline.sort_key) == sorted(
        records, key=timeline.sort_key
    )


EVENTS = st.lists(
    st.tuples(st.sampled_from("abc"), st.integers(0, 9), st.sampled_from([b"", b"x", b"y"])),
    max_size=12,
)


@given(events=EVENTS, skews=st.tuples(*[st.integers(-50, 50)] * 3))
def test_merge_puts_causes_first_whatever_the_clock_skew(events, skews):
    """Record events in causal order with skewed clocks, then merge them in reverse order."""
    sequences = dict.fromkeys("abc", 0)
    steps = collections.Counter()
    records = []
    for time, (process, delay, link) in enumerate(events):
        sequences[process] += 1
        clock = 100 + 10 * time + delay + skews["abc".index(process)]
        records.append(record(process, sequences[process], clock, link, steps[link]))
        steps[link] += 1
    merged = timeline.merge(reversed(records))
    assert sorted(merged, key=timeline.sort_key) == sorted(records, key=timeline.sort_key)
    place = {dataclasses.astuple(r): n for n, r in enumerate(merged)}
    for n, effect in enumerate(records):
        for cause in records[:n]:
            own = cause.process == effect.process
            if own or (effect.link and cause.link == effect.link):
                assert place[dataclasses.astuple(cause)] < place[dataclasses.astuple(effect)]
