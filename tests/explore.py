"""Explores a small system whole: every order of its moves, breadth first, so that the first story that goes
wrong is a shortest one."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from typing import NamedTuple


class Explored(NamedTuple):
    """How many states there are, and the shortest way to a wrong one, empty where there is none."""

    states: int
    story: list[str]
    wrong: str


def explore(
    start: Hashable,
    moves: Callable[[Hashable], Iterable[tuple[str, Hashable]]],
    wrong: Callable[[Hashable], str],
    most: int = 3_000_000,
) -> Explored:
    """All states that can be reached from `start`; raises AssertionError past `most` of them."""
    came: dict[Hashable, tuple[Hashable, str] | None] = {start: None}
    queue = deque([start])
    while queue:
        state = queue.popleft()
        found = wrong(state)
        if found:
            story: list[str] = []
            at: Hashable = state
            while came[at] is not None:
                at, label = came[at]  # type: ignore[misc]
                story.append(label)
            return Explored(len(came), story[::-1], found)
        for label, after in moves(state):
            if after not in came:
                came[after] = state, label
                queue.append(after)
                assert len(came) <= most, f"more than {most} states"
    return Explored(len(came), [], "")
