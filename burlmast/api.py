"""The plain types between a gateway's decisions and whatever carries them.

Times are whole nanoseconds, rates kB a second. Hosts, playbacks and viewers appear as bare ids here and
only here: inside the module objects point to each other. Nothing in this file decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class Ending(Enum):
    """How a setup try, a playing playback or a probe ended."""

    SERVED = "served"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    NO_CONNECTION = "no connection"
    BROKEN = "broken"
    CALLED_OFF = "called off"
    MOOT = "moot"


class Repeat(Enum):
    """May a set-up of the plan be done again?"""

    FREELY = "freely"
    WITHIN_GROUP = "within group"
    NEVER = "never"


class Standing(Enum):
    """What the list says of a host."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Scope(Enum):
    """What a list event holds."""

    CHANGES = "changes"
    COMPLETE = "complete"
    CACHED = "cached"
    FAILED = "failed"


class News(Enum):
    """What a note on a playback tells."""

    SHARE = "share"
    RUNG = "rung"
    LINK = "link"
    UPLINK = "uplink"


class Load(NamedTuple):
    """A host's own report; what it does not tell is None."""

    streams: float | None = None
    link: float | None = None
    uplink: float | None = None


# What is handed over at start.


@dataclass(frozen=True)
class Plan:
    """Terms of one plan."""

    revenue: float
    startup_target: int
    repeat: Repeat
    repeat_group: str
    repeat_span: int
    floor: int
    top: int
    seats: int
    scale: float


@dataclass(frozen=True)
class Ladder:
    """The encoded rates and what each rung earns."""

    rates: tuple[float, ...]
    earns: tuple[float, ...]


@dataclass(frozen=True)
class Lineup:
    """What is told beforehand of links, uplinks and hosts."""

    cells: int
    racks: int
    link_per_weight: float
    uplink: float
    streams_by_kind: tuple[int, ...]
    weights_tell_size: bool
    reports: bool
    tells: bool
    note_lag: int
    stall: float = 0.0  # points of revenue lost for each point of its rate that a playback does not get


@dataclass(frozen=True)
class Allowed:
    """What a gateway may do here."""

    probes: bool
    call_off: bool
    tries: int
    advice: bool
    longest_advice: int
    must_ask: bool
    ask_within: int
    connect: int = 0  # how long a set-up may wait for a connection


@dataclass(frozen=True)
class HouseRules:
    """The figures of the six rules."""

    cold_share: float
    warm_after: int
    fall_multiple: float
    fall_span: int
    further_free: float | None
    further_ratio: float
    further_span: int


@dataclass(frozen=True)
class Terms:
    """All that a gateway is told once, when it starts."""

    gateways: int
    number: int
    zone: int
    beat: int
    plans: tuple[Plan, ...]
    ladder: Ladder
    lineup: Lineup
    allowed: Allowed
    rules: HouseRules


# Events.


class HostRow(NamedTuple):
    """One line of the list of hosts."""

    host: int
    zone: int
    kind: int
    cell: int
    standing: Standing
    weight: float
    started: int


class Listed(NamedTuple):
    """News of the list of hosts."""

    scope: Scope
    rows: tuple[HostRow, ...]


class Request(NamedTuple):
    """What is known of a playback when it comes."""

    pb: int
    plan: int
    top: float
    home: int
    copies: int
    title: int
    viewer: int
    patience: int
    moved: bool = False
    returned: bool = False
    lasts: int = 0


class Arrived(NamedTuple):
    """A playback to set up; its abandon time is `request.patience` from now."""

    request: Request


class HandedOver(NamedTuple):
    """A playback that plays already, as setup try 0."""

    request: Request
    host: int


class Flowing(NamedTuple):
    """A playback plays."""

    pb: int
    attempt: int
    host: int
    took: int


class Ended(NamedTuple):
    """A setup try, or the playback that came of it, has ended."""

    pb: int
    attempt: int
    host: int
    ending: Ending
    took: int
    final: bool
    load: Load


class Unsent(NamedTuple):
    """Nothing of a setup try has been written, since it was no longer allowed: it counts as never decided."""

    pb: int
    attempt: int
    host: int


class Note(NamedTuple):
    """News on a playback that plays."""

    pb: int
    attempt: int
    host: int
    news: News
    value: float


class ViewerLeft(NamedTuple):
    """The viewer is gone; nothing is owed."""

    pb: int


class Bell(NamedTuple):
    """An alarm set earlier is due."""

    token: int


class Probed(NamedTuple):
    """A probe's result."""

    host: int
    ending: Ending
    took: int
    load: Load


class FromPeer(NamedTuple):
    """Bytes from another gateway."""

    sender: int
    data: bytes


Event = (
    Listed | Arrived | HandedOver | Flowing | Ended | Unsent | Note | ViewerLeft | Bell | Probed | FromPeer
)


# Actions.


class SetUp(NamedTuple):
    """Send a setup try; `allow` 0 waits until the viewer gives up."""

    pb: int
    host: int
    allow: int


class SetRung(NamedTuple):
    """Put the playback on a rung."""

    pb: int
    rung: int


class Reject(NamedTuple):
    """Final: not served, asking again is harmless; `wait` 0 gives no advice."""

    pb: int
    wait: int


class Abort(NamedTuple):
    """Final: not served, with no word on what ran."""

    pb: int


class CallOff(NamedTuple):
    """Stop waiting for a setup try."""

    pb: int
    attempt: int


class Move(NamedTuple):
    """End a playing playback so that it comes back to be set up elsewhere."""

    pb: int


class SetAlarm(NamedTuple):
    """Ring after so long."""

    after: int
    token: int


class Probe(NamedTuple):
    """Look after a host."""

    host: int


class KeepInformed(NamedTuple):
    """Ask for changes of the list from now on."""


class Remark(NamedTuple):
    """A line for the operators' log."""

    text: str


Action = SetUp | SetRung | Reject | Abort | CallOff | Move | SetAlarm | Probe | KeepInformed | Remark
