"""A core machine with its pages: the steps that the daemon's tasks take for a call, over simulated messages.

The pages under `mallowvalve/control` wait in greenlets; here the same steps are callbacks around the same machines
(`Core`, `Items`, `PlainCoordination`, `LivenessTracker`), with the pages' own limits.
"""

from __future__ import annotations

from collections.abc import Callable

from mallowvalve.configuration.items import Amend
from mallowvalve.control import http_items, http_plain, lease, registry_task, wire
from mallowvalve.control.api import ATTEMPT, LIMIT
from mallowvalve.control.lease import AnswerKind as Lease
from mallowvalve.control.outcome import NOT_APPLIED, RETRYABLE, Code
from mallowvalve.control.sessions import Call, Session
from mallowvalve.control.state import Evacuate
from mallowvalve.control.state import encode as encode_command
from mallowvalve.control.wire import CommandResponse
from mallowvalve.coordination.plain import PlainResult
from mallowvalve.raft.progress import RaftTimings
from mallowvalve.settings import Acks
from mallowvalve.types import Address
from mallowvalve.upstreams.liveness import HeardInstance, LivenessTracker
from mallowvalve.upstreams.registry import Registered, Upstream
from sim import pages
from sim.control import ControlNode
from sim.pages import CONFLICT, INVALID, OK, REDIRECT, UNAVAILABLE, UNDECIDED, Answer
from sim.world import CallReply

READ_LIMIT = 2.0
HEARTBEAT = 1.0
AGAIN_AFTER, SLACK = 0.05, 0.5
_word = http_plain._word
_heard = registry_task._heard
Then = Callable[[CommandResponse], None]


class ControlApiNode(ControlNode):
    """A `ControlNode` that also answers the pages of operators, applications and upstreams."""

    acks, times = (
        Acks(settings="held", coordination="commit"),
        RaftTimings(min_broadcast_interval=0.01, election_timeout=0.6),
    )

    def __init__(self, *args):
        super().__init__(*args)
        self.liveness = LivenessTracker(HEARTBEAT)
        self._touched = self.now
        self._reported, self._told = 0.0, None
        self._judging = self._reporting = False
        self.session = Session(lambda: self.rng.getrandbits(64))
        self.every(registry_task.JUDGE, self._look_at_upstreams)

    def handle(self, kind, src, body, answer) -> None:
        match kind:
            case "page":
                self._page(pages.page(body), PageReply(answer))
            case "heard":
                answer(self._on_heard(body))
            case _:
                super().handle(kind, src, body, answer)

    def _page(self, p: pages.Page, say: Callable[[Answer], None]) -> None:
        match p:
            case pages.PatchItems() | pages.TurnZone() | pages.Coordinate() if _has_left(say):
                self.core.counts.add("web_client_left")
            case pages.PatchItems():
                self._patch(Amend(p.items), say)
            case pages.TurnZone():
                self._turn_zone(Evacuate(p.zone, p.on), say)
            case pages.ReadSettings():
                self._confirmed(READ_LIMIT, say, self._settings)
            case pages.Coordinate():
                self._coordinate(p.command, say)
            case pages.ReadCell():
                self._confirmed_again(self.now + http_plain.LIMIT, say, lambda: self._cell(p.name))
            case pages.Watch():
                self._watch(p, say)
            case pages.Beat():
                self._beat(p.upstream, say)
            case pages.End():
                self._end(p.upstream, say)

    def _may_begin(self, say: Callable[[Answer], None]) -> bool:
        """As `page_offer.may_begin`: out of touch for long, it sends its callers on."""
        if self.core.may_answer(Lease.CALL, self.now):
            return True
        others = [a for a in self.peers() if a in self.seeds and a != self.addr]
        say(Answer(REDIRECT, b"", self.rng.choice(others)) if others else Answer(UNAVAILABLE))
        return False

    # Operators.

    def _patch(self, c: Amend, say) -> None:
        s = self.core.state
        if s is not None and http_items._refusal(s.items, c) is not None:
            return self._confirmed(READ_LIMIT, say, lambda: self._judged(c, say))
        if s is not None and not s.items.has_newer(c):
            c = Amend([])
        self._order(c, say)

    def _judged(self, c: Amend, say) -> Answer | None:
        refusal = http_items._refusal(self.core.state.items, c)
        return Answer(refusal[0]) if refusal is not None else self._order(c, say)

    def _order(self, c: Amend | Evacuate, say, effect: float | None = None) -> None:
        if not self._may_begin(say):
            return

        def took(t: CommandResponse) -> None:
            if t.code == Code.OK:
                say(Answer(OK))
            elif t.code == Code.INVALID:
                say(Answer(INVALID))
            elif t.code == Code.CONFLICT:
                say(Answer(CONFLICT))
            else:
                say(self._rejected(t))

        self.offer(encode_command(c), LIMIT, ATTEMPT, took, effect)

    def _turn_zone(self, c: Evacuate, say) -> None:
        """As `http_items.EvacuatedZone.turn`: offered once the caller's connection has stood for a while."""

        def offered() -> None:
            if not _has_left(say):
                self._order(c, say, http_items.EFFECT - http_items.STANDS)

        self.wake(http_items.STANDS, offered)

    def _rejected(self, t: CommandResponse) -> Answer:
        return Answer(UNAVAILABLE if t.code in NOT_APPLIED else UNDECIDED, b"", t.leader)

    def _settings(self) -> Answer:
        s = self.core.state
        rows = [i for i in s.items.rows.values() if i.doc is not None]
        states = {u.instance: u.state for u in s.registry.rows.values()}
        return Answer(OK, pages.encode(pages.SettingsSeen(rows, sorted(s.settings.evacuated), states)))

    # Plain coordination.

    def _coordinate(self, c, say) -> None:
        if not self._may_begin(say):
            return

        def took(t: CommandResponse) -> None:
            if t.code != Code.OK:
                return say(self._rejected(t))
            w: PlainResult = _word(t.body)
            say(Answer(OK if w.code == "ok" else CONFLICT, t.body))

        self.offer(encode_command(c), http_plain.LIMIT, http_plain.ATTEMPT, took)

    def _cell(self, name: str) -> Answer:
        value, revision = self.core.state.plain.keys.get(name, (None, 0))
        return Answer(OK, pages.encode(pages.CellSeen(value, revision)))

    def _watch(self, p: pages.Watch, say) -> None:
        if self.core.state is not None and p.after and self.core.current(self.now):
            return say(self._events(p))
        self._confirmed_again(self.now + http_plain.LIMIT, say, lambda: self._events(p))

    def _events(self, p: pages.Watch) -> Answer:
        plain = self.core.state.plain
        if p.after == 0 and plain.revision(p.group):
            return Answer(OK, pages.encode(pages.Events([], plain.revision(p.group))))
        got = plain.events_since(p.group, p.after)
        if got is None:
            return Answer(OK, pages.encode(pages.Events([], plain.revision(p.group), True)))
        if got[1] < p.after:
            return Answer(UNAVAILABLE)
        return Answer(OK, pages.encode(pages.Events(*got)))

    # Upstreams.

    def _beat(self, u: Upstream, say) -> None:
        s = self.core.state
        if s is None:
            return say(Answer(UNAVAILABLE))
        c = self.liveness.observe(u, s.registry, self.liveness.fleet_time_ms(s.clock, self.now), self.now)
        if c is None:
            return say(Answer(OK) if self._in_touch() else self._unsure())
        if c.instance not in s.registry.rows and s.registry.full(c.service):
            return say(Answer(UNAVAILABLE))
        self._notice(c, say, c.state == "leaving")

    def _end(self, u: Upstream, say) -> None:
        s = self.core.state
        if s is None:
            return say(Answer(UNAVAILABLE))
        row = s.registry.rows.get(u.instance)
        known = row is not None and row.state == "gone" and self.liveness.is_acknowledged(row)
        if known and self.core.may_answer(Lease.NOTICE, self.now):
            return say(Answer(OK))
        self._notice(u, say, True)

    def _notice(self, u: Upstream, say, noted: bool) -> None:
        def took(t: CommandResponse) -> None:
            if t.code != Code.OK:
                return say(self._unsure())
            if noted:
                self.liveness.mark_acknowledged(u)
            say(Answer(OK))

        self.offer(
            encode_command(Registered([u])), registry_task.LIMIT - registry_task.GATHER, registry_task.ATTEMPT, took
        )

    def _in_touch(self) -> bool:
        told = self.core.leads or lease.is_valid(Lease.HEARTBEAT, self._touched, self.now)
        return told and self.core.may_answer(Lease.HEARTBEAT, self.now)

    def _unsure(self) -> Answer:
        others = [a for a in self.peers() if a in self.seeds and a != self.addr]
        if self.core.may_answer(Lease.HEARTBEAT, self.now) or not others:
            return Answer(UNAVAILABLE)
        return Answer(REDIRECT, b"", self.rng.choice(others))

    def _look_at_upstreams(self) -> None:
        s = self.core.state
        if s is None:
            return None
        self.liveness.fleet_time_ms(s.clock, self.now)
        self.liveness.prune(s.registry, self.now)
        if self.core.leads:
            self._touched = self.now
            return self._judge_upstreams(s.registry)
        self.liveness.stop_judging()
        due = self.now - self._reported >= registry_task.REPORT
        if due and not self._reporting and self.core.leader() is not None:
            self._report(self.core.leader())

    def _judge_upstreams(self, registry) -> None:
        c = self.liveness.detect_silent(registry, self.now)
        if c is None or self._judging:
            return
        self._judging = True

        def took(_: CommandResponse) -> None:
            self._judging = False

        self.offer(encode_command(c), registry_task.LIMIT, registry_task.ATTEMPT, took)

    def _report(self, to: Address) -> None:
        now = self.now
        since = self._reported if to == self._told else now - self.liveness.silence_timeout_s
        self._reporting = True

        def heard(data: bytes | None) -> None:
            self._reporting = False
            if data == registry_task.TAKEN:
                self._told, self._reported, self._touched = to, now, now
            else:
                self._told = None

        body = pages.encode(self.liveness.report(since, now))
        self.call(to, "heard", body, registry_task.REPORT, heard)

    def _on_heard(self, body: bytes) -> bytes:
        heard: list[HeardInstance] = _heard(body)
        if not self.core.leads or not self.core.may_answer(Lease.HEARTBEAT, self.now):
            return b""
        self.liveness.merge_report(heard, self.now)
        return registry_task.TAKEN

    # What the daemon's task does for all pages.

    def offer(self, command: bytes, limit: float, attempt: float, then: Then, effect: float | None = None) -> None:
        """As `ControlTask.offer`: to whoever leads until the limit (s); what may have run never ends as refused."""
        call = Call(self.session, command, self.now + (effect or limit))
        self._offer_again(call, self.now + limit, attempt, CommandResponse(Code.LEADER), then)

    def _offer_again(self, call: Call, end: float, attempt: float, last: CommandResponse, then: Then) -> None:
        left = end - self.now
        if left <= 0:
            return then(call.ended(last, RETRYABLE))

        def heard(answer: CommandResponse) -> None:
            t = call.heard(answer, self.now)
            if t.code not in RETRYABLE or call.is_over(self.now):
                return then(call.ended(t, RETRYABLE))
            self.wake(AGAIN_AFTER, lambda: self._offer_again(call, end, attempt, t, then))

        self._offer_once(call.data(self.core.clock.estimate(self.now), self.now), min(left, attempt), heard)

    def _offer_once(self, command: bytes, limit: float, heard: Then) -> None:
        body = wire.encode(wire.CommandRequest(command, limit))

        def local(t: CommandResponse) -> None:
            if t.code != Code.LEADER or t.leader in (None, self.addr):
                return heard(t)
            self.call(t.leader, "offer", body, limit, lambda d: heard(_took(d)))

        if self.core.raft is None:
            others = [a for a in self.seeds if a != self.addr]
            return local(CommandResponse(Code.LEADER, leader=self.rng.choice(others)))
        self._ask_own(lambda token: self.core.propose(command, token, self.now + limit, self.now), limit, local)

    def _ask_own(self, act: Callable, limit: float, then: Then) -> None:
        """Gives the own machine something to answer; nothing in time is undecided."""
        open_ = [True]

        def once(t: CommandResponse) -> None:
            if open_:
                open_.clear()
                then(t)

        self._enqueue(lambda: act(lambda data: once(_took(data))))
        self.wake(limit + SLACK, lambda: once(CommandResponse(Code.UNDECIDED)))

    def _read_once(self, limit: float, then: Then) -> None:
        """As `ControlTask.read`: confirmed by whoever leads, then waited for until it is applied here."""
        end = self.now + limit

        def applied(t: CommandResponse) -> None:
            if t.code != Code.OK or self.core.state is not None and self.core.state.revision >= t.revision:
                return then(t)
            if self.now > end:
                return then(CommandResponse(Code.UNDECIDED))
            self.wake(0.01, lambda: applied(t))

        def local(t: CommandResponse) -> None:
            if t.code != Code.LEADER or t.leader in (None, self.addr):
                return then(t)
            self.call(t.leader, "read", b"", limit, lambda d: applied(_took(d)))

        self._ask_own(lambda token: self.core.read(token, self.now + limit, self.now), limit, local)

    def _confirmed(self, limit: float, say, show: Callable[[], Answer | None]) -> None:
        if not self._may_begin(say):
            return

        def took(t: CommandResponse) -> None:
            a = show() if t.code == Code.OK and self.core.state is not None else self._rejected(t)
            if a is not None:
                say(a)

        self._read_once(limit, took)

    def _confirmed_again(self, end: float, say, show: Callable[[], Answer]) -> None:
        """As `http_plain.Page.confirm`: asked again until the limit."""
        if not self._may_begin(say):
            return
        left = end - self.now

        def took(t: CommandResponse) -> None:
            if t.code == Code.OK and self.core.state is not None:
                return say(show())
            if end - self.now <= http_plain.PAUSE:
                return say(self._rejected(t))
            self.wake(http_plain.PAUSE, lambda: self._confirmed_again(end, say, show))

        self._read_once(min(left, http_plain.ATTEMPT), took)


class PageReply:
    """Answers one call of a page."""

    __slots__ = ("_reply",)

    def __init__(self, reply: CallReply):
        """`reply` takes the answer to the caller."""
        self._reply = reply

    def __call__(self, a: Answer) -> None:
        """Answer the call."""
        self._reply(pages.encode(a))

    def left(self) -> bool:
        """Whether the caller has closed the connection, as `web.client_left` sees it."""
        return self._reply.left


def _has_left(say: Callable[[Answer], None]) -> bool:
    return isinstance(say, PageReply) and say.left()


def _took(data: bytes | None) -> CommandResponse:
    return wire.decode_command_response(data) if data is not None else CommandResponse(Code.UNDECIDED)
