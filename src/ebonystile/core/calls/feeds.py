"""Deliver feeds: poll the upstream once per feed, send events in order, resend lost ones."""

from ebonystile.caller import messages
from ebonystile.core.calls import effects, events, flows, sidecar_state


def on_subscribe(
    state: sidecar_state.SidecarState, flow: flows.Flow, message: messages.Subscribe, now: int
) -> None:
    """Start a subscription, or resume it from the position in the message."""
    feed = flow.feeds.get(message.request)
    if feed is None:
        if not state.can_start(flow.service):
            # The flow is about to move or the sidecar is catching up; the caller sends `Subscribe`
            # again.
            return
        feed = flows.Feed(message.request, message.path, message.position, message.position)
        flow.feeds[message.request] = feed
        state.feed_flow_ids.add(flow.id)
        state.trace("subscribed", flow.id, message.request, position=message.position)
    else:
        feed.acknowledged = max(feed.acknowledged, message.position)
        feed.sent = feed.acknowledged
    ensure_source(state, flow.service, feed.path, feed.acknowledged)
    deliver(state, flow, feed, now)
    poll(state, now)


def ensure_source(
    state: sidecar_state.SidecarState, service: str, path: str, position: int
) -> sidecar_state.FeedSource:
    """Return the source of a feed; create it at `position` if there is none."""
    source = state.sources.get(path)
    if source is None:
        source = state.sources[path] = sidecar_state.FeedSource(path, service, newest=position)
    return source


def on_acknowledge(
    state: sidecar_state.SidecarState, flow: flows.Flow, message: messages.Acknowledge, now: int
) -> None:
    """Record the acknowledged position and send the events that follow."""
    feed = flow.feeds.get(message.request)
    if feed is None:
        return
    if message.position > feed.acknowledged:
        feed.acknowledged = message.position
        feed.sent = max(feed.sent, message.position)
        feed.resends = 0
        feed.resend_at = now + state.limits.feed_resend_ms
        widen_window(state, feed)
    deliver(state, flow, feed, now)


def widen_window(state: sidecar_state.SidecarState, feed: flows.Feed) -> None:
    """Double the window that a resend has reduced, up to the limit."""
    if feed.window is None:
        return
    feed.window *= 2
    if feed.window >= state.limits.feed_window:
        feed.window = None


def deliver(
    state: sidecar_state.SidecarState, flow: flows.Flow, feed: flows.Feed, now: int
) -> None:
    """Send the next events in order, at most a window beyond the acknowledged position."""
    source = state.sources.get(feed.path)
    if source is None:
        return
    window = feed.window or state.limits.feed_window
    while feed.sent - feed.acknowledged < window:
        body = source.events.get(feed.sent + 1)
        if body is None:
            break
        if feed.sent == feed.acknowledged:
            feed.resend_at = now + state.limits.feed_resend_ms
        feed.sent += 1
        state.send_to_flow(flow, messages.FeedEvent(flow.id, feed.request, feed.sent, body))


def on_batch(state: sidecar_state.SidecarState, event: events.FeedBatch, now: int) -> None:
    """Store events from the upstream and send them to the subscribers."""
    source = state.sources.get(event.path)
    if source is None:
        return
    source.polling = False
    source.poll_at = now if event.events else now + state.limits.feed_poll_ms // 10
    for position, body in event.events:
        source.events[position] = body
        source.newest = max(source.newest, position)
    for flow, feed in subscribers(state, event.path):
        deliver(state, flow, feed, now)
    trim_events(state, source)
    poll(state, now)


def trim_events(state: sidecar_state.SidecarState, source: sidecar_state.FeedSource) -> None:
    """Bound a source's events: drop those that all subscribers have acknowledged, then the newest.

    Dropping older events instead would discard those polled for a slow subscriber, which would
    never catch up. The newest are polled again later.
    """
    over = len(source.events) - sidecar_state.MAX_SOURCE_EVENTS
    if over <= 0:
        return
    feeds = [feed.acknowledged for _, feed in subscribers(state, source.path)]
    acknowledged_by_all = min(feeds, default=source.newest)
    ordered = sorted(source.events)
    old = [position for position in ordered[:over] if position <= acknowledged_by_all]
    for position in old + ordered[len(ordered) - (over - len(old)) :]:
        del source.events[position]


def on_failed(state: sidecar_state.SidecarState, event: events.FeedFailed, now: int) -> None:
    """Schedule another poll of a feed after a failed one."""
    source = state.sources.get(event.path)
    if source is not None:
        source.polling = False
        source.poll_at = now + state.limits.feed_poll_ms
        state.trace("feed_failed", path=event.path, reason=event.reason)


def flows_with_feeds(state: sidecar_state.SidecarState) -> list[flows.Flow]:
    """Return the flows with feeds whose home is here, and drop the ids of other flows."""
    subscribed = []
    for flow_id in list(state.feed_flow_ids):
        flow = state.flows.get(flow_id)
        if flow is None or not flow.feeds:
            state.feed_flow_ids.discard(flow_id)
        else:
            subscribed.append(flow)
    return subscribed


def subscribers(
    state: sidecar_state.SidecarState, path: str
) -> list[tuple[flows.Flow, flows.Feed]]:
    """Return the subscriptions to one path, with their flows."""
    return [
        (flow, feed)
        for flow in flows_with_feeds(state)
        for feed in flow.feeds.values()
        if feed.path == path
    ]


def poll(state: sidecar_state.SidecarState, now: int) -> None:
    """Poll each feed for what its slowest subscriber lacks; drop feeds without subscribers."""
    for source in list(state.sources.values()):
        if source.polling or source.poll_at > now:
            continue
        waiting = [feed.sent for _, feed in subscribers(state, source.path)]
        if not waiting:
            del state.sources[source.path]
            continue
        behind = [sent for sent in waiting if sent < source.newest]
        missing = [sent for sent in behind if sent + 1 not in source.events]
        after = min(missing, default=source.newest)
        source.polling = True
        state.emit(effects.PollFeed(source.service, source.path, after))


def resend(state: sidecar_state.SidecarState, now: int) -> None:
    """Resend the first unacknowledged event, through another balancer every second time.

    Only one event is resent, and its acknowledgement reopens the window: resending all of them gave
    callers and balancers that were slow for some seconds 20 times the usual messages, which kept
    them slow. The balancer is changed because the flow's last one may be dead, and the caller,
    which receives no events, acknowledges none through a live one.
    """
    for flow in flows_with_feeds(state):
        for feed in flow.feeds.values():
            if feed.sent == feed.acknowledged or feed.resend_at > now:
                continue
            feed.resends += 1
            if feed.resends % 2 == 0:
                flow.via = state.another_balancer(flow.via)
            feed.sent = feed.acknowledged
            feed.window = 1
            deliver(state, flow, feed, now)
            backoff = min(feed.resends, 8)
            feed.resend_at = now + state.limits.feed_resend_ms * (1 + backoff)
