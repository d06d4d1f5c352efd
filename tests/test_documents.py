"""Check that documents are accepted as a whole, or refused with the path of every fault."""

import pytest

from ebonystile.core.carrying import routes
from ebonystile.platform import documents

VALID = {"address": "10.1.0.1:443", "selector": {"app": "line-status"}}
TRAITS = {"kind": "upload", "objective_ms": 1_089, "timeout_ms": 5_445, "priority": 1}


def service(**fields):
    return {"services": {"x": {**VALID, **fields}}}


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("services/a", {"services": {}}),
        ("services/a", {"services": {"line-status": VALID}}),
        ("services/a", service(**TRAITS)),
        ("services/a", service(kind=None, objective_ms=0, timeout_ms=0, priority=0)),
        ("services/a", service(objective_ms=900)),
        ("services/a/b", {"services": {"x": {**VALID, "selector": {"app": ["a", "b"]}}}}),
        ("labels/a", {"instances": {"line-1": {"app": "line-status", "leaving": "true"}}}),
    ],
)
def test_valid_documents(key, value):
    assert documents.list_faults(key, value) == []


@pytest.mark.parametrize(
    ("key", "value", "faults"),
    [
        ("service/a", {}, ['key "service/a": expected services/<shard>']),
        ("services/", {"services": {}}, ['key "services/": expected services/<shard>']),
        ("labels/a", [], ["document: Input should be a valid dictionary"]),
        ("labels/a", {"instance": {}}, ["instances: Field required", "instance: unknown key"]),
        (
            "services/a",
            {"services": {"x": {"adress": "1.2.3.4:5", "selector": {}}}},
            ["services.x.address: Field", "services.x.selector: Dict", "services.x.adress: unkn"],
        ),
        (
            "services/a",
            {"services": {"x": {**VALID, "address": "10.0.0.1:0"}}},
            ['services.x.address: "10.0.0.1:0" has no port from 1 to 65535'],
        ),
        (
            "services/a",
            {"services": {"x": VALID, "y": VALID}},
            ['document: "x" and "y" both have the address 10.1.0.1:443'],
        ),
        (
            "services/a",
            service(kind="safe"),
            ["services.x.kind: Input should be 'idempotent', 'non"],
        ),
        ("services/a", service(objective_ms=-1), ["services.x.objective_ms: Input should be gr"]),
        ("services/a", service(objective_ms=True), ["services.x.objective_ms: Input should be a"]),
        ("services/a", service(timeout_ms=3_600_001), ["services.x.timeout_ms: Input should be l"]),
        ("services/a", service(timeout_ms="9"), ["services.x.timeout_ms: Input should be a val"]),
        ("services/a", service(priority=1_001), ["services.x.priority: Input should be less"]),
        (
            "services/a",
            service(objective_ms=500, timeout_ms=400),
            ["services.x: objective_ms 500 is above timeout_ms 400"],
        ),
        ("services/a", service(timeout=400), ["services.x.timeout: unknown key (did you mean "]),
        ("labels/a", {"instances": {"line-1": {"app": 1}}}, ["instances.line-1.app: Input"]),
        ("labels/a", {"instances": {"line 1": {}}}, ["instances.line 1: String should match"]),
    ],
)
def test_faults_name_their_path(key, value, faults):
    found = documents.list_faults(key, value)
    assert len(found) == len(faults), found
    for line, start in zip(found, faults, strict=True):
        assert line.startswith(start)


def test_unknown_key_names_the_nearest():
    value = {"services": {"x": {**VALID, "selectors": {}}}}
    assert documents.list_faults("services/a", value) == [
        'services.x.selectors: unknown key (did you mean "selector"?)'
    ]


def test_a_service_states_the_traits_of_its_requests():
    spec = documents.parse("services/a", service(**TRAITS)).services["x"]
    assert spec.requests() == routes.RequestTraits(routes.RequestKind.UPLOAD, 1_089, 5_445, 1)


def test_a_service_without_traits_has_those_of_a_route_without_any():
    """Guards against a document of an earlier version that changes how its service is treated."""
    assert documents.parse("services/a", service()).services["x"].requests() == routes.NO_TRAITS
