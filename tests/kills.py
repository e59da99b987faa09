"""A writer that is killed at random moments, again and again."""

from __future__ import annotations

import os
import random
import signal
import time
from collections.abc import Callable, Iterator
from functools import partial


def say(out: int, number: int) -> None:
    """Tell a number."""
    os.write(out, b"%d\n" % number)


def kills(
    write: Callable[[Callable[[int], None]], None], times: int, longest: float, seed: int
) -> Iterator[int]:
    """Fork a process that writes without end and tells each number once it is kept; kill it within `longest`
    seconds of its first number. Yields the highest number told so far after each kill."""
    dice, told = random.Random(seed), 0
    for _ in range(times):
        read, out = os.pipe()
        child = os.fork()
        if child == 0:
            try:
                os.close(read)
                write(partial(say, out))
            finally:
                os._exit(1)
        os.close(out)
        numbers = os.read(read, 64)  # it writes by now
        time.sleep(dice.random() * longest)  # the moment of the kill, not a wait for anything
        os.kill(child, signal.SIGKILL)
        os.waitpid(child, 0)
        while part := os.read(read, 65536):
            numbers += part
        os.close(read)
        told = max(told, *(int(line) for line in numbers.split()))
        yield told
