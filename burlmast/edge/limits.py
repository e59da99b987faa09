"""What this program itself can hold: connections, heads, requests, bytes. Free of I/O.

It decides who is let in, never which host or rung a playback gets. One rule serves all four: plenty of room
lets everybody in; a crowded door holds each address to an equal part; the last of the room is kept for
addresses that hold or play something already, so that newcomers never push out those who are served.
"""

from __future__ import annotations

from collections import Counter

from burlmast.settings.sheets import Doorway

# Level of the room, and whether the address is known here and within its equal part: let in?
ADMITS: dict[tuple[str, str, str], bool] = {
    ("roomy", "stranger", "within"): True,
    ("roomy", "stranger", "over"): True,
    ("roomy", "known", "within"): True,
    ("roomy", "known", "over"): True,
    ("crowded", "stranger", "within"): True,
    ("crowded", "stranger", "over"): False,
    ("crowded", "known", "within"): True,
    ("crowded", "known", "over"): False,
    ("tight", "stranger", "within"): False,
    ("tight", "stranger", "over"): False,
    ("tight", "known", "within"): True,
    ("tight", "known", "over"): False,
    ("full", "stranger", "within"): False,
    ("full", "stranger", "over"): False,
    ("full", "known", "within"): False,
    ("full", "known", "over"): False,
}


class Room:
    """So much of one thing, and how much of it each address has."""

    def __init__(self, most: float, crowded: float, each: float | None = None) -> None:
        """`crowded` is the part of `most` from which addresses are held to equal parts; `each` caps one
        address."""
        self.most, self._crowded, self._each = most, crowded * most, each if each is not None else most
        self._tight = (most + self._crowded) / 2
        self.taken = 0.0
        self.by_address: Counter[str] = Counter()

    def level(self, more: float) -> str:
        """How full the room is with so much more in it."""
        after = self.taken + more
        if after > self.most:
            return "full"
        return "tight" if after > self._tight else "crowded" if after > self._crowded else "roomy"

    def standing(self, address: str, more: float) -> str:
        """Whether the address, with so much more, has at most an equal part."""
        # Danger: an address that is alone here would else fill the room before another comes.
        parts = len(self.by_address) + (address not in self.by_address) + 1
        has = self.by_address.get(address, 0)
        return "within" if has + more <= max(more, self.most / parts) else "over"

    def take(self, address: str, known: bool, more: float = 1) -> bool:
        """Take so much for this address, if it may."""
        if self.taken + more <= self._crowded and self.by_address.get(address, 0) + more <= self._each:
            self.taken += more  # as the table has it where there is room for everybody, and nearly always
            self.by_address[address] = self.by_address.get(address, 0) + more  # type: ignore[assignment]
            return True
        acquaintance = "known" if known else "stranger"
        has = self.by_address.get(address, 0)
        allowed = ADMITS[self.level(more), acquaintance, self.standing(address, more)]
        if not allowed or has + more > self._each:
            return False
        self.taken += more
        self.by_address[address] += more  # type: ignore[assignment]
        return True

    def give_back(self, address: str, less: float = 1) -> None:
        """Give back what was taken."""
        self.taken -= less
        self.by_address[address] -= less  # type: ignore[assignment]
        if self.by_address[address] <= 0:
            del self.by_address[address]


class Doorkeeper:
    """Lets viewers in, or sends them away at once."""

    def __init__(self, doorway: Doorway) -> None:
        self.doorway = doorway
        crowded = doorway.crowded
        self.connections = Room(doorway.connections, crowded, doorway.connections_each)
        self.heads = Room(doorway.heads, crowded)
        self.held = Room(doorway.held, crowded)
        self.bytes = Room(doorway.buffered_kb * 1000, crowded)
        self._served: Counter[str] = Counter()
        self.turned_away: Counter[str] = Counter()

    def knows(self, address: str) -> bool:
        """Whether the address holds or plays something here."""
        return address in self._served

    def opened(self, address: str) -> bool:
        """A connection comes."""
        return self._told("connections", self.connections.take(address, self.knows(address)))

    def closed(self, address: str) -> None:
        """A connection that was let in is gone."""
        self.connections.give_back(address)

    def head_began(self, address: str) -> bool:
        """A head begins to come in."""
        return self._told("heads", self.heads.take(address, self.knows(address)))

    def head_ended(self, address: str) -> None:
        """A head that was let in is whole or lost."""
        self.heads.give_back(address)

    def buffered(self, address: str, change: int) -> bool:
        """So many more body bytes are held, or fewer."""
        if change <= 0:
            self.bytes.give_back(address, -change)
            return True
        return self._told("bytes", self.bytes.take(address, self.knows(address), change))

    def hold(self, address: str) -> bool:
        """A new request for a playback; one let in counts as held until `answered` and served until
        `gone`."""
        allowed = self._told("held", self.held.take(address, self.knows(address)))
        if allowed:
            self._served[address] += 1
        return allowed

    def answered(self, address: str) -> None:
        """A held request has its answer."""
        self.held.give_back(address)

    def gone(self, address: str) -> None:
        """What was held has been given up, or what played of it is over."""
        self._served[address] -= 1
        if self._served[address] <= 0:
            del self._served[address]

    def _told(self, what: str, allowed: bool) -> bool:
        if not allowed:
            self.turned_away[what] += 1
        return allowed
