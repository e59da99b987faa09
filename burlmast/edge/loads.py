"""Load reports in a header of HTTP, as structured fields. Free of I/O."""

from __future__ import annotations

from http_sfv.dictionary import Dictionary

from burlmast import api

LOAD_HEADER = b"cmsd-dynamic"
LOAD_KEYS = ("burlmast-streams", "burlmast-link", "burlmast-uplink")


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
