"""A gateway's ledger on its disk: SQLite in WAL mode, written in a thread of its own, never a write a
request."""

from __future__ import annotations

import asyncio
import fcntl
import os
import sqlite3
import sys
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from pathlib import Path

import msgspec

from burlmast.disk import open_base, roll_back
from burlmast.fleet.ledger import Ledger, Row
from burlmast.fleet.messages import ROWS_AT_ONCE, Placed

SCHEMA = """
CREATE TABLE IF NOT EXISTS row (life TEXT NOT NULL, n INTEGER NOT NULL, body BLOB NOT NULL,
    PRIMARY KEY (life, n)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS life (life TEXT PRIMARY KEY, place INTEGER NOT NULL);
CREATE TABLE IF NOT EXISTS lot (upto INTEGER PRIMARY KEY, body BLOB NOT NULL);
CREATE TABLE IF NOT EXISTS kept (name TEXT PRIMARY KEY, body BLOB NOT NULL);
"""
REMOVED_AT_ONCE = 1000  # rows a write
LIVES = 16  # earlier lives that desks are still told of
OVER = (
    "SELECT life, place FROM life WHERE place <= "
    "(SELECT place FROM life ORDER BY place DESC LIMIT 1 OFFSET ?) ORDER BY place"
)


class FolderInUse(Exception):
    """Another process holds this gateway's folder: two lives with one number."""


class Lock:
    """Holds a folder for one process; the kernel lets go when it dies."""

    def __init__(self, folder: Path) -> None:
        """Raises FolderInUse, OSError."""
        folder.mkdir(parents=True, exist_ok=True)
        self._file = os.open(folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._file)
            raise FolderInUse(f"{folder}: another process holds this folder") from None

    def close(self) -> None:
        """Let go."""
        os.close(self._file)


class Files:
    """The tables; calls block and raise sqlite3.Error."""

    def __init__(self, folder: Path) -> None:
        """What is damaged is laid aside under another name and told in `damaged`. Raises OSError,
        sqlite3.Error where the folder takes no file."""
        self.base, self.damaged = open_base(folder / "ledger.sqlite", SCHEMA)

    def lives(self) -> dict[str, int]:
        """The last lives and how many rows each has, oldest first."""
        rows = self.base.execute("SELECT life FROM life ORDER BY place DESC LIMIT ?", (LIVES,)).fetchall()
        count = "SELECT COALESCE(MAX(n), 0) FROM row WHERE life = ?"
        return {life: self.base.execute(count, (life,)).fetchone()[0] for (life,) in reversed(rows)}

    def rows(self, have: dict[str, int], most: int = ROWS_AT_ONCE) -> list[Row]:
        """Rows that somebody who has so much lacks, of the last lives."""
        found: list[Row] = []
        for life in self.lives():
            after = have.get(life, 0), most - len(found)
            wanted = "SELECT body FROM row WHERE life = ? AND n > ? ORDER BY n LIMIT ?"
            bodies = self.base.execute(wanted, (life, *after)).fetchall()
            found += [msgspec.msgpack.decode(body, type=Row) for (body,) in bodies]
        return found

    def write(self, rows: Sequence[Row], placed: Sequence[Placed], most_placed: int) -> None:
        """Keep rows and placements, all or nothing; on return they are on the disk."""
        self.base.execute("BEGIN IMMEDIATE")
        try:
            for row in rows:
                if row.n == 1:
                    self.base.execute(
                        "INSERT OR IGNORE INTO life SELECT ?, COALESCE(MAX(place), 0) + 1 FROM life",
                        (row.life,),
                    )
                self.base.execute(
                    "INSERT OR IGNORE INTO row VALUES (?, ?, ?)",
                    (row.life, row.n, msgspec.msgpack.encode(row)),
                )
            if placed:
                # One row a write, not an insert and an index a playback; who asks for one reads them all.
                newest = "SELECT COALESCE(MAX(upto), 0) FROM lot"
                upto = self.base.execute(newest).fetchone()[0] + len(placed)
                self.base.execute("INSERT INTO lot VALUES (?, ?)", (upto, msgspec.msgpack.encode(placed)))
                self.base.execute("DELETE FROM lot WHERE upto <= ?", (upto - most_placed,))
            self.base.execute("COMMIT")
        except BaseException:
            roll_back(self.base)
            raise

    def remove(self, most: int = REMOVED_AT_ONCE) -> int:
        """Remove rows of lives that desks are told of no more, `most` at most, oldest first; how many were
        removed. That there were such lives stays known."""
        over = self.base.execute(OVER, (LIVES,)).fetchall()
        done = int(self.named("removed") or 0)  # lives up to this place have no rows
        for life, place in over:
            if place <= done:
                continue
            oldest = "SELECT n FROM row WHERE life = ? ORDER BY n LIMIT ?"
            gone = f"DELETE FROM row WHERE life = ? AND n IN ({oldest})"
            found = self.base.execute(gone, (life, life, most)).rowcount
            if found:
                return found
            self.keep("removed", b"%d" % place)
        return 0

    def placed(self, playback: str) -> list[Placed]:
        """What is known of a playback, oldest first."""
        found: list[Placed] = []
        named = playback.encode("utf-8")
        for (body,) in self.base.execute("SELECT body FROM lot ORDER BY upto"):
            if named in body:
                lot: list[Placed] = msgspec.msgpack.decode(body, type=list[Placed])
                found += [one for one in lot if one.playback == playback]
        return found

    def keep(self, name: str, body: bytes) -> None:
        """Keep a named value; on return it is on the disk."""
        self.base.execute("INSERT OR REPLACE INTO kept VALUES (?, ?)", (name, body))

    def named(self, name: str) -> bytes | None:
        """A value kept by name."""
        row = self.base.execute("SELECT body FROM kept WHERE name = ?", (name,)).fetchone()
        return bytes(row[0]) if row is not None else None

    def close(self) -> None:
        """Let go of the file."""
        self.base.close()


class Scribe:
    """Writes one life's ledger: at most so often, off the loop."""

    def __init__(
        self,
        files: Files | None,
        ledger: Ledger,
        every_s: float,
        patience_s: float,
        most_placed: int,
        wall: Callable[[], int],
        trouble: Callable[[str], None],
    ) -> None:
        """Must be made on a running loop. `patience_s` is how long a new stamp waits for a slow disk."""
        self.files, self.ledger = files, ledger
        self._every, self._patience, self._most = every_s, patience_s, most_placed
        self._wall, self._trouble = wall, trouble
        self._loop = asyncio.get_running_loop()
        self._thread = ThreadPoolExecutor(1, "ledger")
        self._placed: list[Placed] = []
        self._under_way: list[Placed] = []  # handed to the disk, which may not take them
        self._waiting: list[tuple[int, Callable[[], None]]] = []
        self._timer: asyncio.TimerHandle | None = None
        self._writing = False
        self._again = False
        self._closed = False
        self.failing = ""
        self.has: dict[str, int] = {}

    def start(self) -> None:
        """Write the life's first row, and look after the rest from now on."""
        if self.files is not None:
            with suppress(sqlite3.Error):
                self.has = self.files.lives()
        self._write()

    def turn(self, page: int, then: Callable[[], None]) -> None:
        """Call `then` once this page is on the disk, or known not to be."""
        self._waiting.append((page, then))
        self._loop.call_later(self._patience, self._overdue, page)
        self._write()

    def _overdue(self, page: int) -> None:
        if self._waiting and self._waiting[0][0] <= page:
            self._fails(f"the disk takes longer than {self._patience} s")
            self._open(page)

    def _open(self, page: int) -> None:
        while self._waiting and self._waiting[0][0] <= page:
            number, then = self._waiting.pop(0)
            self.ledger.open(number, self._wall())
            then()

    def placed(self, one: Placed) -> None:
        """Remember under what a playback was placed."""
        self._placed.append(one)

    def _write(self) -> None:
        if self._writing:
            self._again = True
            return
        if self._timer is not None:
            self._timer.cancel()
        self._writing, self._again = True, False
        rows, placed = self.ledger.rows(self._wall()), self._placed
        self._placed, self._under_way = [], placed
        pages = max((row.page for row in rows if row.kind == "page"), default=0)
        work = self._loop.run_in_executor(self._thread, self._keep, rows, placed)
        work.add_done_callback(lambda done: self._written(done, rows, placed, pages))

    def _keep(self, rows: list[Row], placed: list[Placed]) -> None:
        if self.files is None:
            raise OSError("there is no ledger on this disk")
        if rows or placed:
            self.files.write(rows, placed, self._most)
        with suppress(sqlite3.Error):  # what was written stands all the same; the next write tries again
            self.files.remove()

    def _written(self, done: asyncio.Future[None], rows: list[Row], placed: list[Placed], pages: int) -> None:
        self._writing, self._under_way = False, []
        why = None if done.cancelled() else done.exception()
        if why is not None:
            self.ledger.lost(rows, f"{type(why).__name__}: {why}")
            self._placed = (placed + self._placed)[-self._most :]
            self._fails(f"{type(why).__name__}: {why}")
        else:
            self.ledger.kept(rows)
            if rows:
                self.has[rows[-1].life] = rows[-1].n
            if self.failing:
                self.failing = ""
                self._trouble("the ledger is kept again")
        self._open(pages)
        if self._closed:
            return
        if self._again:
            self._write()
        else:
            self._timer = self._loop.call_later(self._every, self._write)

    def _fails(self, why: str) -> None:
        if not self.failing:
            self._trouble(f"the ledger is not kept: {why}; serving goes on")
        self.failing = why

    @property
    def waits(self) -> bool:
        """Whether a page is still on its way to the disk."""
        return bool(self._waiting)

    async def rows(self, have: dict[str, int]) -> list[Row]:
        """Rows on the disk that somebody who has so much lacks. Raises as `ask`."""
        found = await self.ask(lambda files: files.rows(have))
        return found if isinstance(found, list) else []

    async def find(self, playback: str) -> list[Placed]:
        """Under what a playback was placed, oldest first. Raises as `ask`."""
        # Danger: the write that is under way may come to nothing while the question waits behind it.
        here = [one for one in [*self._under_way, *self._placed] if one.playback == playback]
        found = await self.ask(lambda files: files.placed(playback))
        kept = found if isinstance(found, list) else []
        return [*kept, *(one for one in here if one not in kept)]

    async def ask(self, question: Callable[[Files], object]) -> object:
        """Read in the writer's thread. Raises sqlite3.Error, or LookupError without a disk."""
        if self.files is None:
            raise LookupError("there is no ledger on this disk")
        return await self._loop.run_in_executor(self._thread, question, self.files)

    def close(self) -> None:
        """The life ends in order: its last rows are written before this returns."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        self._thread.shutdown(wait=True)
        self.ledger.end(self._wall())
        if self.files is not None:
            with suppress(sqlite3.Error, OSError):
                self.files.write(self.ledger.rows(self._wall()), self._placed, self._most)
            self.files.close()


def read_rows(folders: Iterable[Path]) -> tuple[list[Row], list[str]]:
    """All rows in gateways' folders, which may be in use, and what could not be read."""
    rows: list[Row] = []
    troubles: list[str] = []
    for folder in folders:
        file = folder / "ledger.sqlite"
        try:
            base = sqlite3.connect(f"file:{file}?mode=ro", uri=True)
            try:
                found = base.execute("SELECT body FROM row ORDER BY life, n").fetchall()
                rows += [msgspec.msgpack.decode(body, type=Row) for (body,) in found]
            finally:
                base.close()
        except (sqlite3.Error, msgspec.MsgspecError) as why:
            troubles.append(f"{file}: {why}")
    return rows, troubles


def read_removed(folders: Iterable[Path]) -> dict[str, int]:
    """Of lives in gateways' folders of which rows were removed: up to which row. A life of which none is left
    counts as removed up to any."""
    found: dict[str, int] = {}
    for folder in folders:
        with suppress(sqlite3.Error):  # `read_rows` tells of what cannot be read
            base = sqlite3.connect(f"file:{folder / 'ledger.sqlite'}?mode=ro", uri=True)
            try:
                for life, _ in base.execute(OVER, (LIVES,)).fetchall():
                    first = base.execute("SELECT MIN(n) FROM row WHERE life = ?", (life,)).fetchone()[0]
                    if first != 1:
                        found[life] = first - 1 if first is not None else sys.maxsize
            finally:
                base.close()
    return found
