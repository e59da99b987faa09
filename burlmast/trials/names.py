"""A name server of the platform for trials: the whole list in answer to each question."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import dns.message
import dns.rrset

from burlmast.node.names import SERVICE

ORIGIN = "fleet.local."


class NameServer(asyncio.DatagramProtocol):
    """Answers with the hosts of `rows`, all of them ready."""

    def __init__(self) -> None:
        self.rows: dict[str, int] = {}  # the port of each host
        self.serial = 1
        self.transport: asyncio.DatagramTransport

    async def start(self) -> None:
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, ("127.0.0.1", 0))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    @property
    def port(self) -> int:
        return int(self.transport.get_extra_info("sockname")[1])

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self.transport.sendto(self._reply(data), addr)

    def close(self) -> None:
        if hasattr(self, "transport"):
            self.transport.close()

    def _reply(self, question: bytes) -> bytes:
        reply = dns.message.make_response(dns.message.from_wire(question))
        for place, (name, port) in enumerate(self.rows.items()):
            target = f"{name}.east.hosts."
            reply.answer.append(dns.rrset.from_text(f"{SERVICE}.", 0, "IN", "SRV", f"0 10 {port} {target}"))
            reply.additional.append(dns.rrset.from_text(target, 0, "IN", "A", "127.0.0.1"))
            texts = f'"kind=std" "cell={place % 4}" "started=0"'
            reply.additional.append(dns.rrset.from_text(target, 0, "IN", "TXT", texts))
        soa = f"ns.{ORIGIN} hosts.{ORIGIN} {self.serial} 1 1 1 0"
        reply.authority.append(dns.rrset.from_text(ORIGIN, 0, "IN", "SOA", soa))
        return reply.to_wire(max_size=8000)
