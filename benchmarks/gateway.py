"""Set-ups a second, added latency and memory of one gateway process, beside three plainer ones, in one run.

    bare   a `BufferedProtocol` loop that parses with httptools and makes one hop: the limit
    hop    `http1`'s server and client making the same hop, no driver between
    null   the gateway program with a policy that sends everything to the next host
    full   the gateway program as it is

Saturation is measured with a fixed number of requests out; latency with open arrivals, each counted from
the time at which it was meant to be sent. Load, hosts and the process measured are processes of their own;
all on loopback.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import resource
import statistics
import subprocess
import sys
import time
from collections import deque
from pathlib import Path
from typing import Any

import httptools
import msgspec
from hdrh.histogram import HdrHistogram

sys.path.insert(0, str(Path(__file__).parent.parent))

from burlmast import api
from burlmast.edge.program import Program
from burlmast.http1.client import Failure, Pool
from burlmast.http1.server import Bounds, Exchange, Server
from burlmast.logic import Gateway
from burlmast.settings.read import read
from burlmast.settings.sheets import Deployment, Doorway

SAMPLE = Path(__file__).parent.parent / "deploy" / "samples" / "recordings.jsonnet"
SETUP = (
    b'{"playback":"p","attempt":0,"gateway":0,"title":"call-01","plan":0,"rung":1,"rate":420.0,"lasts":9.0}'
)
HOSTS, HOST_PROCESSES, LOADERS = 12, 2, 2
CORES, PYTHON = os.cpu_count(), sys.version.split()[0]


def deployment(unheard: float) -> Deployment:
    """The sample with a door wide enough and hosts that are warm at once."""
    found = read(SAMPLE)
    wide = Doorway(
        connections=100_000, connections_each=100_000, heads=100_000, held=100_000, buffered_kb=1e6
    )
    replace = msgspec.structs.replace
    return replace(
        found,
        rules=replace(found.rules, warm_after_ms=1.0),
        edge=replace(found.edge, doorway=replace(wide, crowded=1.0), unheard_targets=unheard),
        # Links wide enough that the load does not turn into a load of short links.
        fleet=replace(found.fleet, link_kb=1e8, uplink_kb=1e9, streams_by_kind=(100_000,)),
    )


# The hosts.


async def host(stays: bool) -> None:
    """Answers each set-up at once; the stream ends at once too, unless it stays."""
    head = ((b"cmsd-dynamic", b"burlmast-streams=3, burlmast-link=0.010"),)

    def application(exchange: Exchange) -> None:
        if exchange.method == b"POST":
            exchange.collect(4096, lambda body: flow(exchange))
        else:
            exchange.respond(200, head)

    def flow(exchange: Exchange) -> None:
        exchange.start(200, head)
        if stays:
            exchange.write(b'{"flowing":true,"link":0.01}\n')
        else:
            exchange.write(b'{"flowing":true,"link":0.01}\n{"ended":"served"}\n')
            exchange.finish()

    server = Server(application, Bounds())
    await ready({"port": await server.listen("127.0.0.1", 0, 4096)})


async def ready(said: dict[str, Any]) -> None:
    print(json.dumps(said), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)  # until the run is over


# What is measured.


class Null:
    """Sends everything to the next host."""

    def __init__(self, terms: api.Terms, seed: int, now: int) -> None:
        self.next, self.hosts = 0, [0]

    def begin(self, now: int) -> list[api.Action]:
        return []

    def take(self, now: int, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.Arrived):
            self.next += 1
            return [api.SetUp(event.request.pb, self.hosts[self.next % len(self.hosts)], 0)]
        if isinstance(event, api.Listed):
            self.hosts = [row.host for row in event.rows]
        return []


async def program(maker: Any, ports: list[int], unheard: float = 3.0) -> None:
    one = Program(deployment(unheard), 0, None, maker=maker, seed=1)
    viewers, operators = await one.start("127.0.0.1", 0)
    rows = tuple(api.HostRow(n, n % 3, 0, n, api.Standing.READY, 1.0, 1) for n in range(HOSTS))
    where = {n: f"127.0.0.1:{ports[n % len(ports)]}" for n in range(HOSTS)}
    one.listed(api.Scope.COMPLETE, rows, where)
    await ready({"port": viewers, "operators": operators})


async def hop(ports: list[int]) -> None:
    pool, turn = Pool(most_idle=1024), [0]
    json_type = ((b"content-type", b"application/json"),)

    class Hearing:
        def __init__(self, exchange: Exchange) -> None:
            self.exchange = exchange

        def answered(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
            pass

        def came(self, data: bytes) -> None:
            if not self.exchange.finished:
                self.exchange.json(
                    201, {"playback": "p", "manifest": "/v1/playbacks/p/index.m3u8", "rung": 1}
                )

        def ended(self) -> None:
            pass

        def failed(self, failure: Failure, why: str) -> None:
            self.exchange.refuse(502, why)

    def forward(exchange: Exchange, body: bytes) -> None:
        turn[0] += 1
        address = ("127.0.0.1", ports[turn[0] % len(ports)])
        pool.call(address, b"POST", b"/v1/streams", Hearing(exchange), json_type, SETUP)

    server = Server(lambda one: one.collect(8192, lambda body: forward(one, body)), Bounds())
    await ready({"port": await server.listen("127.0.0.1", 0, 4096)})


async def bare(ports: list[int]) -> None:
    loop = asyncio.get_running_loop()
    idle: dict[int, list[Up]] = {port: [] for port in ports}
    turn, tasks = [0], []
    told = b'{"playback":"p","manifest":"/v1/playbacks/p/index.m3u8","rung":1}\n'
    answer = b"HTTP/1.1 201 Created\r\ncontent-length: %d\r\n\r\n%b" % (len(told), told)
    request = b"POST /v1/streams HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n%b" % (len(SETUP), SETUP)

    class Up(asyncio.BufferedProtocol):
        def __init__(self, port: int) -> None:
            self.port, self.buffer = port, memoryview(bytearray(4096))
            self.parser, self.down = httptools.HttpResponseParser(self), None

        def connection_made(self, transport: Any) -> None:
            self.transport = transport

        def get_buffer(self, sizehint: int) -> memoryview:
            return self.buffer

        def buffer_updated(self, nbytes: int) -> None:
            self.parser.feed_data(self.buffer[:nbytes])

        def on_body(self, data: bytes) -> None:
            down, self.down = self.down, None
            if down is not None:
                down.write(answer)

        def on_message_complete(self) -> None:
            idle[self.port].append(self)

    class Down(asyncio.BufferedProtocol):
        def connection_made(self, transport: Any) -> None:
            self.transport, self.buffer = transport, memoryview(bytearray(4096))
            self.parser = httptools.HttpRequestParser(self)

        def get_buffer(self, sizehint: int) -> memoryview:
            return self.buffer

        def buffer_updated(self, nbytes: int) -> None:
            self.parser.feed_data(self.buffer[:nbytes])

        def on_header(self, name: bytes, value: bytes) -> None:
            pass

        def on_body(self, data: bytes) -> None:
            pass

        def on_message_complete(self) -> None:
            turn[0] += 1
            port = ports[turn[0] % len(ports)]
            if idle[port]:
                self.send(idle[port].pop())
            else:
                tasks.append(loop.create_task(self.dial(port)))

        async def dial(self, port: int) -> None:
            _, up = await loop.create_connection(lambda: Up(port), "127.0.0.1", port)
            self.send(up)

        def send(self, up: Up) -> None:
            up.down = self.transport
            up.transport.write(request)

    server = await loop.create_server(Down, "127.0.0.1", 0, backlog=4096)
    await ready({"port": server.sockets[0].getsockname()[1]})


# The load.


class Link(asyncio.Protocol):
    """One viewer's connection: a request at a time."""

    def __init__(self, load: Load) -> None:
        self.load, self.data, self.meant = load, b"", 0.0

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def send(self, meant: float) -> None:
        self.meant, self.data = meant, b""
        self.transport.write(self.load.request())

    def data_received(self, data: bytes) -> None:
        self.data += data
        head, end, body = self.data.partition(b"\r\n\r\n")
        if end:
            size = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
            if len(body) >= size:
                self.load.answered(self, self.data[9:12] == b"201")


class Load:
    """Requests to one port."""

    def __init__(self, seed: int) -> None:
        self.dice = random.Random(seed)
        self.idle: deque[Link] = deque()
        self.waiting: deque[float] = deque()
        self.served = self.failed = self.out = 0
        self.latency = HdrHistogram(1, 60_000_000, 3)
        self.closed = False
        self.open: list[Link] = []
        titles = [title.name for title in read(SAMPLE).titles]
        self.requests = []
        for name in titles:
            body = b'{"title":"%b","plan":"recorded","viewer":"viewer %b","lasts":9}' % (
                name.encode(),
                name.encode(),
            )
            head = b"POST /v1/playbacks HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\n"
            self.requests.append(head + b"content-length: %d\r\n\r\n%b" % (len(body), body))

    def request(self) -> bytes:
        return self.requests[int(self.dice.random() * len(self.requests))]

    async def connect(self, port: int, count: int) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(count):
            _, link = await loop.create_connection(lambda: Link(self), "127.0.0.1", port)
            self.idle.append(link)
            self.open.append(link)

    def answered(self, link: Link, good: bool) -> None:
        now = time.perf_counter()
        self.served += good
        self.failed += not good
        self.out -= 1
        self.latency.record_value(max(1, int((now - link.meant) * 1e6)))
        if self.closed:
            self.out += 1
            link.send(now)
        elif self.waiting:
            self.out += 1
            link.send(self.waiting.popleft())
        else:
            self.idle.append(link)

    async def saturate(self, seconds: float) -> float:
        """Answers a second with every connection busy."""
        self.closed = True
        now = time.perf_counter()
        while self.idle:
            self.out += 1
            self.idle.popleft().send(now)
        await asyncio.sleep(seconds / 4)
        before, began = self.served, time.perf_counter()
        await asyncio.sleep(seconds)
        rate = (self.served - before) / (time.perf_counter() - began)
        self.closed = False
        return rate

    async def arrive(self, rate: float, seconds: float) -> None:
        """Open arrivals, whatever is answered."""
        began, due = time.perf_counter(), 0.0
        while due < seconds:
            due += self.dice.expovariate(rate)
            wait = began + due - time.perf_counter()
            if wait > 0:
                await asyncio.sleep(wait)
            if self.idle:
                self.out += 1
                self.idle.popleft().send(began + due)
            else:
                self.waiting.append(began + due)
        while self.out and time.perf_counter() < began + seconds + 10:
            await asyncio.sleep(0.01)


async def load(port: int, links: int, rate: float, seconds: float, seed: int) -> None:
    one = Load(seed)
    await one.connect(port, links)
    print(json.dumps({"connected": links}), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline)
    said: dict[str, Any] = {}
    if rate:
        await one.arrive(rate, seconds)
    else:
        said["rate"] = await one.saturate(seconds)
    said |= {"served": one.served, "failed": one.failed, "latency": one.latency.encode().decode()}
    print(json.dumps(said), flush=True)


# The run.


class Child:
    """One process of the run."""

    def __init__(self, *words: object) -> None:
        command = [sys.executable, __file__, *(str(word) for word in words)]
        self.process = subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL
        )

    def line(self) -> dict[str, Any]:
        assert self.process.stdout is not None
        found = self.process.stdout.readline()
        if not found:
            raise RuntimeError(f"{self.process.args}: ended with {self.process.wait()}")
        return json.loads(found)

    def go(self) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(b"\n")
        self.process.stdin.flush()

    def close(self) -> None:
        assert self.process.stdin is not None
        self.process.stdin.close()
        try:
            self.process.wait(10)
        except subprocess.TimeoutExpired:
            self.process.kill()


def drive(port: int, links: int, rate: float, seconds: float, seed: int) -> tuple[float, HdrHistogram, int]:
    """Loaders together: the rate, the latency in microseconds, and how many were not served."""
    loaders = [
        Child("load", port, links // LOADERS, rate / LOADERS, seconds, seed + n) for n in range(LOADERS)
    ]
    for one in loaders:
        one.line()
    for one in loaders:
        one.go()
    heard = [one.line() for one in loaders]
    for one in loaders:
        one.close()
    latency = HdrHistogram(1, 60_000_000, 3)
    for one in heard:
        latency.decode_and_add(one["latency"].encode())
    return sum(one.get("rate", 0.0) for one in heard), latency, sum(one["failed"] for one in heard)


def spread(values: list[float]) -> str:
    return f"{statistics.median(values):8.0f} ({min(values):.0f} to {max(values):.0f})"


def rss_kb(pid: int) -> int:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1])
    return 0


def stall(port: int) -> float:
    import urllib.request

    with urllib.request.urlopen(f"http://127.0.0.1:{port}/metrics", timeout=10) as found:
        for line in found.read().decode().splitlines():
            if line.startswith("burlmast_longest_stall_seconds "):
                return float(line.split()[1])
    return 0.0


def measure(rounds: int, seconds: float, playing: int) -> None:
    print(f"one process measured, {CORES} cores, Python {PYTHON}, {rounds} rounds of {seconds} s")
    hosts = [Child("host", 0) for _ in range(HOST_PROCESSES)]
    ports = [one.line()["port"] for one in hosts]
    kinds = ("bare", "hop", "null", "full")
    serving = {kind: Child("serve", kind, *ports) for kind in kinds}
    places = {kind: one.line() for kind, one in serving.items()}
    rates: dict[str, list[float]] = {kind: [] for kind in kinds}
    for turn in range(rounds):
        for kind in kinds:  # one after another within a round, so that a slow spell strikes all alike
            rate, _, failed = drive(places[kind]["port"], 64, 0, seconds, turn)
            rates[kind].append(rate)
            if failed:
                print(f"{kind}: {failed} not served")
    median = {kind: statistics.median(found) for kind, found in rates.items()}
    print("\nset-ups a second at saturation, 64 out: median (least to most)")
    for kind in kinds:
        print(f"  {kind:5} {spread(rates[kind])}")
    print(f"  hop/bare  {median['hop'] / median['bare']:.2f}  goal 0.50")
    print(f"  full/hop  {median['full'] / median['hop']:.2f}  goal 0.40")
    print(f"  full/null {median['full'] / median['null']:.2f}  goal 0.60")
    print("\nlatency from the intended send time, ms: p50 p99 p99.9, at parts of full's saturation")
    for part in (0.2, 0.5, 0.8):
        rate = part * median["full"]
        for kind in ("hop", "full"):
            found = [drive(places[kind]["port"], 512, rate, seconds, 100 + turn)[1] for turn in range(rounds)]
            figures = [
                statistics.median(one.get_value_at_percentile(p) / 1000 for one in found)
                for p in (50, 99, 99.9)
            ]
            low, high = (f(one.get_value_at_percentile(99) / 1000 for one in found) for f in (min, max))
            text = " ".join(f"{value:7.2f}" for value in figures)
            print(f"  {part:3.0%} {rate:6.0f}/s {kind:5} {text}   (p99 {low:.2f} to {high:.2f})")
    print(f"\nlongest stall of the loop under all this: {stall(places['full']['operators']) * 1000:.1f} ms")
    for one in (*serving.values(), *hosts):
        one.close()
    memory(playing)


def memory(playing: int) -> None:
    hosts = [Child("host", 1) for _ in range(HOST_PROCESSES)]
    ports = [one.line()["port"] for one in hosts]
    one = Child("serve", "held", *ports)
    place = one.line()
    time.sleep(1)
    before = rss_kb(one.process.pid)
    count = 0
    while count < playing:
        batch = min(500, playing - count)
        _, _, failed = drive(place["port"], 32, batch / 0.5, 0.5, count)
        got = int(figure(place["operators"], "burlmast_playing"))
        if got <= count:
            raise RuntimeError(f"stuck at {got} playing, {failed} failed")
        count = got
    after = rss_kb(one.process.pid)
    print(f"\nmemory: {count} playing, {(after - before) / count:.1f} kB each ({before} to {after} kB)")
    print(f"longest stall of the loop meanwhile: {stall(place['operators']) * 1000:.1f} ms")
    for child in (one, *hosts):
        child.close()


def figure(port: int, name: str) -> float:
    import urllib.request

    with urllib.request.urlopen(f"http://127.0.0.1:{port}/metrics", timeout=10) as found:
        lines = found.read().decode().splitlines()
    return next(float(line.split()[1]) for line in lines if line.startswith(name + " "))


def serve(kind: str, ports: list[int]) -> None:
    import structlog

    structlog.configure(logger_factory=structlog.PrintLoggerFactory(sys.stderr))
    run = {
        "bare": lambda: bare(ports),
        "hop": lambda: hop(ports),
        "null": lambda: program(Null, ports),
        "full": lambda: program(Gateway, ports),
        "held": lambda: program(Gateway, ports, 1e4),
    }[kind]
    if os.environ.get("PROFILE"):
        import cProfile

        profile = cProfile.Profile()
        try:
            profile.runcall(asyncio.run, run())
        finally:
            profile.dump_stats(os.environ["PROFILE"])
    else:
        asyncio.run(run())


def main() -> None:
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 65536) if hard > 0 else 65536, hard))
    words = sys.argv[1:]
    if words[:1] == ["host"]:
        asyncio.run(host(words[1] == "1"))
    elif words[:1] == ["serve"]:
        serve(words[1], [int(port) for port in words[2:]])
    elif words[:1] == ["load"]:
        asyncio.run(load(int(words[1]), int(words[2]), float(words[3]), float(words[4]), int(words[5])))
    else:
        parser = argparse.ArgumentParser(
            description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
        )
        parser.add_argument("--rounds", type=int, default=5)
        parser.add_argument("--seconds", type=float, default=3.0)
        parser.add_argument("--playing", type=int, default=5000)
        found = parser.parse_args()
        measure(found.rounds, found.seconds, found.playing)


if __name__ == "__main__":
    main()
