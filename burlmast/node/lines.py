"""JSON lines between viewers and a gateway: bytes to messages and back. Free of I/O."""

from __future__ import annotations

from typing import Any

import msgspec

from burlmast.node.message_size import MESSAGE_BYTES_MAX, within_limit

REFUSED, FAILED, ENDED, CUT, NONSENSE = 34, 41, 16, 41, 100  # causes of releases; 34 says: ask again freely


class Unreadable(Exception):
    """The bytes follow no message; the connection is of no further use."""


class Line(msgspec.Struct):
    """One message of a viewer."""

    type: str
    id: str = ""
    fields: dict[str, str | int | float] = {}
    cause: int | None = None
    sdp: str | None = None


LINE: msgspec.json.Decoder[Line] = msgspec.json.Decoder(Line)
ENCODER = msgspec.json.Encoder()


class LineReader:
    """Takes bytes in any split; gives whole messages."""

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        self._rest = b""

    @property
    def partial(self) -> bool:
        """Whether a message has begun and not ended."""
        return bool(self._rest)

    def feed(self, data: bytes) -> tuple[list[Line], Unreadable | None]:
        """The messages that are whole now, and what made the next unreadable."""
        *whole, self._rest = (self._rest + data).split(b"\n")
        found: list[Line] = []
        for raw in whole:
            try:
                if len(raw) >= MESSAGE_BYTES_MAX:
                    raise Unreadable(f"a line of {len(raw)} bytes")
                if raw.strip():
                    found.append(LINE.decode(raw))
            except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as why:
                return found, Unreadable(f"not a message: {why}")
            except Unreadable as why:
                return found, why
        if len(self._rest) >= MESSAGE_BYTES_MAX:
            return found, Unreadable(f"a line of over {MESSAGE_BYTES_MAX} bytes")
        return found, None


def _line(kind: str, name: str, **more: Any) -> bytes:
    return within_limit(ENCODER.encode({"type": kind, "id": name, "fields": {}, **more}) + b"\n")


def answer(name: str, description: str) -> bytes:
    """It plays. Raises MessageTooLong where the description takes too many bytes as JSON."""
    return _line("answer", name, sdp=description)


def release(name: str, cause: int) -> bytes:
    """It does not, or no longer."""
    return _line("release", name, cause=cause)


def pong(name: str, passed: bool) -> bytes:
    """The answer to a test. Raises MessageTooLong."""
    return _line("pong", name, cause=int(passed))


def move(name: str) -> bytes:
    """It has ended here, and its viewer is to ask again."""
    return _line("move", name)
