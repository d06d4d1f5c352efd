"""Keep feeds flowing: poll the upstream once a feed, deliver each event in order, resend."""

from ebonystile.caller import messages
from ebonystile.core.calls import effects, events, flows, sidecar_state


def on_subscribe(
    home: sidecar_state.SidecarState, flow: flows.Flow, message: messages.Subscribe, now: int
) -> None:
    """Start a feed, or take it up where the caller says it stands."""
    feed = flow.feeds.get(message.request)
    if feed is None:
        if not home.can_start(flow.service):
            # The flow is about to move; the caller's next try finds the new home.
            return
        feed = flows.Feed(message.request, message.path, message.position, message.position)
        flow.feeds[message.request] = feed
        home.fed.add(flow.id)
        home.trace("subscribed", flow.id, message.request, position=message.position)
    else:
        feed.acknowledged = max(feed.acknowledged, message.position)
        feed.sent = feed.acknowledged
    source_of(home, flow.service, feed.path, feed.acknowledged)
    deliver(home, flow, feed, now)
    poll(home, now)


def source_of(
    home: sidecar_state.SidecarState, service: str, path: str, position: int
) -> sidecar_state.FeedSource:
    """Return the polled source of a feed, starting it at `position` if it is new."""
    source = home.sources.get(path)
    if source is None:
        source = home.sources[path] = sidecar_state.FeedSource(path, service, newest=position)
    return source


def on_acknowledge(
    home: sidecar_state.SidecarState, flow: flows.Flow, message: messages.Acknowledge, now: int
) -> None:
    """Note what the caller has, and send what follows."""
    feed = flow.feeds.get(message.request)
    if feed is None:
        return
    if message.position > feed.acknowledged:
        feed.acknowledged = message.position
        feed.sent = max(feed.sent, message.position)
        feed.resends = 0
        feed.resend_at = now + home.limits.feed_resend
        widen(home, feed)
    deliver(home, flow, feed, now)


def widen(home: sidecar_state.SidecarState, feed: flows.Feed) -> None:
    """Let twice as many events be under way after a resend, up to the limit."""
    if feed.window is None:
        return
    feed.window *= 2
    if feed.window >= home.limits.feed_window:
        feed.window = None


def deliver(home: sidecar_state.SidecarState, flow: flows.Flow, feed: flows.Feed, now: int) -> None:
    """Send the events that follow, in order, up to a window beyond the last acknowledged."""
    source = home.sources.get(feed.path)
    if source is None:
        return
    window = feed.window or home.limits.feed_window
    while feed.sent - feed.acknowledged < window:
        body = source.events.get(feed.sent + 1)
        if body is None:
            break
        if feed.sent == feed.acknowledged:
            feed.resend_at = now + home.limits.feed_resend
        feed.sent += 1
        home.send_to_flow(flow, messages.FeedEvent(flow.id, feed.request, feed.sent, body))


def on_batch(home: sidecar_state.SidecarState, event: events.FeedBatch, now: int) -> None:
    """Keep the upstream's events and deliver them."""
    source = home.sources.get(event.path)
    if source is None:
        return
    source.polling = False
    source.poll_at = now if event.events else now + home.limits.feed_poll // 10
    for position, body in event.events:
        source.events[position] = body
        source.newest = max(source.newest, position)
    for flow, feed in subscribers(home, event.path):
        deliver(home, flow, feed, now)
    trim(home, source)
    poll(home, now)


def trim(home: sidecar_state.SidecarState, source: sidecar_state.FeedSource) -> None:
    """Keep the events within their bound: drop those that all have, then the newest.

    Dropping the oldest took from a subscriber that had fallen behind just what was fetched for it:
    its feed stood still for ever. The newest are asked for again once it has caught up.
    """
    over = len(source.events) - sidecar_state.MAX_SOURCE_EVENTS
    if over <= 0:
        return
    feeds = [feed.acknowledged for _, feed in subscribers(home, source.path)]
    had_by_all = min(feeds, default=source.newest)
    ordered = sorted(source.events)
    old = [position for position in ordered[:over] if position <= had_by_all]
    for position in old + ordered[len(ordered) - (over - len(old)) :]:
        del source.events[position]


def on_failed(home: sidecar_state.SidecarState, event: events.FeedFailed, now: int) -> None:
    """Ask again a little later; subscribers keep their positions meanwhile."""
    source = home.sources.get(event.path)
    if source is not None:
        source.polling = False
        source.poll_at = now + home.limits.feed_poll
        home.trace("feed_failed", path=event.path, reason=event.reason)


def fed_flows(home: sidecar_state.SidecarState) -> list[flows.Flow]:
    """Return the flows with feeds that live here, forgetting those that have none any more."""
    living = []
    for flow_id in list(home.fed):
        flow = home.flows.get(flow_id)
        if flow is None or not flow.feeds:
            home.fed.discard(flow_id)
        else:
            living.append(flow)
    return living


def subscribers(home: sidecar_state.SidecarState, path: str) -> list[tuple[flows.Flow, flows.Feed]]:
    """Return the feeds on one path of the flows that live here."""
    return [
        (flow, feed)
        for flow in fed_flows(home)
        for feed in flow.feeds.values()
        if feed.path == path
    ]


def poll(home: sidecar_state.SidecarState, now: int) -> None:
    """Ask the upstream for what the slowest subscriber of each feed lacks; stop unused ones."""
    for source in list(home.sources.values()):
        if source.polling or source.poll_at > now:
            continue
        waiting = [feed.sent for _, feed in subscribers(home, source.path)]
        if not waiting:
            del home.sources[source.path]
            continue
        behind = [sent for sent in waiting if sent < source.newest]
        missing = [sent for sent in behind if sent + 1 not in source.events]
        after = min(missing, default=source.newest)
        source.polling = True
        home.emit(effects.PollFeed(source.service, source.path, after))


def resend(home: sidecar_state.SidecarState, now: int) -> None:
    """Send the first unacknowledged event again, by another balancer each second time.

    Its acknowledgement opens the window anew. With all of them sent again each time,
    callers and balancers that were late for some seconds got 20 times the usual messages, of which
    nearly all were repeats: that kept them late, and requests and stops waited behind.

    The balancer last heard from may have been killed: everything returned by it is lost, while
    the caller, which only listens, sends nothing that would show a living one.
    """
    for flow in fed_flows(home):
        for feed in flow.feeds.values():
            if feed.sent == feed.acknowledged or feed.resend_at > now:
                continue
            feed.resends += 1
            if feed.resends % 2 == 0:
                flow.via = home.another_balancer(flow.via)
            feed.sent = feed.acknowledged
            feed.window = 1
            deliver(home, flow, feed, now)
            backoff = min(feed.resends, 8)
            feed.resend_at = now + home.limits.feed_resend * (1 + backoff)
