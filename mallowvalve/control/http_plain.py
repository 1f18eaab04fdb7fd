"""Locks, numbers and cells over HTTP, for clients without a `Mallow-Key` that retry elsewhere after 1 s."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import falcon
import gevent
import msgspec
from gevent.event import Event

from mallowvalve import clock, web
from mallowvalve.control import http_submission
from mallowvalve.control.lease import LEASE_BOUNDS, AnswerKind
from mallowvalve.control.outcome import NOT_APPLIED, Code
from mallowvalve.control.state import ReplicatedState, encode
from mallowvalve.control.task import ControlTask
from mallowvalve.control.wire import CommandResponse
from mallowvalve.coordination.plain import (
    Count,
    Extend,
    Free,
    KeyRevision,
    PlainCoordination,
    PlainResult,
    PlainResultCode,
    Take,
    Write,
    group_of,
)
from mallowvalve.finding import Finding, Findings

CALL_TIMEOUT_S = 0.85
ATTEMPT_TIMEOUT_S = 0.6
RETRY_PAUSE_S = 0.04
WATCH_POLL_INTERVAL_S = 0.01
MAX_WATCH_WAIT_S = 30.0
STALE_WATCH_RETRY_AFTER_S = 0.2
MAX_NAME_CHARACTERS = 200
MAX_VALUE_BYTES = 64 << 10
MAX_HOLD_MS = 600_000
MAX_BODY_BYTES = 8 * MAX_VALUE_BYTES
NUMBER_UPPER_BOUND = 1 << 62
Document = TypeVar("Document", bound=msgspec.Struct)
decode_plain_result = msgspec.msgpack.Decoder(PlainResult).decode


class TakeDoc(msgspec.Struct):
    """Body of a request to acquire a lock; `hold_ms` is the duration of the lease."""

    holder: str
    hold_ms: float


class ExtendDoc(msgspec.Struct):
    """Body of a request to extend a lock; `hold_ms` is the new duration of the lease."""

    holder: str
    token: int
    hold_ms: float


class FreeDoc(msgspec.Struct):
    """Body of a request to release a lock."""

    holder: str
    token: int


class WriteDoc(msgspec.Struct):
    """Body of a request to write a cell; `base` is the expected revision, or None for any."""

    value: str
    base: int | None = None


def is_valid_name(text: str) -> bool:
    """Returns whether the text is a valid name of a lock, number, cell, group or holder."""
    return 0 < len(text) <= MAX_NAME_CHARACTERS and text.isprintable()


def find_errors(name: str, doc: msgspec.Struct | None = None) -> Findings:
    """Returns the findings about a name and, if given, a body."""
    found = []
    if not is_valid_name(name):
        found.append(Finding("name", f"want 1 to {MAX_NAME_CHARACTERS} printable characters"))
    if not is_valid_name(getattr(doc, "holder", "x")):
        found.append(Finding("holder", f"want 1 to {MAX_NAME_CHARACTERS} printable characters"))
    if not 0 < getattr(doc, "hold_ms", 1) <= MAX_HOLD_MS:
        found.append(Finding("hold_ms", f"want more than 0, at most {MAX_HOLD_MS}"))
    if len(getattr(doc, "value", "").encode()) > MAX_VALUE_BYTES:
        found.append(Finding("value", f"want at most {MAX_VALUE_BYTES} bytes"))
    for field in ("token", "base"):
        if not 0 <= (getattr(doc, field, 0) or 0) < NUMBER_UPPER_BOUND:
            found.append(Finding(field, "out of range"))
    return found


class PlainResource:
    """Base class of the resources: validation, submission and confirmed reads."""

    def __init__(self, task: ControlTask):
        """`task` is the control process that serves the resource."""
        self.task = task

    def read_json(self, kind: type[Document], req: falcon.Request, resp: falcon.Response, name: str) -> Document | None:
        """Returns the validated body, or None after responding with the findings."""
        doc = web.read_json(kind, req, resp, MAX_BODY_BYTES)
        if doc is None:
            return None
        found = find_errors(name, doc)
        if found:
            web.reject(resp, 400, web.NOT_RUN, found)
            return None
        return doc

    def run(
        self, req: falcon.Request, resp: falcon.Response, command: Take | Extend | Free | Count | Write
    ) -> PlainResult | None:
        """Returns the command's result, or None after responding with an error; may submit it more than once."""
        if not http_submission.accept_or_redirect(self.task, req, resp):
            return None
        response = http_submission.offer(self.task, req, encode(command), CALL_TIMEOUT_S, ATTEMPT_TIMEOUT_S)
        if response.code == Code.OK:
            return decode_plain_result(response.body)
        self.reject(resp, response)
        return None

    def confirm(self, req: falcon.Request, resp: falcon.Response) -> PlainCoordination | None:
        """Returns a state with all writes acknowledged before this call, or None after responding with an error."""
        if not http_submission.accept_or_redirect(self.task, req, resp):
            return None
        end, response = clock.now() + CALL_TIMEOUT_S, CommandResponse(Code.LEADER)
        while (left := end - clock.now()) > 0:
            response = self.task.read(min(left, ATTEMPT_TIMEOUT_S))
            state: ReplicatedState | None = self.task.core.state
            if response.code == Code.OK and state is not None:
                return state.plain
            if web.client_left(req):
                break
            gevent.sleep(min(RETRY_PAUSE_S, max(0.0, end - clock.now())))
        self.reject(resp, response)
        return None

    def reject(self, resp: falcon.Response, response: CommandResponse) -> None:
        """Responds with 503 if the command is known not to be applied, and with 504 if it may still take effect."""
        if response.code in NOT_APPLIED:
            web.reject(resp, 503, web.NOT_RUN, [Finding("control", "no leader just now")], 1)
            return
        web.reject(resp, 504, web.UNDECIDED, [Finding("control", "not confirmed in time: say it again")], 1)


class PlainLocks(PlainResource):
    """Locks by name."""

    def on_post(self, req: falcon.Request, resp: falcon.Response, name: str) -> None:
        """Acquires the lock, or extends it if the same holder has it."""
        doc = self.read_json(TakeDoc, req, resp, name)
        result = self.run(req, resp, Take(name, doc.holder, doc.hold_ms)) if doc is not None else None
        if result is not None:
            self._answer(resp, result, {"token": result.number})

    def on_put(self, req: falcon.Request, resp: falcon.Response, name: str) -> None:
        """Extends the lock if the fencing token matches."""
        doc = self.read_json(ExtendDoc, req, resp, name)
        result = self.run(req, resp, Extend(name, doc.holder, doc.token, doc.hold_ms)) if doc is not None else None
        if result is not None:
            self._answer(resp, result, {})

    def on_delete(self, req: falcon.Request, resp: falcon.Response, name: str) -> None:
        """Releases the lock; the response is the same if it was not held."""
        doc = self.read_json(FreeDoc, req, resp, name)
        result = self.run(req, resp, Free(name, doc.holder, doc.token)) if doc is not None else None
        if result is not None:
            self._answer(resp, result, {})

    def _answer(self, resp: falcon.Response, result: PlainResult, body: dict[str, object]) -> None:
        if result.code is PlainResultCode.OK:
            web.send_json(resp, body)
        else:
            web.send_json(resp, {"code": result.code}, 409)


class PlainNumbers(PlainResource):
    """Counters by name; their numbers only increase."""

    def on_post(self, req: falcon.Request, resp: falcon.Response, name: str) -> None:
        """Responds with the next number of the counter."""
        found = find_errors(name)
        if found:
            web.reject(resp, 400, web.NOT_RUN, found)
            return
        result = self.run(req, resp, Count(name))
        if result is not None:
            web.send_json(resp, {"value": result.number})


class PlainCells(PlainResource):
    """Values by name."""

    def on_get(self, req: falcon.Request, resp: falcon.Response, name: str) -> None:
        """Responds with the value and its revision, from a confirmed read."""
        found = find_errors(name)
        if found:
            web.reject(resp, 400, web.NOT_RUN, found)
            return
        plain = self.confirm(req, resp)
        if plain is None:
            return
        stored = plain.keys.get(name)
        if stored is None:
            web.send_json(resp, {"revision": 0}, 404)
            return
        web.send_json(resp, {"value": stored[0], "revision": stored[1]})

    def on_put(self, req: falcon.Request, resp: falcon.Response, name: str) -> None:
        """Writes the value, only on the expected revision if one is given."""
        doc = self.read_json(WriteDoc, req, resp, name)
        result = self.run(req, resp, Write(name, doc.value, doc.base)) if doc is not None else None
        if result is not None:
            web.send_json(resp, {"revision": result.number}, 200 if result.code is PlainResultCode.OK else 412)


class WatchNotifier:
    """Wakes watchers after writes to their group, by polling the state every `WATCH_POLL_INTERVAL_S`.

    One greenlet polls for all watchers; it runs only while there are any.
    """

    __slots__ = ("_task", "_watchers", "_job")

    def __init__(self, task: ControlTask):
        """Starts without watchers."""
        self._task = task
        self._watchers: dict[Event, tuple[str, int]] = {}
        self._job: gevent.Greenlet | None = None

    def wait(self, group: str, after: int, limit: float) -> None:
        """Blocks until the group's revision exceeds `after`, `limit` (s) has passed, or the control process stops."""
        wakeup = Event()
        self._watchers[wakeup] = group, after
        if self._job is None:
            self._job = gevent.spawn(self._run)
        try:
            wakeup.wait(timeout=max(0.0, limit))
        finally:
            del self._watchers[wakeup]

    def _run(self) -> None:
        seen: tuple[PlainCoordination, int] | None = None
        while self._watchers:
            state = self._task.core.state
            if state is None or self._task.node.stopping.is_set():
                self._notify(lambda group, after: True)
                seen = None
            elif (version := (state.plain, state.plain.write_count)) != seen:
                self._notify(self._has_later(state.plain))
                seen = version
            gevent.sleep(WATCH_POLL_INTERVAL_S)
        self._job = None

    def _has_later(self, plain: PlainCoordination) -> Callable[[str, int], bool]:
        return lambda group, after: plain.revision(group) > after

    def _notify(self, is_due: Callable[[str, int], bool]) -> None:
        for wakeup, (group, after) in self._watchers.items():
            if is_due(group, after):
                wakeup.set()


class PlainWatch(PlainResource):
    """The writes to a group of cells after a revision, by long polling."""

    def __init__(self, task: ControlTask):
        """`task` is the control process that serves the resource."""
        super().__init__(task)
        self.notifier = WatchNotifier(task)

    def on_get(self, req: falcon.Request, resp: falcon.Response, name: str) -> None:
        """Responds as soon as there are events, or after `wait_ms`."""
        end = clock.now() + min(MAX_WATCH_WAIT_S, req.get_param_as_int("wait_ms", min_value=0, default=0) / 1000)
        after = req.get_param_as_int("after", min_value=0, max_value=NUMBER_UPPER_BOUND, default=0)
        found = find_errors(name)
        if not found and group_of(name) != name:
            found = [Finding("name", "want a group: up to and including the first dot")]
        if found:
            web.reject(resp, 400, web.NOT_RUN, found)
            return
        plain = self._local_or_confirmed(req, resp, after)
        if plain is None:
            return
        if after == 0 and plain.revision(name):
            web.send_json(resp, {"events": [], "revision": plain.revision(name)})
            return
        self._watch(req, resp, plain, name, after, end)

    def _local_or_confirmed(self, req: falcon.Request, resp: falcon.Response, after: int) -> PlainCoordination | None:
        """Returns the local state, after a confirmed read if it may lack acknowledged writes."""
        state: ReplicatedState | None = self.task.core.state
        if state is not None and after and self.task.core.current(clock.now()):
            return state.plain
        return self.confirm(req, resp)

    def _confirmed_if_stale(
        self, req: falcon.Request, resp: falcon.Response, plain: PlainCoordination, group: str, after: int, over: bool
    ) -> PlainCoordination | None:
        """Returns the local state, after a confirmed read if it has no events and may lack some.

        While the watcher waits, the state counts as stale only once heartbeats are rejected here too, so that a
        watcher at a partitioned process gets an error.
        """
        events, now = plain.events_since(group, after), clock.now()
        stale = not (self.task.core.current(now) if over else self.task.core.may_answer(AnswerKind.HEARTBEAT, now))
        return self.confirm(req, resp) if events is not None and not events[0] and stale else plain

    def _watch(
        self, req: falcon.Request, resp: falcon.Response, plain: PlainCoordination, group: str, after: int, end: float
    ) -> None:
        while True:
            over = clock.now() >= end or self.task.node.stopping.is_set()
            fresh = self._confirmed_if_stale(req, resp, plain, group, after, over)
            if fresh is None:
                return
            plain = fresh
            events = plain.events_since(group, after)
            if events is None:
                return web.send_json(resp, {"code": "compacted"}, 410)
            if events[0] or over:
                if events[1] < after:
                    found = [Finding("after", f"held here up to {events[1]} only")]
                    return web.reject(resp, 503, web.NOT_RUN, found, STALE_WATCH_RETRY_AFTER_S)
                return web.send_json(resp, {"events": list(map(event_document, events[0])), "revision": events[1]})
            self.notifier.wait(group, after, min(LEASE_BOUNDS[AnswerKind.WATCH].seconds, end - clock.now()))
            if web.client_left(req):
                return web.reject(resp, 503, web.NOT_RUN, [Finding("watch", "its caller has closed the connection")])
            state: ReplicatedState | None = self.task.core.state
            if state is None:
                return self.reject(resp, CommandResponse(Code.LEADER))
            plain = state.plain


def event_document(write: KeyRevision) -> dict:
    """Returns a write as an event of a watch response."""
    return {"name": write.name, "value": write.value, "revision": write.revision}


def add_routes(app: falcon.App | web.LazyApp, task: ControlTask, prefix: str) -> None:
    """Adds these resources below the path `prefix`, such as /coordination."""
    prefix = prefix.rstrip("/")
    app.add_route(prefix + "/locks/{name}", PlainLocks(task))
    app.add_route(prefix + "/numbers/{name}", PlainNumbers(task))
    app.add_route(prefix + "/cells/{name}", PlainCells(task))
    app.add_route(prefix + "/watch/{name}", PlainWatch(task))
