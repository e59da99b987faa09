"""The platform's configuration file, read and checked. Free of I/O but for reading that one file."""

from __future__ import annotations

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

from burlmast import api
from burlmast.node.descriptors import Parts, allowed, parts
from burlmast.node.names import Entry, Unsound, read_event, split
from burlmast.node.session_limit import session_limit
from burlmast.wirehost import settings

MS = 1_000_000
MEMORY_MB = 64.0  # where the file tells no limit of memory


class BadConfiguration(Exception):
    """The variables or the file cannot be used; the text says where."""


class Configuration(NamedTuple):
    """All that the platform tells a gateway. Times in nanoseconds."""

    name: str
    listen: tuple[str, int]
    resolver: tuple[str, int]
    seed: int
    parts: Parts
    sessions: int  # that may be held at a time
    serial: int
    events: list[list[Entry]]
    terms: api.Terms
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    plans: dict[str, int]
    abandon_times: tuple[int, ...]
    report: dict[str, str]
    connect: int
    idle: int  # after so long without a word a host closes a connection; 0: it does not
    streams: int


def read(path: Path) -> Configuration:
    """What a file tells. Raises BadConfiguration."""
    try:
        return _read(json.loads(path.read_bytes()))
    except OSError as why:
        raise BadConfiguration(f"{path}: {why.strerror}") from None
    except (settings.BadSetting, Unsound) as why:
        raise BadConfiguration(f"{path}: {why}") from None
    except KeyError as why:
        raise BadConfiguration(f"{path}: {why} is missing") from None
    except (TypeError, ValueError, AttributeError, IndexError) as why:
        raise BadConfiguration(f"{path}: {type(why).__name__}: {why}") from None


def _read(data: Any) -> Configuration:
    told = data["settings"]
    terms, fields = settings.read(json.dumps(told).encode())
    limits, listed, known = told["allowed"], told["requestClasses"], data["known"]
    names = told["report"].get("fields", ())
    return Configuration(
        name=str(data["name"]),
        listen=split(data["listen"], 0),
        resolver=split(data["resolver"]),
        seed=int(str(data["seed"]), 16),
        parts=parts(allowed(int(data["limits"]["sockets"]))),
        sessions=session_limit(float(data["limits"].get("memory_mb", MEMORY_MB))),
        serial=int(known["rev"]),
        events=[read_event(notice) for notice in known["notices"]],
        terms=terms,
        zones=tuple(told.get("areas", ())),
        kinds=tuple(told.get("kinds", ())),
        plans={plan["name"]: place for place, plan in enumerate(listed)},
        abandon_times=tuple(round(plan["hardLimitMs"] * MS) for plan in listed),
        report={name: field for name, field in zip(names, fields, strict=True) if field},
        connect=round(limits["connectTimeoutMs"] * MS),
        idle=round(limits.get("idleCloseMs", 0.0) * MS),
        streams=max(1, int(limits["streamsPerConn"])),
    )


def from_variables(variables: Mapping[str, str]) -> tuple[Path, Configuration]:
    """The configuration that the platform's variables name. Raises BadConfiguration."""
    place = variables.get("ROUTER_CONFIG")
    if not place:
        raise BadConfiguration("ROUTER_CONFIG is not set")
    found = read(Path(place))
    listen = variables.get("ROUTER_LISTEN")
    if listen:
        try:
            found = found._replace(listen=split(listen, 0))
        except Unsound as why:
            raise BadConfiguration(f"ROUTER_LISTEN: {why}") from None
    return Path(place), found._replace(name=variables.get("ROUTER_NAME") or found.name)
