"""Which cells are played next, and what becomes of one whose worker dies. Free of I/O.

A worker's death takes every cell with it that was being played, and does not say which of them was the cause.
Each is played once more with no other beside it: who is alone when its worker dies again is given up, and the
rest of the sweep goes on.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

# State and what happens give the next state; what has no row is an error of the caller.
TABLE: dict[tuple[str, str], str] = {
    ("waiting", "found"): "done",  # in the ledger of an earlier run
    ("waiting", "begins"): "running",
    ("running", "finishes"): "done",
    ("running", "raises"): "given up",  # the same words would raise the same again
    ("running", "worker dies"): "suspect",
    ("suspect", "begins"): "alone",
    ("alone", "finishes"): "done",
    ("alone", "raises"): "given up",
    ("alone", "worker dies"): "given up",
}
OUT = ("running", "alone")


class Roster:
    """The state of every cell, by its place in the grid."""

    def __init__(self, count: int, slots: int) -> None:
        """`slots` cells are played at a time."""
        self._states = ["waiting"] * count
        self._slots = slots
        self.why: dict[int, str] = {}  # of those given up

    def happen(self, cell: int, happening: str, why: str = "") -> None:
        """Something came of a cell. Raises KeyError for what cannot happen to it now."""
        self._states[cell] = TABLE[self._states[cell], happening]
        if self._states[cell] == "given up":
            self.why[cell] = why

    def worker_died(self) -> None:
        """A worker is gone and all that were being played with it."""
        for cell in self.being(*OUT):
            self.happen(cell, "worker dies", "its worker died while nothing else was played")

    def being(self, *states: str) -> list[int]:
        """The cells in these states."""
        return [cell for cell, state in enumerate(self._states) if state in states]

    def next(self) -> list[int]:
        """The cells to begin now. A suspect is played when nothing else is, and before what still waits."""
        out, suspects = self.being(*OUT), self.being("suspect")
        if suspects:
            return [] if out else suspects[:1]
        if self.being("alone"):
            return []
        return self.being("waiting")[: self._slots - len(out)]

    @property
    def over(self) -> bool:
        """Whether nothing is left to play."""
        return not self.being("waiting", "suspect", *OUT)

    def count(self, states: Iterable[str]) -> int:
        """How many are in these states."""
        return len(self.being(*states))


def order(cells: Sequence[tuple[str, ...]], seeds: Sequence[int]) -> list[int]:
    """The places in the order of playing: a seed's whole row before the next seed's, so that a sweep that is
    cut short has whole pairs."""
    return sorted(range(len(cells)), key=lambda place: (seeds[place], place))
