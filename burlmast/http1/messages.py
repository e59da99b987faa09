"""Heads as bytes, reason phrases, and lines cut out of a body.

Header names are lower-case bytes everywhere in this package; values are bytes without surrounding blanks.
"""

from __future__ import annotations

from collections.abc import Iterable
from http import HTTPStatus

Headers = Iterable[tuple[bytes, bytes]]

CRLF = b"\r\n"
LAST_CHUNK = b"0\r\n\r\n"
STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode("ascii") for status in HTTPStatus
}
BODILESS = frozenset((204, 304))


class Malformed(Exception):
    """The peer sent something that this side must not guess about."""


def encode_headers(headers: Headers) -> bytes:
    """The header section without its empty line. Raises ValueError for a value that would end a line
    early."""
    parts = [b"%b: %b\r\n" % one for one in headers]
    joined = b"".join(parts)
    if joined.count(b"\n") != len(parts) or joined.count(b"\r") != len(parts) or b"\x00" in joined:
        raise ValueError("a header holds a line break")
    return joined


def encode_chunk(data: bytes) -> bytes:
    """One chunk of a chunked body; data must not be empty, for an empty chunk would end the body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class Lines:
    """Cuts a byte stream into lines that end with LF; a line longer than `limit` bytes is malformed."""

    def __init__(self, limit: int = 64 * 1024) -> None:
        self.limit = limit
        self._rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that are whole now, without their ends. Raises Malformed past the limit."""
        if not self._rest and data.endswith(b"\n") and data.count(b"\n") == 1:
            found = [data[:-1]]
        else:
            *found, self._rest = (self._rest + data).split(b"\n")
        if len(self._rest) > self.limit or any(len(line) > self.limit for line in found):
            raise Malformed(f"a line is longer than {self.limit} bytes")
        return found

    @property
    def unfinished(self) -> bool:
        """Whether bytes of a line without its end are held."""
        return bool(self._rest)


def split_address(address: str) -> tuple[str, int]:
    """Name and port of `name:port`, with or without `http://` before it. Raises ValueError."""
    name, _, port = address.removeprefix("http://").rstrip("/").rpartition(":")
    return name.strip("[]"), int(port)
