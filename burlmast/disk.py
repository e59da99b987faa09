"""SQLite files that a process rests on: each change is on the disk when it returns, damage is laid aside."""

from __future__ import annotations

import os
import sqlite3
from collections.abc import Sequence
from contextlib import suppress
from pathlib import Path


def open_base(file: Path, schema: str, checked: Sequence[str] = ()) -> tuple[sqlite3.Connection, str]:
    """The database, and what was wrong with the one that stood there; that one is laid aside under another
    name. All of it is gone over, or just the tables `checked`: of a table that grows without end only what is
    read is known to be whole. Raises sqlite3.Error where nothing can be opened."""
    try:
        return _connect(file, schema, checked), ""
    except sqlite3.DatabaseError as why:
        if isinstance(why, sqlite3.OperationalError):
            raise
        damaged = f"{file}: {why}"
    for name in (file, file.with_name(file.name + "-wal"), file.with_name(file.name + "-shm")):
        if name.exists():
            os.replace(name, name.with_name(f"{name.name}.damaged-{os.getpid()}"))
    return _connect(file, schema, checked), damaged


def _connect(file: Path, schema: str, checked: Sequence[str]) -> sqlite3.Connection:
    base = sqlite3.connect(file, isolation_level=None, check_same_thread=False, timeout=2.0)
    try:
        base.execute("PRAGMA journal_mode=WAL")
        base.execute("PRAGMA synchronous=FULL")
        base.executescript(schema)
        for check in [f"PRAGMA quick_check({table})" for table in checked] or ["PRAGMA quick_check"]:
            found = base.execute(check).fetchone()[0]
            if found != "ok":
                raise sqlite3.DatabaseError(found)
    except sqlite3.Error:
        base.close()
        raise
    return base


def roll_back(base: sqlite3.Connection) -> None:
    """End a transaction that failed; a full disk has rolled back by itself."""
    with suppress(sqlite3.Error):
        if base.in_transaction:
            base.execute("ROLLBACK")
