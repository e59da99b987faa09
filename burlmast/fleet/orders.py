"""The fleet's orders: which settings are in force for whom, one after the other. Free of I/O.

The book of orders is the register's value. Numbers only grow. A withdrawal is an order too, back to what
was in force before, so that what is said of orders holds for it.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import msgspec

from burlmast.fleet.leading import Lead
from burlmast.fleet.lease import Called
from burlmast.fleet.outs import Outs

MS = 1_000_000
LONGEST = 64  # orders kept beside those that are followed; older ones are in the ledgers


class Order(msgspec.Struct, frozen=True):
    """Settings for the fleet or a part of it."""

    number: int
    request: str  # the operator's own id: the same request is one order
    settings: str  # digest; empty for each gateway's own file
    lease_ms: float  # how long they may be acted on without word from a majority of desks; 0: any time
    apart: bool = False  # must not act beside what was in force before
    part: tuple[int, ...] = ()  # gateways, empty for all
    without: tuple[int, ...] = ()  # gateways that an operator vouches not to run
    within_ms: float = 0.0  # from the order until it must be in force
    given_at: int = 0  # wall clock of the desk, for people alone
    undoes: int = 0
    epoch: int = 0  # the last order, up to this one, whose versions must not mix with those before
    leased: bool = False  # of one that must not mix: all that may be in force before it needs a lease
    longest_ms: float = 0.0  # and the longest of those
    watched: bool = False  # taken only with the consent of a majority of desks: a release may be halted


class Book(msgspec.Struct, frozen=True):
    """All orders that are kept; `base_lease_ms` is that of the gateways' own files."""

    fleet: str = ""  # the fleet's name, from its beginning
    gateways: int = 0
    base_lease_ms: float = 0.0
    orders: tuple[Order, ...] = ()
    leased: bool | None = None  # all that may be in force in the last epoch needs a lease; None: by the base
    longest_ms: float | None = None  # and the longest of those
    revision: int = 0  # of all that gateways have to know; see `at`
    turn: int = 0  # of all that stands here; see `moved`
    outs: Outs = Outs()
    held: tuple[int, ...] = ()  # watched orders that are not taken for now
    releases: tuple[dict[str, Any], ...] = ()  # as the release room writes them
    evidence: dict[str, Any] = {}  # of the release that is watched; gateways need not hear of it
    lead: Lead = Lead()

    @property
    def at(self) -> int:
        """The revision; books from before there were any count their orders."""
        return max(self.revision, self.number)

    @property
    def moved(self) -> int:
        """Grows with each change, the lead's beats as well."""
        return max(self.turn, self.at)

    @property
    def number(self) -> int:
        """The last order's number."""
        return self.orders[-1].number if self.orders else 0

    @property
    def epoch(self) -> int:
        """The last order whose versions must not mix with those before; 0 for none."""
        return self.orders[-1].epoch if self.orders else 0


class Refused(Exception):
    """An order that cannot be given: one line."""


def read_book(raw: bytes) -> Book:
    """The register's value. Raises Refused where it is none."""
    if not raw:
        return Book()
    try:
        return msgspec.json.decode(raw, type=Book)
    except (msgspec.MsgspecError, RecursionError) as why:
        raise Refused(f"not a book of orders: {why}") from None


def put(book: Book, **changes: Any) -> Book:
    """The book with a change that gateways have to know."""
    return msgspec.structs.replace(book, revision=book.at + 1, turn=book.moved + 1, **changes)


def jot(book: Book, **changes: Any) -> Book:
    """The book with a change that is for desks alone."""
    return msgspec.structs.replace(book, turn=book.moved + 1, **changes)


def write_book(book: Book) -> bytes:
    """The register's value."""
    return msgspec.json.encode(book)


def give(book: Book, wanted: Order, after: int | None = None) -> Book:
    """The book with one more order; the same request again changes nothing. With `after`, only where that is
    still the last order. Raises Refused."""
    if any(one.request == wanted.request for one in book.orders):
        return book
    if after is not None and after != book.number:
        raise Refused(f"order {book.number} was given meanwhile; look at it, then order again")
    if wanted.apart and wanted.part:
        raise Refused("versions that must not mix cannot be ordered for a part: the rest acts on the other")
    strangers = [one for one in (*wanted.part, *wanted.without) if not 0 <= one < book.gateways]
    if strangers:
        raise Refused(f"gateway {strangers[0]} is not of this fleet of {book.gateways}")
    number = book.number + 1
    leased = book.base_lease_ms > 0 if book.leased is None else book.leased
    longest = book.base_lease_ms if book.longest_ms is None else book.longest_ms
    if wanted.apart:
        epoch = {"epoch": number, "leased": leased, "longest_ms": longest}
        leased, longest = wanted.lease_ms > 0, wanted.lease_ms
    else:
        epoch = {"epoch": book.epoch}
        leased, longest = leased and wanted.lease_ms > 0, max(longest, wanted.lease_ms)
    order = msgspec.structs.replace(wanted, number=number, **epoch)
    kept = _needed((*book.orders, order), book.gateways)
    held = tuple(one for one in book.held if any(one == order.number for order in kept))
    return put(book, orders=kept, leased=leased, longest_ms=longest, held=held)


def _needed(orders: tuple[Order, ...], gateways: int) -> tuple[Order, ...]:
    """The last orders, and of older ones those that somebody follows or that began the epoch."""
    old, late = orders[:-LONGEST], orders[-LONGEST:]
    if not old:
        return orders
    followed = {order.number for n in range(gateways) if (order := _followed(orders, n)) is not None}
    followed.add(late[-1].epoch)
    return (*(one for one in old if one.number in followed), *late)


def withdraw(book: Book, number: int, request: str, given_at: int) -> Book:
    """The book with an order that puts back what was in force before this one. Raises Refused."""
    if any(one.request == request for one in book.orders):
        return book
    order = next((one for one in book.orders if one.number == number), None)
    if order is None:
        raise Refused(f"there is no order {number}")
    if book.number != number:
        raise Refused(f"order {book.number} came after it; withdraw that one, or order what is wanted")
    before = standing(book.orders[: book.orders.index(order)], order.part, book.base_lease_ms)
    if len(before) > 1:
        raise Refused("its gateways followed different orders before; order for each what is wanted")
    settings, lease = before[0]
    back = Order(
        0,
        request,
        settings,
        lease,
        order.apart,
        order.part,
        order.without,
        order.within_ms,
        given_at,
        number,
    )
    return give(book, back)


def standing(orders: Sequence[Order], part: tuple[int, ...], base_lease_ms: float) -> list[tuple[str, float]]:
    """What the gateways of a part follow, each version once; an empty name is each gateway's own file."""
    found: list[tuple[str, float]] = []
    for order in reversed(orders):
        covers = not order.part or (part and set(part) <= set(order.part))
        touches = covers or not part or set(part) & set(order.part)
        if touches and (order.settings, order.lease_ms) not in found:
            found.append((order.settings, order.lease_ms))
        if covers:
            return found
    return [*found, ("", base_lease_ms)]


def wanted(book: Book, gateway: int) -> Order | None:
    """The order that a gateway has to follow, None for its own file."""
    return _followed(book.orders, gateway)


def _followed(orders: Sequence[Order], gateway: int) -> Order | None:
    return next((one for one in reversed(orders) if not one.part or gateway in one.part), None)


def epoch_at(book: Book, number: int) -> int:
    """The epoch of an order, 0 for none; of one that is not kept any more one that is too early."""
    return next((one.epoch for one in reversed(book.orders) if one.number <= number), 0)


def newer(mine: Book, other: Book) -> bool:
    """Whether another's copy of the book is the later one of the same fleet."""
    return other.fleet == mine.fleet and other.at > mine.at


def lets(book: Book, gateway: int, number: int) -> bool:
    """A desk's side: whether a gateway may take a watched order, by the value that it accepted itself."""
    order = wanted(book, gateway)
    return order is not None and order.number == number and number not in book.held


def called(book: Book) -> Called:
    """The last order whose versions must not mix, as leases are given by it."""
    order = next((one for one in reversed(book.orders) if one.apart), None)
    if order is None:
        return Called()
    within = int(order.within_ms * MS)
    return Called(order.number, order.leased, int(order.longest_ms * MS), within, order.without)
