"""What a scenario's parts have in common."""

from __future__ import annotations

import msgspec


class Sheet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A part of a scenario; a key that is not known is an error."""
