"""Experiments: what is played next, what survives a kill, the same bytes whatever the process count."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from town import SAMPLES

from burlmast.experiment import compare, report
from burlmast.experiment.ledger import Entry, InUse, Ledger, frame, scan
from burlmast.experiment.plan import BadPlan, Cell, Plan, code_digest, read_plan
from burlmast.experiment.roster import OUT, TABLE, Roster
from burlmast.experiment.run import Sweep, work

SCENARIO = {"name": "small", "settings": str(SAMPLES / "training.jsonnet"), "lasts": 3}


def statement(folder: Path, **changes: object) -> Path:
    (folder / "small.jsonnet").write_text(json.dumps(SCENARIO))
    told = {
        "name": "trial",
        "question": "Does it run?",
        "scenarios": ["small.jsonnet"],
        "policies": ["llama", "random lowest"],
        "against": {"variant": "plain", "policy": "llama"},
        "seeds": 3,
    }
    (folder / "trial.jsonnet").write_text(json.dumps(told | changes))
    return folder / "trial.jsonnet"


# The roster.


def test_a_suspect_is_played_alone_and_given_up_only_then() -> None:
    roster = Roster(4, 2)
    for cell in roster.next():
        roster.happen(cell, "begins")
    roster.worker_died()
    assert roster.being("suspect") == [0, 1] and roster.next() == [0]
    roster.happen(0, "begins")
    assert roster.next() == [], "nothing beside a suspect"
    roster.worker_died()
    assert roster.being("given up") == [0] and roster.next() == [1]
    roster.happen(1, "begins")
    roster.happen(1, "finishes")
    assert roster.next() == [2, 3] and "its worker died" in roster.why[0]


@given(st.integers(1, 12), st.integers(1, 4), st.sets(st.integers(0, 11)), st.data())
def test_whatever_kills_workers_the_others_are_played(
    count: int, slots: int, deadly: set[int], data: st.DataObject
) -> None:
    roster, deaths = Roster(count, slots), 0
    for _ in range(10 * count + 10):
        if roster.over:
            break
        for cell in roster.next():
            roster.happen(cell, "begins")
        out = roster.being(*OUT)
        assert len(out) <= slots and len(roster.being("alone")) <= 1
        cell = data.draw(st.sampled_from(out))
        if cell in deadly:
            roster.worker_died()
            deaths += 1
        else:
            roster.happen(cell, "finishes")
    assert roster.over and roster.being("given up") == sorted(deadly & set(range(count)))
    assert set(roster.being("done")) == set(range(count)) - deadly
    assert deaths <= 2 * len(deadly)
    assert {state for state, _ in TABLE} | {"done", "given up"} == set(TABLE.values()) | {"waiting"}


# The ledger.


ENTRIES = st.lists(st.builds(Entry, st.text(max_size=8), st.binary(max_size=60)), min_size=1, max_size=6)


@given(ENTRIES, st.data())
def test_a_file_cut_anywhere_keeps_every_whole_frame(entries: list[Entry], data: st.DataObject) -> None:
    frames = [frame(one) for one in entries]
    whole = b"".join(frames)
    cut = data.draw(st.integers(0, len(whole)))
    found = scan(whole[:cut])
    kept = sum(sum(map(len, frames[: n + 1])) <= cut for n in range(len(frames)))
    assert found.entries == entries[:kept] and found.sound_to == sum(map(len, frames[:kept]))


@given(ENTRIES, st.data())
def test_a_damaged_byte_costs_its_frame_alone(entries: list[Entry], data: st.DataObject) -> None:
    frames = [frame(one) for one in entries]
    place = data.draw(st.integers(0, sum(map(len, frames)) - 1))
    broken = bytearray(b"".join(frames))
    broken[place] ^= data.draw(st.integers(1, 255))
    at = hit = 0
    for hit, one in enumerate(frames):  # noqa: B007
        at += len(one)
        if place < at:
            break
    assert scan(bytes(broken)).entries == entries[:hit] + entries[hit + 1 :]


def test_a_ledger_goes_on_behind_half_a_frame_and_has_one_writer(tmp_path: Path) -> None:
    file = tmp_path / "deep" / "ledger.blx"
    first = Ledger(file)
    first.add("a", b"1")
    with pytest.raises(InUse):
        Ledger(file)
    first.close()
    with file.open("ab") as out:
        out.write(frame(Entry("b", b"2"))[:-3])
    second = Ledger(file)
    assert second.results == {"a": b"1"} and second.skipped > 0
    second.add("c", b"3")
    second.close()
    third = Ledger(file)
    assert third.results == {"a": b"1", "c": b"3"} and third.skipped == 0
    third.close()


def test_a_full_disk_leaves_the_ledger_sound(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    ledger = Ledger(tmp_path / "ledger.blx")
    ledger.add("a", b"1")
    write, calls = os.write, []

    def full(file: int, data: bytes) -> int:
        calls.append(data)
        if len(calls) > 1:
            raise OSError(28, "No space left on device")
        return write(file, data[:5])

    with monkeypatch.context() as patch:
        patch.setattr(os, "write", full)
        with pytest.raises(OSError, match="No space"):
            ledger.add("b", b"2")
    assert "b" not in ledger.results
    ledger.add("c", b"3")
    ledger.close()
    assert [one.key for one in scan((tmp_path / "ledger.blx").read_bytes()).entries] == ["a", "c"]


WRITER = """
import sys
from pathlib import Path
from burlmast.experiment.ledger import Ledger
ledger = Ledger(Path(sys.argv[1]))
n = len(ledger.results)
while True:
    ledger.add(f"cell {n}", bytes([n % 256]) * 3000)
    print(n, flush=True)
    n += 1
"""


def test_no_cell_that_was_kept_is_lost_to_kills(tmp_path: Path) -> None:
    file, told = tmp_path / "ledger.blx", -1
    for turn in range(8):
        child = subprocess.Popen([sys.executable, "-c", WRITER, str(file)], stdout=subprocess.PIPE, text=True)
        assert child.stdout is not None
        for _ in range(3 + turn):
            told = max(told, int(child.stdout.readline()))
        child.kill()
        told = max([told, *map(int, child.stdout.read().split())])
        child.wait()
        kept = {one.key for one in scan(file.read_bytes()).entries}
        assert {f"cell {n}" for n in range(told + 1)} <= kept


# The plan.


@pytest.mark.parametrize(
    ("changes", "what"),
    [
        ({"policies": ["luck"]}, "policies: there is no 'luck'"),
        ({"scenarios": ["none.jsonnet"]}, "none.jsonnet"),
        ({"scenarios": []}, "scenarios: needs one"),
        ({"against": {"variant": "plain", "policy": "one try"}}, "against"),
        (
            {"variants": {"plain": {}, "odd": {"allowed.luck": 1}}},
            "variants.odd: there is no key allowed.luck",
        ),
        ({"variants": {"plain": {}, "odd": {"allowed.tries": "x"}}}, "variants.odd: allowed.tries: Expected"),
        (
            {"variants": {"plain": {}, "odd": {"allowed.tries": 0}}},
            "variants.odd: allowed.tries: must be above",
        ),
        ({"variants": {"plain": {}, "odd": {"scenario.noise": 2}}}, "variants.odd: noise"),
        ({"seeds": 0}, "seeds"),
        ({"colour": 1}, "colour"),
    ],
)
def test_a_grid_that_cannot_be_played_is_refused(tmp_path: Path, changes: dict, what: str) -> None:
    with pytest.raises(BadPlan, match=what):
        read_plan(statement(tmp_path, **changes))


def test_a_cells_key_holds_all_that_decides_it(tmp_path: Path) -> None:
    variants = {"plain": {}, "one": {"allowed.tries": 1}, "noisy": {"scenario.noise": 0.2}}
    plan = read_plan(statement(tmp_path, variants=variants))
    keys = [cell.key("x") for cell in plan.cells]
    assert len(set(keys)) == len(keys) == 18 and keys == [cell.key("x") for cell in plan.cells]
    assert plan.cells[0].key("y") != keys[0] and code_digest() == code_digest()


# The sweep.


def swept(plan: Plan, folder: Path, processes: int, play: object = work) -> Sweep:
    ledger = Ledger(folder / f"ledger-{processes}.blx")
    sweep = Sweep(plan.cells, "code", ledger, processes, play)  # type: ignore[arg-type]
    sweep.run()
    ledger.close()
    return sweep


def test_the_process_count_changes_no_byte(tmp_path: Path) -> None:
    plan = read_plan(statement(tmp_path))
    one, three = swept(plan, tmp_path, 1), swept(plan, tmp_path, 3)
    assert [one.ledger.results[key] for key in one.keys] == [three.ledger.results[key] for key in three.keys]
    rows = compare.rows(plan.cells, one.results(), plan.statement.against)
    first, second = (report.page(plan, each.results(), rows, []) for each in (one, three))
    assert first == second and first.count("<svg") == len(report.PLOTS) + 1
    assert [row.policy for row in rows] == ["llama", "random lowest"] and rows[1].gains["earned"].pairs == 3


def deadly(cell: Cell) -> bytes:
    """One cell raises, one kills its worker."""
    if cell.seed == 1 and cell.policy == "llama":
        raise RuntimeError("cannot")
    if cell.seed == 2 and cell.policy == "llama":
        os.kill(os.getpid(), signal.SIGKILL)
    return work(cell)


def test_cells_that_raise_or_kill_their_worker_are_named_and_the_others_played(tmp_path: Path) -> None:
    plan = read_plan(statement(tmp_path))
    sweep = swept(plan, tmp_path, 2, deadly)
    found = {(cell.policy, cell.seed): why for cell, why in sweep.given_up()}
    assert set(found) == {("llama", 1), ("llama", 2)} and "RuntimeError: cannot" in found["llama", 1]
    assert [one is None for one in sweep.results()] == [True, True, False, False, False, False]


def test_a_killed_sweep_goes_on_and_reports_the_same(tmp_path: Path) -> None:
    file = statement(tmp_path, seeds=6)
    command = [
        sys.executable,
        "-m",
        "burlmast",
        "experiment",
        str(file),
        "--quiet",
        "--processes",
        "2",
        "--out",
    ]
    whole, cut = tmp_path / "whole", tmp_path / "cut"
    subprocess.run([*command, str(whole)], check=True, capture_output=True, timeout=120)
    ledger = cut / "ledger.blx"
    for kept in (1, 4):
        child = subprocess.Popen([*command, str(cut)], stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
        end = time.monotonic() + 60
        while child.poll() is None and time.monotonic() < end:
            if ledger.exists() and len(scan(ledger.read_bytes()).entries) >= kept:
                break
            time.sleep(0.01)
        child.kill()
        child.wait()
        assert len(scan(ledger.read_bytes()).entries) >= kept
    subprocess.run([*command, str(cut)], check=True, capture_output=True, timeout=120)
    keys = [one.key for one in scan(ledger.read_bytes()).entries]
    assert len(keys) == len(set(keys)) == 12, "a cell that was kept is not played again"
    assert (whole / "report.html").read_bytes() == (cut / "report.html").read_bytes()


# Comparing.


def test_paired_intervals_are_students() -> None:
    gain = compare.paired([1.0, 2.0, 3.0, 5.0], [0.5, 1.0, 2.5, 3.0], True)
    # Differences 0.5, 1, 0.5, 2: mean 1, deviation 0.7071, t of 3 degrees 3.1824.
    assert gain.mean == 1.0 and gain.low == pytest.approx(1 - 3.1824 * 0.70711 / 2, abs=1e-4)
    assert gain.verdict == "alike"
    assert compare.paired([1, 2], [0, 1], False).verdict == "worse"
    assert compare.paired([1], [0], True).low is None and compare.paired([], [], True).pairs == 0
