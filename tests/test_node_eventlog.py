"""The gateway's records: what is unusual is written within a budget, ordinary steps for sampled sessions."""

from __future__ import annotations

from burlmast.node.eventlog import BURST, REFILL, RESERVED, SAMPLED_ONE_IN, EventLog, sampled, session_name


class Clock:
    """Time that a test moves."""

    def __init__(self) -> None:
        self.now = 5

    def __call__(self) -> int:
        return self.now


def test_a_record_names_its_event_and_fields() -> None:
    lines: list[str] = []
    EventLog(Clock(), lines.append).record("end_sent", session=session_name(10), attempt=2, reason="cut")
    assert lines == ["end_sent session=000000000000000a attempt=2 reason=cut"]


def test_records_beyond_the_budget_are_counted_in_the_next_line() -> None:
    lines: list[str] = []
    clock = Clock()
    log = EventLog(clock, lines.append)
    for _ in range(BURST + 3):
        log.record("end_sent")
    assert len(lines) == BURST and log.dropped == 3
    clock.now += REFILL
    log.record("end_sent")
    assert lines[-1] == "end_sent dropped=3" and log.dropped == 0
    log.record("end_sent")
    assert len(lines) == BURST + 1


def test_all_steps_of_a_sampled_session_are_traced_and_none_of_another() -> None:
    names = [session_name(number) for number in range(4 * SAMPLED_ONE_IN)]
    chosen = [name for name in names if sampled(name)]
    lines: list[str] = []
    log = EventLog(Clock(), lines.append)
    for name in names:
        log.trace("attempt_sent", name)
        log.trace("attempt_ended", name)
    assert 0 < len(chosen) < len(names) // 4
    assert lines == [
        f"{event} session={name}" for name in chosen for event in ("attempt_sent", "attempt_ended")
    ]


def test_ordinary_steps_leave_lines_for_what_is_unusual() -> None:
    lines: list[str] = []
    log = EventLog(Clock(), lines.append)
    chosen = next(name for name in map(session_name, range(10_000)) if sampled(name))
    for _ in range(BURST):
        log.trace("request_refused", chosen)
    assert len(lines) == BURST - RESERVED
    for _ in range(RESERVED):
        log.record("end_given_up")
    assert len(lines) == BURST
