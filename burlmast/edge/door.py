"""The viewers' side, version 1: one check of form, then the driver, then one answer."""

from __future__ import annotations

import time
import zlib
from collections.abc import Callable
from math import ceil, isfinite
from typing import cast
from urllib.parse import unquote

import msgspec

from burlmast.edge.driver import Driver
from burlmast.edge.limits import Doorkeeper
from burlmast.edge.playback import Final, Playback, Wanted
from burlmast.edge.together import Titles
from burlmast.edge.words import ASK
from burlmast.http1.messages import Headers
from burlmast.http1.server import Exchange
from burlmast.settings.read import nanoseconds
from burlmast.settings.sheets import Deployment
from burlmast.stitch.reel import Reel, refusal
from burlmast.stitch.shell import Notices
from burlmast.stitch.writers import dash, hls

SECOND = 1_000_000_000
MEDIA = ((b"content-type", b"video/iso.segment"), (b"cache-control", b"max-age=60"))
MANIFESTS = {b"index.m3u8": b"application/vnd.apple.mpegurl", b"manifest.mpd": b"application/dash+xml"}
NAME_LIMIT = 256


class ViewersGate:
    """The doorkeeper as the server asks it."""

    def __init__(self, doorkeeper: Doorkeeper) -> None:
        self._doorkeeper = doorkeeper
        advice = max(1, ceil(doorkeeper.doorway.advice_ms / 1000))
        body = b'{"error":"too many connections; come again shortly"}\n'
        self._refusal = (
            b"HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\n"
            b"retry-after: %d\r\nconnection: close\r\ncontent-length: %d\r\n\r\n%b"
        ) % (advice, len(body), body)

    def opened(self, address: str) -> bytes | None:
        return None if self._doorkeeper.opened(address) else self._refusal

    def closed(self, address: str) -> None:
        self._doorkeeper.closed(address)

    def head_began(self, address: str) -> bool:
        return self._doorkeeper.head_began(address)

    def head_ended(self, address: str) -> None:
        self._doorkeeper.head_ended(address)

    def buffered(self, address: str, change: int) -> bool:
        return self._doorkeeper.buffered(address, change)


class Visit:
    """A viewer's open request: where its answer goes, and what it takes of this program until it is over."""

    __slots__ = ("address", "exchange", "playback")

    def __init__(self, exchange: Exchange) -> None:
        self.exchange, self.address = exchange, exchange.address
        self.playback: Playback | None = None


class Door:
    """Takes viewers' requests."""

    BODY_LIMIT = 8192

    def __init__(
        self,
        deployment: Deployment,
        doorkeeper: Doorkeeper,
        now: Callable[[], int],
        after: Callable[[], None],
    ) -> None:
        """`after` is called whenever the driver has been told something."""
        self._doorkeeper, self._now, self._after = doorkeeper, now, after
        self.lacking = 0  # requests rejected for want of a notice that must be heard
        self.offer(deployment)
        self._addresses: dict[str, str] = {}  # what counts as served, by public id
        self.driver: Driver | None = None
        self.notices: Notices | None = None
        self.titles: Titles | None = None  # that the settings do not name
        self.unknown = 0  # requests rejected since their titles are not here yet
        self.shut: Callable[[], str] = lambda: ""  # why nothing new is taken, empty where it is
        self.shut_advice: Callable[[], int] = lambda: SECOND  # nanoseconds until a viewer may ask again
        self.closing = False

    def offer(self, deployment: Deployment) -> None:
        """What can be asked for from now on."""
        self._titles = {
            title.name: (place + 1, title) for place, title in enumerate(deployment.titles)
        }  # 0 is no title
        self._plans = {plan.name: (place, plan) for place, plan in enumerate(deployment.plans)}
        self._plan_names = [plan.name for plan in deployment.plans]
        self._rates = deployment.ladder.rates_kb
        self._top = len(self._rates) - 1
        self._titles_advice = nanoseconds(deployment.edge.catalogue.advice_ms)

    def application(self, exchange: Exchange) -> None:
        """Route one request."""
        path = exchange.target.split(b"?", 1)[0]
        parts = path.split(b"/")
        if parts[:3] == [b"", b"v1", b"notices"] and len(parts) == 6:
            if self._allow(exchange, (b"GET", b"HEAD")):
                self._notice(exchange, parts[3], parts[4], parts[5])
        elif parts[:3] != [b"", b"v1", b"playbacks"]:
            version = len(parts) > 1 and parts[1][:1] == b"v" and parts[1] != b"v1"
            exchange.refuse(404, "only version 1 is spoken here" if version else "there is nothing here")
        elif len(parts) == 3:
            if self._allow(exchange, (b"POST",)):
                self._post(exchange)
        elif len(parts) == 4 and parts[3]:
            if self._allow(exchange, (b"DELETE",)):
                self._delete(exchange, parts[3])
        elif len(parts) == 5 and parts[4] in MANIFESTS:
            if self._allow(exchange, (b"GET", b"HEAD")):
                self._manifest(exchange, parts[3], parts[4])
        else:
            exchange.refuse(404, "there is nothing here")

    def _allow(self, exchange: Exchange, methods: tuple[bytes, ...]) -> bool:
        if exchange.method in methods:
            return True
        allowed = b", ".join(methods)
        exchange.refuse(405, f"use {allowed.decode('ascii')} here", ((b"allow", allowed),))
        return False

    def _post(self, exchange: Exchange) -> None:
        if exchange.header(b"content-length") is None and exchange.header(b"transfer-encoding") is None:
            exchange.refuse(411, "a body with its length is needed")
            return
        kind = (exchange.header(b"content-type") or b"").split(b";")[0].strip().lower()
        if kind != b"application/json":
            exchange.refuse(415, "the body must be application/json")
            return
        exchange.collect(self.BODY_LIMIT, lambda body: self._asked(exchange, body))

    def _asked(self, exchange: Exchange, body: bytes) -> None:
        try:
            wanted, resume = self._read(body)
        except BadAsk as why:
            exchange.refuse(why.status, str(why))
            return
        except NotYet as why:
            self.unknown += 1
            exchange.refuse(503, str(why), self.advice(self._titles_advice))
            return
        driver = self.driver
        if driver is None or driver.failed or self.closing:
            exchange.keep_alive = False
            exchange.refuse(503, "this gateway is going; ask another", self.advice(SECOND))
            return
        shut = self.shut()
        if shut:
            exchange.refuse(503, f"rejected: {shut}; ask another", self.advice(self.shut_advice()))
            return
        lacking = self._lacks(wanted)
        if lacking:
            self.lacking += 1
            told = f"rejected: the notice {lacking} must be heard and cannot be had now"
            exchange.refuse(503, told, self.advice(SECOND))
            return
        try:
            self._resumes(driver, wanted, resume)
        except BadAsk as why:
            exchange.refuse(why.status, str(why))
            return
        if not self._doorkeeper.hold(exchange.address):
            advice = nanoseconds(self._doorkeeper.doorway.advice_ms)
            exchange.refuse(503, "too many requests are held; come again shortly", self.advice(advice))
            return
        visit = Visit(exchange)
        exchange.on_gone = lambda: self._left(visit)
        visit.playback = driver.arrive(self._now(), wanted, visit, resume)
        self._after()

    def _resumes(self, driver: Driver, wanted: Wanted, resume: str) -> None:
        """Make way for a playback that goes on. Raises BadAsk."""
        if not resume:
            return
        kept = self.notices.resume(resume) if self.notices is not None else None
        earlier = driver.find(self._now(), resume)
        plays_here = earlier is not None and bool(earlier.out)
        refused = refusal(kept, wanted.title_name, self._plan_names[wanted.plan], plays_here)
        if refused is not None:
            raise BadAsk(*refused)
        if earlier is not None:
            driver.leave(self._now(), earlier)

    def _read(self, body: bytes) -> tuple[Wanted, str]:
        try:
            ask = ASK.decode(body)
        except (msgspec.MsgspecError, UnicodeDecodeError) as why:
            raise BadAsk(400, f"the body is not a request: {why}") from None
        except RecursionError:
            raise BadAsk(400, "the body is not a request: it is nested too deeply") from None
        if ask.plan not in self._plans:
            raise BadAsk(400, "the plan is not known")
        if ask.title not in self._titles and self.titles is None:
            raise BadAsk(404, "the title is not known")
        if not 0 < len(ask.viewer) <= NAME_LIMIT:
            raise BadAsk(400, f"viewer must be 1 to {NAME_LIMIT} characters")
        if not isfinite(ask.lasts) or not 0 <= ask.lasts <= 1e6:
            raise BadAsk(400, "lasts must be 0 to 1000000 seconds")
        if ask.top < 0:
            raise BadAsk(400, "top must be a rung")
        plan, terms = self._plans[ask.plan]
        if ask.top < terms.floor:
            raise BadAsk(400, f"top is under the plan's floor, {terms.floor}")
        viewer = zlib.crc32(ask.viewer.encode("utf-8", "surrogatepass"))
        title, home, copies = self._find_title(ask.title, viewer)
        wanted = Wanted(
            plan,
            terms.floor,
            min(ask.top, terms.top, self._top),
            home,
            copies,
            title,
            ask.title,
            viewer,
            nanoseconds(terms.abandon_ms),
            ask.returned,
            int(ask.lasts * SECOND),
            ask.viewer,
        )
        return wanted, ask.resume

    def _find_title(self, name: str, viewer: int) -> tuple[int, int, int]:
        """A title's number, first cell and copies. Raises BadAsk, NotYet."""
        known = self._titles.get(name)
        if known is not None or self.titles is None:
            title, row = self._titles[name]
            return title, row.home, row.copies
        found = self.titles.find(name, viewer)
        if isinstance(found, tuple):
            return found
        if found.surely:
            raise BadAsk(404, found.why)
        elsewhere = ", ".join(map(str, self.titles.elsewhere(found.place)))
        raise NotYet(f"rejected: {found.why}" + (f"; ask gateway {elsewhere}" if elsewhere else ""))

    def _lacks(self, wanted: Wanted) -> str:
        if self.notices is None:
            return ""
        return self.notices.lacking(wanted.title_name, self._plan_names[wanted.plan])

    def _left(self, visit: Visit) -> None:
        if visit.playback is not None and self.driver is not None:
            self._doorkeeper.answered(visit.address)
            self._doorkeeper.gone(visit.address)
            self.driver.leave(self._now(), visit.playback)
            self._after()

    def _manifest(self, exchange: Exchange, public: bytes, form: bytes) -> None:
        playback = self._find(public)
        if playback is None:
            exchange.refuse(404, "there is no such playback")
            return
        reel, now = cast(Reel, playback.timeline), self._now()
        began = reel.zero or time.time() - (now - reel.epoch) / SECOND
        text = hls(reel, now, began) if form == b"index.m3u8" else dash(reel, now, began, self._rates)
        exchange.respond(200, ((b"content-type", MANIFESTS[form]), (b"cache-control", b"no-cache")), text)

    def _notice(self, exchange: Exchange, recording: bytes, rung: bytes, name: bytes) -> None:
        number = name.removesuffix(b".m4s")
        found = None
        if self.notices is not None and rung.isdigit() and number.isdigit() and len(rung + number) < 12:
            found = self.notices.piece(unquote(recording.decode("latin-1")), int(rung), int(number))
        if found is None:
            exchange.refuse(404, "there is no such recording")
        else:
            exchange.respond(200, MEDIA, found)

    def _delete(self, exchange: Exchange, public: bytes) -> None:
        playback = self._find(public)
        if playback is None or self.driver is None:
            exchange.refuse(404, "there is no such playback")
            return
        self.driver.leave(self._now(), playback)
        exchange.respond(204)
        self._after()

    def _find(self, public: bytes) -> Playback | None:
        try:
            name = public.decode("ascii")
        except UnicodeDecodeError:
            return None
        return self.driver.find(self._now(), name) if self.driver is not None else None

    # What the driver says.

    def answer(self, playback: Playback, final: Final) -> None:
        """Answer the viewer; a request has one answer."""
        visit: Visit = playback.reply
        exchange = visit.exchange
        exchange.on_gone = None
        self._doorkeeper.answered(visit.address)
        if final.kind == "plays":
            self._addresses[playback.public] = visit.address
            manifest = f"/v1/playbacks/{playback.public}/index.m3u8"
            told = {
                "playback": playback.public,
                "manifest": manifest,
                "rung": cast(Reel, playback.timeline).rung,
            }
            exchange.json(201, told, ((b"location", manifest.encode("ascii")),))
            return
        self._doorkeeper.gone(visit.address)
        if final.kind == "rejected":
            told = {"error": "rejected: asking again is harmless", "playback": playback.public}
            if final.wait:
                told["retry_after_ms"] = final.wait // 1_000_000
            exchange.json(503, told, self.advice(final.wait))
        elif final.kind == "aborted":
            exchange.json(502, {"error": "aborted: it may have been set up", "playback": playback.public})
        else:
            exchange.cut()

    def over(self, playback: Playback) -> None:
        """What played for an address is over."""
        address = self._addresses.pop(playback.public, None)
        if address is not None:
            self._doorkeeper.gone(address)

    @staticmethod
    def advice(wait: int) -> Headers:
        """When to come again, in whole seconds as HTTP has it."""
        return ((b"retry-after", b"%d" % ceil(wait / SECOND)),) if wait > 0 else ()


class NotYet(Exception):
    """A title that is not here yet, or may be elsewhere: one line."""


class BadAsk(Exception):
    """A request that cannot be taken, and the status that says so."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status
