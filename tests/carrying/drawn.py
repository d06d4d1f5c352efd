"""Draw what the cores of carried flows receive: packets, messages, views, routes and pauses."""

from hypothesis import strategies as st

from ebonystile.core.carrying import fleet, messages, packet, routes, warming
from ebonystile.platform import packets

ZONES = ("a", "b")
REGIONS = {"a": "north", "b": "south"}
SERVICES = ("s", "t")
SIDECARS = tuple((f"10.0.1.{n}", 7720) for n in range(1, 6))
SEED = ("10.0.0.9", 7720)
BALANCER = ("10.0.0.1", 7720)
CALLER = "100.64.0.7"
ROUTES = tuple((f"198.18.0.{n}", 443) for n in range(1, 5))
"""Addresses of routes; the last one is in no configuration."""

FLOWS = tuple(
    packet.endpoint_of(CALLER, 40_000 + number) + packet.endpoint_of(*route)
    for route in ROUTES
    for number in range(1, 4)
)
TRAITS = routes.RequestTraits(routes.RequestKind.NON_IDEMPOTENT, 200, 3_000, 1)
UPLOADS = routes.RequestTraits(routes.RequestKind.UPLOAD, 0, 8_000, 3)
IDLE_TIMEOUT_MS = 15_000

flows = st.sampled_from(FLOWS)
sources = st.sampled_from((*SIDECARS, SEED))
sequences = st.sampled_from((0, 1, 2, 1_000, 1_001, (1 << 32) - 1))
statuses = st.sampled_from(messages.FlowStatus)
durations = st.sampled_from((0, 1, 5, 20, 25, 60, 100, 130, 200, 400, 1_000, 1_100, 3_000, 16_000))

loads = st.builds(
    messages.Load,
    running=st.sampled_from((0, 1, 3, 9, 70_000)),
    flows=st.sampled_from((0, 1, 2_000)),
    slots=st.sampled_from((0, 1, 2)),
    latency=st.sampled_from((0, 1, 30, 70_000)),
    success_rate=st.sampled_from((0.0, 0.5, 1.0)),
    accepting=st.booleans(),
    unresponsive=st.booleans(),
    saturated=st.booleans(),
    full=st.booleans(),
)


def make_raw(flow, flags, sequence, acknowledged, length, *, to_route=True):
    """Return a packet of a flow; its checksum is 0, as no core reads it."""
    caller = packets.ADDRESS_PORT.unpack(flow[: packet.ENDPOINT_BYTES])
    route = packets.ADDRESS_PORT.unpack(flow[packet.ENDPOINT_BYTES :])
    (to_address, to_port), (from_address, from_port) = (
        (route, caller) if to_route else (caller, route)
    )
    head = packets.HEADER.pack(
        0, sequence, acknowledged, 0, flags, length, to_port, to_address, from_port, from_address
    )
    return head + bytes(length)


CALLER_FLAGS = (packets.SYN, packets.ACK, packets.ACK | packets.FIN, packets.RST)
UPSTREAM_FLAGS = (packets.SYN | packets.ACK, packets.ACK, packets.ACK | packets.FIN, packets.RST)
RETURNED_FLAGS = tuple(flags | packets.RETURNED for flags in CALLER_FLAGS)
lengths = st.sampled_from((0, 1, 900, 1_200))

caller_raws = st.builds(
    lambda flow, flags, sequence, acknowledged, length: make_raw(
        flow, flags, sequence, acknowledged % 4 if flags == packets.SYN else acknowledged, length
    ),
    flows,
    st.sampled_from(CALLER_FLAGS),
    sequences,
    sequences,
    lengths,
)
upstream_raws = st.one_of(
    st.builds(
        lambda *fields: make_raw(*fields, to_route=False),
        flows,
        st.sampled_from(UPSTREAM_FLAGS),
        sequences,
        sequences,
        lengths,
    ),
    st.builds(make_raw, flows, st.sampled_from(RETURNED_FLAGS), sequences, sequences, lengths),
)


def make_upstream(number, incarnation, service, zone, *, leaving, slow_start_until):
    """Return an upstream beside one of the sidecars."""
    return fleet.make_upstream(
        f"u{number}-{incarnation}",
        1 + incarnation,
        service,
        SIDECARS[number],
        zone,
        2,
        leaving=leaving,
        slow_start_until=slow_start_until,
    )


upstreams = st.builds(
    make_upstream,
    st.integers(0, len(SIDECARS) - 1),
    st.integers(0, 1),
    st.sampled_from(SERVICES),
    st.sampled_from(ZONES),
    leaving=st.sampled_from((False, False, False, True)),
    slow_start_until=st.sampled_from((0, 105_000)),
)
upstream_lists = st.one_of(
    st.just([]),
    st.lists(upstreams, min_size=1, max_size=1),
    st.lists(upstreams, min_size=2, max_size=6),
)
"""What the store lists: no upstream, one, or several; what is no longer listed loses its entry."""


@st.composite
def route_sets(draw, version):
    """Return routes with this version: some of the addresses, split, restricted or with traits."""
    made = []
    for number, (host, port) in enumerate(ROUTES[:-1]):
        if not draw(st.sampled_from((True, True, True, False))):
            continue
        shares = draw(st.sampled_from(((("s", 1),), (("t", 1),), (("s", 1), ("t", 1)))))
        regions = draw(st.sampled_from(((), (), ("south",), ("nowhere",))))
        traits = draw(st.sampled_from((routes.NO_TRAITS, TRAITS, UPLOADS)))
        made.append((host, port, routes.Route(f"r{number}", shares, regions, traits)))
    slow_starts = draw(st.sampled_from(({}, {"s": warming.SlowStart(5_000, 0.0)})))
    return routes.make_routes(version, made, IDLE_TIMEOUT_MS, slow_starts)
