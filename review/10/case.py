"""Playbacks at a media host that may not be probed, and one lost answer."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from platform2 import TROUBLE, Case, CouldNotRun, plan, play, settings  # noqa: E402

PLAYING = 5  # playbacks of the paid plan, which stand to the end of the case
NOTE_EVERY = 3.0  # toldEveryMs: on one session of the gateway
ASK_EVERY = 1.0
SHORT = 2.0  # seconds for which the others play
LASTS = 20.0
EXTRAS = "home:0;copies:1;top:1;viewer:00000000b4d65521"


async def work(case: Case) -> list[str]:
    host = await case.host("s-0000aaaa")
    host.report = b"cpu_share:0.300"
    told = settings(allowed__probes=False, report__fields=["cpu_share"], familyInfo__toldEveryMs=3000.0)
    told["requestClasses"] = [plan("live-interview", 1000, 3000, "once"), plan("job-briefing", 1000, 4000)]
    told["familyInfo"].update(
        classFloor=[1, 0], classLive=[True, False], classSeats=[10, 0], classTop=[3, 3],
        scaleByClass=[1.2, 0.7], refusesFrom=0.0,
    )  # fmt: skip
    gateway = await case.begin(told)
    await asyncio.sleep(4)  # until the caution after its start is over
    line = await case.viewers(gateway)
    playing = [case.new_id() for _ in range(PLAYING)]
    for number, name in enumerate(playing):
        line.set_up(name, "live-interview", f"b{number}", 3000, EXTRAS)
        if not await line.until(lambda name=name: line.at(name, "answer"), 4):
            raise CouldNotRun("a playback was not set up")
    began = time.time()
    lost: list[str] = []

    def does(link, message) -> None:
        """One answer is lost: the work is done, nothing comes back."""
        if TROUBLE and not lost and time.time() - began > 3:
            lost.append(message.name)
            case.record.say(f"{host.name}: the answer to {message.name} is lost")
        else:
            host.answer(link, message)

    host.on_set_up = does

    async def notes() -> None:
        while True:
            await asyncio.sleep(NOTE_EVERY)
            if host.standing:
                host.note(next(iter(host.standing)), b"wire", 0.3)

    telling = asyncio.create_task(notes())
    ends: list[asyncio.TimerHandle] = []
    number = 0
    while time.time() - began < LASTS:
        number += 1
        name = case.new_id()
        line.set_up(name, "job-briefing", f"c{number:x}", 4000, EXTRAS)

        def over(session: int = int(name, 16)) -> None:
            if session in host.standing:
                host.end(session)

        ends.append(asyncio.get_running_loop().call_later(SHORT, over))
        await asyncio.sleep(ASK_EVERY)
    telling.cancel()
    for each in ends:
        each.cancel()
    if TROUBLE and not lost:
        raise CouldNotRun("no answer was lost")
    told_end = {name: line.at(name, "release") for name in playing}
    ended = {message.name for message in host.released if message.name in told_end}
    broken = []
    for name, at in told_end.items():
        if at or name in ended:
            after = f"{at - case.record.began:.3f}" if at else "-"
            broken.append(
                f"{name} plays at {host.name}, which never ended it; its viewer was told its end at {after}"
            )
    return broken


play(work, str(HERE))
