"""The steps of a release: a table of state, input, next state, effect. Free of I/O.

A release is a value in the fleet's book. Each step is a change of the book: the state, its reason, and what
it does to orders, leaves and holds change as one, or not at all. So any desk goes on where another died, and
no step happens twice.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, NamedTuple

import msgspec

from burlmast.fleet import orders, outs
from burlmast.fleet.orders import Book, Order, Refused, put
from burlmast.fleet.outs import GATEWAY, Drain
from burlmast.release.plan import Plan, groups

LOGGED = 60  # steps of which a release tells
LOST = 1 << 20  # more changes than a fleet makes between two words of a gateway
KEPT = 8  # releases that are over and still shown


class Logged(msgspec.Struct, frozen=True, array_like=True):
    """A step that was taken; `at` by the wall clock of the desk, for people alone."""

    state: str
    why: str
    at: int
    desk: int


class Release(msgspec.Struct, frozen=True):
    """One release on its way."""

    number: int
    request: str
    plan: Plan
    digest: str = ""  # of the settings that go out
    lease_ms: float = 0.0  # that these need
    state: str = "planned"
    why: str = ""
    step: int = 0  # 0 the canary, then the waves
    resumes: str = ""  # what a halted one goes back to
    cause: str = ""  # the input that halted it
    before: tuple[tuple[str, float, tuple[int, ...]], ...] = ()  # settings, lease, and who acted on them
    touched: tuple[int, ...] = ()  # to whom it has been put out
    orders: tuple[int, ...] = ()
    drains: tuple[int, ...] = ()
    drains_back: int | None = None  # from this place on, drains bring the earlier build back
    back: tuple[tuple[int, ...], ...] = ()  # who goes back, group by group
    log: tuple[Logged, ...] = ()

    @property
    def over(self) -> bool:
        """Whether nothing more happens by itself."""
        return self.state in ("done", "given up")

    @property
    def moving(self) -> bool:
        """Whether it is to be looked at."""
        by_plan = self.state == "halted" and self.cause == "harm" and self.plan.harm == "back"
        return by_plan or self.state not in ("done", "given up", "halted")


class Facts(NamedTuple):
    """What a leader sees of a release."""

    on_it: frozenset[int]  # gateways that act on the new version
    off_it: frozenset[int]  # that act on what they had before
    known: frozenset[int]  # whose standing is known now
    overdue: bool = False  # the step has taken longer than a member may lag
    watched: bool = False  # long enough, and enough requests
    starved: bool = False  # longest, and too few requests
    harm: str = ""  # what is worse with the new version
    halted_drain: str = ""  # why a drain of it was halted
    too_many: str = ""  # more are out than may be
    left: Mapping[int, str] = MappingProxyType({})  # who cannot take it, and why


class Say(NamedTuple):
    """Who takes a step, for the log."""

    why: str
    wall: int
    desk: int


# state, input: next state, effect
TABLE: dict[tuple[str, str], tuple[str, str]] = {
    ("planned", "go"): ("canary", "put out"),
    ("canary", "all on it"): ("watching", "watch"),
    ("watching", "well"): ("wave", "put out"),
    ("watching", "well, and the last"): ("done", ""),
    ("wave", "all on it"): ("watching", "watch"),
    **{
        (state, what): ("halted", "hold")
        for state in ("planned", "canary", "watching", "wave", "going back")
        for what in ("harm", "lags", "blind", "too many out", "starved", "operator halts", "disks lost")
    },
    ("halted", "operator halts"): ("halted", ""),
    ("halted", "operator resumes"): ("", "let go"),  # to where it was
    **{
        (state, "operator goes back"): ("going back", "put back")
        for state in ("planned", "canary", "watching", "wave", "halted", "done")
    },
    ("halted", "back by the plan"): ("going back", "put back"),
    ("going back", "group back"): ("going back", "put the next back"),
    ("going back", "all back"): ("given up", "let go"),
}


def what_follows(release: Release, facts: Facts, gateways: int) -> tuple[str, str]:
    """The input that what is seen comes to, and why; "" for none."""
    plan = release.plan
    group = in_hand(release, gateways)
    if release.state == "halted" and release.moving:
        return "back by the plan", release.why
    if release.state == "halted" or release.over:
        return "", ""
    blind = len(facts.known) < plan.sight * gateways
    if release.state == "planned":
        return ("", "") if blind else ("go", "begins")  # it waits until the fleet is in sight
    if blind:
        return (
            "blind",
            f"{len(facts.known)} of {gateways} gateways are heard; {plan.sight:.2f} of them must be",
        )
    if release.state == "going back":
        return _goes_back(release, facts, group)
    if facts.harm:
        return "harm", facts.harm
    if facts.halted_drain:
        return "lags", facts.halted_drain
    if facts.too_many and release.state in ("canary", "wave"):
        return "too many out", facts.too_many
    if release.state in ("canary", "wave"):
        missing = [n for n in group if n not in facts.on_it]
        if not missing:
            return "all on it", f"{len(group)} gateways act on it"
        if facts.overdue and len(missing) <= plan.may_lag:
            return "all on it", _named(missing, facts, "does not act on it") + ", and may lag"
        if facts.overdue or sum(n in facts.left for n in missing) > plan.may_lag:
            return "lags", _named(missing, facts, "does not act on it")
        return "", ""
    last = release.step + 1 >= len(groups(plan, gateways))
    if facts.watched:
        return ("well, and the last" if last else "well"), "nothing is known to be worse"
    if facts.starved:
        return "starved", "too few requests came by the new version to tell"
    return "", ""


def _goes_back(release: Release, facts: Facts, group: tuple[int, ...]) -> tuple[str, str]:
    if facts.halted_drain:
        return "lags", facts.halted_drain
    missing = [n for n in group if n not in facts.off_it]
    if missing:
        told = _named(missing, facts, "has not gone back")
        return ("lags", told) if facts.overdue else ("", "")
    more = len(release.back) > 1
    return (
        ("group back", f"{len(group)} are back") if more else ("all back", "all act on what they had before")
    )


def _named(missing: list[int], facts: Facts, what: str) -> str:
    def one(n: int) -> str:
        why = facts.left.get(n, "" if n in facts.known else "not heard")
        return f"gateway {n}" + (f" ({why})" if why else "")

    told = ", ".join(one(n) for n in missing[:4])
    return f"{told}{f' and {len(missing) - 4} more' if len(missing) > 4 else ''} {what} in time"


def in_hand(release: Release, gateways: int) -> tuple[int, ...]:
    """Whose step it is."""
    if release.state == "going back":
        return release.back[0] if release.back else ()
    found = groups(release.plan, gateways)
    return found[min(release.step, len(found) - 1)]


def take(book: Book, number: int, happening: str, say: Say) -> Book:
    """The book after an input to a release; the same where the table has no row for it."""
    release = find(book, number)
    row = TABLE.get((release.state, happening)) if release is not None else None
    if release is None or row is None:
        return book
    state, effect = row
    halts = state == "halted" and release.state != "halted"
    after = msgspec.structs.replace(
        release,
        state=state or release.resumes,
        why=say.why,
        resumes=release.state if halts else release.resumes,
        cause=happening if state == "halted" else "",
        step=release.step + (happening == "well"),
    )
    if effect:
        book, after = EFFECTS[effect](book, after)
    after = msgspec.structs.replace(
        after, log=(*after.log, Logged(after.state, say.why, say.wall, say.desk))[-LOGGED:]
    )
    return put(keep(book, after))


def find(book: Book, number: int) -> Release | None:
    """A release by its number."""
    return next((one for one in all_of(book) if one.number == number), None)


def all_of(book: Book) -> list[Release]:
    """All releases of a book, oldest first."""
    return [msgspec.convert(one, type=Release) for one in book.releases]


def keep(book: Book, release: Release) -> Book:
    """The book with this release as it is now."""
    mine = msgspec.to_builtins(release)
    others = [one for one in book.releases if one["number"] != release.number]
    return msgspec.structs.replace(book, releases=(*others, mine)[-KEPT:])


def start(book: Book, release: Release) -> Book:
    """One more release, planned; the same request again changes nothing. Raises Refused."""
    if any(one["request"] == release.request for one in book.releases):
        return book
    going = [one for one in all_of(book) if not one.over]
    if going:
        raise Refused(f"release {going[0].number} ({going[0].plan.name}) is {going[0].state}; one at a time")
    release = msgspec.structs.replace(release, number=book.at + 1)
    release = msgspec.structs.replace(release, before=_before(book, release))
    return put(keep(book, release))


def recovered(book: Book) -> Book:
    """A book found at gateways after all desks lost their disks. Later ones may be lost: nothing goes on by
    itself, and no number that a lost one may have given is given again."""
    out = book.outs
    for drain in out.drains:
        if drain.state == "going":
            out = outs.change(out, drain.number, state="halted", why="all desks lost their disks")
    book = put(msgspec.structs.replace(book, revision=book.at + LOST, turn=book.moved + LOST), outs=out)
    for release in all_of(book):
        book = take(book, release.number, "disks lost", Say("all desks lost their disks", 0, -1))
    return book


def _before(book: Book, release: Release) -> tuple[tuple[str, float, tuple[int, ...]], ...]:
    """What the gateways of a release follow now."""
    found: dict[tuple[str, float], list[int]] = {}
    if not release.plan.settings:
        return ()
    for group in groups(release.plan, book.gateways):
        for n in group:
            order = orders.wanted(book, n)
            version = (order.settings, order.lease_ms) if order is not None else ("", book.base_lease_ms)
            found.setdefault(version, []).append(n)
    return tuple((name, lease, tuple(sorted(who))) for (name, lease), who in found.items())


# Effects: each gives the book and the release after it.


def _put_out(book: Book, release: Release) -> tuple[Book, Release]:
    group = in_hand(release, book.gateways)
    touched = tuple(sorted({*release.touched, *group}))
    release = msgspec.structs.replace(release, touched=touched)
    if release.plan.settings:
        request = f"release {release.number} step {release.step}"
        book = orders.give(book, _order(release, request, release.digest, release.lease_ms, group))
        return book, msgspec.structs.replace(release, orders=(*release.orders, book.number))
    return _drained(book, release, group, release.plan.command, f"step {release.step}")


def _order(release: Release, request: str, settings: str, lease: float, part: tuple[int, ...]) -> Order:
    within = release.plan.lag_s * 1000
    return Order(0, request, settings, lease, part=part, within_ms=within, watched=True)


def _drained(
    book: Book, release: Release, group: tuple[int, ...], command: tuple[str, ...], what: str
) -> tuple[Book, Release]:
    plan, number = release.plan, book.at + 1
    request = f"release {release.number} {what}"
    words = (number, request, GATEWAY, group, plan.plays_s * 1000, plan.late, "restart")
    book = put(book, outs=outs.ask(book.outs, Drain(*words, command=command, release=release.number)))
    return book, msgspec.structs.replace(release, drains=(*release.drains, number))


def _hold(book: Book, release: Release) -> tuple[Book, Release]:
    """Nobody takes a step of it any more, not even one that was told of it before."""
    held = tuple(sorted({*book.held, *release.orders}))
    out = book.outs
    for number in release.drains:
        drain = out.drain(number)
        if drain is not None and drain.state == "going":
            out = outs.change(out, number, state="halted", why=f"release {release.number} is halted")
    return put(book, held=held, outs=out), release


def _let_go(book: Book, release: Release) -> tuple[Book, Release]:
    held = tuple(one for one in book.held if one not in release.orders)
    out = book.outs
    for number in release.drains:
        drain = out.drain(number)
        if drain is not None and drain.state == "halted" and not release.over:
            out = outs.resumed(out, number)
    return put(book, held=held, outs=out), release


def _put_back(book: Book, release: Release) -> tuple[Book, Release]:
    """Those that it has reached go back, the last first; where they were going already, they go on."""
    if release.back:
        return _let_go(book, release)
    reached = set(release.touched) if release.plan.settings else restarted(book, release)[0]
    last_first = reversed(groups(release.plan, book.gateways))
    back = [kept for group in last_first if (kept := tuple(n for n in group if n in reached))]
    if release.plan.back == "at once" and back:
        back = [tuple(sorted(reached))]
    book, release = _call_off(book, release)
    release = msgspec.structs.replace(release, back=tuple(back), drains_back=len(release.drains))
    return _group_back(book, release)


def _put_next_back(book: Book, release: Release) -> tuple[Book, Release]:
    return _group_back(book, msgspec.structs.replace(release, back=release.back[1:]))


def _group_back(book: Book, release: Release) -> tuple[Book, Release]:
    group = release.back[0] if release.back else ()
    if not group:
        return book, release
    what = f"back {len(release.back)}"
    if not release.plan.settings:
        return _drained(book, release, group, release.plan.command_back, what)
    for place, (name, lease, who) in enumerate(release.before):
        part = tuple(n for n in group if n in who)
        if part:
            order = _order(release, f"release {release.number} {what} {place}", name, lease, part)
            book = orders.give(book, order)
            release = msgspec.structs.replace(release, orders=(*release.orders, book.number))
    return book, release


def _call_off(book: Book, release: Release) -> tuple[Book, Release]:
    """Whoever has not begun does not; the orders that were held are overtaken by those back."""
    out = book.outs
    for number in release.drains:
        drain = out.drain(number)
        if drain is not None and drain.state in ("going", "halted"):
            out = outs.change(out, number, state="back", why=f"release {release.number} goes back")
            out = outs.called_back(out, number, book.at + 1)
    return (put(book, outs=out) if out != book.outs else book), release


def restarted(book: Book, release: Release) -> tuple[set[int], set[int]]:
    """Of a build: who has been restarted into it, or may have been, and who has been brought back since."""
    found: tuple[set[int], set[int]] = set(), set()
    for place, number in enumerate(release.drains):
        drain = book.outs.drain(number)
        way = found[release.drains_back is not None and place >= release.drains_back]
        way |= set(drain.done) if drain is not None else set()
        way |= {one.subject for one in book.outs.leaves if one.drain == number and one.ran}
    return found


def _watch(book: Book, release: Release) -> tuple[Book, Release]:
    """What an earlier watch has seen is not held against this step."""
    return msgspec.structs.replace(book, evidence={}), release


EFFECTS: dict[str, Callable[[Book, Release], tuple[Book, Any]]] = {
    "put out": _put_out,
    "watch": _watch,
    "hold": _hold,
    "let go": _let_go,
    "put back": _put_back,
    "put the next back": _put_next_back,
}
