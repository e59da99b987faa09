"""How a gateway follows the fleet's orders: a table of state, input, next state, effect. Free of I/O."""

from __future__ import annotations

import zlib

from burlmast.fleet.orders import Book, Order, newer, wanted

TABLE: dict[tuple[str, str], tuple[str, str]] = {
    # state, input: next state, effect
    ("in force", "ordered"): ("fetching", "fetch"),
    ("fetching", "ordered"): ("fetching", "fetch"),
    ("fetching", "got"): ("checking", "check"),
    ("fetching", "not had"): ("waiting", "wait"),
    ("fetching", "unusable"): ("left behind", ""),  # this build cannot read them
    ("waiting", "due"): ("fetching", "fetch"),
    ("waiting", "ordered"): ("fetching", "fetch"),
    ("checking", "usable"): ("keeping", "keep"),
    ("checking", "unusable"): ("left behind", ""),
    ("checking", "ordered"): ("fetching", "fetch"),
    ("keeping", "kept"): ("ready", "look"),
    ("keeping", "not kept"): ("cannot keep", "wait"),
    ("keeping", "ordered"): ("fetching", "fetch"),
    ("cannot keep", "due"): ("keeping", "keep"),
    ("cannot keep", "ordered"): ("fetching", "fetch"),
    ("ready", "let"): ("taking", "take"),
    ("ready", "ordered"): ("fetching", "fetch"),
    ("taking", "taken"): ("in force", ""),
    ("taking", "unusable"): ("left behind", ""),
    # An order that comes while one is taken is looked at once that is in force.
    ("left behind", "ordered"): ("fetching", "fetch"),
}


class Follower:
    """One gateway's way along the book of orders."""

    def __init__(self, gateway: int, book: Book, in_force: int, again: int, longest: int, seed: int) -> None:
        """`in_force` is the number of the order whose settings it acts on; `again` and `longest` nanoseconds
        are the first and the longest pause until something that failed is tried again."""
        self.gateway, self.book = gateway, book
        self.in_force, self.taking = in_force, in_force
        self.state, self.why = "in force", ""
        self._again, self._longest, self._seed = again, longest, seed
        self._failures = self._draws = 0
        self.due = 0

    @property
    def order(self) -> Order | None:
        """The order that it has to follow."""
        return wanted(self.book, self.gateway)

    @property
    def epoch(self) -> int:
        """The epoch of the order that it has to follow."""
        return self.book.epoch

    @property
    def ready(self) -> int:
        """The last order for which it has all it needs."""
        settled = self.state in ("ready", "taking") or (self.state == "in force" and self.caught_up)
        return self.book.number if settled else self.in_force

    @property
    def caught_up(self) -> bool:
        """Whether it acts on what it is to act on."""
        order = self.order
        return self.in_force == (order.number if order is not None else 0)

    def hear(self, now: int, book: Book) -> str:
        """A book from a desk, a gateway or the disk; the effect. The first one that is heard says which fleet
        this is."""
        if book.fleet and not self.book.fleet:
            self.book = Book(book.fleet, book.gateways, book.base_lease_ms)
        if not newer(self.book, book):
            return ""
        before, self.book = self.order, book
        if self.order == before:
            return ""
        self._failures = 0
        return self.take(now, "ordered")

    def take(self, now: int, happening: str, why: str = "") -> str:
        """What happened; the effect that the shell has to see to."""
        row = TABLE.get((self.state, happening))
        if row is None:
            return ""
        self.state, effect = row
        self.why = why
        if effect == "wait":
            self.due = now + self._pause()
        elif effect == "fetch":
            self.taking = self.order.number if self.order is not None else 0
        elif happening == "taken":
            self.in_force, self._failures = self.taking, 0
            if not self.caught_up:  # another came while this one was taken
                return self.take(now, "ordered")
        return effect

    def ring(self, now: int) -> str:
        """As `take`, once `due` has come."""
        return self.take(now, "due", self.why) if now >= self.due else ""

    def may_take(self, epoch: int, consent: bool = True) -> bool:
        """Whether what is ready may be taken by a gateway that acts in this epoch alone. `consent`: whether a
        majority of desks lets a watched order be taken."""
        order = self.order
        free = order is None or not order.watched or consent
        return self.state == "ready" and self.epoch == epoch and free

    @property
    def watched(self) -> int:
        """The watched order that waits for consent, 0 for none."""
        order = self.order
        return order.number if order is not None and order.watched and self.state == "ready" else 0

    def _pause(self) -> int:
        # Danger: gateways that failed together would all come back together.
        whole = min(self._longest, self._again << min(self._failures, 16))
        self._failures += 1
        self._draws += 1
        return whole // 2 + int(whole * zlib.crc32(f"{self._seed}:{self._draws}".encode()) / 2**33)


def choices(book: Book, gateway: int, in_force: int, settings: str, epoch: int) -> list[tuple[int, str]]:
    """What a gateway may start from, best first: order and settings, empty for its own file. `in_force`,
    `settings` and `epoch` are those of its last life."""
    order = wanted(book, gateway)
    if order is None:
        return [(0, "")]
    # What was kept for this start is taken now, unless others may still act on what must not mix with it.
    ready = [(order.number, order.settings)] if book.epoch == epoch else []
    return [*ready, (in_force, settings), (0, "")]
