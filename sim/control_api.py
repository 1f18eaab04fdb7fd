"""A core node with its HTTP API: the steps of the daemon's tasks for each request, over simulated messages.

The handlers under `mallowvalve/control` block in greenlets. Here the same steps are callbacks around the same state
machines (`Core`, `Items`, `PlainCoordination`, `LivenessTracker`), with the handlers' own limits.
"""

from __future__ import annotations

from collections.abc import Callable

from mallowvalve.configuration.items import Amend
from mallowvalve.control import http_items, http_plain, lease, registry_task, wire
from mallowvalve.control.api import ATTEMPT_TIMEOUT_S, REQUEST_TIMEOUT_S
from mallowvalve.control.lease import AnswerKind as Lease
from mallowvalve.control.outcome import NOT_APPLIED, RETRYABLE, Code
from mallowvalve.control.sessions import Session, SessionCall
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

READ_LIMIT_S = 2.0
HEARTBEAT_INTERVAL_S = 1.0
RETRY_DELAY_S = 0.05
ANSWER_SLACK_S = 0.5
_decode_result = http_plain.decode_plain_result
_decode_heard = registry_task.decode_report
Then = Callable[[CommandResponse], None]


class ControlApiNode(ControlNode):
    """A `ControlNode` that also answers API requests of operators, applications and upstreams."""

    acks, times = (
        Acks(settings="held", coordination="commit"),
        RaftTimings(min_broadcast_interval=0.01, election_timeout=0.6),
    )

    def __init__(self, *args):
        super().__init__(*args)
        self.liveness = LivenessTracker(HEARTBEAT_INTERVAL_S)
        self._last_contact = self.now
        self._last_report, self._reported_to = 0.0, None
        self._proposing_silent = self._reporting = False
        self.session = Session(lambda: self.rng.getrandbits(64))
        self.every(registry_task.SILENCE_CHECK_INTERVAL_S, self._check_upstreams)

    def handle(self, kind, src, body, answer) -> None:
        """Handles an API request, a heartbeat report of another control process, or a `ControlNode` message."""
        match kind:
            case "page":
                self._page(pages.page(body), PageReply(answer))
            case "heard":
                answer(self._on_heard(body))
            case _:
                super().handle(kind, src, body, answer)

    def _page(self, page: pages.Page, reply: Callable[[Answer], None]) -> None:
        match page:
            case pages.PatchItems() | pages.TurnZone() | pages.Coordinate() if _has_left(reply):
                self.core.counts.add("web_client_left")
            case pages.PatchItems():
                self._patch(Amend(page.items), reply)
            case pages.TurnZone():
                self._turn_zone(Evacuate(page.zone, page.on), reply)
            case pages.ReadSettings():
                self._confirm(READ_LIMIT_S, reply, self._settings)
            case pages.Coordinate():
                self._coordinate(page.command, reply)
            case pages.ReadCell():
                self._confirm_with_retries(
                    self.now + http_plain.CALL_TIMEOUT_S, reply, lambda: self._read_key(page.name)
                )
            case pages.Watch():
                self._watch(page, reply)
            case pages.Beat():
                self._heartbeat(page.upstream, reply)
            case pages.End():
                self._end(page.upstream, reply)

    def _may_begin(self, reply: Callable[[Answer], None]) -> bool:
        """Redirects the caller if this node is out of contact, as `http_submission.accept_or_redirect` does."""
        if self.core.may_answer(Lease.CALL, self.now):
            return True
        others = [address for address in self.peers() if address in self.seeds and address != self.addr]
        reply(Answer(REDIRECT, b"", self.rng.choice(others)) if others else Answer(UNAVAILABLE))
        return False

    # Operators.

    def _patch(self, command: Amend, reply) -> None:
        state = self.core.state
        if state is not None and http_items._find_rejection(state.items, command) is not None:
            return self._confirm(READ_LIMIT_S, reply, lambda: self._refusal_or_propose(command, reply))
        if state is not None and not state.items.has_newer(command):
            command = Amend([])
        self._propose_update(command, reply)

    def _refusal_or_propose(self, command: Amend, reply) -> Answer | None:
        refusal = http_items._find_rejection(self.core.state.items, command)
        return Answer(refusal[0]) if refusal is not None else self._propose_update(command, reply)

    def _propose_update(self, command: Amend | Evacuate, reply, effect: float | None = None) -> None:
        if not self._may_begin(reply):
            return

        def answered(response: CommandResponse) -> None:
            if response.code == Code.OK:
                reply(Answer(OK))
            elif response.code == Code.INVALID:
                reply(Answer(INVALID))
            elif response.code == Code.CONFLICT:
                reply(Answer(CONFLICT))
            else:
                reply(self._rejected(response))

        self.offer(encode_command(command), REQUEST_TIMEOUT_S, ATTEMPT_TIMEOUT_S, answered, effect)

    def _turn_zone(self, command: Evacuate, reply) -> None:
        """Proposes once the caller's connection has stayed open a while, as `http_items.EvacuatedZone.turn` does."""

        def offered() -> None:
            if not _has_left(reply):
                self._propose_update(
                    command, reply, http_items.EVACUATION_EFFECT_LIMIT_S - http_items.CONNECTION_CHECK_DELAY_S
                )

        self.wake(http_items.CONNECTION_CHECK_DELAY_S, offered)

    def _rejected(self, response: CommandResponse) -> Answer:
        return Answer(UNAVAILABLE if response.code in NOT_APPLIED else UNDECIDED, b"", response.leader)

    def _settings(self) -> Answer:
        state = self.core.state
        rows = [i for i in state.items.rows.values() if i.doc is not None]
        states = {upstream.instance: upstream.state for upstream in state.registry.rows.values()}
        return Answer(OK, pages.encode(pages.SettingsSeen(rows, sorted(state.settings.evacuated), states)))

    # Plain coordination.

    def _coordinate(self, command, reply) -> None:
        if not self._may_begin(reply):
            return

        def answered(response: CommandResponse) -> None:
            if response.code != Code.OK:
                return reply(self._rejected(response))
            result: PlainResult = _decode_result(response.body)
            reply(Answer(OK if result.code == "ok" else CONFLICT, response.body))

        self.offer(encode_command(command), http_plain.CALL_TIMEOUT_S, http_plain.ATTEMPT_TIMEOUT_S, answered)

    def _read_key(self, name: str) -> Answer:
        value, revision = self.core.state.plain.keys.get(name, (None, 0))
        return Answer(OK, pages.encode(pages.CellSeen(value, revision)))

    def _watch(self, page: pages.Watch, reply) -> None:
        if self.core.state is not None and page.after and self.core.current(self.now):
            return reply(self._events(page))
        self._confirm_with_retries(self.now + http_plain.CALL_TIMEOUT_S, reply, lambda: self._events(page))

    def _events(self, page: pages.Watch) -> Answer:
        plain = self.core.state.plain
        if page.after == 0 and plain.revision(page.group):
            return Answer(OK, pages.encode(pages.Events([], plain.revision(page.group))))
        events = plain.events_since(page.group, page.after)
        if events is None:
            return Answer(OK, pages.encode(pages.Events([], plain.revision(page.group), True)))
        if events[1] < page.after:
            return Answer(UNAVAILABLE)
        return Answer(OK, pages.encode(pages.Events(*events)))

    # Upstreams.

    def _heartbeat(self, upstream: Upstream, reply) -> None:
        state = self.core.state
        if state is None:
            return reply(Answer(UNAVAILABLE))
        command = self.liveness.observe(
            upstream, state.registry, self.liveness.fleet_time_ms(state.clock, self.now), self.now
        )
        if command is None:
            return reply(Answer(OK) if self._in_touch() else self._no_answer())
        if command.instance not in state.registry.rows and state.registry.full(command.service):
            return reply(Answer(UNAVAILABLE))
        self._notice(command, reply, command.state == "leaving")

    def _end(self, upstream: Upstream, reply) -> None:
        state = self.core.state
        if state is None:
            return reply(Answer(UNAVAILABLE))
        row = state.registry.rows.get(upstream.instance)
        known = row is not None and row.state == "gone" and self.liveness.is_acknowledged(row)
        if known and self.core.may_answer(Lease.NOTICE, self.now):
            return reply(Answer(OK))
        self._notice(upstream, reply, True)

    def _notice(self, upstream: Upstream, reply, acknowledged: bool) -> None:
        def answered(response: CommandResponse) -> None:
            if response.code != Code.OK:
                return reply(self._no_answer())
            if acknowledged:
                self.liveness.mark_acknowledged(upstream)
            reply(Answer(OK))

        self.offer(
            encode_command(Registered([upstream])),
            registry_task.COMMAND_TIMEOUT_S - registry_task.BATCH_DELAY_S,
            registry_task.ATTEMPT_TIMEOUT_S,
            answered,
        )

    def _in_touch(self) -> bool:
        in_contact = self.core.leads or lease.is_valid(Lease.HEARTBEAT, self._last_contact, self.now)
        return in_contact and self.core.may_answer(Lease.HEARTBEAT, self.now)

    def _no_answer(self) -> Answer:
        others = [address for address in self.peers() if address in self.seeds and address != self.addr]
        if self.core.may_answer(Lease.HEARTBEAT, self.now) or not others:
            return Answer(UNAVAILABLE)
        return Answer(REDIRECT, b"", self.rng.choice(others))

    def _check_upstreams(self) -> None:
        state = self.core.state
        if state is None:
            return None
        self.liveness.fleet_time_ms(state.clock, self.now)
        self.liveness.prune(state.registry, self.now)
        if self.core.leads:
            self._last_contact = self.now
            return self._propose_silent(state.registry)
        self.liveness.stop_judging()
        due = self.now - self._last_report >= registry_task.REPORT_INTERVAL_S
        if due and not self._reporting and self.core.leader() is not None:
            self._report(self.core.leader())

    def _propose_silent(self, registry) -> None:
        command = self.liveness.detect_silent(registry, self.now)
        if command is None or self._proposing_silent:
            return
        self._proposing_silent = True

        def answered(_: CommandResponse) -> None:
            self._proposing_silent = False

        self.offer(encode_command(command), registry_task.COMMAND_TIMEOUT_S, registry_task.ATTEMPT_TIMEOUT_S, answered)

    def _report(self, to: Address) -> None:
        now = self.now
        since = self._last_report if to == self._reported_to else now - self.liveness.silence_timeout_s
        self._reporting = True

        def answered(data: bytes | None) -> None:
            self._reporting = False
            if data == registry_task.REPORT_ACCEPTED:
                self._reported_to, self._last_report, self._last_contact = to, now, now
            else:
                self._reported_to = None

        body = pages.encode(self.liveness.report(since, now))
        self.call(to, "heard", body, registry_task.REPORT_INTERVAL_S, answered)

    def _on_heard(self, body: bytes) -> bytes:
        reported: list[HeardInstance] = _decode_heard(body)
        if not self.core.leads or not self.core.may_answer(Lease.HEARTBEAT, self.now):
            return b""
        self.liveness.merge_report(reported, self.now)
        return registry_task.REPORT_ACCEPTED

    # What the daemon's task does for all requests.

    def offer(self, command: bytes, limit: float, attempt: float, then: Then, effect: float | None = None) -> None:
        """Proposes with retries for `limit` seconds, as `ControlTask.offer`; what may be applied never ends as refused."""
        call = SessionCall(self.session, command, self.now + (effect or limit))
        self._offer_with_retries(call, self.now + limit, attempt, CommandResponse(Code.LEADER), then)

    def _offer_with_retries(
        self, call: SessionCall, end: float, attempt: float, last: CommandResponse, then: Then
    ) -> None:
        left = end - self.now
        if left <= 0:
            return then(call.final_response(last, RETRYABLE))

        def answered(answer: CommandResponse) -> None:
            response = call.on_response(answer, self.now)
            if response.code not in RETRYABLE or call.has_expired(self.now):
                return then(call.final_response(response, RETRYABLE))
            self.wake(RETRY_DELAY_S, lambda: self._offer_with_retries(call, end, attempt, response, then))

        command = call.encoded_command(self.core.clock.estimate(self.now), self.now)
        self._offer_once(command, min(left, attempt), answered)

    def _offer_once(self, command: bytes, limit: float, answered: Then) -> None:
        body = wire.encode(wire.CommandRequest(command, limit))

        def local(response: CommandResponse) -> None:
            if response.code != Code.LEADER or response.leader in (None, self.addr):
                return answered(response)
            self.call(response.leader, "offer", body, limit, lambda data: answered(_decode_response(data)))

        if self.core.raft is None:
            others = [address for address in self.seeds if address != self.addr]
            return local(CommandResponse(Code.LEADER, leader=self.rng.choice(others)))
        self._ask_core(lambda token: self.core.propose(command, token, self.now + limit, self.now), limit, local)

    def _ask_core(self, act: Callable, limit: float, then: Then) -> None:
        """Runs an action on this node's core; without an answer in time the outcome is undecided."""
        unanswered = [True]

        def once(response: CommandResponse) -> None:
            if unanswered:
                unanswered.clear()
                then(response)

        self._enqueue(lambda: act(lambda data: once(_decode_response(data))))
        self.wake(limit + ANSWER_SLACK_S, lambda: once(CommandResponse(Code.UNDECIDED)))

    def _read_once(self, limit: float, then: Then) -> None:
        """Confirms a revision with the leader and waits until it is applied here, as `ControlTask.read` does."""
        end = self.now + limit

        def applied(response: CommandResponse) -> None:
            if (
                response.code != Code.OK
                or self.core.state is not None
                and self.core.state.revision >= response.revision
            ):
                return then(response)
            if self.now > end:
                return then(CommandResponse(Code.UNDECIDED))
            self.wake(0.01, lambda: applied(response))

        def local(response: CommandResponse) -> None:
            if response.code != Code.LEADER or response.leader in (None, self.addr):
                return then(response)
            self.call(response.leader, "read", b"", limit, lambda data: applied(_decode_response(data)))

        self._ask_core(lambda token: self.core.read(token, self.now + limit, self.now), limit, local)

    def _confirm(self, limit: float, reply, show: Callable[[], Answer | None]) -> None:
        if not self._may_begin(reply):
            return

        def answered(response: CommandResponse) -> None:
            answer = show() if response.code == Code.OK and self.core.state is not None else self._rejected(response)
            if answer is not None:
                reply(answer)

        self._read_once(limit, answered)

    def _confirm_with_retries(self, end: float, reply, show: Callable[[], Answer]) -> None:
        """Confirms a read with retries until the limit, as `http_plain.Page.confirm` does."""
        if not self._may_begin(reply):
            return
        left = end - self.now

        def answered(response: CommandResponse) -> None:
            if response.code == Code.OK and self.core.state is not None:
                return reply(show())
            if end - self.now <= http_plain.RETRY_PAUSE_S:
                return reply(self._rejected(response))
            self.wake(http_plain.RETRY_PAUSE_S, lambda: self._confirm_with_retries(end, reply, show))

        self._read_once(min(left, http_plain.ATTEMPT_TIMEOUT_S), answered)


class PageReply:
    """Answers one API request."""

    __slots__ = ("_reply",)

    def __init__(self, reply: CallReply):
        """`reply` returns the encoded answer to the caller."""
        self._reply = reply

    def __call__(self, answer: Answer) -> None:
        """Sends the answer."""
        self._reply(pages.encode(answer))

    def left(self) -> bool:
        """Whether the caller has closed the connection, as `web.client_left` detects it."""
        return self._reply.left


def _has_left(reply: Callable[[Answer], None]) -> bool:
    return isinstance(reply, PageReply) and reply.left()


def _decode_response(data: bytes | None) -> CommandResponse:
    return wire.decode_command_response(data) if data is not None else CommandResponse(Code.UNDECIDED)
