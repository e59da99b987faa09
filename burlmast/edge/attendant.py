"""What the programs of both fronts do for their driver: the time, its alarms, and what is heard of hosts."""

from __future__ import annotations

import asyncio
import time

from burlmast import api
from burlmast.api import Ending, News
from burlmast.edge.clock import Clock
from burlmast.edge.driver import Driver
from burlmast.edge.playback import Attempt


class Attendant:
    """Hands a driver what is heard with the time put in, and rings its alarms; made on a running loop."""

    driver: Driver

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.clock = Clock(time.time_ns(), time.monotonic_ns())
        self._armed: asyncio.TimerHandle | None = None
        self._armed_for = 0

    def now(self) -> int:
        """The one clock."""
        return self.clock.now(time.monotonic_ns())

    def arm(self) -> None:
        """See that the driver's next alarm is rung."""
        due = self.driver.next_due
        if due is None or (self._armed is not None and self._armed_for <= due):
            return
        if self._armed is not None:
            self._armed.cancel()
        self._armed_for = due
        self._armed = self.loop.call_later(max(0.0, (due - self.now()) / 1e9), self._ring)

    def disarm(self) -> None:
        """Ring nothing any more."""
        if self._armed is not None:
            self._armed.cancel()

    def _ring(self) -> None:
        self._armed = None
        self.driver.ring(self.now())
        self.arm()

    def timed(self, rows: tuple[api.HostRow, ...]) -> tuple[api.HostRow, ...]:
        """Rows with their start times on the one clock; what is not known stays 0, older than everything."""
        wall, monotonic = time.time_ns(), time.monotonic_ns()
        return tuple(
            row._replace(started=self.clock.start_of(row.host, row.started, wall, monotonic))
            if row.started
            else row
            for row in rows
        )

    # The hosts' ear.

    def flowing(self, one: Attempt) -> None:
        """See `Driver.flowing`."""
        self.driver.flowing(self.now(), one)
        self.arm()

    def ended(self, one: Attempt, ending: Ending, load: api.Load) -> None:
        """See `Driver.ended`."""
        self.driver.ended(self.now(), one, ending, load)
        self.arm()

    def may_write(self, one: Attempt) -> bool:
        """See `Driver.may_write`."""
        return self.driver.may_write(self.now(), one)

    def unsent(self, one: Attempt) -> None:
        """See `Driver.unsent`."""
        self.driver.unsent(self.now(), one)
        self.arm()

    def noted(self, one: Attempt, news: News, value: float) -> None:
        """See `Driver.noted`."""
        self.driver.noted(self.now(), one, news, value)
        self.arm()

    def probed(self, host: int, ending: Ending, took: int, load: api.Load) -> None:
        """See `Driver.probed`."""
        self.driver.probed(self.now(), host, ending, took, load)
        self.arm()
