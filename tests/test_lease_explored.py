"""No course of events confirms a session's lease beyond an end that was lost, explored breadth first.

A world of one session, two connections at most and an adversary: it opens connections that pass nothing,
stops either direction for good, resets a connection on one side or on both, lets either side close, and lets
the host write. The host follows the protocol and repeats nothing: what holds rests on no reading of that.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from copy import deepcopy
from dataclasses import dataclass, field

import pytest

from burlmast import lease
from burlmast.lease import HostLease, Link, LinkInput, LinkState, SessionLease

STEP = 1_000 * lease.MS
START = 100 * STEP
DEPTH = 7
MOST_LINKS = 2


@dataclass
class End:
    """One connection as it is at the host and on the way."""

    link: Link
    host_open: bool = True
    down: bool = True  # whether bytes of the host arrive
    up: bool = True  # whether the gateway's close does


@dataclass
class World:
    """All that there is."""

    now: int = START
    host: HostLease = field(default_factory=HostLease)
    ends: list[End] = field(default_factory=list)
    session: SessionLease = field(default_factory=lambda: SessionLease(START))
    ended_at: int = 0  # when the session ended; 0: it stands
    unsent: bool = False  # its release found no connection at the host yet
    delivered: bool = False

    def key(self) -> tuple[object, ...]:
        """Equal for worlds that differ in nothing that counts."""
        ends = tuple(
            (
                each.link.state, self.now - each.link.confirmed_at, self.now - each.link.ended_at,
                each.host_open, each.down, each.up, each.link is self.session.origin,
            )
            for each in self.ends
        )  # fmt: skip
        over = self.now - self.ended_at if self.ended_at else 0
        return (*ends, over, self.unsent, self.now - self.host.last_ended_at, self.now - self.session.since)

    def take(self, end: End, happening: LinkInput) -> None:
        self.host.take(end.link, happening, self.now)

    def open(self, down: bool) -> None:
        self.ends.append(End(self.host.opened(self.now), down=down))
        if self.unsent:
            self.unsent, self.delivered = False, down

    def write(self, end: End) -> None:
        """The host sends a note on the session, where it would send its release."""
        if end.down:
            self.take(end, LinkInput.RECEIVED)
            if self.session.origin is not None and self.session.origin is not end.link:
                self.host.known_closed(self.session.origin, self.now)

    def close_for_writing(self, end: End) -> None:
        self.take(end, LinkInput.CLOSED_FOR_WRITING)
        if end.up:
            self.host_closes(end)

    def host_closes(self, end: End) -> None:
        end.host_open = False
        if end.down:
            self.take(end, LinkInput.ENDED_BY_HOST)

    def reset(self, end: End, both: bool) -> None:
        end.down = end.up = False
        end.host_open &= not both
        self.take(end, LinkInput.RESET)

    def end_session(self, end: End | None) -> None:
        self.ended_at = self.now
        self.unsent = end is None
        self.delivered = end is not None and end.down

    def carriers(self) -> list[End]:
        """The connections that the host may write on for the session."""
        opened = [each for each in self.ends if each.host_open]
        own = [each for each in opened if each.link is self.session.origin]
        return own or opened


Move = tuple[str, Callable[[World], None]]


def moves(world: World) -> Iterator[Move]:
    """What the adversary may do."""
    if len(world.ends) < MOST_LINKS:
        yield "open", lambda one: one.open(True)
        yield "open dead", lambda one: one.open(False)
    carriers = world.carriers()
    for place, end in enumerate(world.ends):
        state = end.link.state
        if end.host_open and state not in (LinkState.CLOSED, LinkState.LOST):
            if end.down:
                yield f"stop down {place}", lambda one, at=place: setattr(one.ends[at], "down", False)
            if end.up:
                yield f"stop up {place}", lambda one, at=place: setattr(one.ends[at], "up", False)
            yield f"host closes {place}", lambda one, at=place: one.host_closes(one.ends[at])
        if state is LinkState.OPEN:
            yield f"close {place}", lambda one, at=place: one.close_for_writing(one.ends[at])
            yield f"reset here {place}", lambda one, at=place: one.reset(one.ends[at], both=False)
            yield f"reset {place}", lambda one, at=place: one.reset(one.ends[at], both=True)
        if state is LinkState.CLOSING:
            yield f"give up {place}", lambda one, at=place: one.take(one.ends[at], LinkInput.GIVEN_UP)
        reaches = state in (LinkState.OPEN, LinkState.CLOSING)
        if end in carriers and not world.ended_at and reaches:
            yield f"note {place}", lambda one, at=place: one.write(one.ends[at])
        if end in carriers and not world.ended_at:
            yield f"end on {place}", lambda one, at=place: one.end_session(one.ends[at])
        elif end.host_open and end.down and reaches:
            # Another session of this gateway is written to there.
            yield f"other {place}", lambda one, at=place: one.take(one.ends[at], LinkInput.RECEIVED)
    if not carriers and not world.ended_at:
        yield "end unsent", lambda one: one.end_session(None)


def explore() -> tuple[int, list[str]]:
    """How many worlds there are, and the shortest course that breaks the rule; empty: there is none."""
    first = World()
    first.open(True)
    first.session = SessionLease(first.now, first.ends[0].link)
    seen, frontier = {first.key()}, [(first, [""])]
    for _ in range(DEPTH):
        following = []
        for world, course in frontier:
            for name, move in moves(world):
                after = deepcopy(world)
                after.now += STEP
                move(after)
                if after.delivered or after.key() in seen:
                    continue
                seen.add(after.key())
                if after.ended_at and after.host.confirmed_at(after.session) > after.ended_at:
                    return len(seen), [*course, name]
                following.append((after, [*course, name]))
        frontier = following
    return len(seen), []


def test_no_course_of_events_confirms_a_session_beyond_an_end_that_was_lost() -> None:
    worlds, course = explore()
    assert not course, " / ".join(course)
    assert worlds > 10_000


@pytest.mark.parametrize(
    ("state", "happening"),
    [(LinkState.OPEN, LinkInput.RESET), (LinkState.CLOSING, LinkInput.GIVEN_UP)],
)
def test_the_explorer_finds_a_table_that_takes_a_lost_connection_for_closed(
    monkeypatch: pytest.MonkeyPatch, state: LinkState, happening: LinkInput
) -> None:
    monkeypatch.setitem(lease.TRANSITIONS, (state, happening), LinkState.CLOSED)
    assert explore()[1]


def test_the_explorer_finds_evidence_taken_from_another_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    def newest(self: HostLease, session: SessionLease) -> int:
        return max((link.confirmed_at for link in self.links), default=0)

    monkeypatch.setattr(HostLease, "confirmed_at", newest)
    assert explore()[1]
