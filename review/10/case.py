"""An answer whose description fits in a media host's message and not in a line to the viewer."""

import asyncio
import json
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from platform2 import (  # noqa: E402
    ANSWER,
    DESCRIPTION,
    SDP,
    TROUBLE,
    Case,
    CouldNotRun,
    frame,
    play,
    settings,
)

LONGEST = 16 * 1024  # "At most 16 KiB fit in one message"
ASK = 5  # requests
SIZE = 16_000 if TROUBLE else 400  # of the description
EXTRAS = "home:0;copies:1;top:1;viewer:00000000b4d65521"


def description(name: str) -> str:
    """A description of usual lines, so long."""
    told = f"v=0\r\ns={name}\r\nc=IN IP4 127.0.0.1\r\n"
    while len(told) < SIZE - 40:
        told += f"a=candidate:{len(told)} 1 UDP 9 127.0.0.1\r\n"
    return told


async def work(case: Case) -> list[str]:
    host = await case.host("s-0000aaaa")

    def does(link, message) -> None:
        """The session stands."""
        if host.out.pop(message.session, None) is None:
            return
        host.standing[message.session] = link
        told = {DESCRIPTION: description(message.name).encode()}
        size = len(frame(ANSWER, message.session, told))
        case.record.say(f"{host.name}: answer {message.name}, a message of {size} bytes")
        assert size <= LONGEST
        link.send(ANSWER, message.session, told)

    host.on_set_up = does
    gateway = await case.begin(settings())
    reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port, limit=1 << 20)
    broken = []
    for number in range(ASK):
        name = case.new_id()
        fields = {"class": "recorded", "left": "3000", "key": f"{number + 1:x}", "extras": EXTRAS}
        case.record.say(f"viewers: set-up {name}")
        told = {"type": "setup", "id": name, "fields": fields, "sdp": SDP}
        writer.write(json.dumps(told).encode() + b"\n")
        line = await asyncio.wait_for(reader.readline(), 5)
        if not line.endswith(b"\n"):
            raise CouldNotRun("the connection was closed")
        kind = json.loads(line)["type"]
        case.record.say(f"viewers: {kind} {name}, a line of {len(line)} bytes with its line feed")
        if len(line) > LONGEST:
            broken.append(f"{name}: {kind} in a line of {len(line)} bytes; {LONGEST} fit in a message")
    writer.close()
    return broken


play(work, str(HERE))
