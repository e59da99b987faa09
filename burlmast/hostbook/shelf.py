"""Where snapshots stand: written whole beside the last, swapped in, two generations kept. Calls block."""

from __future__ import annotations

import os
from pathlib import Path

from burlmast.hostbook.snapshot import LONGEST, Book, Found, Start, choose, seal, unseal


class Shelf:
    """The files of one gateway."""

    def __init__(self, folder: Path) -> None:
        self.new, self.old = folder / "hosts.blh", folder / "hosts.old.blh"

    def write(self, book: Book) -> None:
        """Keep a book; killed at any moment, one of both generations is sound. Raises OSError."""
        self.new.parent.mkdir(parents=True, exist_ok=True)
        fresh = self.new.with_suffix(".tmp")
        with fresh.open("wb") as out:
            out.write(seal(book))
            out.flush()
            os.fsync(out.fileno())
        if self._read(self.new).outcome == "sound":  # what is damaged must not push out what is sound
            os.replace(self.new, self.old)
        os.replace(fresh, self.new)
        folder = os.open(self.new.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def start(self, wall: int, oldest: int) -> Start:
        """What there is to start from; see `choose`."""
        return choose([self._read(self.new), self._read(self.old)], wall, oldest)

    @staticmethod
    def _read(file: Path) -> Found:
        try:
            with file.open("rb") as data:
                return unseal(data.read(LONGEST))
        except FileNotFoundError:
            return Found(None, "absent")
        except OSError:
            return Found(None, "unreadable")
