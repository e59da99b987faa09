"""The gateway on the platform, on loopback: what viewers and hosts see of it when things fail."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from platform_standin import (
    EXTRAS,
    GIVEN,
    ID,
    SETTINGS,
    Host,
    Line,
    Platform,
    answer,
    platform,
    playing,
    release,
    run,
    set_ups,
    until,
)  # fmt: skip

from burlmast.node import frames
from burlmast.node.frames import Frame, frame

OTHER = "00000000000000aa"
SESSION = int(ID, 16)


def test_a_set_up_goes_to_a_host_unchanged_and_its_answer_comes_back_unchanged(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        line = await one.line()
        line.set_up()
        assert await line.hear() == {"type": "answer", "id": ID, "fields": {}, "sdp": GIVEN}
        (sent,) = one.host_of().of(frames.SETUP)
        told = sent.parameters
        assert told[frames.CLASS] == b"paid" and told[frames.TITLE] == b"7f3a"
        assert sent.description == "ask\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n"
        assert 0 < int(told[frames.WAIT]) <= 1000 and told[frames.RUNG] in (b"0", b"1")
        line.say("release")
        await until(lambda: one.host_of().of(frames.RELEASE))
        assert not one.program.listener.known and not one.program.driver.held and not one.program.driver.shown

    run(work, tmp_path)


@pytest.mark.parametrize("silent", [False, True])
def test_tests_are_passed_once_the_list_is_settled_or_the_name_server_says_nothing(
    tmp_path: Path, silent: bool
) -> None:
    async def work(one: Platform) -> None:
        if silent:
            one.names.spoil = lambda raw: None
        line = await one.line()
        line.say("ping", "00")
        assert await line.hear() == {"type": "pong", "id": "00", "fields": {}, "cause": 0}
        line.set_up()
        assert (await line.hear())["type"] == "answer", "what comes all the same is served"
        await until(lambda: one.program.listener.ready)
        line.say("ping", "00")
        assert (await line.hear())["cause"] == 1
        assert one.names.asked

    run(work, tmp_path)


def test_an_end_is_told_on_the_connection_that_asked(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        line, host = await playing(one)
        silent, _ = await playing(one, OTHER)  # asked once, and listens no more
        host.links[0].write(release(SESSION, 16))
        assert (await line.hear())["cause"] == 16
        assert silent.reader.at_eof() is False

    run(work, tmp_path)


def test_an_end_that_crosses_a_close_is_told_on_another_connection(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        line, host = await playing(one)
        other, _ = await playing(one, OTHER)
        line.writer.transport.abort()
        host.links[0].write(release(SESSION, 16))
        assert (await other.hear())["id"] == ID

    run(work, tmp_path)


def test_an_end_that_finds_no_connection_waits_for_the_next(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        line, host = await playing(one)
        line.writer.close()
        await until(lambda: not one.program.listener.viewers)
        host.links[0].write(release(SESSION, 41))
        await until(lambda: one.program.listener.ends.pending)
        assert (await (await one.line()).hear())["id"] == ID

    run(work, tmp_path)


def test_a_lost_connection_ends_nothing_that_stands_and_a_refused_one_does(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        line, host = await playing(one)
        host.links[0].transport.abort()
        await until(lambda: len(host.links) == 1 and ID in one.program.listener.known)
        host.die()
        assert await line.hear() == {"type": "release", "id": ID, "fields": {}, "cause": 41}

    run(work, tmp_path)


def test_one_connection_reset_shows_that_a_process_is_dead_though_others_stay_open(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        line, host = await playing(one)
        known = next(h for h in one.program.hosts.hosts.values() if h.name == host.name)
        known.watch = lambda now: None  # type: ignore[method-assign]
        known.dial()
        await until(lambda: len(host.links) == 2)
        assert host.server is not None
        host.server.close()
        host.links[0].transport.abort()
        assert (await line.hear())["cause"] == 41
        assert len(host.links) == 1, "the other is open yet"

    run(work, tmp_path)


def test_what_stands_where_no_connection_is_left_and_none_comes_up_is_over(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        line, host = await playing(one)
        known = next(h for h in one.program.hosts.hosts.values() if h.name == host.name)
        known.dial = lambda *_, **__: None  # type: ignore[method-assign]
        host.die()
        await until(lambda: not known.connections)
        known.unreachable(False)
        assert ID in one.program.listener.known, "one connection that does not come up proves nothing"
        known.unreachable(False)
        assert (await line.hear())["cause"] == 41

    run(work, tmp_path)


def test_what_stands_at_a_draining_host_that_refuses_plays_on_until_the_list_drops_it(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        line, host = await playing(one)
        known = next(h for h in one.program.hosts.hosts.values() if h.name == host.name)
        one.names.serial += 1
        one.names.rows[host.name] = host.port, 1
        await until(lambda: known.draining)
        host.die()
        await until(lambda: known.failures >= 2)
        assert ID in one.program.listener.known
        one.names.serial += 1
        del one.names.rows[host.name]
        assert (await line.hear())["cause"] == 41

    run(work, tmp_path)


def test_what_stands_at_a_host_that_the_list_drops_is_over_though_its_connections_stay_open(
    tmp_path: Path,
) -> None:
    async def work(one: Platform) -> None:
        line, host = await playing(one)
        one.names.serial += 1
        del one.names.rows[host.name]
        assert (await line.hear())["cause"] == 41
        await until(lambda: not host.links)

    run(work, tmp_path)


SPOILT: dict[str, Callable[[Frame], bytes]] = {
    "noise": lambda m: b"\xff\x00" * 40,
    "an impossible length": lambda m: b"\x00\x03\x09" + b"\x00" * 8,
    "3 GB": lambda m: b"\xff\xff\x09" + b"\x00" * 60_000,
    "a parameter past the end": lambda m: (8 + 1 + 3).to_bytes(2, "big") + b"\x09"
    + m.session.to_bytes(8, "big") + b"\x2e\xff\xff",
    "an answer without a description": lambda m: frame(frames.ANSWER, m.session, {}),
    "half an answer": lambda m: answer(m)[:-4],
    "an error": lambda m: release(m.session, 47),
    "a reset": lambda m: release(m.session, 41),
    "full": lambda m: release(m.session, 34),
    "silence": lambda m: b"",
}  # fmt: skip


@pytest.mark.parametrize("what", SPOILT)
def test_a_spoilt_answer_costs_its_own_set_up_alone(tmp_path: Path, what: str) -> None:
    async def work(one: Platform) -> None:
        first: list[Frame] = []

        def once(message: Frame) -> bytes:
            first.append(message)
            return SPOILT[what](message) if len(first) == 1 else answer(message)

        line, host = await playing(one, "00000000000000cc")  # a connection is open
        host.does = once
        line.set_up()
        line.set_up(OTHER)
        told = [await line.hear(), await line.hear()]
        kinds = {m["id"]: m["type"] for m in told}
        # A host that let a set-up run out of time counts as cold, and is the only one here.
        assert kinds == {
            OTHER: "answer",
            ID: "release" if what in ("half an answer", "silence") else "answer",
        }
        assert all(m["sdp"] == GIVEN for m in told if m["type"] == "answer")
        assert [m.session for m in host.of(frames.SETUP)].count(int(OTHER, 16)) == 1

    run(work, tmp_path, 1)


def test_second_copies_and_answers_ahead_change_nothing(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        for host in one.hosts:
            host.does = lambda m: answer(m._replace(session=77)) + answer(m) + answer(m)
        line = await one.line()
        line.set_up()
        assert (await line.hear())["type"] == "answer"
        line.say("ping", "00")
        assert (await line.hear())["type"] == "pong"

    run(work, tmp_path)


def test_a_playback_handed_over_gets_no_answer_and_its_end_is_told(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        line = await one.line()
        for _ in range(2):
            line.set_up(extras=f"{EXTRAS};at:{one.hosts[1].name}", left="0")
        await until(lambda: one.hosts[1].links)
        assert len(one.program.driver.held) == 1
        one.hosts[1].links[0].write(release(SESSION, 16))
        assert await line.hear() == {"type": "release", "id": ID, "fields": {}, "cause": 16}
        assert not one.program.driver.held and not one.hosts[1].of(frames.SETUP)

    run(work, tmp_path)


WRONG: dict[str, dict[str, str]] = {
    "unknown plan": {"class": "gold"},
    "no time": {"left": "-5"},
    "a time that is no number": {"left": "nan"},
    "a time beyond all": {"left": "1e18"},
    "a figure that is no number": {"extras": "home:x;copies:4;top:1;viewer:1"},
    "a figure out of range": {"extras": "home:0;copies:4;top:1e300;viewer:1"},
    "a figure twice": {"extras": "home:0;home:1;copies:4;top:1;viewer:1"},
    "no title": {"key": "../../etc"},
    "an endless viewer": {"extras": f"home:0;copies:4;top:1;viewer:{'f' * 9000}"},
}


@pytest.mark.parametrize("what", WRONG)
def test_a_set_up_of_wrong_form_is_refused_and_never_reaches_a_host(tmp_path: Path, what: str) -> None:
    async def work(one: Platform) -> None:
        line = await one.line()
        line.set_up(**WRONG[what])
        assert (await line.hear()).get("type") == "release"
        line.set_up(OTHER)
        assert (await line.hear())["type"] == "answer"
        assert not any(m.session == SESSION for host in one.hosts for m in host.heard)

    run(work, tmp_path)


UNREADABLE = {
    "HTTP": b"GET / HTTP/1.1\r\n\r\n",
    "no id": b'{"type":"setup"}\n',
    "a wrong id": b'{"type":"setup","id":"zz"}\n',
    "no end": b"x" * 60_000,
    "deep": b"[" * 9000 + b"\n",
    "an odd type": b'{"type":"dance","id":"00"}\n',
    "no text": b"\xff\xfe\n",
    "nothing": b"",
    "half": b'{"type":',
}


@pytest.mark.parametrize("what", UNREADABLE)
def test_what_cannot_be_read_is_closed_in_time_and_others_play(tmp_path: Path, what: str) -> None:
    async def work(one: Platform) -> None:
        bad = await one.line()
        bad.raw(UNREADABLE[what])
        line, _ = await playing(one)
        async with asyncio.timeout(3):
            assert await bad.hear() == {}
        line.say("ping", "00")
        assert (await line.hear())["type"] == "pong"

    run(work, tmp_path)


def test_two_set_ups_under_one_id_end_in_one_refusal_and_play_nowhere(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        for host in one.hosts:
            host.does = lambda m: b""
        line = await one.line()
        line.set_up()
        line.set_up()
        line.say("ping", "00")
        assert [(await line.hear())["type"], (await line.hear())["type"]] == ["release", "pong"]
        assert not one.program.driver.held

    run(work, tmp_path)


def test_silent_connections_are_closed_for_room_and_never_what_is_asked(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        for host in one.hosts:
            host.does = lambda m: b""
        line = await one.line()
        line.set_up()
        crowd = [await one.line() for _ in range(one.program.configuration.parts.viewers + 20)]
        await until(lambda: one.program.listener.counts["closed for room"] >= 20)
        for host in one.hosts:
            host.does = answer
        assert (await line.hear())["id"] == ID
        assert len(one.program.listener.viewers) <= one.program.configuration.parts.viewers and crowd

    run(work, tmp_path)


def test_who_comes_to_a_door_full_of_those_who_asked_once_is_served(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        usual, _ = await playing(one)
        usual.set_up(OTHER)
        assert (await usual.hear())["type"] == "answer"
        room = one.program.configuration.parts.viewers
        crowd = [(await playing(one, f"{n:016x}"))[0] for n in range(0x100, 0x100 + room)]
        newcomer = await one.line()
        await until(lambda: one.program.listener.counts["closed for room"] >= 2)
        newcomer.set_up("00000000000000dd")
        usual.set_up("00000000000000ee")
        assert (await newcomer.hear())["type"] == (await usual.hear())["type"] == "answer"
        assert len(one.program.listener.viewers) == room == len(crowd)

    run(work, tmp_path)


def test_a_viewer_that_gives_up_is_answered_no_more_and_its_host_hears_of_it(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        for host in one.hosts:
            host.does = lambda m: b""
        line = await one.line()
        line.set_up()
        await until(lambda: any(host.of(frames.SETUP) for host in one.hosts))
        line.say("release", cause=16)
        line.say("ping", "00")
        assert (await line.hear())["type"] == "pong"
        await until(lambda: one.host_of().of(frames.RELEASE))
        assert not one.program.driver.held

    run(work, tmp_path)


def test_nothing_answers_and_the_one_refusal_comes_in_time(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        for host in one.hosts:
            host.does = lambda m: b""
        line = await one.line()
        line.set_up(left="600")
        async with asyncio.timeout(0.65):
            assert (await line.hear())["cause"] == 34
        assert sum(len(host.of(frames.SETUP)) for host in one.hosts) <= 3

    run(work, tmp_path)


def test_the_name_server_is_followed_through_spoilt_answers_and_to_a_new_address(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        new = Host("s-new")
        await new.start()
        spoilt = iter(
            [lambda raw: None, lambda raw: raw[:30], lambda raw: b"\x00\x00" + raw[2:],
             lambda raw: raw[:3] + b"\x82" + raw[4:], lambda raw: raw[:12] + b"\xc0\x0c" * 40]
        )  # fmt: skip
        one.names.spoil = lambda raw: next(spoilt, lambda raw: raw)(raw)
        one.names.serial, one.names.rows["s-new"] = 2, (new.port, 0)
        await until(lambda: "s-new" in one.program.roster.entries)
        one.names.serial = 1
        del one.names.rows["s-new"]
        asked = one.names.asked
        await until(lambda: one.names.asked > asked + 1)
        assert "s-new" in one.program.roster.entries, "an older list counts for nothing"
        later = type(one.names)()
        later.serial, later.rows = 3, {one.hosts[0].name: (one.hosts[0].port, 1)}
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: later, ("127.0.0.1", 0))
        one.write(transport.get_extra_info("sockname")[1])
        one.names.transport.close()
        one.program.read_again()
        await until(lambda: one.program.roster.serial == 3)
        assert list(one.program.roster.entries) == [one.hosts[0].name]
        one.path.write_text("{")
        one.program.read_again()
        transport.close()
        new.die()

    run(work, tmp_path)


def test_a_fall_of_the_decisions_answers_what_is_held_and_the_gateway_serves_on(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        line, _ = await playing(one)

        def fall(*_: object) -> list:
            raise RuntimeError("planted")

        one.program.driver.policy.take = fall  # type: ignore[method-assign]
        line.set_up(OTHER)
        told = [await line.hear(), await line.hear()]
        assert {(m["id"], m["type"]) for m in told} == {(ID, "release"), (OTHER, "release")}
        line.set_up("00000000000000bb")
        assert (await line.hear())["type"] == "answer"

    run(work, tmp_path)


PAID = {
    **SETTINGS,
    "weights": "nominal",
    "requestClasses": [
        {"credit": 3.0, "goalTimeMs": 400.0, "hardLimitMs": 1500.0, "semantics": "once", "name": "lesson"},
        {"credit": 1.0, "goalTimeMs": 400.0, "hardLimitMs": 1500.0, "semantics": "repeatable",
         "name": "clip"},
    ],
    "familyInfo": {
        **SETTINGS["familyInfo"], "classFloor": [1, 0], "classTop": [1, 1], "classSeats": [2, 0],
        "classLive": [True, False], "scaleByClass": [1.2, 0.7], "stallCost": 7.0, "refusesFrom": 1.0,
    },
    "allowed": {**SETTINGS["allowed"], "probes": False},
    "rules": {**SETTINGS["rules"], "freeResends": 1, "resendRatio": 0.0, "ratioSpanMs": 60000.0},
    "report": {"source": "pull", "fields": ["cpu_share", "x1"]},
}  # fmt: skip
REFUSED = (34, 42, 102)  # trying again is harmless


def test_the_process_keeps_floor_seats_paid_set_ups_and_budget(tmp_path: Path) -> None:
    async def serve(one: Platform, line: Line) -> None:
        async def ask(number: int, plan: str, key: str = "7f3a") -> dict[str, Any]:
            line.set_up(f"{number:016x}", **{"class": plan, "key": key})
            return await line.hear()

        def tries(number: int) -> list[Frame]:
            return [sent for host in one.hosts for sent in host.of(frames.SETUP) if sent.session == number]

        # Seats: two of a title, and a third of another title alone; the rung is the floor or more.
        assert [(await ask(number, "lesson"))["type"] for number in (1, 2)] == ["answer", "answer"]
        assert all(tries(number)[0].parameters[frames.RUNG] == b"1" for number in (1, 2))
        full = await ask(3, "lesson")
        assert full["type"] == "release" and full["cause"] in REFUSED and not tries(3)
        assert (await ask(4, "lesson", "7f3b"))["type"] == "answer"
        line.say("release", f"{1:016x}")
        await until(lambda: any(host.of(frames.RELEASE) for host in one.hosts))
        assert (await ask(5, "lesson"))["type"] == "answer"
        # A paid set-up that may have run is neither sent again nor refused.
        for host in one.hosts:
            host.does = lambda message: release(message.session, 41)
        broken = await ask(6, "lesson", "7f3c")
        assert broken["type"] == "release" and broken["cause"] not in REFUSED and len(tries(6)) == 1
        # One that never ran is sent again, on the one further try of this minute; then none is left.
        for host in one.hosts:
            host.does = lambda message: release(message.session, 34)
        turned = await ask(7, "lesson", "7f3d")
        assert turned["cause"] in REFUSED and len(tries(7)) == 2
        assert (await ask(8, "clip"))["cause"] in REFUSED and len(tries(8)) == 1
        assert not any(host.of(frames.PING) for host in one.hosts), "no probes are allowed here"

    async def whole() -> None:
        async with platform(tmp_path, settings=PAID) as one:
            process = subprocess.Popen(
                [sys.executable, "-m", "burlmast.node"],
                stderr=subprocess.PIPE, env={**os.environ, "ROUTER_CONFIG": str(one.path)},
            )  # fmt: skip
            try:
                assert process.stderr is not None
                said = await asyncio.to_thread(process.stderr.readline)
                port = int(said.rpartition(b":")[2])
                line = Line(*await asyncio.open_connection("127.0.0.1", port))
                await serve(one, line)
                line.writer.close()
            finally:
                process.kill()
                process.wait()

    asyncio.run(whole())


@pytest.mark.parametrize("figures", [{"classSeats": [-1, 0]}, {"classFloor": [5, 0]}])
def test_bad_figures_end_the_process_with_one_line(tmp_path: Path, figures: dict[str, list[int]]) -> None:
    async def write() -> None:
        family = {**PAID["familyInfo"], **figures}
        async with platform(tmp_path) as one:
            one.changes["settings"] = {**PAID, "familyInfo": family}
            one.write(9)

    asyncio.run(write())
    bad = subprocess.run(
        [sys.executable, "-m", "burlmast.node"], capture_output=True, timeout=20, check=False,
        env={**os.environ, "ROUTER_CONFIG": str(tmp_path / "config.json")},
    )  # fmt: skip
    assert bad.returncode == 2 and bad.stderr.count(b"\n") == 1
    assert next(iter(figures)).encode() in bad.stderr


def test_the_process_serves_through_its_signals_and_names_what_is_wrong(tmp_path: Path) -> None:
    def start(**variables: str) -> subprocess.Popen[bytes]:
        return subprocess.Popen(
            [sys.executable, "-m", "burlmast.node"], stderr=subprocess.PIPE, env={**os.environ, **variables}
        )

    for variables in ({}, {"ROUTER_CONFIG": str(tmp_path / "none.json")}):
        bad = start(**variables)
        _, said = bad.communicate(timeout=20)
        assert bad.returncode == 2 and said.count(b"\n") == 1

    async def work(one: Platform) -> None:
        other = start(ROUTER_CONFIG=str(one.path), ROUTER_NAME="n7")
        try:
            assert other.stderr is not None
            said = await asyncio.to_thread(other.stderr.readline)
            port = int(said.rpartition(b":")[2])
            line = Line(*await asyncio.open_connection("127.0.0.1", port))
            for one_signal in (signal.SIGHUP, signal.SIGTERM):
                other.send_signal(one_signal)
                line.say("ping", "00")
                assert (await line.hear())["type"] == "pong"
            line.set_up()
            assert (await line.hear())["type"] == "answer"
            assert other.poll() is None
            line.writer.close()
        finally:
            other.kill()
            other.wait()

    run(work, tmp_path)
    assert json.loads((tmp_path / "config.json").read_text())["name"] == "n0"


def test_a_set_up_given_up_on_a_connection_that_is_leaving_is_released_at_its_host(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        for host in one.hosts:
            host.does = lambda message: b""
        line = await one.line()
        line.set_up()
        await until(lambda: set_ups(one))
        asked, _ = set_ups(one)[0]
        for each in one.program.hosts.hosts.values():
            for connection in list(each.connections):
                connection.retire()
        line.say("release", cause=16)
        await until(lambda: asked.of(frames.RELEASE))

    run(work, tmp_path)
