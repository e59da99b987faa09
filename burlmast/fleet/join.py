"""How a gateway's process joins its fleet: what was kept is read before the gateway is made."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

import burlmast
from burlmast.fleet.clock_shell import Clocks
from burlmast.fleet.gateway_shell import Around, FleetSide, open_folder
from burlmast.fleet.stamp import digest_of_parts
from burlmast.http1.client import Address, Pool
from burlmast.settings.sheets import Deployment


class Host(Around, Protocol):
    """The gateway program."""

    pool: Pool


def build() -> str:
    """The name of the program as it lies on the disk."""
    room = Path(burlmast.__file__).parent
    files = sorted(room.rglob("*.py"))
    return digest_of_parts((str(file.relative_to(room)), file.read_bytes()) for file in files)


def joining(
    own: Deployment,
    number: int,
    state: Path,
    desks: tuple[Address, ...],
    clocks: Clocks,
    plant: int | None = None,
) -> tuple[Deployment, Callable[[Host], FleetSide]]:
    """The settings in force from the start, and what makes the gateway's part in the fleet. Raises
    FolderInUse."""
    start = open_folder(state / f"gateway-{number}", own)

    def made(program: Host) -> FleetSide:
        seed = secrets.randbits(63)
        side = FleetSide(number, start, list(desks), program.pool, program, clocks, build(), seed)
        if plant is not None:
            from burlmast.fleet.plants import PLANTS

            PLANTS[plant](side)
        return side

    return start.deployment, made
