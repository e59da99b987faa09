"""Follows the list service: one long response whose lines are news of the list."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from burlmast import api
from burlmast.api import Scope
from burlmast.edge.redial import Redial
from burlmast.edge.words import LIST_LINE, NotARow, read_row
from burlmast.http1.client import Address, Call, Failure, Pool
from burlmast.http1.messages import Lines, Malformed

SCOPES = {"complete": Scope.COMPLETE, "changes": Scope.CHANGES}


class Reader(Protocol):
    """Where news of the list go."""

    def listed(self, scope: Scope, rows: tuple[api.HostRow, ...], where: dict[int, str]) -> None:
        """See `Driver.listed`."""

    def list_trouble(self, what: str) -> None:
        """Something is wrong with the list or the way to it."""


class ListSide:
    """Keeps one call to the list service open."""

    def __init__(
        self,
        pool: Pool,
        address: Address,
        number: int,
        redial: Redial,
        reader: Reader,
        asked_only: bool,
        now: Callable[[], int],
        later: Callable[[float, Callable[[], None]], Any],
    ) -> None:
        """`asked_only`: failures are told to the decisions, which ask again, in place of dialling again
        here."""
        self._pool, self._address, self._number = pool, address, number
        self._redial, self._reader, self._asked_only = redial, reader, asked_only
        self._now, self._later = now, later
        self._call: Call | None = None
        self._lines = Lines(1 << 22)
        self._timer: Any = None
        self._status = 0

    def want(self) -> None:
        """Follow the list from now on."""
        self._do(self._redial.take(self._now(), "wanted"))

    def close(self) -> None:
        """Follow it no longer."""
        if self._timer is not None:
            self._timer.cancel()
        if self._call is not None:
            self._call.cancel()

    def _do(self, effect: str) -> None:
        if effect == "hang up" and self._call is not None:
            self._call.cancel()
            self._reader.list_trouble("the list has gone silent")
            self._lost()
        elif effect == "dial":
            if self._call is not None:
                self._call.cancel()
            self._lines, self._status = Lines(1 << 22), 0
            target = f"/v1/list?gateway={self._number}".encode("ascii")
            self._call = self._pool.call(self._address, b"GET", target, self)
        self._arm()

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._later(max(0.0, (self._redial.due - self._now()) / 1e9), self._due)

    def _due(self) -> None:
        now = self._now()
        if now >= self._redial.due:
            self._do(self._redial.at(now))
        else:
            self._arm()

    def _lost(self) -> None:
        if self._asked_only:
            self._reader.listed(Scope.FAILED, (), {})

    # The call's listener.

    def answered(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        self._status = status

    def came(self, data: bytes) -> None:
        if self._status != 200:
            return
        try:
            news = [LIST_LINE.decode(line) for line in self._lines.feed(data) if line]
        except (Malformed, msgspec.MsgspecError, RecursionError) as why:
            self._reader.list_trouble(f"not understood: {why}")
            if self._call is not None:
                self._call.cancel()
            self._lost()
            self._do(self._redial.take(self._now(), "lost"))
            return
        for one in news:
            scope = SCOPES.get(one.scope)
            if scope is None:
                continue
            rows, where = [], {}
            for raw in one.rows:
                try:
                    row, address = read_row(raw)
                except NotARow as why:
                    # A row left out of a complete list counts as gone, which is the safe side.
                    self._reader.list_trouble(f"a row is left out: {why}")
                    continue
                rows.append(row)
                where[row.host] = address
            self._reader.listed(scope, tuple(rows), where)
        if self._redial.take(self._now(), "heard") == "rest" and self._timer is None:
            self._arm()

    def ended(self) -> None:
        self.failed(Failure.BROKEN, f"ended with status {self._status}")

    def failed(self, failure: Failure, why: str) -> None:
        self._reader.list_trouble(f"{failure.value}: {why}")
        self._lost()
        self._do(self._redial.take(self._now(), "lost"))
