"""The settings file: its template, its validation and the output of `check`."""

import json
import pathlib
import re

import click.testing
import pytest

from ebonystile import errors
from ebonystile.commands import operator
from ebonystile.platform import node

ROOT = pathlib.Path(__file__).parents[2]
EXAMPLE = ROOT / "examples" / "carrier-sidecar.json"


def changed(tmp_path, **changes):
    body = {**json.loads(EXAMPLE.read_text()), **changes}
    path = tmp_path / "node.json"
    path.write_text(json.dumps({k: v for k, v in body.items() if v is not None}))
    return path


def test_the_example_is_valid():
    read = node.read(EXAMPLE)
    assert read.host == "127.0.0.12" and read.internal == ("127.0.0.12", 7720)


@pytest.mark.parametrize(
    "change",
    [
        {"packets": None},
        {"packets": "nowhere"},
        {"internal_port": 0},
        {"internal_port": "7720"},
        {"role": "operator"},
        {"upstream": ""},
        {"seeds": ["x"]},
    ],
)
def test_an_invalid_field_is_reported_with_the_file(tmp_path, change):
    with pytest.raises(errors.SettingsError, match="node.json"):
        node.read(changed(tmp_path, **change))


def test_a_missing_file_or_variable_is_reported(tmp_path, monkeypatch):
    with pytest.raises(errors.SettingsError):
        node.read(tmp_path / "none.json")
    monkeypatch.delenv(node.FILE_VARIABLE, raising=False)
    with pytest.raises(errors.SettingsError, match=node.FILE_VARIABLE):
        node.path()


def test_the_template_fills_in_every_field():
    text = (ROOT / "deploy" / "settings.json").read_text()
    assert set(re.findall(r'"(\w+)":', text)) == set(node.MEANINGS)
    assert set(node.MEANINGS) == set(node.FORMATS) == set(node.Node.__struct_fields__)


def test_check_accepts_and_explains_the_fields(tmp_path):
    ran = click.testing.CliRunner().invoke(operator.main, ["check", str(EXAMPLE)])
    assert ran.exit_code == 0
    assert "carrier settings ok" in ran.output
    for name in node.MEANINGS:
        assert f"  {name}: " in ran.output
    bad = changed(tmp_path, packets="nowhere")
    ran = click.testing.CliRunner().invoke(operator.main, ["check", str(bad)])
    assert ran.exit_code == 2 and "nowhere" in ran.output


def test_every_field_is_on_the_platform_page():
    page = (ROOT / "docs" / "PLATFORM.md").read_text()
    for name, meaning in node.MEANINGS.items():
        assert f"| `{name}` | {meaning} |" in page
