"""What a deployment states of itself, as read; times end in their unit, rates are kB a second."""

from __future__ import annotations

from typing import Literal

import msgspec


class Sheet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A part of the settings; a key that is not known is an error, for it is most often a misspelt one."""


class Rungs(Sheet, frozen=True):
    """The ladder: the rate of each rung, lowest first, and what part of the revenue it earns."""

    rates_kb: tuple[float, ...]
    earns: tuple[float, ...]


class PlanTerms(Sheet, frozen=True):
    """Terms of one plan."""

    name: str
    revenue: float
    startup_target_ms: float
    abandon_ms: float
    repeat: Literal["freely", "within group", "never"] = "freely"
    repeat_group: Literal["all", "zone", "cell"] = "all"
    repeat_span_ms: float = 5000.0
    floor: int = 0
    top: int = 255
    seats: int = 0
    scale: float = 1.0


class Fleet(Sheet, frozen=True):
    """What is told beforehand of links, uplinks and hosts."""

    cells: int
    racks: int
    link_kb: float
    uplink_kb: float
    streams_by_kind: tuple[int, ...]
    weights_tell_size: bool = False
    reports: bool = True
    tells: bool = True
    note_lag_ms: float = 800.0
    stall_cost: float = 0.0


class Leave(Sheet, frozen=True):
    """What a gateway may do here."""

    probes: bool = True
    call_off: bool = True
    tries: int = 3
    advice: bool = True
    longest_advice_ms: float = 1000.0
    must_ask: bool = False
    ask_within_ms: float = 10000.0


class House(Sheet, frozen=True):
    """The figures of the six rules."""

    drain_grace_ms: float
    cold_share: float
    warm_after_ms: float
    fall_multiple: float
    fall_span_ms: float
    further_free: float | None = None
    further_ratio: float = 0.0
    further_span_ms: float = 10000.0


class Title(Sheet, frozen=True):
    """A title: the first cell that holds it and how many cells in a row do."""

    name: str
    home: int
    copies: int


class Doorway(Sheet, frozen=True):
    """How much a gateway lets in; it says nothing of hosts or rungs."""

    connections: int = 20000
    connections_each: int = 2000
    heads: int = 2000
    held: int = 2000
    buffered_kb: float = 16384.0
    crowded: float = 0.75
    advice_ms: float = 500.0


class HostbookTerms(Sheet, frozen=True):
    """How the list is kept on disk."""

    write_ms: float = 5000.0  # at most so often
    oldest_s: float = 259_200.0  # an older one is not started from


class NoticeTerms(Sheet, frozen=True):
    """How recordings of notices are fetched."""

    tries: int = 3  # holders asked in a round
    again_ms: float = 2000.0  # until another round, after one that found none
    at_once: int = 8  # recordings asked for at a time


class OutTerms(Sheet, frozen=True):
    """How many may be out at once, by leave or without; null: no limit of its own."""

    gateways: int = 1  # of the fleet
    gateways_zone: int | None = None  # of each zone
    hosts: int = 1
    hosts_zone: int | None = None
    hosts_rack: int | None = None
    holders: int = 1  # of each title, so many of its hosts stay in
    spare: float = 0.1  # the links that stay carry what is asked of them, and this part more
    plays_ms: float = 60_000.0  # how long what plays may go on where a drain does not say
    alone_ms: float = 30_000.0  # without word from a majority of desks, what is out comes back
    restart_ms: float = 60_000.0  # a restart that takes longer halts its drain
    silent_beats: float = 8.0  # a gateway not heard for so long counts as out


class FleetTerms(Sheet, frozen=True):
    """How this gateway goes with the others; of no meaning without desks."""

    lease_ms: float = 0.0  # how long it may act without word from a majority of desks; 0: for any time
    drift: float = 0.02  # the part by which clocks may run at another speed than true time
    beat_ms: float = 1000.0  # between two words to each desk
    ledger_ms: float = 5000.0  # between two writes of what was done, at most
    slow_disk_ms: float = 250.0  # how long a new stamp waits for its place on the disk
    placed: int = 200_000  # playbacks of which the ledger tells under what they were placed
    again_ms: float = 500.0  # until what failed is tried again; it doubles
    again_longest_ms: float = 8000.0
    probe_ms: float = 1000.0  # between two probes of other gateways
    probes: int = 4  # in a row, answered to nobody, make a gateway gone
    keep_days: float = 30.0  # that a coordinator keeps gathered rows, of the time that it is up; 0: for ever
    within_ms: float = 10_000.0  # how long an order waits for stragglers where it does not say
    out: OutTerms = OutTerms()


class CatalogueTerms(Sheet, frozen=True):
    """How shards of titles are had from the coordinators; of no meaning without a fleet."""

    on: bool = False  # titles that the settings do not name are looked for in the catalogue
    slices: int = 4096  # that shards fall into; the same for all, for good
    copies: int = 3  # gateways whose part each slice is of
    most: int = 64  # slices kept beside a gateway's own part, for titles that its viewers ask for
    piece: int = 500  # shards an answer holds at most
    whole_a_second: float = 200.0  # slices that a coordinator gives whole, to all together
    spread_ms: float = 1000.0  # over which gateways spread what they ask when the catalogue has changed
    again_ms: float = 500.0  # until what failed is asked again; it doubles
    again_longest_ms: float = 8000.0
    within_ms: float = 2000.0  # that a coordinator has for an answer
    write_ms: float = 5000.0  # between two writes of this gateway's part to its disk, at least
    advice_ms: float = 2000.0  # when to ask again for a title that is not here yet
    doubt_ms: float = 14_000.0  # knowledge older than that is no proof that there is no such title


class Edge(Sheet, frozen=True):
    """How the gateway program runs."""

    doorway: Doorway = Doorway()
    segment_ms: float = 2000.0
    window: int = 6
    ahead: int = 2
    unheard_targets: float = 3.0
    leave_after_ms: float = 30000.0
    connect_ms: float = 250.0
    probe_ms: float = 250.0
    redial_ms: float = 250.0
    redial_longest_ms: float = 4000.0
    list_quiet_ms: float = 5000.0
    notices: NoticeTerms = NoticeTerms()
    hostbook: HostbookTerms = HostbookTerms()
    fleet: FleetTerms = FleetTerms()
    catalogue: CatalogueTerms = CatalogueTerms()


class StandIns(Sheet, frozen=True):
    """How the stand-in hosts and list behave; of no meaning to a gateway."""

    hosts: int = 12
    set_up_ms: float = 20.0
    deliver_every_ms: float = 1000.0
    tell_every_ms: float = 2000.0
    smooth_ms: float = 0.0  # time constant over which hosts smooth the shares that they tell
    tell_uplinks: bool = True  # whether hosts say what is asked of their rack's uplink
    link_spread: float = 0.2
    list_delay_ms: float = 300.0
    media_bytes_per_kb: float = 4.0
    a_second: float = 10.0
    lasts_s: tuple[float, float] = (6.0, 20.0)
    recordings: tuple[Title, ...] = ()  # of notices, `name@version`, and which cells hold them


class Deployment(Sheet, frozen=True):
    """All of it."""

    name: str
    zones: tuple[str, ...]
    gateways: int
    ladder: Rungs
    plans: tuple[PlanTerms, ...]
    fleet: Fleet
    rules: House
    titles: tuple[Title, ...]
    allowed: Leave = Leave()
    beat_ms: float = 10.0
    edge: Edge = Edge()
    stand_ins: StandIns = StandIns()
