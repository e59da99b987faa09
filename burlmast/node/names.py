"""The list of media hosts as the platform writes it: its events in JSON, and the name server's answers.

Free of I/O."""

from __future__ import annotations

import struct
from typing import Any, NamedTuple

import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdataclass
import dns.rdatatype

# dnspython imports the classes of records with their first answer, which fails where no descriptor is left.
import dns.rdtypes.ANY.OPT
import dns.rdtypes.ANY.SOA
import dns.rdtypes.ANY.TXT
import dns.rdtypes.IN.A
import dns.rdtypes.IN.SRV

from burlmast.api import Standing

SERVICE = "_work._tcp.fleet.local"
LARGEST = 8192  # bytes of an answer: the platform's are of up to 8,000
MS = 1_000_000
STANDINGS = {"Ready": Standing.READY, "Terminating": Standing.DRAINING, "Gone": Standing.GONE}


class Unsound(Exception):
    """An event or an answer that cannot be used."""


class Entry(NamedTuple):
    """One media host as the list has it; `started` whole Unix nanoseconds, 0 for long ago."""

    name: str
    address: tuple[str, int]
    zone: str
    kind: str
    cell: int
    standing: Standing
    weight: float
    started: int


def split(address: str, least: int = 1) -> tuple[str, int]:
    """Host and port, which is `least` or above. Raises Unsound."""
    name, _, port = address.rpartition(":")
    if not name or not port.isdecimal() or not least <= int(port) < 65536:
        raise Unsound(f"not an address: {address}")
    return name, int(port)


def _started(ms: object) -> int:
    return int(float(ms) * MS) if isinstance(ms, int | float | str) else 0


def read_event(notice: Any) -> list[Entry]:
    """What one event of the list tells. Raises Unsound."""
    try:
        return [
            Entry(
                row["instanceId"],
                split(row["hostPort"]),
                row.get("zone", ""),
                row.get("machineType", ""),
                int(row.get("cell", 0)),
                STANDINGS[row["lifecycle"]],
                float(row.get("weight", 1.0)),
                _started(row.get("startedAtMs", 0)),
            )
            for row in notice["pool"]["instances"]
        ]
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as why:
        raise Unsound(f"not an event of the list: {type(why).__name__}: {why}") from None


def query(number: int) -> bytes:
    """The question for the whole list."""
    return dns.message.make_query(SERVICE, "SRV", use_edns=0, payload=LARGEST, id=number).to_wire()


def read_answer(raw: bytes, number: int) -> tuple[int, list[Entry]]:
    """The serial and the whole list that a datagram answers the question `number` with. Raises Unsound."""
    try:
        message = dns.message.from_wire(raw)
        flags, code = message.flags, message.rcode()
        if message.id != number or not flags & dns.flags.QR:
            raise Unsound("it answers another question")
        if code != dns.rcode.NOERROR or flags & dns.flags.TC:
            raise Unsound(
                f"it reports {dns.rcode.to_text(code)}{', cut short' if flags & dns.flags.TC else ''}"
            )
        serials = [r.serial for s in message.authority if s.rdtype == dns.rdatatype.SOA for r in s]
        if len(serials) != 1:
            raise Unsound("it has no serial")
        return int(serials[0]), _entries(message)
    except (dns.exception.DNSException, struct.error, ValueError, IndexError, UnicodeError, OSError) as why:
        raise Unsound(f"not an answer: {type(why).__name__}: {why}") from None


def _entries(message: dns.message.Message) -> list[Entry]:
    service = dns.name.from_text(SERVICE)
    records = [
        (one.name, one.rdtype, record)
        for one in (*message.answer, *message.authority, *message.additional)
        for record in one
        if one.rdclass == dns.rdataclass.IN
    ]
    addresses = {name: r.address for name, kind, r in records if kind == dns.rdatatype.A}
    texts = {name: r.strings for name, kind, r in records if kind == dns.rdatatype.TXT}
    found = []
    for name, kind, r in records:
        if kind != dns.rdatatype.SRV or name != service:
            continue
        if r.target not in addresses or r.target not in texts:
            raise Unsound(f"{r.target} lacks its records")
        told = dict(part.decode("latin-1").partition("=")[::2] for part in texts[r.target])
        labels = [label.decode("latin-1") for label in r.target.labels]
        found.append(
            Entry(
                labels[0],
                (addresses[r.target], r.port),
                labels[1],
                told.get("kind", ""),
                int(told.get("cell", "0")),
                Standing.DRAINING if r.priority else Standing.READY,
                r.weight / 10,
                _started(told.get("started", "0")),
            )
        )
    return found
