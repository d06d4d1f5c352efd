"""Average by route how many bytes callers send on a flow.

Only a sample of the flows is followed, so that the memory per flow does not grow.
"""

import dataclasses

from ebonystile.core.carrying import packet

MAX_SAMPLES = 256
"""Flows that are followed at a time; a further one is not."""

SAMPLE_MS = 5_000
"""Time in ms after which a flow that was not closed is counted as it is."""

AVERAGE_FLOWS = 8
"""Flows over which the average of a route moves."""

MAX_ROUTES = 256
"""Routes with an average; a further one evicts the oldest."""


@dataclasses.dataclass(slots=True)
class Sample:
    """A flow that is followed: its first sequence number, its bytes so far, and its end in ms."""

    first: int
    size: int
    until: int


class FlowSizes:
    """The average bytes of the flows of each route."""

    def __init__(self) -> None:
        self.samples: dict[packet.Flow, Sample] = {}
        self.average_by_route: dict[bytes, float] = {}

    def average(self, flow: packet.Flow) -> float:
        """Return the average bytes of a flow of this flow's route, 0 if unknown."""
        return self.average_by_route.get(packet.route_endpoint(flow), 0.0)

    def begin(self, opening: packet.Packet, now: int) -> None:
        """Follow a flow that is placed now, if not too many are followed."""
        while self.samples and next(iter(self.samples.values())).until <= now:
            self.end(next(iter(self.samples)))
        if len(self.samples) < MAX_SAMPLES:
            self.samples[opening.flow] = Sample(opening.sequence + 1, 0, now + SAMPLE_MS)

    def record(self, received: packet.Packet) -> None:
        """Count a packet of an open flow."""
        sample = self.samples.get(received.flow)
        if sample is None:
            return
        size = (received.sequence + received.length - sample.first) % packet.SEQUENCE_MODULUS
        if size < packet.SEQUENCE_MODULUS // 2:
            sample.size = max(sample.size, size)
        if received.closes or received.aborts:
            self.end(received.flow)

    def end(self, flow: packet.Flow) -> None:
        """Stop following a flow and count its bytes, if it sent any."""
        sample = self.samples.pop(flow)
        if not sample.size:
            return
        route = packet.route_endpoint(flow)
        average = self.average_by_route.pop(route, None)
        if len(self.average_by_route) >= MAX_ROUTES:
            del self.average_by_route[next(iter(self.average_by_route))]
        if average is None:
            average = float(sample.size)
        self.average_by_route[route] = average + (sample.size - average) / AVERAGE_FLOWS
