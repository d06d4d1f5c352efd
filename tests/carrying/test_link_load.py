"""Small requests and uploads that share a narrow link, as docs/design/hard-load.md asks."""

import pytest

from tests.carrying import narrow_link

OFFERED_MS = 2_500
"""How long uploads offer twice the link's rate; the link needs twice as long to pass them."""

UPLOAD_INTERVAL_MS = round(narrow_link.UPLOAD_LINK_BYTES / (2 * narrow_link.LINK_MBPS * 125))
REQUEST_INTERVAL_MS = 10
MAX_ADDED_MS = 50


def play(world, *, uploads, callers):
    """Play small requests, beside uploads of `callers` callers that offer twice the rate."""
    for at in range(2 * OFFERED_MS):
        if uploads and at < OFFERED_MS and at % UPLOAD_INTERVAL_MS == 0:
            world.add_upload(caller=10 + len(world.uploads) % callers)
        if at % REQUEST_INTERVAL_MS == 0:
            world.add_request(caller=1_000 + len(world.requests) % 7)
        world.step()
    world.run(narrow_link.UPLOAD_LIMIT_MS)
    return world


def request_times(world):
    return [
        float("inf") if r.completed_at is None else r.completed_at - r.started_at
        for r in world.requests
    ]


def late_requests(world):
    """Return the requests that took `MAX_ADDED_MS` longer than alone."""
    alone = max(request_times(play(narrow_link.World(), uploads=False, callers=1)))
    return [took for took in request_times(world) if took > alone + MAX_ADDED_MS]


def late_uploads(world):
    """Return the uploads that are not complete within their time limit."""
    return [
        upload.took_ms
        for upload in world.uploads
        if upload.took_ms is None or upload.took_ms > narrow_link.UPLOAD_LIMIT_MS
    ]


@pytest.mark.parametrize("callers", [1, 4, 40])
def test_uploads_at_twice_the_rate_delay_no_small_request_and_all_complete(callers):
    """In order of arrival the link drops small requests, and uploads repeat what was dropped."""
    world = play(narrow_link.World(), uploads=True, callers=callers)
    assert len(late_requests(world)) <= len(world.requests) / 100
    assert not late_uploads(world)
    assert not world.link.dropped


def test_sending_in_order_of_arrival_fails_both_bounds():
    """Otherwise the load test would not show what the scheduling is for."""
    world = play(narrow_link.World(narrow_link.Unscheduled()), uploads=True, callers=4)
    assert len(late_requests(world)) > len(world.requests) / 100
    assert late_uploads(world)
