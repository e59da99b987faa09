"""When the name server is asked, when over a new socket, and which answers are taken. Free of I/O.

A query goes out every `QUERY_INTERVAL`, whatever has been answered: answers may be lost, late, or overtake
one another, and a query that waits for its answer says nothing about the next. All times are nanoseconds.
"""

from __future__ import annotations

import zlib
from enum import Enum, auto

MS = 1_000_000
TOLD_BY = 1500 * MS  # a change counts as told so long after it happened (PROTOCOL, "The name server")
QUERY_INTERVAL = TOLD_BY // 6  # so that some answers may be lost before `TOLD_BY`
# How long an answer is taken after its query. It bounds the queries and sockets that are kept.
ANSWER_TAKEN_FOR = 12_000 * MS
# Queries in a row without an answer before the next goes out over a new socket: at first, and at most.
NEW_SOCKET_AFTER, NEW_SOCKET_AFTER_MOST = 4, 16
# Sockets that are listened on: at 16 queries each, the oldest has waited 12 s when a fifth is opened.
SOCKETS_MOST = 4


class Happening(Enum):
    """What happens to the queries."""

    DUE = auto()
    ANSWERED = auto()
    UNSOUND = auto()
    MOVED = auto()  # another name server counts from now on


class State(Enum):
    """Whether the name server has answered since the last query."""

    ANSWERED = auto()
    WAITING = auto()


class Effect(Enum):
    """What is to be done."""

    NOTHING = auto()
    QUERY = auto()
    QUERY_AGAIN = auto()
    QUERY_ON_NEW_SOCKET = auto()


TRANSITIONS: dict[tuple[State, Happening], tuple[State, Effect]] = {
    (State.ANSWERED, Happening.DUE): (State.WAITING, Effect.QUERY),
    (State.ANSWERED, Happening.ANSWERED): (State.ANSWERED, Effect.NOTHING),
    (State.ANSWERED, Happening.UNSOUND): (State.WAITING, Effect.NOTHING),
    (State.ANSWERED, Happening.MOVED): (State.WAITING, Effect.QUERY_ON_NEW_SOCKET),
    (State.WAITING, Happening.DUE): (State.WAITING, Effect.QUERY_AGAIN),
    (State.WAITING, Happening.ANSWERED): (State.ANSWERED, Effect.NOTHING),
    (State.WAITING, Happening.UNSOUND): (State.WAITING, Effect.NOTHING),
    (State.WAITING, Happening.MOVED): (State.WAITING, Effect.QUERY_ON_NEW_SOCKET),
}


class QuerySchedule:
    """When the name server is asked, and under which number."""

    def __init__(self, seed: int) -> None:
        self._seed, self._draws = seed, 0
        self._state = State.ANSWERED
        self.due = 0  # when the next query goes out
        self.number = 0  # of the last query
        self._asked_at: dict[int, int] = {}  # the queries whose answers are taken, oldest first
        self._unanswered, self._new_socket_after = 0, NEW_SOCKET_AFTER

    def asked_at(self, number: int) -> int | None:
        """When this query was sent; None where its answer is not taken (any more)."""
        return self._asked_at.get(number)

    def take(self, now: int, happening: Happening) -> Effect:
        """What to do; `due` says when time comes in again."""
        if happening is Happening.DUE and now < self.due:
            return Effect.NOTHING
        self._state, effect = TRANSITIONS[self._state, happening]
        if happening is Happening.ANSWERED:
            self._unanswered = 0
        if happening is Happening.MOVED:
            self._asked_at.clear()
        if effect is Effect.NOTHING:
            return effect
        self._draw_number(now)
        self.due = now + QUERY_INTERVAL
        return self._again() if effect is Effect.QUERY_AGAIN else effect

    def _again(self) -> Effect:
        """A way that passes nothing may be the socket's own: a new one is tried, later each time."""
        self._unanswered += 1
        if self._unanswered < self._new_socket_after:
            return Effect.QUERY
        self._unanswered = 0
        self._new_socket_after = min(2 * self._new_socket_after, NEW_SOCKET_AFTER_MOST)
        return Effect.QUERY_ON_NEW_SOCKET

    def _draw_number(self, now: int) -> None:
        while self._asked_at and now - next(iter(self._asked_at.values())) > ANSWER_TAKEN_FOR:
            del self._asked_at[next(iter(self._asked_at))]
        # A number in use would give the answer to an old query the age of a new one.
        self.number = self._next_draw()
        while self.number in self._asked_at:
            self.number = self._next_draw()
        self._asked_at[self.number] = now

    def _next_draw(self) -> int:
        self._draws += 1
        return zlib.crc32(f"{self._seed}:{self._draws}".encode()) & 0xFFFF
