"""What of the settings can change in a running gateway, and what takes a restart."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from burlmast.settings.sheets import Deployment

# By key, longest first that fits: whether a running gateway takes it, and why not.
TABLE: dict[str, str] = {
    "name": "",
    "zones": "a gateway's zone is one of them",
    "gateways": "the number is every gateway's share",
    "ladder": "what plays is listed by its rungs",
    "ladder.earns": "",
    "plans": "",
    "fleet": "",
    "fleet.cells": "holders are found by it",
    "allowed": "",
    "allowed.must_ask": "the list is followed by it",
    "rules": "",
    "titles": "",
    "beat_ms": "",
    "edge": "sockets, files and limits are made by it at the start",
    "edge.fleet": "",
    "edge.fleet.beat_ms": "desks are spoken to by it",
    "edge.fleet.probe_ms": "others are probed by it",
    "edge.fleet.probes": "others are probed by it",
    "edge.fleet.drift": "leases are reckoned by it",
    "edge.fleet.out.alone_ms": "what is out comes back by it",
    "edge.fleet.ledger_ms": "the ledger is written by it",
    "stand_ins": "",  # of no meaning to a gateway
}


def needs_restart(old: Deployment, new: Deployment) -> str:
    """Why a running gateway cannot take the new settings, in one line; empty where it can."""
    for key in _changes("", old, new):
        parts = key.split(".")
        fitting = next(".".join(parts[:n]) for n in range(len(parts), 0, -1) if ".".join(parts[:n]) in TABLE)
        if TABLE[fitting]:
            return f"{key} takes a restart: {TABLE[fitting]}"
    for key in ("plans", "titles"):
        names = [[one.name for one in getattr(sheet, key)] for sheet in (old, new)]
        if names[0] != names[1]:
            return f"{key} takes a restart: what plays is known by their places"
    return ""


def _changes(key: str, old: object, new: object) -> Iterator[str]:
    if isinstance(old, msgspec.Struct) and isinstance(new, msgspec.Struct):
        for field in old.__struct_fields__:
            inner = f"{key}.{field}" if key else field
            yield from _changes(inner, getattr(old, field), getattr(new, field))
    elif old != new:
        yield key
