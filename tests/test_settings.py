"""Check that settings are read, and that every fault is reported with its path."""

import json
import re

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonystile import errors, settings
from standins import processes

KEY = {"id": 1, "secret": "ab" * 32}
SHARED = {
    "name": "lulea-a-1",
    "zone": "lulea-a",
    "address": "127.0.0.1:7001",
    "platform": "http://127.0.0.1:7000/",
    "keys": [KEY],
}
BALANCER = {**SHARED, "listen": "127.0.0.1:7002"}
SIDECAR = {**SHARED, "upstream": "http://127.0.0.1:8000"}


def write(tmp_path, value):
    path = tmp_path / "settings.json5"
    path.write_text(value if isinstance(value, str) else json.dumps(value))
    return path


def faults_of(read, path):
    with pytest.raises(errors.SettingsError) as caught:
        read(path)
    assert caught.value.peer == str(path)
    return caught.value.faults


def test_reads_a_balancer(tmp_path):
    read = settings.read_balancer(write(tmp_path, BALANCER))
    assert read.listen == ("127.0.0.1", 7002)
    assert read.platform == "http://127.0.0.1:7000"
    assert read.keys[0].secret == b"\xab" * 32
    assert "abab" not in repr(read)


def test_reads_a_sidecar_with_comments(tmp_path):
    text = json.dumps(SIDECAR)[:-1] + ', // its slots\n slots: 3, seeds: ["10.0.0.1:1",],}'
    read = settings.read_sidecar(write(tmp_path, text))
    assert (read.slots, read.seeds) == (3, [("10.0.0.1", 1)])


@pytest.mark.parametrize(
    ("change", "fault"),
    [
        ({"listn": "1"}, 'listn: unknown key, the nearest known one is "listen"'),
        ({"name": "Has Blanks"}, "name: give a name of letters"),
        ({"zone": None}, "zone: give a name"),
        ({"address": "localhost:7001"}, 'address: "localhost" is not an IPv4 number'),
        ({"address": "127.0.0.1:0"}, 'address: "0" is not a port'),
        ({"address": "127.0.0.1:99999"}, 'address: "99999" is not a port'),
        ({"address": "127.0.0.1:0000800000"}, 'address: "0000800000" is not a port'),
        ({"address": 7}, 'address: give it as "ip:port"'),
        ({"listen": "127.0.0.1:7001"}, "listen: must differ from address"),
        ({"platform": "https://127.0.0.1:1"}, 'platform: give it as "http://ip:port"'),
        ({"platform": "http://127.0.0.1:1/?a=b"}, "platform: a query"),
        ({"seeds": ["127.0.0.1:1", "x"]}, 'seeds[1]: give it as "ip:port"'),
        ({"keys": []}, "keys: "),
        ({"keys": [KEY, KEY]}, "keys: two keys have the same id"),
        ({"keys": [{"id": 256, "secret": "ab" * 32}]}, "keys[0].id: "),
        ({"keys": [{"id": 1, "secret": "ab"}]}, "keys[0].secret: give 32 bytes"),
        ({"keys": [{"id": 1, "secrt": "ab"}]}, "keys[0].secrt: unknown key, the nearest known one"),
        ({"keys": [{"id": 1}]}, "keys[0].secret: is required"),
        ({"event_limit": "5"}, "event_limit: "),
        ({"event_limit": 0}, "event_limit: "),
        ({"log_level": "LOUD"}, "log_level: "),
    ],
)
def test_a_fault_is_reported_with_its_path(tmp_path, change, fault):
    faults = faults_of(settings.read_balancer, write(tmp_path, {**BALANCER, **change}))
    assert any(f.startswith(fault) for f in faults), faults


def test_all_faults_are_reported_at_once(tmp_path):
    value = {"name": "", "zone": "a", "keys": [], "slotz": 1}
    faults = faults_of(settings.read_sidecar, write(tmp_path, value))
    paths = {fault.partition(":")[0] for fault in faults}
    assert paths == {"name", "address", "platform", "keys", "upstream", "slotz"}


@pytest.mark.parametrize(
    ("change", "fault"),
    [
        (
            {"ledger_margin_ms": 10, "skew_bound_ms": 11},
            "ledger_margin_ms: must not be less than skew_bound_ms",
        ),
        (
            {"drain_ms": 999, "max_deadline_ms": 1_000},
            "drain_ms: must not be less than max_deadline_ms",
        ),
    ],
)
def test_inconsistent_bounds_are_refused(tmp_path, change, fault):
    assert faults_of(settings.read_sidecar, write(tmp_path, {**SIDECAR, **change})) == [fault]


@pytest.mark.parametrize(
    "text",
    [
        "",
        "{",
        "[]",
        "7",
        '{"name": "a", "name": "b"}',
        "[" * 100_000,
        "\xff",
        "{a: NaN}",
        " " * 2**21,
    ],
)
def test_an_invalid_file_is_one_error(tmp_path, text):
    assert faults_of(settings.read_balancer, write(tmp_path, text))


def test_a_missing_file_is_one_error(tmp_path):
    assert faults_of(settings.read_balancer, tmp_path / "none") == ["No such file or directory"]


@given(data=st.binary(max_size=200))
def test_any_bytes_are_settings_or_one_error(tmp_path_factory, data):
    path = tmp_path_factory.getbasetemp() / "any"
    path.write_bytes(data)
    assert faults_of(settings.read_sidecar, path)


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=6,
)


@given(field=st.sampled_from(sorted(settings.SidecarSettings.model_fields)), value=VALUES)
def test_any_value_of_a_field_is_accepted_or_refused(field, value):
    try:
        settings.validation.validate(
            settings.SidecarSettings, {**SIDECAR, field: value}, step="test", peer="test"
        )
    except errors.SettingsError as error:
        assert all(fault.startswith(field) or field in fault for fault in error.faults)


def test_every_setting_is_used():
    """Guards against a setting without effect."""
    sources = (processes.ROOT / "src").rglob("*.py")
    text = "".join(path.read_text() for path in sources)
    models = (settings.BalancerSettings, settings.SidecarSettings, settings.OperatorSettings)
    fields = {name for model in models for name in model.model_fields}
    read = set(re.findall(r"\b(?:config|read|self)\.(\w+)", text))
    assert fields - read == set()
