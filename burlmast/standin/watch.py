"""One viewer that plays what its playlist names and says what it sees."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import m3u8
import msgspec

from burlmast.http1.client import Address, Pool, Whole
from burlmast.standin.viewer import JSON, Told, where


class Player:
    """A buffer that fills with segments and drains by the clock; seconds."""

    def __init__(self) -> None:
        self.buffer = 0.0
        self.stalls = 0
        self.stalled_s = 0.0
        self._next = -1
        self._at = time.monotonic()

    def drain(self) -> None:
        """Play what the clock says has been played."""
        now = time.monotonic()
        passed, self._at = now - self._at, now
        if passed > self.buffer and self._next >= 0:
            self.stalls += self.buffer > 0
            self.stalled_s += passed - self.buffer
        self.buffer = max(0.0, self.buffer - passed)

    def wants(self, playlist: m3u8.M3U8) -> list[m3u8.Segment]:
        """Segments not yet fetched, oldest first."""
        first = playlist.media_sequence or 0
        found = []
        for place, segment in enumerate(playlist.segments):
            if first + place > self._next:
                found.append(segment)
                self._next = first + place
        return found


async def watch(
    gateway: Address, title: str, plan: str, lasts: float, top: int, say: Callable[[str], object]
) -> int:
    """Play for so many seconds; 0 where it played, 1 where it did not."""
    pool = Pool()
    body = msgspec.json.encode({"title": title, "plan": plan, "viewer": "watch", "top": top, "lasts": lasts})
    try:
        status, _, raw = await Whole.of(pool, gateway, b"POST", b"/v1/playbacks", JSON, body, within=30)
        if status != 201:
            say(f"{status}: {raw.decode('utf-8', 'replace').strip()}")
            return 1
        told: Told = msgspec.json.decode(raw, type=Told)
        say(f"plays: playback {told.playback}, rung {told.rung}")
        return await _play(pool, gateway, told, lasts, say)
    except (ConnectionError, TimeoutError) as why:
        say(f"no answer: {why}")
        return 1
    finally:
        pool.close()


async def _play(pool: Pool, gateway: Address, told: Told, lasts: float, say: Callable[[str], object]) -> int:
    player, until, over = Player(), time.monotonic() + lasts, False
    target = told.manifest.encode("ascii")
    while not over and time.monotonic() < until:
        status, _, text = await Whole.of(pool, gateway, b"GET", target)
        if status != 200:
            say(f"the playlist is gone: {status}")
            return 1
        playlist = m3u8.loads(text.decode("utf-8"))
        over = bool(playlist.is_endlist)
        for segment in player.wants(playlist):
            place, path = where(str(segment.uri), gateway)
            status, _, data = await Whole.of(pool, place, b"GET", path.encode("ascii"), within=10)
            player.drain()
            player.buffer += float(segment.duration) if status == 200 else 0.0
            rung, kind = path.split("/")[-2], "notice" if path.startswith("/v1/notices/") else "segment"
            number, source = path.rsplit("/", 1)[1], f"{place[0]}:{place[1]}"
            say(
                f"{kind} {number}: rung {rung}, from {source}, {len(data)} bytes, "
                f"buffer {player.buffer:.1f} s, stalls {player.stalls}"
            )
        player.drain()
        await asyncio.sleep(max(0.0, min(0.5, until - time.monotonic())))
    await Whole.of(pool, gateway, b"DELETE", target.rpartition(b"/")[0])
    say(f"over: stalls {player.stalls}, {player.stalled_s:.1f} s in all")
    return 0
