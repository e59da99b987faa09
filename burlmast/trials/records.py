"""What hosts and viewers of a trial saw, in seconds of the monotonic clock; the judge reads nothing else."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Request:
    """A request as its viewer saw it."""

    name: str
    sent: float
    deadline: float
    answers: list[tuple[float, str]] = field(default_factory=list)  # when, `answer` or `release`
    ends: list[float] = field(default_factory=list)  # when a release or a move came after the answer
    ended_by_viewer: float = 0.0  # when its viewer ended it; 0: it did not
    connection_lost: bool = False  # with no answer, and not by its viewer

    @property
    def established(self) -> bool:
        """Whether the viewer was answered that it stands."""
        return bool(self.answers) and self.answers[0][1] == "answer"


@dataclass(slots=True)
class Session:
    """A session as its host saw it."""

    name: str
    established: float
    ended: float = 0.0
    release_written: float = 0.0  # 0: there was no connection to write it on
    release_lost: bool = False  # the hop discarded it, or the connection that it was written on
    released_by_gateway: float = 0.0


@dataclass(slots=True)
class Records:
    """All that was seen in a trial."""

    requests: dict[str, Request] = field(default_factory=dict)
    sessions: dict[str, Session] = field(default_factory=dict)
    fault_began: float = 0.0
    passes_again: float = 0.0  # when the hop that was struck passes again; 0: it is not struck, or for good
    struck: str = ""  # the name of the session that the fault was aimed at
    gateway_ended: str = ""  # how the process ended before the trial did; empty: it did not
    log: str = ""
    lag: float = 0.0  # the longest delay of the recording process itself
