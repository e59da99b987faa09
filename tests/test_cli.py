"""The commands as a user types them."""

from __future__ import annotations

import asyncio
import os
import re
import signal
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import msgspec
import pytest
from town import SAMPLES

from burlmast.http1.client import Pool, Whole
from burlmast.standin.viewer import JSON

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


def test_a_gateway_that_stood_still_answers_its_backlog_once_each() -> None:
    async def ask(pool: Pool, gateway: tuple[str, int], place: int) -> int:
        body = msgspec.json.encode(
            {"title": "unit-01", "plan": "explainer", "viewer": f"v{place}", "lasts": 9}
        )
        status, _, _ = await Whole.of(pool, gateway, b"POST", b"/v1/playbacks", JSON, body, within=20)
        return status

    async def run(edge: subprocess.Popen, gateway: tuple[str, int]) -> list[int]:
        pool = Pool(connect_s=5)
        try:
            # Some are held when it stops, some come while it stands.
            held = [asyncio.ensure_future(ask(pool, gateway, place)) for place in range(10)]
            await asyncio.sleep(0)
            edge.send_signal(signal.SIGSTOP)
            came = [asyncio.ensure_future(ask(pool, gateway, place)) for place in range(10, 40)]
            await asyncio.sleep(2.0)  # the standstill itself
            edge.send_signal(signal.SIGCONT)
            return await asyncio.gather(*held, *came)
        finally:
            edge.send_signal(signal.SIGCONT)
            pool.close()

    with running("list") as (_, listed):
        where = listed["list"].removeprefix("http://")
        with (
            running("host", "--settings", TRAINING, "--list", where),
            running("edge", "--settings", TRAINING, "--list", where) as (edge, said),
        ):
            plays(said["gateway"], "unit-01")
            name, _, port = said["gateway"].removeprefix("http://").partition(":")
            statuses = asyncio.run(run(edge, (name, int(port))))
            assert len(statuses) == 40 and set(statuses) <= {201, 503} and statuses.count(201) >= 1
            port = int(said["operators"].rpartition(":")[2])
            figures = asyncio.run(scrape(port))
            assert figures["asked"] == figures["plays"] + figures.get("rejected", 0), "one answer each"
            assert figures.get("cut", 0) == 0


async def scrape(port: int) -> dict[str, int]:
    """What happened, by kind, as the operators' listener has it."""
    pool = Pool()
    try:
        _, _, text = await Whole.of(pool, ("127.0.0.1", port), b"GET", b"/metrics")
    finally:
        pool.close()
    found = re.findall(r'burlmast_happened_total\{what="([^"]+)"\} ([0-9.]+)', text.decode())
    return {what: int(float(count)) for what, count in found}


def test_a_day_leaves_the_settings_that_it_was_given(tmp_path: Path) -> None:
    for name in ("training.jsonnet", "base.libsonnet"):
        (tmp_path / name).write_text((SAMPLES / name).read_text())
    file = tmp_path / "training.jsonnet"
    day = tmp_path / "day.jsonnet"
    day.write_text("{name: 'd', lasts: 1, hosts: 4, viewers: {lasts: {type: 'uniform', least: 1, most: 1}}}")
    files = sorted(tmp_path.iterdir())
    for command in (["model", "run"], ["bad-day"]):
        done = subprocess.run(
            [sys.executable, "-m", "burlmast", *command, str(day), "--settings", str(file)],
            capture_output=True,
            timeout=60,
            check=False,
            env=os.environ | {"TMPDIR": str(tmp_path)},  # what is given may stand where what is written does
        )
        assert done.returncode == 0 and file.read_text() == (SAMPLES / file.name).read_text()
        assert sorted(tmp_path.iterdir()) == files, "and nothing else is left behind"
