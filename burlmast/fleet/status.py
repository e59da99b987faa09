"""One view of what several desks say. Free of I/O."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping, Sequence
from datetime import UTC, datetime
from types import MappingProxyType

import msgspec

from burlmast.fleet.ledger import Row
from burlmast.fleet.messages import Member, Status
from burlmast.fleet.orders import Book, wanted

SILENT_S = 10.0  # a life not heard for so long is called silent


class Line(msgspec.Struct, frozen=True):
    """One life of a gateway."""

    gateway: int
    life: str
    state: str  # in force, on its way, left behind, shut out, silent, replaced
    why: str
    order: int
    lags: int  # the order that it has to follow, less the one that it does
    late: bool  # that order should be in force by now
    settings: str
    build: str
    lease_s: float  # 0 where none is needed
    heard_s: float
    acts: int
    way: str = "in"


class Summary(msgspec.Struct, frozen=True):
    """The fleet by its desks."""

    fleet: str
    order: int
    gateways: tuple[Line, ...]
    missing: tuple[int, ...]  # gateways of the fleet that no desk has heard
    desks: tuple[str, ...]  # each desk in a line
    waits: str
    well: bool


def summary(found: Sequence[Status | str], wall: int) -> Summary:
    """The latest word of each life, from whichever desk has it; `wall` nanoseconds of the asker's clock."""
    heard = [one for one in found if isinstance(one, Status)]
    book = max((one.book for one in heard), key=lambda one: one.moved, default=Book())
    latest: dict[tuple[int, str], Member] = {}
    for one in heard:
        for member in one.members:
            key = member.gateway, member.life
            if key not in latest or member.age < latest[key].age:
                latest[key] = member
    newest = {}
    for gateway, life in sorted(latest, key=lambda key: -latest[key].age):
        newest[gateway] = life
    rows = []
    for key in sorted(latest):
        order = wanted(book, key[0])
        late = order is not None and wall > order.given_at + int(order.within_ms * 1e6)
        line = _line(latest[key], newest[key[0]] == key[1], order.number if order else 0, late)
        held = {one.holds.get(f"{key[0]}.{key[1]}", "") for one in heard}
        if line.state == "silent" and "alive" in held:
            line = msgspec.structs.replace(line, why="it reaches no desk, and answers other members")
        elif line.state == "silent" and "gone" in held:
            line = msgspec.structs.replace(line, why="it answers nobody")
        rows.append(line)
    missing = tuple(one for one in range(book.gateways) if one not in newest)
    desks = tuple(_desk(place, one) for place, one in enumerate(found))
    current = [row for row in rows if row.state != "replaced"]
    well = bool(current) and not missing and all(row.state == "in force" for row in current)
    waits = next((one.waits for one in heard if one.waits), "") if not well else ""
    return Summary(book.fleet, book.number, tuple(rows), missing, desks, waits, well)


def _line(member: Member, newest: bool, order: int, late: bool) -> Line:
    lags = max(0, order - member.order)
    state = member.state
    if not newest:
        state = "replaced"
    elif member.age > SILENT_S:
        state = "silent"
    elif state not in ("in force", "left behind", "shut out", "cannot keep") or (
        state == "in force" and lags
    ):
        state = "on its way"
    stamp = member.stamp
    return Line(
        member.gateway,
        member.life,
        state,
        member.why,
        member.order,
        lags,
        late and lags > 0 and newest,
        stamp.settings,
        stamp.build,
        round(member.left, 3),
        member.age,
        member.acts,
        member.way,
    )


def _desk(place: int, one: Status | str) -> str:
    if isinstance(one, str):
        return f"desk {place}: {one}"
    votes = "votes" if one.voting else "blank, waits to be filled"
    told = f"desk {place}: {votes}, order {one.book.number}, epoch {one.floor}, {one.rows} rows"
    told += f", those before {moment(one.removed_before)} are kept no more" if one.removed_before else ""
    return told + (f", {one.contradictions} contradictions" if one.contradictions else "")


def moment(wall: int) -> str:
    """Nanoseconds of a wall clock, in UTC to the second."""
    return f"{datetime.fromtimestamp(wall // 1_000_000_000, UTC):%Y-%m-%dT%H:%M:%SZ}"


def lines(told: Summary) -> list[str]:
    """For a terminal."""
    found = [f"fleet {told.fleet or '(none)'}, order {told.order}"]
    for row in told.gateways:
        lease = f", lease {row.lease_s:.1f} s" if row.lease_s else ""
        why = f": {row.why}" if row.why else ""
        why += ", late" if row.late else ""
        why += f" ({row.way})" if row.way != "in" and row.state != "replaced" else ""
        found.append(
            f"gateway {row.gateway} {row.life[:6]}  {row.state}{why}  order {row.order}, settings "
            f"{row.settings[:12]}, build {row.build[:8]}{lease}, heard {row.heard_s:.1f} s ago"
        )
    found += [f"gateway {one}  not heard" for one in told.missing]
    found += list(told.desks)
    if told.waits:
        found.append(f"waits: {told.waits}")
    return found


class Acted(msgspec.Struct, frozen=True, omit_defaults=True):
    """Acts of one gateway under one stamp, or acts that are not known."""

    gateway: int
    life: str
    order: int
    settings: str
    first: int
    last: int
    counts: dict[str, int]
    until: int  # wall clock of the gateway when this was written down, nanoseconds
    hole: str = ""


def ranges(
    rows: Sequence[Row],
    version: str = "",
    gateway: int | None = None,
    span: tuple[int, int] | None = None,
    removed: Mapping[str, int] = MappingProxyType({}),
) -> list[Acted]:
    """Ranges under a version (settings by the beginning of their digest, or an order's number), of a
    gateway, or written between two moments; those of one page that follow each other are one line. `removed`
    says up to which row lives are kept no more: what went with them is a hole."""
    pages = {(row.life, row.page): row for row in rows if row.kind == "page"}
    ended = {row.life for row in rows if row.kind == "end"}
    found: list[Acted] = []
    lives: dict[str, Row] = {}
    for row in sorted(rows, key=lambda row: (row.gateway, row.life, row.n)):
        lives[row.life] = row
        if row.kind not in ("range", "gap") or (gateway is not None and row.gateway != gateway):
            continue
        page = pages.get((row.life, row.page))
        stamp = page.stamp if page is not None else None
        order, settings = (stamp.order, stamp.settings) if stamp is not None else (-1, "")
        if version and not settings.startswith(version) and version != str(order):
            continue
        if span is not None and not span[0] <= row.at <= span[1]:
            continue
        line = Acted(
            row.gateway, row.life, order, settings, row.first, row.last, dict(row.counts), row.at, row.why
        )
        last = found[-1] if found else None
        same = last is not None and (last.life, last.order, last.settings, last.hole, last.last + 1) == (
            line.life,
            line.order,
            line.settings,
            line.hole,
            line.first,
        )
        if same and last is not None:
            counts = {
                kind: last.counts.get(kind, 0) + line.counts.get(kind, 0)
                for kind in sorted({*last.counts, *line.counts})
            }
            found[-1] = msgspec.structs.replace(line, first=last.first, counts=counts)
        else:
            found.append(line)
    known = defaultdict(list)
    for row in rows:
        if row.kind in ("range", "gap", "end"):
            known[row.life].append(max(1, row.first or row.last + 1))
    here = {(row.life, row.n) for row in rows}
    for life, row in sorted(lives.items()):
        if version or gateway not in (None, row.gateway):
            continue
        first = min(known[life], default=0)
        if first != 1 and removed.get(life, 0) and (life, 1) not in here:
            why = "its rows are kept no more"
            found.append(Acted(row.gateway, life, -1, "", 1, max(0, first - 1), {}, row.at, why))
    for life, row in sorted(lives.items()):
        if life not in ended and not version and gateway in (None, row.gateway):
            acts = max((one.last for one in rows if one.life == life), default=0)
            why = "not known from here: the life has no end row"
            found.append(Acted(row.gateway, life, -1, "", acts + 1, 0, {}, row.at, why))
    return found


def rates_of(bodies: Mapping[str, bytes]) -> dict[str, dict[tuple[int, int], float]]:
    """The rate of each plan's rung, by the settings' digest."""
    found = {}
    for name, body in bodies.items():
        one: Rates = msgspec.json.decode(body, type=Rates)
        found[name] = {
            (plan, rung): rate * terms.scale
            for plan, terms in enumerate(one.plans)
            for rung, rate in enumerate(one.ladder.rates_kb)
        }
    return found


class RatePlan(msgspec.Struct):
    """What of a plan a set-up shows."""

    scale: float = 1.0


class RateLadder(msgspec.Struct):
    """What of the ladder a set-up shows."""

    rates_kb: tuple[float, ...]


class Rates(msgspec.Struct):
    """What of settings a set-up shows."""

    ladder: RateLadder
    plans: tuple[RatePlan, ...]
