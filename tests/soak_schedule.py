"""What a seed of the soak draws, and the protocol's figures that its judge applies. Times in seconds."""

from __future__ import annotations

import random
import zlib
from dataclasses import dataclass

from platform_standin import SETTINGS

ACTIVE = 7.0  # seconds in which requests are sent
SLACK = 0.05  # by which each limit of the protocol is longer on sockets
LATE_ANSWER = 0.5  # after its deadline a request without an answer is lost
END_WITHIN = 1.0  # from a host's release to the viewer's
CUT_WITHIN = 8.0  # from the end of a session that nobody could release
GRACE = SETTINGS["rules"]["drainGraceMs"] / 1000
TOLD_WITHIN = 1.5  # after which a change of the list counts as told
TOLD_AFTER_FAILURE = 6.0  # the same after a failed call to discovery
READY_WITHIN = 10.0
HANDED_OVER_AFTER = 0.2  # a session that is handed over counts so much later
SLOW_WRITE = 0.05  # between the two pieces of a request
KILL_GRACE = 0.7  # SIGKILL comes the longest deadline and this after SIGTERM
ENDED, CUT, FULL, ERROR = 16, 41, 34, 47


@dataclass(frozen=True)
class Fault:
    """Something that goes wrong at a time of the run."""

    at: float
    kind: str
    lasts: float
    target: int


@dataclass(frozen=True)
class Schedule:
    """What a seed draws."""

    seed: int
    hosts: int
    deadline_ms: int
    rate: float  # requests a second
    crowd: bool
    faults: tuple[Fault, ...]


KINDS = (
    "sigterm", "sighup", "sigstop", "viewer link silent", "viewer link deaf", "viewer link reset",
    "viewers leave", "host hangs", "host resets", "host closes", "host replaced", "host drains",
    "names silent", "names slow", "bad clients", "health checks", "slow viewer", "host spoils",
)  # fmt: skip
HOST_LINK_KINDS = ("host link silent", "host link deaf", "host link reset", "host link late")


def draw(seed: int) -> Schedule:
    """The schedule of a seed, the same each time."""
    chance = random.Random(zlib.crc32(f"node soak {seed}".encode()))
    faults = [
        Fault(
            round(chance.uniform(0.3, ACTIVE - 0.5), 3),
            chance.choice(KINDS),
            round(chance.uniform(0.2, 1.6), 3),
            chance.randrange(8),
        )
        for _ in range(chance.randint(4, 9))
    ]
    links = random.Random(zlib.crc32(f"node soak host links {seed}".encode()))
    faults += [
        Fault(
            round(links.uniform(0.3, ACTIVE - 0.5), 3),
            links.choice(HOST_LINK_KINDS),
            round(links.uniform(0.2, 1.6), 3),
            links.randrange(8),
        )
        for _ in range(links.randint(0, 3))
    ]
    if seed % 2:
        faults.append(Fault(round(chance.uniform(2.0, 4.0), 3), "sigterm", 1.0, 0))
    return Schedule(
        seed,
        chance.randint(2, 5),
        chance.choice((300, 1500, 1500, 3000)),
        chance.uniform(15, 40),
        seed % 5 == 0,
        tuple(sorted(faults, key=lambda fault: fault.at)),
    )
