"""The commands as a user types them."""

from __future__ import annotations

import signal
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager

import msgspec
import pytest
from town import SAMPLES

TRAINING = str(SAMPLES / "training.jsonnet")


@contextmanager
def running(*words: str) -> Iterator[tuple[subprocess.Popen, dict]]:
    """A command that says in one line that it is ready; it must end with 0 when interrupted."""
    command = [sys.executable, "-m", "burlmast", "--level", "error", *words]
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    try:
        assert process.stdout
        yield process, msgspec.json.decode(process.stdout.readline())
        process.send_signal(signal.SIGINT)
        assert process.wait(20) == 0
    finally:
        if process.poll() is None:
            process.kill()
            process.wait()


def cli(*words: str) -> subprocess.CompletedProcess:
    command = [sys.executable, "-m", "burlmast", *words]
    return subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)


def plays(gateway: str, title: str) -> str:
    """Watch until it plays: a gateway that has just started rejects for a moment."""
    for _ in range(20):
        seen = cli("watch", gateway, title, "--lasts", "0.5")
        if seen.returncode == 0:
            return seen.stdout
        assert "503" in seen.stdout, seen.stdout + seen.stderr
    raise AssertionError("never played")


def test_up_says_where_everything_is_and_one_playback_plays() -> None:
    with running("up", "--gateways", "2", "--hosts", "12", "--settings", TRAINING) as (_, said):
        assert said["ready"] is True and len(said["gateways"]) == 2 and len(said["hosts"]) == 12
        assert "unit-01" in said["titles"] and said["plans"] == ["explainer", "onboarding", "exam"]
        seen = plays(said["gateways"][1], "unit-01")
        assert "rung" in seen and "buffer" in seen and "stalls 0" in seen
        assert cli("watch", said["gateways"][0], "nothing").returncode == 1


def test_list_hosts_and_edge_as_programs_of_their_own() -> None:
    with running("list") as (_, listed):
        where = listed["list"].removeprefix("http://")
        with running("host", "--settings", TRAINING, "--list", where) as (_, hosts):
            assert len(hosts["hosts"]) == 12
            with running("edge", "--settings", TRAINING, "--list", where) as (_, edge):
                assert "rung" in plays(edge["gateway"], "unit-02")


@pytest.mark.parametrize(
    ("words", "code", "said"),
    [
        (["edge", "--settings", "/nowhere"], 2, "/nowhere: file: "),
        (["edge", "--settings", TRAINING, "--number", "9"], 2, "--number"),
        (["edge", "--settings", TRAINING, "--listen", "here"], 2, "name:port"),
        (["bad-day", "/nowhere", "--settings", TRAINING], 2, "/nowhere: "),
        (["bad-day", TRAINING, "--settings", TRAINING], 2, "unknown field"),
        (["bad-day", "/nowhere", "--bench", "--settings", TRAINING], 2, "/nowhere: "),
        (["bad-day", "--plant", "7"], 2, "--plant"),
        (["host", "--settings", TRAINING, "--list", "127.0.0.1:1"], 1, "host: the list at"),
    ],
)
def test_wrong_words_end_with_a_line_that_says_why(words: list[str], code: int, said: str) -> None:
    done = cli(*words)
    assert done.returncode == code and said in done.stderr and "Traceback" not in done.stderr
