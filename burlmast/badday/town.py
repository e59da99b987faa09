"""A whole deployment on loopback: the list, the stand-in hosts and the gateways' processes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

from burlmast.badday.desks import Quarters
from burlmast.badday.gateways import GatewayProcess
from burlmast.settings.sheets import Deployment
from burlmast.standin.listservice import ListService
from burlmast.standin.mediahost import Fleet
from burlmast.world.traffic import Record


class Town:
    """Starts and ends everything."""

    def __init__(
        self,
        deployment: Deployment,
        settings: str,
        gateways: int,
        record: Callable[[Record], None] = lambda record: None,
        options: tuple[str, ...] = (),
        logs: Path | None = None,
        noise: float = 0.0,
        quarters: Quarters | None = None,
    ) -> None:
        """`settings` is the file that each gateway reads, `options` are further words of its command line;
        with `quarters` the gateways are a fleet."""
        self.quarters = quarters
        self.deployment = deployment
        delay = deployment.stand_ins.list_delay_ms / 1000
        self.list = ListService(record, delay)
        self.fleet = Fleet(deployment, record, self.list.changed, noise)
        self._settings, self._options, self._logs, self._record = settings, options, logs, record
        self._count = gateways
        self.gateways: list[GatewayProcess] = []
        self.list_port = 0

    async def start(self) -> None:
        """Start all of it. Raises OSError or NotStarted; what had started by then is ended by `close`."""
        self.list_port = await self.list.start()
        await self.fleet.start()
        self.list.set_all(list(self.fleet.rows.values()))
        if self.quarters is not None:
            await self.quarters.start()
        for number in range(self._count):
            command = ["-m", "burlmast", "edge", "--settings", self._settings, "--number", str(number)]
            command += ["--list", f"127.0.0.1:{self.list_port}", "--operators", "127.0.0.1:0", *self._options]
            for way in await self.quarters.ways(f"gateway {number}") if self.quarters is not None else ():
                command += ["--fleet", way]
            log = str(self._logs / f"gateway-{number}.log") if self._logs else None
            self.gateways.append(GatewayProcess(number, command, self._record, log))
        await asyncio.gather(*(one.start() for one in self.gateways))

    async def close(self) -> list[int]:
        """End all of it; the gateways' exit codes."""
        codes = await asyncio.gather(*(one.stop() for one in self.gateways))
        if self.quarters is not None:
            await self.quarters.close()
        self.fleet.close()
        self.list.close()
        await asyncio.sleep(0)
        return list(codes)
