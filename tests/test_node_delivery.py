"""Ends of sessions are delivered at least once: by time, loss and acknowledgement, on fake connections."""

from __future__ import annotations

from collections.abc import Callable
from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from burlmast.node.delivery import (
    ANSWER_DELIVERED,
    GIVE_UP_AFTER,
    LATE,
    PROMPT,
    RESEND_AFTER,
    RESEND_AFTER_UNPROVEN,
    RESENDS_MOST,
    SLOW_RESEND_AFTER,
    SLOWEST_RESEND_AFTER,
    UNACKNOWLEDGED_KEPT,
    UNACKNOWLEDGED_MOST,
    UNACKNOWLEDGED_MOST_OF_CONNECTION,
    EndDelivery,
)
from burlmast.node.eventlog import EventLog

MS = 1_000_000


class Connection:
    """A viewers' connection that keeps what is written on it."""

    def __init__(self, name: str, established: int = 0, acknowledged: int = 0, asked: int = 0) -> None:
        self.name, self.established, self.acknowledged, self.asked = name, established, acknowledged, asked
        self.sound, self.usable, self.last_received, self.delivered_until = True, True, 0, 0
        self.written: list[bytes] = []
        self.times: list[int] = []
        self.clock: Callable[[], int] = lambda: 0

    def write(self, data: bytes) -> None:
        self.written.append(data)
        self.times.append(self.clock())


class Timer:
    """A timer that may be cancelled."""

    def __init__(self, due: int, work: Callable[[], None]) -> None:
        self.due, self.work, self.cancelled = due, work, False

    def cancel(self) -> None:
        self.cancelled = True


class World:
    """Connections, a clock that a test moves, and one delivery."""

    def __init__(self, *connections: Connection) -> None:
        self.connections, self.time, self.timers = list(connections), 0, list[Timer]()
        for connection in connections:
            connection.clock = lambda: self.time
        self.lines: list[str] = []
        events = EventLog(lambda: self.time, self.lines.append)
        self.delivery = EndDelivery(lambda: self.connections, lambda: self.time, self._later, events)

    def _later(self, seconds: float, work: Callable[[], None]) -> Timer:
        self.timers.append(Timer(self.time + round(seconds * 1e9), work))
        return self.timers[-1]

    def pass_time(self, nanoseconds: int) -> None:
        end = self.time + nanoseconds
        while self.timers and min(timer.due for timer in self.timers) <= end:
            timer = min(self.timers, key=lambda timer: timer.due)
            self.timers.remove(timer)
            self.time = max(self.time, timer.due)
            if not timer.cancelled:
                timer.work()
        self.time = end

    def lose(self, connection: Connection) -> None:
        connection.usable = False
        self.connections.remove(connection)
        self.delivery.connection_lost(connection)

    def connect(self, connection: Connection) -> Connection:
        connection.clock = lambda: self.time
        self.connections.append(connection)
        self.delivery.connection_made()
        return connection


def test_an_end_goes_to_the_connection_that_asked_and_stays_there_once_acknowledged() -> None:
    own, other = Connection("own"), Connection("other", established=5, acknowledged=5)
    world = World(own, other)
    world.delivery.send("a", b"end", own)
    world.delivery.acknowledge("a", own)
    world.pass_time(GIVE_UP_AFTER)
    assert (own.written, other.written, world.delivery.pending) == ([b"end"], [], {})
    assert all(timer.cancelled for timer in world.timers) or not world.timers


def test_an_end_that_nobody_acknowledges_goes_to_each_connection_in_turn_until_it_is_given_up() -> None:
    connections = [Connection(f"c{number}") for number in range(4)]
    world = World(*connections)
    world.delivery.send("a", b"end", connections[0])
    world.pass_time(PROMPT - RESEND_AFTER - MS)
    assert [connection.written for connection in connections] == [[b"end"]] * 4
    world.pass_time(2 * PROMPT)
    counts = [len(connection.written) for connection in connections]
    assert min(counts) >= 2 and max(counts) - min(counts) <= 1, "what each carried may have been lost"
    world.pass_time(GIVE_UP_AFTER)
    sends = sum(len(connection.written) for connection in connections)
    assert sends <= LATE // SLOW_RESEND_AFTER + (GIVE_UP_AFTER - LATE) // SLOWEST_RESEND_AFTER + len(
        connections
    )
    assert sends <= GIVE_UP_AFTER // SLOW_RESEND_AFTER + len(connections)
    assert not world.delivery.pending and f"end_given_up session=a sends={sends}" in world.lines


def test_an_end_that_no_connection_passed_for_twenty_seconds_goes_out_on_the_next_one() -> None:
    world = World(Connection("own"))
    (own,) = world.connections
    world.delivery.send("a", b"end", own)
    world.pass_time(20_000 * MS)
    new = world.connect(Connection("new"))
    world.pass_time(SLOWEST_RESEND_AFTER + MS)
    assert new.written
    world.delivery.acknowledge("a", new)
    assert not world.delivery.pending


def test_an_end_on_the_only_connection_is_repeated_there_no_sooner_than_the_slow_pace() -> None:
    world = World(Connection("only"))
    (only,) = world.connections
    world.delivery.send("a", b"end", only)
    world.pass_time(SLOW_RESEND_AFTER - MS)
    assert only.written == [b"end"]
    world.pass_time(RESEND_AFTER + 2 * MS)
    assert only.written == [b"end"] * 2
    world.delivery.acknowledge("a", only)
    world.pass_time(GIVE_UP_AFTER)
    assert only.written == [b"end"] * 2


def test_two_substitutes_are_tried_within_the_prompt_time_though_the_answer_may_be_held_back() -> None:
    own, unread, read = Connection("own"), Connection("unread", established=1), Connection("read")
    world = World(own, unread, read)
    world.pass_time(MS)
    world.delivery.send("before", b"before", own)  # its timer is armed when the next end comes
    world.delivery.acknowledge("before", own)
    world.pass_time(RESEND_AFTER // 3)
    world.delivery.send("a", b"end", own, answered_at=world.time)
    world.pass_time(RESEND_AFTER_UNPROVEN + RESEND_AFTER)
    assert read.written == [b"end"]


def test_an_end_on_a_lost_connection_is_sent_at_once_on_another() -> None:
    own, other = Connection("own"), Connection("other")
    world = World(own, other)
    world.delivery.send("a", b"end", own)
    world.pass_time(RESEND_AFTER // 2)
    world.lose(own)
    assert other.written == [b"end"]


def test_an_end_without_a_connection_goes_to_each_that_comes_until_one_acknowledges() -> None:
    world = World()
    world.delivery.send("a", b"end", None)
    world.pass_time(3_000 * MS)
    health_check = world.connect(Connection("health check"))
    assert health_check.written == [b"end"]
    world.pass_time(20 * MS)
    world.lose(health_check)
    world.pass_time(3_000 * MS)
    front = world.connect(Connection("front"))
    assert front.written == [b"end"]
    world.delivery.acknowledge("a", front)
    assert not world.delivery.pending


def test_an_end_does_not_overtake_an_answer_that_may_be_held_back() -> None:
    own, other = Connection("own"), Connection("other", acknowledged=1)
    world = World(own, other)
    world.pass_time(MS)
    world.delivery.send("a", b"end", own, answered_at=world.time)
    world.pass_time(RESEND_AFTER_UNPROVEN - MS)
    assert other.written == []
    world.pass_time(PROMPT - RESEND_AFTER_UNPROVEN)
    assert other.written == [b"end"], "within the second all the same"


@pytest.mark.parametrize("proof", ["a later acknowledgement", "its age"])
def test_an_end_whose_answer_was_delivered_is_sent_elsewhere_soon(proof: str) -> None:
    own, other = Connection("own"), Connection("other", acknowledged=1)
    world = World(own, other)
    world.pass_time(MS)
    answered_at = world.time
    if proof == "its age":
        world.pass_time(ANSWER_DELIVERED)
    else:
        world.pass_time(MS)
        world.delivery.send("b", b"before", own)
        world.pass_time(MS)
        world.delivery.acknowledge("b", own)
    world.delivery.send("a", b"end", own, answered_at=answered_at)
    world.pass_time(2 * RESEND_AFTER)
    assert other.written == [b"end"]


def test_a_message_that_wants_no_acknowledgement_is_sent_again_on_a_loss_alone() -> None:
    own, other = Connection("own"), Connection("other")
    world = World(own, other)
    world.delivery.send("a", b"move", own, wants_acknowledgement=False)
    world.pass_time(2 * RESEND_AFTER)
    assert other.written == []
    world.lose(own)
    assert other.written == [b"move"]
    world.pass_time(UNACKNOWLEDGED_KEPT + RESEND_AFTER)
    assert not world.delivery.pending


def test_a_message_that_wants_no_acknowledgement_goes_to_a_new_connection_only_after_a_loss() -> None:
    own = Connection("own")
    world = World(own)
    world.delivery.send("a", b"move", own, wants_acknowledgement=False)
    world.pass_time(2 * RESEND_AFTER)
    second = world.connect(Connection("second"))
    assert second.written == []
    world.lose(second)
    world.lose(own)
    third = world.connect(Connection("third"))
    assert third.written == [b"move"]


def test_a_closed_delivery_sends_nothing() -> None:
    own, other = Connection("own"), Connection("other")
    world = World(own, other)
    world.delivery.send("a", b"end", own)
    world.delivery.close()
    world.lose(own)
    world.pass_time(GIVE_UP_AFTER)
    assert other.written == []


def test_an_end_whose_connection_is_gone_goes_first_where_ends_were_acknowledged() -> None:
    bad_client = Connection("bad client", asked=400)
    bad_client.last_received = 9
    health_check = Connection("health check")
    health_check.last_received = 10
    front = Connection("front", established=2, acknowledged=1, asked=2)
    silent = Connection("asked once", established=1, asked=1)
    world = World(bad_client, health_check, silent, front)
    world.delivery.send("a", b"end", None)
    assert front.written == [b"end"]
    world.pass_time(RESEND_AFTER)
    assert silent.written == [b"end"]
    assert bad_client.written == health_check.written == []


def test_an_end_goes_first_where_one_was_acknowledged_last() -> None:
    own, cut, alive = Connection("own"), Connection("cut"), Connection("alive")
    world = World(own, cut, alive)
    for connection in (cut, alive):
        world.pass_time(MS)
        world.delivery.send(connection.name, b"before", connection)
        world.delivery.acknowledge(connection.name, connection)
    cut.acknowledged, cut.last_received = 9, 9
    world.delivery.send("a", b"end", own)
    world.pass_time(RESEND_AFTER)
    assert (cut.written, alive.written) == ([b"before"], [b"before", b"end"])


STEPS = st.lists(
    st.tuples(st.sampled_from(["wait", "lose", "connect", "end"]), st.integers(0, 5)), min_size=1, max_size=40
)


@given(STEPS)
def test_whatever_is_lost_a_connection_that_is_read_receives_every_recent_end_and_none_too_often(
    steps: list[tuple[str, int]],
) -> None:
    world = World(Connection("c0"))
    ends: list[str] = []
    everyone = list(world.connections)
    for number, (step, choice) in enumerate(steps):
        if step == "wait":
            world.pass_time(choice * 37 * MS)
        elif step == "lose" and world.connections:
            world.lose(world.connections[choice % len(world.connections)])
        elif step == "connect":
            everyone.append(world.connect(Connection(f"c{number + 1}")))
        elif step == "end":
            preferred = world.connections[choice % len(world.connections)] if world.connections else None
            world.delivery.send(f"s{number}", f"s{number}".encode(), preferred)
            ends.append(f"s{number}")
    reader = world.connect(Connection("reader", acknowledged=1))
    everyone.append(reader)
    world.pass_time(PROMPT)
    assert {written.decode() for written in reader.written} == set(ends)
    for connection in everyone:
        for end in set(connection.written):
            times = [at for at, data in zip(connection.times, connection.written, strict=True) if data == end]
            gaps = [later - earlier for earlier, later in pairwise(times)]
            assert all(gap >= SLOW_RESEND_AFTER for gap in gaps), "not twice within the slow pace"


def test_ends_that_a_connection_never_acknowledges_are_kept_up_to_a_number() -> None:
    # Guards against memory and resends that grow with the ends of a client that acknowledges nothing.
    flood, other = Connection("flood"), Connection("other")
    world = World(flood, other)
    world.delivery.send("kept", b"kept", other)
    for number in range(3 * UNACKNOWLEDGED_MOST_OF_CONNECTION):
        world.delivery.send(f"f{number}", b"end", flood)
    assert len(flood.written) == 3 * UNACKNOWLEDGED_MOST_OF_CONNECTION, "each is sent once at least"
    assert len(world.delivery.pending) == 1 + UNACKNOWLEDGED_MOST_OF_CONNECTION
    assert "kept" in world.delivery.pending, "it gives way to its own connection's ends alone"
    before = len(flood.written) + len(other.written)
    world.pass_time(RESEND_AFTER)
    assert len(flood.written) + len(other.written) - before <= RESENDS_MOST
    world.pass_time(GIVE_UP_AFTER)
    delivery = world.delivery
    assert not delivery.pending and not delivery._sent and not delivery._sent_for


def test_unacknowledged_ends_of_all_connections_are_kept_up_to_a_number() -> None:
    # Guards against many connections, each within its own bound.
    connections = [Connection(f"c{number}") for number in range(6)]
    world = World(*connections)
    for number in range(6 * UNACKNOWLEDGED_MOST_OF_CONNECTION):
        world.delivery.send(f"{number}", b"end", connections[number % 6])
    assert len(world.delivery.pending) == UNACKNOWLEDGED_MOST


def test_ends_that_found_no_connection_are_all_kept_until_one_comes() -> None:
    # Guards against the bound being applied to ends that have never been sent.
    world = World()
    for number in range(2 * UNACKNOWLEDGED_MOST):
        world.delivery.send(f"{number}", b"%d" % number, None)
    assert len(world.delivery.pending) == 2 * UNACKNOWLEDGED_MOST
    late = world.connect(Connection("late"))
    assert len(late.written) == 2 * UNACKNOWLEDGED_MOST
