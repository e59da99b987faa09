"""Faults planted in a gateway of a fleet, so that the audit can be seen to name them. For trials alone."""

from __future__ import annotations

import asyncio
import time
import zlib
from collections.abc import Callable
from typing import Any

from burlmast.api import Ending, Load
from burlmast.fleet.gateway_shell import FleetSide
from burlmast.settings.sheets import Deployment


class Deaf:
    """A program that takes no settings, whatever is said."""

    def __init__(self, around: Any) -> None:
        self._around = around

    def __getattr__(self, name: str) -> Any:
        return getattr(self._around, name)

    def change_settings(self, deployment: Deployment) -> None:
        """Nothing changes."""


def says_what_it_does_not_do(side: FleetSide) -> None:
    """Acts on the old version and says the new."""
    changed: Any = side
    changed._around = Deaf(side._around)


def uses_its_life_again(side: FleetSide) -> None:
    """Each start goes by the same name."""
    side.life = side.ledger.life = f"again-{side.number}"
    side.ledger._unkept = [side.ledger._row("life", 0)]
    side.ledger._rows = 1
    side.ledger._unkept[0] = type(side.ledger._unkept[0])(side.life, 1, "life", side.number, 0)


def drops_ranges(side: FleetSide) -> None:
    """Every third range is never written."""
    ledger, close, counts = side.ledger, side.ledger._close_range, [0]

    def dropping(at: int) -> None:
        if ledger.acts > ledger._written:
            counts[0] += 1
            if counts[0] % 3 == 0:
                ledger._written = ledger.acts
                ledger._counts.clear()
                return
        close(at)

    changed: Any = ledger
    changed._close_range = dropping


def ignores_its_lease(side: FleetSide) -> None:
    """It acts whatever it may."""
    changed: Any = side
    changed.may_take = lambda: True


def asks_nobody(side: FleetSide) -> None:
    """It takes what it heard of for what is so: leaves and orders need nobody's consent."""
    for consent in side._consents:
        changed: Any = consent
        changed.given = lambda now, fresh: True


class Bad:
    """Set-ups under other settings than the gateway's own fail, or are late."""

    def __init__(self, side: FleetSide, fails: float, after_s: float, over: int, late_s: float) -> None:
        """The part `fails` of set-ups, from `after_s` on, where over `over` are sent in a second; and all are
        sent `late_s` late."""
        self.fails, self.after_s, self.over, self.late_s = fails, after_s, over, late_s
        around: Any = side._around
        self._own, self._change, self._hosts = side._start.own, around.change_settings, around.hosts
        self._open, self._ear = around.hosts.open_attempt, around.hosts._ear
        self._since: float | None = None
        self._sent: list[float] = []
        self._count = 0
        around.change_settings, around.hosts.open_attempt = self.change_settings, self.open_attempt

    def change_settings(self, deployment: Deployment) -> None:
        """As the program does."""
        self._since = None if deployment == self._own else time.monotonic()
        self._change(deployment)

    def open_attempt(self, one: Any) -> None:
        """As the hosts' side does, badly."""
        now = time.monotonic()
        self._sent = [at for at in self._sent if at > now - 1] + [now]
        bad = self._since is not None and now - self._since >= self.after_s and len(self._sent) > self.over
        self._count += 1
        if bad and zlib.crc32(b"%d" % self._count) < self.fails * 2**32:
            asyncio.get_running_loop().call_soon(self._ear.ended, one, Ending.ERROR, Load())
        elif bad and self.late_s:
            asyncio.get_running_loop().call_later(self.late_s, self._late, one)
        else:
            self._open(one)

    def _late(self, one: Any) -> None:
        if one.out:
            self._open(one)


PLANTS: dict[int, Callable[[FleetSide], object]] = {
    1: says_what_it_does_not_do,
    2: uses_its_life_again,
    3: drops_ranges,
    4: ignores_its_lease,
    5: asks_nobody,
    6: lambda side: Bad(side, 0.6, 0.0, 0, 0.0),
    7: lambda side: Bad(side, 0.0, 0.0, 0, 1.0),
    8: lambda side: Bad(side, 0.8, 0.0, 12, 0.0),
    9: lambda side: Bad(side, 0.6, 3.0, 0, 0.0),
}
