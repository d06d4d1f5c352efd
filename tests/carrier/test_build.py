"""A build must not disturb processes that start from the previous build."""

import pathlib
import shutil
import subprocess

import pytest

from standins import processes


@pytest.fixture
def checkout(tmp_path):
    """Return a copy of what the build reads, with the libraries marked as installed."""
    shutil.copytree(processes.ROOT / "deploy", tmp_path / "deploy")
    ignored = shutil.ignore_patterns("__pycache__")
    shutil.copytree(processes.ROOT / "src", tmp_path / "src", ignore=ignored)
    (tmp_path / "target/deps").mkdir(parents=True)
    (tmp_path / "target/deps/.installed").touch()
    return tmp_path


def build(checkout: pathlib.Path) -> pathlib.Path:
    """Build, and return one of the modules built."""
    subprocess.run([checkout / "deploy/build"], check=True)
    return checkout / "target/deps/ebonystile/loop.py"


def test_second_build_of_the_same_sources_touches_nothing(checkout):
    """A process that imports the package during a build must not find files missing."""
    before = build(checkout).stat()
    after = build(checkout).stat()
    assert (before.st_ino, before.st_mtime_ns) == (after.st_ino, after.st_mtime_ns)


def test_changed_sources_replace_the_package_as_a_whole(checkout):
    build(checkout)
    source = checkout / "src/ebonystile/loop.py"
    source.write_text(source.read_text() + "CHANGED = True\n")
    (checkout / "src/ebonystile/clock.py").rename(checkout / "src/ebonystile/renamed.py")
    built = build(checkout)
    assert "CHANGED = True" in built.read_text()
    assert not (built.parent / "clock.py").exists()
    assert list((checkout / "target/deps").glob(".staged-*")) == []


def test_modules_are_compiled_for_the_place_where_they_end_up(checkout):
    built = build(checkout)
    compiled = next((built.parent / "__pycache__").glob("loop.*.pyc"))
    assert b".staged" not in compiled.read_bytes()
