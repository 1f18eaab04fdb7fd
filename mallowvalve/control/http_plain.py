"""Locks, numbers and keys over HTTP for callers that bring no key and ask another core machine after a second."""

from __future__ import annotations

import gevent
import msgspec
from gevent.event import Event

from mallowvalve import clock, web
from mallowvalve.control import page_offer
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

CALL_TIMEOUT_S, ATTEMPT_TIMEOUT_S = 0.85, 0.6
RETRY_PAUSE_S, WATCH_POLL_INTERVAL_S = 0.04, 0.01
MAX_WATCH_WAIT_S = 30.0
MAX_NAME_CHARACTERS, MAX_VALUE_BYTES, MAX_HOLD_MS = 200, 64 << 10, 600_000
MAX_BODY_BYTES = 8 * MAX_VALUE_BYTES
NUMBER_UPPER_BOUND = 1 << 62
decode_plain_result = msgspec.msgpack.Decoder(PlainResult).decode


class TakeDoc(msgspec.Struct):
    """The body that takes a lock (ms)."""

    holder: str
    hold_ms: float


class ExtendDoc(msgspec.Struct):
    """The body that holds a lock longer (ms)."""

    holder: str
    token: int
    hold_ms: float


class FreeDoc(msgspec.Struct):
    """The body that gives a lock back."""

    holder: str
    token: int


class WriteDoc(msgspec.Struct):
    """The body that puts a key."""

    value: str
    base: int | None = None


def is_valid_name(text: str) -> bool:
    """Whether the text may be a name."""
    return 0 < len(text) <= MAX_NAME_CHARACTERS and text.isprintable()


def find_errors(name: str, d: msgspec.Struct | None = None) -> Findings:
    """What is wrong with a name and a body."""
    found = []
    if not is_valid_name(name):
        found.append(Finding("name", f"want 1 to {MAX_NAME_CHARACTERS} printable characters"))
    if not is_valid_name(getattr(d, "holder", "x")):
        found.append(Finding("holder", f"want 1 to {MAX_NAME_CHARACTERS} printable characters"))
    if not 0 < getattr(d, "hold_ms", 1) <= MAX_HOLD_MS:
        found.append(Finding("hold_ms", f"want more than 0, at most {MAX_HOLD_MS}"))
    if len(getattr(d, "value", "").encode()) > MAX_VALUE_BYTES:
        found.append(Finding("value", f"want at most {MAX_VALUE_BYTES} bytes"))
    for field in ("token", "base"):
        if not 0 <= (getattr(d, field, 0) or 0) < NUMBER_UPPER_BOUND:
            found.append(Finding(field, "out of range"))
    return found


class PlainResource:
    """What these pages share."""

    def __init__(self, task: ControlTask):
        """Pages of one control process."""
        self.task = task

    def read_as(self, kind: type, req, resp, name: str):
        """The checked body, or None once the findings were answered."""
        d = web.read_as(kind, req, resp, MAX_BODY_BYTES)
        if d is None:
            return None
        found = find_errors(name, d)
        return web.reject(resp, 400, web.NOT_RUN, found) if found else d

    def run(self, req, resp, c: Take | Extend | Free | Count | Write) -> PlainResult | None:
        """What was said to the command, or None once the trouble was answered; may offer it more than once."""
        if not page_offer.accept_or_redirect(self.task, req, resp):
            return None
        t = page_offer.offer(self.task, req, encode(c), CALL_TIMEOUT_S, ATTEMPT_TIMEOUT_S)
        return decode_plain_result(t.body) if t.code == Code.OK else self.reject(resp, t)

    def confirm(self, req, resp) -> PlainCoordination | None:
        """The state with all that was acknowledged before this call, or None once the trouble was answered."""
        if not page_offer.accept_or_redirect(self.task, req, resp):
            return None
        end, t = clock.now() + CALL_TIMEOUT_S, CommandResponse(Code.LEADER)
        while (left := end - clock.now()) > 0:
            t = self.task.read(min(left, ATTEMPT_TIMEOUT_S))
            s: ReplicatedState | None = self.task.core.state
            if t.code == Code.OK and s is not None:
                return s.plain
            if web.client_left(req):
                break
            gevent.sleep(min(RETRY_PAUSE_S, max(0.0, end - clock.now())))
        return self.reject(resp, t)

    def reject(self, resp, t: CommandResponse) -> None:
        """503 only where the offer came back as never taken: whatever may still take effect is a 504."""
        if t.code in NOT_APPLIED:
            return web.reject(resp, 503, web.NOT_RUN, [Finding("control", "no leader just now")], 1)
        web.reject(resp, 504, web.UNDECIDED, [Finding("control", "not confirmed in time: say it again")], 1)


class PlainLocks(PlainResource):
    """Locks by name."""

    def on_post(self, req, resp, name: str) -> None:
        """Takes a lock, or holds it longer for its holder."""
        d = self.read_as(TakeDoc, req, resp, name)
        w = self.run(req, resp, Take(name, d.holder, d.hold_ms)) if d is not None else None
        if w is not None:
            self._answer(resp, w, {"token": w.number})

    def on_put(self, req, resp, name: str) -> None:
        """Holds a lock longer, under its token."""
        d = self.read_as(ExtendDoc, req, resp, name)
        w = self.run(req, resp, Extend(name, d.holder, d.token, d.hold_ms)) if d is not None else None
        if w is not None:
            self._answer(resp, w, {})

    def on_delete(self, req, resp, name: str) -> None:
        """Gives a lock back; the answer is the same whether it was held or not."""
        d = self.read_as(FreeDoc, req, resp, name)
        w = self.run(req, resp, Free(name, d.holder, d.token)) if d is not None else None
        if w is not None:
            self._answer(resp, w, {})

    def _answer(self, resp, w: PlainResult, body: dict) -> None:
        web.say(resp, body) if w.code is PlainResultCode.OK else web.say(resp, {"code": w.code}, 409)


class PlainNumbers(PlainResource):
    """Numbers that only rise."""

    def on_post(self, req, resp, name: str) -> None:
        """The next number of a name."""
        found = find_errors(name)
        if found:
            return web.reject(resp, 400, web.NOT_RUN, found)
        w = self.run(req, resp, Count(name))
        if w is not None:
            web.say(resp, {"value": w.number})


class PlainCells(PlainResource):
    """Keys with values."""

    def on_get(self, req, resp, name: str) -> None:
        """A confirmed read."""
        found = find_errors(name)
        if found:
            return web.reject(resp, 400, web.NOT_RUN, found)
        plain = self.confirm(req, resp)
        if plain is None:
            return
        had = plain.keys.get(name)
        if had is None:
            return web.say(resp, {"revision": 0}, 404)
        web.say(resp, {"value": had[0], "revision": had[1]})

    def on_put(self, req, resp, name: str) -> None:
        """Puts a value, on a revision if one is given."""
        d = self.read_as(WriteDoc, req, resp, name)
        w = self.run(req, resp, Write(name, d.value, d.base)) if d is not None else None
        if w is not None:
            web.say(resp, {"revision": w.number}, 200 if w.code is PlainResultCode.OK else 412)


class WatchNotifier:
    """Wakes watchers when a put was applied: one look each `LOOK` seconds for all of them, none while nobody waits."""

    __slots__ = ("_task", "_watchers", "_job")

    def __init__(self, task: ControlTask):
        """Nobody waits yet."""
        self._task = task
        self._watchers: dict[Event, tuple[str, int]] = {}
        self._job = None

    def wait(self, group: str, after: int, limit: float) -> None:
        """Returns when the group is above `after`, at the limit (s), or when the control process stops."""
        wakeup = Event()
        self._watchers[wakeup] = group, after
        if self._job is None:
            self._job = gevent.spawn(self._run)
        try:
            wakeup.wait(timeout=max(0.0, limit))
        finally:
            del self._watchers[wakeup]

    def _run(self) -> None:
        seen = None
        while self._watchers:
            s = self._task.core.state
            now = (s, s.plain.write_count) if s is not None else None
            if now is None or self._task.node.stopping.is_set():
                self._notify(lambda group, after: True)
            elif now != seen:
                self._notify(lambda group, after: s.plain.revision(group) > after)
            seen = now
            gevent.sleep(WATCH_POLL_INTERVAL_S)
        self._job = None

    def _notify(self, due) -> None:
        for wakeup, (group, after) in self._watchers.items():
            if due(group, after):
                wakeup.set()


class PlainWatch(PlainResource):
    """The puts of a group after a revision."""

    def __init__(self, task: ControlTask):
        """Pages of one control process."""
        super().__init__(task)
        self.notifier = WatchNotifier(task)

    def on_get(self, req, resp, name: str) -> None:
        """Answers as soon as there are some, or after the caller's wait."""
        end = clock.now() + min(MAX_WATCH_WAIT_S, req.get_param_as_int("wait_ms", min_value=0, default=0) / 1000)
        after = req.get_param_as_int("after", min_value=0, max_value=NUMBER_UPPER_BOUND, default=0)
        found = find_errors(name)
        if not found and group_of(name) != name:
            found = [Finding("name", "want a group: up to and including the first dot")]
        if found:
            return web.reject(resp, 400, web.NOT_RUN, found)
        plain = self._local_or_confirmed(req, resp, after)
        if plain is None:
            return
        if after == 0 and plain.revision(name):
            return web.say(resp, {"events": [], "revision": plain.revision(name)})
        self._watch(req, resp, plain, name, after, end)

    def _local_or_confirmed(self, req, resp, after: int) -> PlainCoordination | None:
        """What is known here, unless it may lag behind what was acknowledged: then a quorum is asked first."""
        s: ReplicatedState | None = self.task.core.state
        if s is not None and after and self.task.core.current(clock.now()):
            return s.plain
        return self.confirm(req, resp)

    def _confirmed_if_stale(
        self, req, resp, plain: PlainCoordination, group: str, after: int, over: bool
    ) -> PlainCoordination | None:
        """What is known here; where that is no news and some may be missing, a quorum is asked first.

        A watcher who waits is told of a machine cut off once heartbeats are refused there too.
        """
        got, now = plain.events_since(group, after), clock.now()
        lags = not (self.task.core.current(now) if over else self.task.core.may_answer(AnswerKind.HEARTBEAT, now))
        return self.confirm(req, resp) if got is not None and not got[0] and lags else plain

    def _watch(self, req, resp, plain: PlainCoordination, group: str, after: int, end: float) -> None:
        while True:
            over = clock.now() >= end or self.task.node.stopping.is_set()
            plain = self._confirmed_if_stale(req, resp, plain, group, after, over)
            if plain is None:
                return
            got = plain.events_since(group, after)
            if got is None:
                return web.say(resp, {"code": "compacted"}, 410)
            if got[0] or over:
                if got[1] < after:
                    return web.reject(resp, 503, web.NOT_RUN, [Finding("after", f"held here up to {got[1]} only")], 0.2)
                return web.say(resp, {"events": list(map(event_document, got[0])), "revision": got[1]})
            self.notifier.wait(group, after, min(LEASE_BOUNDS[AnswerKind.WATCH].seconds, end - clock.now()))
            if web.client_left(req):
                return web.reject(resp, 503, web.NOT_RUN, [Finding("watch", "its caller has closed the connection")])
            s: ReplicatedState | None = self.task.core.state
            if s is None:
                return self.reject(resp, CommandResponse(Code.LEADER))
            plain = s.plain


def event_document(p: KeyRevision) -> dict:
    """A put as watchers are told of it."""
    return {"name": p.name, "value": p.value, "revision": p.revision}


def add_routes(app, task: ControlTask, at: str) -> None:
    """`at` is the path prefix, such as /coordination."""
    at = at.rstrip("/")
    app.add_route(at + "/locks/{name}", PlainLocks(task))
    app.add_route(at + "/numbers/{name}", PlainNumbers(task))
    app.add_route(at + "/cells/{name}", PlainCells(task))
    app.add_route(at + "/watch/{name}", PlainWatch(task))
