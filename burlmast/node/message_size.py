"""The size limit of one message, which every encoder of lines and frames applies. Free of I/O.

A text has encodings of different lengths: a line end of a description takes two bytes in a binary message
and four in a JSON line, a control character one and six. What fits on its way in may not on its way out.
"""

from __future__ import annotations

MESSAGE_BYTES_MAX = 16 * 1024  # all bytes of one message (PROTOCOL, "Messages")


class MessageTooLong(ValueError):
    """An encoded message has more bytes than the protocol allows."""

    def __init__(self, size: int) -> None:
        """`size` is that of the encoded message, in bytes."""
        super().__init__(f"a message of {size} bytes, at most {MESSAGE_BYTES_MAX} are allowed")
        self.size = size


def within_limit(message: bytes) -> bytes:
    """The encoded message, unchanged. Raises MessageTooLong."""
    if len(message) > MESSAGE_BYTES_MAX:
        raise MessageTooLong(len(message))
    return message
