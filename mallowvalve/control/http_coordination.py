"""Locks, numbers and watched keys over HTTP, for clients that send a `Mallow-Key` with each command."""

from __future__ import annotations

import falcon
import gevent
import msgspec

from mallowvalve import clock, web
from mallowvalve.control import http_submission
from mallowvalve.control.api import Api
from mallowvalve.control.outcome import Code
from mallowvalve.control.replica_task import ATTEMPT_TIMEOUT_S
from mallowvalve.control.state import encode
from mallowvalve.control.task import ControlTask
from mallowvalve.control.wire import CommandResponse
from mallowvalve.coordination.state import KeyedResult, KeyedResultCode, Lock, Next, Put, Renew, Unlock
from mallowvalve.finding import Finding

CALL_TIMEOUT_S = 3.0
MAX_WATCH_WAIT_S = 25.0
WATCH_POLL_INTERVAL_S = 0.05
MAX_BODY_BYTES = 1 << 20
MAX_VALUE_CHARACTERS = 65536
MAX_HOLDER_CHARACTERS = 200
MIN_HOLD_MS = 100
MAX_HOLD_MS = 600_000
HTTP_STATUS = {
    KeyedResultCode.OK: 200,
    KeyedResultCode.HELD: 409,
    KeyedResultCode.CONFLICT: 409,
    KeyedResultCode.LOST: 410,
    KeyedResultCode.MISSING: 404,
}
_decode_result = msgspec.msgpack.Decoder(KeyedResult).decode


class CoordinationDoc(msgspec.Struct):
    """Request body of all lock and key commands; each command uses only some of the fields."""

    holder: str = ""
    ttl_ms: int = 10000
    token: int = 0
    value: str | None = None
    base: int | None = None


class KeyedResource(Api):
    """Base class of the resources whose commands have a `Mallow-Key`."""

    def run(self, req: falcon.Request, resp: falcon.Response, command: Lock | Renew | Unlock | Next | Put) -> None:
        """Submits a command and responds with its result."""
        if not http_submission.accept_or_redirect(self.task, req, resp):
            return
        response = http_submission.offer(self.task, req, encode(command), CALL_TIMEOUT_S, ATTEMPT_TIMEOUT_S)
        if not response.body:
            self.reject(req, resp, response)
            return
        result = _decode_result(response.body)
        body: dict[str, object] = {"code": result.code, "revision": response.revision}
        if result.code is KeyedResultCode.HELD:
            body |= {"holder": result.holder, "retry_ms": result.number}
            resp.set_header("Retry-After", str(max(1, result.number // 1000)))
        else:
            body["number"] = result.number
        web.send_json(resp, body, HTTP_STATUS[result.code])


class KeyedLocks(KeyedResource):
    """Locks by name."""

    def on_post(self, req: falcon.Request, resp: falcon.Response, name: str, act: str) -> None:
        """Acquires, renews or releases the lock, as `act` in the path says."""
        doc = web.read_json(CoordinationDoc, req, resp)
        key = self.key(req, resp) if doc is not None and self.name_is_valid(req, resp, name) else None
        if doc is None or key is None:
            return
        if not doc.holder or len(doc.holder) > MAX_HOLDER_CHARACTERS or not MIN_HOLD_MS <= doc.ttl_ms <= MAX_HOLD_MS:
            found = [Finding("holder, ttl_ms", "want a holder of at most 200 characters and 100 to 600000 ms")]
            web.reject_early(req, resp, 400, found)
            return
        match act:
            case "take":
                self.run(req, resp, Lock(name, doc.holder, doc.ttl_ms, key))
            case "renew":
                self.run(req, resp, Renew(name, doc.holder, doc.token, doc.ttl_ms, key))
            case "free":
                self.run(req, resp, Unlock(name, doc.holder, doc.token, key))
            case _:
                web.reject_early(req, resp, 404, [Finding("path", "want take, renew or free")])


class KeyedNumbers(KeyedResource):
    """Counters by name; their numbers only increase."""

    def on_post(self, req: falcon.Request, resp: falcon.Response, name: str) -> None:
        """Responds with the next number of the counter."""
        key = self.key(req, resp) if self.name_is_valid(req, resp, name) else None
        if key is not None:
            self.run(req, resp, Next(name, key))


class KeyedValues(KeyedResource):
    """Values by key."""

    def on_get(self, req: falcon.Request, resp: falcon.Response, name: str) -> None:
        """Responds with the value and its revision, from a confirmed read."""
        state = self.confirm(req, resp)
        if state is None:
            return
        stored = state.coordination.keys.get(name)
        body = {
            "name": name,
            "value": stored[0] if stored else None,
            "at": stored[1] if stored else 0,
            "revision": state.revision,
        }
        web.send_json(resp, body, 200 if stored else 404)

    def on_put(self, req: falcon.Request, resp: falcon.Response, name: str) -> None:
        """Writes the value, only on the revision `base` if it is given."""
        doc = web.read_json(CoordinationDoc, req, resp, MAX_BODY_BYTES)
        if doc is None:
            return
        if doc.value is None or len(doc.value) > MAX_VALUE_CHARACTERS:
            found = [Finding("value", f"want text of at most {MAX_VALUE_CHARACTERS} characters")]
            web.reject_early(req, resp, 400, found)
            return
        self._put(req, resp, name, doc.value, doc.base)

    def on_delete(self, req: falcon.Request, resp: falcon.Response, name: str) -> None:
        """Deletes the key."""
        self._put(req, resp, name, None, None)

    def _put(self, req: falcon.Request, resp: falcon.Response, name: str, value: str | None, base: int | None) -> None:
        key = self.key(req, resp) if self.name_is_valid(req, resp, name) else None
        if key is not None:
            self.run(req, resp, Put(name, value, base, key))


class KeyedWatch(Api):
    """Changes of keys after a revision, by long polling."""

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Responds as soon as there are events, or after `wait_ms`."""
        since = req.get_param_as_int("since", required=True, min_value=0)
        prefix = req.get_param("prefix") or ""
        end = clock.now() + min(MAX_WATCH_WAIT_S, (req.get_param_as_int("wait_ms") or 0) / 1000)
        if self.confirm(req, resp) is None:
            return
        while True:
            state = self.task.core.state
            if state is None:
                self.reject(req, resp, CommandResponse(Code.LEADER))
                return
            events = state.coordination.events_since(since, prefix)
            if events is None:
                found = [Finding("since", f"compacted up to {state.coordination.compacted}")]
                web.reject(resp, 410, web.NOT_RUN, found)
                return
            revision = max(since, state.revision)
            if events or clock.now() >= end or self.task.node.stopping.is_set():
                break
            since = revision
            gevent.sleep(WATCH_POLL_INTERVAL_S)
        if not events and not self.task.core.current(clock.now()) and self.confirm(req, resp) is None:
            return
        web.send_json(
            resp,
            {
                "revision": revision,
                "events": [{"revision": event.revision, "name": event.name, "value": event.value} for event in events],
            },
        )


def add_routes(app: falcon.App | web.LazyApp, task: ControlTask) -> None:
    """Adds these resources."""
    app.add_route("/locks/{name}/{act}", KeyedLocks(task))
    app.add_route("/numbers/{name}", KeyedNumbers(task))
    app.add_route("/keys/{name}", KeyedValues(task))
    app.add_route("/watch", KeyedWatch(task))
