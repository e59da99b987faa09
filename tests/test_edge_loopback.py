"""The gateway on sockets, against stand-in hosts and list."""

from __future__ import annotations

import asyncio

from town import town, until

from burlmast.world.traffic import TryCame, TryOver


def test_one_playback_end_to_end() -> None:
    async def run() -> None:
        async with town() as here:
            status, told = await here.post(
                {"title": "unit-01", "plan": "explainer", "viewer": "v", "lasts": 30}
            )
            assert status == 201 and told["rung"] == 3
            status, playlist = await here.get(told["manifest"])
            came = here.seen(TryCame)
            host = here.fleet.hosts[came[0].host].address
            assert status == 200 and f"http://{host}/v1/media/unit-01/3/0.m4s" in playlist.decode()
            assert b"#EXT-X-TARGETDURATION:2\n" in playlist
            status, _ = await here.get(told["manifest"].rpartition("/")[0], b"DELETE")
            assert status == 204
            await until(lambda: here.seen(TryOver))
            assert len(came) == 1 and here.seen(TryOver)[0].how == "closed"
            assert not here.program.driver.held
            assert (await here.get(told["manifest"]))[0] == 404

    asyncio.run(run())
