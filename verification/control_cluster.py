"""A cluster of control-plane members with clients, whose calls are sent, retried and delivered late."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from mallowvalve.control import lease
from mallowvalve.control.outcome import RETRYABLE, Code
from mallowvalve.control.sessions import Session, SessionCall, split_origin
from mallowvalve.control.state import Put, encode
from mallowvalve.types import Revision
from verification import steps
from verification.bounds import Bounds
from verification.cluster import Cluster, ImpossibleError
from verification.control_member import CommandReply, ControlMember, OfferedFrame
from verification.invariants import InvariantChecker, Members
from verification.member import SentMessages, SimulatedMember

CALL_TIMEOUT_S = 3.0
MAX_OPEN_CALLS = 4
WATCH_LEASE_S = lease.LEASE_BOUNDS[lease.AnswerKind.WATCH].seconds


class ClientCall(msgspec.Struct):
    """One call: the frames sent so far, and the final code that its client received ("" while it waits)."""

    call: SessionCall
    frames: list[bytes] = []
    final_code: str = ""
    revisions: set[int] = set()


def _offerable_frames(client_call: ClientCall) -> set[int]:
    """Returns the frames that may arrive now: the first and the last, and a new one while the client waits."""
    newest = len(client_call.frames) - 1
    return {0, newest} if client_call.final_code else {0, newest, newest + 1}


class ControlInvariantChecker(InvariantChecker):
    """Checks the invariants of client calls and leases besides those of Raft."""

    __slots__ = ("client_calls", "acknowledged_at")

    def __init__(self) -> None:
        """Starts with no calls and no acknowledgements."""
        super().__init__()
        self.client_calls: list[ClientCall] = []
        self.acknowledged_at: list[tuple[float, int]] = []

    def check(self, members: Members, touched: SimulatedMember) -> str | None:
        """Checks every invariant that the last step, at one member, can have violated."""
        return super().check(members, touched) or self.at_most_once(touched) or self.fresh_watches(touched)

    def at_most_once(self, touched: ControlMember) -> str | None:
        """Each call takes effect at most once, in an entry timed no later than its not-after.

        A refused call takes no effect.
        """
        seen: dict[str, int] = {}
        for event in touched.core.state.coordination.events:
            number = int(event.name)
            if event.name in seen:
                return f"once: call {number} took effect at {seen[event.name]} and {event.revision}"
            seen[event.name] = event.revision
            latest = max(split_origin(frame)[0].not_after for frame in self.client_calls[number].frames)
            if event.applied_at_ms > latest:
                return f"not after: call {number} took effect at {event.applied_at_ms} ms, its end was {latest}"
        return None

    def record_acknowledgement(self, client_call: ClientCall, number: int, revision: int, now: float) -> str | None:
        """Records that a call was acknowledged; its revision must never change."""
        client_call.revisions.add(revision)
        if len(client_call.revisions) > 1:
            return f"once: call {number} was acknowledged with revisions {sorted(client_call.revisions)}"
        index = Revision(revision).index
        if index > self.acknowledged_index:
            self.acknowledged_index = index
            self.acknowledged_at.append((now, index))
        return None

    def fresh_watches(self, touched: ControlMember) -> str | None:
        """A member that answers watches lags by no more than the permitted number of entries.

        The lag counts from the last entry that was acknowledged at least one watch lease ago.
        """
        if not touched.may_answer_watches():
            return None
        before = touched.now - WATCH_LEASE_S
        floor = max((index for at, index in self.acknowledged_at if at <= before), default=0)
        if touched.applied.index + lease.MAX_WATCH_LAG_ENTRIES >= floor:
            return None
        return (
            f"stale watch: {touched.id} holds {touched.applied.index}, "
            f"{floor} was acknowledged over {WATCH_LEASE_S} s ago"
        )


class ControlCluster(Cluster):
    """Members of the control plane on one shared clock, and clients that share one session."""

    __slots__ = ("session",)
    checker_class = ControlInvariantChecker

    def __init__(self, bounds: Bounds, seed: int | None = None, raft_class=None, member_class=ControlMember):
        """Requires a seed, since states of control-plane members have no identity."""
        self.session = Session(lambda: 1)
        super().__init__(bounds, seed=seed, member_class=member_class)

    def _apply_at_member(self, step: steps.Step, member: ControlMember) -> SentMessages:
        if member.pending_save is None and isinstance(step, steps.OfferCall):
            return self._offer_frame(step, member)
        if member.pending_save is None and isinstance(step, steps.AnnounceMember):
            if step.other not in self.members:
                raise ImpossibleError(step.other)
            self._count_event("greetings")
            return member.receive_status(self.members[step.other].process_status(step.leaving))
        return super()._apply_at_member(step, member)

    def _offer_frame(self, step: steps.OfferCall, member: ControlMember) -> SentMessages:
        client_calls = self.invariants.client_calls
        frames = len(client_calls[step.call].frames) if step.call < len(client_calls) else 0
        if step.call > len(client_calls) or step.frame > frames:
            raise ImpossibleError(f"call {step.call}, frame {step.frame}")
        self._count_event("commands")
        if step.call == len(client_calls):
            command = encode(Put(str(step.call), "x"))
            client_calls.append(ClientCall(SessionCall(self.session, command, member.now + CALL_TIMEOUT_S)))
        client_call = client_calls[step.call]
        if step.frame == len(client_call.frames):
            client_call.frames.append(
                client_call.call.encoded_command(member.core.clock.estimate(member.now), member.now)
            )
        frame = OfferedFrame(step.call, step.frame, step.unheard)
        return member.offer_frame(client_call.frames[step.frame], frame, member.now + CALL_TIMEOUT_S)

    def _apply_step(self, step: steps.Step) -> str | None:
        broken = super()._apply_step(step)
        for member in self.members.values():
            replies, member.replies = member.replies, []
            for reply in replies:
                broken = broken or self._receive_reply(reply, member.now)
        return broken

    def _receive_reply(self, reply: CommandReply, now: float) -> str | None:
        client_call = self.invariants.client_calls[reply.call]
        if reply.response.code == Code.OK:
            broken = self.invariants.record_acknowledgement(client_call, reply.call, reply.response.revision, now)
            if broken:
                return broken
        if reply.unheard or client_call.final_code or reply.frame != len(client_call.frames) - 1:
            return None
        response = client_call.call.on_response(reply.response, now)
        if response.code not in RETRYABLE:
            client_call.final_code = response.code
        return None

    def _propose_options(self) -> Iterator[steps.Step]:
        yield from ()

    def _reconfigure_options(self) -> Iterator[steps.Step]:
        yield from ()

    def _read_options(self) -> Iterator[steps.Step]:
        if self._allows("reads"):
            yield from (steps.RequestRead(member.id) for member in self.idle_members() if member.core.leads)

    def _offer_options(self) -> Iterator[steps.Step]:
        if not self._allows("commands"):
            return
        client_calls = self.invariants.client_calls
        members = list(self.idle_members())
        leading = [member for member in members if member.raft.leads] or members
        for unheard in (False, True):
            yield from (steps.OfferCall(member.id, len(client_calls), 0, unheard) for member in leading)
            for number in range(max(0, len(client_calls) - MAX_OPEN_CALLS), len(client_calls)):
                for frame in _offerable_frames(client_calls[number]):
                    yield from (steps.OfferCall(member.id, number, frame, unheard) for member in leading)

    def _here_options(self) -> Iterator[steps.Step]:
        if not self._allows("greetings"):
            return
        for member in self.idle_members():
            for other in self.members:
                if other != member.id:
                    yield from (steps.AnnounceMember(member.id, other, leaving) for leaving in (False, True))
