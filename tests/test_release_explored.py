"""Lead and steps of a release explored whole: three desks that take the lead from each other at any moment
and may act late on it, two gateways, an operator, any facts."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from itertools import product
from typing import NamedTuple

import msgspec
import pytest
from explore import explore

from burlmast.fleet import orders
from burlmast.fleet.leading import holds, taken
from burlmast.fleet.orders import Book, jot, read_book, write_book
from burlmast.release import steps
from burlmast.release.plan import Plan
from burlmast.release.steps import Facts, Release, Say, take, what_follows

SAY = Say("", 0, 0)
DESKS = 3


class World(NamedTuple):
    """The register's value, the term in which each desk believes to lead, the order that each gateway acts
    on, and what may still happen."""

    book: bytes
    terms: tuple[int, ...]
    acts: tuple[int, ...]
    leads: int  # times that the lead may still be taken
    said: tuple[str, ...]  # what the operator still says, in any order
    wrong: str = ""


def begin(leads: int = 2, said: tuple[str, ...] = ("halt", "resume"), harm: str = "halt") -> World:
    plan = Plan("p", settings="new", canary=(0,), waves=(1.0,), harm=harm)  # type: ignore[arg-type]
    book = steps.start(Book("f", 2), Release(0, "r", plan, "new"))
    return World(write_book(book), (0,) * DESKS, (0, 0), leads, said)


def bare(book: Book) -> bytes:
    """Without what only people read, so that one state is one."""
    release = steps.all_of(book)[0]
    return write_book(steps.keep(book, msgspec.structs.replace(release, log=(), why="")))


def facts(book: Book, world: World) -> Iterator[Facts]:
    """Whatever may be seen of this book."""
    release = steps.all_of(book)[0]
    on_it = frozenset(n for n in (0, 1) if world.acts[n] and _settings(book, world.acts[n]) == "new")
    off_it = frozenset(n for n in (0, 1) if n not in on_it and world.acts[n] == _wanted(book, n))
    known = frozenset((0, 1))
    if release.state in ("watching", "wave"):
        yield Facts(on_it, off_it, known, harm="worse")
    yield Facts(on_it, off_it, known, overdue=True)
    yield Facts(on_it, off_it, known, watched=True)


def _settings(book: Book, number: int) -> str:
    return next((one.settings for one in book.orders if one.number == number), "")


def _wanted(book: Book, gateway: int) -> int:
    order = orders.wanted(book, gateway)
    return order.number if order is not None else 0


def moves(
    world: World, fence: Callable = holds, lets: Callable = orders.lets, again: bool = False
) -> Iterator[tuple[str, World]]:
    """`fence`, `lets` are guards that trials take out; `again`: a desk decides by what it saw before."""
    book = read_book(world.book)
    before = steps.all_of(book)[0]
    for desk in range(DESKS):
        lead = taken(book.lead, book.lead, desk)
        if world.leads and lead is not None:
            terms = (*world.terms[:desk], lead.term, *world.terms[desk + 1 :])
            led = world._replace(book=write_book(jot(book, lead=lead)), terms=terms, leads=world.leads - 1)
            yield f"desk {desk} takes the lead", led
        if not world.terms[desk] or not fence(book.lead, desk, world.terms[desk]):
            continue
        for seen in facts(book, world):
            happening, _ = what_follows(before, seen, 2)
            if happening:
                after = take(book, before.number, happening, SAY)
                stale = (book.lead.desk, book.lead.term) != (desk, world.terms[desk])
                wrong = f"desk {desk} took a step in a lead that is over" if stale else ""
                if before.state == "halted" and before.cause != "harm":
                    wrong = wrong or f"desk {desk} went on from a halt"
                yield f"desk {desk}: {happening}", world._replace(book=bare(after), wrong=wrong)
    for word in set(world.said):
        left = list(world.said)
        left.remove(word)
        what = {"halt": "operator halts", "resume": "operator resumes", "back": "operator goes back"}[word]
        after = take(book, before.number, what, SAY)
        if after is not book:
            yield f"the operator says {word}", world._replace(book=bare(after), said=tuple(sorted(left)))
    for gateway in (0, 1):
        number = _wanted(book, gateway)
        if number != world.acts[gateway] and lets(book, gateway, number):
            acts = (*world.acts[:gateway], number, *world.acts[gateway + 1 :])
            wrong = f"gateway {gateway} took order {number} while it was held" if number in book.held else ""
            yield f"gateway {gateway} takes order {number}", world._replace(acts=acts, wrong=wrong)


def wrong(world: World) -> str:
    if world.wrong:
        return world.wrong
    book = read_book(world.book)
    requests = [one.request for one in book.orders]
    twice = [one for one in requests if requests.count(one) > 1]
    release = steps.all_of(book)[0]
    waves = [one for one in book.orders if one.settings == "new"]
    if twice or len(waves) > 2:
        return f"a step happened twice: {requests}"
    if release.state == "done" and {_settings(book, _wanted(book, n)) for n in (0, 1)} != {"new"}:
        return "it is done, and not all have to follow it"
    if release.state == "given up" and any(_settings(book, n) == "new" for n in world.acts):
        return "it is given up, and somebody acts on it"
    return ""


@pytest.mark.parametrize(
    ("leads", "said", "harm"),
    [
        (3, ("halt", "resume"), "halt"),
        (2, ("back", "halt", "resume"), "back"),
        (2, ("back", "halt", "halt", "resume"), "halt"),
    ],
)
def test_no_step_happens_twice_and_a_halt_is_final_until_resumed(
    leads: int, said: tuple[str, ...], harm: str
) -> None:
    found = explore(begin(leads, said, harm), moves, wrong)
    assert not found.wrong, (found.wrong, found.story)
    assert found.states > 300, found.states


@pytest.mark.parametrize("plant", ["late lead believed", "halt lost"])
def test_a_planted_fault_of_steps_is_found_by_its_shortest_story(plant: str) -> None:
    guards: dict[str, Callable] = {
        "late lead believed": lambda world: moves(world, fence=lambda lead, desk, term: True),
        "halt lost": lambda world: moves(world, lets=lambda book, gateway, number: True),
    }
    found = explore(begin(2), guards[plant], wrong)
    told = {"late lead believed": "a lead that is over", "halt lost": "while it was held"}
    assert told[plant] in found.wrong and len(found.story) < 10, found


def test_from_every_state_an_operator_gets_back() -> None:
    worlds: list[World] = []

    def collect(world: World) -> str:
        worlds.append(world)
        return ""

    explore(begin(2, ("halt", "resume")), moves, collect)
    for world in worlds[:: max(1, len(worlds) // 400)]:
        book = read_book(world.book)
        if steps.all_of(book)[0].state not in ("given up", "going back"):
            book = take(book, 0 + steps.all_of(book)[0].number, "operator goes back", SAY)
        for _ in range(6):
            acts = tuple(_wanted(book, n) for n in (0, 1))
            release = steps.all_of(book)[0]
            seen = Facts(frozenset(), frozenset((0, 1)), frozenset((0, 1)))
            happening, _ = what_follows(release, seen, 2)
            book = take(book, release.number, happening, SAY)
        assert steps.all_of(book)[0].state == "given up", world
        assert not book.held and {_settings(book, n) for n in acts} == {""}


def test_every_subset_of_words_in_a_row_is_answered() -> None:
    """Whatever an operator says in whatever order, the table answers, and only what it names changes."""
    for words in product(("operator halts", "operator resumes", "operator goes back"), repeat=4):
        book = read_book(begin().book)
        for word in words:
            after = take(book, steps.all_of(book)[0].number, word, SAY)
            known = (steps.all_of(book)[0].state, word) in steps.TABLE
            assert (after is book) or known
            book = after


ALL = frozenset(range(4))


def out_to(state: str, step: int = 1, **plan: object) -> Release:
    words = {"settings": "new", "canary": (0,), "waves": (0.5, 1.0)} | plan
    release = Release(1, "r", Plan("p", **words), "new", state=state, step=step)  # type: ignore[arg-type]
    return msgspec.structs.replace(release, touched=(0, 1), back=((0, 1),) if state == "going back" else ())


@pytest.mark.parametrize(
    ("release", "facts", "what", "why"),
    [
        (out_to("wave"), Facts(frozenset((0, 1, 2)), frozenset(), ALL), "all on it", "2 gateways"),
        (out_to("wave"), Facts(frozenset((0, 1)), frozenset(), ALL), "", ""),
        (out_to("wave"), Facts(frozenset((0, 1)), frozenset(), ALL, overdue=True), "lags", "gateway 2 does"),
        (
            out_to("wave"),
            Facts(frozenset((0, 1)), frozenset(), ALL, left={2: "full"}),
            "lags",
            "gateway 2 (full) does not act on it",
        ),
        (
            out_to("wave", may_lag=1),
            Facts(frozenset((0, 1)), frozenset(), ALL, overdue=True),
            "all on it",
            "and may lag",
        ),
        (out_to("watching"), Facts(ALL, ALL, frozenset((3,))), "blind", "1 of 4 gateways are heard"),
        (out_to("planned"), Facts(ALL, ALL, frozenset((3,))), "", ""),
        (out_to("planned"), Facts(ALL, ALL, ALL), "go", ""),
        (out_to("wave"), Facts(ALL, ALL, ALL, too_many="5 are out"), "too many out", "5 are out"),
        (out_to("watching"), Facts(ALL, ALL, ALL, starved=True), "starved", "too few requests"),
        (out_to("watching"), Facts(ALL, ALL, ALL, harm="worse", watched=True), "harm", "worse"),
        (out_to("watching"), Facts(ALL, ALL, ALL, watched=True), "well", "nothing is known"),
        (out_to("watching", 2), Facts(ALL, ALL, ALL, watched=True), "well, and the last", ""),
        (out_to("halted"), Facts(ALL, ALL, ALL, harm="worse"), "", ""),
        (out_to("going back"), Facts(ALL, frozenset((0,)), ALL, overdue=True), "lags", "gateway 1 has not"),
        (out_to("going back"), Facts(ALL, frozenset((0, 1)), ALL), "all back", ""),
    ],
)
def test_what_follows_from_what_is_seen(release: Release, facts: Facts, what: str, why: str) -> None:
    found, told = what_follows(release, facts, 4)
    assert found == what and why in told, told


def test_it_goes_back_wave_by_wave_the_last_first_each_to_what_it_had() -> None:
    book = orders.give(Book("f", 4), orders.Order(0, "x", "other", 0.0, part=(2,)))
    plan = Plan("p", settings="new", canary=(0,), waves=(0.5, 1.0), back="waves")
    book = steps.start(book, Release(0, "r", plan, "new"))
    number = steps.all_of(book)[0].number
    for what in ("go", "all on it", "well", "all on it", "operator goes back"):
        book = take(book, number, what, SAY)
    assert steps.all_of(book)[0].back == ((1, 2), (0,)), "the wave that has begun, then the canary"
    assert [_settings(book, _wanted(book, n)) for n in range(4)] == ["new", "", "other", ""]
    book = take(book, number, "group back", SAY)
    assert [_settings(book, _wanted(book, n)) for n in range(4)] == ["", "", "other", ""]
    book = take(book, number, "all back", SAY)
    assert steps.all_of(book)[0].state == "given up" and not book.held
