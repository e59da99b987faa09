"""Who may be out at once: leaves that the fleet has granted, and the drains that ask for them. Free of I/O.

A gateway or media host goes out under a leave alone. A leave is granted by a change of the register, which
counts what is out by the register itself and by what this desk has surely heard; it ends by its holder's own
word that it is back and will never go on it again, and by nothing else that time could bring. So a desk that
is late, restarted or wrong about who is there can keep a leave from being granted, and can grant none too
many. Whoever is out without a leave takes a place, too.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgspec

GATEWAY, HOST = "gateway", "host"
ENDED_KEPT = 16  # drains that are over and still shown


class Leave(msgspec.Struct, frozen=True, array_like=True):
    """One may be out. `number` is the book's revision by which it was granted: who knows a book of that
    revision or a later one knows of it."""

    number: int
    drain: int
    kind: str
    subject: int
    disk: str = ""  # of a gateway: the disk that the life it is for holds; on another it is not gone on
    zone: int = 0
    rack: int = 0
    cell: int = 0
    full: int = 0  # of a host: how many its cell had, those under leave counted in
    started: int = 0  # and when it started, by the list
    plays_ms: float = 0.0  # how long what plays there may go on
    late: str = "halt"  # and what comes then: halt, go on, cut
    then: str = "stay"  # once it is out: stay, back, restart
    back: int = 0  # called back, by the book's revision; it must not be begun any more
    out: bool = False  # it has been out
    ran: str = ""  # of a restart: which desk, in which term of the lead, began the command


class Drain(msgspec.Struct, frozen=True):
    """Some are to go out, as the limits allow."""

    number: int
    request: str
    kind: str
    subjects: tuple[int, ...]
    plays_ms: float
    late: str = "halt"
    then: str = "stay"
    state: str = "going"  # going, halted, back (called back), done, over
    why: str = ""
    done: tuple[int, ...] = ()  # have been out; where they do not stay, are back
    command: tuple[str, ...] = ()  # of a restart
    release: int = 0  # of which it is a part

    @property
    def waiting(self) -> list[int]:
        """Those that have still to go."""
        return [one for one in self.subjects if one not in self.done]


class Outs(msgspec.Struct, frozen=True):
    """All leaves and drains."""

    leaves: tuple[Leave, ...] = ()
    drains: tuple[Drain, ...] = ()

    def of(self, kind: str, subject: int) -> Leave | None:
        """The leave that one holds."""
        return next((one for one in self.leaves if one.kind == kind and one.subject == subject), None)

    def drain(self, number: int) -> Drain | None:
        """A drain by its number."""
        return next((one for one in self.drains if one.number == number), None)


class Limits(msgspec.Struct, frozen=True):
    """How many may be out at once; None: no limit of its own."""

    gateways: int = 1
    gateways_zone: int | None = None
    hosts: int = 1
    hosts_zone: int | None = None
    hosts_rack: int | None = None
    holders: int = 1  # of each title, so many of its hosts stay in
    spare: float = 0.1  # the links that stay in carry what is asked of them, and this part more

    def strictest(self, other: Limits) -> Limits:
        """Both, where two versions are in force."""

        def least(one: int | None, two: int | None) -> int | None:
            return min((n for n in (one, two) if n is not None), default=None)

        return Limits(
            min(self.gateways, other.gateways),
            least(self.gateways_zone, other.gateways_zone),
            min(self.hosts, other.hosts),
            least(self.hosts_zone, other.hosts_zone),
            least(self.hosts_rack, other.hosts_rack),
            max(self.holders, other.holders),
            max(self.spare, other.spare),
        )


class GatewaySeen(NamedTuple):
    """A gateway as a desk has surely heard it."""

    zone: int
    disk: str
    well: bool  # it is in: takes requests, has a list, is warm
    why: str  # where it is not
    state: str = "in"  # of its way out and back: see `going`
    finished: int = 0  # it will never go again on leaves up to this number
    was_out: int = 0  # the last leave on which it has been out
    revision: int = 0  # of the book that it knows
    doubted: bool = False  # it is only suspected: nobody goes beside it, and nothing is halted for it


class HostSeen(NamedTuple):
    """A media host, as gateways' lists and their traffic tell of it."""

    zone: int
    rack: int
    cell: int
    well: bool  # ready by every list, warm, and not fallen
    why: str
    link: float = 0.0  # kB/s
    plays: int | None = None  # what plays there by its own word, asked of those under leave; None: not known
    started: int = 0  # as the list says


class View(NamedTuple):
    """What a desk knows of the fleet at one moment."""

    gateways: Mapping[int, GatewaySeen]
    hosts: Mapping[int, HostSeen]
    titles: tuple[tuple[str, int, int], ...] = ()  # name, first cell, how many in a row
    cells: int = 1
    asked: float = 0.0  # kB/s, of all that plays
    uplink: float = 0.0  # kB/s of each rack's
    overdue: frozenset[int] = frozenset()  # hosts under leave at which the time for what plays is up
    stalled: frozenset[tuple[str, int]] = frozenset()  # whose restart has taken too long
    blind: str = ""  # why nothing may be granted at all


# What may go out.


def refusals(outs: Outs, kind: str, subject: int, view: View, limits: Limits) -> list[str]:
    """Why one may not go out now, each in a line; empty where it may."""
    if view.blind:
        return [view.blind]
    return (_gateway if kind == GATEWAY else _host)(outs, subject, view, limits)


def _gateway(outs: Outs, subject: int, view: View, limits: Limits) -> list[str]:
    mine = view.gateways.get(subject)
    if mine is None or not mine.disk:
        return [f"gateway {subject} has not been heard, and could not hear of its leave"]
    held = {one.subject for one in outs.leaves if one.kind == GATEWAY}
    lost = {n for n, one in view.gateways.items() if not one.well}
    out = held | lost | {subject}
    found = _over("gateways of the fleet", out, limits.gateways, subject, held, view.gateways)
    if limits.gateways_zone is not None:
        zone = {n for n in out if view.gateways[n].zone == mine.zone}
        found += _over(
            f"gateways of zone {mine.zone}", zone, limits.gateways_zone, subject, held, view.gateways
        )
    return found


def _host(outs: Outs, subject: int, view: View, limits: Limits) -> list[str]:
    mine = view.hosts.get(subject)
    if mine is None:
        return [f"host {subject} is on no gateway's list"]
    held = {one.subject: one for one in outs.leaves if one.kind == HOST}
    # Danger: a host under leave may be gone from all lists by now; its place is not free for that.
    places = {n: (one.zone, one.rack) for n, one in view.hosts.items()}
    places |= {n: (one.zone, one.rack) for n, one in held.items()}
    lost = {n for n, one in view.hosts.items() if not one.well}
    out = set(held) | lost | {subject}
    found = _over("hosts of the fleet", out, limits.hosts, subject, set(held), view.hosts)
    for what, limit, place in (("zone", limits.hosts_zone, 0), ("rack", limits.hosts_rack, 1)):
        if limit is not None:
            where = places[subject][place]
            some = {n for n in out if places[n][place] == where}
            found += _over(f"hosts of {what} {where}", some, limit, subject, set(held), view.hosts)
    stay = {n: one for n, one in view.hosts.items() if n not in out}
    found += _holders(mine, stay, view, limits.holders)
    found += _room(stay, view, limits.spare)
    return found


def _over(
    what: str, out: set[int], limit: int, subject: int, held: set[int], seen: Mapping[int, object]
) -> list[str]:
    if len(out) <= limit:
        return []
    others = sorted(out - {subject})
    told = ", ".join(
        f"{one} ({'under leave' if one in held else getattr(seen.get(one), 'why', '') or 'out'})"
        for one in others[:4]
    )
    more = f" and {len(others) - 4} more" if len(others) > 4 else ""
    named = f": out are {told}{more}" if others else ""
    return [f"{limit} {what} may be out{named}"]


def _holders(mine: HostSeen, stay: Mapping[int, HostSeen], view: View, least: int) -> list[str]:
    in_cell: dict[int, int] = {}
    for one in stay.values():
        in_cell[one.cell] = in_cell.get(one.cell, 0) + 1
    for name, home, copies in view.titles:
        if (mine.cell - home) % view.cells < copies:
            left = sum(in_cell.get((home + n) % view.cells, 0) for n in range(copies))
            if left < least:
                return [f"title {name} would have {left} holders, and {least} must stay in"]
    return []


def _room(stay: Mapping[int, HostSeen], view: View, spare: float) -> list[str]:
    racks: dict[int, float] = {}
    for one in stay.values():
        racks[one.rack] = racks.get(one.rack, 0.0) + one.link
    room = sum(min(links, view.uplink) if view.uplink else links for links in racks.values())
    if view.asked * (1 + spare) <= room:
        return []
    return [f"the links that stay carry {room:.0f} kB/s, and {view.asked:.0f} are asked for"]


# How drains go on.


def ask(outs: Outs, drain: Drain) -> Outs:
    """One more drain; the same request again changes nothing."""
    if any(one.request == drain.request for one in outs.drains):
        return outs
    over = [one.number for one in outs.drains if one.state == "over"]
    kept = tuple(one for one in outs.drains if one.number not in over[: max(0, len(over) - ENDED_KEPT)])
    return msgspec.structs.replace(outs, drains=(*kept, drain))


def change(outs: Outs, number: int, **fields: object) -> Outs:
    """A drain with other words."""
    drains = tuple(
        msgspec.structs.replace(one, **fields) if one.number == number else one for one in outs.drains
    )
    return msgspec.structs.replace(outs, drains=drains)


# What an operator says of a drain, or a release of its own: by state, the next; what is not here is refused.
SAID: dict[tuple[str, str], str] = {
    ("going", "halt"): "halted",
    ("halted", "resume"): "going",
    ("halted", "halt"): "halted",
    ("going", "resume"): "going",
    ("going", "back"): "back",
    ("halted", "back"): "back",
    ("done", "back"): "back",
    ("back", "back"): "back",
    ("over", "back"): "over",
}


def called_back(outs: Outs, number: int, revision: int) -> Outs:
    """All leaves of a drain are called back, by the book of this revision."""
    leaves = tuple(
        msgspec.structs.replace(one, back=one.back or revision) if one.drain == number else one
        for one in outs.leaves
    )
    return msgspec.structs.replace(outs, leaves=leaves)


def begun(outs: Outs, leave: Leave, by: str) -> Outs:
    """The command that restarts a holder is begun; it is written down before it is."""
    after = msgspec.structs.replace(leave, ran=by)
    return msgspec.structs.replace(outs, leaves=tuple(after if one == leave else one for one in outs.leaves))


def to_restart(outs: Outs) -> list[tuple[Leave, Drain]]:
    """Whose restart is due."""
    found = []
    for leave in outs.leaves:
        drain = outs.drain(leave.drain)
        due = leave.then == "restart" and leave.out and not leave.ran and not leave.back
        if due and drain is not None and drain.state == "going" and drain.command:
            found.append((leave, drain))
    return found


def resumed(outs: Outs, number: int) -> Outs:
    """A drain goes on; a restart that did not bring its holder back is begun anew."""
    leaves = tuple(
        msgspec.structs.replace(one, ran="") if one.drain == number else one for one in outs.leaves
    )
    return change(msgspec.structs.replace(outs, leaves=leaves), number, state="going", why="")


def vouched(outs: Outs, kind: str, subject: int) -> Outs:
    """An operator vouches that one is in, or will never go on its leave: its disk was lost, or it was taken
    out of service for good."""
    kept = tuple(one for one in outs.leaves if (one.kind, one.subject) != (kind, subject))
    return msgspec.structs.replace(outs, leaves=kept)


def advance(outs: Outs, revision: int, view: View, limits: Limits) -> tuple[Outs, dict[int, str]]:
    """What follows from what is seen; the outs of a book of this revision, and for each drain that waits,
    for what and for whom. Where nothing follows the outs are as they were."""
    outs = _words(outs, view)
    for leave in outs.leaves:
        if leave.kind == HOST and not leave.back and _comes_back(leave, view):
            called = msgspec.structs.replace(leave, back=revision)
            outs = msgspec.structs.replace(
                outs, leaves=tuple(called if one is leave else one for one in outs.leaves)
            )
    waits: dict[int, str] = {}
    for drain in outs.drains:
        if drain.state == "back":
            outs = called_back(outs, drain.number, revision)
        elif drain.state == "going":
            outs, why = _go_on(outs, drain, revision, view, limits)
            if why:
                waits[drain.number] = why
    return _settled(outs), waits


def _comes_back(leave: Leave, view: View) -> bool:
    """Whether a host that is out is to be called back by itself."""
    seen = view.hosts.get(leave.subject)
    restarted = seen is not None and seen.started != leave.started
    return leave.out and (leave.then == "back" or (leave.then == "restart" and restarted))


def _words(outs: Outs, view: View) -> Outs:
    """What holders say of their leaves."""
    for leave in outs.leaves:
        state, why = standing(outs, leave, view)
        drain = outs.drain(leave.drain)
        if state == "over":
            kept = tuple(one for one in outs.leaves if one is not leave)
            outs = msgspec.structs.replace(outs, leaves=kept)
        elif state == "out" and not leave.out:
            after = msgspec.structs.replace(leave, out=True)
            outs = msgspec.structs.replace(
                outs, leaves=tuple(after if one is leave else one for one in outs.leaves)
            )
        if drain is None:
            continue
        there = leave.subject in drain.done
        if state == "over" and leave.kind == GATEWAY and leave.then == "stay" and not leave.back:
            # It came back by itself, and was to stay out: it has to go again.
            done = tuple(one for one in drain.done if one != leave.subject)
            outs = change(
                outs, drain.number, done=done, state="going" if drain.state == "done" else drain.state
            )
        elif not there and (
            _was_out(leave, view) if state == "over" else state == "out" and leave.then == "stay"
        ):
            outs = change(outs, drain.number, done=(*drain.done, leave.subject))
        elif state == "late" and drain.state == "going":
            outs = change(outs, drain.number, state="halted", why=why)
        elif (leave.kind, leave.subject) in view.stalled and drain.state == "going" and leave.ran:
            why = f"{leave.kind} {leave.subject} is not back: desk {leave.ran} began its restart"
            outs = change(outs, drain.number, state="halted", why=why)
    return outs


def _was_out(leave: Leave, view: View) -> bool:
    """Whether a leave that is over was gone on; the looks of a desk may have missed it."""
    if leave.kind == HOST:
        return leave.out or not leave.back
    seen = view.gateways.get(leave.subject)
    return leave.out or (seen is not None and seen.was_out >= leave.number)


def standing(outs: Outs, leave: Leave, view: View) -> tuple[str, str]:
    """How far the holder of a leave is: granted, draining, late, out, returning, over; and a word on it."""
    if leave.kind == GATEWAY:
        return _gateway_stands(leave, view.gateways.get(leave.subject))
    return _host_stands(outs, leave, view)


def _gateway_stands(leave: Leave, seen: GatewaySeen | None) -> tuple[str, str]:
    if seen is None or not seen.disk:
        return "granted", "not heard"
    if seen.disk != leave.disk:
        return "granted", "another disk speaks for it: vouch for it once the earlier process surely ended"
    if seen.finished >= leave.number:
        # Danger: its word that it is done is not yet a place for the next: it has to be well, too.
        return ("over", "") if seen.well else ("returning", seen.why)
    if seen.state == "silent":
        return ("out" if leave.out else "granted"), "silent"
    if seen.state == "late":
        return "late", f"gateway {leave.subject} still holds playbacks when its time is up"
    if seen.state in ("draining", "out", "returning", "finishing"):
        return seen.state, seen.why
    return "granted", ""


def _host_stands(outs: Outs, leave: Leave, view: View) -> tuple[str, str]:
    seen = view.hosts.get(leave.subject)
    unaware = [
        n
        for n, one in sorted(view.gateways.items())
        if one.disk and one.revision < (leave.back or leave.number)
    ]
    same = leave.then == "restart" and seen is not None and seen.started == leave.started and leave.out
    if leave.back and seen is not None and not unaware and seen.well and not same:
        return "over", ""
    others = sum(1 for one in outs.leaves if one is not leave and one.kind == HOST and one.cell == leave.cell)
    held = {one.subject for one in outs.leaves if one.kind == HOST}
    well = sum(1 for n, one in view.hosts.items() if one.cell == leave.cell and one.well and n not in held)
    if well + others >= leave.full:
        return "over", ""  # another has taken its place, and is warm
    if leave.back:
        told = f"gateway {unaware[0]} has not heard of it" if unaware else seen.why if seen else "not listed"
        told = told or "it has not restarted"
        return "returning", told
    if unaware:
        return "draining", f"gateway {unaware[0]} has not heard of it"
    if seen is None or seen.plays == 0 or leave.out:
        return "out", ""
    if leave.subject in view.overdue:
        if leave.late == "halt":
            plays = "an unknown number" if seen.plays is None else str(seen.plays)
            return "late", f"{plays} of playbacks stand at host {leave.subject} when its time is up"
        return "out", ""
    return "draining", "it does not answer" if seen.plays is None else f"{seen.plays} play there"


def _go_on(outs: Outs, drain: Drain, revision: int, view: View, limits: Limits) -> tuple[Outs, str]:
    """Grant what may go; why the rest waits."""
    first = ""
    for subject in drain.waiting:
        held = outs.of(drain.kind, subject)
        if held is not None:
            if held.drain != drain.number:
                first = first or f"{drain.kind} {subject} is out by drain {held.drain}"
            else:
                state, why = standing(outs, held, view)
                first = first or f"{drain.kind} {subject} is {state}" + (f": {why}" if why else "")
            continue
        if drain.kind == HOST and subject not in view.hosts and not view.blind:
            done = outs.drain(drain.number)
            outs = change(outs, drain.number, done=(*(done.done if done else ()), subject))  # it has gone
            continue
        whys = refusals(outs, drain.kind, subject, view, limits)
        if whys:
            first = first or f"{drain.kind} {subject}: {whys[0]}"
            continue
        outs = msgspec.structs.replace(
            outs, leaves=(*outs.leaves, _leave(outs, drain, subject, revision, view))
        )
    return outs, first


def _leave(outs: Outs, drain: Drain, subject: int, revision: int, view: View) -> Leave:
    words = (revision, drain.number, drain.kind, subject)
    terms = (drain.plays_ms, drain.late, drain.then)
    if drain.kind == GATEWAY:
        seen = view.gateways[subject]
        return Leave(*words, seen.disk, seen.zone, 0, 0, 0, 0, *terms)
    host = view.hosts[subject]
    held = {one.subject for one in outs.leaves if one.kind == HOST and one.cell == host.cell}
    well = {n for n, one in view.hosts.items() if one.cell == host.cell and one.well}
    full = len(held | well | {subject})
    return Leave(*words, "", host.zone, host.rack, host.cell, full, host.started, *terms)


def _settled(outs: Outs) -> Outs:
    """Drains that have come to an end."""
    for drain in outs.drains:
        holds = any(one.drain == drain.number for one in outs.leaves)
        if drain.state == "going" and not drain.waiting and (drain.then == "stay" or not holds):
            outs = change(outs, drain.number, state="done" if holds else "over", why="")
        elif drain.state in ("back", "done") and not holds:
            outs = change(outs, drain.number, state="over")
    return outs


def hosts_out(leaves: Iterable[Leave]) -> dict[int, str]:
    """How gateways are to hold hosts under leave: draining, or gone where what plays there is to be cut. One
    that is called back stands as the list says."""
    return {
        one.subject: "gone" if one.out and one.late == "cut" else "draining"
        for one in leaves
        if one.kind == HOST and not one.back
    }


def to_be_told(leaves: Iterable[Leave], listed: Mapping[int, set[str]]) -> dict[int, str]:
    """What a list is to say of hosts under leave that it does not say yet, by how hosts stand on the lists
    that are known; of those that are gone it knows better."""
    rows: dict[int, str] = {}
    for one in leaves:
        stands = listed.get(one.subject, set())
        if "gone" in stands:
            continue
        if one.kind == HOST and one.back and "draining" in stands:
            rows[one.subject] = "ready"
        elif one.kind == HOST and not one.back and "ready" in stands:
            rows[one.subject] = "draining"
    return rows
