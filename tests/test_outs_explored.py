"""Leaves explored whole at small sizes: two gateways that both want out where one may; any number of desks,
each of which may go by any words that were ever said (lost, late, doubled and disordered ones); books that
come late; crashes, a lost disk.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from itertools import product

import msgspec
import pytest
from explore import explore

from burlmast.fleet.going import Going, Traveller, lets
from burlmast.fleet.outs import Drain, GatewaySeen, Leave, Limits, Outs, View, advance, called_back, change

LIMITS = Limits(gateways=1)
replace = msgspec.structs.replace


class Word(msgspec.Struct, frozen=True):
    """What a gateway says of itself, as `words.Away` carries it."""

    disk: str
    state: str
    finished: int
    was_out: int


class One(msgspec.Struct, frozen=True):
    """A gateway as a value."""

    state: str = "in"
    kept: Going = Going()
    durable: Going = Going()
    leave: Leave | None = None
    revision: int = 0
    consent: int = 0
    first: bool = True
    restarted: bool = False


class Fleet(msgspec.Struct, frozen=True):
    """All of it. The register is one value (its own exploration shows that it is); `books` are all that it
    has been, since anybody may hear any of them late."""

    books: tuple[Outs, ...]
    gateways: tuple[One, ...]
    said: frozenset[tuple[int, Word]]
    crashes: int = 1
    losses: int = 0
    calls: int = 1


def put(values: tuple, place: int, value: object) -> tuple:
    return (*values[:place], value, *values[place + 1 :])


def begin(then: str = "stay", **fields: int) -> Fleet:
    drains = (
        Drain(1, "r", "gateway", (0, 1), 0.0, then=then),
        Drain(2, "s", "gateway", (1,), 0.0, then=then),
    )
    gateways = tuple(One(kept=Going(f"d{n}"), durable=Going(f"d{n}")) for n in range(2))
    fleet = Fleet((Outs(drains=drains),), gateways, frozenset(), **fields)
    for n in range(2):
        fleet = say(fleet, n)
    return fleet


def traveller(number: int, one: One) -> Traveller:
    found = Traveller(number, one.kept, 1 << 60)
    found.state, found.leave, found._first, found.restarted = one.state, one.leave, one.first, one.restarted
    return found


def after(one: One, way: Traveller, **fields: object) -> One:
    now = replace(one, state=way.state, kept=way.kept, leave=way.leave, first=way._first, **fields)
    return replace(now, restarted=way.restarted)


def word(one: One) -> Word:
    kept = one.durable
    return Word(kept.disk, one.state, kept.finished, kept.was_out)


def say(fleet: Fleet, number: int) -> Fleet:
    """A gateway says how it stands; what it says may come to any desk, at any time, again."""
    return replace(fleet, said=fleet.said | {(number, word(fleet.gateways[number]))})


def seen(words: tuple[Word, ...]) -> View:
    gateways = {}
    for n, w in enumerate(words):
        gateways[n] = GatewaySeen(0, w.disk, w.state == "in", w.state, w.state, w.finished, w.was_out)
    return View(gateways, {})


def moves(
    fleet: Fleet, step: Callable = advance, keeps: bool = True, asks: bool = True
) -> Iterator[tuple[str, Fleet]]:
    """`step`, `keeps` and `asks` are guards that trials take out."""
    outs = fleet.books[-1]
    told = [sorted((w for n, w in fleet.said if n == number), key=str) for number in range(2)]
    after_step = {}
    for words in product(*told):
        found, _ = step(outs, len(fleet.books), seen(words), LIMITS)
        if found != outs:
            after_step[found] = words
    for found, words in after_step.items():
        states = [f"{w.state} {w.finished}" for w in words]
        yield f"a desk that heard {states} takes a step", replace(fleet, books=(*fleet.books, found))
    if fleet.calls and outs.leaves:
        back = called_back(change(outs, 1, state="back"), 1, len(fleet.books))
        yield "an operator calls back", replace(fleet, books=(*fleet.books, back), calls=fleet.calls - 1)
    for number, one in enumerate(fleet.gateways):
        for revision in range(one.revision + 1, len(fleet.books)):
            way = traveller(number, one)
            way.hear(0, fleet.books[revision])
            if revision < len(fleet.books) - 1 and way.leave == one.leave and way.state == one.state:
                continue  # nothing new for this one
            changed = replace(fleet, gateways=put(fleet.gateways, number, after(one, way, revision=revision)))
            yield f"gateway {number} hears book {revision}", say(changed, number)
        leave = one.leave
        wants = leave is not None and one.consent != leave.number and one.state == "in"
        if leave is not None and wants and (not asks or lets(outs, number, one.durable.disk, leave.number)):
            gateways = put(fleet.gateways, number, replace(one, consent=leave.number))
            yield f"a majority lets gateway {number}", replace(fleet, gateways=gateways)
        for consent, warm, kept in ((True, False, False), (False, True, False), (False, False, True)):
            way = traveller(number, one)
            if kept:
                if one.state != "finishing":
                    continue
                way.take(0, "kept")
                durable = way.kept
            else:
                if consent and (leave is None or one.consent != leave.number):
                    continue
                way.look(0, consent, False, warm, 0)
                durable = way.kept if keeps and way.state != "finishing" else one.durable
                if not keeps and way.state == "finishing":
                    durable = way.kept  # said before it is on the disk
            changed = after(one, way, durable=durable)
            if changed != one:
                told = replace(fleet, gateways=put(fleet.gateways, number, changed))
                yield f"gateway {number} is {way.state}", say(told, number)
        if fleet.crashes:
            kept = one.durable if keeps else Going(one.durable.disk)
            fresh = One(kept=kept, durable=kept)
            told = replace(fleet, gateways=put(fleet.gateways, number, fresh), crashes=fleet.crashes - 1)
            yield f"gateway {number} crashes", say(told, number)
        if fleet.losses:
            blank = Going(f"{one.durable.disk}+")
            fresh = One(kept=blank, durable=blank)
            told = replace(fleet, gateways=put(fleet.gateways, number, fresh), losses=fleet.losses - 1)
            yield f"gateway {number} loses its disk", say(told, number)


def too_many(fleet: Fleet) -> str:
    shut = [n for n, one in enumerate(fleet.gateways) if one.state in ("draining", "late", "out")]
    return f"{shut} are out where one may be" if len(shut) > 1 else ""


@pytest.mark.parametrize(
    ("then", "fields"),
    [
        ("stay", {"crashes": 2}),
        ("back", {"crashes": 0}),
        ("restart", {"crashes": 2, "calls": 0}),
        ("stay", {"losses": 1}),
    ],
)
def test_never_more_are_out_than_may_be(then: str, fields: dict[str, int]) -> None:
    found = explore(begin(then, **fields), moves, too_many)
    assert not found.wrong, found.story
    assert found.states > 500, found.states


def twice(outs: Outs, revision: int, view: View, limits: Limits) -> tuple[Outs, dict[int, str]]:
    """Planted: who holds a leave is not counted."""
    free = replace(limits, gateways=limits.gateways + len(outs.leaves))
    return advance(outs, revision, view, free)


def early(outs: Outs, revision: int, view: View, limits: Limits) -> tuple[Outs, dict[int, str]]:
    """Planted: a holder that seems to be in is taken to have come back."""
    idle = tuple(one for one in outs.leaves if not (one.back and view.gateways[one.subject].well))
    return advance(replace(outs, leaves=idle), revision, view, limits)


@pytest.mark.parametrize("plant", ["twice", "early", "forgets"])
def test_a_planted_fault_of_leaves_is_found_by_its_shortest_story(plant: str) -> None:
    words: dict[str, dict[str, object]] = {
        "twice": {"step": twice},
        "early": {"step": early},
        "forgets": {"keeps": False, "asks": False},
    }
    found = explore(begin(), lambda fleet: moves(fleet, **words[plant]), too_many)  # type: ignore[arg-type]
    assert "are out where one may be" in found.wrong and len(found.story) < 20, found


def test_nobody_is_out_without_end() -> None:
    """From every state that can be reached: once it is called back and words arrive, all are in and no leave
    is left."""
    states: list[Fleet] = []

    def collect(fleet: Fleet) -> str:
        states.append(fleet)
        return ""

    explore(begin(), moves, collect)
    for fleet in states[:: max(1, len(states) // 4000)]:
        assert not stuck(fleet), fleet


def stuck(fleet: Fleet) -> str:
    for number in (1, 2):
        outs = fleet.books[-1]
        back = called_back(change(outs, number, state="back"), number, len(fleet.books))
        fleet = replace(fleet, books=(*fleet.books, back))
    fleet = replace(fleet, crashes=0, calls=0, losses=0)
    for _ in range(40):
        for wanted in ("hears book", "is finishing", "is in", "is returning"):
            for _ in range(6):
                found = [state for label, state in moves(fleet) if wanted in label]
                if not found:
                    break
                fleet = found[-1]
        words = tuple(word(one) for one in fleet.gateways)
        outs, _ = advance(fleet.books[-1], len(fleet.books), seen(words), LIMITS)
        fleet = replace(fleet, books=(*fleet.books, outs)) if outs != fleet.books[-1] else fleet
        if not fleet.books[-1].leaves and all(one.state == "in" for one in fleet.gateways):
            return ""
    return "a leave or a gateway is out without end"
