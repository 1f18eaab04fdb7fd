"""A cluster of members and the messages between them: the steps that are possible and their effects."""

from __future__ import annotations

from collections.abc import Iterator
from typing import get_args

from msgspec import MsgspecError
from msgspec.structs import replace
from result import UnwrapError

from mallowvalve.raft.messages import ClusterConfiguration, GroupId, InstallSnapshot, Message, RaftSnapshot
from mallowvalve.raft.raft import Raft
from mallowvalve.types import Address
from verification import steps
from verification.bounds import Bounds
from verification.disk import WHOLE_WRITE_THOUSANDTHS
from verification.identity import digest, message_identity
from verification.invariants import InvariantChecker
from verification.member import FREEZE_S, SentMessages, SimulatedMember, snapshot_announcement
from verification.reconfigurations import possible_changes

GROUP = GroupId(1, "verification")
HOST = "10.0.0.1"
FIRST_PORT = 7001
CLOCK_ADVANCES_MS = (30, 300)
KEPT_THOUSANDTHS = (0, WHOLE_WRITE_THOUSANDTHS // 2, WHOLE_WRITE_THOUSANDTHS)
"""The parts of a pending write that a crash may leave on the disk."""
FAILURE_EXCEPTIONS = (ArithmeticError, AttributeError, LookupError, TypeError, ValueError, MsgspecError, UnwrapError)
"""Exceptions of the product that count as a violation found by the search."""
MessageKey = tuple[str, str, str]


class ImpossibleError(Exception):
    """Raised for a step that the current state doesn't allow, as in a trace of another state."""


class Cluster:
    """The members, the messages in flight, the counts of events so far, and the invariant checker.

    A message in flight is identified by its sender, its receiver and its text, so two equal messages count as one.
    """

    __slots__ = (
        "bounds",
        "member_class",
        "raft_class",
        "members",
        "in_flight",
        "event_counts",
        "invariants",
        "_shared_members",
    )
    checker_class: type[InvariantChecker] = InvariantChecker

    def __init__(
        self,
        bounds: Bounds,
        raft_class: type[Raft] = Raft,
        seed: int | None = None,
        member_class: type[SimulatedMember] = SimulatedMember,
    ):
        """Without a `seed` all random numbers of the members are 0, which the breadth-first search requires."""
        self.bounds, self.raft_class, self.member_class = bounds, raft_class, member_class
        names = [f"n{number}" for number in range(bounds.members)]
        first = member_class.founding_snapshot(GROUP, ClusterConfiguration({name: address(name) for name in names}))
        self.members: dict[str, SimulatedMember] = {}
        for number in range(bounds.members + bounds.spares):
            self._add(f"n{number}", first, seed)
        self.in_flight: dict[MessageKey, Message] = {}
        self.event_counts: dict[str, int] = {}
        self.invariants = self.checker_class()
        self._shared_members: set[str] = set()
        if bounds.led:
            self._elect_first_leader()
        if bounds.contested:
            self._contest_first_term()

    def _add(self, name: str, snapshot: RaftSnapshot, seed: int | None, now: float = 0.0) -> None:
        self.members[name] = self.member_class(name, self.raft_class, seed, snapshot, now)

    def fork(self) -> Cluster:
        """Returns a cluster in the same state, which copies a member at its first change. Requires no seed."""
        other = object.__new__(Cluster)
        other.bounds, other.raft_class, other.member_class = self.bounds, self.raft_class, self.member_class
        other.members, other.in_flight, other.event_counts = (
            dict(self.members),
            dict(self.in_flight),
            dict(self.event_counts),
        )
        other.invariants = self.invariants.copy()
        other._shared_members = set(self.members)
        return other

    def state_key(self) -> bytes:
        """Returns the identity of the state: members, messages in flight, event counts, checker state."""
        timed = self.bounds.shared_clock
        now = next(iter(self.members.values())).now if timed else None
        members = [member.state_key(timed) for member in self.members.values()]
        in_flight = sorted(
            {repr((*ends, message_identity(message, now))) for (*ends, _), message in self.in_flight.items()}
        )
        return digest([members, in_flight, sorted(self.event_counts.items()), self.invariants.state_key()])

    def apply(self, step: steps.Step) -> str | None:
        """Applies one step and checks the state; returns the violation, if any. Raises ImpossibleError."""
        try:
            return self._apply_step(step)
        except FAILURE_EXCEPTIONS as error:
            return f"exception: {type(error).__name__}: {error}"

    def _apply_step(self, step: steps.Step) -> str | None:
        match step:
            case steps.DeliverMessage():
                sent = self._deliver(step)
                touched = step.to
            case steps.LoseMessage():
                self._take_message(step, keep=False)
                return None
            case steps.PassTime():
                return self._pass_time(step)
            case steps.WipeDisk():
                return self._wipe(step)
            case _:
                touched = step.member
                sent = self._apply_at_member(step, self._own_member(touched))
        return self._send_and_check(touched, sent)

    def _send_and_check(self, name: str, sent: SentMessages) -> str | None:
        """Puts messages in flight and checks the state.

        Where the bounds allow no more crashes, a pending write completes at once and is checked by itself.
        """
        member = self.members[name]
        self._send(name, sent)
        broken = self.invariants.check(self.members, member)
        if broken or member.pending_save is None or self._allows("crashes"):
            return broken
        return self._send_and_check(name, member.save())

    def _own_member(self, name: str) -> SimulatedMember:
        if name not in self.members:
            raise ImpossibleError(name)
        if name in self._shared_members:
            self.members[name] = self.members[name].copy()
            self._shared_members.discard(name)
        return self.members[name]

    def _deliver(self, step: steps.DeliverMessage) -> SentMessages:
        member = self._own_member(step.to)
        if member.pending_save is not None:
            raise ImpossibleError(step.to)
        message = self._take_message(step, step.keep)
        if step.keep:
            self._count_event("repeats")
        return member.receive(step.sender, message)

    def _take_message(self, step: steps.DeliverMessage | steps.LoseMessage, keep: bool) -> Message:
        message_key = (step.sender, step.to, step.message)
        if message_key not in self.in_flight:
            raise ImpossibleError(step.message)
        message = self.in_flight.pop(message_key)
        if keep:
            self.in_flight[message_key] = message
        return message

    def _apply_at_member(self, step: steps.Step, member: SimulatedMember) -> SentMessages:
        if isinstance(step, steps.CrashMember):
            self._count_event("crashes")
            member.crash(step.kept)
            return []
        if isinstance(step, steps.SaveToDisk) != (member.pending_save is not None):
            raise ImpossibleError(step.member)
        match step:
            case steps.SaveToDisk():
                return member.save()
            case steps.Timeout():
                return self._time_out(member)
            case steps.FreezeMember():
                self._count_event("silences")
                member.now += FREEZE_S
                return member.step(lambda raft: None)
            case steps.Propose():
                self._count_event("commands")
                return member.propose(step.command.encode())
            case steps.RequestRead():
                self._count_event("reads")
                return member.read(self.invariants.acknowledged_index)
            case steps.ChangeConfiguration():
                self._count_event("changes")
                voters = ClusterConfiguration(
                    *[{name: address(name) for name in names} for names in (step.voters, step.learners)]
                )
                return member.step(lambda raft: raft.change_configuration(voters, 0))
            case steps.TransferLeadership():
                self._count_event("handovers")
                return member.step(lambda raft: raft.transfer_leadership())
            case steps.CompactLog():
                self._count_event("compactions")
                member.compact()
                return []
        raise ImpossibleError(str(step))

    def _pass_time(self, step: steps.PassTime) -> str | None:
        """Advances all clocks; members that are neither frozen nor waiting for their disk react at once."""
        self._count_event("passes")
        for name in list(self.members):
            member = self._own_member(name)
            member.now += step.ms / 1000
            if member.pending_save is not None or name == step.frozen:
                continue
            broken = self._send_and_check(name, member.step())
            if broken:
                return broken
        return None

    def _wipe(self, step: steps.WipeDisk) -> str | None:
        if step.member not in self.members or step.source not in self.members or step.fresh in self.members:
            raise ImpossibleError(step.member)
        self._count_event("wipes")
        wiped = self.members.pop(step.member)
        for message_key in [message_key for message_key in self.in_flight if message_key[1] == step.member]:
            del self.in_flight[message_key]
        self.invariants.wiped_members.add(step.member)
        self._add(step.fresh, self.members[step.source].raft.log.snapshot, wiped.seed, wiped.now)
        return self.invariants.committed_entries_survive(self.members)

    def _time_out(self, member: SimulatedMember) -> SentMessages:
        if member.raft.leads:
            self._count_event("beats")
        member.now = max(member.now, member.raft.timer())
        return member.step(lambda raft: None)

    def _count_event(self, event: str) -> None:
        self.event_counts[event] = self.event_counts.get(event, 0) + 1

    def _allows(self, event: str) -> bool:
        return self.event_counts.get(event, 0) < getattr(self.bounds, event)

    def _send(self, sender: str, sent: SentMessages) -> None:
        """Puts messages in flight.

        The announcement of a snapshot and the snapshot that its receiver fetches afterwards are two messages.
        """
        for to, message in sent:
            if to not in self.members:
                continue
            if isinstance(message, InstallSnapshot):
                announcement = replace(message, snapshot=snapshot_announcement(message.snapshot))
                self.in_flight[(sender, to, repr(announcement))] = announcement
            self.in_flight[(sender, to, repr(message))] = message

    def options(self, kind: type[steps.Step]) -> Iterator[steps.Step]:
        """Returns the steps of one kind that the state and the bounds allow."""
        tag = str(kind.__struct_config__.tag)
        return getattr(self, f"_{tag.replace('-', '_')}_options")()

    def all_steps(self) -> Iterator[steps.Step]:
        """Yields all steps that the state and the bounds allow.

        Losses are left out, since a message that is never delivered is equivalent to a lost one.
        """
        for kind in get_args(steps.Step):
            if kind is not steps.LoseMessage:
                yield from self.options(kind)

    def idle_members(self) -> Iterator[SimulatedMember]:
        """Returns the members that don't wait for their disk."""
        return (member for member in self.members.values() if member.pending_save is None)

    def idle_leaders(self, budget: str) -> Iterator[SimulatedMember]:
        """Returns the idle leaders, if the bounds allow another event of this kind."""
        return (member for member in self.idle_members() if member.raft.leads and self._allows(budget))

    def _timeout_options(self) -> Iterator[steps.Step]:
        if self.bounds.shared_clock:
            return
        for member in self.idle_members():
            allowed = self._allows("beats") if member.raft.leads else member.raft.term < self.bounds.terms
            if allowed:
                yield steps.Timeout(member.id)

    def _pass_options(self) -> Iterator[steps.Step]:
        if self.bounds.shared_clock and self._allows("passes"):
            yield from (steps.PassTime(ms, frozen) for ms in CLOCK_ADVANCES_MS for frozen in ("", *self.members))

    def _silence_options(self) -> Iterator[steps.Step]:
        if not self.bounds.shared_clock and self._allows("silences"):
            yield from (steps.FreezeMember(member.id) for member in self.idle_members())

    def _deliver_options(self) -> Iterator[steps.Step]:
        repeats = (False, True) if self._allows("repeats") else (False,)
        for sender, to, text in self.in_flight:
            if self.members[to].pending_save is None:
                yield from (steps.DeliverMessage(sender, to, text, keep) for keep in repeats)

    def _lose_options(self) -> Iterator[steps.Step]:
        yield from (steps.LoseMessage(*message_key) for message_key in self.in_flight)

    def _save_options(self) -> Iterator[steps.Step]:
        yield from (steps.SaveToDisk(member.id) for member in self.members.values() if member.pending_save is not None)

    def _crash_options(self) -> Iterator[steps.Step]:
        if not self._allows("crashes"):
            return
        for member in self.members.values():
            kept = KEPT_THOUSANDTHS if member.pending_save is not None else (0,)
            yield from (steps.CrashMember(member.id, thousandths) for thousandths in kept)

    def _propose_options(self) -> Iterator[steps.Step]:
        command = f"c{self.event_counts.get('commands', 0)}"
        yield from (steps.Propose(member.id, command) for member in self.idle_leaders("commands"))

    def _offer_options(self) -> Iterator[steps.Step]:
        yield from ()

    def _here_options(self) -> Iterator[steps.Step]:
        yield from ()

    def _outage_options(self) -> Iterator[steps.Step]:
        yield from ()

    def _read_options(self) -> Iterator[steps.Step]:
        yield from (
            steps.RequestRead(member.id) for member in self.idle_leaders("reads") if member.raft.committed_in_term
        )

    def _hand_over_options(self) -> Iterator[steps.Step]:
        if any(member.raft.term >= self.bounds.terms for member in self.members.values()):
            return
        yield from (steps.TransferLeadership(member.id) for member in self.idle_leaders("handovers"))

    def _compact_options(self) -> Iterator[steps.Step]:
        if self._allows("compactions"):
            yield from (
                steps.CompactLog(m.id) for m in self.idle_members() if m.applied.index > m.raft.log.snapshot_index
            )

    def _wipe_options(self) -> Iterator[steps.Step]:
        if not self._allows("wipes"):
            return
        fresh = f"n{max(int(name[1:]) for name in self.members) + 1}"
        for name in self.members:
            if self.invariants.may_wipe(self.members, name):
                yield from (steps.WipeDisk(name, fresh, source) for source in self.members if source != name)

    def _reconfigure_options(self) -> Iterator[steps.Step]:
        for member in self.idle_leaders("changes"):
            for voters, learners in possible_changes(member.raft.log.configuration, list(self.members)):
                yield steps.ChangeConfiguration(member.id, voters, learners)

    def _elect_first_leader(self) -> None:
        """Elects the first member and replicates its first entry everywhere."""
        self.apply(steps.Timeout("n0"))
        while True:
            for member in self.members.values():
                if member.pending_save is not None:
                    self._send(member.id, member.save())
            if not self.in_flight:
                return
            self.apply(steps.DeliverMessage(*next(iter(self.in_flight))))

    def _contest_first_term(self) -> None:
        """Makes the first two members candidates of the first term; the third votes for neither."""
        for candidate in ("n0", "n1"):
            self.apply(steps.Timeout(candidate))
            for ends in ((candidate, "n2"), ("n2", candidate)):
                self.apply(
                    next(
                        steps.DeliverMessage(*message_key) for message_key in self.in_flight if message_key[:2] == ends
                    )
                )
        for name in ("n0", "n1"):
            self._send(name, self.members[name].save() if self.members[name].pending_save is not None else [])


def address(name: str) -> Address:
    """Returns the address of a member, derived from the number in its name."""
    return Address(HOST, FIRST_PORT + int(name[1:]))
