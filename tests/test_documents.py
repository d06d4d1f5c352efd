"""Check that documents are accepted as a whole, or refused with the path of every fault."""

import pytest

from ebonystile.platform import documents

VALID = {"address": "10.1.0.1:443", "selector": {"app": "line-status"}}


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("services/a", {"services": {}}),
        ("services/a", {"services": {"line-status": VALID}}),
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
