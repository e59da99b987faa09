"""A driver whose decisions can be handed over to others while it runs. Free of I/O.

It stands beside `driver.py`, so that the gateway on the platform runs without it: what is put in here happens
where the driver hands events to the decisions and carries out what they ask for.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from burlmast import api
from burlmast.api import Ending
from burlmast.edge.driver import ACTIONS, Alarm, Driver, JudgesWrites, Policy
from burlmast.edge.playback import Attempt, AttemptState, Playback, Shown, Wanted


class Mind:
    """What decides, and how many requests it still owes an answer after another has taken its place."""

    __slots__ = ("owes", "policy")

    def __init__(self, policy: Policy | None = None) -> None:
        self.policy, self.owes = policy, 0


class PassedOn(Playback):
    """A playback that may have been begun under other decisions."""

    __slots__ = ("base", "former")

    base: int  # the place of the try that the decisions count as their first
    former: Mind | None  # owes the answer, though it decides nothing new any more


class ChangingDriver(Driver):
    """See `Driver`; `change_policy` is what it adds."""

    def __init__(self, policy: Callable[[int], Policy], *words: Any) -> None:
        """As a `Driver`."""
        self._mind = Mind()
        self._letters: deque[tuple[Mind, api.Event]] = deque()
        self._rows: dict[int, api.HostRow] = {}
        self._ending: Playback | None = None
        super().__init__(policy, *words)
        self._mind.policy = self.policy

    def noted(self, now: int, one: Attempt, news: api.News, value: float) -> None:
        """As a `Driver`, and counts deliveries that fell short of their rate."""
        if news is api.News.SHARE and value < 1.0 and one.established:
            self.counts["short"] += 1
        super().noted(now, one, news, value)

    def change_policy(
        self, now: int, policy: Callable[[int], Policy], tries: int, started: Callable[[api.HostRow], int]
    ) -> None:
        """From now on another policy decides. It hears of the hosts as the list last told them, each with
        the latest moment at which it may have `started`; of what plays and what has a try out as handed
        over; and of what has never been tried as arrived. A request with a try behind it is still answered
        by the policy that sent it, which sends nothing any more: each set-up that it asks for is moot."""
        if self.failed:
            return
        former, self._most_tries, self._now = self._mind, tries, now
        self.policy = policy(now)
        self._mind = Mind(self.policy)
        self._carry_out(self.policy.begin(now))
        rows = tuple(row._replace(started=started(row)) for row in self._rows.values())
        self._hand(now, api.Listed(api.Scope.COMPLETE, rows))
        untried = [one for one in self.held.values() if one.state == "asked" and not one.tries]
        for playback in list(self.held.values()):
            if playback not in untried:
                self._pass_on(now, playback, former)
        # Danger: what plays holds seats and room; what is new must not be placed before that is known.
        for playback in untried:
            if playback.state == "asked" and not playback.tries:
                request = self._request(playback, playback.public in self.shown)
                self._hand(now, api.Arrived(request._replace(patience=max(1, playback.abandon - now))))

    def _pass_on(self, now: int, playback: Playback, former: Mind) -> None:
        assert isinstance(playback, PassedOn)
        if playback.state == "asked" and playback.former is None:
            playback.former = former
            former.owes += 1
        if playback.state in ("asked", "playing") and playback.out:
            one = playback.out[-1]
            playback.base = one.place
            self._hand(now, api.HandedOver(self._request(playback, moved=False), one.host))
            self._hand(
                now, api.Note(playback.number, one.place, one.host, api.News.RUNG, float(playback.rung))
            )
        else:
            playback.base = len(playback.tries)

    # What the driver does, with the place of earlier decisions kept in mind.

    def _hold(self, now: int, wanted: Wanted, reply: object, public: str, timeline: Shown) -> Playback:
        self._numbers += 1
        playback = PassedOn(self._numbers, public, wanted, now, timeline, reply)
        playback.base, playback.former = 0, None
        self.held[playback.number] = playback
        return playback

    def listed(
        self, now: int, scope: api.Scope, rows: tuple[api.HostRow, ...], where: dict[int, str]
    ) -> None:
        """See `Driver.listed`."""
        if scope in (api.Scope.COMPLETE, api.Scope.CACHED):
            self._rows = {}
        self._rows.update((row.host, row) for row in rows)
        super().listed(now, scope, rows, where)

    def _set(self, due: int, kind: Alarm, thing: object) -> None:
        super()._set(due, kind, (self._mind, thing) if kind is Alarm.BELL else thing)

    def _step(self, now: int, playback: Playback, happening: str, thing: object = None) -> None:
        assert isinstance(playback, PassedOn)
        former = playback.former
        if former is not None and playback.state == "asked":
            if happening in ("left", "overdue"):
                self._post(now, former, api.ViewerLeft(playback.number))
            playback.former = None
            former.owes -= 1
        super()._step(now, playback, happening, thing)

    def _authorize(self, now: int, one: Attempt) -> bool:
        """What earlier decisions have sent stands: those that follow count it as established."""
        playback, policy = one.playback, self.policy
        assert isinstance(playback, PassedOn)
        if playback.former is not None or not isinstance(policy, JudgesWrites):
            return True
        return policy.authorize(now, playback.number, one.place - playback.base)

    def ended(self, now: int, one: Attempt, ending: Ending, load: api.Load) -> None:
        """See `Driver.ended`."""
        # What is over is held no more by the time that the decisions hear of it.
        before, self._ending = self._ending, one.playback
        super().ended(now, one, ending, load)
        self._ending = before

    def _hand(self, now: int, event: api.Event) -> None:
        told: Any = event
        if isinstance(event, api.Bell):
            mind, token = told.token
            if mind is self._mind or mind.owes:
                self._post(now, mind, api.Bell(token))
            return
        if isinstance(event, api.Ended | api.Note | api.Flowing | api.Unsent):
            playback = self.held.get(event.pb)
            if self._ending is not None and self._ending.number == event.pb:
                playback = self._ending
            if isinstance(playback, PassedOn):
                if isinstance(event, api.Ended) and playback.former is not None and not event.final:
                    self._post(now, playback.former, event)
                    told = told._replace(final=True)  # whoever decides now counted it as playing
                if event.attempt < playback.base:
                    return
                told = told._replace(attempt=event.attempt - playback.base)
        self._post(now, self._mind, told)

    def _post(self, now: int, mind: Mind, event: api.Event) -> None:
        # Danger: see `Driver._hand`; an event that comes while they decide waits its turn.
        self._letters.append((mind, event))
        if self._pumping or self.failed:
            return
        self._pumping = True
        try:
            while self._letters and not self.failed:
                mind, event = self._letters.popleft()
                self._now = now
                assert mind.policy is not None
                try:
                    actions = mind.policy.take(now, event)
                    if mind is self._mind:
                        self._carry_out(actions)
                    else:
                        self._last_words(mind, actions)
                except Exception as why:
                    self._fail(now, event, why)
        finally:
            self._pumping = False

    def _carry_out(self, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.CallOff):
                playback = self.held.get(action.pb)
                base = playback.base if isinstance(playback, PassedOn) else 0
                action = action._replace(attempt=action.attempt + base)
            ACTIONS[type(action)](self, self._now, action)

    def _last_words(self, mind: Mind, actions: list[api.Action]) -> None:
        """What a policy may still do that another has taken the place of: answer, and send nothing."""
        for action in actions:
            if isinstance(action, api.SetAlarm):
                Driver._set(self, self._now + max(0, action.after), Alarm.BELL, (mind, action.token))
                continue
            if not isinstance(action, api.SetUp | api.Reject | api.Abort | api.CallOff):
                continue
            playback = self.held.get(action.pb)
            if not isinstance(playback, PassedOn) or playback.former is not mind:
                continue
            if isinstance(action, api.SetUp):
                self._moot(playback, mind, action.host)
            else:
                ACTIONS[type(action)](self, self._now, action)

    def _moot(self, playback: PassedOn, mind: Mind, host: int) -> None:
        one = Attempt(playback, len(playback.tries), host, self._now)
        one.state, one.ending = AttemptState.ENDED, Ending.MOOT
        playback.tries.append(one)
        self.counts["moot after a change"] += 1
        words = playback.number, one.place, host, Ending.MOOT, 0, False, api.Load()
        self._post(self._now, mind, api.Ended(*words))
