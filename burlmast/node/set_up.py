"""A viewer's set-up: from a line to a request, with one check of form. Free of I/O."""

from __future__ import annotations

from math import isfinite
from typing import NamedTuple

from burlmast.edge.playback import Wanted
from burlmast.node.configuration import Configuration
from burlmast.node.host_interface import SetupPayload
from burlmast.node.lines import Line

MS = 1_000_000
HEX = frozenset("0123456789abcdef")


class WrongForm(Exception):
    """A set-up that nothing can be done with."""


class SessionRequest(NamedTuple):
    """A set-up of sound form: what is decided on, and what its host gets."""

    wanted: Wanted
    sent: SetupPayload


def sound_id(name: str) -> bool:
    """Whether a session may have this id."""
    return len(name) == 16 and HEX.issuperset(name)


def parse_set_up(line: Line, configuration: Configuration) -> tuple[SessionRequest, str]:
    """What a set-up asks for, and the id of the host at which it plays already, empty if nowhere.

    Raises WrongForm."""
    try:
        return _parse(line, configuration)
    except (ValueError, OverflowError) as why:
        raise WrongForm(str(why)) from None


def _parse(line: Line, configuration: Configuration) -> tuple[SessionRequest, str]:
    fields = line.fields
    name = fields.get("class")
    plan = configuration.plans.get(name) if isinstance(name, str) else None
    if plan is None or not isinstance(name, str):
        raise WrongForm("there is no such plan")
    if not line.sdp:
        raise WrongForm("it has no description")
    parts = [part.partition(":") for part in str(fields.get("extras", "")).split(";") if part]
    extras = {key: value for key, _, value in parts}
    if len(extras) != len(parts):
        raise WrongForm("a figure stands twice")
    at = extras.get("at", "")
    patience = configuration.abandon_times[plan] / MS if at else float(fields.get("left", "nan"))
    # A viewer's clock may run a little otherwise; beyond that no viewer waits longer than its plan does.
    if not (isfinite(patience) and 0 < patience * MS <= 2 * configuration.abandon_times[plan]):
        raise WrongForm(f"it leaves no such time: {fields.get('left')!r:.20}")
    key = str(fields.get("key", ""))
    if not 0 < len(key) <= 16 or not HEX.issuperset(key):
        raise WrongForm("it names no title")
    top, home, copies = (float(extras[one]) if one in extras else -1.0 for one in ("top", "home", "copies"))
    cells = configuration.terms.lineup.cells
    if not (0 <= top < 256 and 0 <= home < cells and 1 <= copies < 1e6):
        raise WrongForm("a figure is out of range")
    viewer = int(extras.get("viewer", "0") or "0", 16)
    if not 0 <= viewer < 1 << 64:
        raise WrongForm("its viewer is out of range")
    wanted = Wanted(
        plan, configuration.terms.plans[plan].floor, int(top), int(home), int(copies), int(key, 16), key,
        viewer, round(patience * MS), extras.get("again") == "1", 0,
    )  # fmt: skip
    sent = SetupPayload(int(line.id, 16), name.encode(), key.encode(), line.sdp.encode())
    return SessionRequest(wanted, sent), at
