"""The soak's judge: reads the records of viewers and hosts by the protocol's figures.

Whatever lengthens a limit or excuses a record stands in `ALLOWANCES`, with the sentence of the pages;
`Soak.allowed` counts where one made the difference. What the viewers' link adds to an answer's time is
measured and taken off: the record is made behind the link.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from soak_records import RequestRecord, SessionRecord
from soak_schedule import CUT_WITHIN, END_WITHIN, GRACE, LATE_ANSWER, SLACK, TOLD_AFTER_FAILURE, TOLD_WITHIN

if TYPE_CHECKING:
    from node_soak import Soak


class Allowance(NamedTuple):
    """What the judge lets pass, the sentence that allows it, and a seed whose trace needed it."""

    what: str
    sentence: str
    seed: int


ALLOWANCES = {
    "overtaken": Allowance(
        "an end that comes before its session's answer, which the viewers' link held back",
        "what ends it may be sent on any connection from viewers",
        44,
    ),
    "never_read": Allowance(
        "a request on a connection of which the link had passed nothing when the gateway closed it",
        "One that has been read and whose connection is closed with no answer is lost",
        3,
    ),
    "killed": Allowance(
        "a session of a process that was killed, unless its next life was told of it",
        "When a set-up has `at`, it [...] may name what the gateway already holds",
        1,
    ),
    "tried_again": Allowance(
        "a session at a host whose answer did not arrive, and that was established at another",
        "[an attempt is out] until its end is written or it is given up",
        6,
    ),
    "link_well": Allowance(
        "a release that a host's link held back or destroyed counts from when the link passes again",
        "within 1 s of the release by the media host",
        8,
    ),
}


class Judge:
    """Reads the records of a run by the protocol's figures."""

    def __init__(self, soak: Soak) -> None:
        self.soak = soak

    def judge(self) -> None:
        self.answers()
        self.ends()
        self.drains()
        self.two_attempts()

    def answers(self) -> None:
        for record in self.soak.requests.values():
            if len(record.answers) > 1 and not self.overtaken(record):
                self.soak.broken.append(f"lost: {record.name}: {len(record.answers)} answers")
            if record.cancelled or record.voided:
                continue
            limit = record.deadline + LATE_ANSWER + SLACK + self.soak.lag
            if not record.answers:
                if not record.connection.closed and self.soak.reachable(record.connection):
                    self.soak.broken.append(f"lost: {record.name}: no answer")
            elif record.answers[0][0] > limit + self.held_back(record):
                late = record.answers[0][0] - record.deadline
                self.soak.broken.append(f"lost: {record.name}: answered {late:.3f} s after its deadline")

    def overtaken(self, record: RequestRecord) -> bool:
        """See `ALLOWANCES`."""
        (_, first), (at, second), *more = record.answers
        held = any(since <= at and to >= record.sent for since, to in self.soak.held)
        allowed = not more and (first, second) == ("release", "answer") and held
        self.soak.allowed["overtaken"] += allowed
        return allowed

    def held_back(self, record: RequestRecord) -> float:
        """The seconds for which the viewers' link held this request or its answer."""
        relayed = record.connection.transport.get_extra_info("peername")
        if relayed is not None and relayed[1] != self.soak.link.port:
            return 0.0
        answered = record.answers[0][0]
        return sum(max(0.0, min(answered, to) - max(record.sent, since)) for since, to in self.soak.held)

    def owed(self, session: SessionRecord) -> RequestRecord | None:
        """The record of a viewer that is owed this session's end; see `ALLOWANCES`: killed, tried_again."""
        record = self.soak.requests.get(session.name)
        if record is None or record.cancelled or session.ended_by_gateway or not session.ended:
            return None
        if not record.answers or record.answers[0][1] != "answer" or self.tried_again(session):
            return None
        # A process that was killed owes nothing, unless its next life was told of the session.
        known_since = max(session.established, record.handed_over)
        over = max(session.ended, self.link_well(session)) + END_WITHIN + SLACK
        killed = any(known_since <= kill <= over for kill in self.soak.kills)
        self.soak.allowed["killed"] += killed and not record.ends
        return None if killed and not record.ends else record

    def tried_again(self, session: SessionRecord) -> bool:
        """Whether this host's answer did not reach the gateway in time, and another one's did."""
        allowed = any(
            other.name == session.name and other.established > session.established
            for other in self.soak.sessions
        )
        self.soak.allowed["tried_again"] += allowed
        return allowed

    def unreleased(self) -> list[SessionRecord]:
        """Sessions whose viewer is owed an end that has not come."""
        found = []
        for session in self.soak.sessions:
            record = self.owed(session)
            if record is not None and not record.ends:
                found.append(session)
        return found

    def ends(self) -> None:
        for session in self.soak.sessions:
            record = self.owed(session)
            if record is None:
                continue
            if not record.ends:
                how = (
                    f"released {session.released - self.soak.began:.3f}" if session.released else "no release"
                )
                self.soak.broken.append(
                    f"left standing: {session.name} at {session.host}: ended "
                    f"{session.ended - self.soak.began:.3f}, {how}, handed over {record.handed_over}"
                )
                continue
            since = max(session.ended, record.answers[0][0], self.link_well(session))
            within = END_WITHIN if session.released else CUT_WITHIN
            took = record.ends[0] - since
            promptly = took <= END_WITHIN + SLACK + self.soak.lag
            self.soak.allowed["link_well"] += promptly and record.ends[0] - session.ended > END_WITHIN + SLACK
            if took > within + SLACK + self.soak.lag:
                self.soak.broken.append(
                    f"released late: {session.name} at {session.host}: {took:.3f} s after "
                    f"{since - self.soak.began:.3f} (release written: {bool(session.released)})"
                )

    def link_well(self, session: SessionRecord) -> float:
        """See `ALLOWANCES`: from when on its host's link let a session's release or its repetition pass."""
        host = next(host for host in self.soak.hosts if host.name == session.host)
        end = session.ended + END_WITHIN
        return max((to for since, to in host.cut if since <= end and to >= session.ended), default=0.0)

    def drains(self) -> None:
        for host in self.soak.hosts:
            since = self.soak.gone.get(host.name)
            if since is None:
                continue
            told = since + TOLD_WITHIN
            if self.soak.names_back > since - TOLD_WITHIN or self.soak.names_down:
                told = max(since, self.soak.names_back) + TOLD_AFTER_FAILURE
            limit = told + GRACE + SLACK + self.soak.lag
            held = sum(to - begun for begun, to in host.cut)
            for at, name in host.set_ups:
                if at > limit + held:
                    self.soak.broken.append(
                        f"drain: {name} came to {host.name} {at - since:.3f} s after the list changed"
                    )

    def two_attempts(self) -> None:
        established: dict[str, str] = {}
        for session in self.soak.sessions:
            before = established.setdefault(session.name, session.host)
            record = self.soak.requests.get(session.name)
            answers = [kind for _, kind in record.answers if kind == "answer"] if record else []
            if before != session.host and len(answers) > 1:
                self.soak.broken.append(f"two attempts: {session.name} at {before} and {session.host}")
