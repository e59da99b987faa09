"""Judges a trial by what hosts and viewers saw and by the protocol's figures, not by what a gateway believes.

Seconds. Each allowance that lengthens a limit stands in `ALLOWANCES` with the sentence of the protocol page.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from burlmast.trials.cells import (
    CLOSED_BY_A_BOX,
    FOR_GOOD,
    Around,
    Cell,
    Company,
    Connections,
    Fate,
    Message,
)
from burlmast.trials.records import Records, Request, Session

SLACK = 0.05  # by which each limit is longer on sockets
RELEASED_WITHIN = 1.0  # of the host's release
UNSENT_RELEASED_WITHIN = 8.0  # of the end, where no release could be sent
ANSWER_LATE = 0.5  # after its deadline a request without an answer is lost
BESIDE_SETTLES = 9.5  # after this all that stood beside the struck session has to be over
DESTROYS = frozenset(
    (Fate.HELD_RESET, Fate.DROPPED, Fate.CLIENT_FIRST, Fate.CUT, Fate.HELD_DROPPED, *CLOSED_BY_A_BOX)
)


class Allowance(NamedTuple):
    """When more time counts, by which sentence."""

    name: str
    sentence: str
    applies: Callable[[Cell, Records], bool]
    seen_in: str  # a cell that needed it


def _passes_late(cell: Cell, records: Records) -> bool:
    slow = cell.fate in (Fate.DELAYED, Fate.HELD)
    return slow and records.passes_again > 0 and cell.message is not Message.VIEWER_END


def _release_destroyed(cell: Cell, records: Records) -> bool:
    held_for_good = cell.fate is Fate.HELD and cell.duration == FOR_GOOD
    repeat_too = cell.around is Around.NEXT_TOO and cell.fate in (Fate.RESET, Fate.CLOSED)
    destroys = cell.fate in DESTROYS or held_for_good or repeat_too
    return cell.message is not Message.VIEWER_END and destroys


def _no_viewer_connection(cell: Cell, records: Records) -> bool:
    alone = cell.company is Company.ALONE or cell.connections is Connections.ALL
    return cell.message is Message.VIEWER_END and alone


ALLOWANCES = (
    Allowance(
        "a host's release that the hop holds back",
        "within 1 s of the release by the media host: it counts from when the hop passes again",
        _passes_late,
        "host_release-own-alone-held-before-5s-repeats-nothing",
    ),
    Allowance(
        "a host's release that the hop destroys",
        "or, if no release could be sent, within 8 s of its end",
        _release_destroyed,
        "host_release-own-beside-dropped-before-end-repeats-nothing",
    ),
    Allowance(
        "no viewers' connection that passes",
        "what ends it may be sent on any connection from viewers: it counts from when one passes again",
        _no_viewer_connection,
        "viewer_end-own-alone-held-before-5s-repeats-nothing",
    ),
)
PASSES_LATE, RELEASE_DESTROYED, NO_VIEWER_CONNECTION = ALLOWANCES


def limit(cell: Cell, records: Records, session: Session, struck: bool) -> float:
    """By when the viewer of a session has to have its end."""
    prompt = session.ended + RELEASED_WITHIN + SLACK + records.lag
    fault_over = session.established and records.fault_began > session.ended + RELEASED_WITHIN
    if fault_over or (struck and cell.connections is Connections.OTHER):
        return prompt
    if RELEASE_DESTROYED.applies(cell, records):
        since = max(session.ended, records.passes_again if cell.connections is Connections.ALL else 0.0)
        return since + UNSENT_RELEASED_WITHIN + SLACK + records.lag
    no_viewers = NO_VIEWER_CONNECTION.applies(cell, records)
    if cell.fate is Fate.DELAYED and (cell.message is not Message.VIEWER_END or no_viewers):
        prompt += cell.duration
    late = PASSES_LATE.applies(cell, records) or no_viewers
    if late:
        return max(prompt, records.passes_again + RELEASED_WITHIN + SLACK + records.lag)
    return prompt


def latest(cell: Cell) -> float:
    """Seconds after the fault began beyond which nothing is waited for."""
    lasts = cell.duration if cell.duration != FOR_GOOD else 2.0
    return lasts + UNSENT_RELEASED_WITHIN + 3.0


def settled(cell: Cell, records: Records) -> bool:
    """Whether nothing of the struck session is open any more."""
    request = records.requests.get(records.struck)
    return request is not None and _over(records, request)


def all_settled(records: Records) -> bool:
    """Whether nothing of any session is open any more."""
    return all(_over(records, request) for request in records.requests.values())


def _over(records: Records, request: Request) -> bool:
    session = records.sessions.get(request.name)
    if request.ended_by_viewer:
        return session is None or bool(session.released_by_gateway or session.ended)
    if not request.answers:
        return request.connection_lost
    if request.established:
        return bool(request.ends)
    return session is None or bool(session.released_by_gateway or session.ended)


def broken(cell: Cell, records: Records) -> list[str]:
    """What broke a rule, a line each."""
    lines = [f"crash: the gateway ended with {records.gateway_ended}"] if records.gateway_ended else []
    for sign in ("Traceback", "the decisions failed"):
        if sign in records.log:
            lines.append(f"crash: {sign} in the log")
    for request in records.requests.values():
        lines += _answers(cell, records, request)
        session = records.sessions.get(request.name)
        if session is not None:
            lines += _session(cell, records, request, session)
    return lines


def _answers(cell: Cell, records: Records, request: Request) -> list[str]:
    if request.connection_lost or _answer_is_viewers_hop(cell, records, request):
        return []
    if not request.answers:
        return [f"lost: {request.name} has no answer"]
    answered = request.answers[0][0]
    if answered > request.deadline + ANSWER_LATE + SLACK + records.lag:
        return [f"lost: {request.name} was answered {answered - request.deadline:.3f} s after its deadline"]
    if len(request.answers) > 1:
        return [f"lost: {request.name} has {len(request.answers)} answers"]
    return []


def _answer_is_viewers_hop(cell: Cell, records: Records, request: Request) -> bool:
    """An answer has one connection to go on, and the viewers' hop is struck."""
    return cell.message is Message.VIEWER_END and request.deadline + ANSWER_LATE >= records.fault_began


def _session(cell: Cell, records: Records, request: Request, session: Session) -> list[str]:
    struck = request.name == records.struck
    if request.ended_by_viewer:
        return _ended_by_viewer(cell, records, request, session)
    if request.answers and not request.established:
        return _unwanted(cell, records, request, session)
    if not request.established or not session.ended:
        return []
    due = limit(cell, records, session, struck)
    if not request.ends:
        return [f"left standing: {request.name} ended at its host, its viewer has no release"]
    if min(request.ends) > due:
        late = min(request.ends) - session.ended
        return [
            f"released late: {request.name} {late:.3f} s after its end, {due - session.ended:.3f} allowed"
        ]
    return []


def _ended_by_viewer(cell: Cell, records: Records, request: Request, session: Session) -> list[str]:
    due = max(request.ended_by_viewer, records.passes_again) + UNSENT_RELEASED_WITHIN + SLACK + records.lag
    over = session.released_by_gateway or session.ended
    if not over:
        return [f"left standing: {request.name} at its host, its viewer has ended it"]
    if over > due:
        return [f"released late: {request.name} at its host, {over - request.ended_by_viewer:.3f} s"]
    return []


def _unwanted(cell: Cell, records: Records, request: Request, session: Session) -> list[str]:
    """What a host established after its viewer was refused has to end there."""
    if session.released_by_gateway or session.ended or _unreachable(cell):
        return []
    return [f"left standing: {request.name} at its host, its viewer was refused"]


def _unreachable(cell: Cell) -> bool:
    return cell.duration == FOR_GOOD and cell.connections is Connections.ALL
