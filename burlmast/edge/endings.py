"""How what is seen of a setup try on the wire becomes the one ending that the decisions hear. Free of I/O.

Only what proves that nothing ran may be one of `FULL`, `NO_CONNECTION` or `MOOT`: a plan that must not be
set up twice is tried again on their word.
"""

from __future__ import annotations

import msgspec
from http_sfv.dictionary import Dictionary

from burlmast import api
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
REFUSALS = frozenset((429, 503))
LOAD_HEADER = b"cmsd-dynamic"
LOAD_KEYS = ("burlmast-streams", "burlmast-link", "burlmast-uplink")


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


def read_load(headers: list[tuple[bytes, bytes]]) -> api.Load:
    """The load that a host's answer carries; what is missing or malformed is left out."""
    raw = b", ".join(value for name, value in headers if name == LOAD_HEADER)
    if not raw:
        return api.Load()
    found = Dictionary()
    try:
        found.parse(raw)
    except ValueError:
        return api.Load()
    figures = []
    for key in LOAD_KEYS:
        value = getattr(found[key], "value", None) if key in found else None
        usable = not isinstance(value, bool | str | bytes) and value is not None
        try:
            figures.append(float(value) if usable else None)  # type: ignore[arg-type]
        except (TypeError, ValueError):
            figures.append(None)
    return api.Load(*figures)


def write_load(load: api.Load) -> bytes:
    """The header's value for a load."""
    parts = []
    for key, value in zip(LOAD_KEYS, load, strict=True):
        if value is not None:
            parts.append(f"{key}={value:.3f}" if value % 1 else f"{key}={int(value)}")
    return ", ".join(parts).encode("ascii")
