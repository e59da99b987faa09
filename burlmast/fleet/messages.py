"""What the processes of a fleet say to each other, as msgspec bodies over HTTP. Free of I/O.

Every body is JSON. A word that is not understood is answered 400 and changes nothing; fields that are not
known are passed over, so that builds of different age understand each other.
"""

from __future__ import annotations

import msgspec

from burlmast.fleet.lease import Ask, Given
from burlmast.fleet.ledger import Row
from burlmast.fleet.members import Words
from burlmast.fleet.orders import Book
from burlmast.fleet.register import Ballot
from burlmast.fleet.stamp import Stamp

ROWS_AT_ONCE = 500
LIVES_ASKED = 2000  # in one question


class Away(msgspec.Struct, frozen=True, omit_defaults=True):
    """How a gateway stands to leaves, and what it sees that others need to grant them."""

    disk: str = ""  # the name of its disk; empty where that keeps nothing
    state: str = "in"  # see `going`
    why: str = ""
    leave: int = 0
    finished: int = 0
    was_out: int = 0
    zone: int = 0
    ready: bool = False  # it has a list
    warm: bool = False  # it has run for as long as hosts count as cold
    asked: float = 0.0  # kB/s of all that plays by it
    fallen: tuple[int, ...] = ()  # hosts that failed it and have not served since
    counts: dict[str, int] = {}  # what became of requests in this life


class Heartbeat(msgspec.Struct, frozen=True, omit_defaults=True):
    """A gateway's word to a desk, each beat."""

    ask: Ask
    operators: str  # where its operators' listener is
    stamp: Stamp
    state: str  # of the follower
    why: str
    book: int  # the revision of the book that it knows
    acts: int
    fresh: bool  # it takes new requests
    left: float  # seconds until its lease is over; 0 where it needs none or has none
    fleet: str = ""
    has: dict[str, int] = {}  # its disk's lives: how many rows
    rows: tuple[Row, ...] = ()
    away: Away = Away()
    wants: tuple[int, int] = (0, 0)  # a watched order to take and a leave to go on, which ask for consent
    echo: tuple[str, int] = ("", 0)  # the desk's last token: this word is from after it
    catalogue: tuple[str, int, int] = ("", 0, 0)  # its name, the revision in force here, slices lacking


class HeartbeatReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """A desk's answer."""

    given: Given
    book: Book | None = None  # where the desk knows a later one
    have: dict[str, int] = {}  # of the lives that the gateway named, how many rows are on the desk's disk
    peers: tuple[tuple[int, str, str], ...] = ()  # gateways lately heard: number, life, address
    lets: tuple[bool, bool] = (False, False)  # to what `wants` names
    token: tuple[str, int] = ("", 0)  # the desk's life and its clock
    catalogue: tuple[str, int] = ("", 0)  # its name and the revision that this coordinator has


class ListedHost(msgspec.Struct, frozen=True, array_like=True):
    """A row of the list, as a gateway heard it; `started` nanoseconds of the wall clock, 0 not known."""

    host: int
    zone: int
    cell: int
    standing: str
    weight: float
    started: int
    address: str


class Inventory(msgspec.Struct, frozen=True):
    """A gateway's list and its name."""

    name: str
    hosts: tuple[ListedHost, ...]


class Asked(msgspec.Struct, frozen=True):
    """An operator asks that some go out; hosts may be named by rack or zone, gateways by zone."""

    request: str
    kind: str
    subjects: tuple[int, ...] = ()
    rack: int | None = None
    zone_name: str = ""
    plays_ms: float | None = None
    late: str = "halt"
    then: str = "stay"
    command: tuple[str, ...] = ()


class Said(msgspec.Struct, frozen=True):
    """What an operator says of a drain or a release: halt, resume, back; or vouches for one."""

    number: int = 0
    word: str = ""
    kind: str = ""
    subject: int = 0
    why: str = ""


class Prepare(msgspec.Struct, frozen=True):
    """See `register.prepare`."""

    ballot: Ballot


class Accept(msgspec.Struct, frozen=True):
    """See `register.accept`."""

    ballot: Ballot
    value: bytes


class Since(msgspec.Struct, frozen=True):
    """How far a desk's store has been read, so that only the rest is sent; another store is read anew."""

    store: str = ""
    after: int = 0


class Rows(msgspec.Struct, frozen=True):
    """Rows of ledgers, each with its life and number; from which store, and up to which place of it."""

    rows: tuple[Row, ...]
    store: str
    upto: int
    removed: dict[str, int] = {}  # of these lives: the last row that is kept no more
    pages: tuple[Row, ...] = ()  # among those, what later rows stand under
    before: int = 0  # wall clock when the last rows had come that are kept no more, nanoseconds


class Lives(msgspec.Struct, frozen=True):
    """Lives of which somebody asks up to which row they are kept no more."""

    lives: tuple[str, ...]


class Wanted(msgspec.Struct, frozen=True):
    """An operator's order, with its settings in the one form."""

    request: str
    settings: str = ""  # canonical JSON; empty with `undo`
    apart: bool = False
    part: tuple[int, ...] = ()
    without: tuple[int, ...] = ()
    within_ms: float = 0.0
    after: int | None = None
    undo: int = 0  # the order to withdraw


class Begin(msgspec.Struct, frozen=True):
    """A fleet begins, or goes on with a book that was found after every desk lost its disk."""

    book: Book


class Member(msgspec.Struct, frozen=True):
    """What a desk last heard of a life of a gateway; `age` seconds ago."""

    gateway: int
    life: str
    operators: str
    stamp: Stamp
    state: str
    why: str
    order: int
    fresh: bool
    left: float
    age: float
    acts: int
    way: str = "in"  # out and back under a leave: see `going`


class Status(msgspec.Struct, frozen=True):
    """All that a desk knows."""

    desk: int
    desks: int
    voting: bool
    floor: int
    book: Book
    members: tuple[Member, ...]
    rows: int
    contradictions: int
    waits: str = ""
    holds: dict[str, str] = {}  # what each other member is held to be: alive, suspect, gone
    waits_for: dict[int, str] = {}  # by drain, for what and for whom it waits
    leads: bool = False
    removed_before: int = 0  # rows that came before are kept no more; wall clock, nanoseconds


class Placed(msgspec.Struct, frozen=True):
    """Under what a playback was placed."""

    playback: str
    life: str
    act: int
    page: int
    host: int
    at: int
    attempt: int


class Carried(msgspec.Struct, frozen=True):
    """A word of membership between gateways and desks, and what the sender knows of orders; `back` is where
    it listens."""

    words: Words
    book: int
    back: str
