"""The numbers under which the decisions and the pool know hosts, by their ids. Free of I/O."""

from __future__ import annotations

import zlib

MOST = 20_000  # ids that are remembered; the oldest go first


class HostNumbers:
    """Gives each host its own number: the CRC-32 of its id, as at every gateway, unless another has it."""

    def __init__(self) -> None:
        self._numbers: dict[str, int] = {}  # oldest first
        self._names: dict[int, str] = {}

    def __len__(self) -> int:
        return len(self._numbers)

    def of(self, name: str) -> int:
        """The number of the host of this id."""
        known = self._numbers.get(name)
        return self._assign(name) if known is None else known

    def find(self, name: str) -> int | None:
        """The number of the host of this id; None where it has never been listed."""
        return self._numbers.get(name)

    def _assign(self, name: str) -> int:
        number, tries = zlib.crc32(name.encode()), 0
        while number in self._names:
            tries += 1
            number = zlib.crc32(f"{name}#{tries}".encode())
        self._numbers[name], self._names[number] = number, name
        if len(self._numbers) > MOST:
            oldest = next(iter(self._numbers))
            del self._names[self._numbers.pop(oldest)]
        return number
