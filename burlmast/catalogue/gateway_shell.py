"""A gateway's part of the catalogue: questions to coordinators, its disk and its timer. What is asked and
what is served is decided in `subscriber`."""

from __future__ import annotations

import asyncio
import sqlite3
import zlib
from collections.abc import Awaitable, Callable, Sequence
from time import perf_counter
from typing import Any, Protocol
from urllib.parse import unquote

import msgspec
import structlog

from burlmast.catalogue import messages
from burlmast.catalogue.messages import SlicesGiven
from burlmast.catalogue.shards import Shard, holders, number_of, part_of
from burlmast.catalogue.subscriber import Kept, Missing, Subscriber, Terms
from burlmast.http1.client import Address, Pool, Whole
from burlmast.http1.server import Exchange
from burlmast.settings.sheets import Deployment

JSON = ((b"content-type", b"application/json"),)
MS = 1_000_000
NAME = "catalogue"  # under which the part is kept on the gateway's disk


class Disk(Protocol):
    """The gateway's files, asked off the loop."""

    def named(self, name: str) -> bytes | None:
        """A value kept by name."""

    def keep(self, name: str, body: bytes) -> None:
        """Keep it; on return it is on the disk."""


class CatalogueSide:
    """One gateway's; made on a running loop."""

    def __init__(
        self,
        number: int,
        deployment: Deployment,
        coordinators: Sequence[Address],
        pool: Pool,
        steady: Callable[[], int],
        ask_disk: Callable[[Callable[[Any], object]], Awaitable[object]],
        kept: bytes | None,
    ) -> None:
        """`steady`: nanoseconds of a clock that never goes back. `ask_disk` may raise sqlite3.Error or
        LookupError. `kept`: what an earlier life left on the disk."""
        terms = deployment.edge.catalogue
        self.number, self._coordinators, self._pool, self._steady = number, coordinators, pool, steady
        self._ask_disk, self._terms = ask_disk, terms
        self.gateways, self.zones = deployment.gateways, len(deployment.zones)
        self.log = structlog.get_logger().bind(gateway=number)
        own = part_of(number, terms.slices, self.gateways, self.zones, terms.copies)
        self.subscriber = Subscriber(
            own,
            len(coordinators),
            Terms(
                terms.slices,
                terms.most,
                spread=int(terms.spread_ms * MS),
                again=int(terms.again_ms * MS),
                longest=int(terms.again_longest_ms * MS),
                doubt=int(terms.doubt_ms * MS),
            ),
            zlib.crc32(f"{deployment.name}:{number}:{steady()}".encode()),
            self._read(kept),
        )
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._writer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._closed = False
        self._in_force = 0
        self._written = (self.subscriber.line, self.subscriber.revision, self.subscriber.shards)
        self.came_in_force: Callable[[int], None] = lambda revision: None
        self.took = 0.0  # seconds of this process that the longest answer took to be taken in
        self.last: tuple[int, int] = (0, 0)  # the last revision in force, and by the steady clock since when

    def _read(self, kept: bytes | None) -> Kept:
        try:
            return Kept() if kept is None else msgspec.msgpack.decode(kept, type=Kept)
        except msgspec.MsgspecError as why:
            self.log.error("catalogue", what=f"what the disk kept of it is not understood: {why}")
            return Kept()

    def close(self) -> None:
        """Stop asking; what is held is not written any more."""
        self._closed = True
        for timer in (self._timer, self._writer):
            if timer is not None:
                timer.cancel()
        for task in list(self._tasks):
            task.cancel()

    # What viewers ask for.

    def find(self, title: str, viewer: int) -> tuple[int, int, int] | Missing:
        """A title's number, first cell and copies for a viewer known by a number. It never waits."""
        state = self.subscriber.state
        found = self.subscriber.find(self._steady(), title, viewer)
        if self.subscriber.state != state:
            self._arm()
        if isinstance(found, Shard):
            return number_of(title), found.home, found.copies
        return found

    def elsewhere(self, place: int) -> tuple[int, ...]:
        """Gateways whose part a slice is of, this one not among them."""
        terms = self._terms
        all_of_them = holders(place, terms.slices, self.gateways, self.zones, terms.copies)
        return tuple(one for one in all_of_them if one != self.number)

    # With the coordinators.

    def hear(self, coordinator: int, told: tuple[str, int]) -> None:
        """A coordinator's reply to a heartbeat named the catalogue and the revision that it has."""
        if self.subscriber.hear(self._steady(), coordinator, *told):
            self._arm()

    @property
    def told(self) -> tuple[str, int, int]:
        """What a heartbeat says: the catalogue's name, the revision in force, slices lacking."""
        return self.subscriber.line, self.subscriber.revision, self.subscriber.lacking

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._closed or self.subscriber.state not in ("due", "pausing"):
            return
        wait = max(0, self.subscriber.due - self._steady()) / 1e9
        self._timer = self._loop.call_later(wait, self._fire)

    def _fire(self) -> None:
        if self.subscriber.fires(self._steady()) == "ask":
            task = self._loop.create_task(self._ask())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        else:
            self._arm()

    async def _ask(self) -> None:
        question = self.subscriber.ask()
        given: SlicesGiven | None = None
        if question is not None:
            coordinator, asked = question
            within = self._terms.within_ms / 1000
            try:
                status, _, body = await Whole.of(
                    self._pool,
                    self._coordinators[coordinator],
                    b"POST",
                    messages.ASK.encode(),
                    JSON,
                    msgspec.json.encode(asked),
                    within=within,
                )
                if status == 200:
                    given = msgspec.json.decode(body, type=SlicesGiven)
                elif status == 409:
                    self.log.warning(
                        "catalogue", coordinator=coordinator, what=body[:200].decode("utf-8", "replace")
                    )
                else:
                    self.log.debug("catalogue", coordinator=coordinator, status=status)
            except (ConnectionError, TimeoutError, OSError, msgspec.MsgspecError) as why:
                self.log.debug("catalogue", coordinator=coordinator, why=str(why))
        now = self._steady()
        if given is None:
            self.subscriber.failed(now)
        else:
            began, wrong = perf_counter(), self.subscriber.counts["wrong"]
            self.subscriber.given(now, given)
            self.took = max(self.took, perf_counter() - began)
            if self.subscriber.counts["wrong"] > wrong:
                self.log.warning("catalogue", what="a digest does not agree; that slice is taken whole")
            self._taken(now)
        self._arm()

    def _taken(self, now: int) -> None:
        one = self.subscriber
        if one.revision != self._in_force and not one.lacking:
            self._in_force, self.last = one.revision, (one.revision, now)
            self.log.info("catalogue in force", revision=one.revision, shards=one.shards)
            self.came_in_force(one.revision)
        if self._writer is None and not self._closed:
            self._writer = self._loop.call_later(self._terms.write_ms / 1000, self._write)

    def _write(self) -> None:
        self._writer = None
        one = self.subscriber
        now = one.line, one.revision, one.shards
        if now != self._written and not self._closed:
            task = self._loop.create_task(self._keep(now))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _keep(self, standing: tuple[str, int, int]) -> None:
        body = msgspec.msgpack.encode(self.subscriber.kept())
        try:
            await self._ask_disk(lambda files: files.keep(NAME, body))
        except (sqlite3.Error, LookupError) as why:
            self.log.error("catalogue", what=f"its part is not kept on the disk: {why}; serving goes on")
        else:
            self._written = standing

    # What is shown.

    def figures(self) -> dict[str, float]:
        """Gauges by name."""
        one, now = self.subscriber, self._steady()
        age = one.age(now)
        return {
            "revision": one.revision,
            "behind": max(0, one.target - one.revision),
            "age_seconds": -1.0 if age is None else age / 1e9,
            "slices": len(one.slices),
            "slices_lacking": one.lacking,
            "shards": one.shards,
            "longest_take_seconds": self.took,
        }

    def application(self, exchange: Exchange, path: str) -> bool:
        """Answer an operator, if this is for the catalogue."""
        if exchange.method != b"GET" or not path.startswith(messages.STATUS):
            return False
        if path == messages.STATUS:
            one = self.subscriber
            told = {"line": one.line, "state": one.state, "counts": one.counts, **self.figures()}
            exchange.json(200, {**told, "in_force_at": self.last})
        elif path.startswith(messages.FIND):
            found = self.subscriber.find(self._steady(), unquote(path.removeprefix(messages.FIND)), 0)
            self._arm()
            if isinstance(found, Shard):
                exchange.json(200, found)
            else:
                elsewhere = self.elsewhere(found.place)
                exchange.json(404, {"why": found.why, "surely": found.surely, "gateways": elsewhere})
        else:
            return False
        return True
