"""One who holds slices of the catalogue and keeps them level with the coordinators: a gateway its part, and
what its viewers ask for beside it; a coordinator that is far behind all of them. Free of I/O.

What is held is served whatever becomes of the coordinators. Nothing is dropped before what takes its place is
there whole and its digest agrees.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from burlmast.catalogue.messages import SliceAsked, SliceGiven, SlicesAsked, SlicesGiven
from burlmast.catalogue.shards import Key, Shard, slice_of, told, weight

NOWHERE: Key = ("", -1)

# How it asks. One question is out at a time.
TABLE: dict[tuple[str, str], tuple[str, str]] = {
    # state, input: next state, effect
    ("level", "told later"): ("due", "spread"),  # a coordinator has a later revision
    ("level", "wanted"): ("due", "soon"),  # a slice is wanted that is not here
    ("due", "told later"): ("due", ""),
    ("due", "wanted"): ("due", "soon"),
    ("due", "fires"): ("asking", "ask"),
    ("asking", "told later"): ("asking", ""),
    ("asking", "wanted"): ("asking", ""),
    ("asking", "level"): ("level", ""),
    ("asking", "more"): ("due", "soon"),
    ("asking", "failed"): ("pausing", "pause"),
    ("pausing", "told later"): ("pausing", ""),
    ("pausing", "wanted"): ("pausing", ""),
    ("pausing", "fires"): ("asking", "ask"),
}

# What becomes of a slice. Rows of a slice that is held, doubted or refilling are served.
SLICES: dict[tuple[str, str], tuple[str, str]] = {
    ("lacking", "piece"): ("filling", "gather"),
    ("lacking", "end"): ("held", "replace"),
    ("lacking", "wrong"): ("lacking", "drop"),
    ("filling", "piece"): ("filling", "gather"),
    ("filling", "end"): ("held", "replace"),
    ("filling", "wrong"): ("lacking", "drop"),
    ("held", "difference"): ("held", "change"),
    ("held", "piece"): ("refilling", "gather"),  # the difference is not to be had any more
    ("held", "end"): ("held", "replace"),
    ("held", "wrong"): ("doubted", "drop"),
    ("held", "other line"): ("doubted", "drop"),
    ("doubted", "piece"): ("refilling", "gather"),
    ("doubted", "end"): ("held", "replace"),
    ("doubted", "wrong"): ("doubted", "drop"),
    ("refilling", "piece"): ("refilling", "gather"),
    ("refilling", "end"): ("held", "replace"),
    ("refilling", "wrong"): ("doubted", "drop"),
    ("refilling", "other line"): ("doubted", "drop"),
    ("filling", "other line"): ("lacking", "drop"),
}
SERVED = ("held", "doubted", "refilling")


class Terms(NamedTuple):
    """Times in nanoseconds."""

    slices: int
    most: int = 64  # slices beside the own ones
    at_once: int = 256  # slices a question names at most
    spread: int = 1_000_000_000
    again: int = 500_000_000
    longest: int = 8_000_000_000
    doubt: int = 14_000_000_000


class Missing(msgspec.Struct, frozen=True):
    """Why a title is not found. `surely`: there is none; else it may be found later, or elsewhere."""

    why: str
    surely: bool
    place: int  # the slice that it would be in


class KeptSlice(msgspec.Struct, frozen=True, array_like=True):
    """A slice as it is kept on a disk."""

    place: int
    revision: int
    shards: tuple[Shard, ...]


class Kept(msgspec.Struct, frozen=True):
    """What is kept on a disk; slices in the order of their last use."""

    line: str = ""
    slices: tuple[KeptSlice, ...] = ()


class Slice:
    """A slice, as far as it is here."""

    __slots__ = (
        "asked_from",
        "digest",
        "gathered",
        "gathered_to",
        "own",
        "place",
        "revision",
        "rows",
        "state",
        "used",
    )

    def __init__(self, place: int, own: bool) -> None:
        self.place, self.own, self.state = place, own, "lacking"
        self.rows: dict[Key, Shard] = {}
        self.digest = self.revision = 0
        self.used: int | None = None  # when it last served a viewer, None for never
        self.gathered: dict[Key, Shard] = {}
        self.gathered_to, self.asked_from = NOWHERE, 0  # the cursor, and the revision of the first piece

    @property
    def since(self) -> int:
        """From which revision on news is wanted; 0 for all of it."""
        return self.revision if self.state == "held" else 0

    def take(self, news: SliceGiven) -> str:
        """News of it. What happened, for the counters: an input of `SLICES`."""
        if not news.whole and (self.state != "held" or news.since != self.revision):
            return ""  # of a question from before
        happened = "piece" if news.more else "end" if news.whole else "difference"
        if happened == "difference":
            rows = {**self.rows, **{one.key: one for one in news.shards}}
            for key in news.removed:
                rows.pop(key, None)
            digest = self._changed_digest(news)
            if told(digest) != news.digest:
                happened = "wrong"
        elif news.whole:
            if self.gathered_to == NOWHERE:
                self.asked_from = news.revision
            rows = {**self.gathered, **{one.key: one for one in news.shards}}
            if happened == "end":
                digest = sum(map(weight, rows.values())) % (1 << 128)
                # Rows of earlier pieces may have changed since; the difference from the first one on tells.
                if told(digest) != news.digest and self.asked_from == news.revision:
                    happened = "wrong"
        self.state, effect = SLICES[self.state, happened]
        if effect == "gather":
            self.gathered, self.gathered_to = rows, news.shards[-1].key if news.shards else NOWHERE
        elif effect == "drop":
            self.gathered, self.gathered_to = {}, NOWHERE
        else:
            self.rows, self.digest = rows, digest
            self.revision = news.revision if happened == "difference" else self.asked_from
            self.gathered, self.gathered_to = {}, NOWHERE
        return happened

    def _changed_digest(self, news: SliceGiven) -> int:
        digest, gone = self.digest, {*news.removed}
        for one in news.shards:
            gone.add(one.key)
            digest += weight(one)
        for key in sorted(gone):
            if key in self.rows:
                digest -= weight(self.rows[key])
        return digest % (1 << 128)

    def renamed(self) -> None:
        """The catalogue has another name now: what is here is served until the new rows are here."""
        row = SLICES.get((self.state, "other line"))
        if row is not None:
            self.state, self.gathered, self.gathered_to = row[0], {}, NOWHERE
        self.revision = 0


class Subscriber:
    """Times are nanoseconds of one steady clock."""

    def __init__(
        self, own: Iterable[int], coordinators: int, terms: Terms, seed: int, kept: Kept | None = None
    ) -> None:
        """`own`: the slices that are always held. `kept`: what an earlier life had."""
        kept = Kept() if kept is None else kept
        self.terms, self.line, self.state = terms, kept.line, "level"
        self.slices = {place: Slice(place, True) for place in sorted(own)}
        self._titles: dict[str, dict[int, Shard]] = {}
        self._told: list[tuple[str, int]] = [("", 0)] * coordinators
        self._level_by: list[int | None] = [None] * coordinators  # when each last told nothing later
        self._coordinators, self._seed, self._draws, self._failures = coordinators, seed, 0, 0
        self._last = -1  # the coordinator that was asked last
        self._out: SlicesAsked | None = None
        self.due = 0
        self.counts = {"asked": 0, "failed": 0, "wrong": 0, "whole": 0, "differences": 0, "dropped": 0}
        for one in kept.slices:
            self._restore(one)

    def _restore(self, one: KeptSlice) -> None:
        held = self.slices.get(one.place)
        if held is None:
            if not 0 <= one.place < self.terms.slices or self._beside() >= self.terms.most:
                return
            held = self.slices[one.place] = Slice(one.place, False)
        held.state, held.revision = "held", one.revision
        held.rows = {row.key: row for row in one.shards}
        held.digest = sum(map(weight, one.shards)) % (1 << 128)
        self._list(held, {})

    def _beside(self) -> int:
        return sum(1 for one in self.slices.values() if not one.own)

    # What is known.

    @property
    def revision(self) -> int:
        """The revision with which all that is here is level."""
        return min((one.revision for one in self.slices.values() if one.state in SERVED), default=0)

    @property
    def lacking(self) -> int:
        """Slices that are wanted and not here."""
        return sum(1 for one in self.slices.values() if one.state not in SERVED)

    @property
    def shards(self) -> int:
        """Rows that are here."""
        return sum(len(one.rows) for one in self.slices.values())

    @property
    def target(self) -> int:
        """The last revision that a coordinator has told of."""
        return max((revision for line, revision in self._told if line == self.line), default=0)

    def age(self, now: int) -> int | None:
        """For how long no majority of coordinators has told that nothing came after what is here; None where
        none ever has in this life."""
        known = sorted((at for at in self._level_by if at is not None), reverse=True)
        majority = self._coordinators // 2
        return now - known[majority] if len(known) > majority else None

    def find(self, now: int, title: str, viewer: int) -> Shard | Missing:
        """The shard of a title that a viewer, by a number of theirs, is placed by. It never waits; what is
        not here is wanted from now on."""
        parts = self._titles.get(title)
        if parts is not None:
            mine = viewer % next(iter(parts.values())).parts
            found = parts.get(mine)
            if found is None:
                # Another part's holders serve as well until this one's are known.
                self.want(now, slice_of((title, mine), self.terms.slices))
                found = parts[sorted(parts)[viewer % len(parts)]]
            self.slices[slice_of(found.key, self.terms.slices)].used = now
            return found
        place = slice_of((title, 0), self.terms.slices)
        held = self.slices.get(place)
        if held is None or held.state not in SERVED:
            self.want(now, place)
            return Missing("this gateway does not have that title's part of the catalogue yet", False, place)
        age = self.age(now)
        if age is None or age > self.terms.doubt or held.state != "held":
            return Missing("this gateway cannot tell whether that title is there", False, place)
        return Missing("the title is not known", True, place)

    # What is wanted.

    def want(self, now: int, place: int) -> str:
        """A slice beside the own ones is wanted; the effect. One that has served nobody for longest goes for
        it; where all are in use, nothing comes of it."""
        if place in self.slices:
            return ""
        if self._beside() >= self.terms.most:
            idle = [one for one in self.slices.values() if not one.own and one.state in SERVED]
            idle = [one for one in idle if one.used is None or now - one.used > 4 * self.terms.doubt]
            if not idle:
                return ""
            oldest = min(idle, key=lambda one: (-1 if one.used is None else one.used, one.place))
            self._list(Slice(oldest.place, False), oldest.rows)
            del self.slices[oldest.place]
            self.counts["dropped"] += 1
        self.slices[place] = Slice(place, False)
        return self._step(now, "wanted")

    def hear(self, now: int, coordinator: int, line: str, revision: int) -> str:
        """A coordinator told what it has; the effect."""
        if not line:
            return ""
        self._told[coordinator] = line, revision
        if line != self.line and (not self.line or self._tell(line) > self._coordinators // 2):
            self.line = line
            for one in self.slices.values():
                one.renamed()
            self._level_by = [None] * self._coordinators
        if line != self.line:
            return ""
        if revision > self._behind():
            return self._step(now, "told later")
        if not self.lacking:
            self._level_by[coordinator] = now
        return self._step(now, "told later") if self.lacking else ""

    def _tell(self, line: str) -> int:
        return sum(1 for one, _ in self._told if one == line)

    def _behind(self) -> int:
        """The earliest revision of all slices, those that are not here at 0."""
        return min((one.since for one in self.slices.values()), default=self.target)

    def fires(self, now: int) -> str:
        """`due` may have come; the effect, "ask" for a question to send."""
        return self._step(now, "fires") if self.state in ("due", "pausing") and now >= self.due else ""

    # Asking.

    def ask(self) -> tuple[int, SlicesAsked] | None:
        """The question, and which coordinator is asked; None where there is nothing to ask."""
        behind = [one for one in self.slices.values() if one.since < self.target or one.state != "held"]
        # What is not here at all comes first, then what its viewers use.
        behind.sort(key=lambda one: (one.state in SERVED, not one.own, one.place))
        if not behind or not self.line:
            return None
        able = [
            n for n, (line, revision) in enumerate(self._told) if (line, revision) == (self.line, self.target)
        ]
        # After a start none may have told anything yet; what is wanted is asked for all the same.
        able = able or [*range(self._coordinators)]
        others = [n for n in able if n != self._last] or able
        self._last = others[self._chance(len(others))]
        asked = tuple(
            SliceAsked(one.place, one.since, one.gathered_to) for one in behind[: self.terms.at_once]
        )
        self._out = SlicesAsked(self.line, asked, self.terms.slices)
        self.counts["asked"] += 1
        return self._last, self._out

    def given(self, now: int, given: SlicesGiven) -> str:
        """The answer; the effect."""
        out, self._out = self._out, None
        if out is None or given.line != self.line or out.line != self.line:
            return self.failed(now)
        asked = {one.place: one for one in out.slices}
        later = {*given.later}
        for news in given.slices:
            held = self.slices.get(news.place)
            if held is None or news.place not in asked or news.revision < held.since:
                continue
            if held.gathered_to != asked[news.place].after:
                continue
            before = held.rows
            happened = held.take(news)
            if happened in ("end", "difference"):
                self._list(held, before)
            counted = {"wrong": "wrong", "end": "whole", "difference": "differences"}.get(happened)
            if counted is not None:
                self.counts[counted] += 1
            later.add(news.place)
        for place in sorted(asked.keys() - later):
            held = self.slices.get(place)
            if held is not None and held.state == "held" and held.revision == asked[place].since:
                held.revision = max(held.revision, given.revision)
        if given.revision < self.target and not given.slices:
            return self.failed(now)  # it is behind the others
        self._failures = 0
        return self._step(now, "more" if self._wanting() else "level")

    def _wanting(self) -> bool:
        return any(one.since < self.target or one.state != "held" for one in self.slices.values())

    def failed(self, now: int) -> str:
        """No answer, or one of no use; the effect."""
        self._out = None
        self.counts["failed"] += 1
        return self._step(now, "failed")

    def _step(self, now: int, happened: str) -> str:
        row = TABLE.get((self.state, happened))
        if row is None:
            return ""
        self.state, effect = row
        if effect == "spread":
            # Danger: all gateways hear of a change within one beat.
            self.due = now + self._chance(self.terms.spread)
        elif effect == "soon":
            self.due = now + self._chance(self.terms.spread // 16)
        elif effect == "pause":
            whole = min(self.terms.longest, self.terms.again << min(self._failures, 16))
            self._failures += 1
            self.due = now + whole // 2 + self._chance(whole // 2)
        return effect

    def _chance(self, below: int) -> int:
        self._draws += 1
        return zlib.crc32(f"{self._seed}:{self._draws}".encode()) * below >> 32

    # Titles by name.

    def _list(self, held: Slice, before: dict[Key, Shard]) -> None:
        for title, part in before.keys() - held.rows.keys():
            parts = self._titles.get(title, {})
            parts.pop(part, None)
            if not parts:
                self._titles.pop(title, None)
        for key, row in held.rows.items():
            if before.get(key) is not row:
                self._titles.setdefault(row.title, {})[row.part] = row

    # The disk.

    def kept(self) -> Kept:
        """What a later life may start from."""
        held = [one for one in self.slices.values() if one.state in SERVED]
        held.sort(key=lambda one: (not one.own, -(one.used or 0), one.place))
        line = self.line
        return Kept(line, tuple(KeptSlice(one.place, one.revision, (*one.rows.values(),)) for one in held))
