"""The gateway on sockets, against stand-in hosts and list."""

from __future__ import annotations

import asyncio
import gc
import socket
import time

import m3u8
import msgspec
import pytest
from town import Town, sample, town, until

from burlmast import api
from burlmast.api import Ending
from burlmast.http1.client import Whole
from burlmast.logic import Gateway
from burlmast.standin.watch import watch
from burlmast.world.traffic import Told, TryCame, TryOver

ASK = {"title": "unit-01", "plan": "explainer", "viewer": "v", "lasts": 30}


class Recorded:
    """The real decisions, and what they heard."""

    def __init__(self) -> None:
        self.heard: list[api.Event] = []

    def __call__(self, terms: api.Terms, seed: int, now: int) -> Recorded:
        self.inner = Gateway(terms, seed, now)
        return self

    def begin(self, now: int) -> list[api.Action]:
        return self.inner.begin(now)

    def take(self, now: int, event: api.Event) -> list[api.Action]:
        self.heard.append(event)
        return self.inner.take(now, event)

    def endings(self) -> list[Ending]:
        return [one.ending for one in self.heard if isinstance(one, api.Ended)]


def test_one_playback_end_to_end() -> None:
    async def run() -> None:
        async with town() as here:
            status, told = await here.post(ASK)
            assert status == 201 and told["rung"] == 3
            status, playlist = await here.get(told["manifest"])
            came = here.seen(TryCame)
            host = here.fleet.hosts[came[0].host].address
            parsed = m3u8.loads(playlist.decode())
            assert status == 200 and parsed.target_duration == 2 and not parsed.is_endlist
            assert parsed.segments[0].uri == f"http://{host}/v1/media/unit-01/3/0.m4s"
            status, _ = await here.get(told["manifest"].rpartition("/")[0], b"DELETE")
            assert status == 204
            await until(lambda: here.seen(TryOver))
            assert len(came) == 1 and here.seen(TryOver)[0].how == "closed"
            assert not here.program.driver.held
            assert (await here.get(told["manifest"]))[0] == 404

    asyncio.run(run())


def test_a_recording_that_ends_ends_its_playlist() -> None:
    async def run() -> None:
        async with town() as here:
            said: list[str] = []
            assert await watch(here.address, "unit-01", "explainer", 0.6, 1, said.append) == 0
            assert "rung 1" in said[0] and "stalls 0" in said[-1]
            _, told = await here.post(ASK | {"lasts": 0.1})
            await until(lambda: here.seen(TryOver) and here.seen(TryOver)[-1].how == "served")
            await until(lambda: not here.program.driver.playing)
            assert (await here.get(told["manifest"]))[1].endswith(b"#EXT-X-ENDLIST\n")

    asyncio.run(run())


JSON = "content-type: application/json\r\n"
REFUSED = [
    ("GET /v1/playbacks", "", "", 405),
    ("PUT /v1/playbacks/abc", "", "", 405),
    ("DELETE /v1/playbacks/abc/index.m3u8", "", "", 405),
    ("GET /", "", "", 404),
    ("GET /v2/playbacks", "", "", 404),
    ("GET /v1/playbacks/abc/index.m3u8", "", "", 404),
    ("DELETE /v1/playbacks/abc", "", "", 404),
    ("GET /v1/playbacks/%ff%00/index.m3u8", "", "", 404),
    ("POST /v1/playbacks", JSON, None, 411),
    ("POST /v1/playbacks", "content-type: text/plain\r\n", "{}", 415),
    ("POST /v1/playbacks", "", "{}", 415),
    ("POST /v1/playbacks", JSON, "{", 400),
    ("POST /v1/playbacks", JSON, "[" * 4000, 400),
    ("POST /v1/playbacks", JSON, '{"title":"unit-01","plan":"explainer"}', 400),
    ("POST /v1/playbacks", JSON, '{"title":"unit-01","plan":"none","viewer":"v"}', 400),
    ("POST /v1/playbacks", JSON, '{"title":"nothing","plan":"explainer","viewer":"v"}', 404),
    ("POST /v1/playbacks", JSON, '{"title":"unit-01","plan":"explainer","viewer":""}', 400),
    ("POST /v1/playbacks", JSON, '{"title":"unit-01","plan":"explainer","viewer":"v","lasts":NaN}', 400),
    ("POST /v1/playbacks", JSON, '{"title":"unit-01","plan":"explainer","viewer":"v","lasts":1e999}', 400),
    ("POST /v1/playbacks", JSON, '{"title":"unit-01","plan":"explainer","viewer":"v","lasts":-1}', 400),
    ("POST /v1/playbacks", JSON, '{"title":"unit-01","plan":"explainer","viewer":"v","top":-1}', 400),
    ("POST /v1/playbacks", JSON, '{"title":"unit-01","plan":"onboarding","viewer":"v","top":0}', 400),
    ("POST /v1/playbacks", JSON, '{"title":"unit-01","plan":"explainer","viewer":"v","speed":2}', 400),
    ("POST /v1/playbacks", JSON, '{"title":"unit-01","plan":"explainer","viewer":7}', 400),
    ("POST /v1/playbacks", JSON, "x" * 9000, 413),
    ("POST /v1/playbacks", JSON + "x: " + "y" * 9000 + "\r\n", "{}", 431),
]


def test_bad_input_is_refused_with_a_line_that_says_why_and_harms_nobody() -> None:
    async def run() -> None:
        async with town() as here:
            _, told = await here.post(ASK)
            for line, headers, body, status in REFUSED:
                length = "" if body is None else f"content-length: {len(body)}\r\n"
                reader, writer = await asyncio.open_connection(*here.address)
                writer.write(f"{line} HTTP/1.1\r\nhost: a\r\n{headers}{length}\r\n{body or ''}".encode())
                head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)).decode()
                assert int(head.split()[1]) == status, (line, body, head)
                size = int(head.lower().split("content-length: ")[1].split()[0])
                why = msgspec.json.decode(await asyncio.wait_for(reader.readexactly(size), 10))
                assert set(why) == {"error"} and why["error"]
                writer.close()
            assert (await here.get(told["manifest"]))[0] == 200
            assert len(here.seen(TryCame)) == 1 and here.program.driver.counts["asked"] == 1
            await until(lambda: here.program.doorkeeper.heads.taken == 0)
            await until(lambda: here.program.doorkeeper.bytes.taken == 0)

    asyncio.run(run())


def test_ids_cannot_be_guessed_and_others_playbacks_are_out_of_reach() -> None:
    async def run() -> None:
        async with town() as here:
            ids = [(await here.post(ASK))[1]["playback"] for _ in range(20)]
            assert len(set(ids)) == 20 and all(len(one) >= 20 for one in ids)
            near = ids[0][:-1] + ("A" if ids[0][-1] != "A" else "B")
            assert (await here.get(f"/v1/playbacks/{near}/index.m3u8"))[0] == 404
            assert (await here.get(f"/v1/playbacks/{near}", b"DELETE"))[0] == 404
            assert here.program.driver.playing == 20

    asyncio.run(run())


async def ails(here: Town, **ailments: object) -> None:
    for number in here.fleet.hosts:
        here.fleet.ail(number, **ailments)


@pytest.mark.parametrize(
    ("ailment", "plan", "ending", "status", "tries"),
    [
        ({"errors": 1.0}, "explainer", Ending.ERROR, 503, 4),
        ({"errors": 1.0}, "exam", Ending.ERROR, 502, 1),
        ({"full": True}, "explainer", Ending.FULL, 503, 4),
        ({"full": True}, "exam", Ending.FULL, 503, 4),
        ({"mute": True}, "exam", Ending.TIMEOUT, 502, 1),
    ],
)
def test_how_a_try_ends_and_what_the_viewer_is_told(
    ailment: dict, plan: str, ending: Ending, status: int, tries: int
) -> None:
    async def run() -> None:
        heard = Recorded()
        async with town(sample(rules__further_free=None), heard) as here:
            await ails(here, **ailment)
            began = time.monotonic()
            found, told = await here.post(ASK | {"plan": plan})
            assert found == status and time.monotonic() - began < 3.0
            assert len(here.seen(TryCame)) == tries
            await until(lambda: len(heard.endings()) == tries)
            # Before the abandon time the decisions call the last try off; either says that it may have run.
            wanted = {ending, Ending.CALLED_OFF} if ending is Ending.TIMEOUT else {ending}
            assert set(heard.endings()) <= wanted
            assert ("retry_after_ms" in told) == (status == 503)

    asyncio.run(run())


def test_a_host_that_is_gone_but_listed_is_no_connection_and_the_next_one_plays() -> None:
    async def run() -> None:
        heard = Recorded()
        async with town(maker=heard) as here:
            here.list.delay = 60
            exam = ASK | {"plan": "exam"}
            first = (await here.post(exam))[1]["playback"]
            number = here.seen(TryCame)[0].host
            await here.get(f"/v1/playbacks/{first}", b"DELETE")
            here.fleet.crash(number)
            status, _ = await here.post(exam)
            assert status == 201 and Ending.NO_CONNECTION in heard.endings()

    asyncio.run(run())


def test_a_host_that_dies_breaks_its_streams_and_ends_their_playlists() -> None:
    async def run() -> None:
        heard = Recorded()
        async with town(maker=heard) as here:
            _, told = await here.post(ASK)
            here.fleet.crash(here.seen(TryCame)[0].host)
            await until(lambda: Ending.BROKEN in heard.endings())
            assert (await here.get(told["manifest"]))[1].endswith(b"#EXT-X-ENDLIST\n")
            assert not here.program.driver.held

    asyncio.run(run())


def test_a_viewer_that_closes_early_has_left_and_its_try_is_closed() -> None:
    async def run() -> None:
        async with town() as here:
            await ails(here, mute=True)
            body = msgspec.json.encode(ASK)
            _, writer = await asyncio.open_connection(*here.address)
            head = f"POST /v1/playbacks HTTP/1.1\r\nhost: a\r\n{JSON}content-length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            await until(lambda: here.seen(TryCame))
            writer.close()
            await until(lambda: here.seen(TryOver))
            await until(lambda: not here.program.driver.held)
            assert here.program.doorkeeper.held.taken == 0 and len(here.seen(TryCame)) == 1

    asyncio.run(run())


def test_a_short_link_takes_what_plays_down_and_the_playlist_follows() -> None:
    async def run() -> None:
        deployment = sample(fleet__note_lag_ms=20.0, stand_ins__deliver_every_ms=100.0)
        async with town(deployment) as here:
            _, told = await here.post(ASK)
            await ails(here, link=50.0)

            async def stepped() -> bool:
                text = (await here.get(told["manifest"]))[1].decode()
                return any(f"/{rung}/" in text for rung in (0, 1, 2))

            end = time.monotonic() + 20
            while not await stepped():
                assert time.monotonic() < end
                await asyncio.sleep(0.1)

    asyncio.run(run())


def test_drained_hosts_get_nothing_once_the_list_has_said_so() -> None:
    async def run() -> None:
        async with town() as here:
            await here.post(ASK)
            drained = here.seen(TryCame)[0].host
            here.fleet.drain(drained)
            await until(lambda: any(one.standing == "draining" for one in here.seen(Told)))
            for _ in range(20):
                await here.post(ASK)
            assert drained not in [one.host for one in here.seen(TryCame)[1:]]

    asyncio.run(run())


def test_past_its_limits_the_program_says_503_before_any_set_up() -> None:
    async def run() -> None:
        deployment = sample()
        doorway = msgspec.structs.replace(deployment.edge.doorway, held=1, crowded=1.0)
        edge = msgspec.structs.replace(deployment.edge, doorway=doorway)
        async with town(msgspec.structs.replace(deployment, edge=edge)) as here:
            await ails(here, mute=True)
            first = asyncio.ensure_future(here.post(ASK))
            await until(lambda: here.seen(TryCame))
            raw = msgspec.json.encode(ASK)
            headers = ((b"content-type", b"application/json"),)
            status, told, _ = await Whole.of(here.pool, here.address, b"POST", b"/v1/playbacks", headers, raw)
            assert status == 503 and (b"retry-after", b"1") in told
            came = {one.playback for one in here.seen(TryCame)}
            assert len(came) == 1 and here.program.driver.counts["asked"] == 1
            await first
            assert here.program.doorkeeper.held.taken == 0

    asyncio.run(run())


def test_a_connection_too_many_is_sent_away_with_advice() -> None:
    async def run() -> None:
        deployment = sample()
        doorway = msgspec.structs.replace(deployment.edge.doorway, connections=3, crowded=1.0)
        edge = msgspec.structs.replace(deployment.edge, doorway=doorway)
        async with town(msgspec.structs.replace(deployment, edge=edge)) as here:
            peers = [socket.create_connection(here.address) for _ in range(3)]
            await until(lambda: here.program.doorkeeper.connections.taken == 3)
            reader, writer = await asyncio.open_connection(*here.address)
            head = await asyncio.wait_for(reader.read(2000), 10)
            assert head.startswith(b"HTTP/1.1 503 ") and b"retry-after: 1" in head
            writer.close()
            for peer in peers:
                peer.close()
            await until(lambda: here.program.doorkeeper.connections.taken == 0)

    asyncio.run(run())


def test_sigterm_answers_what_is_held_and_leaves_what_plays_until_its_time() -> None:
    async def run() -> None:
        async with town(sample(edge__leave_after_ms=400.0)) as here:
            _, told = await here.post(ASK)
            await ails(here, mute=True)
            held = asyncio.ensure_future(here.post(ASK | {"title": "unit-02"}))
            await until(lambda: len(here.seen(TryCame)) == 2)
            here.program.stop()
            status, refusal = await here.post(ASK)
            assert status == 503 and "going" in refusal["error"]
            assert (await here.get(told["manifest"]))[0] == 200
            assert (await held)[0] in (502, 503)
            assert await asyncio.wait_for(here.program.done, 10) == 0
            assert len({one.playback for one in here.seen(TryCame)}) == 2

    asyncio.run(run())


def test_decisions_that_fail_answer_all_that_is_held_and_end_the_process() -> None:
    class Failing(Recorded):
        def take(self, now: int, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.Arrived) and event.request.title == 3:
                raise RuntimeError("a fault of the decisions")
            return super().take(now, event)

    async def run() -> None:
        async with town(maker=Failing()) as here:
            await ails(here, mute=True)
            held = asyncio.ensure_future(here.post(ASK))
            await until(lambda: here.seen(TryCame))
            status, _ = await here.post(ASK | {"title": "unit-03"})
            assert status == 503 and (await held)[0] == 502
            assert await asyncio.wait_for(here.program.done, 10) == 70

    asyncio.run(run())


def test_what_is_over_leaves_no_circles() -> None:
    async def run() -> None:
        async with town() as here:

            async def some(count: int) -> None:
                for place in range(count):
                    _, told = await here.post(ASK | {"lasts": 0.05 if place % 2 else 30})
                    if place % 2 == 0:
                        await here.get(told["manifest"].rpartition("/")[0], b"DELETE")
                await until(lambda: not here.program.driver.held)

            await some(10)  # whatever is made once
            found = []
            for count in (10, 60):
                gc.collect()
                gc.disable()
                await some(count)
                found.append(sum(type(one).__module__.startswith("burlmast.edge") for one in garbage()))
                gc.enable()
            assert found == [0, 0], "playbacks and tries that only the collector would free"

    asyncio.run(run())


def garbage() -> list[object]:
    """What only the collector frees."""
    gc.set_debug(gc.DEBUG_SAVEALL)
    try:
        gc.collect()
        return list(gc.garbage)
    finally:
        gc.set_debug(0)
        gc.garbage.clear()


# The list.


def test_a_list_that_fails_is_followed_again_and_the_old_one_holds_meanwhile() -> None:
    async def run() -> None:
        async with town(sample(edge__redial_ms=20.0, edge__redial_longest_ms=50.0)) as here:
            here.list.fail(True)
            await until(lambda: not here.list._followers)
            assert (await here.post(ASK))[0] == 201
            here.list.fail(False)
            await until(lambda: here.list._followers)
            drained = next(iter(here.fleet.hosts))
            here.fleet.drain(drained)
            gateway = here.program.driver.policy
            await until(lambda: gateway.hosts[drained].row.standing is api.Standing.DRAINING)

    asyncio.run(run())


def test_a_list_that_goes_silent_is_dialled_again() -> None:
    async def run() -> None:
        async with town(sample(edge__list_quiet_ms=200.0, edge__redial_ms=20.0)) as here:
            before = next(iter(here.list._followers))
            assert here.list._ticker
            here.list._ticker.cancel()
            await until(lambda: here.list._followers and before not in here.list._followers)

    asyncio.run(run())


def test_rows_that_are_not_rows_are_left_out_and_the_rest_counts() -> None:
    async def run() -> None:
        heard = Recorded()
        async with town(maker=heard) as here:
            good = next(iter(here.list.rows.values()))
            bad = [
                {**good, "host": 1, "address": "nowhere"},
                {**good, "host": 2, "standing": "asleep"},
                {**good, "host": 3, "cell": -1},
                {"host": 4},
                {**good, "host": 5, "weight": "heavy"},
            ]
            here.list.changed([*bad, {**good, "host": 6}])
            await until(lambda: 6 in heard.inner.hosts)
            assert not {1, 2, 3, 4, 5} & set(heard.inner.hosts)

    asyncio.run(run())


def test_the_first_list_of_a_start_counts_as_old() -> None:
    async def run() -> None:
        heard = Recorded()
        async with town(maker=heard):
            lists = [one for one in heard.heard if isinstance(one, api.Listed)]
            assert [one.scope for one in lists] == [api.Scope.CACHED] and len(lists[0].rows) == 12

    asyncio.run(run())


def test_where_the_list_must_be_asked_for_the_decisions_ask_and_hear_of_failures() -> None:
    async def run() -> None:
        heard = Recorded()
        async with town(sample(allowed__must_ask=True, allowed__ask_within_ms=200.0), heard) as here:
            here.list.fail(True)
            await until(
                lambda: any(isinstance(e, api.Listed) and e.scope is api.Scope.FAILED for e in heard.heard)
            )
            here.list.fail(False)
            await until(lambda: here.list._followers)

    asyncio.run(run())


def test_operators_see_figures_and_readiness() -> None:
    async def run() -> None:
        async with town() as here:
            await here.post(ASK)
            address = ("127.0.0.1", here.program.operators_server.port)
            status, _, text = await Whole.of(here.pool, address, b"GET", b"/metrics")
            assert status == 200 and b'burlmast_happened_total{what="plays"} 1.0' in text
            assert b"burlmast_playing 1.0" in text
            assert (await Whole.of(here.pool, address, b"GET", b"/readyz"))[0] == 200
            assert (await Whole.of(here.pool, address, b"POST", b"/metrics"))[0] == 405

    asyncio.run(run())
