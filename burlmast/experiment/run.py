"""Plays an experiment's cells over worker processes; the roster decides, the ledger keeps."""

from __future__ import annotations

import os
import threading
import time
from collections.abc import Callable, Sequence
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from concurrent.futures.process import BrokenProcessPool
from multiprocessing import get_context

import msgspec

from burlmast.experiment import cell as cells_
from burlmast.experiment.cell import Result
from burlmast.experiment.ledger import Ledger
from burlmast.experiment.plan import Cell
from burlmast.experiment.roster import Roster, order

Work = Callable[[Cell], bytes]


def work(cell: Cell) -> bytes:
    """Play a cell in a worker."""
    return msgspec.msgpack.encode(cells_.run(cell))


def end_with_parent(parent: int) -> None:
    """Danger: a worker whose parent was killed would wait for its next cell for ever."""

    def look() -> None:
        while os.getppid() == parent:
            time.sleep(0.5)
        os._exit(1)

    threading.Thread(target=look, daemon=True).start()


class Sweep:
    """One run over the cells that the ledger does not have yet."""

    def __init__(
        self, cells: Sequence[Cell], code: str, ledger: Ledger, processes: int, play: Work = work
    ) -> None:
        self.cells, self.ledger, self._play = cells, ledger, play
        self.keys = [cell.key(code) for cell in cells]
        self._processes = processes
        self._order = order([cell.arm for cell in cells], [cell.seed for cell in cells])
        self.roster = Roster(len(cells), processes)
        for turn, place in enumerate(self._order):
            if self.keys[place] in ledger.results:
                self.roster.happen(turn, "found")

    def run(self, done: Callable[[Roster], object] = lambda roster: None) -> None:
        """Play what is left. Raises OSError where the ledger cannot be written; what is on disk stays."""
        pool, out = self._pool(), dict[Future[bytes], int]()
        try:
            while not self.roster.over:
                broken = False
                for turn in self.roster.next():
                    try:
                        future = pool.submit(self._play, self.cells[self._order[turn]])
                    except BrokenProcessPool:  # a worker died between two cells: nothing was lost with it
                        broken = True
                        break
                    self.roster.happen(turn, "begins")
                    out[future] = turn
                finished = wait(out, return_when=FIRST_COMPLETED).done if out else set()
                # What is whole is kept before those are counted that a dying worker took with it.
                for future in sorted(finished, key=lambda one: out[one]):
                    broken = self._finish(future, out[future]) or broken
                    del out[future]
                if broken:
                    self.roster.worker_died()
                    out.clear()
                    pool.shutdown(wait=False, cancel_futures=True)
                    pool = self._pool()
                done(self.roster)
        finally:
            pool.shutdown(wait=False, cancel_futures=True)

    def _finish(self, future: Future[bytes], turn: int) -> bool:
        """Whether its worker died."""
        why = future.exception()
        if isinstance(why, BrokenProcessPool):
            return True
        if why is not None:
            self.roster.happen(turn, "raises", f"{type(why).__name__}: {why}")
            return False
        self.ledger.add(self.keys[self._order[turn]], future.result())
        self.roster.happen(turn, "finishes")
        return False

    def _pool(self) -> ProcessPoolExecutor:
        context = get_context("spawn")
        return ProcessPoolExecutor(self._processes, context, end_with_parent, (os.getpid(),))

    def results(self) -> list[Result | None]:
        """In the grid's order, whatever the order of playing was; None for a cell that has none."""
        found = [self.ledger.results.get(key) for key in self.keys]
        return [msgspec.msgpack.decode(one, type=Result) if one is not None else None for one in found]

    def given_up(self) -> list[tuple[Cell, str]]:
        """Cells that will not be played, and why."""
        return [(self.cells[self._order[turn]], why) for turn, why in sorted(self.roster.why.items())]
