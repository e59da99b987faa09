"""The wire: what goes in and comes out of a process of its own."""

from __future__ import annotations

import json
import struct
import subprocess
import sys

import pytest

from burlmast import api
from burlmast.wirehost import settings

SETTINGS = {
    "siblings": 1,
    "slotNo": 0,
    "tickMs": 10.0,
    "discovery": "automatic",
    "unheard": {"of": 1},
    "requestClasses": [{"credit": 1.0, "goalTimeMs": 800.0, "semantics": "repeatable", "name": "a"}],
    "familyInfo": {
        "cells": 4, "racks": 1, "kbPerWeight": 8000.0, "rackKb": 20000.0, "kindStreams": [30],
        "rungKb": [200.0, 400.0], "worthByRung": [0.3, 1.0],
    },
    "allowed": {"probes": True, "mayTell": False, "cancel": True, "maxAttempts": 3},
    "rules": {"drainGraceMs": 1000.0, "coldFrom": 0.4, "warmAfterMs": 12000.0, "fallMs": 2000.0,
              "fallMultiple": 3.0},
    "report": {"source": "silent", "fields": ["busy_reqs", "x0"]},
}  # fmt: skip


def batch(number: int, clock: float, *records: bytes) -> bytes:
    body = b"".join(records)
    return struct.pack("<IIId", number, len(body), len(records), clock) + body


def attach(settings: object) -> bytes:
    text = json.dumps(settings).encode()
    return struct.pack("<BHQI", 1, 3, 99, len(text)) + text


def pool(*rows: tuple[int, int]) -> bytes:
    found = b"".join(struct.pack("<IBHHBfd", host, 0, 0, cell, 0, 1.0, 0.0) for host, cell in rows)
    return struct.pack("<BBI", 13, 0, len(rows)) + found


def accept(pb: int) -> bytes:
    return struct.pack("<BHIIHfffBdQQd", 3, 3, pb, 0, 0, 1.0, 0.0, 4.0, 0, 0.0, 5, 6, 3000.0)


MEMBERS = struct.pack("<BHBQB", 2, 3, 1, 1, 0)


def run(data: bytes) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-m", "burlmast.wirehost"], input=data, capture_output=True, check=False
    )


def test_a_playback_is_set_up_over_the_wire() -> None:
    done = run(batch(1, 5e4, attach(SETTINGS), pool((70, 0), (71, 1)), MEMBERS) + batch(2, 5e4, accept(41)))
    assert done.returncode == 0 and not done.stderr
    _, count, size = struct.unpack_from("<III", done.stdout)
    number, count, _ = struct.unpack_from("<III", done.stdout, 12 + size)
    body = done.stdout[24 + size :]
    assert (number, count) == (2, 3)
    code, gateway, _after, token = struct.unpack_from("<BHdQ", body)
    assert (code, gateway) == (5, 3) and token
    assert struct.unpack_from("<BHIB", body, 19) == (13, 3, 41, 1)
    code, gateway, pb, host, allow = struct.unpack_from("<BHIId", body, 27)
    assert (code, gateway, pb) == (1, 3, 41) and host in (70, 71) and 0 < allow <= 3000


def test_malformed_frames_end_it_with_one_plain_line() -> None:
    whole = batch(1, 5e4, attach(SETTINGS))
    short = batch(1, 5e4, struct.pack("<BH", 7, 3))
    for bad in (whole[:-5], whole[:9], batch(1, 5e4, b"\xee\x03\x00"), short):
        done = run(bad)
        assert done.returncode == 1 and done.stderr.count(b"\n") == 1 and not done.stdout


def test_a_needed_setting_that_is_missing_or_ill_typed_is_named_in_a_bug() -> None:
    for broken in ({**SETTINGS, "slotNo": "two"}, {k: v for k, v in SETTINGS.items() if k != "slotNo"}):
        done = run(batch(1, 5e4, attach(broken)))
        assert done.returncode == 0 and done.stdout[12] == 10 and b"slotNo" in done.stdout


@pytest.mark.parametrize(
    ("part", "figures"),
    [
        ("familyInfo", {"classSeats": [-1]}),
        ("familyInfo", {"classFloor": [2]}),
        ("familyInfo", {"classFloor": [1], "classTop": [0]}),
        ("familyInfo", {"rungKb": [400.0, 200.0]}),
        ("familyInfo", {"worthByRung": [1.0]}),
        ("familyInfo", {"scaleByClass": [0.0]}),
        ("rules", {"resendRatio": 1.5, "ratioSpanMs": 5000.0}),
        ("rules", {"freeResends": -1, "ratioSpanMs": 5000.0}),
        ("rules", {"coldFrom": float("nan")}),
        ("rules", {"fallMultiple": 0}),
        ("allowed", {"maxAttempts": 0}),
    ],
)
def test_figures_that_no_rule_can_be_kept_with_are_named(part: str, figures: dict[str, object]) -> None:
    broken = {**SETTINGS, part: {**SETTINGS[part], **figures}}  # type: ignore[dict-item]
    with pytest.raises(settings.BadSetting) as why:
        settings.read(json.dumps(broken).encode())
    assert any(name in str(why.value) for name in figures) and "\n" not in str(why.value)


def test_a_list_that_has_to_be_asked_for_needs_its_time() -> None:
    with pytest.raises(settings.BadSetting, match="askWithinMs"):
        settings.read(json.dumps({**SETTINGS, "discovery": "subscribe"}).encode())


def test_a_share_that_ends_at_one_counts_only_where_no_other_is_told() -> None:
    both = {**SETTINGS, "report": {"source": "pull", "fields": ["cpu_share", "pending", "x0", "x1"]}}
    _, fields = settings.read(json.dumps(both).encode())
    assert settings.load(fields, (1.0, 3.0, 1.4, 0.5)) == api.Load(None, 1.4, 0.5)
    alone = {**SETTINGS, "report": {"source": "pull", "fields": ["cpu_share"]}}
    assert settings.load(settings.read(json.dumps(alone).encode())[1], (0.7,)) == api.Load(None, 0.7, None)


def test_a_failure_of_the_decisions_is_a_bug_with_its_text() -> None:
    family = {**SETTINGS["familyInfo"], "rungKb": [200.0, 10**400]}  # type: ignore[dict-item]
    start = batch(1, 5e4, attach({**SETTINGS, "familyInfo": family}), pool((70, 0)), MEMBERS)
    done = run(start + batch(2, 6e4, accept(41)))
    _, _, size = struct.unpack_from("<III", done.stdout)
    assert done.returncode == 0 and b"OverflowError" in done.stdout[12 + size :]
