"""The platform's protocol without sockets: codecs over splits and mutations, the list, the configuration."""

from __future__ import annotations

import json
import subprocess
import sys
from itertools import pairwise
from pathlib import Path
from typing import Any

import dns.message
import pytest
from hypothesis import given
from hypothesis import strategies as st
from platform_standin import SETTINGS, reply

from burlmast import api
from burlmast.api import Ending, News, Scope, Standing
from burlmast.edge.endings import BINARY_ENDINGS, BINARY_ENDS
from burlmast.logic import NEVER_RAN
from burlmast.node import frames, lines
from burlmast.node.configuration import BadConfiguration, from_variables, read
from burlmast.node.frames import Frame, FrameReader, frame
from burlmast.node.lines import LineReader
from burlmast.node.message_size import MESSAGE_BYTES_MAX
from burlmast.node.names import Unsound, query, read_answer, read_event
from burlmast.node.query_schedule import (
    ANSWER_TAKEN_FOR,
    QUERY_INTERVAL,
    TOLD_BY,
    Effect,
    Happening,
    QuerySchedule,
)
from burlmast.node.roster import Roster

MESSAGES = st.builds(
    Frame,
    st.sampled_from(sorted(frames.KINDS)),
    st.integers(0, 2**64 - 1),
    st.dictionaries(st.integers(0, 255), st.binary(max_size=60), max_size=5),
)
CUTS = st.lists(st.integers(0, 10_000), max_size=8)


def split(data: bytes, cuts: list[int]) -> list[bytes]:
    at = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    return [data[one:two] for one, two in pairwise(at)]


@given(st.lists(MESSAGES, max_size=6), CUTS)
def test_frames_come_out_as_they_went_in_however_they_are_split(sent: list[Frame], cuts: list[int]) -> None:
    reader, found = FrameReader(), []
    for part in split(b"".join(frame(*one) for one in sent), cuts):
        more, wrong = reader.feed(part)
        assert wrong is None
        found += more
    assert found == sent and not reader.partial


@given(st.lists(MESSAGES, min_size=1, max_size=4), CUTS, st.data())
def test_mutated_frames_read_alike_in_every_split_and_keep_what_was_whole_before(
    sent: list[Frame], cuts: list[int], data: st.DataObject
) -> None:
    raw = bytearray(b"".join(frame(*one) for one in sent))
    place = data.draw(st.integers(0, len(raw) - 1))
    raw[place] ^= data.draw(st.integers(1, 255))
    whole, _ = FrameReader().feed(bytes(raw))
    reader, found = FrameReader(), []
    for part in split(bytes(raw), cuts):
        more, wrong = reader.feed(part)
        found += more
        if wrong is not None:
            break
    assert found == whole
    before = [one for n, one in enumerate(sent) if sum(len(frame(*m)) for m in sent[: n + 1]) <= place]
    assert found[: len(before)] == before


LINES = st.builds(
    lines.Line,
    st.sampled_from(["setup", "release", "ping", "odd"]),
    st.text("0123456789abcdef", min_size=16, max_size=16),
    st.dictionaries(st.text(max_size=5), st.text(max_size=9) | st.integers(-9, 9), max_size=3),
    st.none() | st.integers(0, 127),
    st.none() | st.text(max_size=20),
)


@given(st.lists(LINES, max_size=5), CUTS)
def test_lines_come_out_as_they_went_in_however_they_are_split(
    sent: list[lines.Line], cuts: list[int]
) -> None:
    raw = b"".join(lines.ENCODER.encode(one) + b"\n" for one in sent)
    reader, found = LineReader(), []
    for part in split(raw, cuts):
        more, wrong = reader.feed(part)
        assert wrong is None
        found += more
    assert found == sent and not reader.partial


@given(st.binary(max_size=300))
def test_noise_is_unreadable_or_waits_and_nothing_else(raw: bytes) -> None:
    LineReader().feed(raw)
    FrameReader().feed(raw)
    with pytest.raises(Unsound):
        read_answer(raw, 7)


def test_a_line_without_end_is_given_up_at_the_longest() -> None:
    reader = LineReader()
    assert reader.feed(b"x" * (MESSAGE_BYTES_MAX - 1)) == ([], None)
    assert reader.feed(b"x")[1] is not None


def test_notes_and_reports_by_the_platforms_names() -> None:
    note = Frame(frames.NOTE, 1, {frames.NEWS: b"kept_up", frames.FIGURE: b"0.75"})
    assert note.note == (News.SHARE, 0.75)
    assert note._replace(parameters={frames.NEWS: b"kept_up", frames.FIGURE: b"much"}).note is None
    names = {"busy_reqs": "streams", "x0": "link"}
    told = Frame(frames.PONG, 1, {frames.REPORT: b"x0:0.5;busy_reqs:12;queue:3;x0:9"})
    assert told.load(names) == api.Load(12.0, 0.5)
    assert Frame(frames.PONG, 1, {frames.REPORT: b"x0:;;:1;busy_reqs"}).load(names) == api.Load()


def test_only_what_proves_that_nothing_ran_is_such_an_ending() -> None:
    proof = {("not sent", None), ("no connection", None), ("release", 34), ("release", 102)}
    assert {seen for seen, ending in BINARY_ENDINGS.items() if ending in NEVER_RAN} == proof
    assert BINARY_ENDS[16] is Ending.SERVED and BINARY_ENDS[None] is Ending.BROKEN


ROWS = {"s-1": (2905, 0), "s-2": (2906, 1)}


def test_an_answer_tells_the_list_and_changes_are_found() -> None:
    serial, entries = read_answer(reply(query(7), 5, ROWS), 7)
    assert serial == 5 and [one.standing for one in entries] == [Standing.READY, Standing.DRAINING]
    one = entries[0]
    assert (one.name, one.address, one.zone, one.kind, one.weight) == (
        "s-1",
        ("127.0.0.1", 2905),
        "east",
        "std",
        1,
    )
    roster = Roster(["west", "east"], ["std"], 0)
    roster.start(4, [[one]])
    assert roster.whole()[0] is Scope.CACHED
    changed = roster.answered(serial, entries, 9)
    assert changed == [entries[1]] and roster.rows(changed)[0].zone == 1
    assert roster.answered(4, [], 9) is None, "an older list counts for nothing"
    gone = roster.answered(6, [entries[1]], 9)
    assert gone is not None and [(g.name, g.standing) for g in gone] == [("s-1", Standing.GONE)]


def test_a_host_at_another_address_is_another_process_that_begins_then() -> None:
    roster = Roster(["east"], ["std"], 0)
    one = read_answer(reply(query(7), 5, ROWS), 7)[1][0]
    roster.start(4, [[one]])
    there = one._replace(address=("127.0.0.1", 9))
    assert roster.answered(5, [there], 77) == [there._replace(started=77)]
    assert roster.answered(6, [there], 88) == [], "once"
    later = one._replace(started=99)
    assert roster.answered(7, [later], 100) == [later], "the list's own word goes first"


@given(st.integers(0, 2000), st.integers(1, 255))
def test_a_spoilt_answer_is_unsound_or_a_list_and_nothing_else(place: int, change: int) -> None:
    raw = bytearray(reply(query(7), 5, ROWS))
    raw[place % len(raw)] ^= change
    try:
        serial, _ = read_answer(bytes(raw), 7)
    except Unsound:
        return
    assert serial >= 0


def test_failures_short_answers_and_foreign_ones_are_unsound() -> None:
    good = reply(query(7), 5, ROWS)
    for raw in (good[:3] + b"\x82" + good[4:], good[:2] + b"\x87" + good[3:], good[:60], b"", query(7)):
        with pytest.raises(Unsound):
            read_answer(raw, 7)
    with pytest.raises(Unsound):
        read_answer(good, 8)
    assert dns.message.from_wire(query(7)).payload >= 8000


WITHOUT_DESCRIPTORS = """
import resource, sys
from burlmast.node.names import read_answer
data = sys.stdin.buffer.read()
resource.setrlimit(resource.RLIMIT_NOFILE, (3, 3))
serial, entries = read_answer(data, 7)
print(serial, len(entries))
"""


def test_the_first_answer_is_read_where_no_descriptor_is_left() -> None:
    command = [sys.executable, "-c", WITHOUT_DESCRIPTORS]
    done = subprocess.run(command, input=reply(query(7), 5, ROWS), capture_output=True, check=False)
    assert done.stdout.split() == [b"5", str(len(ROWS)).encode()], done.stderr.decode()


@given(st.lists(st.sampled_from(Happening), max_size=40))
def test_the_question_is_asked_again_whatever_comes(happenings: list[Happening]) -> None:
    schedule, now = QuerySchedule(3), 0
    for happening in happenings:
        now = schedule.due if happening is Happening.DUE else now
        schedule.take(now, happening)
        assert schedule.due <= now + QUERY_INTERVAL
    assert schedule.take(schedule.due, Happening.DUE) is not Effect.NOTHING


def test_late_answers_are_taken_for_a_while_and_none_after_a_move() -> None:
    schedule, now, numbers = QuerySchedule(3), 0, []
    for _ in range(12):
        schedule.take(now, Happening.DUE)
        numbers.append(schedule.number)
        now = schedule.due
    assert schedule.asked_at(numbers[0]) == 0 and schedule.asked_at(numbers[-1]) is not None
    assert schedule.asked_at(numbers[0] ^ 1) is None or numbers[0] ^ 1 in numbers
    now += ANSWER_TAKEN_FOR
    schedule.take(now, Happening.DUE)
    assert schedule.asked_at(numbers[0]) is None
    schedule.take(now, Happening.MOVED)
    remaining = [number for number in numbers if schedule.asked_at(number) is not None]
    assert remaining in ([], [schedule.number])


def test_a_new_socket_is_tried_later_each_time() -> None:
    schedule, now, effects = QuerySchedule(3), 0, []
    for _ in range(40):
        effects.append(schedule.take(now, Happening.DUE))
        now = schedule.due
    new = [place for place, effect in enumerate(effects) if effect is Effect.QUERY_ON_NEW_SOCKET]
    assert new == [4, 12, 28] and set(effects) == {Effect.QUERY, Effect.QUERY_ON_NEW_SOCKET}


def test_answers_that_come_late_and_steadily_do_not_put_off_the_next_query() -> None:
    # Guards against a pause of a whole answer's time: each late answer moved the next query away.
    schedule, now, asked = QuerySchedule(3), 0, []
    while now < 10 * QUERY_INTERVAL:
        if schedule.take(now, Happening.DUE) is not Effect.NOTHING:
            asked.append(now)
        schedule.take(now + 1, Happening.ANSWERED)
        now += QUERY_INTERVAL // 2
    assert asked == [place * QUERY_INTERVAL for place in range(10)]


def test_no_two_queries_that_may_be_answered_share_a_number() -> None:
    # Guards against an old answer that counts as young: its number had been drawn again.
    for seed in range(200):
        schedule, now, numbers = QuerySchedule(seed), 0, []
        while now <= ANSWER_TAKEN_FOR:
            schedule.take(now, Happening.DUE)
            numbers.append(schedule.number)
            now = schedule.due
        assert len(set(numbers)) == len(numbers)
        assert schedule.asked_at(numbers[0]) == 0 and len(numbers) == 1 + ANSWER_TAKEN_FOR // QUERY_INTERVAL


def test_a_list_is_settled_once_all_from_before_the_start_counts_as_told() -> None:
    roster = Roster([], [], 100)
    assert not roster.settled(100 + TOLD_BY), "it may have been asked for earlier"
    assert roster.settled(100 + TOLD_BY + QUERY_INTERVAL)


def test_events_of_the_start_and_wrong_ones() -> None:
    row: dict[str, Any] = {
        "instanceId": "s-1",
        "hostPort": "10.0.0.1:9",
        "lifecycle": "Ready",
        "startedAtMs": 5,
    }
    (one,) = read_event({"pool": {"instances": [row]}})
    assert one.started == 5_000_000 and one.address == ("10.0.0.1", 9)
    for wrong in ({"hostPort": "10.0.0.1"}, {"lifecycle": "Odd"}, {"cell": "x"}, {"weight": None}):
        with pytest.raises(Unsound):
            read_event({"pool": {"instances": [{**row, **wrong}]}})
    with pytest.raises(Unsound):
        read_event({"pool": None})


def test_wrong_configurations_are_named_in_one_line(tmp_path: Path) -> None:
    good = {
        "name": "n0", "listen": "127.0.0.1:1", "seed": "ff", "limits": {"sockets": 256},
        "resolver": "127.0.0.1:2",
        "known": {"rev": 1, "notices": []}, "settings": SETTINGS,
    }  # fmt: skip
    path = tmp_path / "c.json"
    path.write_text(json.dumps(good))
    told = read(path)
    assert told.plans == {"paid": 0} and sum(told.parts) < 256
    assert from_variables({"ROUTER_CONFIG": str(path), "ROUTER_NAME": "n3"})[1].name == "n3"
    broken: list[Any] = [
        {key: value for key, value in good.items() if key != missing} for missing in good if missing != "name"
    ]
    broken += [{**good, "listen": "x"}, {**good, "seed": "zz"}, {**good, "limits": []}, [], None]
    for one in broken:
        path.write_text(json.dumps(one))
        with pytest.raises(BadConfiguration) as why:
            read(path)
        assert "\n" not in str(why.value)
    for variables in ({}, {"ROUTER_CONFIG": str(tmp_path / "none")}):
        with pytest.raises(BadConfiguration):
            from_variables(variables)
