"""The viewers' side: one check of form, and exactly one whole answer to each request taken."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any

from burlmast.api import Ending
from burlmast.edge.driver import Driver
from burlmast.edge.playback import Attempt, Final, Playback, Wanted
from burlmast.logic import NEVER_RAN
from burlmast.node import lines
from burlmast.node.arrival import LoopGaps
from burlmast.node.configuration import Configuration
from burlmast.node.delivery import EndDelivery
from burlmast.node.descriptors import BATCH
from burlmast.node.eventlog import EventLog
from burlmast.node.host_interface import SetupPayload
from burlmast.node.isolation import for_each
from burlmast.node.lines import Line
from burlmast.node.message_size import MessageTooLong
from burlmast.node.recent_ids import RecentIds
from burlmast.node.request_queue import QueuedRequest
from burlmast.node.request_turns import RequestTurns
from burlmast.node.set_up import SessionRequest, WrongForm, parse_set_up, sound_id
from burlmast.node.viewer_connection import SWEEP, UNSOUND_FOR, ViewerConnection
from burlmast.shutdown import Shutdown

MS = 1_000_000
FREE = frozenset(("progress", "note", "rate", "move", "pong"))  # they want no answer
CAUSES = {"rejected": lines.REFUSED, "aborted": lines.FAILED, "cut": lines.FAILED}
ENDS = {Ending.SERVED: lines.ENDED}


OPEN_MOST = 512  # requests of one connection that have no answer yet; beyond that it is refused at once


class SessionView:
    """What the viewer of a playback is shown here: nothing but its answer, and its end."""

    __slots__ = ("answered_at", "sent", "viewer")

    def __init__(self, sent: SetupPayload, viewer: ViewerConnection | None) -> None:
        self.sent = sent
        self.viewer = viewer  # the connection that asked, if any
        self.answered_at = 0  # when its answer was written; 0: none was

    def begin(self, now: int, host: str, rung: int) -> None:
        """See `playback.Shown`."""

    def step(self, now: int, rung: int) -> None:
        """See `playback.Shown`."""

    def end(self, now: int) -> None:
        """See `playback.Shown`."""


def _may_have_run(attempt: Attempt) -> bool:
    """Whether a host may have begun with it."""
    return attempt.written and attempt.ending not in NEVER_RAN


class ViewerListener:
    """All viewers."""

    def __init__(
        self,
        configuration: Configuration,
        now: Callable[[], int],
        log_line: Callable[[str], None],
        most: int,
        events: EventLog,
    ) -> None:
        self.configuration, self.now, self.log_line, self._most = configuration, now, log_line, most
        self.events = events
        self._connection_names = 0
        self.shutdown = Shutdown(configuration.abandon_times)
        self.gaps = LoopGaps(now())
        self.driver: Driver | None = None
        self.arm: Callable[[], None] = lambda: None  # after anything that the driver was told
        self.handed_over: Callable[[Attempt, SetupPayload], None] | None = None
        # The number of a host that is listed, or on which something stands still, by its name.
        self.host_number: Callable[[str], int | None] | None = None
        self.viewers: dict[ViewerConnection, None] = {}  # in the order in which they came
        self.known: dict[str, Playback] = {}  # asked or playing, by the platform's id
        self.counts: Counter[str] = Counter()
        self.accepted = 0  # connections that the listener has taken and that are not here yet
        self.freed: Callable[[], None] = lambda: None  # after a connection has gone
        self._loop = asyncio.get_running_loop()
        self.ends = EndDelivery(lambda: self.viewers, now, self._loop.call_later, events)
        self.turns: RequestTurns[ViewerConnection, SessionRequest] = RequestTurns(
            now, self._loop.call_soon, self._decide, self._refuse
        )
        self._closed = False
        self.recent_ids = RecentIds()
        self.ready = False  # tests are passed from then on; what comes earlier is served all the same

    # Connections.

    def next_connection_name(self) -> str:
        """The name of a connection in the log."""
        self._connection_names += 1
        return f"v{self._connection_names}"

    @property
    def full(self) -> bool:
        """Whether no connection may be accepted until one of those that are here is closed."""
        return len(self.viewers) + self.accepted >= self._most + BATCH

    def connected(self, viewer: ViewerConnection) -> None:
        """A connection is there."""
        self.viewers[viewer] = None
        if sum(1 for one in self.viewers if one.usable) > self._most:
            self.make_room()
        self.ends.connection_made()

    def make_room(self) -> bool:
        """Close the connection that is missed least; False where something is asked on each."""
        idle = [one for one in self.viewers if one.idle and one.usable]
        idle.sort(key=lambda one: (one.standing(self.now()), one.last_received))
        # What has written already and was not read yet is idle no longer.
        chosen = next((one for one in idle if not one.waiting()[1]), idle[0] if idle else None)
        if chosen is not None:
            self.counts["closed for room"] += 1
            chosen.close("room")
        return chosen is not None

    def abandoned(self, viewer: ViewerConnection) -> None:
        """The other side of a connection has closed it: what is asked on it is given up."""
        self.turns.queue.drop(viewer)
        for playback in list(viewer.open.values()):
            playback.reply = None
            self.leave(playback)
        viewer.open.clear()

    def disconnected(self, viewer: ViewerConnection) -> None:
        """A connection is gone, and what was asked on it."""
        self.viewers.pop(viewer, None)
        if viewer.open or viewer.established:
            self.events.record(
                "viewer_connection_closed",
                connection=viewer.name,
                reason=viewer.closed_because,
                requests_open=len(viewer.open),
                established=viewer.established,
            )
        self.ends.connection_lost(viewer)
        self.abandoned(viewer)
        self.freed()

    def wanted(self, playback: Playback) -> bool:
        """Whether the viewer is still there, by what its connection has in store; if not, it has left."""
        viewer: Any = playback.reply
        if isinstance(viewer, ViewerConnection) and viewer.waiting()[0]:
            self.counts["gone before a send"] += 1
            self.abandoned(viewer)
        return playback.state == "asked"

    def unread(self, playback: Playback) -> bool:
        """Whether its connection holds something that may be about it."""
        viewer: Any = playback.reply
        return isinstance(viewer, ViewerConnection) and viewer.waiting()[1]

    def sweep(self) -> None:
        """Close those who have sent nothing sound for too long."""
        if self._closed:
            return
        self._loop.call_later(SWEEP / 1e9, self.sweep)
        now = self.now()
        self.gaps.tick(now)
        viewers = list(self.viewers)
        for_each(
            "sweep_viewer",
            viewers,
            lambda viewer: self._sweep_one(viewer, now),
            lambda viewer: viewer.name,
            self.events,
        )

    def _sweep_one(self, viewer: ViewerConnection, now: int) -> None:
        half = viewer.partial_since and now - viewer.partial_since >= UNSOUND_FOR
        if viewer.closing_since and now - viewer.closing_since >= UNSOUND_FOR:
            # Who reads nothing would keep its descriptor for good.
            self.counts["closed at once"] += 1
            viewer.closed_because = viewer.closed_because or "not_read"
            assert viewer.transport is not None
            viewer.transport.abort()
        elif viewer.unsound(now) or (half and viewer.idle):
            if not viewer.waiting()[1]:
                self.counts["closed unsound"] += 1
                viewer.close("unsound")

    def close(self) -> None:
        """Answer what is held, and close every connection."""
        self._closed = True
        self.ends.close()
        for viewer in list(self.viewers):
            viewer.close("shutdown")

    def begin_anew(self) -> None:
        """Other decisions hold nothing yet."""
        for viewer in self.viewers:
            viewer.held = 0

    # Messages.

    def received(self, viewer: ViewerConnection, line: Line) -> None:
        """One message."""
        if not viewer.usable:
            return
        found = HANDLERS.get(line.type)
        if found is not None:
            found(self, viewer, line)
        elif line.type not in FREE:
            self.counts["unknown type"] += 1
            viewer.close("unknown_message_type")

    def _ping(self, viewer: ViewerConnection, line: Line) -> None:
        try:
            reply = lines.pong(line.id, self.ready)
        except MessageTooLong:
            self.counts["id too long"] += 1
            viewer.close("id_too_long")
            return
        viewer.sound = True
        viewer.write(reply)

    def _released(self, viewer: ViewerConnection, line: Line) -> None:
        self.ends.acknowledge(line.id, viewer)

    def _release(self, viewer: ViewerConnection, line: Line) -> None:
        playback = self.known.get(line.id)
        if self.turns.queue.cancel(line.id) is not None:
            viewer.sound = True
            self.counts["given up before its decision"] += 1
        elif playback is not None:
            viewer.sound = True
            self.events.trace("request_cancelled", line.id, connection=viewer.name, state=playback.state)
            playback.reply = None
            self.leave(playback)

    def leave(self, playback: Playback) -> None:
        """The viewer has given it up, or ended it."""
        self._forget(playback)
        if self.driver is not None:
            self.driver.leave(self.now(), playback)
            self.arm()

    def _set_up(self, viewer: ViewerConnection, line: Line) -> None:
        if not sound_id(line.id):
            self.counts["no id"] += 1
            viewer.close("no_id")
            return
        try:
            request, at = parse_set_up(line, self.configuration)
        except WrongForm as why:
            self.counts["wrong form"] += 1
            self.log_line(f"a set-up is refused: {why}")
            self.events.trace("request_refused", line.id, connection=viewer.name, reason="wrong_form")
            viewer.write(lines.release(line.id, lines.NONSENSE))
            return
        held = self.known.get(line.id)
        if at:
            viewer.sound = True
            viewer.asked += 1
            if held is None:
                self._hand_over(viewer, line.id, request, at)
            return
        waiting = self.turns.queue.find(line.id)
        if held is not None or waiting is not None:
            self.counts["id twice"] += 1
            if waiting is not None and waiting.connection is viewer:
                self.turns.queue.cancel(line.id)  # both end with this one answer
            elif held is not None and held.reply is viewer:
                # Neither can be told from the other: both end with this one answer.
                held.reply = None
                self.leave(held)
            viewer.write(lines.release(line.id, lines.NONSENSE))
            return
        if self.recent_ids.used(line.id, self.now()):
            self.counts["id used before"] += 1
            self.events.trace("request_refused", line.id, connection=viewer.name, reason="id_used_before")
            viewer.write(lines.release(line.id, lines.NONSENSE))
            return
        viewer.sound = True
        viewer.asked += 1
        self._arrive(viewer, line.id, request)

    def _arrive(self, viewer: ViewerConnection, name: str, request: SessionRequest) -> None:
        now = self.now()
        # Its viewer waits since it wrote it, and it may have lain in the socket for as long as a standstill.
        left = request.wanted.patience - viewer.arrival.waited(now)
        request = request._replace(wanted=request.wanted._replace(patience=left))
        allowed = self.shutdown.time_allowed(now, left)
        size = len(request.sent.description) + len(request.sent.title)
        reason = self._no_room(viewer) if left > 0 else "read_too_late"
        if reason:
            self._refuse(QueuedRequest(name, viewer, request, size, now, now), reason)
            return
        self.turns.arrive(name, viewer, request, size, allowed)

    def _no_room(self, viewer: ViewerConnection) -> str:
        """Why nothing more can be asked on this connection for now; empty where it can."""
        if len(viewer.open) >= OPEN_MOST:
            return "too_many_open"
        if self.driver is not None and len(self.driver.held) >= self.configuration.sessions:
            return "too_many_sessions"
        if viewer.held >= self.configuration.sessions // 2:
            return "too_many_sessions_of_connection"  # the others' room is left to them
        return ""

    def waiting(self, viewer: ViewerConnection) -> int:
        """How many requests of a connection wait for their decision."""
        return self.turns.queue.waiting(viewer)

    def refuse_waiting(self, viewer: ViewerConnection) -> None:
        """Answer those requests: they were never sent on."""
        for request in self.turns.queue.drop(viewer):
            self._refuse(request, "connection_closed")

    def _refuse(self, request: QueuedRequest[ViewerConnection, SessionRequest], reason: str) -> None:
        viewer = request.connection
        self.counts[f"refused, {reason}"] += 1
        if not viewer.overloaded:
            viewer.overloaded = True
            self.events.record("connection_over_its_share", connection=viewer.name, reason=reason)
        self.events.trace("request_refused", request.name, connection=viewer.name, reason=reason)
        viewer.write(lines.release(request.name, lines.REFUSED))

    def _decide(self, request: QueuedRequest[ViewerConnection, SessionRequest]) -> None:
        viewer, name, (wanted, sent) = request.connection, request.name, request.content
        if self.driver is None:
            viewer.write(lines.release(name, lines.REFUSED))  # it was never sent on
            return
        if viewer.waiting()[0]:
            self.counts["gone before its decision"] += 1
            self.abandoned(viewer)
            return
        reason = self._no_room(viewer)
        if reason:  # others came before it while it waited
            self._refuse(request, reason)
            return
        now = self.now()
        allowed = self.shutdown.time_allowed(now, wanted.patience - (now - request.queued_at))
        if allowed <= 0:
            self.counts["refused in shutdown"] += 1
            self.events.trace("request_refused", name, connection=viewer.name, reason="shutdown")
            viewer.write(lines.release(name, lines.REFUSED))
            return
        wanted = wanted._replace(patience=allowed)
        self._coming = SessionView(sent, viewer)
        self.events.trace("request_received", name, connection=viewer.name, left_ms=wanted.patience // MS)
        viewer.held += 1
        playback = self.driver.arrive(now, wanted, viewer, name)
        if playback.state == "asked":
            self.known[name] = viewer.open[name] = playback
        self.arm()

    def _hand_over(self, viewer: ViewerConnection, name: str, request: SessionRequest, at: str) -> None:
        if self.driver is None or self.host_number is None or self.handed_over is None:
            return
        host = self.host_number(at)
        # What is handed over by a client's word alone leaves room for what is asked.
        full = len(self.driver.held) >= self.configuration.sessions // 2
        if host is None or full:
            # The decisions would keep a host for each name that somebody makes up.
            reason = "too_many_sessions" if full else "not_listed"
            self.counts[f"handed over, {reason}"] += 1
            self.events.trace("session_ended", name, connection=viewer.name, host=at, reason=reason)
            self.ends.send(name, lines.release(name, lines.CUT), viewer)
            return
        self._coming = SessionView(request.sent, viewer)
        viewer.held += 1
        self.events.trace("session_handed_over", name, connection=viewer.name, host=at)
        one = self.driver.hand_over(self.now(), request.wanted, name, host)
        self.known[name] = one.playback
        self.handed_over(one, request.sent)
        self.arm()

    def viewing(self, public: str, wanted: Wanted) -> SessionView:
        """What the driver keeps with the playback that comes now."""
        return self._coming

    def may_be_asked(self, line: Line) -> bool:
        """Whether a set-up is sound, and for something that does not play yet."""
        try:
            _, at = parse_set_up(line, self.configuration)
        except WrongForm:
            return False
        return not at and sound_id(line.id)

    # What the driver says.

    def answer(self, playback: Playback, final: Final) -> None:
        """The one answer."""
        viewer, name = playback.reply, playback.public
        if final.kind != "plays":
            self._forget(playback)
        if not isinstance(viewer, ViewerConnection):
            return
        viewer.open.pop(name, None)
        if final.kind == "plays" and viewer.waiting()[0]:
            # It would never hear that it plays, and nobody would end it at its host.
            self.counts["gone before its answer"] += 1
            playback.reply = None
            self.leave(playback)
            return
        if final.kind == "plays":
            self._answer_established(playback, viewer)
        else:
            self._write_answer(viewer, name, final.kind, lines.release(name, CAUSES[final.kind]))

    def _answer_established(self, playback: Playback, viewer: ViewerConnection) -> None:
        """Pass the host's description on; where it cannot be, the request fails and its session is released.

        It is not tried elsewhere: another host would likely describe the same session as long."""
        attempt = next(each for each in reversed(playback.tries) if each.established)
        name = playback.public
        try:
            message = lines.answer(name, attempt.handle.description)
        except MessageTooLong as error:
            self.events.record(
                "answer_too_long", session=name, host=attempt.handle.host.name, bytes=error.size
            )
            self._write_answer(viewer, name, "answer too long", lines.release(name, lines.FAILED))
            playback.reply = None
            self.leave(playback)
            return
        self._write_answer(viewer, name, "plays", message)
        viewer.established += 1
        if isinstance(playback.timeline, SessionView):
            playback.timeline.answered_at = self.now()

    def _write_answer(self, viewer: ViewerConnection, name: str, kind: str, message: bytes) -> None:
        viewer.write(message)
        self.counts[kind] += 1
        self.events.trace("request_answered", name, connection=viewer.name, answer=kind.replace(" ", "_"))

    def over(self, playback: Playback) -> None:
        """Nothing is held for it any more; a viewer whose playback ended without it is told."""
        self._forget(playback)
        if any(map(_may_have_run, playback.tries)):
            self.recent_ids.add(playback.public, self.now())
        if isinstance(playback.timeline, SessionView) and playback.timeline.viewer is not None:
            playback.timeline.viewer.held -= 1
        ending = playback.tries[-1].ending if playback.tries else None
        if playback.state == "over" and ending is not Ending.CALLED_OFF:
            cause = ENDS.get(ending, lines.CUT) if ending is not None else lines.CUT
            self._send_end(playback, lines.release(playback.public, cause))

    def moved(self, playback: Playback) -> None:
        """It has ended here, and its viewer comes again."""
        self._send_end(playback, lines.move(playback.public), wants_acknowledgement=False)

    def _send_end(self, playback: Playback, message: bytes, wants_acknowledgement: bool = True) -> None:
        view = playback.timeline
        connection, answered_at = (
            (view.viewer, view.answered_at) if isinstance(view, SessionView) else (None, 0)
        )
        ended_at = self.gaps.waiting_since(self.now())
        self.ends.send(playback.public, message, connection, answered_at, wants_acknowledgement, ended_at)

    def _forget(self, playback: Playback) -> None:
        if self.known.get(playback.public) is playback:
            del self.known[playback.public]
        viewer: Any = playback.reply
        if isinstance(viewer, ViewerConnection) and viewer.open.get(playback.public) is playback:
            del viewer.open[playback.public]


HANDLERS: dict[str, Callable[[ViewerListener, ViewerConnection, Line], None]] = {
    "setup": ViewerListener._set_up,
    "release": ViewerListener._release,
    "released": ViewerListener._released,
    "ping": ViewerListener._ping,
}
