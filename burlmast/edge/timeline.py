"""What a playback's viewer is shown: segments, each with the host and rung in force when it was published.

Free of I/O. What has been published never changes; moves and steps reach the first segment not yet published.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple
from urllib.parse import quote


class Segment(NamedTuple):
    """One segment; `fresh` where it does not continue the one before."""

    sequence: int
    host: str
    rung: int
    fresh: bool


class Timeline:
    """A live-like window over a playback."""

    def __init__(self, title: str, segment: int, window: int, ahead: int) -> None:
        """`segment` is the target duration in nanoseconds; `window` segments are listed, `ahead` beyond
        now."""
        # Danger: a title with a line break would write lines of its own into the playlist.
        self.title, self.segment = quote(title, safe=""), segment
        self._window, self._ahead = window, ahead
        self._shown: deque[Segment] = deque(maxlen=window)
        self._published = 0
        self._breaks = 0  # discontinuities that have left the window
        self._began: int | None = None
        self._host, self._rung = "", 0
        self._fresh = False
        self._over = False

    @property
    def rung(self) -> int:
        """The rung that the next segment gets."""
        return self._rung

    def begin(self, now: int, host: str, rung: int) -> None:
        """The playback flows from this host; after a move, it flows again."""
        if self._began is None:
            self._began = now
        else:
            self.publish(now)
            self._fresh = self._fresh or host != self._host
        self._host, self._rung = host, rung

    def step(self, now: int, rung: int) -> None:
        """The next segment published plays at this rung."""
        self.publish(now)
        self._rung = rung

    def end(self, now: int) -> None:
        """Nothing more will be published."""
        if not self._over:
            self.publish(now)
            self._over = True

    def publish(self, now: int) -> None:
        """Publish what is due."""
        if self._began is None or self._over:
            return
        due = (now - self._began) // self.segment + self._ahead
        # A process that stood still owes a window at most; what lies before it nobody could have read.
        skipped = max(0, due - self._published - self._window)
        if skipped:
            self._breaks += sum(1 for one in self._shown if one.fresh)
            self._shown.clear()
            self._published += skipped
            self._fresh = True
        while self._published < due:
            if len(self._shown) == self._window and self._shown[0].fresh:
                self._breaks += 1
            self._shown.append(Segment(self._published, self._host, self._rung, self._fresh))
            self._fresh = False
            self._published += 1

    def segments(self, now: int) -> tuple[Segment, ...]:
        """The segments listed now, oldest first."""
        self.publish(now)
        return tuple(self._shown)

    def playlist(self, now: int) -> bytes:
        """The media playlist (RFC 8216, sections 4.3.2 and 4.3.3)."""
        shown = self.segments(now)
        seconds = self.segment / 1e9
        lines = [
            "#EXTM3U",
            "#EXT-X-VERSION:3",
            f"#EXT-X-TARGETDURATION:{-(-self.segment // 1_000_000_000)}",
            f"#EXT-X-MEDIA-SEQUENCE:{shown[0].sequence if shown else self._published}",
            f"#EXT-X-DISCONTINUITY-SEQUENCE:{self._breaks}",
        ]
        for one in shown:
            if one.fresh:
                lines.append("#EXT-X-DISCONTINUITY")
            lines.append(f"#EXTINF:{seconds:.3f},")
            lines.append(f"http://{one.host}/v1/media/{self.title}/{one.rung}/{one.sequence}.m4s")
        if self._over:
            lines.append("#EXT-X-ENDLIST")
        return ("\n".join(lines) + "\n").encode("utf-8")
