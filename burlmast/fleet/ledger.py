"""What one life of a gateway writes down of itself: pages, ranges of acts, its end. Free of I/O.

Every act has a number, 1 for the first of a life. Acts are written as ranges: which numbers, under which
page (a stamp's short name in this life), how many of each kind. A page is on the disk before the first act
under it; ranges follow at most so often. What a killed gateway did after its last range is not known, and is
said to be so.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Any

import msgspec

from burlmast.fleet.stamp import Stamp

KINDS = ("set up", "rejected", "aborted", "moved", "stepped")


class Row(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line; rows of one life are numbered from 1 and never change."""

    life: str
    n: int
    kind: str  # life, page, range, gap, end
    gateway: int
    at: int  # wall clock, for people; order is by numbers
    page: int = 0
    stamp: Stamp | None = None
    first: int = 0
    last: int = 0
    counts: dict[str, int] = {}
    why: str = ""  # of a gap
    before: str = ""  # of a life: the one before it on the same disk


class Ledger:
    """One life. Rows that it makes are handed to whatever keeps them; `kept` and `lost` say what became."""

    def __init__(self, life: str, gateway: int, before: str, at: int) -> None:
        self.life, self.gateway = life, gateway
        self.page = 0  # the page under which acts are counted now
        self.acts = 0  # the number of the last act
        self._rows = 0
        self._written = 0  # the last act that a row speaks of
        self._pages = 0  # announced
        self._counts: Counter[str] = Counter()
        self.ended = False
        self._unkept: list[Row] = [self._row("life", at, before=before)]

    def _row(self, kind: str, at: int, **more: Any) -> Row:
        self._rows += 1
        return Row(self.life, self._rows, kind, self.gateway, at, **more)

    def announce(self, stamp: Stamp, at: int) -> int:
        """A page for this stamp; it is on the disk, or known to be lost, before `open` makes acts rest on
        it."""
        self._pages += 1
        self._unkept.append(self._row("page", at, page=self._pages, stamp=stamp))
        return self._pages

    def open(self, page: int, at: int) -> None:
        """From now on acts rest on this page."""
        if page > self.page:
            self._close_range(at)
            self.page = page

    def act(self, kind: str) -> int:
        """One act; its number."""
        self.acts += 1
        self._counts[kind] += 1
        return self.acts

    def _close_range(self, at: int) -> None:
        if self.acts > self._written:
            first, self._written = self._written + 1, self.acts
            counts, self._counts = dict(sorted(self._counts.items())), Counter()
            self._unkept.append(
                self._row("range", at, page=self.page, first=first, last=self.acts, counts=counts)
            )

    def rows(self, at: int) -> list[Row]:
        """All that is to be written now, oldest first."""
        self._close_range(at)
        return list(self._unkept)

    def kept(self, rows: Sequence[Row]) -> None:
        """These are on the disk."""
        last = rows[-1].n if rows else 0
        self._unkept = [row for row in self._unkept if row.n > last]

    def lost(self, rows: Sequence[Row], why: str) -> None:
        """These could not be written. Pages are written when the disk is well again, so that what comes
        after can be told; of the acts meanwhile only their numbers are, as a gap."""
        last = rows[-1].n if rows else 0
        self._unkept = [
            msgspec.structs.replace(row, kind="gap", counts={}, why=why)
            if row.n <= last and row.kind == "range"
            else row
            for row in self._unkept
        ]
        # Danger: a disk that is full for days would pile up rows; gaps side by side become one.
        folded: list[Row] = []
        for row in self._unkept:
            end = folded[-1] if folded else None
            if end is not None and end.kind == row.kind == "gap" and end.page == row.page:
                folded[-1] = msgspec.structs.replace(row, n=end.n, first=end.first)
            else:
                folded.append(row)
        if len(folded) < len(self._unkept):
            first = folded[0].n
            self._unkept = [msgspec.structs.replace(row, n=first + i) for i, row in enumerate(folded)]
            self._rows = self._unkept[-1].n

    def end(self, at: int) -> None:
        """The life ends in order; nothing comes after this row."""
        if not self.ended:
            self.ended = True
            self._close_range(at)
            self._unkept.append(self._row("end", at, last=self.acts))


class Shelf:
    """Rows of many lives, from wherever they came: merging is a union, in any order, doubled or echoed."""

    def __init__(self) -> None:
        self.lives: dict[str, dict[int, Row]] = {}
        self.contradictions: list[tuple[Row, Row]] = []  # two rows under one number

    def take(self, rows: Iterable[Row]) -> list[Row]:
        """Merge; the rows that are new."""
        fresh = []
        for row in rows:
            life = self.lives.setdefault(row.life, {})
            there = life.get(row.n)
            if there is None:
                life[row.n] = row
                fresh.append(row)
            elif there != row and (there, row) not in self.contradictions:
                self.contradictions.append((there, row))
        return fresh

    def have(self) -> dict[str, int]:
        """Up to which row each life is here without a hole."""
        return {life: self._whole(rows) for life, rows in sorted(self.lives.items())}

    @staticmethod
    def _whole(rows: dict[int, Row]) -> int:
        n = 0
        while n + 1 in rows:
            n += 1
        return n

    def beyond(self, have: dict[str, int], most: int) -> list[Row]:
        """What another that has so much lacks, oldest first, at most so many rows."""
        found: list[Row] = []
        for life, rows in sorted(self.lives.items()):
            after = have.get(life, 0)
            found += [rows[n] for n in sorted(rows) if n > after]
        return found[:most]

    def of(self, life: str) -> list[Row]:
        """A life's rows, in their order."""
        rows = self.lives.get(life, {})
        return [rows[n] for n in sorted(rows)]
