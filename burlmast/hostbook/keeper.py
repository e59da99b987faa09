"""Keeps what the list says on disk, off the loop and at most so often."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Protocol

from burlmast.api import HostRow
from burlmast.hostbook.shelf import Shelf
from burlmast.hostbook.snapshot import Book, Page


class Ear(Protocol):
    """Who is told."""

    def disk_trouble(self, what: str) -> None:
        """A snapshot could not be written."""


class Keeper:
    """One gateway's list as it is now, and the writing of it."""

    def __init__(self, shelf: Shelf, every: float, ear: Ear) -> None:
        """Must be made on a running loop; it writes at most once in `every` seconds."""
        self.shelf, self._every, self._ear = shelf, every, ear
        self._loop = asyncio.get_running_loop()
        self._thread = ThreadPoolExecutor(1, "hostbook")
        self._pages: dict[int, Page] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._wrote = 0.0
        self._closed = False
        self.kept = 0  # hosts in the last snapshot written

    def heard(self, complete: bool, rows: Iterable[HostRow], where: Mapping[int, str]) -> None:
        """News of the list; a complete one names all there are."""
        if complete:
            self._pages = {}
        for row in rows:
            words = (row.host, row.zone, row.kind, row.cell, row.standing.value, row.weight, row.started)
            self._pages[row.host] = Page(*words, where.get(row.host, ""))
        if self._timer is None and not self._closed:
            wait = max(0.0, self._wrote + self._every - self._loop.time())
            self._timer = self._loop.call_later(wait, self._begin)

    def _begin(self) -> None:
        self._timer, self._wrote = None, self._loop.time()
        # Those that are gone for good would pile up over the years.
        pages = [page for page in self._pages.values() if page.standing != "gone"]
        book = Book(time.time_ns(), sorted(pages, key=lambda page: page.host))
        self._loop.run_in_executor(self._thread, self.shelf.write, book).add_done_callback(
            lambda done: self._ended(done, len(pages))
        )

    def _ended(self, done: asyncio.Future[None], count: int) -> None:
        why = None if done.cancelled() else done.exception()
        if why is not None:
            self._ear.disk_trouble(f"{type(why).__name__}: {why}")
        elif not done.cancelled():
            self.kept = count

    def close(self) -> None:
        """Write no more; what is being written ends first."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        self._thread.shutdown(wait=True)
