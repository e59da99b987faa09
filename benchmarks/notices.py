"""Notices over sockets: 500 playbacks, holders that lack recordings, changes under way, two restarts.

Counts what a player would stall on at stitch points, segments twice or skipped, must-notices missed, steps
made at stitch points, and how long pieces wait for the disk.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import statistics
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))
sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

import m3u8
import msgspec
from town import Town, sample, until

from burlmast.http1.client import Whole
from burlmast.settings.scenes import rulebook
from burlmast.settings.sheets import Title
from burlmast.world.audit import audit
from burlmast.world.traffic import RungSet

JSON = ((b"content-type", b"application/json"),)
SEGMENT_S = 1.0


class Watcher:
    """A player of one playback, over restarts."""

    def __init__(self, here: Town, number: int, titles: list[str]) -> None:
        self.here, self.number, self.title = here, number, titles[number % len(titles)]
        self.public = ""
        self.seen: dict[int, tuple[str, float, bool]] = {}
        self.came: dict[int, float] = {}
        self.wrong = self.refused = 0

    async def ask(self) -> bool:
        body = {"title": self.title, "plan": "recorded", "viewer": f"v{self.number}", "resume": self.public}
        try:
            status, told = await self.here.post(body)
        except (ConnectionError, TimeoutError):
            return False
        self.refused += status not in (201, 409, 503)  # 409: it plays here still
        if status == 201:
            self.public = told["playback"]
        return status in (201, 409)

    async def play(self, until_: float) -> None:
        playing = False
        while time.monotonic() < until_:
            if not playing:
                playing = await self.ask()
                if not playing:
                    await asyncio.sleep(0.5)
                    continue
            try:
                status, raw = await self.here.get(f"/v1/playbacks/{self.public}/index.m3u8")
            except (ConnectionError, TimeoutError):
                playing = False
                continue
            if status != 200:
                playing = False
                continue
            now, found = time.monotonic(), m3u8.loads(raw.decode())
            for place, one in enumerate(found.segments):
                number = (found.media_sequence or 0) + place
                told = (str(one.uri), float(one.duration), bool(one.discontinuity))
                self.wrong += self.seen.setdefault(number, told) != told
                self.came.setdefault(number, now)
            await asyncio.sleep(SEGMENT_S / 2)

    def skipped(self) -> int:
        return max(self.seen, default=-1) + 1 - len(self.seen)

    def late_at_stitches(self, quiet: list[tuple[float, float]]) -> tuple[int, int]:
        """Stitch points, and those whose piece was listed later than a player that began with the first
        would need it; outside the times when the gateway was down."""
        stitches = late = 0
        need = None
        for number in sorted(self.seen):
            _, lasts, fresh = self.seen[number]
            came = self.came[number]
            down = any(start - 2 <= came <= end + 5 for start, end in quiet)
            if need is None or down:
                need = came + SEGMENT_S  # it begins with a segment in hand, anew after a restart
            if fresh and not down:
                stitches += 1
                late += came > need
            need = max(need, came) + lasts
        return stitches, late


def steps_at_stitches(one: Watcher, stepped: set[str], quiet: list[tuple[float, float]]) -> int:
    """Notices behind which a title goes on from the same host at another rung, in a playback that the
    decisions never stepped. One that was set up anew after a restart has a rung of its own."""
    if one.public in stepped:
        return 0
    steps, before, stitched, then = 0, ("", ""), False, 0.0
    for number in sorted(one.seen):
        uri = one.seen[number][0]
        if uri.startswith("/v1/notices/"):
            stitched = True
            continue
        now = (uri.split("/")[2], uri.split("/")[-2])
        anew = any(then <= end and one.came[number] >= start for start, end in quiet)
        steps += stitched and not anew and before[0] == now[0] and before[1] != now[1]
        before, stitched, then = now, False, one.came[number]
    return steps


async def put(here: Town, version: int, notices: list[dict]) -> int:
    body = msgspec.json.encode({"version": version, "notices": notices})
    status, _, _ = await Whole.of(here.pool, here.operators, b"PUT", b"/v1/programme", JSON, body)
    return status


def programme(version: int) -> list[dict]:
    common = {"lasts_ms": 2300, "rungs": [0, 1, 2], "home": 0, "copies": 3}
    return [
        {"name": "legal", "version": version, "must": True, "before": True, "offsets_ms": [6000], **common},
        {"name": "jingle", "version": 1, "every_ms": 9000, **common, "lasts_ms": 700},
        {"name": "nowhere", "version": 1, "every_ms": 7000, **common},
    ]


async def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--playbacks", type=int, default=500)
    parser.add_argument("--lasts", type=float, default=60.0)
    found = parser.parse_args()
    versions = range(1, 40)
    recordings = (*(Title(f"legal@{n}", 0, 3) for n in versions), Title("jingle@1", 2, 1))
    one = sample(
        "recordings",
        edge__segment_ms=SEGMENT_S * 1000,
        edge__unheard_targets=60.0,
        stand_ins__recordings=recordings,
        fleet__streams_by_kind=(200,),
        fleet__link_kb=90000.0,
        fleet__uplink_kb=400000.0,
    )
    here = Town(one)
    with tempfile.TemporaryDirectory() as folder:
        await here.start(state=Path(folder))
        assert await put(here, 1, programme(1)) == 200
        await asyncio.sleep(1.5)
        began = time.monotonic()
        end = began + found.lasts
        watchers = [Watcher(here, number, [t.name for t in one.titles]) for number in range(found.playbacks)]
        tasks = []
        for watcher in watchers:
            tasks.append(asyncio.ensure_future(watcher.play(end)))
            await asyncio.sleep(8.0 / found.playbacks)
        quiet, stalls, version = [], [], 1
        for turn in range(8):
            await until(lambda turn=turn: time.monotonic() >= began + found.lasts * (turn + 2) / 10, 60)
            if turn in (2, 5):
                stalls.append(here.program.longest_stall)
                down = time.monotonic()
                here.program.close()
                await asyncio.sleep(0.5)
                await here.run(Path(folder))
                quiet.append((down, time.monotonic()))
            else:
                version += 1
                assert await put(here, version, programme(version)) == 200
        await asyncio.gather(*tasks)
        stalls.append(here.program.longest_stall)
        notices = here.program.notices
        assert notices is not None
        rows = list(notices.store.heard())
        points: dict[str, set[str]] = {}
        for row in rows:
            points.setdefault(row.playback, set()).add(row.point)
        played = [one for one in watchers if one.seen]
        missed = sum("legal before" not in points.get(one.public, set()) for one in played)
        stitches = [one.late_at_stitches(quiet) for one in played]
        print(f"{os.cpu_count()} cores, Python {sys.version.split()[0]}, {found.lasts:.0f} s, two restarts")
        print(f"playbacks {len(played)} of {found.playbacks}, changes of programme {version - 1}")
        print(f"segments seen {sum(len(one.seen) for one in played)}, notices heard {len(rows)}")
        print(f"stitch points {sum(n for n, _ in stitches)}, late for a player {sum(n for _, n in stitches)}")
        print(f"segments changed after listing {sum(one.wrong for one in played)}")
        print(f"segments skipped {sum(one.skipped() for one in played)}, must-notices missed {missed}")
        stepped = {record.playback for record in here.seen(RungSet)}
        steps = sum(steps_at_stitches(one, stepped, quiet) for one in played)
        print(f"steps at stitch points that nothing decided {steps}; playbacks stepped {len(stepped)}")
        verdict = audit(here.records, rulebook(one))
        print(f"rules broken, by what hosts saw: {[rule for rule in verdict.rules if rule != 1]}")
        for broken in verdict.broken[:3]:
            print(broken.rule, broken.what, *broken.lines, sep="\n    ")
        print(f"answers that are no 201, 409 or 503: {sum(one.refused for one in watchers)}")
        print(f"longest stall of the loop {max(stalls) * 1000:.0f} ms")
        waits = notices.waits
        middle, most = statistics.median(waits) * 1000, max(waits) * 1000
        print(f"from draft to disk, median {middle:.1f} ms, most {most:.1f} ms")
        here.program.close()
    here.fleet.close()
    here.list.close()
    here.pool.close()


if __name__ == "__main__":
    asyncio.run(main())
