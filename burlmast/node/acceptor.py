"""Accepts viewers' connections: a few at a time, and only while a descriptor is left for them."""

from __future__ import annotations

import asyncio
import socket

from burlmast.node.descriptors import BATCH, SHORTAGE
from burlmast.node.viewer_connection import SWEEP, ViewerConnection
from burlmast.node.viewers import ViewerListener

BACKLOG = 1024  # that wait to be accepted


class Acceptor:
    """The listening socket. The loop's own server would take all that wait at once, whatever is left."""

    def __init__(self, address: tuple[str, int], listener: ViewerListener) -> None:
        """Must be made on a running loop. Raises OSError where it cannot listen."""
        self._loop, self._listener = asyncio.get_running_loop(), listener
        self._socket = socket.create_server(address, backlog=BACKLOG)
        self._socket.setblocking(False)
        self._tasks: set[asyncio.Task[None]] = set()
        self._open = self._reading = False
        self._retry: asyncio.TimerHandle | None = None
        self.port: int = self._socket.getsockname()[1]
        listener.freed = self.resume

    def start(self) -> None:
        """Begin to accept."""
        self._open = True
        self.resume()

    def resume(self) -> None:
        """Accept again, if there is room."""
        if self._open and not self._reading and self._retry is None and not self._listener.full:
            self._reading = True
            self._loop.add_reader(self._socket, self._accept)

    def close(self) -> None:
        """Listen no more."""
        self._pause()
        self._open = False
        if self._retry is not None:
            self._retry.cancel()
        self._socket.close()

    def _pause(self) -> None:
        if self._reading:
            self._reading = False
            self._loop.remove_reader(self._socket)

    def _accept(self) -> None:
        for _ in range(BATCH):
            if self._listener.full:
                self._pause()
                return
            try:
                one, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as why:
                if why.errno not in SHORTAGE:
                    raise
                self._listener.log_line("no descriptor for a viewer")
                self._pause()
                # Those who wait behind a crowd of idle ones must not wait for each of them in turn.
                soon = self._listener.make_room()
                self._retry = self._loop.call_later(0 if soon else SWEEP / 1e9, self._again)
                return
            one.setblocking(False)
            self._listener.accepted += 1
            task = self._loop.create_task(self._take(one))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _again(self) -> None:
        self._retry = None
        self.resume()

    async def _take(self, one: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(lambda: ViewerConnection(self._listener), one)
        except OSError:
            one.close()
        finally:
            self._listener.accepted -= 1
