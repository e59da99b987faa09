"""The matrix of faults: every message that must arrive, met by every fault, on every choice of connections.

A cell is one combination of the axes. `cells` enumerates those that the protocol makes possible, `impossible`
names the sentence that excludes the others, `sample` draws some by a seed. Durations in seconds.
"""

from __future__ import annotations

import random
import zlib
from collections.abc import Callable, Iterator
from enum import Enum
from itertools import product
from typing import NamedTuple

FOR_GOOD = float("inf")


class Message(Enum):
    """The message that a fault strikes, and its hop."""

    HOST_RELEASE = "a host's release of a session, to the gateway"
    HOST_ANSWER = "a host's answer to a set-up, to the gateway"
    SETUP = "a set-up, to a host"
    GATEWAY_RELEASE = "the release of a session that its viewer ended, to a host"
    VIEWER_END = "the end of a session, to its viewers"


class Connections(Enum):
    """The connections of the hop that are struck."""

    OWN = "that of the session"
    OTHER = "all but that of the session"
    ALL = "all"


class Company(Enum):
    """What else the connections carry."""

    ALONE = "one connection, nothing else"
    BESIDE = "other connections are busy, the session's own is idle"
    BUSY = "all connections are busy"


class Fate(Enum):
    """What becomes of bytes and connections."""

    DELAYED = "delayed"
    HELD = "held, then delivered"
    HELD_RESET = "held, then reset"
    DROPPED = "dropped while the connection stays up"
    RESET = "reset"
    CLOSED = "closed on both sides by a box between"
    CLIENT_FIRST = "reset towards who dialled, later towards the other"
    CUT = "cut in the middle of a message, then reset"
    HELD_DROPPED = "held, then dropped; the connection goes on"
    CLOSED_CLIENT_FIRST = "closed in order towards who dialled, reset later towards the other"
    DROPPED_CLOSE_ANSWERED = "dropped; a close by who dialled is answered in order by a box between"
    DROPPED_CLOSE_RESET = "dropped; a close by who dialled is answered by a reset of a box between"


class Moment(Enum):
    """When, as against the writing of the message."""

    BEFORE = "before"
    AS = "as"
    AFTER = "after"


class HostKind(Enum):
    """When a host repeats a release, which the protocol leaves open to two readings."""

    REPEATS = "on each next connection that is opened"
    REPEATS_LOST = "only what it wrote on a connection that it has lost since"


class Around(Enum):
    """What else happens."""

    NOTHING = "nothing"
    GATEWAY_STOPPED = "the gateway is stopped for 0.5 s"
    HOST_HANGS = "the host hangs for 0.6 s"
    RETIRED = "a set-up had run out of time on the session's connection"
    HANDED_OVER = "the session was handed over after a restart"
    NEXT_TOO = "the next connection of the hop meets the same fault"


class Cell(NamedTuple):
    """One combination."""

    message: Message
    connections: Connections
    company: Company
    fate: Fate
    moment: Moment
    duration: float
    host: HostKind
    around: Around

    @property
    def name(self) -> str:
        """Short, for a test's id."""
        lasts = "end" if self.duration == FOR_GOOD else f"{self.duration:g}s"
        parts = (self.message, self.connections, self.company, self.fate, self.moment)
        names = [part.name.lower() for part in parts]
        return "-".join((*names, lasts, self.host.name.lower(), self.around.name.lower()))


DURATIONS = (0.05, 0.5, 1.5, 5.0, FOR_GOOD)
AT_ONCE = frozenset((Fate.RESET, Fate.CLOSED))  # no duration
CLOSED_BY_A_BOX = (Fate.CLOSED_CLIENT_FIRST, Fate.DROPPED_CLOSE_ANSWERED, Fate.DROPPED_CLOSE_RESET)
ESTABLISHED = frozenset((Message.HOST_RELEASE, Message.GATEWAY_RELEASE, Message.VIEWER_END))


def impossible(cell: Cell) -> str:
    """The reason that excludes a cell; empty: it is possible."""
    return next((reason for excludes, reason in EXCLUSIONS if excludes(cell)), "")


def host_never_learns(cell: Cell) -> bool:
    """Whether the host holds a lost connection for open for good, and repeats nothing that it wrote."""
    if cell.host is HostKind.REPEATS or cell.duration != FOR_GOOD:
        return False
    held = cell.fate is Fate.HELD and cell.connections is not Connections.ALL
    return held or cell.fate in (Fate.CLIENT_FIRST, *CLOSED_BY_A_BOX)


def _unreachable_for_good(cell: Cell) -> bool:
    return (
        cell.duration == FOR_GOOD
        and cell.connections is Connections.ALL
        and cell.fate in (Fate.HELD, Fate.DROPPED, Fate.DROPPED_CLOSE_ANSWERED, Fate.DROPPED_CLOSE_RESET)
    )


EXCLUSIONS: tuple[tuple[Callable[[Cell], bool], str], ...] = (
    (
        lambda cell: cell.fate in AT_ONCE and cell.duration != DURATIONS[0],
        "a reset or a close has no duration",
    ),
    (
        lambda cell: cell.duration == FOR_GOOD
        and cell.fate in (Fate.DELAYED, Fate.HELD_RESET, Fate.HELD_DROPPED),
        "what is delayed or held for good is neither delivered nor reset nor dropped",
    ),
    (
        lambda cell: cell.company is Company.ALONE and cell.connections is Connections.OTHER,
        "there is no other connection",
    ),
    (
        lambda cell: cell.message not in ESTABLISHED and cell.connections is Connections.OTHER,
        "before its answer a session has no connection of its own to which others are others",
    ),
    (
        lambda cell: cell.around is Around.HANDED_OVER and cell.connections is not Connections.ALL,
        "a session that was handed over has no connection of its own",
    ),
    (
        lambda cell: cell.message not in ESTABLISHED and cell.around in (Around.RETIRED, Around.HANDED_OVER),
        "before its answer there is no session to hand over, and no set-up takes a retired connection",
    ),
    (
        lambda cell: cell.message in (Message.VIEWER_END, Message.SETUP, Message.HOST_ANSWER)
        and cell.host is HostKind.REPEATS_LOST,
        "this message is not a host's release",
    ),
    (
        lambda cell: cell.message is Message.GATEWAY_RELEASE and _unreachable_for_good(cell),
        "no connection to the host passes or comes up any more",
    ),
)


def all_combinations() -> Iterator[Cell]:
    """Every combination, in a fixed order."""
    axes = (Message, Connections, Company, Fate, Moment, DURATIONS, HostKind, Around)
    for values in product(*axes):
        yield Cell(*values)


def cells() -> list[Cell]:
    """Every combination that the protocol makes possible."""
    return [cell for cell in all_combinations() if not impossible(cell)]


def sample(seed: int, number: int, chosen: list[Cell] | None = None) -> list[Cell]:
    """So many cells by a seed, the same each time."""
    chosen = cells() if chosen is None else chosen
    chance = random.Random(zlib.crc32(f"fault matrix {seed}".encode()))
    return chance.sample(chosen, min(number, len(chosen)))
