"""A client that asks far too much, on one connection of a real gateway process: the others are served."""

from __future__ import annotations

import statistics

import pytest
from hypothesis import given
from hypothesis import strategies as st
from overload_trial import FLOODS, MEMORY_MB, PLAN, Measured, play

from burlmast.node.request_queue import (
    BYTES_MOST,
    CONNECTION_BYTES_MOST,
    REQUESTS_MOST,
    WAIT_MOST,
    RequestQueue,
)
from burlmast.node.request_turns import RequestTurns
from burlmast.node.session_limit import MB, PROCESS_MB, SESSION_BYTES, SESSIONS_LEAST, session_limit

GOAL = PLAN["goalTimeMs"] / 1000  # type: ignore[operator]
DEADLINE = 2.9  # seconds: what the measured client's set-ups leave
MS = 1_000_000


def check(found: Measured) -> None:
    """All were answered before their deadline, nearly all within the class' goal, in the memory there is."""
    waits = sorted(found.waits)
    assert not found.crashed
    assert found.unanswered == 0 and waits[-1] < DEADLINE, found.report()
    assert waits[len(waits) * 9 // 10] < GOAL, found.report()
    assert max(found.memory_mb) < MEMORY_MB, found.report()
    assert set(found.answers) == {"answer"}, found.report()


@pytest.mark.parametrize(
    "flood", ["new_ids", "given_up", "one_id", "wrong_form", "pings", "unknown_releases"]
)
def test_others_are_served_in_time_beside_a_flood_on_one_connection(flood: str) -> None:
    # Guards against requests decided in the order of arrival, whoever asks: others waited for seconds.
    check(play(FLOODS[flood], 4.0))


def test_what_the_flood_asks_is_answered_before_its_deadline_too() -> None:
    # Guards against requests that are left unread or unanswered to keep the others' answers fast.
    found = play(FLOODS["new_ids"], 6.0, most=10_000)
    assert found.flood is not None and found.flood.resets == 0
    assert found.flood.answered == found.flood.sent == 10_000, found.flood
    assert found.flood.longest_wait < DEADLINE, found.flood


def test_sessions_handed_over_at_unlisted_hosts_are_ended_and_leave_nothing_behind() -> None:
    # Guards against a record in the decisions for each name of a host that a client makes up.
    check(play(FLOODS["handed_over_unlisted"], 4.0))


def test_ends_that_a_flood_never_acknowledges_cost_bounded_memory_and_time() -> None:
    # Guards against ends that are kept and sent again for 30 s, however many a client leaves unacknowledged.
    check(play(FLOODS["handed_over_unlisted"], 6.0, acknowledges=False))


def test_sessions_handed_over_by_a_clients_word_alone_leave_the_others_room_and_time() -> None:
    # Guards against sessions without number: 40,000 of them kept all timers from their time.
    check(play(FLOODS["handed_over"], 6.0))


def test_one_connection_does_not_take_all_the_sessions_that_memory_allows() -> None:
    # Guards against others who are refused since one client's sessions fill the gateway.
    found = play(FLOODS["new_ids"], 8.0, plays=60.0)
    check(found)
    assert found.flood is not None and found.flood.answers["answer"] <= session_limit(MEMORY_MB) // 2


@pytest.mark.parametrize("memory", [0, 32, 64, 192])
def test_all_sessions_fit_into_half_of_the_memory_that_is_left(memory: int) -> None:
    most = session_limit(memory)
    assert most == SESSIONS_LEAST or PROCESS_MB + 2 * most * SESSION_BYTES / MB <= memory


# The queue, without I/O.


def queue_of(lanes: dict[str, int]) -> RequestQueue[str, int]:
    queue: RequestQueue[str, int] = RequestQueue()
    for connection, number in lanes.items():
        for place in range(number):
            assert queue.add(f"{connection}{place}", connection, place, 10, 0, 10**10)
    return queue


def taken(queue: RequestQueue[str, int]) -> list[str]:
    names = []
    while (request := queue.take()) is not None:
        names.append(request.name)
    return names


def test_connections_take_turns_and_each_keeps_its_order() -> None:
    queue = queue_of({"a": 4, "b": 1, "c": 2})
    assert taken(queue) == ["a0", "b0", "c0", "a1", "c1", "a2", "a3"] and len(queue) == 0


def test_a_lane_and_the_queue_have_bounds_and_room_comes_back() -> None:
    queue = queue_of({"a": REQUESTS_MOST})
    assert not queue.add("more", "a", 0, 10, 0, 10**10) and queue.add("b0", "b", 0, 10, 0, 10**10)
    assert queue.take() is not None and queue.add("more", "a", 0, 10, 0, 10**10)
    full: RequestQueue[str, int] = RequestQueue()
    assert not full.add("x", "a", 0, CONNECTION_BYTES_MOST + 1, 0, 10**10)
    for connection in range(BYTES_MOST // CONNECTION_BYTES_MOST):
        assert full.add(f"{connection}", f"c{connection}", 0, CONNECTION_BYTES_MOST, 0, 10**10)
    assert not full.add("y", "another", 0, 1, 0, 10**10)
    full.cancel("0")
    assert full.add("y", "another", 0, 1, 0, 10**10)


def test_a_request_waits_half_a_second_or_half_of_its_patience() -> None:
    queue: RequestQueue[str, int] = RequestQueue()
    queue.add("long", "a", 0, 10, 0, 10**10)
    queue.add("short", "a", 0, 10, 0, 300 * MS)
    assert [request.name for request in queue.expired(149 * MS)] == []
    assert [request.name for request in queue.expired(150 * MS)] == ["short"]
    assert [request.name for request in queue.expired(WAIT_MOST)] == ["long"] and taken(queue) == []


@given(st.lists(st.tuples(st.sampled_from("atcde"), st.sampled_from("xyz"), st.integers(0, 5)), max_size=60))
def test_the_queue_keeps_nothing_of_what_has_left_it(steps: list[tuple[str, str, int]]) -> None:
    queue: RequestQueue[str, int] = RequestQueue()
    expected: dict[str, str] = {}
    for place, (step, connection, number) in enumerate(steps):
        name = f"{connection}{number}"
        if step == "a" and name not in expected and queue.add(name, connection, 0, 7, place, 10**10):
            expected[name] = connection
        elif step == "t" and (request := queue.take()) is not None:
            assert expected.pop(request.name) == request.connection
        elif step == "c":
            assert (queue.cancel(name) is None) == (expected.pop(name, None) is None)
        elif step == "d":
            dropped = {request.name for request in queue.drop(connection)}
            assert dropped == {one for one, of in expected.items() if of == connection}
            expected = {one: of for one, of in expected.items() if of != connection}
        elif step == "e":
            assert queue.expired(place) == []
        assert len(queue) == len(expected)
    assert sorted(taken(queue)) == sorted(expected)
    assert queue._size == 0 and not queue._lanes and not queue._sizes


def test_a_connection_with_nothing_waiting_is_decided_on_in_the_next_turn() -> None:
    now, decided, refused, soon = [0], list[str](), list[str](), []

    def decide(request: object) -> None:
        decided.append(request.name)  # type: ignore[attr-defined]
        now[0] += MS  # a decision takes so long

    turns: RequestTurns[str, int] = RequestTurns(
        lambda: now[0], soon.append, decide, lambda request, reason: refused.append(request.name)
    )
    for place in range(200):
        turns.arrive(f"a{place}", "a", 0, 10, 10**10)
    turns.arrive("b0", "b", 0, 10, 10**10)
    assert "b0" not in decided
    soon.pop()()
    assert "b0" in decided and len(decided) < 10 and statistics.mode(name[0] for name in decided) == "a"
    now[0] += WAIT_MOST
    soon.pop()()
    assert len(decided) < 10 and len(refused) + len(decided) == 201


@pytest.mark.parametrize("how", ["expired", "cancelled"])
def test_a_request_after_all_that_waited_has_left_the_queue_is_decided_on(how: str) -> None:
    # Guards against a lane of requests that are over: the next one there waited for a turn that never came.
    now, decided, refused, soon = [0], list[str](), list[str](), []

    def decide(request: object) -> None:
        decided.append(request.name)  # type: ignore[attr-defined]
        now[0] += 5 * MS

    turns: RequestTurns[str, int] = RequestTurns(
        lambda: now[0], soon.append, decide, lambda request, reason: refused.append(request.name)
    )
    for place in range(20):
        turns.arrive(f"a{place}", "a", 0, 10, 10**10)
    if how == "cancelled":
        for place in range(20):
            turns.queue.cancel(f"a{place}")
    now[0] += WAIT_MOST
    while soon:
        soon.pop()()
    assert len(turns.queue) == turns.queue.waiting("a") == 0
    turns.arrive("later", "a", 0, 10, 10**10)
    while soon:
        soon.pop()()
    assert "later" in decided
