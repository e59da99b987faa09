"""A coordinator's rows of the catalogue on its disk: SQLite in WAL mode. Calls block.

Each slice has a revision of its own: that of the last change applied, but for slices that were taken from
another coordinator, which are ahead until the rest has followed. A row that is removed stays as a tombstone,
so that a difference can tell of it; who asks from before a slice's floor gets all of it.
"""

from __future__ import annotations

import sqlite3
from array import array
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import NamedTuple

import msgspec

from burlmast.catalogue.messages import Batch, SliceAsked, SliceGiven
from burlmast.catalogue.shards import WHOLE, Key, Shard, slice_of, told, weight
from burlmast.disk import open_base, roll_back

SCHEMA = """
CREATE TABLE IF NOT EXISTS shard (slice INTEGER NOT NULL, title TEXT NOT NULL, part INTEGER NOT NULL,
    revision INTEGER NOT NULL, parts INTEGER, home INTEGER, copies INTEGER,
    PRIMARY KEY (slice, title, part)) WITHOUT ROWID;
CREATE INDEX IF NOT EXISTS changed ON shard (slice, revision);
CREATE INDEX IF NOT EXISTS titled ON shard (title);
CREATE INDEX IF NOT EXISTS gone ON shard (revision) WHERE parts IS NULL;
CREATE TABLE IF NOT EXISTS slice (place INTEGER PRIMARY KEY, changed INTEGER NOT NULL, floor INTEGER NOT NULL,
    ahead INTEGER NOT NULL, shards INTEGER NOT NULL, digest BLOB NOT NULL);
CREATE TABLE IF NOT EXISTS batch (seq INTEGER PRIMARY KEY AUTOINCREMENT, name TEXT NOT NULL UNIQUE,
    body BLOB NOT NULL);
CREATE TABLE IF NOT EXISTS meta (name TEXT PRIMARY KEY, value NOT NULL);
"""
TOMBSTONES = 100_000  # revisions after which a removed row is forgotten
PURGE_EVERY = 1_000  # revisions between two looks for such
UNNAMED = 64  # batches kept that no head names, the last ones
NOWHERE: Key = ("", -1)


class Reckoned(NamedTuple):
    """All rows after a change."""

    digest: int
    shards: int


class News(NamedTuple):
    """An answer to slices asked for; `put_off` tells that some are later only since whole ones are paced."""

    slices: tuple[SliceGiven, ...]
    later: tuple[int, ...]
    put_off: bool


class Taken(NamedTuple):
    """A slice as another coordinator has it; `whole` where that was not told as a difference."""

    place: int
    rows: dict[Key, Shard]
    revision: int
    whole: bool


class _Moved(NamedTuple):
    place: int
    key: Key
    old: Shard | None
    new: Shard | None


class CatalogueStore:
    """Rows, tombstones, digests and batches."""

    def __init__(self, folder: Path, slices: int, tombstones: int = TOMBSTONES) -> None:
        """A damaged file is laid aside and told in `damaged`. Raises OSError, sqlite3.Error, that also where
        the rows are cut into another number of slices."""
        folder.mkdir(parents=True, exist_ok=True)
        self._base, self.damaged = open_base(folder / "catalogue.sqlite", SCHEMA)
        self.slices, self._tombstones = slices, tombstones
        meta = dict(self._base.execute("SELECT name, value FROM meta").fetchall())
        self.line = str(meta.get("line", ""))
        self.applied = int(meta.get("applied", 0))
        self.floor = int(meta.get("floor", 0))
        zeros = bytes(8 * slices)
        self._changed, self._floor, self._ahead, self._shards = (array("q", zeros) for _ in range(4))
        self._digest = [0] * slices
        cut = int(meta.get("slices", slices))
        if cut != slices and self._base.execute("SELECT 1 FROM shard LIMIT 1").fetchone() is not None:
            self._base.close()
            raise sqlite3.DatabaseError(f"{folder}: the catalogue is cut into {cut} slices, not {slices}")
        for place, changed, floor, ahead, shards, digest in self._base.execute("SELECT * FROM slice"):
            self._changed[place], self._floor[place], self._ahead[place] = changed, floor, ahead
            self._shards[place], self._digest[place] = shards, int.from_bytes(digest, "big")
        self.shards = sum(self._shards)
        self.digest = sum(self._digest) % WHOLE
        spread = "SELECT home, copies, COUNT(*) FROM shard WHERE parts NOT NULL GROUP BY home, copies"
        self.spread: Counter[tuple[int, int]] = Counter(
            {(home, copies): count for home, copies, count in self._base.execute(spread)}
        )

    def close(self) -> None:
        """Let go of the file."""
        self._base.close()

    @contextmanager
    def _whole(self) -> Iterator[None]:
        """All of it is on the disk afterwards, or nothing."""
        self._base.execute("BEGIN IMMEDIATE")
        try:
            yield
            self._base.execute("COMMIT")
        except BaseException:
            roll_back(self._base)
            raise

    def _keep(self, **meta: object) -> None:
        self._base.executemany("INSERT OR REPLACE INTO meta VALUES (?, ?)", [*meta.items()])

    # What is here.

    def revision(self, place: int) -> int:
        """Of a slice; 0 where it is not here."""
        return max(self.applied, self._ahead[place])

    def rows(self, place: int) -> dict[Key, Shard]:
        """A slice's."""
        wanted = "SELECT title, part, parts, home, copies FROM shard WHERE slice = ? AND parts NOT NULL"
        found = (Shard(*row) for row in self._base.execute(wanted, (place,)))
        return {one.key: one for one in found}

    def slice_digest(self, place: int) -> int:
        """Of a slice's rows."""
        return self._digest[place]

    def of(self, title: str) -> list[Shard]:
        """A title's parts that are here."""
        wanted = "SELECT title, part, parts, home, copies FROM shard WHERE title = ? AND parts NOT NULL"
        return sorted((Shard(*row) for row in self._base.execute(wanted, (title,))), key=lambda one: one.part)

    def all_rows(self, after: tuple[int, str, int], most: int) -> list[Shard]:
        """Rows in the order of their slice, title and part, after such a place."""
        wanted = (
            "SELECT title, part, parts, home, copies FROM shard WHERE (slice, title, part) > (?, ?, ?) "
            "AND parts NOT NULL ORDER BY slice, title, part LIMIT ?"
        )
        return [Shard(*row) for row in self._base.execute(wanted, (*after, most))]

    def news(self, asked: Iterable[SliceAsked], piece: int, whole: Callable[[], bool]) -> News:
        """What has changed, `piece` rows in all at most. `whole` says whether one more slice may be given
        whole now; a slice of which a piece was given is gone on with."""
        given: list[SliceGiven] = []
        later: list[int] = []
        room, put_off = piece, False
        for one in asked:
            if not 0 <= one.place < self.slices:
                continue
            upto = self.revision(one.place)
            if not upto or one.since > upto:
                later.append(one.place)
                continue
            found: SliceGiven | None = None
            if one.since and one.since >= max(self.floor, self._floor[one.place]):
                if self._changed[one.place] <= one.since:
                    continue
                if room > 0:
                    found = self._difference(one, upto, piece)
            if room <= 0:
                later.append(one.place)
                continue
            if found is None:
                left = self._shards[one.place] if one.after == NOWHERE else 1
                if room < piece and room < left:
                    later.append(one.place)
                    continue
                if one.after == NOWHERE and not whole():
                    later.append(one.place)
                    put_off = True
                    continue
                found = self._piece(one, upto, room)
            size = len(found.shards) + len(found.removed)
            if size > room:  # a difference that fits into an answer of its own
                later.append(one.place)
                continue
            room -= max(1, size)
            given.append(found)
        return News(tuple(given), tuple(later), put_off)

    def _difference(self, one: SliceAsked, upto: int, piece: int) -> SliceGiven | None:
        wanted = (
            "SELECT title, part, parts, home, copies FROM shard WHERE slice = ? AND revision > ? "
            "ORDER BY title, part LIMIT ?"
        )
        rows = self._base.execute(wanted, (one.place, one.since, piece + 1)).fetchall()
        if len(rows) > piece:
            return None
        put = tuple(Shard(*row) for row in rows if row[2] is not None)
        removed = tuple((row[0], row[1]) for row in rows if row[2] is None)
        digest = told(self._digest[one.place])
        return SliceGiven(one.place, one.since, upto, False, False, digest, put, removed)

    def _piece(self, one: SliceAsked, upto: int, room: int) -> SliceGiven:
        wanted = (
            "SELECT title, part, parts, home, copies FROM shard WHERE slice = ? AND (title, part) > (?, ?) "
            "AND parts NOT NULL ORDER BY title, part LIMIT ?"
        )
        rows = [Shard(*row) for row in self._base.execute(wanted, (one.place, *one.after, room + 1))]
        digest = told(self._digest[one.place])
        more = len(rows) > room
        return SliceGiven(one.place, one.since, upto, True, more, digest, tuple(rows[:room]))

    # Changes by revision.

    def reckon(self, batch: Batch) -> Reckoned:
        """All rows after a change, which is not made. Raises sqlite3.Error."""
        digest, shards = self.digest, self.shards
        for one in self._moves(batch, 0):
            digest += _weight(one.new) - _weight(one.old)
            shards += (one.new is not None) - (one.old is not None)
        return Reckoned(digest % WHOLE, shards)

    def apply(self, revision: int, batch: Batch) -> None:
        """The next change; slices that have it already are passed over. On return it is on the disk. Raises
        ValueError where another is the next, sqlite3.Error."""
        if not self.applied or revision != self.applied + 1:
            raise ValueError(f"change {revision} does not follow {self.applied}")
        floor = self.floor
        moves = [one for one in self._moves(batch, revision)]
        if revision - self._tombstones >= floor + PURGE_EVERY:
            floor = revision - self._tombstones
        with self._whole():
            after = self._write(moves, revision)
            if floor != self.floor:
                self._base.execute("DELETE FROM shard WHERE parts IS NULL AND revision <= ?", (floor,))
            self._keep(applied=revision, floor=floor)
        self._take(after, moves)
        self.applied, self.floor = revision, floor

    def begin(self, line: str, before: int) -> None:
        """A catalogue without a row whose first change follows `before`; whatever was here is gone. Raises
        sqlite3.Error."""
        with self._whole():
            self._base.execute("DELETE FROM shard")
            self._base.execute("DELETE FROM slice")
            self._keep(line=line, applied=before, floor=0, slices=self.slices)
        for values in (self._changed, self._floor, self._ahead, self._shards):
            for place in range(self.slices):
                values[place] = 0
        self._digest = [0] * self.slices
        self.line, self.applied, self.floor, self.shards, self.digest = line, before, 0, 0, 0
        self.spread.clear()

    def _moves(self, batch: Batch, revision: int) -> Iterator[_Moved]:
        """What a batch changes; with a revision, in slices that do not have it yet."""
        wanted: dict[Key, Shard | None] = {key: None for key in batch.remove}
        wanted.update({one.key: one for one in batch.put})
        for key, new in wanted.items():
            place = slice_of(key, self.slices)
            if revision and self._ahead[place] >= revision:
                continue
            old = self._row(place, key)
            if old != new:
                yield _Moved(place, key, old, new)

    def _row(self, place: int, key: Key) -> Shard | None:
        wanted = "SELECT parts, home, copies FROM shard WHERE slice = ? AND title = ? AND part = ?"
        row = self._base.execute(wanted, (place, *key)).fetchone()
        return None if row is None or row[0] is None else Shard(*key, *row)

    def _write(self, moves: list[_Moved], revision: int) -> dict[int, tuple[int, int, int, int, int]]:
        """Rows and what their slices come to: changed, floor, ahead, number, digest."""
        self._base.executemany(
            "INSERT OR REPLACE INTO shard VALUES (?, ?, ?, ?, ?, ?, ?)",
            [
                (one.place, *one.key, revision)
                + ((None,) * 3 if one.new is None else (one.new.parts, one.new.home, one.new.copies))
                for one in moves
            ],
        )
        after: dict[int, tuple[int, int, int, int, int]] = {}
        for one in moves:
            _, floor, ahead, shards, digest = after.get(one.place) or self._standing(one.place)
            shards += (one.new is not None) - (one.old is not None)
            digest = (digest + _weight(one.new) - _weight(one.old)) % WHOLE
            after[one.place] = max(revision, self._changed[one.place]), floor, ahead, shards, digest
        self._keep_slices(after)
        return after

    def _standing(self, place: int) -> tuple[int, int, int, int, int]:
        numbers = self._changed[place], self._floor[place], self._ahead[place], self._shards[place]
        return *numbers, self._digest[place]

    def _keep_slices(self, after: dict[int, tuple[int, int, int, int, int]]) -> None:
        self._base.executemany(
            "INSERT OR REPLACE INTO slice VALUES (?, ?, ?, ?, ?, ?)",
            [(place, *one[:4], one[4].to_bytes(16, "big")) for place, one in after.items()],
        )

    def _take(self, after: dict[int, tuple[int, int, int, int, int]], moves: list[_Moved]) -> None:
        """What is on the disk now."""
        for place, (changed, floor, ahead, shards, digest) in after.items():
            self.shards += shards - self._shards[place]
            self.digest += digest - self._digest[place]
            self._changed[place], self._floor[place], self._ahead[place] = changed, floor, ahead
            self._shards[place], self._digest[place] = shards, digest
        self.digest %= WHOLE
        for one in moves:
            for row, change in ((one.old, -1), (one.new, 1)):
                if row is not None:
                    self.spread[row.home, row.copies] += change
                    if not self.spread[row.home, row.copies]:
                        del self.spread[row.home, row.copies]

    # Slices from another coordinator.

    def doubt(self, line: str) -> None:
        """Nothing here is sure to be of the catalogue of this name; rows stay until others take their place.
        Raises sqlite3.Error."""
        with self._whole():
            self._base.execute("UPDATE slice SET ahead = 0")
            self._keep(line=line, applied=0, slices=self.slices)
        for place in range(self.slices):
            self._ahead[place] = 0
        self.line, self.applied = line, 0

    def put_slices(self, taken: Iterable[Taken], unchanged: Iterable[int] = (), upto: int = 0) -> None:
        """Slices as they are elsewhere, and those that are there as they are here up to a revision. On return
        they are on the disk. Raises sqlite3.Error."""
        after: dict[int, tuple[int, int, int, int, int]] = {}
        moves: list[_Moved] = []
        with self._whole():
            for place, rows, revision, whole in taken:
                before = self.rows(place)
                moved = [
                    _Moved(place, key, before.get(key), rows.get(key))
                    for key in (*before, *(key for key in rows if key not in before))
                    if before.get(key) != rows.get(key)
                ]
                there = self._write(moved, revision)
                changed, floor, _, shards, digest = there.get(place) or self._standing(place)
                # Of a row that came and went meanwhile nothing is known.
                after[place] = changed, revision if whole else floor, revision, shards, digest
                moves += moved
            for place in unchanged:
                if 0 < self.revision(place) < upto:
                    changed, floor, _, shards, digest = self._standing(place)
                    after[place] = changed, floor, upto, shards, digest
            self._keep_slices(after)
        self._take(after, moves)

    def settle(self) -> None:
        """All slices are here: changes are applied from the earliest of them on. Raises sqlite3.Error."""
        applied = min(self.revision(place) for place in range(self.slices))
        with self._whole():
            self._keep(applied=applied)
        self.applied = applied

    @property
    def furthest(self) -> int:
        """The revision of the slice that is furthest ahead."""
        return max(self.applied, max(self._ahead))

    # Batches.

    def keep_batch(self, name: str, batch: Batch) -> None:
        """On return it is on the disk. Raises sqlite3.Error."""
        body = msgspec.msgpack.encode(batch)
        self._base.execute("INSERT OR IGNORE INTO batch VALUES (NULL, ?, ?)", (name, body))

    def batch(self, name: str) -> Batch | None:
        """A batch by its digest. Raises sqlite3.Error."""
        row = self._base.execute("SELECT body FROM batch WHERE name = ?", (name,)).fetchone()
        return None if row is None else msgspec.msgpack.decode(row[0], type=Batch)

    def purge_batches(self, named: Iterable[str]) -> None:
        """Forget those that are not named, but for the last ones: a change may be about to name them. Raises
        sqlite3.Error."""
        kept = {*named}
        found = self._base.execute("SELECT name FROM batch ORDER BY seq DESC").fetchall()
        others = [name for (name,) in found if name not in kept]
        gone = [(name,) for name in others[UNNAMED:]]
        if gone:
            self._base.executemany("DELETE FROM batch WHERE name = ?", gone)


def _weight(row: Shard | None) -> int:
    return 0 if row is None else weight(row)
