"""Notices: the register, the larder, reels under any sequence of changes, and files through kills."""

from __future__ import annotations

import sqlite3
from collections.abc import Callable
from itertools import pairwise
from pathlib import Path

import m3u8
import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from kills import kills
from mpegdash.parser import MPEGDASHParser

from burlmast.stitch.larder import Fetch, Holder, Larder
from burlmast.stitch.programme import Known, Notice, Programme, Refused, Register, faults
from burlmast.stitch.reel import Chosen, Heard, Kept, Piece, Reel, Stitching
from burlmast.stitch.store import Change, Store, StoreFault, read_heard
from burlmast.stitch.writers import dash, hls

S = 1_000_000_000
KNOWN = Known(["talk", "film"], ["basic", "gold"], 4, 8)


def notice(name: str = "legal", version: int = 1, **changes: object) -> Notice:
    told: dict = {"lasts_ms": 3000.0, "rungs": (0, 1, 2, 3), "home": 0, "copies": 2, "before": True}
    return Notice(name, version, **(told | changes))


# The register.


class Desk:
    def __init__(self) -> None:
        self.storing: list[Programme] = []
        self.acted: list[Programme] = []
        self.answers: list[Refused | None] = []
        self.register = Register(KNOWN, self.storing.append, self.acted.append)

    def put(self, version: int, *notices: Notice) -> None:
        self.register.put(msgspec.json.encode(Programme(version, notices)), self.answers.append)


def test_a_programme_acts_once_it_is_stored_and_a_stale_writer_hears_what_is_in_force() -> None:
    desk = Desk()
    desk.put(1, notice())
    assert desk.storing and not desk.acted and not desk.answers
    desk.put(1, notice(version=2))
    desk.put(2, notice(version=3))
    assert [one.status for one in desk.answers if one] == [409, 409], "writers that race are told so"
    desk.register.stored()
    assert desk.answers[-1] is None and desk.register.in_force.version == 1 == len(desk.acted)
    desk.put(1, notice(version=2))
    refused = desk.answers[-1]
    assert refused and refused.status == 409 and refused.in_force.notices == (notice(),)
    desk.put(2)
    desk.register.failed("no space")
    refused = desk.answers[-1]
    assert refused and refused.status == 507 and desk.register.in_force.version == 1
    desk.put(2)
    desk.register.stored()
    assert desk.register.in_force == Programme(2) and len(desk.acted) == 2


@pytest.mark.parametrize(
    ("one", "key"),
    [
        (notice(name=""), "name"),
        (notice(name="a/b"), "name"),
        (notice(version=0), "version"),
        (notice(lasts_ms=5.0), "lasts_ms"),
        (notice(lasts_ms=float("nan")), "lasts_ms"),
        (notice(before=False), "before"),
        (notice(every_ms=10.0), "every_ms"),
        (notice(rungs=(4,)), "rungs"),
        (notice(rungs=()), "rungs"),
        (notice(home=8), "home"),
        (notice(copies=0), "copies"),
        (notice(titles=("none",)), "titles"),
        (notice(plans=("none",)), "plans"),
        (notice(begins=5.0, ends=4.0), "ends"),
        (notice(offsets_ms=(1.0, 1.0)), "offsets_ms"),
    ],
)
def test_a_notice_that_cannot_be_is_refused_by_its_key(one: Notice, key: str) -> None:
    found = list(faults(Programme(1, (notice("sound"), one)), KNOWN))
    assert [told for told, _ in found] == [f"notices[1].{key}"] or key in found[0][0]
    desk = Desk()
    desk.put(1, one)
    assert not desk.storing and desk.answers[0] and desk.answers[0].status == 400


def test_nonsense_is_refused_and_two_of_a_name() -> None:
    desk = Desk()
    for raw in (b"", b"[]", b'{"version": 1, "notes": []}', b"[" * 5000):
        desk.register.put(raw, desk.answers.append)
    desk.put(1, notice(), notice(version=2))
    assert [one.status for one in desk.answers if one] == [400] * 5 and not desk.storing


# The larder.


class Pantry:
    def __init__(self, *holders: Holder, tries: int = 2, at_once: int = 8) -> None:
        self.holders, self.asked = list(holders), list[Fetch]()
        rooms = {1: 5.0, 2: 9.0, 3: 99.0, 4: 99.0}
        limits = (tries, 5 * S, at_once, 10 * S)
        self.larder = Larder(8, *limits, lambda: self.holders, rooms.__getitem__, self.asked.append)

    def stock(self, *notices: Notice, now: int = 0) -> None:
        self.larder.stock(Programme(1, notices), now)

    def hosts(self) -> list[int]:
        return [one.host for one in self.asked]


THREE = (Holder(1, 0, True), Holder(2, 1, True), Holder(3, 2, True), Holder(4, 0, False))


def test_holders_are_asked_by_their_room_and_only_those_that_hold_it_and_are_ready() -> None:
    pantry = Pantry(*THREE)
    one = notice(rungs=(1,))
    pantry.stock(one)
    assert pantry.hosts() == [2]
    pantry.larder.failed(pantry.asked[0], 0)
    assert pantry.hosts() == [2, 1]
    pantry.larder.failed(pantry.asked[0], 0)
    assert pantry.hosts() == [2, 1], "a failure told late is not this try's"
    pantry.larder.failed(pantry.asked[1], 0)
    assert pantry.hosts() == [2, 1] and pantry.larder.best(one, 3) is None
    pantry.larder.look(4 * S)
    assert len(pantry.asked) == 2
    pantry.larder.look(5 * S)
    assert pantry.hosts() == [2, 1, 2], "and asked again after a while"
    pantry.larder.came(pantry.asked[2], 5 * S, [b"x"])
    found = pantry.larder.best(one, 3)
    assert found and found.rung == 1 and found.pieces == (b"x",)


def test_so_many_are_asked_for_at_a_time_and_what_must_be_heard_first() -> None:
    pantry = Pantry(*THREE, at_once=2)
    may, must = notice("a", rungs=(0, 1)), notice("z", rungs=(0, 1), must=True)
    pantry.stock(may, must)
    assert [one.recording.name for one in pantry.asked] == [("z@1", 0), ("z@1", 1)]
    pantry.larder.came(pantry.asked[0], 0, [b"x"])
    assert [one.recording.name for one in pantry.asked][2:] == [("a@1", 0)]
    assert pantry.larder.lacking([may, must], 0.0) is None, "one rung of it is there"
    lacking = pantry.larder.lacking([may, notice("other", must=True)], 0.0)
    assert lacking and lacking.name == "other"
    assert pantry.larder.lacking([notice("other", must=True, begins=5.0)], 1.0) is None


def test_a_host_that_drains_while_it_is_asked_is_asked_no_more() -> None:
    pantry = Pantry(*THREE)
    pantry.stock(notice(rungs=(1,)))
    pantry.holders[1] = pantry.holders[1]._replace(ready=False)
    pantry.larder.left(0, [2])
    assert pantry.hosts() == [2, 1]
    pantry.larder.came(pantry.asked[0], 0, [b"whole"])
    assert pantry.larder.best(notice(rungs=(1,)), 1), "what it still gave is good"


def test_rungs_and_versions_fall_back_and_a_may_notice_never_plays_above() -> None:
    pantry = Pantry(*THREE)
    first = notice(rungs=(2,), must=True)
    pantry.stock(first)
    pantry.larder.came(pantry.asked[0], 0, [b"1"])
    assert pantry.larder.best(first, 3) and pantry.larder.best(first, 0), "one that must is heard above"
    assert pantry.larder.best(notice(rungs=(2,)), 0) is None
    second = notice(version=2, rungs=(2,), must=True)
    pantry.stock(second)
    found = pantry.larder.best(second, 2)
    assert found and found.notice.version == 1, "the last sound version until the new one is there"
    pantry.larder.came(pantry.asked[1], S, [b"2"])
    found = pantry.larder.best(second, 2)
    assert found and found.notice.version == 2
    assert pantry.larder.find("legal@1", 2), "listed pieces of the old one can still be read"
    pantry.larder.look(20 * S)
    assert pantry.larder.find("legal@1", 2) is None
    pantry.stock(now=20 * S)
    assert pantry.larder.best(second, 2) is None and pantry.larder.find("legal@2", 2)


# Reels.


class Cutting:
    """A reel, its programme and what there is of notices."""

    def __init__(self, *notices: Notice, lacking: tuple[str, ...] = ()) -> None:
        self.programme, self.lacking, self.wall = Programme(1, notices), set(lacking), 1000.0
        self.stitching = Stitching(lambda: self.programme, self.choose, lambda: self.wall)
        self.reel = Reel("talk", "basic", 2 * S, 6, 2, self.stitching)
        self.heard: list[Heard] = []
        self.left_out: list[Heard] = []
        self.all: list[Piece] = []
        self.kept = self.reel.keep()

    def choose(self, one: Notice, rung: int) -> Chosen | None:
        if one.name in self.lacking:
            return None
        own = max([r for r in one.rungs if r <= rung], default=min(one.rungs))
        return Chosen(one.recording, one.version, own, int(one.lasts_ms * 1e6))

    def look(self, now: int) -> list[Piece]:
        waits = self.reel.waits(now)
        self.reel.draft(now)
        drafted = list(self.reel.drafted)
        assert waits == bool(drafted or self.reel._left_out), "it says when it wants to be looked at"
        self.heard += self.reel.take_heard()
        self.left_out += self.reel.take_left_out()
        self.kept = self.reel.keep()
        self.reel.publish(len(drafted))
        self.all += drafted
        return drafted

    def told(self) -> list[str]:
        return [f"{one.title}/{one.number}" for one in self.all]


def test_a_notice_before_and_two_at_one_point_and_the_end() -> None:
    cut = Cutting(
        notice("legal", must=True),
        notice("advert", before=False, offsets_ms=(2000.0, 8000.0), lasts_ms=500.0),
        notice("sponsor", must=True, before=False, offsets_ms=(2000.0,), lasts_ms=2000.0),
    )
    cut.reel.begin(0, "h:1", 2)
    cut.look(5 * S)
    legal, sponsor, advert = "legal%401", "sponsor%401", "advert%401"
    assert cut.told() == [f"{legal}/0", f"{legal}/1", "talk/0", f"{sponsor}/0", f"{advert}/0"]
    assert [one.lasts for one in cut.all] == [2 * S, S, 2 * S, 2 * S, S // 2]
    assert [one.fresh for one in cut.all] == [False, False, True, True, True]
    cut.look(11 * S)
    cut.reel.end(11 * S)
    cut.look(11 * S)
    assert cut.told()[5:] == ["talk/1", "talk/2", "talk/3", f"{advert}/0"], "one at the very end is heard"
    assert [(one.notice, one.point) for one in cut.heard][-1] == ("advert", "advert at 8000")
    assert cut.reel.over and hls(cut.reel, 99 * S, 0.0).endswith(b"#EXT-X-ENDLIST\n")


def test_a_change_reaches_the_first_boundary_that_is_not_published_and_never_mixes() -> None:
    cut = Cutting(notice("legal", must=True, lasts_ms=5000.0))
    cut.reel.begin(0, "h:1", 2)
    cut.look(0)
    cut.programme = Programme(2, (notice("legal", 2, must=True, lasts_ms=5000.0),))
    cut.programme = Programme(3, (notice("legal", 3, must=True, lasts_ms=5000.0, offsets_ms=(2000.0,)),))
    cut.look(20 * S)
    cut.look(30 * S)
    assert cut.told()[:5] == ["legal%401/0", "legal%401/1", "legal%401/2", "talk/0", "legal%403/0"]
    assert [(one.version, one.point) for one in cut.heard] == [(1, "legal before"), (3, "legal at 2000")]


def test_a_change_withdrawn_before_it_took_effect_and_a_notice_longer_than_its_title() -> None:
    cut = Cutting(notice("long", must=True, lasts_ms=30_000.0))
    cut.programme = Programme(2, (*cut.programme.notices, notice("never", must=True)))
    cut.programme = Programme(3, cut.programme.notices[:1])
    cut.reel.begin(0, "h:1", 2)
    cut.look(2 * S)
    cut.reel.end(2 * S)
    cut.look(2 * S)
    assert cut.told() == [f"long%401/{n}" for n in range(15)] and cut.reel.over
    assert [one.notice for one in cut.heard] == ["long"]


def test_a_notice_that_must_be_heard_and_comes_late_is_made_up_for_one_that_may_is_not() -> None:
    cut = Cutting()
    cut.reel.begin(0, "h:1", 2)
    cut.look(10 * S)
    cut.programme = Programme(2, (notice("may"), notice("must", must=True)))
    cut.lacking = {"must"}
    cut.look(14 * S)
    assert not cut.heard and not cut.left_out
    cut.lacking = set()
    cut.look(18 * S)
    assert [one.notice for one in cut.heard] == ["must"] and "may%401/0" not in cut.told()
    cut.programme = Programme(3)
    cut.look(40 * S)
    assert len(cut.heard) == 1


def test_one_that_nobody_has_is_left_out_and_told_once() -> None:
    cut = Cutting(notice("may", offsets_ms=(4000.0,)), lacking=("may",))
    cut.reel.begin(0, "h:1", 2)
    for at in range(0, 12):
        cut.look(at * S)
    assert [one.point for one in cut.left_out] == ["may before", "may at 4000"] and not cut.heard


def test_seasons_titles_and_plans_narrow_a_notice() -> None:
    cut = Cutting(
        notice("other", titles=("film",)),
        notice("gold", plans=("gold",)),
        notice("past", ends=999.0),
        notice("coming", begins=1001.0),
        notice("now", begins=999.0, ends=1001.0),
    )
    cut.reel.begin(0, "h:1", 1)
    cut.look(4 * S)
    assert [one.notice for one in cut.heard] == ["now"]


def test_a_standstill_skips_nothing() -> None:
    cut = Cutting(notice("legal", before=False, must=True, offsets_ms=(30_000.0,)))
    cut.reel.begin(0, "h:1", 1)
    cut.look(4 * S)
    drafted = cut.look(300 * S)
    assert len(drafted) <= 6
    for at in range(300, 360):
        cut.look(at * S)
    assert [one.sequence for one in cut.all] == list(range(len(cut.all)))
    assert [one.notice for one in cut.heard] == ["legal"]


class Line(RuleBasedStateMachine):
    """Any sequence of programmes, waits, steps, moves, restarts and kills between writing and listing."""

    @initialize()
    def start(self) -> None:
        self.now, self.cut, self.published = 0, Cutting(), dict[int, Piece]()
        self.dates: dict[int, object] = {}
        self.cut.reel.begin(0, "h:1", 2)

    @rule(
        names=st.lists(st.sampled_from(["a", "b", "c"]), unique=True, max_size=3),
        lasts=st.sampled_from([300.0, 2000.0, 4500.0]),
        must=st.booleans(),
        where=st.sampled_from([{"before": True}, {"offsets_ms": (3000.0, 9000.0)}, {"every_ms": 5000.0}]),
    )
    def change(self, names: list[str], lasts: float, must: bool, where: dict) -> None:
        version = self.cut.programme.version + 1
        told = {"before": False, "lasts_ms": lasts, "must": must} | where
        self.cut.programme = Programme(version, tuple(notice(name, version, **told) for name in names))

    @rule(names=st.sets(st.sampled_from(["a", "b", "c"])))
    def lack(self, names: set[str]) -> None:
        self.cut.lacking = names

    @rule(seconds=st.sampled_from([0.3, 1.0, 2.5, 7.0, 60.0]))
    def wait(self, seconds: float) -> None:
        self.now += int(seconds * S)
        self.cut.look(self.now)

    @rule(rung=st.integers(0, 3))
    def step(self, rung: int) -> None:
        self.cut.reel.step(self.now, rung)

    @rule(host=st.sampled_from(["h:1", "h:2"]))
    def move(self, host: str) -> None:
        self.cut.reel.begin(self.now, host, 1)

    @rule(durable=st.booleans())
    def restart(self, durable: bool) -> None:
        """The process dies after it has written what it drafted, or before."""
        cut = self.cut
        if durable:
            cut.reel.draft(self.now)
            drafted = list(cut.reel.drafted)
            cut.heard += cut.reel.take_heard()
            cut.kept = cut.reel.keep()
            cut.all += drafted  # on the disk; the next life lists it
        kept = msgspec.msgpack.decode(msgspec.msgpack.encode(cut.kept), type=Kept)
        self.now += 3 * S
        cut.reel = Reel("talk", "basic", 2 * S, 6, 2, cut.stitching, kept)
        cut.reel.begin(self.now, "h:3", 1)

    @invariant()
    def one_stream(self) -> None:
        if not hasattr(self, "cut"):
            return
        cut = self.cut
        pieces = cut.all
        assert [one.sequence for one in pieces] == list(range(len(pieces))), "none twice, none skipped"
        assert all(after.at == before.at + before.lasts for before, after in pairwise(pieces))
        content = [one.number for one in pieces if one.place]
        assert content == list(range(len(content)))
        for before, after in pairwise(pieces):
            same = (before.title, before.place) == (after.title, after.place)
            follows = same and after.number == before.number + 1
            assert after.fresh or follows, "what does not continue says so"
            assert not (after.fresh and not after.place and after.number > 0), "no notice is broken into"
            assert 0 < after.lasts <= 2 * S
        begun = [one for one in pieces if one.notice]
        assert [(one.notice, one.version, one.sequence) for one in begun] == [
            (one.notice, one.version, one.sequence) for one in cut.heard
        ], "the record holds what was listed"
        assert len({one.point for one in cut.heard}) == len(cut.heard), "once at each point"
        self.as_players_see_it()

    def as_players_see_it(self) -> None:
        text = hls(self.cut.reel, self.now, self.cut.reel.zero).decode()
        cut, shown = self.cut, tuple(self.cut.reel._shown)
        found = m3u8.loads(text)
        assert found.target_duration == 2 and len(found.segments) == len(shown) <= 6
        if not shown:
            return
        assert found.media_sequence == shown[0].sequence
        for piece in shown:
            assert self.published.setdefault(piece.sequence, piece) == piece, "what was listed never changes"
            assert piece == cut.all[piece.sequence]
        for piece, one in zip(shown, found.segments, strict=True):
            date = one.program_date_time or one.current_program_date_time
            if date is not None:
                assert self.dates.setdefault(piece.sequence, date) == date, "nor does its date"
        gone = sum(one.fresh for one in cut.all[: shown[0].sequence])
        assert found.discontinuity_sequence == gone
        assert [one.discontinuity for one in found.segments] == [piece.fresh for piece in shown]
        mpd = MPEGDASHParser.parse(dash(cut.reel, self.now, 1e9, (200, 400, 900, 1800)).decode())
        entries = [
            (period.id, timeline.t, timeline.d, address.media)
            for period in mpd.periods
            for timeline, address in zip(
                period.adaptation_sets[0].representations[0].segment_lists[0].segment_timelines[0].Ss,
                period.adaptation_sets[0].representations[0].segment_lists[0].segment_urls,
                strict=True,
            )
        ]
        addresses = [one.uri for one in found.segments]
        assert [address for *_, address in entries] == addresses, "one line, two writers"
        starts = [period.start for period in mpd.periods]
        assert len(set(starts)) == len(starts)


Line.TestCase.settings = settings(max_examples=60, stateful_step_count=25, deadline=None)
TestLine = Line.TestCase


# Files.


def change(public: str, sequence: int, *heard: Heard) -> Change:
    kept = Kept("talk", "basic", sequence, sequence, sequence * 2 * S, 0, {}, 1.0, None, [])
    return Change(public, "viewer", "talk", kept, heard)


def test_what_was_kept_is_found_again_and_the_record_can_be_asked(tmp_path: Path) -> None:
    store = Store(tmp_path)
    assert store.programme() == Programme() and store.reel("p") is None
    store.save_programme(Programme(1, (notice(),)))
    store.save_programme(Programme(2))
    store.save([change("p", 4, Heard("legal", 1, "legal before", 0)), change("q", 1)], 7)
    store.save([change("p", 5, Heard("legal", 1, "legal before", 0))], 8)
    store.close()
    again = Store(tmp_path)
    assert again.programme() == Programme(2) and [one.version for one in again.history()] == [1, 2]
    kept = again.reel("p")
    assert kept and kept.published == 5
    again.forget(["p"])
    assert again.reel("p") is None and again.reel("q")
    assert len(read_heard(tmp_path, notice="legal")) == 1 and not read_heard(tmp_path, viewer="nobody")
    again.close()
    with pytest.raises(StoreFault):
        read_heard(tmp_path / "none")


def test_a_full_disk_changes_nothing(tmp_path: Path) -> None:
    store = Store(tmp_path)
    store.save_programme(Programme(1))
    pages = store._main.execute("PRAGMA page_count").fetchone()[0]
    store._main.execute(f"PRAGMA max_page_count = {pages}")
    with pytest.raises(StoreFault, match="full"):
        store.save([change(f"p{n}", n, Heard("x" * 200, 1, "p", n)) for n in range(500)], 1)
    with pytest.raises(StoreFault, match="full"):
        store.save_programme(Programme(2, tuple(notice(f"n{n}") for n in range(200))))
    assert store.programme() == Programme(1) and store.reel("p0") is None
    store._main.execute("PRAGMA max_page_count = 100000")
    store.save([change("p", 1)], 2)
    assert store.reel("p")
    store.close()


def test_a_change_that_is_on_the_disk_is_in_force_though_its_copy_is_not(tmp_path: Path) -> None:
    store = Store(tmp_path)
    pages = store._copy.execute("PRAGMA page_count").fetchone()[0]
    store._copy.execute(f"PRAGMA max_page_count = {pages}")
    many = Programme(1, tuple(notice(f"n{n}") for n in range(200)))
    assert "full" in store.save_programme(many), "told, not refused: it would come back with the next start"
    store.close()
    again = Store(tmp_path)
    assert again.programme() == many
    again.close()


@pytest.mark.parametrize("hurt", ["stitch.sqlite", "programme.sqlite"])
def test_with_one_file_damaged_the_last_programme_is_still_known(tmp_path: Path, hurt: str) -> None:
    store = Store(tmp_path)
    store.save_programme(Programme(1, (notice(must=True),)))
    store.close()
    (tmp_path / hurt).write_bytes(b"\0" * 4096)
    again = Store(tmp_path)
    assert again.programme() == Programme(1, (notice(must=True),)) and len(again.damaged) == 1
    again.close()
    assert list(tmp_path.glob(f"{hurt}.damaged-*")), "it is laid aside, not thrown away"


def test_with_both_damaged_a_gateway_does_not_guess(tmp_path: Path) -> None:
    Store(tmp_path).close()
    for name in ("stitch.sqlite", "programme.sqlite"):
        (tmp_path / name).write_bytes(b"no database at all, " * 300)
    with pytest.raises(StoreFault, match="both"):
        Store(tmp_path)


def writes(folder: Path, tell: Callable[[int], None]) -> None:
    """Change programme and reel without end, and tell each number once it is kept."""
    store = Store(folder)
    at = store.programme().version
    kept = store.reel("p")
    sequence = kept.published if kept else 0
    while True:
        at, sequence = at + 1, sequence + 1
        store.save_programme(Programme(at, (notice("a", at), notice("b", at))))
        tell(at)
        heard = Heard("a", at, f"{sequence}", sequence)
        store.save([change("p", sequence, heard), change("q", sequence)], at)


def test_no_kill_loses_what_was_told_or_leaves_a_mixture(tmp_path: Path) -> None:
    for told in kills(lambda tell: writes(tmp_path, tell), 200, 0.012, 5):
        store = Store(tmp_path)
        found = store.programme()
        assert not store.damaged and found.version >= told
        assert {one.version for one in found.notices} == {found.version}
        kept, other = store.reel("p"), store.reel("q")
        assert (kept is None) == (other is None) and (not kept or kept.published == other.published)
        rows = list(store.heard("p"))
        assert [row.sequence for row in rows] == list(range(1, (kept.published if kept else 0) + 1))
        store.close()
    with sqlite3.connect(tmp_path / "stitch.sqlite") as base:
        assert base.execute("PRAGMA integrity_check").fetchone()[0] == "ok"
