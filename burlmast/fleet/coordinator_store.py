"""A desk's disk: SQLite in WAL mode. What a desk answers rests on what is here; calls block."""

from __future__ import annotations

import secrets
import sqlite3
from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from contextlib import contextmanager, suppress
from pathlib import Path
from types import MappingProxyType

import msgspec

from burlmast.disk import open_base, roll_back
from burlmast.fleet.ledger import Row
from burlmast.fleet.messages import ROWS_AT_ONCE
from burlmast.fleet.register import Kept

SCHEMA = """
CREATE TABLE IF NOT EXISTS kept (name TEXT PRIMARY KEY, body BLOB NOT NULL);
CREATE TABLE IF NOT EXISTS settings (digest TEXT PRIMARY KEY, body BLOB NOT NULL);
CREATE TABLE IF NOT EXISTS row (seq INTEGER PRIMARY KEY AUTOINCREMENT, life TEXT NOT NULL, n INTEGER NOT NULL,
    body BLOB NOT NULL, UNIQUE (life, n));
CREATE TABLE IF NOT EXISTS life (life TEXT PRIMARY KEY, n INTEGER NOT NULL, removed INTEGER NOT NULL,
    hour INTEGER NOT NULL) WITHOUT ROWID;
CREATE INDEX IF NOT EXISTS life_hour ON life (hour);
CREATE TABLE IF NOT EXISTS page (life TEXT NOT NULL, page INTEGER NOT NULL, body BLOB NOT NULL,
    PRIMARY KEY (life, page)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS mark (hour INTEGER PRIMARY KEY, row INTEGER NOT NULL, look INTEGER NOT NULL,
    wall INTEGER NOT NULL);
CREATE TABLE IF NOT EXISTS look (seq INTEGER PRIMARY KEY AUTOINCREMENT, release INTEGER NOT NULL,
    body BLOB NOT NULL);
CREATE TABLE IF NOT EXISTS contradiction (life TEXT, n INTEGER, body BLOB, PRIMARY KEY (life, n, body));
"""
CHECKED = (
    "kept",
    "settings",
    "life",
    "look",
    "contradiction",
)  # at each start: all that does not grow with rows
HOUR = 3600 * 1_000_000_000  # nanoseconds
AGED = 60 * 1_000_000_000  # nanoseconds between two writes of a store's age
HELD = 24  # hours of a store's age that a life stays in memory after it was asked for
PAGES = 8  # removed ones of a life that rows to come may stand under: those on their way to its disk at once


class CoordinatorStore:
    """Register, settings, gathered rows.

    Of every life that ever was, `life` says up to which row it was taken, for good: a late or doubled row is
    never new. In memory are those of the last day, by the store's age: how long it has been open, all times
    together. A clock that is set wrong, or a coordinator that is down, ages nothing.

    Rows are removed in the order in which they came; `life` then says up to which row, and `page` keeps what
    the rest of a life stands under."""

    def __init__(self, folder: Path) -> None:
        """A damaged file is laid aside and told in `damaged`: the desk is blank then, and votes only once it
        has been filled. Gathered rows are gone over only where they were found damaged. Raises OSError,
        sqlite3.Error."""
        folder.mkdir(parents=True, exist_ok=True)
        self._file, self._doubt = folder / "desk.sqlite", folder / "desk.sqlite.doubted"
        self._open(() if self._doubt.exists() else CHECKED)
        try:
            self._count()
        except sqlite3.DatabaseError as why:
            if type(why) is not sqlite3.DatabaseError:
                raise
            self._base.close()
            self._open(())
            self._count()
        self.name = (self._named("name") or secrets.token_hex(8).encode()).decode()
        self._keep("name", self.name.encode())
        self._marked = -1  # rows and looks that came before the last mark of this run
        self._steady = 0  # the clock, when the age was last looked at
        lately = "SELECT life, n FROM life WHERE hour >= ?"
        self.have: dict[str, int] = dict(self._base.execute(lately, (self._hour - HELD,)).fetchall())
        self._asked = dict.fromkeys(self.have, self._hour)

    def _open(self, checked: Sequence[str]) -> None:
        self._base, self.damaged = open_base(self._file, SCHEMA, checked)
        self._doubt.unlink(missing_ok=True)
        self.age = self._aged = int(self._named("age") or 0)

    @property
    def _hour(self) -> int:
        return self.age // HOUR

    def _count(self) -> None:
        """Rows that were taken before lives were counted, or by a program that does not count them."""
        counted = int(self._named("counted") or 0)
        taken = int(self._base.execute("SELECT COALESCE(MAX(seq), 0) FROM row").fetchone()[0])
        if counted >= taken:
            return
        only = f" WHERE seq > {counted}" if counted else ""
        self._base.execute("BEGIN IMMEDIATE")
        try:
            self._base.execute(
                f"INSERT OR REPLACE INTO life SELECT life, MAX(n), "
                f"COALESCE((SELECT removed FROM life AS old WHERE old.life = row.life), 0), ? "
                f"FROM row{only} GROUP BY life",
                (self._hour,),
            )
            self._keep("counted", b"%d" % taken)
            self._base.execute("COMMIT")
        except BaseException:
            roll_back(self._base)
            raise

    def ages(self, steady: int, wall: int = 0) -> None:
        """Time goes on: nanoseconds of a clock that never goes back, and those of the wall, which are told to
        people. Lives that nobody asked for leave memory once a day is over. Raises sqlite3.Error."""
        hour = self._hour
        self.age += max(0, steady - self._steady) if self._steady else 0
        self._steady = steady
        if self.age >= self._aged + AGED:
            self._keep("age", b"%d" % self.age)
            self._aged = self.age
        if self._hour != hour or self._marked < 0:
            seqs = "SELECT COALESCE((SELECT seq FROM sqlite_sequence WHERE name = ?), 0)"
            row, look = (self._base.execute(seqs, (table,)).fetchone()[0] for table in ("row", "look"))
            if row + look != self._marked:
                self._base.execute(
                    "INSERT OR IGNORE INTO mark VALUES (?, ?, ?, ?)", (self._hour, row, look, wall)
                )
                self._marked = row + look
            self._asked = {life: at for life, at in self._asked.items() if at >= self._hour - HELD}
            self.have = {life: n for life, n in self.have.items() if life in self._asked}

    def upto(self, life: str) -> int:
        """Up to which row a life was taken; 0 for one never heard of. Raises sqlite3.Error."""
        n = self.have.get(life)
        if n is None:
            found = self._base.execute("SELECT n FROM life WHERE life = ?", (life,)).fetchone()
            if found is None:
                return 0
            n = self.have[life] = int(found[0])
        self._asked[life] = self._hour
        return n

    def remove(self, hours: int, most: int, running: Collection[int] = ()) -> int:
        """Remove rows that came longer ago than so many hours of this store's age, `most` at most, and once
        there are none looks of releases that are not running; how many were removed. Contradictions go with
        the rows that they are about. Raises sqlite3.Error."""
        wanted = "SELECT hour, row, look, wall FROM mark WHERE hour <= ? ORDER BY hour DESC LIMIT 1"
        mark = self._base.execute(wanted, (self._hour - hours,)).fetchone()
        if mark is None:
            return 0
        hour, row, look, wall = mark
        with self._doubted():
            piece = "SELECT seq, body FROM row WHERE seq <= ? ORDER BY seq LIMIT ?"
            found = self._base.execute(piece, (row, most)).fetchall()
            still = ",".join(str(int(one)) for one in sorted(running))
            over = f"SELECT seq FROM look WHERE seq <= ? AND release NOT IN ({still}) ORDER BY seq LIMIT ?"
            looks = self._base.execute(over, (look, most)).fetchall() if not found else []
            if not found and not looks:
                self._base.execute("DELETE FROM mark WHERE hour < ?", (hour,))
                return 0
            self._base.execute("BEGIN IMMEDIATE")
            try:
                if found:
                    self._removes([msgspec.msgpack.decode(body, type=Row) for _, body in found])
                    self._base.execute("DELETE FROM row WHERE seq <= ?", (found[-1][0],))
                    self._keep("removed before", b"%d" % wall)
                self._base.executemany("DELETE FROM look WHERE seq = ?", looks)
                self._base.execute("COMMIT")
            except BaseException:
                roll_back(self._base)
                raise
        return len(found) + len(looks)

    def _removes(self, rows: Sequence[Row]) -> None:
        """What is remembered of rows that go."""
        by_life: dict[str, list[Row]] = {}
        for row in rows:
            by_life.setdefault(row.life, []).append(row)
        for life, found in by_life.items():
            pages = {one.page: one for one in self._pages(life)}
            for row in found:
                if row.kind == "page":
                    pages[row.page] = row
                elif row.kind in ("range", "gap"):  # what comes later stands under this page or later ones
                    pages = {page: one for page, one in pages.items() if page >= row.page}
                elif row.kind == "end":
                    pages = {}
                if row.before:
                    self._base.execute("DELETE FROM page WHERE life = ?", (row.before,))
            self._gone(life, found[-1].n, [pages[page] for page in sorted(pages)[-PAGES:]])
            self._base.execute("DELETE FROM contradiction WHERE life = ? AND n <= ?", (life, found[-1].n))

    def _gone(self, life: str, n: int, pages: Iterable[Row]) -> None:
        self._base.execute("UPDATE life SET removed = MAX(removed, ?) WHERE life = ?", (n, life))
        self._base.execute("DELETE FROM page WHERE life = ?", (life,))
        self._base.executemany(
            "INSERT INTO page VALUES (?, ?, ?)",
            [(life, one.page, msgspec.msgpack.encode(one)) for one in pages],
        )

    def _pages(self, life: str) -> list[Row]:
        found = self._base.execute("SELECT body FROM page WHERE life = ? ORDER BY page", (life,))
        return [msgspec.msgpack.decode(body, type=Row) for (body,) in found.fetchall()]

    @property
    def removed_before(self) -> int:
        """The wall clock when the last rows had come that were removed; 0 where none ever was."""
        return int(self._named("removed before") or 0)

    def removed(self, lives: Iterable[str]) -> tuple[dict[str, int], list[Row]]:
        """Of these lives: up to which row they are kept no more, for those of which rows were removed; and
        pages among these that later rows stand under."""
        upto: dict[str, int] = {}
        for life in sorted(set(lives)):
            found = self._base.execute("SELECT removed FROM life WHERE life = ?", (life,)).fetchone()
            if found is not None and found[0]:
                upto[life] = int(found[0])
        return upto, [page for life in upto for page in self._pages(life)]

    @property
    def rows(self) -> int:
        """How many gathered rows are here: their places have no hole."""
        first, last = self._base.execute(
            "SELECT (SELECT MIN(seq) FROM row), (SELECT MAX(seq) FROM row)"
        ).fetchone()
        return int(last - first + 1) if last is not None else 0

    def _named(self, name: str) -> bytes | None:
        row = self._base.execute("SELECT body FROM kept WHERE name = ?", (name,)).fetchone()
        return bytes(row[0]) if row is not None else None

    def _keep(self, name: str, body: bytes) -> None:
        self._base.execute("INSERT OR REPLACE INTO kept VALUES (?, ?)", (name, body))

    def register(self) -> Kept:
        """The acceptor's state, blank on a new disk."""
        raw = self._named("register")
        return msgspec.msgpack.decode(raw, type=Kept) if raw is not None else Kept()

    def keep_register(self, kept: Kept) -> None:
        """On return it is on the disk."""
        self._keep("register", msgspec.msgpack.encode(kept))

    def second_register(self, name: str) -> Kept | None:
        """Another register's state, None where this disk has never had it."""
        raw = self._named(f"register {name}")
        return msgspec.msgpack.decode(raw, type=Kept) if raw is not None else None

    def keep_second_register(self, name: str, kept: Kept) -> None:
        """On return it is on the disk."""
        self._keep(f"register {name}", msgspec.msgpack.encode(kept))

    def floor(self) -> int:
        """The highest epoch in which this desk has let anybody act."""
        return int(self._named("floor") or 0)

    def keep_floor(self, floor: int) -> None:
        """On return it is on the disk."""
        self._keep("floor", b"%d" % floor)

    def least(self) -> int:
        """The epoch of the book by which a lost disk was filled; see `CoordinatorLeases.lost`."""
        return int(self._named("least") or 0)

    def keep_least(self, epoch: int) -> None:
        """On return it is on the disk."""
        self._keep("least", b"%d" % epoch)

    def settings(self, digest: str) -> bytes | None:
        """Settings by their name."""
        row = self._base.execute("SELECT body FROM settings WHERE digest = ?", (digest,)).fetchone()
        return bytes(row[0]) if row is not None else None

    def keep_settings(self, digest: str, body: bytes) -> None:
        """On return they are on the disk."""
        self._base.execute("INSERT OR IGNORE INTO settings VALUES (?, ?)", (digest, body))

    def read_of(self, other: str) -> int:
        """How far another desk's store has been read."""
        return int(self._named(f"read {other}") or 0)

    def take(
        self,
        rows: Iterable[Row],
        other: str = "",
        upto: int = 0,
        removed: Mapping[str, int] = MappingProxyType({}),
        pages: Sequence[Row] = (),
    ) -> None:
        """Gathered rows: each life without a hole, so that `upto` says all. A row that is here and says
        something else is kept as a contradiction. Of another desk's store, `upto` says how far it has been
        read with them, `removed` and `pages` are as `removed` told there: a life goes on after rows that are
        kept no more, with a hole that is told here as well. Raises sqlite3.Error."""
        fresh: dict[str, int] = {}
        holes: dict[str, int] = {}
        seq = 0
        with self._doubted():
            self._base.execute("BEGIN IMMEDIATE")
            try:
                for row in rows:
                    body = msgspec.msgpack.encode(row)
                    have = fresh[row.life] if row.life in fresh else self.upto(row.life)
                    if have + 1 < row.n <= removed.get(row.life, 0) + 1:
                        have = holes[row.life] = row.n - 1
                    if row.n == have + 1:
                        new = "INSERT INTO row VALUES (NULL, ?, ?, ?)"
                        seq = self._base.execute(new, (row.life, row.n, body)).lastrowid or 0
                        fresh[row.life] = row.n
                    elif 0 < row.n <= have:
                        there = self._base.execute(
                            "SELECT body FROM row WHERE life = ? AND n = ?", (row.life, row.n)
                        ).fetchone()
                        if there is not None and bytes(there[0]) != body:
                            self._base.execute(
                                "INSERT OR IGNORE INTO contradiction VALUES (?, ?, ?)",
                                (row.life, row.n, body),
                            )
                self._base.executemany(
                    "INSERT INTO life VALUES (?, ?, 0, ?) "
                    "ON CONFLICT (life) DO UPDATE SET n = excluded.n, hour = excluded.hour",
                    [(life, n, self._hour) for life, n in fresh.items()],
                )
                for life, n in holes.items():
                    self._gone(life, n, [one for one in pages if one.life == life and one.n <= n])
                if seq:
                    self._keep("counted", b"%d" % seq)
                if other:
                    self._keep(f"read {other}", b"%d" % upto)
                self._base.execute("COMMIT")
            except BaseException:
                roll_back(self._base)
                raise
        self.have.update(fresh)
        self._asked.update(dict.fromkeys(fresh, self._hour))

    @contextmanager
    def _doubted(self) -> Iterator[None]:
        """Rows that turn out damaged are gone over, all of them, at the next start."""
        try:
            yield
        except sqlite3.DatabaseError as why:
            if type(why) is sqlite3.DatabaseError:
                with suppress(OSError):
                    self._doubt.touch()
            raise

    def since(self, after: int, most: int = ROWS_AT_ONCE) -> tuple[list[Row], int]:
        """Rows in the order in which they came here, those after a place; and the place up to which. Raises
        sqlite3.Error."""
        wanted = "SELECT seq, body FROM row WHERE seq > ? ORDER BY seq LIMIT ?"
        with self._doubted():
            found = self._base.execute(wanted, (after, most)).fetchall()
        rows: list[Row] = [msgspec.msgpack.decode(body, type=Row) for _, body in found]
        return rows, found[-1][0] if found else after

    def contradictions(self) -> list[Row]:
        """Rows that say something else than those under their numbers."""
        found = self._base.execute("SELECT body FROM contradiction ORDER BY life, n").fetchall()
        return [msgspec.msgpack.decode(body, type=Row) for (body,) in found]

    def contradicting(self) -> int:
        """How many there are."""
        return int(self._base.execute("SELECT COUNT(*) FROM contradiction").fetchone()[0])

    def keep_look(self, release: int, body: bytes) -> None:
        """What a leader saw of a release; on return it is on the disk."""
        self._base.execute("INSERT INTO look VALUES (NULL, ?, ?)", (release, body))

    def looks(self, release: int) -> list[bytes]:
        """All that this desk saw of one, oldest first."""
        found = self._base.execute("SELECT body FROM look WHERE release = ? ORDER BY seq", (release,))
        return [bytes(body) for (body,) in found.fetchall()]

    def close(self) -> None:
        """Let go of the file."""
        self._base.close()
