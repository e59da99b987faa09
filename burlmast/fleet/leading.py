"""Which desk leads the drains and releases: a term in the register, renewed while there is work. Free of I/O.

The lead keeps desks from doing the same work twice; it is not what keeps steps apart. Each step is a change
of the register that has an effect only while the register still names its desk and term, so a desk that slept
through the end of its lead wakes with a step that does nothing.
"""

from __future__ import annotations

import msgspec


class Lead(msgspec.Struct, frozen=True, array_like=True):
    """Who leads, in which term; `beat` grows while it does."""

    desk: int = -1
    term: int = 0
    beat: int = 0


class Leading:
    """One desk's view of the lead. Times are nanoseconds of its own steady clock."""

    def __init__(self, desk: int, every: int, patience: int) -> None:
        """`every` is how often a leader says that it is there, `patience` how long the others wait for it."""
        self.desk, self._every, self._patience = desk, every, patience
        self.term = 0  # in which this process leads; 0 for none
        self._seen, self._since, self._said = Lead(), 0, 0
        self._began = False

    def look(self, now: int, lead: Lead, work: bool) -> str:
        """What is to be done: take, renew, or nothing."""
        if lead != self._seen or not self._began:
            self._seen, self._since, self._began = lead, now, True
        if self.term and (lead.desk, lead.term) != (self.desk, self.term):
            self.term = 0  # another has taken it meanwhile
        if not work:
            return ""
        if self.term:
            return "renew" if now - self._said >= self._every else ""
        # The lowest tries first; two that try at once disturb each other once.
        wait = self._patience + self.desk * self._every
        return "take" if lead.desk < 0 or now - self._since >= wait else ""

    def said(self, now: int) -> None:
        """The register names this desk, as of now."""
        self._said = now

    def took(self, now: int, lead: Lead) -> None:
        """A change by which this desk leads is done."""
        if lead.desk == self.desk:
            self.term, self._seen, self._since = lead.term, lead, now
            self.said(now)


def taken(lead: Lead, seen: Lead, desk: int) -> Lead | None:
    """The lead with this desk in a new term; None where another has moved since it was seen."""
    if lead != seen:
        return None
    return Lead(desk, lead.term + 1, 0)


def holds(lead: Lead, desk: int, term: int) -> bool:
    """Whether a step of this desk in this term may have an effect."""
    return term > 0 and (lead.desk, lead.term) == (desk, term)
