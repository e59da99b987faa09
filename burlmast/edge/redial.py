"""When to dial the list service again. Free of I/O.

The list is followed for as long as the gateway runs. Where it cannot be reached the pause doubles from call
to call up to its longest; where it has gone silent the call is given up.
"""

from __future__ import annotations

import zlib

TABLE: dict[tuple[str, str], tuple[str, str]] = {
    ("idle", "wanted"): ("dialling", "dial"),
    ("dialling", "heard"): ("following", "rest"),
    ("dialling", "lost"): ("waiting", "wait"),
    ("dialling", "quiet"): ("waiting", "hang up"),
    ("following", "heard"): ("following", "rest"),
    ("following", "lost"): ("waiting", "wait"),
    ("following", "quiet"): ("waiting", "hang up"),
    ("waiting", "due"): ("dialling", "dial"),
    ("waiting", "wanted"): ("dialling", "dial"),
}


class Redial:
    """The state of the call to the list service."""

    def __init__(self, first: int, longest: int, quiet: int, seed: int) -> None:
        """Times in nanoseconds: the first pause, the longest, and how long a list may say nothing."""
        self._first, self._longest, self._quiet = first, longest, quiet
        self._seed, self._draws = seed, 0
        self.state = "idle"
        self._failures = 0
        self._due = 0

    @property
    def due(self) -> int:
        """When `at` has to be asked next."""
        return self._due

    def take(self, now: int, happening: str) -> str:
        """What to do: dial, hang up (and dial later) or nothing."""
        self.state, effect = TABLE.get((self.state, happening), (self.state, ""))
        if effect in ("dial", "rest"):
            if effect == "rest":
                self._failures = 0
            self._due = now + self._quiet
        elif effect in ("wait", "hang up"):
            self._due = now + self._pause()
        return effect

    def at(self, now: int) -> str:
        """As `take`, once `due` has come."""
        if now < self._due:
            return ""
        return self.take(now, "due" if self.state == "waiting" else "quiet")

    def _pause(self) -> int:
        # Danger: gateways that lost the list together would all come back to it together.
        whole = min(self._longest, self._first << min(self._failures, 16))
        self._failures += 1
        self._draws += 1
        chance = zlib.crc32(f"{self._seed}:{self._draws}".encode()) / 2**32
        return whole // 2 + int(whole * chance / 2)
