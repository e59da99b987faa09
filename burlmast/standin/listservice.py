"""A stand-in list service: pushes rows of the list to every gateway that follows it, late, stale or
failing."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import msgspec

from burlmast.http1.server import Bounds, Exchange, Server
from burlmast.world.traffic import Record, Told

Row = dict[str, object]


class ListService:
    """The list and who follows it."""

    ALIVE_S = 1.0

    def __init__(self, record: Callable[[Record], None] = lambda record: None, delay: float = 0.0) -> None:
        """`delay` seconds pass between a change and its being told."""
        self.record, self.delay = record, delay
        self.failing = False
        self.rows: dict[int, Row] = {}  # as told: a change counts once its delay is over
        self._followers: dict[Exchange, int] = {}
        self.server = Server(self.application, Bounds())
        self.loop = asyncio.get_running_loop()
        self._ticker: asyncio.TimerHandle | None = None

    async def start(self, port: int = 0) -> int:
        """Listen. Raises OSError."""
        found = await self.server.listen("127.0.0.1", port)
        self._ticker = self.loop.call_later(self.ALIVE_S, self._alive)
        return found

    def application(self, exchange: Exchange) -> None:
        """Answer a gateway, or an operator who changes rows."""
        path, _, query = exchange.target.partition(b"?")
        if path == b"/v1/rows" and exchange.method == b"POST":
            exchange.collect(1 << 20, lambda body: self._rows(exchange, body))
            return
        if path != b"/v1/list" or exchange.method != b"GET":
            exchange.refuse(404, "there is nothing here")
            return
        if self.failing:
            exchange.refuse(503, "the list cannot be had now")
            return
        number = query.removeprefix(b"gateway=")
        if not number.isdigit():
            exchange.refuse(400, "gateway must be a number")
            return
        exchange.start(200, ((b"content-type", b"application/x-ndjson"),))
        self._followers[exchange] = int(number)
        exchange.on_gone = lambda: self._gone(exchange)
        self._tell(exchange, "complete", list(self.rows.values()))

    def _rows(self, exchange: Exchange, body: bytes) -> None:
        try:
            rows: list[Row] = msgspec.json.decode(body, type=list[dict[str, object]])
            numbers = [int(str(row["host"])) for row in rows]
        except (msgspec.MsgspecError, KeyError, ValueError) as why:
            exchange.refuse(400, f"not rows: {why}")
            return
        self.changed(rows)
        exchange.json(200, {"rows": len(numbers)})

    def _gone(self, exchange: Exchange) -> None:
        self._followers.pop(exchange, None)

    def set_all(self, rows: list[Row]) -> None:
        """The list as it is when the day begins."""
        self.rows = {int(str(row["host"])): dict(row) for row in rows}

    def changed(self, rows: list[Row]) -> None:
        """These rows have changed."""
        self.loop.call_later(self.delay, self._push, [dict(row) for row in rows])

    def _push(self, changes: list[Row]) -> None:
        rows = []
        for change in changes:
            known = self.rows.get(int(str(change["host"])), {})
            # A word on a host that is gone comes too late, unless it tells of a new process there.
            if "address" in change or known.get("standing") != "gone":
                rows.append({**known, **change})
                self.rows[int(str(change["host"]))] = rows[-1]
        for exchange in list(self._followers):
            self._tell(exchange, "changes", rows)

    def _tell(self, exchange: Exchange, scope: str, rows: list[Row]) -> None:
        exchange.write(msgspec.json.encode({"scope": scope, "rows": rows}) + b"\n")
        now = time.monotonic_ns()
        for row in rows:
            host, standing = int(str(row["host"])), str(row["standing"])
            self.record(Told(now, self._followers[exchange], host, standing))

    def _alive(self) -> None:
        for exchange in list(self._followers):
            if exchange.paused:
                exchange.cut()  # a follower that does not read must come again and get the whole list
            else:
                exchange.write(b'{"scope":""}\n')
        self._ticker = self.loop.call_later(self.ALIVE_S, self._alive)

    def fail(self, failing: bool) -> None:
        """From now on every call fails, and those under way break; or it is well again."""
        self.failing = failing
        if failing:
            for exchange in list(self._followers):
                exchange.cut()

    def close(self) -> None:
        """Stop."""
        if self._ticker is not None:
            self._ticker.cancel()
        self.server.close()
