"""How a gateway of a fleet comes by its part of the catalogue: put together beside the fleet's side."""

from __future__ import annotations

import sqlite3
from collections.abc import Callable, Sequence

from burlmast.catalogue.gateway_shell import NAME, CatalogueSide
from burlmast.fleet.gateway_shell import FleetSide
from burlmast.fleet.join import Host
from burlmast.http1.client import Address, Pool
from burlmast.settings.sheets import Deployment


def attach(
    side: FleetSide, deployment: Deployment, coordinators: Sequence[Address], pool: Pool
) -> CatalogueSide | None:
    """Give a fleet's side its part of the catalogue, where the settings have one; before it starts."""
    if not deployment.edge.catalogue.on:
        return None
    try:
        kept = side.files.named(NAME) if side.files is not None else None
    except sqlite3.Error:
        kept = None  # the fleet's side tells of such a disk; its part is asked for anew
    steady, ask = side.clocks.steady, side.scribe.ask
    found = CatalogueSide(side.number, deployment, coordinators, pool, steady, ask, kept)
    side.catalogue = found
    return found


def with_catalogue(
    made: Callable[[Host], FleetSide], deployment: Deployment, coordinators: Sequence[Address]
) -> Callable[[Host], FleetSide]:
    """What makes the same side of a fleet, with its part of the catalogue."""

    def joined(program: Host) -> FleetSide:
        side = made(program)
        attach(side, deployment, coordinators, program.pool)
        return side

    return joined
