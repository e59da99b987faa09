"""Shards, the slices that they fall into, and digests that tell whether two hold the same. Free of I/O."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from hashlib import sha256
from math import gcd

import msgspec

Key = tuple[str, int]  # title and part
WHOLE = 1 << 128  # digests are sums below it: free of order, and a difference changes them by itself
NAME_LIMIT = 200
PARTS_LIMIT = 1 << 16


class Shard(msgspec.Struct, frozen=True, array_like=True):
    """The part of a title's audience that is placed as one: part `part` of `parts`, held by `copies` cells in
    a row from `home` on."""

    title: str
    part: int
    parts: int
    home: int
    copies: int

    @property
    def key(self) -> Key:
        """What it is known by."""
        return self.title, self.part


def fault(shard: Shard, cells: int) -> str:
    """Why a row cannot stand in the catalogue, in one line; empty where it can."""
    if not 0 < len(shard.title) <= NAME_LIMIT:
        return f"a title is 1 to {NAME_LIMIT} characters"
    if not 1 <= shard.parts <= PARTS_LIMIT or not 0 <= shard.part < shard.parts:
        return f"{shard.title}: part {shard.part} of {shard.parts} is none; parts are 1 to {PARTS_LIMIT}"
    if not 0 <= shard.home < cells:
        return f"{shard.title}: home must be a cell, 0 to {cells - 1}"
    if not 1 <= shard.copies <= cells:
        return f"{shard.title}: copies must be 1 to {cells}"
    return ""


def slice_of(key: Key, slices: int) -> int:
    """The slice that a shard falls into, the same for all who ask."""
    return zlib.crc32(f"{key[0]}\n{key[1]}".encode("utf-8", "surrogatepass")) % slices


def number_of(title: str) -> int:
    """A title's number for the decisions; never 0, which is no title."""
    return int.from_bytes(sha256(title.encode("utf-8", "surrogatepass")).digest()[:7], "big") | 1 << 56


def weight(shard: Shard) -> int:
    """What a row adds to the digests of its slice and of the whole."""
    return int.from_bytes(sha256(msgspec.json.encode(shard)).digest()[:16], "big")


def digest(shards: Iterable[Shard]) -> int:
    """Of all rows of a slice, or of the catalogue."""
    return sum(weight(one) for one in shards) % WHOLE


def told(total: int) -> str:
    """A digest as it is said."""
    return f"{total:032x}"


def holders(place: int, slices: int, gateways: int, zones: int, copies: int) -> tuple[int, ...]:
    """The gateways whose part a slice is of, by their numbers alone: nobody moves when one is out. They lie
    in as many zones as can be, where a gateway's zone is its number modulo `zones`."""
    copies = min(copies, gateways)
    step = max(1, gateways // copies)
    while step > 1 and gcd(step, zones) != 1:
        step -= 1
    first = place % gateways if slices >= gateways else place * gateways // slices
    return tuple(sorted({(first + n * step) % gateways for n in range(copies)}))


def part_of(gateway: int, slices: int, gateways: int, zones: int, copies: int) -> tuple[int, ...]:
    """The slices of a gateway's own part."""
    return tuple(n for n in range(slices) if gateway in holders(n, slices, gateways, zones, copies))
