"""Faults planted in a gateway of a fleet, so that the audit can be seen to name them. For trials alone."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

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


PLANTS: dict[int, Callable[[FleetSide], None]] = {
    1: says_what_it_does_not_do,
    2: uses_its_life_again,
    3: drops_ranges,
    4: ignores_its_lease,
}
