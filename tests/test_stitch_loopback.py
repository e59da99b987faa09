"""Notices on sockets: programmes by the operators' listener, restarts, holders that lack them."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import m3u8
import msgspec
import pytest
from click.testing import CliRunner
from mpegdash.parser import MPEGDASHParser
from town import Town, sample, town, until

from burlmast.cli import main
from burlmast.http1.client import Whole
from burlmast.settings.sheets import Title
from burlmast.standin.watch import watch
from burlmast.world.traffic import TryCame

JSON = ((b"content-type", b"application/json"),)
ASK = {"title": "unit-01", "plan": "explainer", "viewer": "v"}
# Cells 0 to 2 hold what is held at all.
RECORDINGS = (Title("legal@1", 0, 3), Title("legal@2", 0, 3), Title("jingle@1", 1, 1))


def deployment(**changes: object) -> object:
    told = {"edge__segment_ms": 200.0, "stand_ins__recordings": RECORDINGS, "edge__unheard_targets": 100.0}
    return sample(**(told | changes))


def notice(name: str = "legal", version: int = 1, **changes: object) -> dict:
    told = {"lasts_ms": 500, "rungs": [0, 1, 2, 3], "home": 0, "copies": 3, "must": True, "before": True}
    return {"name": name, "version": version, **told, **changes}


async def put(here: Town, version: int, *notices: dict) -> tuple[int, dict]:
    body = msgspec.json.encode({"version": version, "notices": notices})
    status, _, told = await Whole.of(here.pool, here.operators, b"PUT", b"/v1/programme", JSON, body)
    return status, msgspec.json.decode(told)


async def stocked(here: Town) -> None:
    notices = here.program.notices
    assert notices
    await until(lambda: all(one.state == "there" for one in notices.larder._all.values()))


class Player:
    """Reads playlists and keeps every segment that it ever saw."""

    def __init__(self, here: Town, public: str) -> None:
        self.here, self.public = here, public
        self.seen: dict[int, tuple[str, bool, float]] = {}

    async def look(self) -> bytes:
        status, raw = await self.here.get(f"/v1/playbacks/{self.public}/index.m3u8")
        assert status == 200
        found = m3u8.loads(raw.decode())
        for place, one in enumerate(found.segments):
            number = (found.media_sequence or 0) + place
            told = (str(one.uri), bool(one.discontinuity), float(one.duration))
            assert self.seen.setdefault(number, told) == told, "what was listed never changes"
        return raw

    async def until(self, count: int) -> None:
        for _ in range(400):
            await self.look()
            if len(self.seen) >= count:
                return
            await asyncio.sleep(0.02)
        raise AssertionError(f"{len(self.seen)} segments of {count}")

    def names(self) -> list[str]:
        assert sorted(self.seen) == list(range(len(self.seen))), "none is skipped"
        return [uri.split("/")[-3] + "/" + uri.split("/")[-1] for uri, *_ in self.seen.values()]


def test_a_notice_a_change_under_way_and_a_restart_are_one_stream(tmp_path: Path) -> None:
    async def run() -> None:
        async with town(deployment(), state=tmp_path) as here:  # type: ignore[arg-type]
            assert (await put(here, 1, notice(offsets_ms=[1000])))[0] == 200
            await stocked(here)
            status, told = await here.post(ASK)
            assert status == 201
            player = Player(here, told["playback"])
            await player.until(5)
            assert player.names()[:4] == [
                "legal%401/0.m4s",
                "legal%401/1.m4s",
                "legal%401/2.m4s",
                "unit-01/0.m4s",
            ]
            assert [one[2] for one in list(player.seen.values())[:4]] == [0.2, 0.2, 0.1, 0.2]
            status, piece = await here.get(player.seen[0][0])
            assert status == 200 and piece
            assert (await put(here, 1, notice()))[0] == 409
            changed = notice(version=2, offsets_ms=[1000])
            assert (
                await put(
                    here, 2, changed, notice("jingle", home=1, copies=1, offsets_ms=[2000], before=False)
                )
            )[0] == 200
            await player.until(12)
            # The process ends at once; another begins with what it kept.
            before = len(player.seen)
            here.program.close()
            await here.run(tmp_path)
            await stocked(here)
            assert (await here.get(f"/v1/playbacks/{player.public}/index.m3u8"))[0] == 404
            status, again = await here.post(ASK | {"resume": player.public})
            assert status == 201 and again["playback"] == player.public
            await player.until(before + 10)
            names = player.names()
            assert names.count("legal%401/0.m4s") == 1 and names.count("legal%402/0.m4s") == 1
            assert names.count("jingle%401/0.m4s") == 1
            content = [name for name in names if name.startswith("unit")]
            assert content == [f"unit-01/{n}.m4s" for n in range(len(content))]
            fresh = [bool(one[1]) for one in player.seen.values()]
            assert fresh[3] and sum(fresh) <= 6, "discontinuities at stitches and the restart alone"
            status, raw = await here.get(f"/v1/playbacks/{player.public}/manifest.mpd")
            assert status == 200 and MPEGDASHParser.parse(raw.decode()).periods
            assert (await here.post(ASK | {"resume": "unknown"}))[0] == 410
            status, told = await here.post(ASK | {"resume": player.public})
            assert status == 409 and "plays here" in told["error"]
            tries = [one for one in here.seen(TryCame) if one.playback == player.public]
            assert len(tries) == 2, "one in each life of the gateway"
            assert (await here.post(ASK | {"resume": player.public, "title": "unit-02"}))[0] == 409

    asyncio.run(run())
    done = CliRunner().invoke(main, ["notices", "heard", "--state", str(tmp_path), "--viewer", "v"])
    rows = [json.loads(line) for line in done.output.splitlines()]
    assert [(row["notice"], row["version"]) for row in rows] == [("legal", 1), ("legal", 2), ("jingle", 1)]
    assert CliRunner().invoke(main, ["notices", "heard", "--state", str(tmp_path / "no")]).exit_code == 2


def test_what_nobody_holds_is_left_out_or_the_request_is_rejected(tmp_path: Path) -> None:
    async def run() -> None:
        async with town(deployment(), state=tmp_path) as here:  # type: ignore[arg-type]
            may = notice("nowhere", must=False)
            assert (await put(here, 1, may, notice("gone", plans=["exam"])))[0] == 200
            notices = here.program.notices
            assert notices
            await until(lambda: all(one.state == "missing" for one in notices.larder._all.values()))
            status, told = await here.post(ASK | {"plan": "exam"})
            assert status == 503 and "the notice gone must be heard" in told["error"]
            status, told = await here.post(ASK)
            assert status == 201
            player = Player(here, told["playback"])
            await player.until(2)
            assert player.names()[0] == "unit-01/0.m4s"
            _, _, metrics = await Whole.of(here.pool, here.operators, b"GET", b"/metrics")
            assert b'burlmast_notices_total{what="left out nowhere"} 1.0' in metrics
            assert b'burlmast_notices_total{what="rejected for want of one"} 1.0' in metrics
            assert (await here.get("/v1/notices/gone%401/0/0.m4s"))[0] == 404

    asyncio.run(run())


def test_the_stand_in_player_plays_notices_from_the_gateway(tmp_path: Path) -> None:
    async def run() -> list[str]:
        async with town(deployment(), state=tmp_path) as here:  # type: ignore[arg-type]
            assert (await put(here, 1, notice()))[0] == 200
            await stocked(here)
            said: list[str] = []
            assert await watch(here.address, "unit-01", "explainer", 1.5, 3, said.append) == 0
            return said

    said = asyncio.run(run())
    kinds = [line.split(":")[0] for line in said if line.startswith(("notice", "segment"))]
    assert kinds[:4] == ["notice 0.m4s", "notice 1.m4s", "notice 2.m4s", "segment 0.m4s"]
    assert said[-1].startswith("over: stalls 0")


def test_a_holder_that_dies_while_it_gives_is_asked_no_more(tmp_path: Path) -> None:
    async def run() -> None:
        async with town(deployment(), state=tmp_path) as here:  # type: ignore[arg-type]
            holders = [one for one in here.fleet.hosts.values() if int(str(one.row["cell"])) < 3]
            for one in holders[1:]:
                here.fleet.drain(one.box.number)
            here.fleet.ail(holders[0].box.number, mute=True)
            await until(lambda: sum(one.ready for one in here.program.holders()) == len(here.fleet.hosts) - 2)
            assert (await put(here, 1, notice(rungs=[1])))[0] == 200
            notices = here.program.notices
            assert notices
            (recording,) = notices.larder._all.values()
            assert recording.state == "asking" and recording.asking == holders[0].box.number
            here.fleet.crash(holders[0].box.number)
            await until(lambda: recording.state == "missing")
            assert notices.larder.counts["asked"] == 1, "those that drain are not asked"
            fresh = await here.fleet.add(0, cold=True)
            here.list.changed([dict(fresh.row)])
            await until(lambda: recording.state == "there")

    asyncio.run(run())


def test_on_a_full_disk_playbacks_go_on_and_what_must_be_heard_is_not_begun(tmp_path: Path) -> None:
    async def run() -> None:
        async with town(deployment(), state=tmp_path) as here:  # type: ignore[arg-type]
            assert (await put(here, 1, notice(plans=["exam"])))[0] == 200
            await stocked(here)
            notices = here.program.notices
            assert notices
            base = notices.store._main
            base.execute(f"PRAGMA max_page_count = {base.execute('PRAGMA page_count').fetchone()[0]}")
            status, told = await here.post(ASK | {"viewer": "w" * 250})
            player = Player(here, told["playback"])
            long = [notice(f"n{n}", must=False) for n in range(300)]
            status, refused = await put(here, 2, *long)
            assert status == 507 and refused["in_force"]["version"] == 1
            notices.sound = False  # as the next write that fails would say
            status, lacking = await here.post(ASK | {"plan": "exam"})
            assert status == 503 and "legal" in lacking["error"]
            await player.until(8)
            base.execute("PRAGMA max_page_count = 100000")
            await until(lambda: notices.sound)
            assert (await here.post(ASK | {"plan": "exam"}))[0] == 201

    asyncio.run(run())


def test_a_programme_needs_a_state_and_a_form(tmp_path: Path) -> None:
    async def run() -> None:
        async with town(deployment()) as here:  # type: ignore[arg-type]
            assert (await put(here, 1))[0] == 404
        async with town(deployment(), state=tmp_path) as here:  # type: ignore[arg-type]
            status, told = await put(here, 1, notice(home=99))
            assert status == 400 and "notices[0].home" in told["error"]
            status, _, raw = await Whole.of(here.pool, here.operators, b"GET", b"/v1/programme")
            assert msgspec.json.decode(raw)["version"] == 0

    asyncio.run(run())


def test_a_state_that_cannot_be_used_ends_with_one_line(tmp_path: Path) -> None:
    (tmp_path / "gateway-0").write_text("a file where a folder should be")
    words = ["edge", "--settings", "deploy/samples/training.jsonnet", "--state", str(tmp_path)]
    done = CliRunner().invoke(main, words)
    assert done.exit_code == 1 and "gateway-0" in done.output


@pytest.mark.parametrize("text", ["{", '{"version": "x"}'])
def test_a_body_that_is_no_programme(tmp_path: Path, text: str) -> None:
    async def run() -> None:
        async with town(deployment(), state=tmp_path) as here:  # type: ignore[arg-type]
            status, _, _ = await Whole.of(
                here.pool, here.operators, b"PUT", b"/v1/programme", JSON, text.encode()
            )
            assert status == 400

    asyncio.run(run())
