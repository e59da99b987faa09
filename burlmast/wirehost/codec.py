"""Frames and records of the wire, to and from the types of `burlmast.api`."""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from burlmast import api

MS = 1_000_000
ENDINGS = {
    200: api.Ending.SERVED,
    502: api.Ending.ERROR,
    429: api.Ending.FULL,
    408: api.Ending.TIMEOUT,
    521: api.Ending.NO_CONNECTION,
    520: api.Ending.BROKEN,
    444: api.Ending.CALLED_OFF,
    409: api.Ending.MOOT,
}
SCOPES = (api.Scope.CHANGES, api.Scope.COMPLETE, api.Scope.CACHED, api.Scope.FAILED)
STANDINGS = (api.Standing.READY, api.Standing.DRAINING, api.Standing.GONE)
NEWS = {1: api.News.SHARE, 2: api.News.RUNG, 3: api.News.LINK, 4: api.News.UPLINK}

BATCH = struct.Struct("<IIId")
REPLY = struct.Struct("<III")
ROW = struct.Struct("<IBHHBfd")


class Malformed(Exception):
    """The frame does not follow the wire."""


class Attach(NamedTuple):
    """A gateway starts."""

    seed: int
    settings: bytes


class Shutdown(NamedTuple):
    """A gateway was killed."""


class Pool(NamedTuple):
    """A numbered list for events that follow."""

    number: int
    rows: tuple[api.HostRow, ...]


class Members(NamedTuple):
    """A list event that refers to a pool."""

    scope: api.Scope
    number: int


class RawEnded(NamedTuple):
    """`DONE`, its load still in the order of the settings."""

    event: api.Ended
    load: tuple[float, ...]


class RawProbed(NamedTuple):
    """`HEALTH`, its load still in the order of the settings."""

    event: api.Probed
    load: tuple[float, ...]


def nanoseconds(ms: float) -> int:
    """Milliseconds of the wire as whole nanoseconds; what is no number counts as none."""
    return round(ms * MS) if -1e15 < ms < 1e15 else 0


class Reader:
    """Takes fields off the body of one frame."""

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.at = 0

    def take(self, form: struct.Struct) -> tuple[Any, ...]:
        """The next fixed fields."""
        if self.at + form.size > len(self.body):
            raise Malformed(f"record cut short at byte {self.at} of a frame")
        found = form.unpack_from(self.body, self.at)
        self.at += form.size
        return found

    def many(self, count: int) -> bytes:
        """The next `count` bytes."""
        if self.at + count > len(self.body):
            raise Malformed(f"content of {count} bytes cut short at byte {self.at} of a frame")
        found = self.body[self.at : self.at + count]
        self.at += count
        return found


def known(table: Any, code: int, what: str) -> Any:
    """The meaning of a code, or a plain complaint."""
    try:
        return table[code]
    except (KeyError, IndexError):
        raise Malformed(f"unknown {what} {code}") from None


def whole(value: float) -> int:
    """A whole number that the wire carries as a float; what is no number counts as 0."""
    return int(value) if -1e9 < value < 1e9 else 0


HEAD = struct.Struct("<H")
ATTACH = struct.Struct("<QI")
POOL = struct.Struct("<BI")
MEMBERS = struct.Struct("<BQB")
ACCEPT = struct.Struct("<IIHfffBdQQd")
HANDOVER = struct.Struct("<IQQfdfBIHdIf")
FLOWING = struct.Struct("<IBId")
CHANGE = struct.Struct("<IBfIB")
DONE = struct.Struct("<IBIHdBB")
GONE = struct.Struct("<I")
RING = struct.Struct("<Q")
HEALTH = struct.Struct("<HIdB")
PEER = struct.Struct("<HH")


def rows(reader: Reader) -> Pool:
    """One `POOL`: a list that belongs to the process, not to a gateway."""
    number, count = reader.take(POOL)
    found = []
    for _ in range(int(count)):
        host, zone, kind, cell, life, weight, started = reader.take(ROW)
        standing = known(STANDINGS, life, "lifecycle")
        found.append(api.HostRow(host, zone, kind, cell, standing, weight, nanoseconds(started)))
    return Pool(number, tuple(found))


def load(reader: Reader, count: int) -> tuple[float, ...]:
    """The values of a load report."""
    return struct.unpack(f"<{count}f", reader.many(4 * count))


def attach(reader: Reader) -> Attach:
    """`ATTACH`."""
    seed, size = reader.take(ATTACH)
    return Attach(seed, reader.many(size))


def members(reader: Reader) -> Members:
    """`MEMBERS`."""
    scope, _stamp, number = reader.take(MEMBERS)
    return Members(known(SCOPES, scope, "scope"), number)


def request(reader: Reader) -> api.Arrived:
    """`ACCEPT`."""
    op, _org, plan, top, home, copies, bits, guess, show, subject, patience = reader.take(ACCEPT)
    lasts = nanoseconds(guess) if bits & 1 else 0
    return api.Arrived(
        api.Request(
            op, plan, top, whole(home), whole(copies), show, subject, nanoseconds(patience),
            bool(bits & 8), bool(bits & 16), lasts,
        )
    )  # fmt: skip


def handover(reader: Reader) -> api.HandedOver:
    """`HANDOVER`."""
    op, show, subject, home, patience, top, bits, _org, plan, guess, host, copies = reader.take(HANDOVER)
    lasts = nanoseconds(guess) if bits & 1 else 0
    return api.HandedOver(
        api.Request(
            op, plan, top, whole(home), whole(copies), show, subject, nanoseconds(patience),
            bool(bits & 8), bool(bits & 16), lasts,
        ),
        host,
    )  # fmt: skip


def flowing(reader: Reader) -> api.Flowing:
    """`FLOWING`."""
    op, attempt, host, took = reader.take(FLOWING)
    return api.Flowing(op, attempt, host, nanoseconds(took))


def change(reader: Reader) -> api.Note:
    """`CHANGE`."""
    op, attempt, value, host, kind = reader.take(CHANGE)
    return api.Note(op, attempt, host, known(NEWS, kind, "kind of note"), value)


def done(reader: Reader) -> RawEnded:
    """`DONE`."""
    op, attempt, host, reason, took, final, count = reader.take(DONE)
    values = load(reader, count)
    ending = known(ENDINGS, reason, "outcome")
    event = api.Ended(op, attempt, host, ending, nanoseconds(took), bool(final), api.Load())
    return RawEnded(event, values)


def left(reader: Reader) -> api.ViewerLeft:
    """`CANCELLED_BY_CLIENT`."""
    return api.ViewerLeft(*reader.take(GONE))


def ring(reader: Reader) -> api.Bell:
    """`RING`."""
    return api.Bell(*reader.take(RING))


def health(reader: Reader) -> RawProbed:
    """`HEALTH`."""
    reason, host, took, count = reader.take(HEALTH)
    values = load(reader, count)
    event = api.Probed(host, known(ENDINGS, reason, "outcome"), nanoseconds(took), api.Load())
    return RawProbed(event, values)


def peer(reader: Reader) -> api.FromPeer:
    """`PEER`."""
    sender, size = reader.take(PEER)
    return api.FromPeer(sender, reader.many(size))


READERS: dict[int, Callable[[Reader], Any]] = {
    1: attach,
    2: members,
    3: request,
    4: flowing,
    5: done,
    6: left,
    7: ring,
    8: health,
    9: peer,
    10: lambda reader: Shutdown(),
    11: handover,
    12: change,
}


def records(body: bytes, count: int) -> Iterator[tuple[int, Any]]:
    """The records of a frame: the gateway they concern (-1: all) and what happened."""
    reader = Reader(body)
    for _ in range(count):
        code = reader.many(1)[0]
        if code == 13:
            yield -1, rows(reader)
            continue
        (gateway,) = reader.take(HEAD)
        yield gateway, known(READERS, code, "record code")(reader)
    if reader.at != len(body):
        raise Malformed(f"{len(body) - reader.at} bytes left over behind the records of a frame")


def text(words: str) -> bytes:
    """A counted text."""
    raw = words.encode()[:65535]
    return struct.pack("<H", len(raw)) + raw


WRITERS: dict[type, tuple[int, Callable[[Any], bytes]]] = {
    api.SetUp: (1, lambda a: struct.pack("<IId", a.pb, a.host, a.allow / MS)),
    api.Reject: (2, lambda a: struct.pack("<Id", a.pb, a.wait / MS)),
    api.Abort: (3, lambda a: struct.pack("<I", a.pb)),
    api.CallOff: (4, lambda a: struct.pack("<IB", a.pb, a.attempt)),
    api.SetAlarm: (5, lambda a: struct.pack("<dQ", a.after / MS, a.token)),
    api.Probe: (6, lambda a: struct.pack("<I", a.host)),
    api.Remark: (9, lambda a: text(a.text)),
    api.KeepInformed: (11, lambda a: b"\x01"),
    api.SetRung: (13, lambda a: struct.pack("<IB", a.pb, a.rung)),
    api.Move: (14, lambda a: struct.pack("<I", a.pb)),
}


def record(gateway: int, action: api.Action) -> bytes:
    """One action as the wire has it."""
    code, fields = WRITERS[type(action)]
    return struct.pack("<BH", code, gateway) + fields(action)


def bug(gateway: int, words: str) -> bytes:
    """The word that the decisions have failed."""
    return struct.pack("<BH", 10, gateway) + text(words)
