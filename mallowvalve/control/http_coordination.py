"""Locks, numbers and watched keys over HTTP, for callers that bring a `Mallow-Key` with each command."""

from __future__ import annotations

import gevent
import msgspec

from mallowvalve import clock, web
from mallowvalve.control import page_offer
from mallowvalve.control.api import Api
from mallowvalve.control.outcome import Code
from mallowvalve.control.replica_task import ATTEMPT
from mallowvalve.control.state import encode
from mallowvalve.control.wire import CommandResponse
from mallowvalve.coordination.state import KeyedResult, KeyedResultCode, Lock, Next, Put, Renew, Unlock
from mallowvalve.finding import Finding

CALL_TIMEOUT_S = 3.0
MAX_WATCH_WAIT_S = 25.0
MAX_VALUE_CHARACTERS = 65536
MAX_HOLDER_CHARACTERS = 200
MIN_HOLD_MS, MAX_HOLD_MS = 100, 600_000
HTTP_STATUS = {
    KeyedResultCode.OK: 200,
    KeyedResultCode.HELD: 409,
    KeyedResultCode.CONFLICT: 409,
    KeyedResultCode.LOST: 410,
    KeyedResultCode.MISSING: 404,
}
_decode_result = msgspec.msgpack.Decoder(KeyedResult).decode


class CoordinationDoc(msgspec.Struct):
    """The body of any of these calls; each uses the fields that it needs."""

    holder: str = ""
    ttl_ms: int = 10000
    token: int = 0
    value: str | None = None
    base: int | None = None


class KeyedResource(Api):
    """What these pages share."""

    def run(self, req, resp, c) -> None:
        """Offers a command and answers with what became of it."""
        if not page_offer.accept_or_redirect(self.task, req, resp):
            return None
        t = page_offer.offer(self.task, req, encode(c), CALL_TIMEOUT_S, ATTEMPT)
        if not t.body:
            return self.reject(req, resp, t)
        s = _decode_result(t.body)
        body = {"code": s.code, "revision": t.revision}
        if s.code is KeyedResultCode.HELD:
            body |= {"holder": s.holder, "retry_ms": s.number}
            resp.set_header("Retry-After", str(max(1, s.number // 1000)))
        else:
            body["number"] = s.number
        web.say(resp, body, HTTP_STATUS[s.code])


class KeyedLocks(KeyedResource):
    """Take, renew and free locks."""

    def on_post(self, req, resp, name: str, act: str) -> None:
        """One of the three acts, by the path."""
        d = web.read_as(CoordinationDoc, req, resp)
        key = self.key(req, resp) if d is not None and self.named(req, resp, name) else None
        if key is None:
            return
        if not d.holder or len(d.holder) > MAX_HOLDER_CHARACTERS or not MIN_HOLD_MS <= d.ttl_ms <= MAX_HOLD_MS:
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


class KeyedNumbers(KeyedResource):
    """Numbers that only rise."""

    def on_post(self, req, resp, name: str) -> None:
        """The next number of a name."""
        key = self.key(req, resp) if self.named(req, resp, name) else None
        if key is not None:
            self.run(req, resp, Next(name, key))


class KeyedValues(KeyedResource):
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
        if d.value is None or len(d.value) > MAX_VALUE_CHARACTERS:
            return web.turn_away(
                req, resp, 400, [Finding("value", f"want text of at most {MAX_VALUE_CHARACTERS} characters")]
            )
        self._put(req, resp, name, d.value, d.base)

    def on_delete(self, req, resp, name: str) -> None:
        """Deletes a key."""
        self._put(req, resp, name, None, None)

    def _put(self, req, resp, name: str, value: str | None, base: int | None) -> None:
        key = self.key(req, resp) if self.named(req, resp, name) else None
        if key is not None:
            self.run(req, resp, Put(name, value, base, key))


class KeyedWatch(Api):
    """Changes of keys since a revision."""

    def on_get(self, req, resp) -> None:
        """Answers as soon as there are some, or after the caller's wait."""
        since = req.get_param_as_int("since", required=True, min_value=0)
        prefix = req.get_param("prefix") or ""
        end = clock.now() + min(MAX_WATCH_WAIT_S, (req.get_param_as_int("wait_ms") or 0) / 1000)
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
    app.add_route("/locks/{name}/{act}", KeyedLocks(task))
    app.add_route("/numbers/{name}", KeyedNumbers(task))
    app.add_route("/keys/{name}", KeyedValues(task))
    app.add_route("/watch", KeyedWatch(task))
