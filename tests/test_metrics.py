"""Check counters, gauges and latencies in the text format."""

import pytest
from prometheus_client import parser

from ebonystile import metrics


def lines_of(registry):
    return [x for x in registry.text().decode().splitlines() if not x.startswith("#")]


def test_counters_and_gauges():
    registry = metrics.make_metrics()
    registry.counter("drops", "Datagrams dropped.", reason="forged").value += 3
    registry.counter("drops", "Datagrams dropped.", reason="late").value += 1
    assert registry.counter("drops", "Datagrams dropped.", reason="forged").value == 3
    registry.gauge("flows", "Flows held.", lambda: 7)
    registry.tally("events", "Events.", {"b": 2, "a": 1}, "event")
    assert lines_of(registry) == [
        'ebonystile_drops_total{reason="forged"} 3.0',
        'ebonystile_drops_total{reason="late"} 1.0',
        "ebonystile_flows 7.0",
        'ebonystile_events_total{event="a"} 1.0',
        'ebonystile_events_total{event="b"} 2.0',
    ]
    assert "# HELP ebonystile_drops_total Datagrams dropped." in registry.text().decode()


def test_a_name_has_one_kind():
    registry = metrics.make_metrics()
    registry.counter("drops", "")
    with pytest.raises(ValueError, match="drops is a counter"):
        registry.latency("drops", "")


def test_latency_is_in_seconds_and_drops_old_windows():
    registry = metrics.make_metrics()
    latency = registry.latency("run_seconds", "Time of a run.")
    for duration in range(1, 101):
        latency.record(1_000, duration)
    assert latency.quantiles()[0.5] == pytest.approx(50, rel=0.02)
    assert latency.quantiles()[0.99] == pytest.approx(99, rel=0.02)
    assert "ebonystile_run_seconds_count 100.0" in lines_of(registry)
    assert "ebonystile_run_seconds_sum 5.05" in lines_of(registry)
    assert 'ebonystile_run_seconds{quantile="0.5"}' in registry.text().decode()
    latency.record(1_000 + metrics.WINDOW_MS, 7)
    assert latency.quantiles()[0.99] > 90
    latency.record(1_000 + 2 * metrics.WINDOW_MS, 7)
    assert set(latency.quantiles().values()) == {7}
    latency.record(1_000 + 9 * metrics.WINDOW_MS, 8)
    assert set(latency.quantiles().values()) == {8}
    assert latency.count == 103


@pytest.mark.parametrize("duration", [-5, 0, metrics.MAX_DURATION_MS, 10 * metrics.MAX_DURATION_MS])
def test_any_duration_is_recorded(duration):
    latency = metrics.Latency()
    latency.record(1, duration)
    assert latency.count == 1
    assert len(latency.quantiles()) == len(metrics.QUANTILES)


def test_the_text_is_parsed_by_another_library():
    """Guards against text that a parser of the format reads as other names, labels or values."""
    registry = metrics.make_metrics()
    registry.counter("drops", "What was dropped,\nand \\ why.", reason='a "b"\n\\c').value = 2
    registry.latency("run_seconds", "Time of a run.", role="x").record(1_000, 7)
    families = list(parser.text_string_to_metric_families(registry.text().decode()))
    drops, runs = families
    assert (drops.name, drops.type) == ("ebonystile_drops", "counter")
    assert drops.documentation == "What was dropped,\nand \\ why."
    assert drops.samples[0].labels == {"reason": 'a "b"\n\\c'}
    assert drops.samples[0].value == 2
    assert (runs.type, runs.samples[0].labels["role"]) == ("summary", "x")
    assert runs.samples[-1].value == 0.007
