"""Hands what a gateway sees to the decisions, and what they decide to the sockets. Free of I/O.

The driver owns one policy, one heap of alarms and the record of each playback and setup try. It places
nothing and chooses no rung; what it settles is which events still belong to something and which no longer
do: `LIFE` below. All entry points take `now`, whole nanoseconds that never go back.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from enum import IntEnum
from heapq import heappop, heappush
from typing import Any, Protocol, runtime_checkable

from burlmast import api
from burlmast.api import Ending
from burlmast.edge.playback import Attempt, AttemptState, Final, Playback, Shown, Wanted
from burlmast.logic import NEVER_RAN


class Policy(Protocol):
    """What decides: `logic.Gateway`, or something that stands in for it."""

    def begin(self, now: int) -> list[api.Action]:
        """The first actions."""

    def take(self, now: int, event: api.Event) -> list[api.Action]:
        """The actions that an event asks for, in their order."""


@runtime_checkable
class JudgesWrites(Protocol):
    """A policy that is asked again just before a set-up is written; others stand by their decision."""

    def authorize(self, now: int, pb: int, attempt: int) -> bool:
        """Whether a decided attempt may be written now; if so it counts as sent now."""


class Outside(Protocol):
    """The sockets' side."""

    def open_attempt(self, one: Attempt) -> None:
        """Send the set-up; `Driver.flowing` and `Driver.ended` tell what comes of it."""

    def close_attempt(self, one: Attempt) -> None:
        """Close its connection; the driver has ended the try already."""

    def change_rung(self, one: Attempt, rung: int) -> None:
        """Tell the host; `Driver.rung_stays` where it could not be changed."""

    def probe(self, host: int) -> None:
        """Look after a host; `Driver.probed` tells."""

    def keep_informed(self) -> None:
        """Ask for changes of the list."""

    def answer(self, playback: Playback, final: Final) -> None:
        """Answer the viewer."""

    def over(self, playback: Playback) -> None:
        """Nothing is held for this playback any more."""

    def moved(self, now: int, playback: Playback) -> None:
        """It has ended to be set up elsewhere: `Driver.come_back`, or its viewer is told to ask again."""

    def hidden(self, playback: Playback) -> None:
        """Nothing of it is shown any more."""

    def remark(self, text: str) -> None:
        """A line for the log."""

    def fault(self, event: object, why: Exception) -> None:
        """The decisions failed at this event; everything held has been answered."""


class Alarm(IntEnum):
    """What an entry of the heap is for."""

    BELL = 0
    ATTEMPT_DUE = 1
    OVERDUE = 2
    UNHEARD = 3


class Driver:
    """One gateway between its decisions and its sockets."""

    def __init__(
        self,
        policy: Callable[[int], Policy],
        outside: Outside,
        names: Callable[[], str],
        tries: int,
        unheard: int | None,
        timeline: Callable[[str, Wanted], Shown],
        now: int,
    ) -> None:
        """`policy` makes the decisions at `now`; `names` draws public ids; `unheard` nanoseconds make a
        viewer gone (None: viewers say so, and what is over is shown no more); `timeline` makes what a
        playback's viewer is shown, by its public id."""
        self._outside, self._names, self._most_tries, self._unheard = outside, names, tries, unheard
        self._timeline = timeline
        self._alarms: list[tuple[int, int, Alarm, Any]] = []
        self._count = 0
        self._inbox: deque[api.Event] = deque()
        self._pumping = False
        self._addresses: dict[int, str] = {}
        self._has_list = False
        self.held: dict[int, Playback] = {}
        self.shown: dict[str, Playback] = {}
        self.failed = False
        self.asked = self.playing = 0
        self.longest_hold = 0
        self.counts: Counter[str] = Counter()
        self._numbers = 0
        self._now = now
        self.policy = policy(now)
        self._carry_out(self.policy.begin(now))

    # Time.

    @property
    def next_due(self) -> int | None:
        """When `ring` has to be called next."""
        return self._alarms[0][0] if self._alarms else None

    def ring(self, now: int) -> None:
        """Ring what is due, each once and in the order in which it fell due; what that sets waits for the
        next call."""
        due = []
        while self._alarms and self._alarms[0][0] <= now:
            due.append(heappop(self._alarms))
        for _, _, kind, thing in due:
            if self.failed:
                return
            try:
                RINGS[kind](self, now, thing)
            except Exception as why:  # of a socket's side: it concerns this alarm, not those after it
                self.counts["alarms that failed"] += 1
                self._outside.remark(f"an alarm failed: {kind.name}: {type(why).__name__}: {why}")

    def _set(self, due: int, kind: Alarm, thing: object) -> None:
        self._count += 1
        heappush(self._alarms, (due, self._count, kind, thing))

    def _bell(self, now: int, token: int) -> None:
        self._hand(now, api.Bell(token))

    def _attempt_due(self, now: int, one: Attempt) -> None:
        if one.out:
            # Before its write it has waited for its connection alone: nothing ran.
            ending = Ending.TIMEOUT if one.written else Ending.NO_CONNECTION
            self._outside.close_attempt(one)
            self.ended(now, one, ending, api.Load())

    def _overdue(self, now: int, playback: Playback) -> None:
        self._step(now, playback, "overdue")

    def _unheard_of(self, now: int, playback: Playback) -> None:
        if self.shown.get(playback.public) is not playback:
            return
        due = playback.heard + (self._unheard or 0)
        if due > now:
            self._set(due, Alarm.UNHEARD, playback)
            return
        self._step(now, playback, "left")
        self._hide(playback)

    # Viewers.

    def arrive(self, now: int, wanted: Wanted, reply: object, public: str = "") -> Playback:
        """A viewer asks; exactly one `Outside.answer` follows, unless the viewer leaves first. `public` is
        that of a playback that it goes on with."""
        public = public or self._names()
        return self._arrive(now, wanted, reply, public, self._timeline(public, wanted), moved=False)

    def _arrive(
        self, now: int, wanted: Wanted, reply: object, public: str, timeline: Shown, moved: bool
    ) -> Playback:
        playback = self._hold(now, wanted, reply, public, timeline)
        self.asked += 1
        self.counts["asked"] += 1
        self._set(playback.abandon, Alarm.OVERDUE, playback)
        self._hand(now, api.Arrived(self._request(playback, moved)))
        return playback

    def _hold(self, now: int, wanted: Wanted, reply: object, public: str, timeline: Shown) -> Playback:
        self._numbers += 1
        playback = Playback(self._numbers, public, wanted, now, timeline, reply)
        self.held[playback.number] = playback
        return playback

    @staticmethod
    def _request(playback: Playback, moved: bool) -> api.Request:
        wanted = playback.wanted
        return api.Request(
            playback.number,
            wanted.plan,
            float(wanted.top),
            wanted.home,
            wanted.copies,
            wanted.title,
            wanted.viewer,
            wanted.patience,
            moved,
            wanted.returned or moved,
            wanted.lasts,
        )

    def hand_over(self, now: int, wanted: Wanted, public: str, host: int) -> Attempt:
        """What plays at a host already, set up by an earlier life of this gateway; no answer is owed."""
        playback = self._hold(now, wanted, None, public, self._timeline(public, wanted))
        playback.state = "playing"
        self.playing += 1
        self.counts["handed over"] += 1
        one = Attempt(playback, 0, host, now)
        one.state, one.written_at = AttemptState.ESTABLISHED, now
        playback.tries.append(one)
        self.shown[public] = playback
        self._hand(now, api.HandedOver(self._request(playback, moved=False), host))
        return one

    def leave(self, now: int, playback: Playback) -> None:
        """The viewer has closed its request, or ended what plays."""
        self._step(now, playback, "left")
        self._hide(playback)

    def answer_by(self, now: int, due: int) -> None:
        """What is asked now is answered by then at the latest."""
        for playback in self.held.values():
            if playback.state == "asked" and playback.abandon > due:
                playback.abandon = due
                for attempt in playback.out:
                    attempt.due = min(attempt.due, due)
                self._set(max(now, due), Alarm.OVERDUE, playback)

    def find(self, now: int, public: str) -> Playback | None:
        """What this public id shows, heard of now."""
        playback = self.shown.get(public)
        if playback is not None:
            playback.heard = now
        return playback

    # Hosts.

    def address(self, host: int) -> str | None:
        """Where the list says that a host is."""
        return self._addresses.get(host)

    def flowing(self, now: int, one: Attempt) -> None:
        """The host has begun to deliver."""
        if not one.out or self.failed:
            return
        one.state = AttemptState.ESTABLISHED
        self._step(now, one.playback, "flowing", one)

    def ended(self, now: int, one: Attempt, ending: Ending, load: api.Load) -> None:
        """A try, or the stream that came of it, has ended; said again it changes nothing."""
        if one.state is AttemptState.ENDED:
            return
        established = one.established
        one.state, one.ending = AttemptState.ENDED, ending
        playback = one.playback
        self.counts[f"ended {ending.value}"] += 1
        if established:
            self._step(now, playback, "stream over", one)
        final = playback.state != "asked"
        took = max(0, now - one.decided_at)
        self._hand(now, api.Ended(playback.number, one.place, one.host, ending, took, final, load))
        self._tidy(playback)

    def mark_written(self, now: int, one: Attempt) -> None:
        """Its set-up is written, or handed to what writes it without asking."""
        if one.state is AttemptState.DECIDED:
            one.state, one.written_at = AttemptState.WRITTEN, now

    def may_write(self, now: int, one: Attempt) -> bool:
        """Ask just before the write of a set-up whether it is still allowed; it counts as written if so.

        Where it is not, `unsent` has to follow."""
        playback = one.playback
        if one.state is not AttemptState.DECIDED or playback.state != "asked" or self.failed:
            return False
        try:
            allowed = self._authorize(now, one)
        except Exception as why:
            self._fail(now, one, why)
            return False
        if not allowed:
            self.counts["writes refused"] += 1
            return False
        self.mark_written(now, one)
        return True

    def _authorize(self, now: int, one: Attempt) -> bool:
        policy = self.policy
        return not isinstance(policy, JudgesWrites) or policy.authorize(now, one.playback.number, one.place)

    def unsent(self, now: int, one: Attempt) -> None:
        """Nothing of an attempt has been written, and nothing may be: it counts as never decided."""
        playback = one.playback
        if one.state is not AttemptState.DECIDED:
            return
        if playback.state != "asked" or playback.tries[-1] is not one:
            self.ended(now, one, Ending.MOOT, api.Load())
            return
        one.state, one.ending = AttemptState.ENDED, Ending.MOOT
        playback.tries.pop()
        self.counts["unsent"] += 1
        self._hand(now, api.Unsent(playback.number, one.place, one.host))

    def noted(self, now: int, one: Attempt, news: api.News, value: float) -> None:
        """The host tells of a stream's delivery, link or uplink."""
        if one.state is not AttemptState.ENDED:
            self._hand(now, api.Note(one.playback.number, one.place, one.host, news, value))

    def rung_stays(self, now: int, one: Attempt, rung: int) -> None:
        """A change of rung did not reach the host; this one is in force."""
        if one.established and one.playback.state == "playing":
            one.rung = one.playback.rung = rung
            one.playback.timeline.step(now, rung)
            self._hand(now, api.Note(one.playback.number, one.place, one.host, api.News.RUNG, float(rung)))

    def probed(self, now: int, host: int, ending: Ending, took: int, load: api.Load) -> None:
        """What came of a probe."""
        self._hand(now, api.Probed(host, ending, took, load))

    def listed(
        self, now: int, scope: api.Scope, rows: tuple[api.HostRow, ...], where: dict[int, str]
    ) -> None:
        """News of the list, and the addresses that came with it."""
        if scope in (api.Scope.COMPLETE, api.Scope.CACHED):
            self._addresses = {}
            if not self._has_list and scope is api.Scope.COMPLETE:
                # Danger: the list comes late, and a host may have restarted since; a gateway that has just
                # started has no streams whose breaking would tell it.
                scope, self._has_list = api.Scope.CACHED, True
        self._addresses.update(where)
        self._hand(now, api.Listed(scope, rows))

    # Between the two.

    def _hand(self, now: int, event: api.Event) -> None:
        # Danger: an action may bring an event at once (a host that is not listed any more); it waits its
        # turn, so that the decisions never hear of anything while they decide.
        self._inbox.append(event)
        if self._pumping or self.failed:
            return
        self._pumping = True
        try:
            while self._inbox and not self.failed:
                event = self._inbox.popleft()
                self._now = now
                try:
                    self._carry_out(self.policy.take(now, event))
                except Exception as why:
                    self._fail(now, event, why)
        finally:
            self._pumping = False

    def _carry_out(self, actions: list[api.Action]) -> None:
        for action in actions:
            ACTIONS[type(action)](self, self._now, action)

    def _fail(self, now: int, event: object, why: Exception) -> None:
        self.failed = True
        for playback in list(self.held.values()):
            if playback.state == "asked":
                # Only where no try can have run is asking again known to be harmless.
                sure = all(one.ending in NEVER_RAN or not one.written for one in playback.tries)
                self._answer(now, playback, Final("rejected" if sure else "aborted"))
                playback.state = "refused"
            for one in playback.out:
                one.state = AttemptState.ENDED
                self._outside.close_attempt(one)
            playback.timeline.end(now)
        self._outside.fault(event, why)

    # The life of a playback.

    def _step(self, now: int, playback: Playback, happening: str, thing: object = None) -> None:
        row = LIFE.get((playback.state, happening))
        if row is None:
            self.counts[f"stray {happening}"] += 1
            return
        before, (playback.state, effect) = playback.state, row
        self.asked += (playback.state == "asked") - (before == "asked")
        self.playing += (playback.state == "playing") - (before == "playing")
        if effect is not None:
            effect(self, now, playback, thing)
        self._tidy(playback)

    def _plays(self, now: int, playback: Playback, one: Attempt) -> None:
        playback.heard = now
        playback.timeline.begin(now, self._addresses.get(one.host, ""), playback.rung)
        known = playback.public in self.shown
        self.shown[playback.public] = playback
        if self._unheard is not None:
            self._set(now + self._unheard, Alarm.UNHEARD, playback)
        if not known:
            self._answer(now, playback, Final("plays"))
        self._hand(now, api.Flowing(playback.number, one.place, one.host, max(0, now - one.decided_at)))
        if one.established and one.rung != playback.rung:
            self._change(one, playback.rung)

    def _refused(self, now: int, playback: Playback, final: Final) -> None:
        self._answer(now, playback, final)
        if playback.public in self.shown:  # it had been moved, and nowhere takes it
            playback.timeline.end(now)

    def _answer(self, now: int, playback: Playback, final: Final) -> None:
        self.counts[final.kind] += 1
        self.longest_hold = max(self.longest_hold, now - playback.abandon + playback.wanted.patience)
        if playback.reply is not None:
            self._outside.answer(playback, final)
            playback.reply = None

    def _gone(self, now: int, playback: Playback, _: object) -> None:
        playback.reply = None
        playback.timeline.end(now)
        self._hand(now, api.ViewerLeft(playback.number))
        self._close(now, playback)

    def _cut(self, now: int, playback: Playback, _: object) -> None:
        """Nothing was decided in time: the viewer is told nothing but that nothing comes."""
        self._answer(now, playback, Final("cut"))
        self._gone(now, playback, None)

    def _over(self, now: int, playback: Playback, _: object) -> None:
        playback.timeline.end(now)

    def _moves(self, now: int, playback: Playback, _: object) -> None:
        self._close(now, playback)
        self._outside.moved(now, playback)

    def come_back(self, now: int, playback: Playback) -> None:
        """What has been moved is set up again for the viewer that it still has."""
        wanted = playback.wanted
        back = self._arrive(now, wanted, None, playback.public, playback.timeline, moved=True)
        back.heard = playback.heard
        if self.shown.get(playback.public) is playback:
            self.shown[playback.public] = back
            if self._unheard is not None:
                self._set(back.heard + self._unheard, Alarm.UNHEARD, back)

    def _unwanted(self, now: int, playback: Playback, one: Attempt) -> None:
        self._outside.close_attempt(one)
        self.ended(now, one, Ending.CALLED_OFF, api.Load())

    def _close(self, now: int, playback: Playback) -> None:
        for one in playback.out:
            self._outside.close_attempt(one)
            self.ended(now, one, Ending.CALLED_OFF, api.Load())

    def _tidy(self, playback: Playback) -> None:
        over = playback.state in ("refused", "gone", "over") and not playback.out
        if over and self.held.pop(playback.number, None) is not None:
            self._outside.over(playback)
            playback.tries.clear()  # or the two would hold each other until the collector comes
            if self._unheard is None:
                self._hide(playback)

    def _hide(self, playback: Playback) -> None:
        if self.shown.get(playback.public) is playback:
            del self.shown[playback.public]
            self._outside.hidden(playback)

    # Actions.

    def _set_up(self, now: int, action: api.SetUp) -> None:
        playback = self.held.get(action.pb)
        if playback is None:
            self.counts["stray set-up"] += 1
            return
        one = Attempt(playback, len(playback.tries), action.host, now)
        playback.tries.append(one)
        self.counts["further tries" if one.place else "first tries"] += 1
        sendable = playback.state == "asked" and action.host in self._addresses
        if not sendable or one.place >= self._most_tries:
            self.ended(now, one, Ending.MOOT, api.Load())
            return
        due = min(now + action.allow, playback.abandon) if action.allow > 0 else playback.abandon
        one.due = due
        self._set(due, Alarm.ATTEMPT_DUE, one)
        self._outside.open_attempt(one)

    def _set_rung(self, now: int, action: api.SetRung) -> None:
        playback = self.held.get(action.pb)
        if playback is None or playback.state not in ("asked", "playing"):
            self.counts["stray rung"] += 1
            return
        playback.rung = action.rung
        for one in playback.out:
            if one.established:
                playback.timeline.step(now, action.rung)
                self._change(one, action.rung)

    def _change(self, one: Attempt, rung: int) -> None:
        self.counts["rung changes"] += 1
        self._outside.change_rung(one, rung)

    def _reject(self, now: int, action: api.Reject) -> None:
        self._settle(now, action.pb, "rejected", Final("rejected", action.wait))

    def _abort(self, now: int, action: api.Abort) -> None:
        self._settle(now, action.pb, "aborted", Final("aborted"))

    def _settle(self, now: int, pb: int, happening: str, final: Final) -> None:
        playback = self.held.get(pb)
        if playback is not None:
            self._step(now, playback, happening, final)

    def _call_off(self, now: int, action: api.CallOff) -> None:
        playback = self.held.get(action.pb)
        if playback is not None and 0 <= action.attempt < len(playback.tries):
            one = playback.tries[action.attempt]
            if one.out:
                self._outside.close_attempt(one)
                self.ended(now, one, Ending.CALLED_OFF, api.Load())

    def _move(self, now: int, action: api.Move) -> None:
        playback = self.held.get(action.pb)
        if playback is not None:
            self._step(now, playback, "move")

    def _set_alarm(self, now: int, action: api.SetAlarm) -> None:
        self._set(now + max(0, action.after), Alarm.BELL, action.token)

    def _probe(self, now: int, action: api.Probe) -> None:
        self.counts["probes"] += 1
        if action.host in self._addresses:
            self._outside.probe(action.host)
        else:
            self.probed(now, action.host, Ending.NO_CONNECTION, 0, api.Load())

    def _keep_informed(self, now: int, action: api.KeepInformed) -> None:
        self._outside.keep_informed()

    def _remark(self, now: int, action: api.Remark) -> None:
        self._outside.remark(action.text)


# State of a playback and what happens to it: the next state, and what is done about it.
LIFE: dict[tuple[str, str], tuple[str, Callable[[Driver, int, Playback, Any], None] | None]] = {
    ("asked", "flowing"): ("playing", Driver._plays),
    ("asked", "rejected"): ("refused", Driver._refused),
    ("asked", "aborted"): ("refused", Driver._refused),
    ("asked", "left"): ("gone", Driver._gone),
    ("asked", "overdue"): ("gone", Driver._cut),
    ("playing", "overdue"): ("playing", None),
    ("playing", "stream over"): ("over", Driver._over),
    ("playing", "move"): ("over", Driver._moves),
    ("playing", "left"): ("gone", Driver._gone),
    # A second stream for a playback that plays can only come of two tries at once; it is not kept.
    ("playing", "flowing"): ("playing", Driver._unwanted),
    ("refused", "flowing"): ("refused", Driver._unwanted),
    ("gone", "flowing"): ("gone", Driver._unwanted),
    ("over", "flowing"): ("over", Driver._unwanted),
    ("refused", "stream over"): ("refused", None),
    ("gone", "stream over"): ("gone", None),
    ("over", "stream over"): ("over", None),
    ("refused", "overdue"): ("refused", None),
    ("gone", "overdue"): ("gone", None),
    ("over", "overdue"): ("over", None),
    ("refused", "left"): ("refused", None),
    ("gone", "left"): ("gone", None),
    ("over", "left"): ("over", None),
}

RINGS: dict[Alarm, Callable[[Driver, int, Any], None]] = {
    Alarm.BELL: Driver._bell,
    Alarm.ATTEMPT_DUE: Driver._attempt_due,
    Alarm.OVERDUE: Driver._overdue,
    Alarm.UNHEARD: Driver._unheard_of,
}

ACTIONS: dict[type, Callable[[Driver, int, Any], None]] = {
    api.SetUp: Driver._set_up,
    api.SetRung: Driver._set_rung,
    api.Reject: Driver._reject,
    api.Abort: Driver._abort,
    api.CallOff: Driver._call_off,
    api.Move: Driver._move,
    api.SetAlarm: Driver._set_alarm,
    api.Probe: Driver._probe,
    api.KeepInformed: Driver._keep_informed,
    api.Remark: Driver._remark,
}
