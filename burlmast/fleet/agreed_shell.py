"""One value that coordinators agree on, as one of them keeps and changes it: a named register on its disk,
its votes, its ballots and its calls to the others. What is answered is decided in `register`.

When a register votes on a disk; `register.first` decides for one beside the registry of orders:

| this disk | the register |
| --- | --- |
| blank | is silent until a ballot of its own, promised by a majority of all but itself, fills it |
| has voted in it | votes with what is on the disk |
| has it, not filled yet | is silent as on a blank disk, also where another register on it votes already |
| had a programme without it, the registry votes | votes with nothing at once: it has promised nobody |
| begins, by the operator or alone | votes with the value that it begins with |

The last row but one is wrong for a disk that was lost and filled while a programme without this register
ran, after one with it had voted: who goes back to such a programme loses no disk before all are forward.
"""

from __future__ import annotations

import asyncio
import sqlite3
import zlib
from collections.abc import Awaitable, Callable

import msgspec

from burlmast.fleet import register
from burlmast.fleet.messages import Accept, Prepare
from burlmast.fleet.register import Answer, Ballot, Kept, Round

TRIES = 12  # rounds of one change before it is given up


class NoMajority(Exception):
    """Too few coordinators answer: one line. The change may still come into force; the request's id tells."""


class AgreedValue:
    """One register of a coordinator. Made on a running loop."""

    def __init__(
        self,
        path: str,
        number: int,
        coordinators: int,
        beat_s: float,
        kept: Kept,
        keep: Callable[[Kept], None],
        call: Callable[[int, str, bytes], Awaitable[Answer]],
    ) -> None:
        """`path` is that of its messages, which end with prepare and accept. `keep` returns once it is on the
        disk, or raises sqlite3.Error, OSError; `call` asks another, or raises ConnectionError, TimeoutError,
        msgspec.MsgspecError."""
        self.path, self.number, self.coordinators, self._beat_s = path, number, coordinators, beat_s
        self.kept, self._keep, self._call = kept, keep, call
        self._counter = max(kept.promised[0], kept.accepted[0])
        self._draws = 0
        self._changing = asyncio.Lock()

    # As an acceptor. All raise sqlite3.Error, OSError where the disk does not take it.

    def prepare(self, ballot: Ballot) -> Answer:
        """See `register.prepare`."""
        kept, answer = register.prepare(self.kept, ballot)
        self.hold(kept)
        return answer

    def accept(self, ballot: Ballot, value: bytes) -> Answer:
        """See `register.accept`."""
        kept, answer = register.accept(self.kept, ballot, value)
        self.hold(kept)
        return answer

    def hold(self, kept: Kept) -> None:
        """This state from now on; on return it is on the disk."""
        if kept != self.kept:
            self._keep(kept)
            self.kept = kept

    # As a proposer.

    async def change(self, apply: Callable[[bytes], bytes | None]) -> Round:
        """Rounds until one is done, or `apply` finds nothing to change and gives None. Raises NoMajority."""
        async with self._changing:
            return await self._settle(apply)

    async def fill(self) -> Kept | None:
        """What a blank disk is to hold, by the others' word; None where too few give it."""
        if self.kept.voting:
            return None
        one = Round(self.number, self.coordinators, self._ballot(), lambda raw: raw)
        one.filling = True
        others = [other for other in range(self.coordinators) if other != self.number]
        await self._ask(one, Prepare(one.ballot), "prepare", others)
        self._counter = max(self._counter, one.highest[0])
        return register.fill(self.kept, one.ballot, *one.newest) if one.state == "done" else None

    def pause(self, attempt: int) -> float:
        """Seconds before the next round, drawn by chance."""
        # Two that change at once would disturb each other for good.
        self._draws += 1
        chance = zlib.crc32(f"{self.number}:{self._draws}".encode()) / 2**32
        return self._beat_s / 10 * (1 + min(attempt, 4)) * (0.2 + chance)

    async def _settle(self, apply: Callable[[bytes], bytes | None]) -> Round:
        if not self.kept.voting:
            raise NoMajority("this desk's disk is blank; it waits to be filled")
        for attempt in range(TRIES):
            one = Round(self.number, self.coordinators, self._ballot(), apply)
            await self._ask(one, Prepare(one.ballot), "prepare", [*range(self.coordinators)])
            if one.state == "telling":
                await self._ask(one, Accept(one.ballot, one.value), "accept", one.voters)
            if one.state in ("done", "unchanged"):
                return one
            self._counter = max(self._counter, one.highest[0])
            await asyncio.sleep(self.pause(attempt))
        raise NoMajority("no majority of desks answers; nothing is changed by this desk, ask again")

    def _ballot(self) -> Ballot:
        self._counter = max(self._counter, self.kept.promised[0]) + 1
        return self._counter, self.number

    async def _ask(self, one: Round, words: Prepare | Accept, what: str, whom: list[int]) -> None:
        state = one.state

        async def ask(other: int) -> None:
            answer: Answer | None
            try:
                if other == self.number:
                    answer = (
                        self.prepare(words.ballot)
                        if isinstance(words, Prepare)
                        else self.accept(words.ballot, words.value)
                    )
                else:
                    answer = await self._call(other, f"{self.path}/{what}", msgspec.json.encode(words))
            except (ConnectionError, TimeoutError, sqlite3.Error, OSError, msgspec.MsgspecError):
                answer = None
            if one.state == state:
                one.answered(other, answer)

        waiting: set[asyncio.Future[None]] = {asyncio.ensure_future(ask(other)) for other in whom}
        while waiting and one.state == state:
            _, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        for task in waiting:
            task.add_done_callback(lambda done: done.cancelled() or done.exception())
        if one.state == state:
            one.state = "lost"
