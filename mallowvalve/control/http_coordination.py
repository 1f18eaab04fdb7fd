"""Locks, numbers and watched keys over HTTP, for callers that bring a `Mallow-Key` with each command."""

from __future__ import annotations

import gevent
import msgspec

from mallowvalve import clock, web
from mallowvalve.control import page_offer
from mallowvalve.control.api import Api
from mallowvalve.control.outcome import Code
from mallowvalve.control.replica_task import ATTEMPT_TIMEOUT_S
from mallowvalve.control.state import encode
from mallowvalve.control.wire import CommandResponse
from mallowvalve.coordination.state import KeyedResult, KeyedResultCode, Lock, Next, Put, Renew, Unlock
from mallowvalve.finding import Finding

LIMIT = 3.0
WATCH_MOST = 25.0
VALUE_MOST = 65536
HOLDER_MOST = 200
HOLD_LEAST_MS, HOLD_MOST_MS = 100, 600_000
STATUS = {
    KeyedResultCode.OK: 200,
    KeyedResultCode.HELD: 409,
    KeyedResultCode.CONFLICT: 409,
    KeyedResultCode.LOST: 410,
    KeyedResultCode.MISSING: 404,
}
_said = msgspec.msgpack.Decoder(KeyedResult).decode


class CoordinationDoc(msgspec.Struct):
    """The body of any of these calls; each uses the fields that it needs."""

    holder: str = ""
    ttl_ms: int = 10000
    token: int = 0
    value: str | None = None
    base: int | None = None


class Coordination(Api):
    """What these pages share."""

    def run(self, req, resp, c) -> None:
        """Offers a command and answers with what became of it."""
        if not page_offer.may_begin(self.task, req, resp):
            return None
        t = page_offer.offer(self.task, req, encode(c), LIMIT, ATTEMPT_TIMEOUT_S)
        if not t.body:
            return self.reject(req, resp, t)
        s = _said(t.body)
        body = {"code": s.code, "revision": t.revision}
        if s.code is KeyedResultCode.HELD:
            body |= {"holder": s.holder, "retry_ms": s.number}
            resp.set_header("Retry-After", str(max(1, s.number // 1000)))
        else:
            body["number"] = s.number
        web.say(resp, body, STATUS[s.code])


class Locks(Coordination):
    """Take, renew and free locks."""

    def on_post(self, req, resp, name: str, act: str) -> None:
        """One of the three acts, by the path."""
        d = web.read_as(CoordinationDoc, req, resp)
        key = self.key(req, resp) if d is not None and self.name_is_valid(req, resp, name) else None
        if key is None:
            return
        if not d.holder or len(d.holder) > HOLDER_MOST or not HOLD_LEAST_MS <= d.ttl_ms <= HOLD_MOST_MS:
            found = [Finding("holder, ttl_ms", "want a holder of at most 200 characters and 100 to 600000 ms")]
            return web.turn_away(req, resp, 400, found)
        match act:
            case "take":
                self.run(req, resp, Lock(name, d.holder, d.ttl_ms, key))
            case "renew":
                self.run(req, resp, Renew(name, d.holder, d.token, d.ttl_ms, key))
            case "free":
                self.run(req, resp, Unlock(name, d.holder, d.token, key))
            case _:
                web.turn_away(req, resp, 404, [Finding("path", "want take, renew or free")])


class Numbers(Coordination):
    """Numbers that only rise."""

    def on_post(self, req, resp, name: str) -> None:
        """The next number of a name."""
        key = self.key(req, resp) if self.name_is_valid(req, resp, name) else None
        if key is not None:
            self.run(req, resp, Next(name, key))


class Keys(Coordination):
    """Keys with values."""

    def on_get(self, req, resp, name: str) -> None:
        """A confirmed read."""
        if self.confirm(req, resp) is None:
            return
        st = self.task.core.state
        had = st.coordination.keys.get(name)
        body = {"name": name, "value": had[0] if had else None, "at": had[1] if had else 0, "revision": st.revision}
        web.say(resp, body, 200 if had else 404)

    def on_put(self, req, resp, name: str) -> None:
        """Puts a value."""
        d = web.read_as(CoordinationDoc, req, resp, 1 << 20)
        if d is None:
            return
        if d.value is None or len(d.value) > VALUE_MOST:
            return web.turn_away(req, resp, 400, [Finding("value", f"want text of at most {VALUE_MOST} characters")])
        self._put(req, resp, name, d.value, d.base)

    def on_delete(self, req, resp, name: str) -> None:
        """Deletes a key."""
        self._put(req, resp, name, None, None)

    def _put(self, req, resp, name: str, value: str | None, base: int | None) -> None:
        key = self.key(req, resp) if self.name_is_valid(req, resp, name) else None
        if key is not None:
            self.run(req, resp, Put(name, value, base, key))


class Watch(Api):
    """Changes of keys since a revision."""

    def on_get(self, req, resp) -> None:
        """Answers as soon as there are some, or after the caller's wait."""
        since = req.get_param_as_int("since", required=True, min_value=0)
        prefix = req.get_param("prefix") or ""
        end = clock.now() + min(WATCH_MOST, (req.get_param_as_int("wait_ms") or 0) / 1000)
        if self.confirm(req, resp) is None:
            return
        while True:
            st = self.task.core.state
            if st is None:
                return self.reject(req, resp, CommandResponse(Code.LEADER))
            events = st.coordination.events_since(since, prefix)
            if events is None:
                found = [Finding("since", f"compacted up to {st.coordination.compacted}")]
                return web.reject(resp, 410, web.NOT_RUN, found)
            upto = max(since, st.revision)
            if events or clock.now() >= end or self.task.node.stopping.is_set():
                break
            since = upto
            gevent.sleep(0.05)
        if not events and not self.task.core.current(clock.now()) and self.confirm(req, resp) is None:
            return
        web.say(
            resp,
            {
                "revision": upto,
                "events": [{"revision": e.revision, "name": e.name, "value": e.value} for e in events],
            },
        )


def add_routes(app, task) -> None:
    """Adds these pages."""
    app.add_route("/locks/{name}/{act}", Locks(task))
    app.add_route("/numbers/{name}", Numbers(task))
    app.add_route("/keys/{name}", Keys(task))
    app.add_route("/watch", Watch(task))
