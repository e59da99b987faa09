"""No course of events confirms a session's lease beyond an end that was lost, explored breadth first.

A world of one session, two connections at most and an adversary, who is the box between the two: it holds
what passes and delivers it late or drops it, closes or resets either side on its own, keeps a close from the
other side, lets a connection come up dead, and lets the host see one come up that this side has given up. The
host follows the protocol and repeats nothing: what holds rests on no reading of that. Taken on trust is that
what comes on a connection comes in order and without a gap ("Every message travels over TCP"), that a delay
that has begun does not go on for what comes after, that a process that has ended holds no connection ("When a
process dies, its connections are reset"), and nothing else.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from copy import copy
from dataclasses import dataclass, field
from enum import Enum

import pytest

from burlmast import lease
from burlmast.lease import HostLease, Link, LinkInput, LinkState, SessionLease

STEP = 1_000 * lease.MS
START = 100 * STEP
DEPTH = 5
MOST_LINKS = 2
MOST_HELD = 2


class Passing(Enum):
    """What the box does to the bytes of the host on a connection."""

    PASSES = "passes"
    HOLDS = "holds"
    DROPS = "drops for good"


class Kind(Enum):
    """A message of the host."""

    NOTE = "a note on the session"
    OTHER = "about another session"
    REPLY = "a reply to a check"
    RELEASE = "the release of the session"


@dataclass
class End:
    """One connection as it is at the host and on the way."""

    link: Link
    host_open: bool = True
    passing: Passing = Passing.PASSES
    up: bool = True  # whether what this side sends arrives, its close too
    held: tuple[tuple[Kind, int], ...] = ()  # messages, and when what they reply to was sent

    @property
    def readable(self) -> bool:
        """Whether this side may still read on it."""
        return not self.link.ended_at


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

    def clone(self) -> World:
        """A copy that shares nothing that changes."""
        links = {id(link): copy(link) for link in (*self.host.links, *(each.link for each in self.ends))}
        host, session = copy(self.host), copy(self.session)
        host.links = [links[id(link)] for link in self.host.links]
        if session.origin is not None:
            session.origin = links[id(session.origin)]
        ends = []
        for end in self.ends:
            ends.append(copy(end))
            ends[-1].link = links[id(end.link)]
        return World(self.now, host, ends, session, self.ended_at, self.unsent, self.delivered)

    def key(self) -> tuple[object, ...]:
        """Equal for worlds that differ in nothing that counts."""
        ends = tuple(
            (
                each.link.state, self._age(each.link.confirmed_at), self._age(each.link.received_at),
                each.host_open, each.passing, each.up, each.link is self.session.origin,
                tuple((kind, self._age(sent_at)) for kind, sent_at in each.held),
            )
            for each in self.ends
        )  # fmt: skip
        session = (self._age(self.session.established_at), self.session.origin_closed)
        return (*ends, session, self._age(self.ended_at), self.unsent)

    def _age(self, at: int) -> int:
        return self.now - at if at else -1

    def open(self, passing: Passing) -> None:
        self._seen_by_host(End(self.host.opened(self.now), passing=passing))

    def lost_unseen(self) -> None:
        """The host sees a connection come up that this side has given up."""
        known = len(self.host.links)
        self.host.lost_unseen(self.now)
        noted = self.host.links[known:]
        link = noted[0] if noted else Link(self.now, state=LinkState.CLOSED, ended_at=self.now)
        self._seen_by_host(End(link, passing=Passing.DROPS, up=False))

    def _seen_by_host(self, end: End) -> None:
        self.ends.append(end)
        if self.unsent:
            self.unsent = False
            self.write(end, Kind.RELEASE)

    def write(self, end: End, kind: Kind, sent_at: int = 0) -> None:
        """The host writes."""
        if end.passing is Passing.HOLDS:
            end.held += ((kind, sent_at),)
        elif end.passing is Passing.PASSES and end.readable:
            self._read(end, ((kind, sent_at),))

    def _read(self, end: End, messages: tuple[tuple[Kind, int], ...]) -> None:
        if messages:
            self.host.take(end.link, LinkInput.RECEIVED, self.now)
        for kind, sent_at in messages:
            if kind is Kind.NOTE:
                self.session.noted(end.link, self.now)
            elif kind is Kind.REPLY:
                end.link.replied(sent_at)
            elif kind is Kind.RELEASE:
                self.delivered = True

    def deliver(self, end: End) -> None:
        """The box passes on what it has held."""
        end.passing, held, end.held = Passing.PASSES, end.held, ()
        if end.readable:
            self._read(end, held)

    def check(self, end: End) -> None:
        """This side sends a check, and the host replies."""
        if end.up and end.host_open:
            self.write(end, Kind.REPLY, self.now)

    def take(self, end: End, happening: LinkInput) -> None:
        self.host.take(end.link, happening, self.now)
        if end.link.ended_at:
            end.passing, end.held, end.up = Passing.DROPS, (), False

    def close_for_writing(self, end: End) -> None:
        self.take(end, LinkInput.CLOSED_FOR_WRITING)
        if end.up:
            end.host_open = False

    def abort(self, end: End) -> None:
        end.host_open &= not end.up
        self.take(end, LinkInput.ABORTED)

    def host_closes(self, end: End) -> None:
        end.host_open = False
        if end.passing is Passing.PASSES:
            self.take(end, LinkInput.ENDED_BY_HOST)

    def end_session(self, end: End | None) -> None:
        self.ended_at = self.now
        self.unsent = end is None
        if end is not None:
            self.write(end, Kind.RELEASE)

    def carriers(self) -> list[End]:
        """The connections that the host may write on for the session."""
        opened = [each for each in self.ends if each.host_open]
        own = [each for each in opened if each.link is self.session.origin]
        return own or opened


Move = tuple[str, Callable[[World], None]]


def moves(world: World) -> Iterator[Move]:
    """What may happen next."""
    if sum(1 for end in world.ends if end.readable or end.host_open) < MOST_LINKS:
        yield "open", lambda one: one.open(Passing.PASSES)
        yield "open dead", lambda one: one.open(Passing.DROPS)
        yield "drop a dial", lambda one: one.lost_unseen()
    carriers = world.carriers()
    for place, end in enumerate(world.ends):
        yield from host_moves(world, end, place, end in carriers)
        if end.readable:
            yield from box_moves(end, place)
            yield from gateway_moves(end, place)
    if not carriers and not world.ended_at:
        yield "end unsent", lambda one: one.end_session(None)


def host_moves(world: World, end: End, at: int, carries: bool) -> Iterator[Move]:
    """What the host may do with a connection."""
    if not end.host_open or len(end.held) >= MOST_HELD:
        return
    yield f"host closes {at}", lambda one: one.host_closes(one.ends[at])
    yield f"other {at}", lambda one: one.write(one.ends[at], Kind.OTHER)
    if carries and not world.ended_at:
        yield f"note {at}", lambda one: one.write(one.ends[at], Kind.NOTE)
        yield f"end on {at}", lambda one: one.end_session(one.ends[at])


def box_moves(end: End, at: int) -> Iterator[Move]:
    """What the box may do to a connection."""
    if end.passing is Passing.PASSES:
        yield f"hold {at}", lambda one: setattr(one.ends[at], "passing", Passing.HOLDS)
    if end.passing is Passing.HOLDS:
        yield f"deliver {at}", lambda one: one.deliver(one.ends[at])
    if end.passing is not Passing.DROPS:
        yield f"drop {at}", lambda one: vars(one.ends[at]).update(passing=Passing.DROPS, held=())
    if end.up:
        yield f"keep up {at}", lambda one: setattr(one.ends[at], "up", False)
    if end.host_open:
        yield f"close at host {at}", lambda one: setattr(one.ends[at], "host_open", False)
    yield f"close here {at}", lambda one: one.take(one.ends[at], LinkInput.ENDED_BY_HOST)
    yield f"reset here {at}", lambda one: one.take(one.ends[at], LinkInput.RESET)


def gateway_moves(end: End, at: int) -> Iterator[Move]:
    """What this side may do to a connection."""
    if end.link.state is LinkState.OPEN:
        yield f"check {at}", lambda one: one.check(one.ends[at])
        yield f"close {at}", lambda one: one.close_for_writing(one.ends[at])
    if end.link.state is LinkState.CLOSING:
        yield f"give up {at}", lambda one: one.take(one.ends[at], LinkInput.GIVEN_UP)
    yield f"abort {at}", lambda one: one.abort(one.ends[at])


def established() -> World:
    """A session on the connection of its set-up."""
    world = World()
    world.open(Passing.PASSES)
    world.session = SessionLease(world.now, world.ends[0].link)
    return world


def moved() -> World:
    """The same, once its host has closed that connection and sent a note on another one."""
    world = established()
    world.host_closes(world.ends[0])
    world.open(Passing.PASSES)
    world.check(world.ends[1])
    world.write(world.ends[1], Kind.NOTE)
    return world


def handed_over() -> World:
    """A session of an earlier process, and a connection of this one."""
    world = World()
    world.open(Passing.PASSES)
    return world


def explore(first: World, depth: int = DEPTH) -> tuple[int, list[str]]:
    """How many worlds there are, and the shortest course that breaks the rule; empty: there is none."""
    seen, frontier = {first.key()}, [(first, [""])]
    for _ in range(depth):
        following = []
        for world, course in frontier:
            for name, move in moves(world):
                after = world.clone()
                after.now += STEP
                move(after)
                key = after.key()
                if after.delivered or key in seen:
                    continue
                seen.add(key)
                if after.ended_at and after.host.confirmed_at(after.session) > after.ended_at:
                    return len(seen), [*course, name]
                following.append((after, [*course, name]))
        frontier = following
    return len(seen), []


@pytest.mark.parametrize("first", [established, moved, handed_over])
def test_no_course_of_events_confirms_a_session_beyond_an_end_that_was_lost(
    first: Callable[[], World],
) -> None:
    worlds, course = explore(first())
    assert not course, " / ".join(course)
    assert worlds > 4_000


def test_a_session_whose_connection_passes_is_confirmed_by_checks_though_its_host_is_silent() -> None:
    world = established()
    for _ in range(60):
        world.now += STEP
        due = world.host.to_check([world.session], world.now)
        for end in world.ends:
            if end.link in due:
                world.check(end)
        assert not world.host.expired(world.session, world.now)


# Faults put into the leases, each of which the explorer has to find.


def _confirms_by_end(self: HostLease, link: Link, happening: LinkInput, now: int) -> None:
    link.take(happening, now)
    if happening is LinkInput.ENDED_BY_HOST:
        link.confirmed_at = now


def _forgets_ended(self: HostLease, session: SessionLease) -> list[Link]:
    origin = session.origin
    return [origin] if origin and not origin.ended_at else [each for each in self.links if not each.ended_at]


def _forgets_closed(self: HostLease, session: SessionLease) -> list[Link]:
    origin = session.origin
    relied_on = [each for each in self.links if each.state is not LinkState.CLOSED]
    return [origin] if origin and not origin.ended_at else relied_on


def _newest(self: HostLease, session: SessionLease) -> int:
    return max((link.confirmed_at for link in self.links), default=0)


def _confirms_when_read(self: Link, now: int) -> None:
    self.confirmed_at = self.received_at = now


def _noted_when_read(self: SessionLease, link: Link, now: int) -> None:
    self.established_at = now


def _ignores_unseen(self: HostLease, now: int) -> None:
    return None


@pytest.mark.parametrize(
    ("first", "owner", "name", "fault"),
    [
        (established, HostLease, "take", _confirms_by_end),
        (established, HostLease, "carriers", _forgets_ended),
        (established, HostLease, "carriers", _forgets_closed),
        (established, HostLease, "confirmed_at", _newest),
        (established, Link, "_received", _confirms_when_read),
        (established, SessionLease, "noted", _noted_when_read),
        (moved, HostLease, "lost_unseen", _ignores_unseen),
        (handed_over, HostLease, "lost_unseen", _ignores_unseen),
    ],
)
def test_the_explorer_finds_a_fault_in_what_counts_as_evidence(
    monkeypatch: pytest.MonkeyPatch, first: Callable[[], World], owner: type, name: str, fault: object
) -> None:
    monkeypatch.setattr(owner, name, fault)
    assert explore(first())[1]
