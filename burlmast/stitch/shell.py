"""Notices of a running gateway: fetches recordings from their holders, keeps reels on disk before their
pieces are listed, takes programmes. Decides nothing: the register, the larder and the reels do.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Protocol

from burlmast.http1.client import Address, Pool, Whole
from burlmast.stitch.larder import Fetch, Holder, Larder
from burlmast.stitch.programme import Known, Notice, Programme, Refused, Register
from burlmast.stitch.reel import Chosen, Heard, Kept, Reel, Stitching
from burlmast.stitch.store import Change, Store, StoreFault

MS = 1_000_000
SECOND = 1_000_000_000
BATCH = 250  # reels looked at in one go
KEEP_REELS = 24 * 3600 * SECOND  # a viewer that has not come back by then starts anew


class Around(Protocol):
    """What the gateway program gives."""

    def holders(self) -> Iterable[Holder]:
        """Hosts as the decisions know them."""

    def room(self, host: int) -> float:
        """A host's room as the decisions reckon it; rooms compare."""

    def address(self, host: int) -> Address | None:
        """Where a host is."""

    def store_trouble(self, what: str) -> None:
        """The disk, or what stood on it, is not well."""

    def programme_acts(self, version: int) -> None:
        """Another version of the programme is in force."""


class Shown:
    """A playback whose reel is kept."""

    def __init__(self, public: str, viewer: str, title: str, reel: Reel) -> None:
        self.public, self.viewer, self.title, self.reel = public, viewer, title, reel


class Notices:
    """All of it for one gateway."""

    def __init__(
        self,
        folder: Path,
        known: Known,
        segment: int,
        window: int,
        ahead: int,
        tries: int,
        again: int,
        at_once: int,
        pool: Pool,
        around: Around,
        now: Callable[[], int],
    ) -> None:
        """Must be made on a running loop. Raises StoreFault where the files cannot be used."""
        self._segment, self._window, self._ahead = segment, window, ahead
        self._pool, self._around, self._now = pool, around, now
        self.loop = asyncio.get_running_loop()
        self.store = Store(folder)
        for what in self.store.damaged:
            around.store_trouble(f"laid aside, damaged: {what}")
        self._thread = ThreadPoolExecutor(1, "stitch")
        limits = (tries, again, at_once, 2 * window * segment)
        self.larder = Larder(known.cells, *limits, around.holders, around.room, self._fetch)
        # With a disk that takes nothing, what is heard cannot be kept: as if nothing were there to be heard.
        self._bare = Larder(known.cells, 0, again, 0, 0, list, lambda host: 0.0, lambda fetch: None)
        self.register = Register(known, self._store_programme, self._acts)
        self._stitching = Stitching(lambda: self.register.in_force, self._choose, time.time)
        self.shown: dict[str, Shown] = {}
        self._busy = False
        self._round: list[str] = []  # playbacks whose turn is still to come
        self._over: list[str] = []
        self._resuming: dict[str, Kept] = {}
        self.sound = True  # the disk takes what it is given
        self.counts: dict[str, int] = {}
        self.waits: deque[float] = deque(maxlen=1000)  # seconds that the last pieces waited for the disk
        self._tasks: set[asyncio.Task[None]] = set()
        self._closed = False
        self.store.forget((), time.time_ns() - KEEP_REELS)
        self.register.restore(self.store.programme())
        self._tick()

    # Reels.

    def reel(self, public: str, title: str, plan: str, viewer: str) -> Reel:
        """A playback's reel, from its start or, after `resume`, from where it was kept."""
        kept = self._resuming.pop(public, None)
        reel = Reel(title, plan, self._segment, self._window, self._ahead, self._stitching, kept)
        self.shown[public] = Shown(public, viewer, title, reel)
        return reel

    def resume(self, public: str) -> Kept | None:
        """What is on disk of a playback, from which its next reel goes on: all that was ever listed."""
        try:
            kept = self.store.reel(public)
        except StoreFault as why:
            self._trouble(f"a reel cannot be read: {why}")
            return None
        if kept is not None:
            self._resuming[public] = kept
        return kept

    def over(self, public: str) -> None:
        """Nobody reads this reel any more; what was heard stays."""
        if self.shown.pop(public, None) is not None:
            self._over.append(public)

    def lacking(self, title: str, plan: str) -> str:
        """The notice that must be heard and cannot be had, or nothing; see `Larder.lacking`."""
        larder = self.larder if self.sound else self._bare
        found = larder.lacking(self._stitching.notices(title, plan), time.time())
        return found.name if found is not None else ""

    def _choose(self, notice: Notice, rung: int) -> Chosen | None:
        found = (self.larder if self.sound else self._bare).best(notice, rung)
        if found is None:
            return None
        one = found.notice
        return Chosen(one.recording, one.version, found.rung, int(one.lasts_ms * MS))

    # Keeping.

    def _tick(self) -> None:
        if self._closed:
            return
        self.larder.look(self._now())
        self.flush()
        self.loop.call_later(0.1, self._tick)

    def flush(self) -> None:
        """Keep what has been drafted, then publish it; one transaction at a time."""
        if self._busy or self._closed:
            return
        now = self._now()
        changes: list[Change] = []
        counts: list[tuple[Shown, int, list[Heard]]] = []
        if not self._round:
            self._round = [public for public, one in self.shown.items() if one.reel.waits(now)]
        # So many at a time: more would hold up the loop.
        batch, self._round = self._round[:BATCH], self._round[BATCH:]
        for one in [self.shown[public] for public in batch if public in self.shown]:
            one.reel.draft(now)
            count = len(one.reel.drafted)
            if count:
                heard = one.reel.take_heard()
                changes.append(Change(one.public, one.viewer, one.title, one.reel.keep(), heard))
                counts.append((one, count, heard))
            for left in one.reel.take_left_out():
                self._count(f"left out {left.notice}")
        over, self._over = [public for public in self._over if public not in self.shown], []
        if not changes and not over:
            if self._round:
                self.loop.call_soon(self.flush)
            return
        self._busy = True
        self._run(self._keep(changes, counts, over))

    async def _keep(
        self, changes: list[Change], counts: list[tuple[Shown, int, list[Heard]]], over: list[str]
    ) -> None:
        began = self.loop.time()
        try:
            await self.loop.run_in_executor(self._thread, self._write, changes, over, time.time_ns())
            if not self.sound:
                self._around.store_trouble("the disk takes what it is given again")
            self.sound = True
        except Exception as why:  # whatever it is, playbacks must not stand still for it
            # What plays goes on: content is listed unkept. A notice that was drafted is heard, its line is
            # owed to the record and written with the next that can be.
            self._trouble(f"{type(why).__name__}: {why}")
            for one, _, heard in counts:
                one.reel.owe_heard(heard)
            self._over += over
        self.waits.append(self.loop.time() - began)
        for one, count, heard in counts:
            one.reel.publish(count)
            if heard:
                self._count("heard", len(heard))
        self._busy = False
        if self._round:
            self.flush()

    def _write(self, changes: list[Change], over: list[str], at: int) -> None:
        if changes:
            self.store.save(changes, at)
        if over:
            self.store.forget(over)

    def _trouble(self, what: str) -> None:
        if self.sound:
            self._around.store_trouble(what)
        self.sound = False

    # The programme.

    def put(self, raw: bytes, answer: Callable[[Refused | None], object]) -> None:
        """A change of programme; see `Register.put`."""
        self.register.put(raw, answer)

    def _store_programme(self, one: Programme) -> None:
        self._run(self._keep_programme(one))

    async def _keep_programme(self, one: Programme) -> None:
        try:
            amiss = await self.loop.run_in_executor(self._thread, self.store.save_programme, one)
        except Exception as why:  # a register that hears nothing would refuse every later change
            self.register.failed(str(why))
        else:
            if amiss:
                self._around.store_trouble(amiss)
            self.register.stored()

    def _acts(self, one: Programme) -> None:
        self._around.programme_acts(one.version)
        self.larder.stock(one, self._now())

    # Recordings.

    def left(self, hosts: Sequence[int]) -> None:
        """These hosts drain or are gone."""
        self.larder.left(self._now(), hosts)

    def piece(self, recording: str, rung: int, number: int) -> bytes | None:
        """The bytes of a notice's segment."""
        found = self.larder.find(recording, rung)
        if found is None or not 0 <= number < len(found.pieces):
            return None
        return found.pieces[number]

    def _fetch(self, fetch: Fetch) -> None:
        self._run(self._bring(fetch))

    async def _bring(self, fetch: Fetch) -> None:
        notice, address = fetch.recording.notice, self._around.address(fetch.host)
        count = -(-int(notice.lasts_ms * MS) // self._segment)
        pieces = []
        try:
            if address is None:
                raise ConnectionError("it has no address")
            for number in range(count):
                target = f"/v1/media/{notice.recording}/{fetch.recording.rung}/{number}.m4s"
                status, _, body = await Whole.of(self._pool, address, b"GET", target.encode(), within=2.0)
                if status != 200:
                    raise ConnectionError(f"it answers {status}")
                pieces.append(body)
        except (ConnectionError, TimeoutError):
            self.larder.failed(fetch, self._now())
        else:
            self.larder.came(fetch, self._now(), pieces)

    # The end.

    def _run(self, work: object) -> None:
        task = asyncio.ensure_future(work)  # type: ignore[call-overload]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _count(self, what: str, times: int = 1) -> None:
        self.counts[what] = self.counts.get(what, 0) + times

    def close(self) -> None:
        """Let go of the files once what is being written is."""
        self._closed = True
        for task in self._tasks:
            task.cancel()
        self._thread.shutdown(wait=True)
        self.store.close()
