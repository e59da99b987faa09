"""Clients that leave with much unread, and come again under the same ids, at one real gateway process.

By hand: `python tests/leaving_clients_trial.py close --again --share 0.5` prints one JSON object.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import socket
import struct
import sys
import tempfile
import time
from collections import Counter, defaultdict
from dataclasses import asdict, dataclass, field
from itertools import pairwise
from pathlib import Path
from typing import Any

sys.path[:0] = [str(Path(__file__).resolve().parent.parent), str(Path(__file__).resolve().parent)]

import overload_trial  # noqa: E402
from overload_trial import BASE, FORK, HostEvent  # noqa: E402

NO_LINGER = struct.pack("ii", 1, 0)  # a close is a reset


@dataclass
class Left:
    """What came of clients that left; times in seconds."""

    asked: int = 0
    sent_on: int = 0  # set-ups that reached a host
    late: int = 0  # of these, so long after the client had left that the gateway knew
    latest: float = 0.0  # the last set-up at a host, after its client had left
    ran_again: int = 0  # ids that reached a host before their client came again, and after it
    ran_twice: int = 0  # ids that were out or established at two hosts, or twice at one, at a time
    longest_twice: float = 0.0
    left_standing: int = 0
    answers: dict[str, int] = field(default_factory=dict)


def leave(connection: socket.socket, how: str) -> None:
    """Leave in this way."""
    if how == "half-close":
        connection.shutdown(socket.SHUT_WR)
        return
    if how == "reset":
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    connection.close()


def intervals(events: list[HostEvent], now: float) -> list[tuple[float, float]]:
    """From when to when each attempt of one session was out or established."""
    spans: list[tuple[float, float]] = []
    began: dict[str, float] = {}
    for event in events:
        if event.what == "set-up":
            if event.host in began:  # the same host has it twice
                spans.append((began[event.host], now))
            began[event.host] = event.at
        elif event.what in ("given up", "ended") and event.host in began:
            spans.append((began.pop(event.host), event.at))
    return spans + [(at, now) for at in began.values()]


def judge(
    left: Left, events: list[HostEvent], left_at: dict[int, float], back_at: dict[int, float], crossing: float
) -> None:
    """Count what the hosts tell; `left_at`, `back_at`: when an id's client left for good, and came again."""
    sessions: dict[int, list[HostEvent]] = defaultdict(list)
    for event in events:
        sessions[event.session].append(event)
    now = time.time()
    for session, seen in sessions.items():
        set_ups = [event.at for event in seen if event.what == "set-up"]
        left.sent_on += len(set_ups)
        left.ran_again += min(set_ups) < back_at.get(session, 0.0) < max(set_ups)
        if session in left_at:
            after = max(set_ups) - left_at[session]
            left.late += after > crossing
            left.latest = max(left.latest, round(after, 3))
        spans = sorted(intervals(seen, now))
        overlaps = [min(first[1], second[1]) - second[0] for first, second in pairwise(spans)]
        twice = max(overlaps, default=0.0)
        left.ran_twice += twice > 0
        left.longest_twice = max(left.longest_twice, round(twice, 3))
        left.left_standing += any(end == now for _, end in spans) and session in left_at


async def listen(connection: socket.socket, answers: Counter[str], seconds: float) -> None:
    reader, writer = await asyncio.open_connection(sock=connection)
    with contextlib.suppress(asyncio.TimeoutError, OSError):
        async with asyncio.timeout(seconds):
            while raw := await reader.readline():
                told = json.loads(raw)
                answers[f"{told['type']} {told.get('cause', '')}".strip()] += 1
    writer.close()


def play(
    how: str, again: bool, rounds: int = 10, requests: int = 200, share: float = 1.0, takes: float = 0.3
) -> Left:
    """So many clients in a row, each of which asks all it wants at once and leaves."""
    left, left_at, back_at, answers = Left(), dict[int, float](), dict[int, float](), Counter[str]()
    with tempfile.TemporaryDirectory() as folder:
        pipe, theirs = FORK.Pipe()
        hosts = FORK.Process(target=overload_trial.run_hosts, args=(theirs, 12, takes, 20.0), daemon=True)
        hosts.start()
        workers: list[Any] = [hosts]
        try:
            ports, resolver = pipe.recv()
            with overload_trial.gateway(Path(folder), ports, resolver) as (process, port):
                time.sleep(4.5)
                if share < 1:
                    cpu = os.getpid() % os.cpu_count()  # type: ignore[operator]
                    os.sched_setaffinity(process.pid, {cpu})
                    for _ in range(round(1 / share) - 1):
                        arguments = (cpu, time.time() + 2.0 * rounds)
                        workers.append(FORK.Process(target=overload_trial.burn, args=arguments, daemon=True))
                        workers[-1].start()
                for turn in range(rounds):
                    numbers = [BASE + turn * requests + place for place in range(requests)]
                    data = b"".join(overload_trial.set_up(number) for number in numbers)
                    connection = socket.create_connection(("127.0.0.1", port))
                    connection.sendall(data)
                    time.sleep(0.02 * (turn % 4))
                    leave(connection, how)
                    gone = time.time()
                    left.asked += requests
                    if again:
                        time.sleep(0.05)
                        back_at.update((number, time.time()) for number in numbers)
                        back = socket.create_connection(("127.0.0.1", port))
                        back.sendall(data)
                        back.setblocking(False)
                        asyncio.run(listen(back, answers, 1.0))
                        gone = time.time()
                    else:
                        time.sleep(1.0)
                    left_at.update((number, gone) for number in numbers)
                time.sleep(2.0)
                pipe.send(None)
                judge(left, pipe.recv(), left_at, back_at, 0.1)
        finally:
            for worker in workers:
                worker.terminate()
                worker.join()
    left.answers = dict(answers)
    return left


def main() -> None:
    """One trial from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("how", choices=["close", "half-close", "reset"])
    parser.add_argument("--again", action="store_true")
    parser.add_argument("--share", type=float, default=1.0)
    parser.add_argument("--requests", type=int, default=200)
    parser.add_argument("--rounds", type=int, default=10)
    words = parser.parse_args()
    left = play(words.how, words.again, words.rounds, words.requests, words.share)
    print(json.dumps({"how": words.how, "again": words.again, "share": words.share, **asdict(left)}))


if __name__ == "__main__":
    main()
