"""A stand-in viewer: asks for a playback, follows its playlist, comes again after a rejection or a break."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress
from typing import NamedTuple

import msgspec
from http_sfv.dictionary import Dictionary

from burlmast.http1.client import Address, Call, Failure, Pool, Whole
from burlmast.http1.messages import Headers
from burlmast.world.traffic import Answered, Asked, GaveUp, Lost, Record
from burlmast.world.visitor import Visitor

JSON: Headers = ((b"content-type", b"application/json"),)
SECOND = 1_000_000_000


class Wish(NamedTuple):
    """What a viewer wants; seconds, but for `patience` in nanoseconds."""

    title: str
    plan: str
    plan_number: int
    viewer: str
    top: int
    lasts: float
    patience: int


class Told(msgspec.Struct):
    """A gateway's answer."""

    playback: str = ""
    manifest: str = ""
    rung: int = 0
    error: str = ""
    retry_after_ms: int = 0


class Answer(NamedTuple):
    """What a viewer heard: status 0 for nothing, -1 for no connection."""

    status: int
    told: Told


class Asking:
    """Hears the answer to one request."""

    def __init__(self) -> None:
        self.future: asyncio.Future[tuple[int, bytes] | Failure] = asyncio.get_running_loop().create_future()
        self._status = 0
        self._body = bytearray()

    def answered(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        self._status = status

    def came(self, data: bytes) -> None:
        self._body += data

    def ended(self) -> None:
        if not self.future.done():
            self.future.set_result((self._status, bytes(self._body)))

    def failed(self, failure: Failure, why: str) -> None:
        if not self.future.done():
            self.future.set_result(failure)


class Viewers:
    """Viewers of one day; what they see is recorded."""

    SLACK_S = 0.6  # a viewer waits so much longer, so that a late answer is seen to be late

    def __init__(self, pool: Pool, record: Callable[[Record], None] = lambda record: None) -> None:
        self.pool, self.record = pool, record
        self._requests = 0

    async def ask(self, gateway: int, address: Address, wish: Wish, returned: bool) -> Answer:
        """One request and its one answer."""
        self._requests += 1
        request = self._requests
        body = {
            "title": wish.title,
            "plan": wish.plan,
            "viewer": wish.viewer,
            "top": wish.top,
            "lasts": wish.lasts,
            "returned": returned,
        }
        hearing = Asking()
        now = time.monotonic_ns()
        self.record(Asked(now, request, gateway, wish.plan_number, wish.title, wish.top, wish.patience))
        call: Call = self.pool.call(
            address, b"POST", b"/v1/playbacks", hearing, JSON, msgspec.json.encode(body)
        )
        try:
            async with asyncio.timeout(wish.patience / 1e9 + self.SLACK_S):
                heard = await hearing.future
        except TimeoutError:
            call.cancel()
            self.record(GaveUp(time.monotonic_ns(), request))
            return Answer(0, Told())
        now = time.monotonic_ns()
        if isinstance(heard, Failure):
            self.record(Lost(now, request, heard is not Failure.NO_CONNECTION))
            return Answer(-1 if heard is Failure.NO_CONNECTION else 0, Told())
        status, raw = heard
        try:
            told: Told = msgspec.json.decode(raw, type=Told)
        except msgspec.MsgspecError:
            told = Told()
        self.record(Answered(now, request, status, told.playback, told.rung))
        return Answer(status, told)

    async def follow(self, address: Address, told: Told, visitor: Visitor, every: float) -> str:
        """Play until the player is over or its stream is: `done` or `broke`.

        Each look fetches the playlist and the newest segment that it names; the segment's answer says what
        part of its rate the stream gets.
        """
        target = told.manifest.encode("ascii")
        visitor.begins(time.monotonic_ns(), told.rung, 1.0)
        while not visitor.player.over:
            try:
                status, _, playlist = await Whole.of(self.pool, address, b"GET", target, within=8.0)
            except (ConnectionError, TimeoutError):
                return "broke"
            if status != 200 or b"#EXT-X-ENDLIST" in playlist:
                return "broke"
            rung, share = await self._newest(address, playlist)
            visitor.sees(time.monotonic_ns(), told.rung if rung is None else rung, share)
            due = (visitor.player.due - time.monotonic_ns()) / SECOND
            await asyncio.sleep(max(0.0, min(every, due)))
            visitor.player.pass_to(time.monotonic_ns())
        with suppress(ConnectionError, TimeoutError):
            await Whole.of(self.pool, address, b"DELETE", target.rpartition(b"/")[0], within=2.0)
        return "done"

    async def _newest(self, gateway: Address, playlist: bytes) -> tuple[int | None, float]:
        """The rung of the playlist's newest segment, and the share that its host tells; 0 from one that does
        not answer."""
        lines = [line for line in playlist.splitlines() if line and not line.startswith(b"#")]
        if not lines:
            return None, 1.0
        place, path = where(lines[-1].decode("ascii"), gateway)
        rung = int(path.split("/")[-2])
        try:
            status, headers, _ = await Whole.of(self.pool, place, b"GET", path.encode("ascii"), within=1.0)
        except (ConnectionError, TimeoutError):
            return rung, 0.0
        return rung, share_told(headers) if status == 200 else 0.0


def where(uri: str, gateway: Address) -> tuple[Address, str]:
    """Whom to ask for a segment, and its path; the gateway itself serves those of notices."""
    if uri.startswith("/"):
        return gateway, uri
    place, _, path = uri.removeprefix("http://").partition("/")
    name, _, port = place.rpartition(":")
    return (name, int(port)), "/" + path


def share_told(headers: list[tuple[bytes, bytes]]) -> float:
    """What part of its rate a stream gets, as a segment's answer says; all of it where it says nothing."""
    for name, value in headers:
        if name.lower() == b"cmsd-dynamic":
            found = Dictionary()
            with suppress(ValueError):
                found.parse(value)
                return float(found["burlmast-share"].value)
    return 1.0
