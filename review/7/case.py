"""A keyed playback is sent again after its key's time, where a zone is cut off for a moment."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from platform2 import TROUBLE, Case, CouldNotRun, Host, plan, play, settings  # noqa: E402

SPAN = 2.0  # memorySpanMs: so long the group of media hosts remembers a key
TOLERANCE = 0.05  # "each time limit being 50 ms longer"
WORKS = 1.5  # after so long the first media host answers with an error
CUT_OFF = 0.2  # so long before and after that the other one's zone is cut off
EXTRAS = "home:0;copies:1;top:1;viewer:00000000b4d65521"


async def work(case: Case) -> list[str]:
    hosts = [await case.host("s-0000aaaa"), await case.host("s-0000bbbb", zone="west")]
    tried: set[int] = set()

    def doing(host: Host):
        """The first media host that a request is sent to fails it after a while, the next serves it."""

        def does(link, message) -> None:
            if message.session in tried:
                host.answer(link, message)
            else:
                tried.add(message.session)
                asyncio.get_running_loop().call_later(WORKS, host.refuse(47), link, message)

        return does

    for host in hosts:
        host.on_set_up = doing(host)
    told = settings(report__source="silent", allowed__connectTimeoutMs=1500.0)
    told["requestClasses"] = [plan("keyed-lesson", 1000, 5000, "by_key", memorySpanMs=1000 * SPAN)]
    gateway = await case.begin(told)
    await asyncio.sleep(13)  # until every media host counts as warm
    line = await case.viewers(gateway)
    name = case.new_id()
    session = int(name, 16)
    line.set_up(name, "keyed-lesson", "7f3a", 5000, EXTRAS)
    if not await line.until(lambda: session in tried, 2):
        raise CouldNotRun("no media host was asked")
    first = next(host for host in hosts if any(one.session == session for one in host.set_ups))
    other = hosts[1 - hosts.index(first)]
    await asyncio.sleep(WORKS - CUT_OFF)
    if TROUBLE:
        await other.listen_full()
    await asyncio.sleep(2 * CUT_OFF)
    if TROUBLE:
        await other.listen_on()
    if not await line.until(lambda: line.of(name), 6):
        raise CouldNotRun("the request was not answered")
    sent = sorted(one.at for host in hosts for one in host.set_ups if one.session == session)
    case.record.say(f"{name}: sent {len(sent)} times, {[round(at - sent[0], 3) for at in sent]}")
    broken = []
    for at in sent[1:]:
        if at - sent[0] > SPAN + TOLERANCE:
            broken.append(
                f"{name} was sent again {at - sent[0]:.3f} s after a try that ran, {SPAN} s are allowed"
            )
    return broken


play(work, str(HERE))
