"""One line of pieces, two manifests: HLS (RFC 8216) and MPEG-DASH with a period for each stretch that
continues. Free of I/O."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from datetime import UTC, datetime
from itertools import pairwise
from xml.sax.saxutils import quoteattr

from burlmast.stitch.reel import Piece, Reel

SECOND = 1_000_000_000
TICKS = 1000  # of the DASH timescale, a second


def url(piece: Piece) -> str:
    """Where a piece is: at its host, or at this gateway."""
    if piece.place:
        return f"http://{piece.place}/v1/media/{piece.title}/{piece.rung}/{piece.number}.m4s"
    return f"/v1/notices/{piece.title}/{piece.rung}/{piece.number}.m4s"


def hls(reel: Reel, now: int, began: float) -> bytes:
    """The media playlist; `began` is the wall clock's second of media time 0, by which date ranges count."""
    shown = reel.pieces(now)
    stitched = any(piece.notice for piece in shown)
    lines = [
        "#EXTM3U",
        f"#EXT-X-VERSION:{6 if stitched else 3}",
        f"#EXT-X-TARGETDURATION:{-(-reel.segment // SECOND)}",
        f"#EXT-X-MEDIA-SEQUENCE:{shown[0].sequence if shown else reel.next_sequence}",
        f"#EXT-X-DISCONTINUITY-SEQUENCE:{reel.breaks}",
    ]
    for place, piece in enumerate(shown):
        if piece.fresh:
            lines.append("#EXT-X-DISCONTINUITY")
        if stitched and (place == 0 or piece.fresh):
            lines.append(f"#EXT-X-PROGRAM-DATE-TIME:{stamp(began, piece)}")
        if piece.notice:
            lines.append(
                f'#EXT-X-DATERANGE:ID="{piece.notice}-{piece.sequence}",CLASS="notice",'
                f'START-DATE="{stamp(began, piece)}",DURATION={piece.whole / SECOND:.3f},'
                f'X-NOTICE="{piece.notice}",X-VERSION={piece.version}'
            )
        lines.append(f"#EXTINF:{piece.lasts / SECOND:.3f},")
        lines.append(url(piece))
    if reel.over:
        lines.append("#EXT-X-ENDLIST")
    return ("\n".join(lines) + "\n").encode("utf-8")


def stamp(began: float, piece: Piece) -> str:
    """A piece's date, in milliseconds."""
    told = datetime.fromtimestamp(began + piece.at / SECOND, UTC)
    return told.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def periods(shown: Sequence[Piece]) -> Iterator[list[Piece]]:
    """Stretches of pieces that continue each other at one rung from one place: one representation each."""
    stretch = list(shown[:1])
    for before, piece in pairwise(shown):
        same = (piece.title, piece.rung, piece.place) == (before.title, before.rung, before.place)
        if piece.fresh or not same:
            yield stretch
            stretch = []
        stretch.append(piece)
    if stretch:
        yield stretch


def dash(reel: Reel, now: int, began: float, rates_kb: Sequence[float]) -> bytes:
    """The multi-period manifest (ISO/IEC 23009-1). A period's start and id are those of its first piece,
    listed still or not, and never change."""
    shown = reel.pieces(now)
    ended = ' type="static"' if reel.over else ' type="dynamic" minimumUpdatePeriod="PT1S"'
    available = datetime.fromtimestamp(began, UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")
    end = shown[-1].at + shown[-1].lasts if shown else 0
    duration = f' mediaPresentationDuration="PT{end / SECOND:.3f}S"' if reel.over else ""
    lines = [
        '<?xml version="1.0" encoding="utf-8"?>',
        f'<MPD xmlns="urn:mpeg:dash:schema:mpd:2011" profiles="urn:mpeg:dash:profile:isoff-main:2011"{ended}'
        f' availabilityStartTime="{available}" minBufferTime="PT{reel.segment / SECOND:.3f}S"{duration}>',
    ]
    for stretch in periods(shown):
        first = stretch[0]
        start = first.since
        kind = "title" if first.place else "notice"
        lines += [
            f'<Period id="p{start // 1000000}" start="PT{start / SECOND:.3f}S">',
            f"<AssetIdentifier schemeIdUri={quoteattr('urn:burlmast:' + kind)}"
            f" value={quoteattr(first.title)}/>",
            '<AdaptationSet mimeType="video/mp4" segmentAlignment="true">',
            f'<Representation id="rung-{first.rung}" bandwidth="{int(rates_kb[first.rung] * 8000)}">',
            f'<SegmentList timescale="{TICKS}" startNumber="{first.number + 1}">',
            "<SegmentTimeline>",
            *(
                f'<S t="{(piece.at - start) * TICKS // SECOND}" d="{piece.lasts * TICKS // SECOND}"/>'
                for piece in stretch
            ),
            "</SegmentTimeline>",
            *(f"<SegmentURL media={quoteattr(url(piece))}/>" for piece in stretch),
            "</SegmentList></Representation></AdaptationSet></Period>",
        ]
    return ("\n".join([*lines, "</MPD>"]) + "\n").encode("utf-8")
