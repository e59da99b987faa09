"""What coordinators agree on of the catalogue: its name, its last revision and the digests of the changes
that lead there. The changes themselves are kept by their digests. Free of I/O."""

from __future__ import annotations

from collections.abc import Callable
from hashlib import sha256
from typing import NamedTuple

import msgspec

from burlmast.catalogue.messages import Batch

KEPT = 64  # changes that a head names; who is further behind takes slices


class Step(msgspec.Struct, frozen=True, array_like=True):
    """One change: the revision that it made, its batch's digest, the operator's request, and the digest and
    number of all rows after it."""

    revision: int
    batch: str
    request: str
    digest: str
    shards: int


class Head(msgspec.Struct, frozen=True):
    """The register's value."""

    line: str = ""  # the catalogue's name, from its first change
    steps: tuple[Step, ...] = ()  # the last ones, oldest first

    @property
    def revision(self) -> int:
        """Of the last change, 0 before the first."""
        return self.steps[-1].revision if self.steps else 0

    def made(self, request: str) -> Step | None:
        """The change that a request made, as far back as the head tells."""
        return next((one for one in self.steps if one.request == request), None)


class NotAHead(Exception):
    """The register's value is something else: one line."""


def read_head(raw: bytes) -> Head:
    """The register's value. Raises NotAHead."""
    if not raw:
        return Head()
    try:
        return msgspec.json.decode(raw, type=Head)
    except (msgspec.MsgspecError, RecursionError) as why:
        raise NotAHead(f"not a head of the catalogue: {why}") from None


def write_head(head: Head) -> bytes:
    """The register's value."""
    return msgspec.json.encode(head)


def advance(head: Head, line: str, step: Step) -> Head:
    """The head with one more change. `line` names a catalogue that begins; its revisions go on from those of
    `step`, so that one that begins again stays above what gateways know."""
    return Head(head.line or line, (*head.steps, step)[-KEPT:])


def name_of(batch: Batch) -> str:
    """A batch's digest."""
    return sha256(msgspec.json.encode(batch)).hexdigest()[:32]


def named(head: Head, revision: int) -> Step | None:
    """The change that made a revision, as far back as the head tells."""
    return next((one for one in head.steps if one.revision == revision), None)


def from_the_first(head: Head) -> bool:
    """Whether the head still names all changes of its catalogue."""
    return 0 < len(head.steps) < KEPT


class Proposed(NamedTuple):
    """What a change makes of the register's value, and the step by which it is in it; None where the rows
    here are not those of the head that was found, which is then only said again."""

    head: Head
    step: Step | None


def propose(
    head: Head,
    request: str,
    batch: str,
    here: tuple[str, int, int],
    begins: tuple[str, int],
    after: Callable[[bool], tuple[str, int]],
) -> Proposed:
    """A change by a coordinator whose rows are `here`: name, revision, and that of the furthest slice.
    `begins`: name and first revision of a catalogue that begins; `after`: digest and number of all rows with
    the change, of an empty catalogue or of the one here.

    | the head | the rows here | what is proposed |
    | --- | --- | --- |
    | names the request | any | the head again: one acceptor that has it is no majority |
    | blank | any | the catalogue begins |
    | at a revision | at just that | the next |
    | at a revision | at another | the head again |
    """
    made = head.made(request)
    if made is not None:
        return Proposed(head, made)
    if not head.line:
        step = Step(begins[1], batch, request, *after(True))
    elif here == (head.line, head.revision, head.revision):
        step = Step(head.revision + 1, batch, request, *after(False))
    else:
        return Proposed(head, None)
    return Proposed(advance(head, begins[0], step), step)


def newer(head: Head, known: Head) -> bool:
    """Whether a head that was heard of takes the place of one that is known."""
    return bool(head.line) and (not known.line or head.revision > known.revision)


def stands(head: Head, line: str, applied: int, furthest: int, digest: str, shards: int) -> str:
    """How a store is to the head, an input of `STEPS`; "" where nothing follows. `applied` is its last
    change, 0 where it is sure of nothing, `furthest` that of the slice that is furthest ahead."""
    if not head.line:
        return ""
    if line != head.line or not applied:
        return "other line"
    if applied < head.revision:
        return "head moved" if named(head, applied + 1) is not None else "not named"
    if furthest > head.revision:
        return ""  # more has come than is known to be agreed on here
    last = head.steps[-1]
    return "at the head" if (digest, shards) == (last.digest, last.shards) else "wrong digest"


# Of a coordinator's store against the head: what it has to do.
STEPS: dict[tuple[str, str], tuple[str, str]] = {
    # state, input: next state, effect
    ("level", "at the head"): ("level", ""),
    ("level", "head moved"): ("behind", "fetch batch"),
    ("level", "not named"): ("apart", "take slices"),  # more changes behind than the head names
    ("level", "other line"): ("apart", "take slices"),
    ("level", "wrong digest"): ("apart", "doubt"),
    ("behind", "head moved"): ("behind", "fetch batch"),
    ("behind", "batch had"): ("behind", "apply"),
    ("behind", "batch not had"): ("apart", "take slices"),  # whoever kept it is gone; its rows may be there
    ("behind", "not named"): ("apart", "take slices"),
    ("behind", "other line"): ("apart", "take slices"),
    ("behind", "at the head"): ("level", ""),
    ("behind", "wrong digest"): ("apart", "doubt"),
    ("apart", "head moved"): ("behind", "fetch batch"),
    ("apart", "slices had"): ("behind", ""),
    ("apart", "slices not had"): ("apart", "wait"),
    ("apart", "not named"): ("apart", "take slices"),
    ("apart", "other line"): ("apart", "take slices"),
    ("apart", "wrong digest"): ("apart", "doubt"),
    ("apart", "at the head"): ("level", ""),
}
