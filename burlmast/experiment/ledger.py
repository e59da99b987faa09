"""Finished cells on disk: a file that only grows, from which a run that was killed at any moment goes on.

A frame is a mark, the length and CRC-32 of what follows, and that: MessagePack compressed by zstandard. It is
on the disk before its cell counts as done. A frame that was cut short or damaged is left out and its cell is
played again; sound frames behind it are found by their marks.
"""

from __future__ import annotations

import fcntl
import os
import struct
import zlib
from pathlib import Path
from typing import NamedTuple

import msgspec
import zstandard

MARK = b"\x89BLX\r\n\x1a\n"
HEAD = struct.Struct("<8sII")
LONGEST = 1 << 28


class InUse(Exception):
    """Another run writes to this ledger."""


class Entry(msgspec.Struct, array_like=True):
    """A finished cell: its key, and its result as MessagePack."""

    key: str
    result: bytes


class Found(NamedTuple):
    """What a file holds."""

    entries: list[Entry]
    sound_to: int  # where the last sound frame ends
    skipped: int  # bytes that belong to no sound frame


def frame(entry: Entry) -> bytes:
    """An entry as it stands in the file."""
    body = zstandard.compress(msgspec.msgpack.encode(entry))
    return HEAD.pack(MARK, len(body), zlib.crc32(body)) + body


def scan(data: bytes) -> Found:
    """All sound frames, wherever damage lies between them."""
    entries: list[Entry] = []
    at = sound_to = sound = 0
    while (at := data.find(MARK, at)) >= 0:
        entry, end = _frame_at(data, at)
        if entry is None:
            at += 1
            continue
        entries.append(entry)
        sound += end - at
        at = sound_to = end
    return Found(entries, sound_to, len(data) - sound)


def _frame_at(data: bytes, at: int) -> tuple[Entry | None, int]:
    if len(data) - at < HEAD.size:
        return None, at
    _, length, crc = HEAD.unpack_from(data, at)
    end = at + HEAD.size + length
    body = data[at + HEAD.size : end]
    if length > LONGEST or end > len(data) or zlib.crc32(body) != crc:
        return None, at
    try:
        return msgspec.msgpack.decode(zstandard.decompress(body), type=Entry), end
    except (zstandard.ZstdError, msgspec.MsgspecError):
        return None, at


class Ledger:
    """The open file of one run. Raises InUse, OSError."""

    def __init__(self, file: Path) -> None:
        """What had been written stays, but for a tail that was cut short."""
        file.parent.mkdir(parents=True, exist_ok=True)
        self._file = os.open(file, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        try:
            fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._file)
            raise InUse(f"{file}: another run writes to it") from None
        found = scan(file.read_bytes())
        self.skipped = found.skipped
        self.results = {entry.key: entry.result for entry in found.entries}
        # Danger: behind half a frame a new one would be read as a part of it.
        os.ftruncate(self._file, found.sound_to)
        os.lseek(self._file, 0, os.SEEK_END)
        os.fsync(self._file)
        folder = os.open(file.parent, os.O_RDONLY)
        os.fsync(folder)
        os.close(folder)

    def add(self, key: str, result: bytes) -> None:
        """Write a finished cell; it is on the disk on return. Raises OSError, and then it does not count."""
        data, start = frame(Entry(key, result)), os.lseek(self._file, 0, os.SEEK_CUR)
        try:
            while data:
                data = data[os.write(self._file, data) :]
            os.fsync(self._file)
        except OSError:
            os.ftruncate(self._file, start)
            os.lseek(self._file, start, os.SEEK_SET)
            raise
        self.results[key] = result

    def close(self) -> None:
        """Let another run have it."""
        os.close(self._file)
