"""The list of known failures: each entry is whole, and lets exactly its own test fail."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import known_red
import pytest

HERE = Path(__file__).parent
TESTS = "def test_listed():\n    assert False\n\n\ndef test_not_listed():\n    assert {outcome}\n"


def run(folder: Path, entries: str, outcome: bool) -> subprocess.CompletedProcess[str]:
    (folder / "tests").mkdir()
    for name in ("conftest.py", "known_red.py"):
        shutil.copy(HERE / name, folder / "tests" / name)
    (folder / "tests" / "test_it.py").write_text(TESTS.format(outcome=outcome))
    (folder / "KNOWN-RED.txt").write_text(entries)
    (folder / "pytest.ini").write_text("[pytest]\n")
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "tests"]
    return subprocess.run(command, cwd=folder, capture_output=True, text=True, check=False)


ENTRY = "tests/test_it.py::test_listed | pytest, seed 3 | one session lost | issue 38\n"


def test_a_listed_failure_is_printed_and_passed_over(tmp_path: Path) -> None:
    done = run(tmp_path, ENTRY, True)
    assert done.returncode == 0, done.stdout
    assert "KNOWN-RED xfailed: tests/test_it.py::test_listed" in done.stdout


def test_a_failure_that_is_not_listed_fails_the_run(tmp_path: Path) -> None:
    assert run(tmp_path, ENTRY, False).returncode == 1


def test_an_entry_of_a_test_that_does_not_exist_fails_the_run(tmp_path: Path) -> None:
    done = run(tmp_path, ENTRY.replace("test_listed", "test_renamed"), True)
    assert done.returncode != 0 and "test_renamed" in done.stdout + done.stderr


@pytest.mark.parametrize("line", ["tests/test_it.py::test_listed | seed | seen", "no test | a | b | c"])
def test_an_entry_that_is_not_whole_is_named(tmp_path: Path, line: str) -> None:
    (tmp_path / "KNOWN-RED.txt").write_text(line)
    with pytest.raises(known_red.BadEntry, match=r"KNOWN-RED.txt:1"):
        known_red.read(tmp_path / "KNOWN-RED.txt")


def test_the_projects_own_list_can_be_read() -> None:
    known_red.read(HERE.parent / "KNOWN-RED.txt")
