"""What a playback's viewer is shown: pieces of the title and of notices in one line. Free of I/O.

A piece is drafted when it falls due and published once whoever drives the reel says that it is kept; with
nothing stitched that is at once. What has been published never changes: changes of programme, moves and steps
reach the first piece not yet drafted. Times are whole nanoseconds; media times count from the reel's start.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple
from urllib.parse import quote

import msgspec

from burlmast.stitch.programme import Notice, Programme

MS = 1_000_000
SECOND = 1_000_000_000
NEVER = 1 << 62


class Piece(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One segment as it is listed; it names nothing that could name it, and the collector passes it by."""

    sequence: int
    at: int  # media time at which it begins
    lasts: int
    place: str  # host and port that serve it; empty for this gateway
    title: str  # the title's or the recording's name, quoted
    rung: int
    number: int  # of the segment within the title or the recording
    fresh: bool  # it does not continue the one before
    since: int  # media time since which pieces are of one recording, rung and place
    notice: str = ""  # the notice's name, and with its first piece
    version: int = 0
    whole: int = 0  # how long the notice lasts


class Heard(NamedTuple):
    """A notice that a viewer was given."""

    notice: str
    version: int
    point: str
    sequence: int


class Chosen(NamedTuple):
    """What there is of a notice for a rung."""

    recording: str
    version: int
    rung: int
    lasts: int  # nanoseconds


Choose = Callable[[Notice, int], Chosen | None]


class Insert(msgspec.Struct, array_like=True):
    """A notice under way: it is played to its end as it was begun, whatever changes."""

    notice: str
    chosen: Chosen
    point: str
    number: int = 0  # of its next piece


class Kept(msgspec.Struct, array_like=True):
    """A reel as it is kept on disk: enough to go on at the same sequence after a restart."""

    title: str
    plan: str
    content: int  # the next segment of the title
    published: int  # pieces
    media: int  # their media time
    breaks: int
    done: dict[str, int]  # by point, the latest media time of the title at which it was heard
    zero: float  # the wall clock's second of media time 0
    insert: Insert | None
    shown: list[Piece]


class Stitching:
    """What reels are stitched by, all of a gateway's alike."""

    def __init__(self, programme: Callable[[], Programme], choose: Choose, wall: Callable[[], float]) -> None:
        """`programme` tells what is in force, `choose` what there is of a notice, `wall` the wall clock's
        second."""
        self.programme, self.choose, self.wall = programme, choose, wall
        self._read: Programme | None = None
        self._for: dict[tuple[str, str], tuple[Notice, ...]] = {}

    def notices(self, title: str, plan: str) -> tuple[Notice, ...]:
        """Those that viewers of a title in a plan hear: what must be heard first, then by name. The same
        object while the programme is the same."""
        programme = self.programme()
        if programme is not self._read:
            self._read, self._for = programme, {}
        found = self._for.get((title, plan))
        if found is None:
            mine = [one for one in programme.notices if one.is_for(title, plan)]
            found = self._for[title, plan] = tuple(sorted(mine, key=lambda one: (not one.must, one.name)))
        return found


class Reel:
    """A live-like window over a playback."""

    __slots__ = (
        "_ahead",
        "_breaks",
        "_content",
        "_done",
        "_drafted",
        "_ending",
        "_epoch",
        "_fresh",
        "_heard",
        "_host",
        "_insert",
        "_left_out",
        "_media",
        "_mine",
        "_name",
        "_over",
        "_quiet_to",
        "_run",
        "_rung",
        "_sequence",
        "_shown",
        "_since",
        "_stitching",
        "_window",
        "plan",
        "segment",
        "title",
        "zero",
    )

    def __init__(
        self,
        title: str,
        plan: str,
        segment: int,
        window: int,
        ahead: int,
        stitching: Stitching | None = None,
        kept: Kept | None = None,
    ) -> None:
        """`segment` is the target duration; `window` pieces are listed, `ahead` segments beyond now."""
        # Danger: a title with a line break would write lines of its own into the playlist.
        self.title, self.plan, self.segment = quote(title, safe=""), plan, segment
        self._name = title
        self._window, self._ahead, self._stitching = window, ahead, stitching
        self._shown: deque[Piece] = deque(maxlen=window)
        self._drafted: list[Piece] = []
        self._heard: list[Heard] = []
        self._left_out: list[Heard] = []
        self._content = self._sequence = self._media = self._breaks = 0
        self._done: dict[str, int] = {}
        self._insert: Insert | None = None
        self._epoch: int | None = None  # when media time 0 was, on the clock
        # Dates are counted from here whatever stood still since: those that were listed must not change.
        self.zero = 0.0
        self._host, self._rung = "", 0
        self._fresh = False
        self._over = self._ending = False
        self._run, self._since = ("", -1, ""), 0
        self._mine: tuple[Notice, ...] | None = None  # the notices that were looked at last
        self._quiet_to = 0  # no point of theirs comes before this time of the title
        if kept is not None:
            self._restore(kept)

    @property
    def rung(self) -> int:
        """The rung that the next segment of the title gets."""
        return self._rung

    # What happens to it.

    def begin(self, now: int, host: str, rung: int) -> None:
        """The playback flows from this host; after a move, it flows again."""
        if self._epoch is None:
            # Of one that goes on after a restart, nothing was due meanwhile.
            self._epoch = now - self._media
            if self._stitching is not None and not self.zero:
                self.zero = self._stitching.wall()
        else:
            self.draft(now)
            self._fresh = self._fresh or host != self._host
        self._host, self._rung = host, rung

    def step(self, now: int, rung: int) -> None:
        """The next segment of the title plays at this rung."""
        self.draft(now)
        self._rung = rung

    def end(self, now: int) -> None:
        """Nothing more comes of the title; a notice under way, and those that must be heard still, do."""
        if not self._over:
            self.draft(now)
            self._ending = True
            self.draft(now)

    # Drafting and publishing.

    def draft(self, now: int) -> None:
        """Draft what is due; without anything to stitch it is published at once."""
        if self._epoch is None or self._over:
            return
        due = now - self._epoch + self._ahead * self.segment
        if self._stitching is None:
            self._skip(due)
        elif not self._ending:
            # After a standstill nothing is skipped that may have a notice in it: media time stood still too.
            late = max(0, due - self._media - self._window * self.segment)
            self._epoch += late
            due -= late
        while self._ending or self._media + self.segment <= due:
            if not self._draft_one():
                self._over = self._ending
                break
        if self._stitching is None:
            self.publish(len(self._drafted))

    def waits(self, now: int) -> bool:
        """Whether there is anything to keep, to tell or to draft."""
        if self._drafted or self._left_out:
            return True
        if self._epoch is None or self._over:
            return False
        return self._media + (1 - self._ahead) * self.segment <= now - self._epoch

    def publish(self, count: int) -> None:
        """The first so many drafted pieces are kept: they are listed from now on."""
        for piece in self._drafted[:count]:
            if len(self._shown) == self._window and self._shown[0].fresh:
                self._breaks += 1
            self._shown.append(piece)
        del self._drafted[:count]

    @property
    def drafted(self) -> Sequence[Piece]:
        """What is not published yet."""
        return self._drafted

    def take_heard(self) -> list[Heard]:
        """Notices that the drafted pieces begin, each once."""
        heard, self._heard = self._heard, []
        return heard

    def owe_heard(self, heard: list[Heard]) -> None:
        """These could not be kept; they are to be taken again."""
        self._heard = heard + self._heard

    @property
    def epoch(self) -> int:
        """When media time 0 was, on the clock; 0 before the reel begins."""
        return self._epoch or 0

    def take_left_out(self) -> list[Heard]:
        """Notices that were left out since nobody gives them, each once."""
        left_out, self._left_out = self._left_out, []
        return left_out

    def _skip(self, due: int) -> None:
        # A process that stood still owes a window at most; what lies before it nobody could have read.
        skipped = (due - self._media) // self.segment - self._window
        if skipped > 0 and not self._ending:
            self._breaks += sum(1 for one in self._shown if one.fresh)
            self._shown.clear()
            self._content += skipped
            self._sequence += skipped
            self._media += skipped * self.segment
            self._fresh = True

    def _draft_one(self) -> bool:
        if self._insert is None and self._stitching is not None:
            self._insert = self._next_insert(self._stitching)
        if self._insert is not None:
            self._draft_notice(self._insert)
            return True
        if self._ending:
            return False
        self._add(self.segment, self._host, self.title, self._rung, self._content)
        self._content += 1
        return True

    def _draft_notice(self, insert: Insert) -> None:
        chosen, first = insert.chosen, insert.number == 0
        self._fresh = self._fresh or first
        left = chosen.lasts - insert.number * self.segment
        told = (insert.notice, chosen.version, chosen.lasts) if first else ("", 0, 0)
        self._add(min(self.segment, left), "", quote(chosen.recording), chosen.rung, insert.number, *told)
        if first:
            self._heard.append(Heard(insert.notice, chosen.version, insert.point, self._sequence - 1))
        insert.number += 1
        if left <= self.segment:
            self._insert, self._fresh = None, True

    def _add(self, lasts: int, place: str, title: str, rung: int, number: int, *told: object) -> None:
        fresh = self._fresh and self._sequence > 0
        run = (title, rung, place)
        if fresh or run != self._run:
            self._run, self._since = run, self._media
        words = (self._sequence, self._media, lasts, place, title, rung, number, fresh, self._since)
        self._drafted.append(Piece(*words, *told))  # type: ignore[arg-type]
        self._fresh = False
        self._sequence += 1
        self._media += lasts

    # Which notice comes at the boundary that is drafted next.

    def _next_insert(self, by: Stitching) -> Insert | None:
        mine, now = by.notices(self._name, self.plan), self._content * self.segment
        if mine is not self._mine:
            self._mine, self._quiet_to = mine, 0
        if now < self._quiet_to:
            return None
        wall, waits = by.wall(), False
        for notice, point in self._owed(mine, now, wall):
            chosen = by.choose(notice, self._rung)
            if chosen is not None:
                self._done[point.kind] = point.at
                return Insert(notice.name, chosen, point.name)
            if notice.must:
                waits = True  # it stays owed, and is looked for again at the next boundary
            else:
                self._done[point.kind] = point.at
                self._left_out.append(Heard(notice.name, notice.version, point.name, self._sequence))
        # Danger: a season may begin at any boundary, and what must be heard is then made up for.
        if not waits and not any(one.begins or one.ends for one in mine):
            self._quiet_to = min((following(one, now) for one in mine), default=NEVER)
        return None

    def _owed(self, mine: Sequence[Notice], now: int, wall: float) -> Iterator[tuple[Notice, Point]]:
        """Notices whose point has come and that were not heard there."""
        last = now - self.segment
        for notice in mine:
            if notice.in_season(wall):
                for point in points(notice, now):
                    # What may be left out is not made up for once its point has passed.
                    timely = notice.must or point.at > last
                    if point.at <= now and timely and self._done.get(point.kind, -1) < point.at:
                        yield notice, point

    # What is kept.

    def keep(self) -> Kept:
        """The reel as it is with all that is drafted."""
        insert = msgspec.structs.replace(self._insert) if self._insert is not None else None
        pieces = [*self._shown, *self._drafted]
        shown = pieces[-self._window :]
        breaks = self._breaks + sum(1 for piece in pieces[: -self._window] if piece.fresh)
        words = (self._content, self._sequence, self._media, breaks)
        return Kept(self._name, self.plan, *words, dict(self._done), self.zero, insert, shown)

    def _restore(self, kept: Kept) -> None:
        self._content, self._sequence, self._media = kept.content, kept.published, kept.media
        self._breaks, self.zero = kept.breaks, kept.zero
        self._done = dict(kept.done)
        self._shown.extend(kept.shown)
        self._insert = kept.insert
        self._fresh = kept.insert is None  # a notice goes on from here, where it was
        if kept.shown:
            last = kept.shown[-1]
            self._run, self._since = (last.title, last.rung, last.place), last.since

    # What is listed.

    def pieces(self, now: int) -> tuple[Piece, ...]:
        """The pieces listed now, oldest first."""
        self.draft(now)
        return tuple(self._shown)

    @property
    def next_sequence(self) -> int:
        """The sequence number that the next piece published gets."""
        return self._sequence - len(self._drafted)

    @property
    def breaks(self) -> int:
        """Discontinuities that have left the window."""
        return self._breaks

    @property
    def over(self) -> bool:
        """Whether all that will ever be listed is."""
        return self._over and not self._drafted


def refusal(kept: Kept | None, title: str, plan: str, plays_here: bool) -> tuple[int, str] | None:
    """Why a playback cannot go on with what is kept of it: the status and a line, or nothing.

    Of what plays here still the host may see a new setup try before the old stream's end, which would be two
    for one playback.
    """
    if kept is None:
        return 410, "nothing is kept of that playback; ask without resume"
    if (kept.title, kept.plan) != (title, plan):
        return 409, "that playback has another title or plan"
    if plays_here:
        return 409, "that playback plays here: go on reading its manifest"
    return None


class Point(NamedTuple):
    """Where in a title a notice is heard; points that come again are of one kind."""

    kind: str
    name: str
    at: int


def points(notice: Notice, now: int) -> Iterator[Point]:
    """The points of a title at which a notice is heard; of those that come again the latest."""
    if notice.before:
        name = f"{notice.name} before"
        yield Point(name, name, 0)
    for offset in sorted(notice.offsets_ms):
        name = f"{notice.name} at {offset:g}"
        yield Point(name, name, int(offset * MS))
    every = int(notice.every_ms * MS)
    if every:
        latest = now // every
        if latest:
            kind = f"{notice.name} every"
            yield Point(kind, f"{kind} {latest}", latest * every)


def following(notice: Notice, now: int) -> int:
    """The first point of a notice after `now`; `NEVER` if there is none."""
    every = int(notice.every_ms * MS)
    later = [int(offset * MS) for offset in notice.offsets_ms if int(offset * MS) > now]
    if every:
        later.append((now // every + 1) * every)
    return min(later, default=NEVER)
