"""Hundreds of connected clients that write slowly, stop half way or send heads of many short fields.

By hand, against one real process each; prints one JSON object a trial:

    python tests/slow_clients_trial.py node-half --connections 450 --seconds 12
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

sys.path[:0] = [str(Path(__file__).resolve().parent.parent), str(Path(__file__).resolve().parent)]

import overload_trial  # noqa: E402

SAMPLE = overload_trial.ROOT / "deploy/samples/training.jsonnet"
BODY = 8 << 20  # bytes that a coordinator takes in one request, at the most

# What each connection writes at once, and what it writes every 0.1 s from then on.
Script = Callable[[int], tuple[bytes, bytes]]


def node_half(number: int) -> tuple[bytes, bytes]:
    line = overload_trial.set_up(overload_trial.BASE + number, description="x" * 15_000)
    return line[:8_000], line[8_000:8_040]


def node_fields(number: int) -> tuple[bytes, bytes]:
    fields = {f"{place:x}": "1" for place in range(1_500)}
    line = json.dumps({"type": "setup", "id": f"{number:016x}", "fields": fields}, separators=(",", ":"))
    return line.encode()[:15_800], b"0"


def node_bytes(number: int) -> tuple[bytes, bytes]:
    return b"", b" "


def http_head(number: int) -> tuple[bytes, bytes]:
    fields = b"".join(b"%x:1\r\n" % place for place in range(5_000))
    return b"POST /v1/playbacks HTTP/1.1\r\nhost: a\r\n" + fields, b"a:1\r\n"


def http_body(number: int) -> tuple[bytes, bytes]:
    head = b"POST /v1/playbacks HTTP/1.1\r\nhost: a\r\ncontent-length: 16000\r\n\r\n"
    return head + b" " * 8_000, b" " * 40


def coordinator_body(number: int) -> tuple[bytes, bytes]:
    head = b"POST /fleet/v1/beat HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % BODY
    return head + b" " * (BODY // 2), b" " * 40


def coordinator_unknown(number: int) -> tuple[bytes, bytes]:
    head = b"POST /nowhere HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % BODY
    return head + b" " * (BODY // 2), b" " * 40


SCRIPTS: dict[str, Script] = {
    "node-half": node_half,
    "node-fields": node_fields,
    "node-bytes": node_bytes,
    "edge-head": http_head,
    "edge-body": http_body,
    "coordinator-head": http_head,
    "coordinator-body": coordinator_body,
    "coordinator-unknown": coordinator_unknown,
}


@dataclass
class Result:
    """What a trial saw; times in seconds."""

    memory_mb: list[float] = field(default_factory=list)
    open_at_most: int = 0
    asked: int = 0
    answered: int = 0
    worst_wait: float = 0.0
    crashed: bool = False


async def slow_client(
    address: tuple[str, int], script: tuple[bytes, bytes], until: float, result: Any
) -> None:
    """One connection after another."""
    while time.time() < until:
        try:
            reader, writer = await asyncio.open_connection(*address)
        except OSError:
            await asyncio.sleep(0.2)
            continue
        result["open"] += 1
        result["most"] = max(result["most"], result["open"])
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            writer.write(script[0])
            while time.time() < until and not reader.at_eof():
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(reader.read(4096), 0.1)
                writer.write(script[1])
        result["open"] -= 1
        writer.transport.abort()
        await asyncio.sleep(0.1)


async def ask_http(address: tuple[str, int], until: float, result: Result) -> None:
    """Another client: its request has an answer, whatever that says."""
    while time.time() < until:
        began = time.monotonic()
        result.asked += 1
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            async with asyncio.timeout(3):
                reader, writer = await asyncio.open_connection(*address)
                writer.write(b"GET /none HTTP/1.1\r\nhost: a\r\n\r\n")
                if (await reader.readline()).startswith(b"HTTP/1.1 "):
                    result.answered += 1
                    result.worst_wait = max(result.worst_wait, round(time.monotonic() - began, 3))
                writer.close()
        await asyncio.sleep(0.2)


async def crowd(
    address: tuple[str, int], pid: int, script: Script, connections: int, seconds: float, node: bool
) -> Result:
    """So many slow clients, and one that is not."""
    result, until = Result(), time.time() + seconds
    counts = {"open": 0, "most": 0}
    clients = [
        asyncio.ensure_future(slow_client(address, script(number), until, counts))
        for number in range(connections)
    ]
    measured = overload_trial.Measured()
    if node:
        other = asyncio.ensure_future(overload_trial.measure(address, until, pid, 5.0, True, measured))
    else:
        other = asyncio.ensure_future(ask_http(address, until, result))
    while time.time() < until:
        result.memory_mb.append(round(overload_trial.resident_mb(pid), 1))
        await asyncio.sleep(0.5)
    await asyncio.gather(*clients, other)
    result.open_at_most = counts["most"]
    if node:
        result.asked, result.answered = measured.asked, sum(measured.answers.values())
        result.worst_wait = round(max(measured.waits, default=0.0), 3)
    return result


@contextlib.contextmanager
def http_process(folder: Path, words: list[str], key: str) -> Iterator[tuple[Any, int]]:
    """A process of the program, and its port."""
    with (folder / "log").open("wb") as log:
        process = subprocess.Popen(
            [sys.executable, "-m", "burlmast", *words],
            stdout=subprocess.PIPE,
            stderr=log,
            cwd=overload_trial.ROOT,
        )
        try:
            assert process.stdout is not None
            line = process.stdout.readline()
            yield process, int(json.loads(line)[key].rpartition(":")[2])
        finally:
            process.kill()
            process.wait()


def play(name: str, connections: int, seconds: float) -> Result:
    """One trial."""
    script, kind = SCRIPTS[name], name.partition("-")[0]
    with tempfile.TemporaryDirectory() as text, contextlib.ExitStack() as stack:
        folder = Path(text)
        if kind == "node":
            pipe, theirs = overload_trial.FORK.Pipe()
            hosts = overload_trial.FORK.Process(
                target=overload_trial.run_hosts, args=(theirs, 12, 0.01, 3.0), daemon=True
            )
            hosts.start()
            stack.callback(hosts.terminate)
            ports, resolver = pipe.recv()
            process, port = stack.enter_context(overload_trial.gateway(folder, ports, resolver))
            time.sleep(4.5)
        elif kind == "edge":
            words = ["edge", "--settings", str(SAMPLE), "--number", "0", "--state", text]
            process, port = stack.enter_context(http_process(folder, words, "gateway"))
        else:
            words = ["coordinator", "--settings", str(SAMPLE), "--state", text, "--begin"]
            process, port = stack.enter_context(http_process(folder, words, "desk"))
        address = ("127.0.0.1", port)
        result = asyncio.run(crowd(address, process.pid, script, connections, seconds, kind == "node"))
        result.crashed = process.poll() is not None
    return result


def main() -> None:
    """One trial from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("script", choices=SCRIPTS)
    parser.add_argument("--connections", type=int, default=450)
    parser.add_argument("--seconds", type=float, default=12.0)
    words = parser.parse_args()
    result = play(words.script, words.connections, words.seconds)
    print(json.dumps({"script": words.script, "connections": words.connections, **asdict(result)}))


if __name__ == "__main__":
    main()
