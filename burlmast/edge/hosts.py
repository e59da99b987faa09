"""The hosts' side: setup tries, streams, rungs and probes over HTTP. What is heard goes to the driver as it
comes."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from burlmast import api
from burlmast.api import Ending, News
from burlmast.edge.endings import ENDINGS, of_answer
from burlmast.edge.loads import read_load
from burlmast.edge.playback import Attempt
from burlmast.edge.words import STREAM_LINE, SetUpWords, StreamLine
from burlmast.http1.client import Address, Call, Failure, Pool
from burlmast.http1.messages import Lines, Malformed, split_address

JSON = ((b"content-type", b"application/json"),)
ENCODER = msgspec.json.Encoder()


class Ear(Protocol):
    """Where the hosts' side tells what it hears; each call is one of the driver's, with the time put in."""

    def flowing(self, one: Attempt) -> None:
        """See `Driver.flowing`."""

    def ended(self, one: Attempt, ending: Ending, load: api.Load) -> None:
        """See `Driver.ended`."""

    def may_write(self, one: Attempt) -> bool:
        """See `Driver.may_write`."""

    def unsent(self, one: Attempt) -> None:
        """See `Driver.unsent`."""

    def noted(self, one: Attempt, news: News, value: float) -> None:
        """See `Driver.noted`."""

    def rung_stays(self, one: Attempt, rung: int) -> None:
        """See `Driver.rung_stays`."""

    def probed(self, host: int, ending: Ending, took: int, load: api.Load) -> None:
        """See `Driver.probed`."""


class AttemptCall:
    """Hears one setup try."""

    __slots__ = ("_ear", "_lines", "_load", "_one", "_status", "body", "call", "closed")

    def __init__(self, ear: Ear, one: Attempt) -> None:
        self._ear, self._one = ear, one
        self._status = 0
        self._load = api.Load()
        self._lines: Lines | None = None
        self.body = b""
        self.call: Call | None = None
        self.closed = False

    def answered(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        self._status = status
        if status == 200:
            self._lines = Lines(4096)
        else:
            self._load = read_load(headers)

    def came(self, data: bytes) -> None:
        if self.closed:
            return
        if self._lines is None:
            self.body = (self.body + data)[:4096]
            return
        try:
            lines = [STREAM_LINE.decode(line) for line in self._lines.feed(data) if line]
        except (Malformed, msgspec.MsgspecError, RecursionError):
            call, self.call = self.call, None
            self._finish(ENDINGS["not understood", False])
            if call is not None:
                call.cancel()
            return
        for line in lines:
            self._heard(line)

    def _heard(self, line: StreamLine) -> None:
        if self.closed:
            return
        if line.ended is not None:
            # Danger: a load that came with the stream's head is as old as the stream.
            self._load = api.Load(line.streams, line.link, line.uplink)
            self._finish(ENDINGS["over" if line.ended == "served" else "broken", False])
            return
        # The figures of a set-up count from now; told after it, they would count as late.
        for news, value in ((News.LINK, line.link), (News.UPLINK, line.uplink), (News.SHARE, line.share)):
            if value is not None:
                self._ear.noted(self._one, news, value)
        if line.flowing and not self.closed:
            self._ear.flowing(self._one)

    def ended(self) -> None:
        self.call = None
        if self._lines is not None:
            self._finish(ENDINGS["broken", False])  # a stream that stops without saying so
        else:
            self._finish(of_answer(self._status, self.body))

    def failed(self, failure: Failure, why: str) -> None:
        self.call = None
        if failure is Failure.WITHHELD and not self.closed:
            self.closed = True
            self._one.handle = None
            self._ear.unsent(self._one)
            return
        unreached = failure is Failure.NO_CONNECTION
        self._finish(ENDINGS["no connection", True] if unreached else ENDINGS["broken", False])

    def _finish(self, ending: Ending) -> None:
        if not self.closed:
            self.closed = True
            self._one.handle = None
            self._ear.ended(self._one, ending, self._load)

    def close(self) -> None:
        """The driver has ended the try."""
        if not self.closed:
            self.closed = True
            self._one.handle = None
            call, self.call = self.call, None
            if call is not None:
                call.cancel()


class Brief:
    """Hears a short answer: a change of rung, or a probe."""

    __slots__ = ("_headers", "_status", "_then")

    def __init__(self, then: Callable[[int, list[tuple[bytes, bytes]], Failure | None], None]) -> None:
        self._then = then
        self._status = 0
        self._headers: list[tuple[bytes, bytes]] = []

    def answered(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        self._status, self._headers = status, headers

    def came(self, data: bytes) -> None:
        pass

    def ended(self) -> None:
        self._then(self._status, self._headers, None)

    def failed(self, failure: Failure, why: str) -> None:
        self._then(0, [], failure)


class HostsSide:
    """Carries out set-ups, changes of rung and probes."""

    def __init__(
        self,
        pool: Pool,
        ear: Ear,
        where: Callable[[int], str | None],
        rate: Callable[[int, int], float],
        number: int,
        probe_s: float,
        later: Callable[[float, Callable[[], None]], Any],
        by: Callable[[Attempt], tuple[str, int, int, int] | None] = lambda one: None,
    ) -> None:
        """`where` finds a host, `rate` the kB a second of a plan's rung, `later` calls after seconds, `by`
        says under what a try is sent."""
        self._pool, self._ear, self._where, self._rate = pool, ear, where, rate
        self._number, self._probe_s, self._later, self._by = number, probe_s, later, by
        self._known: dict[str, Address] = {}

    def _address(self, host: int) -> Address:
        name = self._where(host) or ""
        found = self._known.get(name)
        if found is None:
            if len(self._known) > 4096:
                self._known.clear()
            found = self._known[name] = split_address(name)
        return found

    def open_attempt(self, one: Attempt) -> None:
        """Send a set-up."""
        playback = one.playback
        wanted = playback.wanted
        words = SetUpWords(
            playback.public,
            one.place,
            self._number,
            wanted.title_name,
            wanted.plan,
            playback.rung,
            self._rate(wanted.plan, playback.rung),
            wanted.lasts / 1e9,
            self._by(one),
        )
        hearing = AttemptCall(self._ear, one)
        one.handle = hearing
        hearing.call = self._pool.call(
            self._address(one.host),
            b"POST",
            b"/v1/streams",
            hearing,
            JSON,
            ENCODER.encode(words),
            before_write=lambda: self._ear.may_write(one),
        )

    def close_attempt(self, one: Attempt) -> None:
        """Close its connection."""
        if one.handle is not None:
            one.handle.close()

    def change_rung(self, one: Attempt, rung: int) -> None:
        """Ask the host to deliver another rung; where it does not, the rung before stays in force."""
        before, one.rung = one.rung, rung

        def told(status: int, headers: list[tuple[bytes, bytes]], failure: Failure | None) -> None:
            # Danger: an answer to an older change must not undo a newer one.
            if status != 200 and one.rung == rung:
                self._ear.rung_stays(one, before)

        playback = one.playback
        target = f"/v1/streams/{self._number}/{playback.public}/{one.place}/rung".encode("ascii")
        body = ENCODER.encode({"rung": rung, "rate": self._rate(playback.wanted.plan, rung)})
        self._pool.call(self._address(one.host), b"PUT", target, Brief(told), JSON, body)

    def probe(self, host: int) -> None:
        """Look after a host."""
        began = time.monotonic_ns()
        over = False

        def told(status: int, headers: list[tuple[bytes, bytes]], failure: Failure | None) -> None:
            nonlocal over
            if over:
                return
            over = True
            timer.cancel()
            if failure is not None:
                ending = Ending.NO_CONNECTION if failure is Failure.NO_CONNECTION else Ending.BROKEN
            else:
                ending = Ending.SERVED if status == 200 else Ending.ERROR
            self._ear.probed(host, ending, time.monotonic_ns() - began, read_load(headers))

        def late() -> None:
            nonlocal over
            if not over:
                over = True
                call.cancel()
                self._ear.probed(host, Ending.TIMEOUT, time.monotonic_ns() - began, api.Load())

        timer = self._later(self._probe_s, late)
        call = self._pool.call(self._address(host), b"GET", b"/v1/load", Brief(told))
