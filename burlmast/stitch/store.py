"""Programmes, reels and what was heard on disk: SQLite in WAL mode, each change one transaction.

The programme stands in two files, written one after the other: with either damaged a gateway still starts
with the last one. Calls block; the shell makes them in a thread of their own.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable, Iterator, Sequence
from contextlib import closing
from pathlib import Path
from typing import NamedTuple

import msgspec

from burlmast.disk import open_base
from burlmast.stitch.programme import Programme
from burlmast.stitch.reel import Heard, Kept

SCHEMA = """
CREATE TABLE IF NOT EXISTS programme (version INTEGER PRIMARY KEY, stated BLOB NOT NULL);
CREATE TABLE IF NOT EXISTS reel (playback TEXT PRIMARY KEY, kept BLOB NOT NULL, at INTEGER NOT NULL);
CREATE TABLE IF NOT EXISTS heard (
    id INTEGER PRIMARY KEY, playback TEXT NOT NULL, viewer TEXT NOT NULL, title TEXT NOT NULL,
    notice TEXT NOT NULL, version INTEGER NOT NULL, point TEXT NOT NULL, sequence INTEGER NOT NULL,
    at INTEGER NOT NULL, UNIQUE (playback, point));
"""
COPY = "CREATE TABLE IF NOT EXISTS programme (version INTEGER PRIMARY KEY, stated BLOB NOT NULL);"


class StoreFault(Exception):
    """The disk does not take or give what it should: one line."""


class Change(NamedTuple):
    """A reel as it is to be kept, and what its new pieces let be heard."""

    playback: str
    viewer: str
    title: str
    kept: Kept
    heard: Sequence[Heard]


class HeardRow(NamedTuple):
    """A line of the record."""

    playback: str
    viewer: str
    title: str
    notice: str
    version: int
    point: str
    sequence: int
    at: int  # nanoseconds of this gateway's wall clock; to order lines, use sequences


class Store:
    """The files of one gateway. Raises StoreFault."""

    def __init__(self, folder: Path) -> None:
        """Damaged files are laid aside under another name, and told in `damaged`."""
        self.damaged: list[str] = []
        self.folder = folder
        try:
            folder.mkdir(parents=True, exist_ok=True)
        except OSError as why:
            raise StoreFault(f"{folder}: {why.strerror or why}") from None
        self._main = self._open(folder / "stitch.sqlite", SCHEMA)
        self._copy = self._open(folder / "programme.sqlite", COPY)
        self._reader = sqlite3.connect(folder / "stitch.sqlite", check_same_thread=False, timeout=2.0)
        if len(self.damaged) == 2:
            raise StoreFault(f"{folder}: both files of the programme are damaged; what must be heard is lost")

    def _open(self, file: Path, schema: str) -> sqlite3.Connection:
        try:
            base, damaged = open_base(file, schema)
        except (sqlite3.Error, OSError) as why:
            raise StoreFault(f"{file}: {why}") from None
        if damaged:
            self.damaged.append(damaged)
        return base

    def programme(self) -> Programme:
        """The programme in force: the later of the two that are kept, or the empty one."""
        found = Programme()
        for base in (self._main, self._copy):
            row = base.execute("SELECT stated FROM programme ORDER BY version DESC LIMIT 1").fetchone()
            if row is not None:
                stated: Programme = msgspec.json.decode(row[0], type=Programme)
                found = stated if stated.version > found.version else found
        return found

    def history(self) -> list[Programme]:
        """Every programme that was in force, oldest first."""
        rows = self._main.execute("SELECT stated FROM programme ORDER BY version").fetchall()
        return [msgspec.json.decode(row[0], type=Programme) for row in rows]

    def save_programme(self, one: Programme) -> str:
        """Keep a programme; on return it is on the disk. What is wrong with the copy is told, or nothing: a
        change that is on the disk cannot be refused any more, or it would come back with the next start."""
        row = one.version, msgspec.json.encode(one)
        with Transaction(self._main) as base:
            base.execute("INSERT OR REPLACE INTO programme VALUES (?, ?)", row)
        try:
            with Transaction(self._copy) as base:
                base.execute("INSERT OR REPLACE INTO programme VALUES (?, ?)", row)
        except StoreFault as why:
            return f"the programme's copy: {why}"
        return ""

    def save(self, changes: Iterable[Change], at: int) -> None:
        """Keep reels and what was heard, all or nothing; on return it is on the disk."""
        with Transaction(self._main) as base:
            for one in changes:
                base.execute(
                    "INSERT OR REPLACE INTO reel VALUES (?, ?, ?)",
                    (one.playback, msgspec.msgpack.encode(one.kept), at),
                )
                for heard in one.heard:
                    base.execute(
                        "INSERT OR IGNORE INTO heard VALUES (NULL, ?, ?, ?, ?, ?, ?, ?, ?)",
                        (one.playback, one.viewer, one.title, *heard, at),
                    )

    def reel(self, playback: str) -> Kept | None:
        """A reel as it was last kept."""
        # Danger: the writing connection would show what it has not committed yet.
        try:
            row = self._reader.execute("SELECT kept FROM reel WHERE playback = ?", (playback,)).fetchone()
            return msgspec.msgpack.decode(row[0], type=Kept) if row is not None else None
        except (sqlite3.Error, msgspec.MsgspecError) as why:
            raise StoreFault(str(why)) from None

    def forget(self, playbacks: Iterable[str], before: int = 0) -> None:
        """These playbacks, and all kept before, are over."""
        with Transaction(self._main) as base:
            base.executemany("DELETE FROM reel WHERE playback = ?", [(one,) for one in playbacks])
            base.execute("DELETE FROM reel WHERE at < ?", (before,))

    def heard(self, playback: str = "", notice: str = "", viewer: str = "") -> Iterator[HeardRow]:
        """The record, oldest first; what is given narrows it."""
        return rows_heard(self._main, playback, notice, viewer)

    def close(self) -> None:
        """Let go of the files."""
        self._reader.close()
        self._main.close()
        self._copy.close()


class Transaction:
    """All or nothing; what the disk refuses becomes a StoreFault."""

    def __init__(self, base: sqlite3.Connection) -> None:
        self._base = base

    def __enter__(self) -> sqlite3.Connection:
        try:
            self._base.execute("BEGIN IMMEDIATE")
        except sqlite3.Error as why:
            raise StoreFault(str(why)) from None
        return self._base

    def __exit__(self, kind: type[BaseException] | None, why: BaseException | None, trace: object) -> None:
        try:
            if kind is None:
                self._base.execute("COMMIT")
            elif self._base.in_transaction:  # a full disk has rolled back by itself
                self._base.execute("ROLLBACK")
        except sqlite3.Error as fault:
            if self._base.in_transaction:
                self._base.execute("ROLLBACK")
            raise StoreFault(str(why or fault)) from fault
        if isinstance(why, sqlite3.Error):
            raise StoreFault(str(why)) from None


def read_heard(folder: Path, playback: str = "", notice: str = "", viewer: str = "") -> list[HeardRow]:
    """The record of a gateway that may be running; its files are not touched. Raises StoreFault."""
    file = folder / "stitch.sqlite"
    try:
        with closing(sqlite3.connect(f"file:{file}?mode=ro", uri=True)) as base:
            return list(rows_heard(base, playback, notice, viewer))
    except sqlite3.Error as why:
        raise StoreFault(f"{file}: {why}") from None


def rows_heard(base: sqlite3.Connection, playback: str, notice: str, viewer: str) -> Iterator[HeardRow]:
    """The record, oldest first; what is given narrows it."""
    asked = {"playback": playback, "notice": notice, "viewer": viewer}
    told = {name: value for name, value in asked.items() if value}
    where = " AND ".join(f"{name} = ?" for name in told) or "1"
    columns = ", ".join(HeardRow._fields)
    for row in base.execute(f"SELECT {columns} FROM heard WHERE {where} ORDER BY id", [*told.values()]):
        yield HeardRow(*row)
