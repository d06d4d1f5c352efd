"""Check the format of log lines: key=value pairs, one line per event for any values."""

import pytest

from ebonystile import logline, logs


@pytest.mark.parametrize(
    ("value", "text"),
    [
        (b"\x01\xff", "01ff"),
        (b"", '""'),
        ("plain-1.0", "plain-1.0"),
        ("two words", '"two words"'),
        ('a"b', '"a\\"b"'),
        ("a=b", '"a=b"'),
        ("line\nbreak", '"line\\nbreak"'),
        ("", '""'),
        (7, "7"),
        (True, "true"),
        (None, "None"),
        ("{braces} <red>", '"{braces} <red>"'),
    ],
)
def test_value(value, text):
    assert logline.format_value(value) == text


def test_a_line_names_the_process_and_the_event(capfd):
    logs.setup("ebonystile-sidecar", "umea-1", 0xAB, "INFO")
    logs.event("opened", flow=b"\x01\x02", reason="{odd} <b>\n", level="WARNING")
    logs.event("too-fine", level="DEBUG")
    [line] = capfd.readouterr().err.splitlines()
    time, _, rest = line.partition(" ")
    assert time.startswith("time=2") and time.endswith("Z")
    assert rest == (
        "level=WARNING program=ebonystile-sidecar process=umea-1 incarnation=00000000000000ab "
        'event=opened flow=0102 reason="{odd} <b>\\n"'
    )


def test_a_bug_keeps_its_traceback_on_the_line(capfd):
    logs.setup("p", "n", 1, "INFO")
    try:
        {}["absent"]
    except KeyError as error:
        logs.exception("bug", error)
    [line] = capfd.readouterr().err.splitlines()
    assert "level=ERROR" in line and "Traceback" in line and "absent" in line
