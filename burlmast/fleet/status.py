"""One view of what several desks say. Free of I/O."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from burlmast.fleet.orders import Book, wanted
from burlmast.fleet.words import Member, Status

SILENT_S = 10.0  # a life not heard for so long is called silent


class Line(msgspec.Struct, frozen=True):
    """One life of a gateway."""

    gateway: int
    life: str
    state: str  # in force, on its way, left behind, shut out, silent, replaced
    why: str
    order: int
    lags: int  # orders that it is behind
    settings: str
    build: str
    lease_s: float  # 0 where none is needed
    heard_s: float
    acts: int


class Summary(msgspec.Struct, frozen=True):
    """The fleet by its desks."""

    fleet: str
    order: int
    gateways: tuple[Line, ...]
    missing: tuple[int, ...]  # gateways of the fleet that no desk has heard
    desks: tuple[str, ...]  # each desk in a line
    waits: str
    well: bool


def summary(found: Sequence[Status | str]) -> Summary:
    """The latest word of each life, from whichever desk has it."""
    heard = [one for one in found if isinstance(one, Status)]
    book = max((one.book for one in heard), key=lambda one: one.number, default=Book())
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
        rows.append(_line(latest[key], newest[key[0]] == key[1], order.number if order else 0))
    missing = tuple(one for one in range(book.gateways) if one not in newest)
    desks = tuple(_desk(place, one) for place, one in enumerate(found))
    current = [row for row in rows if row.state != "replaced"]
    well = bool(current) and not missing and all(row.state == "in force" for row in current)
    waits = next((one.waits for one in heard if one.waits), "") if not well else ""
    return Summary(book.fleet, book.number, tuple(rows), missing, desks, waits, well)


def _line(member: Member, newest: bool, order: int) -> Line:
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
        stamp.settings,
        stamp.build,
        round(member.left, 3),
        member.age,
        member.acts,
    )


def _desk(place: int, one: Status | str) -> str:
    if isinstance(one, str):
        return f"desk {place}: {one}"
    votes = "votes" if one.voting else "blank, waits to be filled"
    told = f"desk {place}: {votes}, order {one.book.number}, epoch {one.floor}, {one.rows} rows"
    return told + (f", {one.contradictions} contradictions" if one.contradictions else "")


def lines(told: Summary) -> list[str]:
    """For a terminal."""
    found = [f"fleet {told.fleet or '(none)'}, order {told.order}"]
    for row in told.gateways:
        lease = f", lease {row.lease_s:.1f} s" if row.lease_s else ""
        why = f": {row.why}" if row.why else ""
        found.append(
            f"gateway {row.gateway} {row.life[:6]}  {row.state}{why}  order {row.order}, settings "
            f"{row.settings[:12]}, build {row.build[:8]}{lease}, heard {row.heard_s:.1f} s ago"
        )
    found += [f"gateway {one}  not heard" for one in told.missing]
    found += list(told.desks)
    if told.waits:
        found.append(f"waits: {told.waits}")
    return found
