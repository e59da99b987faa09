"""The list on disk: every state of its files has an outcome, kills leave a sound one, gateways start."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from kills import kills
from town import sample, town, until

from burlmast.hostbook.shelf import Shelf
from burlmast.hostbook.snapshot import HEAD, MARK, VERSION, Book, Found, Page, choose, rows, seal, unseal
from burlmast.world.traffic import TryCame

S = 1_000_000_000
DAY = 24 * 3600 * S


def page(host: int, standing: str = "ready") -> Page:
    return Page(host, 0, 0, host % 4, standing, 1.0, host * S, f"127.0.0.1:{host}")


BOOKS = st.builds(
    Book,
    st.integers(0, 1 << 62),
    st.lists(
        st.builds(
            Page,
            st.integers(0, 1 << 40),
            st.integers(0, 9),
            st.integers(0, 9),
            st.integers(0, 999),
            st.sampled_from(["ready", "draining", "gone"]),
            st.floats(0, 1e6),
            st.integers(0, 1 << 62),
            st.text(max_size=30),
        ),
        max_size=6,
    ),
)


@given(BOOKS)
def test_a_book_comes_back_as_it_was(book: Book) -> None:
    assert unseal(seal(book)) == Found(book, "sound") and len(rows(book)) == len(book.pages)


@given(BOOKS, st.data())
def test_a_cut_or_flipped_snapshot_is_never_taken_for_sound(book: Book, data: st.DataObject) -> None:
    whole = seal(book)
    cut = unseal(whole[: data.draw(st.integers(0, len(whole) - 1))])
    assert cut.book is None and cut.outcome in ("cut short", "no snapshot")
    flipped = bytearray(whole)
    flipped[data.draw(st.integers(0, len(whole) - 1))] ^= 1 << data.draw(st.integers(0, 7))
    found = unseal(bytes(flipped))
    assert found.book is None and found.outcome != "sound"


@pytest.mark.parametrize(
    ("data", "outcome"),
    [
        (b"", "cut short"),
        (b"{}" * 40, "no snapshot"),
        (HEAD.pack(MARK, VERSION + 1, 0, 0), "later version"),
        (HEAD.pack(MARK, VERSION, 0, 0), "damaged"),
        (seal(Book(1, [])) + b"x", "damaged"),
        (seal(Book(1, [page(1, "asleep")])), "damaged"),
    ],
)
def test_each_state_of_a_file_has_its_outcome(data: bytes, outcome: str) -> None:
    assert unseal(data) == Found(None, outcome)


def test_the_latest_sound_one_is_taken_unless_it_is_too_old() -> None:
    early, late = Found(Book(10 * DAY, [page(1)]), "sound"), Found(Book(11 * DAY, [page(2)]), "sound")
    hurt, absent = Found(None, "damaged"), Found(None, "absent")
    assert choose([late, early], 11 * DAY + S, DAY).book == late.book
    told = choose([hurt, early], 10 * DAY + 90 * S, DAY)
    assert told.book == early.book and told.age == 90 * S and "new: damaged, old: sound" in told.line
    old = choose([late, early], 15 * DAY, 3 * DAY)
    assert old.book is None and "too old" in old.line
    ahead = choose([late, early], 10 * DAY, DAY)
    assert ahead.book == late.book and ahead.age == 0 and "clock ahead" in ahead.line
    assert choose([absent, absent], DAY, DAY).line == "nothing to start from (new: absent, old: absent)"


def test_what_is_damaged_does_not_push_out_what_is_sound(tmp_path: Path) -> None:
    shelf = Shelf(tmp_path)
    shelf.write(Book(S, [page(1)]))
    shelf.write(Book(2 * S, [page(2)]))
    shelf.new.write_bytes(b"hurt")
    shelf.write(Book(3 * S, [page(3)]))
    shelf.new.write_bytes(b"hurt again")
    found = shelf.start(4 * S, DAY).book
    assert found and found.pages == [page(1)]
    shelf.old.unlink()
    shelf.old.mkdir()
    assert "unreadable" in shelf.start(4 * S, DAY).line


def test_no_kill_leaves_a_gateway_without_a_sound_book(tmp_path: Path) -> None:
    shelf = Shelf(tmp_path)

    def write(tell: Callable[[int], None]) -> None:
        found = shelf.start(1 << 60, 1 << 61).book
        at = found.at if found else 0
        while True:
            at += 1
            shelf.write(Book(at, [page(n) for n in range(40)]))
            tell(at)

    for told in kills(write, 200, 0.006, 3):
        found = shelf.start(told + DAY, 2 * DAY).book
        assert found and found.at >= told and len(found.pages) == 40


def test_a_gateway_starts_from_disk_while_the_list_is_down_and_recovers_fully(tmp_path: Path) -> None:
    async def run() -> None:
        deployment = sample(edge__redial_ms=50.0, edge__redial_longest_ms=100.0)
        async with town(deployment, state=tmp_path) as here:
            await until(lambda: here.program.kept_hosts == 12)
            here.program.close()
            here.list.fail(True)
            # Meanwhile half of the hosts that are on disk have gone and others have come.
            gone = sorted(here.fleet.hosts)[::2]
            for number in gone:
                here.fleet.crash(number)
            await here.run(tmp_path)
            assert here.program.ready and here.program.from_disk
            asks = [{"title": "unit-01", "plan": "explainer", "viewer": f"v{n}"} for n in range(8)]
            answers = [await here.post(ask) for ask in asks]
            assert {status for status, _ in answers} <= {201, 503}
            assert any(status == 201 for status, _ in answers), "hosts that are there still serve"
            counts = here.program.driver.counts
            assert counts["ended no connection"] <= 8 * deployment.allowed.tries
            for number in gone[:3]:
                await here.fleet.revive(number)
            here.list.fail(False)
            await until(lambda: not here.program.from_disk)
            # Absent hosts are gone, those that have come back are known once their change is told.
            await until(
                lambda: {one.host for one in here.program.holders() if one.ready} == set(here.fleet.hosts)
            )
            assert len(here.seen(TryCame)) > 0

    asyncio.run(run())


@pytest.mark.parametrize("hurt", [b"", b"nonsense", seal(Book(1, [page(1)]))])
def test_a_gateway_starts_whatever_is_on_its_disk(tmp_path: Path, hurt: bytes) -> None:
    async def run() -> None:
        (tmp_path / "gateway-0").mkdir()
        (tmp_path / "gateway-0" / "hosts.blh").write_bytes(hurt)
        async with town(sample(), state=tmp_path) as here:
            assert not here.program.from_disk
            assert (await here.post({"title": "unit-01", "plan": "explainer", "viewer": "v"}))[0] == 201

    asyncio.run(run())
