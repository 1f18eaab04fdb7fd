"""A cluster of whole control machines with callers: their calls are offered, offered again, and come late."""

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
from verification.control_member import ControlMember, Frame, Reply
from verification.invariants import Members, Record
from verification.member import Member, Sent

CALL_S = 3.0
OPEN_MOST = 4
WATCH_S = lease.LEASE_BOUNDS[lease.AnswerKind.WATCH].seconds


class Caller(msgspec.Struct):
    """One call: its frames so far, and the caller's own word on it once it is done."""

    call: SessionCall
    frames: list[bytes] = []
    said: str = ""
    revisions: set[int] = set()


def _frames(caller: Caller) -> set[int]:
    """Those that may come now: the first and the last once more, and a new one while the caller waits."""
    newest = len(caller.frames) - 1
    return {0, newest} if caller.said else {0, newest, newest + 1}


class ControlRecord(Record):
    """Checks of calls and leases besides those of Raft."""

    __slots__ = ("callers", "acknowledged_at")

    def __init__(self) -> None:
        """Nothing has happened."""
        super().__init__()
        self.callers: list[Caller] = []
        self.acknowledged_at: list[tuple[float, int]] = []

    def check(self, members: Members, touched: Member) -> str | None:
        """Checks all that the last step, at one member, can have broken."""
        return super().check(members, touched) or self.once(touched) or self.fresh_watches(touched)

    def once(self, touched: ControlMember) -> str | None:
        """Each call took effect once at most, in an entry of a time up to its not-after; one refused took none."""
        seen: dict[str, int] = {}
        for event in touched.core.state.coordination.events:
            number = int(event.name)
            if event.name in seen:
                return f"once: call {number} took effect at {seen[event.name]} and {event.revision}"
            seen[event.name] = event.revision
            latest = max(split_origin(frame)[0].not_after for frame in self.callers[number].frames)
            if event.applied_at_ms > latest:
                return f"not after: call {number} took effect at {event.applied_at_ms} ms, its end was {latest}"
        return None

    def answered(self, caller: Caller, number: int, revision: int, now: float) -> str | None:
        """A call was acknowledged; always with the same revision."""
        caller.revisions.add(revision)
        if len(caller.revisions) > 1:
            return f"once: call {number} was acknowledged with revisions {sorted(caller.revisions)}"
        index = Revision(revision).index
        if index > self.acknowledged:
            self.acknowledged = index
            self.acknowledged_at.append((now, index))
        return None

    def fresh_watches(self, touched: ControlMember) -> str | None:
        """Who answers watches has all but the permitted lag of what was acknowledged longer ago than their bound."""
        if not touched.current():
            return None
        before = touched.now - WATCH_S
        floor = max((index for at, index in self.acknowledged_at if at <= before), default=0)
        if touched.applied.index + lease.MAX_WATCH_LAG_ENTRIES >= floor:
            return None
        return f"stale watch: {touched.id} holds {touched.applied.index}, {floor} was acknowledged over {WATCH_S} s ago"


class ControlCluster(Cluster):
    """Members of the control plane, on one clock, and their callers, all of one session."""

    __slots__ = ("session",)
    checks = ControlRecord

    def __init__(self, bounds: Bounds, seed: int | None = None, machine=None, member=ControlMember):
        """With a seed only: its states have no identity."""
        self.session = Session(lambda: 1)
        super().__init__(bounds, seed=seed, member=member)

    def _at(self, step: steps.Step, member: ControlMember) -> Sent:
        if member.unsaved is None and isinstance(step, steps.Offer):
            return self._offer(step, member)
        if member.unsaved is None and isinstance(step, steps.Here):
            if step.other not in self.members:
                raise ImpossibleError(step.other)
            self._spend("greetings")
            return member.here(self.members[step.other].who(step.leaving))
        return super()._at(step, member)

    def _offer(self, step: steps.Offer, member: ControlMember) -> Sent:
        callers = self.record.callers
        frames = len(callers[step.call].frames) if step.call < len(callers) else 0
        if step.call > len(callers) or step.frame > frames:
            raise ImpossibleError(f"call {step.call}, frame {step.frame}")
        self._spend("commands")
        if step.call == len(callers):
            command = encode(Put(str(step.call), "x"))
            callers.append(Caller(SessionCall(self.session, command, member.now + CALL_S)))
        caller = callers[step.call]
        if step.frame == len(caller.frames):
            caller.frames.append(caller.call.encoded_command(member.core.clock.estimate(member.now), member.now))
        frame = Frame(step.call, step.frame, step.unheard)
        return member.offer(caller.frames[step.frame], frame, member.now + CALL_S)

    def _apply(self, step: steps.Step) -> str | None:
        broken = super()._apply(step)
        for member in self.members.values():
            replies, member.replies = member.replies, []
            for reply in replies:
                broken = broken or self._heard(reply, member.now)
        return broken

    def _heard(self, reply: Reply, now: float) -> str | None:
        caller = self.record.callers[reply.call]
        if reply.took.code == Code.OK:
            broken = self.record.answered(caller, reply.call, reply.took.revision, now)
            if broken:
                return broken
        if reply.unheard or caller.said or reply.frame != len(caller.frames) - 1:
            return None
        took = caller.call.on_response(reply.took, now)
        if took.code not in RETRYABLE:
            caller.said = took.code
        return None

    def _propose_options(self) -> Iterator[steps.Step]:
        yield from ()

    def _reconfigure_options(self) -> Iterator[steps.Step]:
        yield from ()

    def _read_options(self) -> Iterator[steps.Step]:
        if self._left("reads"):
            yield from (steps.Read(member.id) for member in self.idle() if member.core.leads)

    def _offer_options(self) -> Iterator[steps.Step]:
        if not self._left("commands"):
            return
        callers = self.record.callers
        members = list(self.idle())
        leading = [member for member in members if member.raft.leads] or members
        for unheard in (False, True):
            yield from (steps.Offer(member.id, len(callers), 0, unheard) for member in leading)
            for number in range(max(0, len(callers) - OPEN_MOST), len(callers)):
                for frame in _frames(callers[number]):
                    yield from (steps.Offer(member.id, number, frame, unheard) for member in leading)

    def _here_options(self) -> Iterator[steps.Step]:
        if not self._left("greetings"):
            return
        for member in self.idle():
            for other in self.members:
                if other != member.id:
                    yield from (steps.Here(member.id, other, leaving) for leaving in (False, True))
