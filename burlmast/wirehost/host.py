"""Hosts the gateways of one process: batches in, replies out."""

from __future__ import annotations

from typing import BinaryIO

from burlmast import api
from burlmast.logic import Gateway
from burlmast.wirehost import codec, settings


class Seat:
    """One gateway and how its hosts write their load reports."""

    def __init__(self, now: int, start: codec.Attach) -> None:
        terms, self.fields = settings.read(start.settings)
        self.gateway = Gateway(terms, start.seed, now)

    def take(self, now: int, found: object, pools: dict[int, tuple[api.HostRow, ...]]) -> list[api.Action]:
        """Hand one thing that happened to the gateway."""
        match found:
            case codec.Members(scope, number):
                event: object = api.Listed(scope, () if scope is api.Scope.FAILED else pools.get(number, ()))
            case codec.RawEnded(done, values) | codec.RawProbed(done, values):
                event = done._replace(load=settings.load(self.fields, values))
            case _:
                event = found
        return self.gateway.take(now, event)  # type: ignore[arg-type]


def answer(
    now: int,
    body: bytes,
    count: int,
    seats: dict[int, Seat],
    pools: dict[int, tuple[api.HostRow, ...]],
) -> list[bytes]:
    """The records of the reply to one batch."""
    reply: list[bytes] = []
    for place, found in list(codec.records(body, count)):
        if isinstance(found, codec.Pool):
            pools[found.number] = found.rows
            continue
        try:
            if isinstance(found, codec.Attach):
                seats[place] = Seat(now, found)
                actions = seats[place].gateway.begin(now)
            elif isinstance(found, codec.Shutdown):
                seats.pop(place, None)
                actions = []
            elif place in seats:
                actions = seats[place].take(now, found, pools)
            else:
                actions = []
            reply += [codec.record(place, action) for action in actions]
        except Exception as why:  # whatever fails in there, the operators are told and nothing else is said
            reply.append(codec.bug(place, f"{type(why).__name__}: {why}"))
    return reply


def exactly(source: BinaryIO, size: int) -> bytes:
    """So many bytes, or none at the end of input."""
    found = source.read(size)
    if found and len(found) < size:
        raise codec.Malformed(f"input ended {size - len(found)} bytes too early")
    return found


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    seats: dict[int, Seat] = {}
    pools: dict[int, tuple[api.HostRow, ...]] = {}
    while head := exactly(source, codec.BATCH.size):
        number, size, count, clock = codec.BATCH.unpack(head)
        body = exactly(source, size)
        if len(body) < size:
            raise codec.Malformed(f"input ended {size} bytes too early")
        reply = answer(codec.nanoseconds(clock), body, count, seats, pools)
        joined = b"".join(reply)
        sink.write(codec.REPLY.pack(number, len(reply), len(joined)) + joined)
        sink.flush()
