"""How what is seen of a setup try on the wire becomes the one ending that the decisions hear. Free of I/O.

Only what proves that nothing ran may be one of `FULL`, `NO_CONNECTION` or `MOOT`: a plan that must not be
set up twice is tried again on their word.
"""

from __future__ import annotations

import msgspec

from burlmast.api import Ending

# What was seen, and whether the other side has said by then that the set-up never ran.
ENDINGS: dict[tuple[str, bool], Ending] = {
    ("not sent", True): Ending.MOOT,
    ("no connection", True): Ending.NO_CONNECTION,
    ("refused", True): Ending.FULL,
    ("refused", False): Ending.ERROR,
    ("answered otherwise", True): Ending.ERROR,
    ("answered otherwise", False): Ending.ERROR,
    ("broken", False): Ending.BROKEN,
    ("not understood", False): Ending.BROKEN,
    ("too late", False): Ending.TIMEOUT,
    ("called off", False): Ending.CALLED_OFF,
    ("over", False): Ending.SERVED,
}
# The same for a binary message to a host: what came of an open set-up, by type of message and cause.
BINARY_ENDINGS: dict[tuple[str, int | None], Ending] = {
    ("not sent", None): Ending.MOOT,  # not one byte of it was written
    ("no connection", None): Ending.NO_CONNECTION,
    ("release", 34): Ending.FULL,
    ("release", 47): Ending.ERROR,
    ("release", 102): Ending.MOOT,
    ("release", 41): Ending.BROKEN,
    ("release", None): Ending.BROKEN,  # any other cause before the answer
    ("connection lost", None): Ending.BROKEN,
    ("not understood", None): Ending.BROKEN,
}
# What came of a playback that played.
BINARY_ENDS: dict[int | None, Ending] = {
    16: Ending.SERVED,
    31: Ending.CALLED_OFF,
    41: Ending.BROKEN,
    None: Ending.BROKEN,
}
REFUSALS = frozenset((429, 503))


class Refusal(msgspec.Struct):
    """The body of a host's 429 or 503."""

    ran: bool = True
    why: str = ""


def of_answer(status: int, body: bytes) -> Ending:
    """The ending of a try that was answered with something else than a stream."""
    if status not in REFUSALS:
        return ENDINGS["answered otherwise", False]
    try:
        refusal: Refusal = msgspec.json.decode(body, type=Refusal)
        ran = refusal.ran
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
        ran = True
    return ENDINGS["refused", not ran]
