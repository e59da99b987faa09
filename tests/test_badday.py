"""Scripted days on sockets, and the audit on traffic made by hand."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from town import SAMPLES, sample

from burlmast.api import Repeat
from burlmast.badday.day import BEGINS, ENDS
from burlmast.logic import Gateway
from burlmast.model.day import play as model_play
from burlmast.model.ground import ground
from burlmast.settings.read import read
from burlmast.settings.scenes import rulebook
from burlmast.world.audit import Rulebook, Verdict, audit
from burlmast.world.benchday import MATCHES, from_bench
from burlmast.world.traffic import (
    Answered,
    Asked,
    GatewayIs,
    GaveUp,
    HostUp,
    Lost,
    Record,
    RungSet,
    Told,
    TryCame,
    TryOver,
)
from burlmast.world.troubles import DAYS, KINDS, STANDARD, Day, NotADay, Trouble, check, edges, struck

S = 1_000_000_000
MS = 1_000_000
PATIENCE = 3 * S


def book() -> Rulebook:
    return rulebook(sample(rules__warm_after_ms=5000.0))


def judged(*records: Record) -> Verdict:
    return audit([GatewayIs(0, 0, "up"), *records], book())


def asked(at: float, request: int = 1, gateway: int = 0, plan: int = 0) -> Asked:
    return Asked(int(at * S), request, gateway, plan, "t", 3, PATIENCE)


def came(
    at: float, host: int = 1, playback: str = "p", attempt: int = 0, plan: int = 0, rung: int = 1
) -> TryCame:
    return TryCame(int(at * S), host, 0, playback, attempt, plan, "t", rung)


def over(at: float, host: int = 1, playback: str = "p", attempt: int = 0, proven: bool = False) -> TryOver:
    return TryOver(int(at * S), host, 0, playback, attempt, proven, "refused" if proven else "error")


def plays(at: float, request: int = 1, status: int = 201, playback: str = "p") -> Answered:
    return Answered(int(at * S), request, status, playback, 1)


def test_a_request_answered_in_time_keeps_rule_1() -> None:
    verdict = judged(asked(1), came(1.1), plays(1.2))
    assert not verdict.broken and verdict.plays == 1 and verdict.service > 0


@pytest.mark.parametrize(
    "records",
    [
        [asked(1), GaveUp(int(4.6 * S), 1)],
        [asked(1), Lost(int(1.2 * S), 1, True)],
        [asked(1), plays(1.2), plays(1.3)],
        [asked(1), plays(4.5)],
    ],
)
def test_no_answer_two_answers_and_a_late_answer_break_rule_1(records: list) -> None:
    assert judged(*records).rules == [1]


@pytest.mark.parametrize(
    "records",
    [
        [asked(1), Lost(int(1.2 * S), 1, False)],
        [asked(1), GatewayIs(int(1.1 * S), 0, "down"), Lost(int(1.1 * S) + MS, 1, True)],
        [asked(1), GatewayIs(int(1.1 * S), 0, "stopped"), GatewayIs(3 * S, 0, "continued"), GaveUp(5 * S, 1)],
        [asked(1), GatewayIs(int(1.1 * S), 0, "stopped"), GatewayIs(3 * S, 0, "continued"), plays(5)],
    ],
)
def test_what_a_killed_or_stopped_gateway_held_is_excused(records: list) -> None:
    assert not judged(*records).broken


@pytest.mark.parametrize(
    ("records", "broken"),
    [
        ([came(1), over(1.2), came(1.3, 2, "p", 1)], False),
        ([came(1), came(1.01, 2, "p", 1), over(1.02)], True),
        ([came(1), came(1.6, 2, "p", 1), over(2)], True),
        ([came(1, plan=2), over(1.2), came(1.3, 2, "p", 1, 2)], True),
        ([came(1, plan=2), over(1.2, proven=True), came(1.3, 2, "p", 1, 2)], False),
        ([asked(1, plan=2), came(1, plan=2), over(1.2), plays(1.3, status=503)], True),
        ([asked(1, plan=2), came(1, plan=2), over(1.2), plays(1.3, status=502)], False),
        ([asked(1, plan=2), came(1, plan=2), over(1.2, proven=True), plays(1.3, status=503)], False),
    ],
)
def test_rule_2(records: list, broken: bool) -> None:
    assert judged(*records).rules == ([2] if broken else [])


@pytest.mark.parametrize(
    ("group", "zone", "after", "broken"),
    [
        ("all", 1, 1, False),
        ("zone", 0, 1, False),
        ("zone", 1, 1, True),
        ("cell", 0, 1, True),
        ("zone", 0, 9, True),
    ],
)
def test_rule_2_for_a_plan_that_may_be_repeated_within_a_group(
    group: str, zone: int, after: int, broken: bool
) -> None:
    plan = book().plans[2]._replace(repeat=Repeat.WITHIN_GROUP, repeat_group=group)
    rules = book()._replace(plans=(*book().plans[:2], plan))
    hosts = [HostUp(0, 1, 30, False, 0, 1), HostUp(0, 2, 30, False, zone, 2)]
    tries = [came(1, plan=2), over(1.1), came(1 + after, 2, "p", 1, 2)]
    verdict = audit([GatewayIs(0, 0, "up"), *hosts, *tries], rules)
    assert verdict.rules == ([2] if broken else [])
    refused = audit([asked(1, plan=2), *hosts, *tries[:2], plays(1.3, status=503)], rules)
    assert refused.rules == ([2] if group != "all" else [])


@pytest.mark.parametrize(
    ("records", "broken"),
    [
        ([Told(S, 0, 1, "draining"), came(1.4)], False),
        ([Told(S, 0, 1, "draining"), came(2)], True),
        ([Told(S, 0, 1, "draining"), Told(int(1.6 * S), 0, 1, "gone"), came(2)], True),
        ([Told(S, 0, 1, "draining"), Told(int(1.6 * S), 0, 1, "ready"), came(2)], False),
        ([Told(S, 1, 1, "draining"), came(2)], False),
        (
            [Told(S, 0, 1, "gone"), GatewayIs(S, 0, "stopped"), GatewayIs(3 * S, 0, "continued"), came(3.1)],
            False,
        ),
        ([Told(S, 0, 1, "gone"), GatewayIs(S, 0, "down"), GatewayIs(2 * S, 0, "up"), came(3)], False),
    ],
)
def test_rule_3(records: list, broken: bool) -> None:
    assert judged(*records).rules == ([3] if broken else [])


@pytest.mark.parametrize(("count", "cold", "broken"), [(3, True, False), (4, True, True), (40, False, False)])
def test_rule_4_counts_all_gateways_together(count: int, cold: bool, broken: bool) -> None:
    # Two times 30 places over 5 s at three tenths, within 1 s: 3.6.
    sends = [came(10 + place / 50, 1, f"p{place}")._replace(gateway=place % 3) for place in range(count)]
    ups = [GatewayIs(0, 1, "up"), GatewayIs(0, 2, "up")]
    assert judged(*ups, HostUp(10 * S, 1, 30, cold), *sends).rules == ([4] if broken else [])


def test_rule_5_floors_and_seats() -> None:
    assert judged(came(1, plan=1, rung=0)).rules == [5]
    assert judged(came(1, plan=1), RungSet(2 * S, 1, 0, "p", 1, 0)).rules == [5]
    held = [came(1 + place / 10, 1, f"p{place}", plan=1) for place in range(7)]
    assert judged(*held[:6]).rules == [] and judged(*held).rules == [5]
    assert judged(*held[:6], over(2, 1, "p0"), came(3, 1, "p9", plan=1)).rules == []


def test_rule_6_counts_a_window_of_one_life() -> None:
    requests = [asked(1 + place / 10, place) for place in range(10)]
    tries = [came(2 + place / 10, place, f"p{place}", 1) for place in range(5)]
    assert judged(*requests, *tries[:4]).rules == []
    assert judged(*requests, *tries).rules == [6]
    restart = [GatewayIs(int(2.35 * S), 0, "down"), GatewayIs(int(2.36 * S), 0, "up")]
    assert judged(*requests, *tries, *restart).rules == []


def test_a_broken_rule_shows_its_traffic() -> None:
    broken = judged(asked(1), came(1.1), GaveUp(5 * S, 1)).broken[0]
    assert [line.split()[1] for line in broken.lines] == ["Asked", "GaveUp", "TryCame"]


# Scripts.


def test_every_kind_of_trouble_can_be_struck_and_ends_or_ends_by_itself() -> None:
    of_viewers = {kind for kind, one in KINDS.items() if one.strikes == "viewers"}
    assert set(BEGINS) | of_viewers == set(KINDS)
    assert set(KINDS) - of_viewers - set(ENDS) == {"restarts", "stalls", "all restart", "new version"}
    assert len({one.kind for one in STANDARD.troubles}) >= 8 and STANDARD.lasts < 60
    assert all(check(day) is day for day in DAYS.values())


def test_the_same_seed_strikes_the_same_things() -> None:
    hosts = list(range(100, 112))
    assert struck(hosts, 0.25, 5, 1) == struck(hosts, 0.25, 5, 1) and len(struck(hosts, 0.25, 5, 1)) == 3
    assert len({tuple(struck(hosts, 0.25, seed, 1)) for seed in range(20)}) > 10
    ends = list(edges(STANDARD))
    assert ends == sorted(ends, key=lambda one: one[0]) and len(ends) == 2 * len(STANDARD.troubles)


@pytest.mark.parametrize(
    ("trouble", "what"),
    [
        (Trouble("flood", 1, 1), "kind"),
        (Trouble("crash", 50, 1), "start"),
        (Trouble("crash", 1, 0), "lasts"),
        (Trouble("crash", 1, 1, 1.5), "part"),
        (Trouble("slow", 1, 1, 1, 0), "size"),
    ],
)
def test_a_script_that_cannot_be_played_is_refused_by_its_key(trouble: Trouble, what: str) -> None:
    with pytest.raises(NotADay, match=rf"troubles\[0\].*{what}"):
        check(Day("d", 10, (trouble,)))


def bench_day(**changes: object) -> bytes:
    troubles = [
        {"kind": "hang", "at": 2e6, "len": 3e6, "on": [0, 3]},
        {
            "kind": "preempt",
            "at": 4e6,
            "len": 5e6,
            "size": 1.5,
            "on": [],
            "steps": [{"stop": [1]}, {"stop": [2, 5]}],
        },
        {"kind": "balancer_stall", "at": 5e6, "len": 4e6, "size": 1200, "on": [0]},
        {"kind": "burst", "at": 1e6, "len": 2e6, "size": 1.7, "on": []},
        {"kind": "peer_down", "at": 1e6, "len": 2e6},
    ]
    whole = {"length": 12e6, "servers": [{}] * 10, "balancers": [{}] * 2, "troubles": troubles, "noise": 4}
    return msgspec.json.encode(whole | changes)


def test_a_bench_day_is_played_by_its_kinds() -> None:
    day, left_out = from_bench(bench_day())
    assert day.lasts == 12 and left_out == ["peer_down"]
    assert day.troubles == (
        Trouble("standstill", 2, 3, 0.2),
        Trouble("replaced", 4, 5, 0.3, 1, 1.5),
        Trouble("stalls", 5, 4, 0.5, 1.2),
        Trouble("burst", 1, 2, 1, 1.7),
    )
    assert {match.kind for match in MATCHES.values()} <= set(KINDS)


@pytest.mark.parametrize("text", [b"", b"{}", b"[1]", bench_day(length="long"), bench_day(length=9e9)])
def test_what_is_no_bench_day_is_refused(text: bytes) -> None:
    with pytest.raises(NotADay):
        from_bench(text)


def cli(*words: str) -> list[str]:
    return [sys.executable, "-m", "burlmast", *words]


async def play(*words: str) -> tuple[int, dict]:
    file = str(SAMPLES / "training.jsonnet")
    process = await asyncio.create_subprocess_exec(
        *cli("bad-day", "short", "--settings", file, "--json", *words), stdout=asyncio.subprocess.PIPE
    )
    out, _ = await asyncio.wait_for(process.communicate(), 120)
    return process.returncode or 0, msgspec.json.decode(out)


def test_a_bad_day_keeps_the_rules_and_each_planted_fault_is_named() -> None:
    async def run() -> list[tuple[int, dict]]:
        days = [
            play("--seed", "1"),
            play("--seed", "1"),
            *(play("--plant", str(rule)) for rule in range(1, 7)),
        ]
        return list(await asyncio.gather(*days))

    (code, clean), (again, twin), *planted = asyncio.run(run())
    assert code == 0 and clean["verdict"]["broken"] == []
    assert again == 0 and twin["verdict"]["broken"] == [], "the same seed, the same verdict"
    assert clean["verdict"]["asked"] > 100 and clean["verdict"]["plays"] > 50
    # The model plays the same crowd; on sockets troubles fall between other requests by milliseconds.
    deployment = read(SAMPLES / "training.jsonnet")
    modelled = model_play(ground(deployment), DAYS["short"], 1, Gateway, rulebook(deployment))
    assert modelled.players.viewers == clean["players"]["viewers"] == twin["players"]["viewers"]
    for one in (clean, twin):
        assert abs(one["verdict"]["service"] - modelled.verdict.service) < 0.15
        assert abs(one["verdict"]["plays"] - modelled.verdict.plays) < 0.12 * modelled.verdict.plays
        assert abs(one["players"]["watched"] - modelled.players.watched) < 0.1
    for rule, (code, found) in enumerate(planted, 1):
        named = {one["rule"] for one in found["verdict"]["broken"]}
        assert code == 1 and rule in named, (rule, named)


@pytest.mark.parametrize(
    ("text", "why"),
    [
        ("{", "template"),
        ("{name: 'x'}", "zones"),
        ("(import 'training.jsonnet') + {beat_ms: 'ten'}", "beat_ms"),
        ("(import 'training.jsonnet') + {beat: 10}", "beat"),
        ("(import 'training.jsonnet') + {beat_ms: -1}", "beat_ms"),
        ("(import 'training.jsonnet') + {ladder+: {earns: [1]}}", "ladder.earns"),
        ("(import 'training.jsonnet') + {ladder+: {rates_kb: [4, 3, 2, 1]}}", "ladder.rates_kb"),
        ("(import 'training.jsonnet') + {titles: [{name: 'a', home: 99, copies: 1}]}", "titles[0].home"),
        ("local t = import 'training.jsonnet'; t + {plans: [t.plans[0], t.plans[0]]}", "plans[1].name"),
        ("local t = import 'training.jsonnet'; t + {plans: [t.plans[0] + {floor: 9}]}", "plans[0].floor"),
        (
            "local t = import 'training.jsonnet'; t + {plans: [t.plans[0] + {abandon_ms: 1}]}",
            "plans[0].startup",
        ),
        ("import 'nothing.jsonnet'", "template"),
        ("error 'no'", "template"),
    ],
)
def test_wrong_settings_end_with_2_and_one_line(text: str, why: str, tmp_path: Path) -> None:
    for name in ("training.jsonnet", "base.libsonnet"):
        (tmp_path / name).write_text((SAMPLES / name).read_text())
    file = tmp_path / "wrong.jsonnet"
    file.write_text(text)
    done = subprocess.run(cli("check", str(file)), capture_output=True, text=True, timeout=60, check=False)
    assert done.returncode == 2 and not done.stdout
    assert done.stderr.startswith(f"{file}: {why}") and done.stderr.count("\n") == 1


def test_the_samples_are_read_as_they_are_printed() -> None:
    for file in sorted(SAMPLES.glob("*.jsonnet")):
        done = subprocess.run(cli("check", str(file)), capture_output=True, timeout=60, check=True)
        assert msgspec.json.decode(done.stdout)["name"] == file.stem
    assert (
        subprocess.run(cli("check", "/nowhere"), capture_output=True, timeout=60, check=False).returncode == 2
    )


def test_a_day_of_a_fleet_needs_desks_and_virtual_time_passes_its_troubles_over() -> None:
    assert DAYS["fleet"].of_fleet and not DAYS["standard"].of_fleet
    named = {one.kind for one in DAYS["fleet"].troubles}
    assert named >= {kind for kind, what in KINDS.items() if what.strikes in ("words", "desks")}
    day = Day("words", 3.0, (Trouble("cut off", 1, 1),))
    deployment = sample()
    played = model_play(ground(deployment), day, 1, Gateway, rulebook(deployment))
    assert not played.verdict.broken
