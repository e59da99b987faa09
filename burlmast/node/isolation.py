"""Keeps a failure at one item of a recurring callback from ending the work for the others."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TypeVar

from burlmast.node.eventlog import EventLog

Item = TypeVar("Item")


def for_each(
    callback: str,
    items: Iterable[Item],
    work: Callable[[Item], None],
    name: Callable[[Item], str],
    events: EventLog,
) -> None:
    """Do `work` on each item; an exception is recorded with the names of callback and item."""
    for item in items:
        try:
            work(item)
        except Exception as error:
            events.record(
                "callback_failed", callback=callback, at=name(item), error=f"{type(error).__name__}: {error}"
            )
