"""A host is known by its id: another at its address, or with an id of the same CRC-32, is another host."""

from __future__ import annotations

import asyncio
import zlib
from pathlib import Path

import pytest
from platform_standin import EXTRAS, ID, Platform, playing, run, set_ups, until
from replaced_hosts_trial import COLLIDING, play

from burlmast.node import frames
from burlmast.node.host_numbers import MOST, HostNumbers


@pytest.mark.parametrize("how", ["replaced", "swapped"])
def test_a_new_process_at_the_address_of_another_is_not_taken_for_it(how: str) -> None:
    # Guards against work at a host that does not hold its title, twice, or left standing.
    judged = play(how, rounds=2)
    assert judged.unanswered == judged.wrong_place == judged.ran_twice == judged.not_released == 0, judged


def test_a_new_host_whose_id_has_the_same_crc_leaves_the_sessions_of_the_other_alone(tmp_path: Path) -> None:
    # Guards against two hosts taken for one since their ids have one CRC-32: sessions of the first were cut.
    async def work() -> None:
        one = Platform(tmp_path, 2)
        first, third = one.hosts
        first.name = COLLIDING[0]
        await one.start()
        line = await one.line()
        line.set_up(extras=EXTRAS.replace("copies:4", "copies:1"))
        assert (await line.hear())["type"] == "answer" and one.host_of() is first
        del one.names.rows[third.name]
        one.names.rows[COLLIDING[1]] = third.port, 0  # it takes the place of a third
        one.names.serial += 1
        await until(lambda: COLLIDING[1] in one.program.roster.entries)
        in_service = [host.name for host in one.program.hosts.hosts.values() if host.in_service]
        assert sorted(in_service) == sorted(COLLIDING)
        assert one.program.listener.known[ID].state == "playing" and len(set_ups(one)) == 1
        one.close()
        await asyncio.sleep(0.01)

    asyncio.run(work())


@pytest.mark.parametrize("how", ["another id there", "another address"])
def test_what_stands_at_a_process_that_was_taken_for_a_host_is_released_there(
    tmp_path: Path, how: str
) -> None:
    # Guards against sessions that go on at a new process while their viewers were told that they are over.
    async def work(one: Platform) -> None:
        line, host = await playing(one)
        port, _ = one.names.rows.pop(host.name)
        if how == "another id there":
            one.names.rows["s-new"] = port, 0
        else:
            spare = next(each for each in one.hosts if each is not host)
            one.names.rows[host.name] = one.names.rows.pop(spare.name)
        one.names.serial += 1
        assert await line.hear_end(ID, 3.0) < 3.0
        await until(lambda: [message.session for message in host.of(frames.RELEASE)] == [int(ID, 16)])

    run(work, tmp_path)


def test_each_host_has_a_number_of_its_own_and_keeps_it() -> None:
    numbers = HostNumbers()
    first, second = numbers.of(COLLIDING[0]), numbers.of(COLLIDING[1])
    assert first == zlib.crc32(COLLIDING[0].encode()) == zlib.crc32(COLLIDING[1].encode()) != second
    assert numbers.of(COLLIDING[1]) == second == numbers.find(COLLIDING[1]) and numbers.find("s-0") is None
    for place in range(2 * MOST):
        numbers.of(f"s-{place}")
    assert len(numbers) == MOST
    assert len({numbers.of(f"s-{place}") for place in range(MOST, 2 * MOST)}) == MOST
