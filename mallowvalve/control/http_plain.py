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

LIMIT, ATTEMPT = 0.85, 0.6
PAUSE, LOOK = 0.04, 0.01
WATCH_MOST = 30.0
NAME_MOST, VALUE_MOST, HOLD_MOST = 200, 64 << 10, 600_000
BODY_MOST = 8 * VALUE_MOST
NUMBER_MOST = 1 << 62
_word = msgspec.msgpack.Decoder(PlainResult).decode


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


def names(text: str) -> bool:
    """Whether the text may be a name."""
    return 0 < len(text) <= NAME_MOST and text.isprintable()


def check(name: str, d: msgspec.Struct | None = None) -> Findings:
    """What is wrong with a name and a body."""
    found = []
    if not names(name):
        found.append(Finding("name", f"want 1 to {NAME_MOST} printable characters"))
    if not names(getattr(d, "holder", "x")):
        found.append(Finding("holder", f"want 1 to {NAME_MOST} printable characters"))
    if not 0 < getattr(d, "hold_ms", 1) <= HOLD_MOST:
        found.append(Finding("hold_ms", f"want more than 0, at most {HOLD_MOST}"))
    if len(getattr(d, "value", "").encode()) > VALUE_MOST:
        found.append(Finding("value", f"want at most {VALUE_MOST} bytes"))
    for field in ("token", "base"):
        if not 0 <= (getattr(d, field, 0) or 0) < NUMBER_MOST:
            found.append(Finding(field, "out of range"))
    return found


class Page:
    """What these pages share."""

    def __init__(self, task: ControlTask):
        """Pages of one control process."""
        self.task = task

    def read_json(self, kind: type, req, resp, name: str):
        """The checked body, or None once the findings were answered."""
        d = web.read_json(kind, req, resp, BODY_MOST)
        if d is None:
            return None
        found = check(name, d)
        return web.reject(resp, 400, web.NOT_RUN, found) if found else d

    def run(self, req, resp, c: Take | Extend | Free | Count | Write) -> PlainResult | None:
        """What was said to the command, or None once the trouble was answered; may offer it more than once."""
        if not page_offer.may_begin(self.task, req, resp):
            return None
        t = page_offer.offer(self.task, req, encode(c), LIMIT, ATTEMPT)
        return _word(t.body) if t.code == Code.OK else self.reject(resp, t)

    def confirm(self, req, resp) -> PlainCoordination | None:
        """The state with all that was acknowledged before this call, or None once the trouble was answered."""
        if not page_offer.may_begin(self.task, req, resp):
            return None
        end, t = clock.now() + LIMIT, CommandResponse(Code.LEADER)
        while (left := end - clock.now()) > 0:
            t = self.task.read(min(left, ATTEMPT))
            s: ReplicatedState | None = self.task.core.state
            if t.code == Code.OK and s is not None:
                return s.plain
            if web.client_left(req):
                break
            gevent.sleep(min(PAUSE, max(0.0, end - clock.now())))
        return self.reject(resp, t)

    def reject(self, resp, t: CommandResponse) -> None:
        """503 only where the offer came back as never taken: whatever may still take effect is a 504."""
        if t.code in NOT_APPLIED:
            return web.reject(resp, 503, web.NOT_RUN, [Finding("control", "no leader just now")], 1)
        web.reject(resp, 504, web.UNDECIDED, [Finding("control", "not confirmed in time: say it again")], 1)


class Locks(Page):
    """Locks by name."""

    def on_post(self, req, resp, name: str) -> None:
        """Takes a lock, or holds it longer for its holder."""
        d = self.read_json(TakeDoc, req, resp, name)
        w = self.run(req, resp, Take(name, d.holder, d.hold_ms)) if d is not None else None
        if w is not None:
            self._say(resp, w, {"token": w.number})

    def on_put(self, req, resp, name: str) -> None:
        """Holds a lock longer, under its token."""
        d = self.read_json(ExtendDoc, req, resp, name)
        w = self.run(req, resp, Extend(name, d.holder, d.token, d.hold_ms)) if d is not None else None
        if w is not None:
            self._say(resp, w, {})

    def on_delete(self, req, resp, name: str) -> None:
        """Gives a lock back; the answer is the same whether it was held or not."""
        d = self.read_json(FreeDoc, req, resp, name)
        w = self.run(req, resp, Free(name, d.holder, d.token)) if d is not None else None
        if w is not None:
            self._say(resp, w, {})

    def _say(self, resp, w: PlainResult, body: dict) -> None:
        web.send_json(resp, body) if w.code is PlainResultCode.OK else web.send_json(resp, {"code": w.code}, 409)


class Numbers(Page):
    """Numbers that only rise."""

    def on_post(self, req, resp, name: str) -> None:
        """The next number of a name."""
        found = check(name)
        if found:
            return web.reject(resp, 400, web.NOT_RUN, found)
        w = self.run(req, resp, Count(name))
        if w is not None:
            web.send_json(resp, {"value": w.number})


class Cells(Page):
    """Keys with values."""

    def on_get(self, req, resp, name: str) -> None:
        """A confirmed read."""
        found = check(name)
        if found:
            return web.reject(resp, 400, web.NOT_RUN, found)
        plain = self.confirm(req, resp)
        if plain is None:
            return
        had = plain.keys.get(name)
        if had is None:
            return web.send_json(resp, {"revision": 0}, 404)
        web.send_json(resp, {"value": had[0], "revision": had[1]})

    def on_put(self, req, resp, name: str) -> None:
        """Puts a value, on a revision if one is given."""
        d = self.read_json(WriteDoc, req, resp, name)
        w = self.run(req, resp, Write(name, d.value, d.base)) if d is not None else None
        if w is not None:
            web.send_json(resp, {"revision": w.number}, 200 if w.code is PlainResultCode.OK else 412)


class Bell:
    """Wakes watchers when a put was applied: one look each `LOOK` seconds for all of them, none while nobody waits."""

    __slots__ = ("_task", "_waits", "_job")

    def __init__(self, task: ControlTask):
        """Nobody waits yet."""
        self._task = task
        self._waits: dict[Event, tuple[str, int]] = {}
        self._job = None

    def wait(self, group: str, after: int, limit: float) -> None:
        """Returns when the group is above `after`, at the limit (s), or when the control process stops."""
        rung = Event()
        self._waits[rung] = group, after
        if self._job is None:
            self._job = gevent.spawn(self._run)
        try:
            rung.wait(timeout=max(0.0, limit))
        finally:
            del self._waits[rung]

    def _run(self) -> None:
        seen = None
        while self._waits:
            s = self._task.core.state
            now = (s, s.plain.write_count) if s is not None else None
            if now is None or self._task.node.stopping.is_set():
                self._ring(lambda group, after: True)
            elif now != seen:
                self._ring(lambda group, after: s.plain.revision(group) > after)
            seen = now
            gevent.sleep(LOOK)
        self._job = None

    def _ring(self, due) -> None:
        for rung, (group, after) in self._waits.items():
            if due(group, after):
                rung.set()


class Watch(Page):
    """The puts of a group after a revision."""

    def __init__(self, task: ControlTask):
        """Pages of one control process."""
        super().__init__(task)
        self.bell = Bell(task)

    def on_get(self, req, resp, name: str) -> None:
        """Answers as soon as there are some, or after the caller's wait."""
        end = clock.now() + min(WATCH_MOST, req.get_param_as_int("wait_ms", min_value=0, default=0) / 1000)
        after = req.get_param_as_int("after", min_value=0, max_value=NUMBER_MOST, default=0)
        found = check(name)
        if not found and group_of(name) != name:
            found = [Finding("name", "want a group: up to and including the first dot")]
        if found:
            return web.reject(resp, 400, web.NOT_RUN, found)
        plain = self._plain(req, resp, after)
        if plain is None:
            return
        if after == 0 and plain.revision(name):
            return web.send_json(resp, {"events": [], "revision": plain.revision(name)})
        self._watch(req, resp, plain, name, after, end)

    def _plain(self, req, resp, after: int) -> PlainCoordination | None:
        """What is known here, unless it may lag behind what was acknowledged: then a quorum is asked first."""
        s: ReplicatedState | None = self.task.core.state
        if s is not None and after and self.task.core.current(clock.now()):
            return s.plain
        return self.confirm(req, resp)

    def _sure(
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
            plain = self._sure(req, resp, plain, group, after, over)
            if plain is None:
                return
            got = plain.events_since(group, after)
            if got is None:
                return web.send_json(resp, {"code": "compacted"}, 410)
            if got[0] or over:
                if got[1] < after:
                    return web.reject(resp, 503, web.NOT_RUN, [Finding("after", f"held here up to {got[1]} only")], 0.2)
                return web.send_json(resp, {"events": list(map(event, got[0])), "revision": got[1]})
            self.bell.wait(group, after, min(LEASE_BOUNDS[AnswerKind.WATCH].seconds, end - clock.now()))
            if web.client_left(req):
                return web.reject(resp, 503, web.NOT_RUN, [Finding("watch", "its caller has closed the connection")])
            s: ReplicatedState | None = self.task.core.state
            if s is None:
                return self.reject(resp, CommandResponse(Code.LEADER))
            plain = s.plain


def event(p: KeyRevision) -> dict:
    """A put as watchers are told of it."""
    return {"name": p.name, "value": p.value, "revision": p.revision}


def add_routes(app, task: ControlTask, at: str) -> None:
    """`at` is the path prefix, such as /coordination."""
    at = at.rstrip("/")
    app.add_route(at + "/locks/{name}", Locks(task))
    app.add_route(at + "/numbers/{name}", Numbers(task))
    app.add_route(at + "/cells/{name}", Cells(task))
    app.add_route(at + "/watch/{name}", Watch(task))
