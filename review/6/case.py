"""A media host is lost and returns cold while a set-up waits for its connection: two tries at once."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from platform2 import TROUBLE, Case, CouldNotRun, play, settings  # noqa: E402

LOST = 4.5  # seconds for which the media host is lost
ASKED = 0.5  # so long before its return the request comes
BOOTS = 0.1  # from its start until it takes connections
SETS_UP = 0.45  # how long it takes for a set-up then; the gateway would wait longer
USUAL = 0.38  # and how long the other one takes
TOLD = 0.55  # how long after its start the name server tells of it
EXTRAS = "home:0;copies:2;top:1;viewer:00000000b4d65521"
OTHERS = "home:1;copies:1;top:1;viewer:00000000b4d65521"  # of titles that only the other one holds


async def work(case: Case) -> list[str]:
    host, other = await case.host("s-0000aaaa", zone="west"), await case.host("s-0000bbbb", cell=1)
    other.weight = 2  # less room: the first try goes to the first one
    other.on_set_up = other.answer_after(USUAL)
    answered: dict[str, float] = {}

    def answering(link, message) -> None:
        """The session stands after a while."""

        def now() -> None:
            if message.session in host.out:
                answered[message.name] = time.time()
                host.answer(link, message)

        asyncio.get_running_loop().call_later(SETS_UP, now)

    host.on_set_up = answering
    told = settings(report__source="silent", allowed__connectTimeoutMs=1500.0)
    told["familyInfo"]["cells"] = 2
    gateway = await case.begin(told)
    await asyncio.sleep(13)  # until every media host counts as warm
    line = await case.viewers(gateway)
    before = [case.new_id() for _ in range(3)]
    for number, each in enumerate(before):
        line.set_up(each, "recorded", f"a{number}", 3000, OTHERS)
        if not await line.until(lambda each=each: line.of(each), 4):
            raise CouldNotRun("a request was not answered")
    if TROUBLE:
        case.record.say(f"the zone of {host.name} is lost")
        await host.listen_full()
    await asyncio.sleep(LOST - ASKED)
    name = case.new_id()
    line.set_up(name, "recorded", "7f3a", 3000, EXTRAS)
    await asyncio.sleep(ASKED)
    if TROUBLE:
        host.started_ms = time.time() * 1000
        case.record.say(f"{host.name} starts again")
        await asyncio.sleep(BOOTS)
        await host.listen_on()
        await asyncio.sleep(TOLD - BOOTS)
        case.names.list(host, other)
    if not await line.until(lambda: line.at(name, "answer") or line.at(name, "release"), 6):
        raise CouldNotRun("the request was not answered")
    await asyncio.sleep(8)  # whatever the gateway has yet to say to the first one
    session = int(name, 16)
    sent = sorted((one.at, at) for at in (host, other) for one in at.set_ups if one.session == session)
    if not sent:
        raise CouldNotRun("nothing was sent")
    case.record.say(f"{name}: sent to {[(at.name, round(when - case.record.began, 3)) for when, at in sent]}")
    broken = []
    if sent[0][1] is not host:
        raise CouldNotRun("the first try went to the other media host")
    if len(sent) > 1:
        ended = min(
            [answered.get(name, float("inf"))] + [one.at for one in host.released if one.session == session]
        )
        case.record.say(
            f"the first try's end is written or it is given up at {ended - case.record.began:.3f}"
        )
        if sent[1][0] < ended:
            broken.append(
                f"{name}: a second try came to {sent[1][1].name} "
                f"{ended - sent[1][0]:.3f} s before the first one's end"
            )
    stands = [at.name for at in (host, other) if session in at.standing]
    case.record.say(f"{name} stands at {', '.join(stands)}")
    if len(stands) > 1:
        broken.append(f"{name} was set up twice: it stands at {' and at '.join(stands)}")
    return broken


play(work, str(HERE))
