"""The list of hosts as one sealed piece of bytes, and what each state of such bytes is worth. Free of I/O.

A snapshot is a mark, a version, the length and CRC-32 of what follows, and that: MessagePack compressed by
zstandard. Two generations are kept; `choose` says which one a starting gateway takes, and why not the other.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Sequence
from typing import NamedTuple

import msgspec
import zstandard

from burlmast.api import HostRow, Standing

MARK = b"\x89BLH\r\n\x1a\n"
VERSION = 1
HEAD = struct.Struct("<8sHII")
LONGEST = 1 << 26  # bytes, compressed or not


class Page(msgspec.Struct, array_like=True):
    """What is known of one host; `started` in nanoseconds of the wall clock, 0 where it is not known."""

    host: int
    zone: int
    kind: int
    cell: int
    standing: str
    weight: float
    started: int
    address: str


class Book(msgspec.Struct, array_like=True):
    """All hosts, and when that was true by the wall clock of the gateway that wrote it, nanoseconds."""

    at: int
    pages: list[Page]


class Found(NamedTuple):
    """A generation as it was read: its book, or the outcome that it has instead."""

    book: Book | None
    outcome: str  # sound, absent, unreadable, no snapshot, later version, cut short, damaged


def seal(book: Book) -> bytes:
    """A book as it stands on disk."""
    body = zstandard.compress(msgspec.msgpack.encode(book))
    return HEAD.pack(MARK, VERSION, len(body), zlib.crc32(body)) + body


def unseal(data: bytes) -> Found:
    """What such bytes are worth."""
    if len(data) < HEAD.size or not data.startswith(MARK):
        return Found(None, "no snapshot" if data else "cut short")
    _, version, length, crc = HEAD.unpack_from(data)
    body = data[HEAD.size :]
    if version != VERSION:
        return Found(None, "later version" if version > VERSION else "damaged")
    if len(body) < length:
        return Found(None, "cut short")
    if len(body) > length or zlib.crc32(body) != crc:
        return Found(None, "damaged")
    try:
        plain = zstandard.ZstdDecompressor().decompress(body, max_output_size=LONGEST)
        book: Book = msgspec.msgpack.decode(plain, type=Book)
        rows(book)
    except (zstandard.ZstdError, msgspec.MsgspecError, ValueError):
        return Found(None, "damaged")
    return Found(book, "sound")


def rows(book: Book) -> list[HostRow]:
    """Its hosts as the decisions hear of them. Raises ValueError for one that cannot be."""
    return [
        HostRow(
            page.host, page.zone, page.kind, page.cell, Standing(page.standing), page.weight, page.started
        )
        for page in book.pages
    ]


class Start(NamedTuple):
    """What a gateway starts from: a book or none, how old it is, and a line that says why."""

    book: Book | None
    age: int  # nanoseconds, never negative
    line: str


def choose(generations: Sequence[Found], wall: int, oldest: int) -> Start:
    """The latest sound generation that is not older than `oldest` nanoseconds, by this wall clock.

    One from a clock ahead of ours is as old as nothing: it is taken, since a list that is heard soon replaces
    it, and its hosts count as cold like all that a starting gateway knows.
    """
    told = ", ".join(f"{name}: {one.outcome}" for name, one in zip(("new", "old"), generations, strict=False))
    sound = [one.book for one in generations if one.book is not None]
    if not sound:
        return Start(None, 0, f"nothing to start from ({told})")
    book = max(sound, key=lambda one: one.at)
    age = max(0, wall - book.at)
    seconds = age // 1_000_000_000
    if age > oldest:
        return Start(None, age, f"the hosts on disk are {seconds} s old, too old to start from ({told})")
    ahead = " from a clock ahead of ours" if book.at > wall else ""
    return Start(book, age, f"starts from {len(book.pages)} hosts on disk, {seconds} s old{ahead} ({told})")
