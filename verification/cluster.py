"""A cluster of members and the messages between them: which steps are possible, and what each does."""

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
from verification.disk import WHOLE
from verification.identity import digest, outline
from verification.invariants import Record
from verification.member import FROZEN_FOR, Member, Sent, announced
from verification.reconfigurations import proposals

GROUP = GroupId(1, "verification")
HOST = "10.0.0.1"
FIRST_PORT = 7001
PASSES = (30, 300)
KEPT = (0, WHOLE // 2, WHOLE)
FAILURES = (ArithmeticError, AttributeError, LookupError, TypeError, ValueError, MsgspecError, UnwrapError)
Flight = tuple[str, str, str]


class ImpossibleError(Exception):
    """A step that this state does not allow: the trace belongs to another state."""


class Cluster:
    """The members, what is in flight, what was spent of the bounds, and the record of what the checks remember.

    A message in flight is known by its sender, its receiver and its text, so two that say the same are one.
    """

    __slots__ = ("bounds", "kind", "machine", "members", "flights", "spent", "record", "_shared")
    checks: type[Record] = Record

    def __init__(
        self, bounds: Bounds, machine: type[Raft] = Raft, seed: int | None = None, member: type[Member] = Member
    ):
        """With no `seed` the members' random numbers are all 0, which the breadth-first search needs."""
        self.bounds, self.machine, self.kind = bounds, machine, member
        names = [f"n{number}" for number in range(bounds.members)]
        first = member.first(GROUP, ClusterConfiguration({name: address(name) for name in names}))
        self.members: dict[str, Member] = {}
        for number in range(bounds.members + bounds.spares):
            self._add(f"n{number}", first, seed)
        self.flights: dict[Flight, Message] = {}
        self.spent: dict[str, int] = {}
        self.record = self.checks()
        self._shared: set[str] = set()
        if bounds.led:
            self._lead_first()
        if bounds.contested:
            self._contest_first()

    def _add(self, name: str, snapshot: RaftSnapshot, seed: int | None, now: float = 0.0) -> None:
        self.members[name] = self.kind(name, self.machine, seed, snapshot, now)

    def fork(self) -> Cluster:
        """A cluster in the same state; members are copied once they are touched. For clusters without a seed."""
        other = object.__new__(Cluster)
        other.bounds, other.machine, other.kind = self.bounds, self.machine, self.kind
        other.members, other.flights, other.spent = dict(self.members), dict(self.flights), dict(self.spent)
        other.record = self.record.copy()
        other._shared = set(self.members)
        return other

    def key(self) -> bytes:
        """The identity of the state: members, messages in flight, what the bounds still allow, and what is recorded."""
        timed = self.bounds.shared_clock
        now = next(iter(self.members.values())).now if timed else None
        members = [member.key(timed) for member in self.members.values()]
        flights = sorted({repr((*ends, outline(message, now))) for (*ends, _), message in self.flights.items()})
        return digest([members, flights, sorted(self.spent.items()), self.record.key()])

    def apply(self, step: steps.Step) -> str | None:
        """Takes one step and checks the state; gives what is broken, if anything. Raises ImpossibleError."""
        try:
            return self._apply(step)
        except FAILURES as error:
            return f"exception: {type(error).__name__}: {error}"

    def _apply(self, step: steps.Step) -> str | None:
        match step:
            case steps.Deliver():
                sent = self._deliver(step)
                touched = step.to
            case steps.Lose():
                self._take(step, keep=False)
                return None
            case steps.Pass():
                return self._pass(step)
            case steps.Wipe():
                return self._wipe(step)
            case _:
                touched = step.member
                sent = self._at(step, self._own(touched))
        return self._settle(touched, sent)

    def _settle(self, name: str, sent: Sent) -> str | None:
        """Sends and checks; where no crash can come between, a write is done at once, and checked by itself."""
        member = self.members[name]
        self._send(name, sent)
        broken = self.record.check(self.members, member)
        if broken or member.unsaved is None or self._left("crashes"):
            return broken
        return self._settle(name, member.save())

    def _own(self, name: str) -> Member:
        if name not in self.members:
            raise ImpossibleError(name)
        if name in self._shared:
            self.members[name] = self.members[name].copy()
            self._shared.discard(name)
        return self.members[name]

    def _deliver(self, step: steps.Deliver) -> Sent:
        member = self._own(step.to)
        if member.unsaved is not None:
            raise ImpossibleError(step.to)
        message = self._take(step, step.keep)
        if step.keep:
            self._spend("repeats")
        return member.receive(step.sender, message)

    def _take(self, step: steps.Deliver | steps.Lose, keep: bool) -> Message:
        flight = (step.sender, step.to, step.message)
        if flight not in self.flights:
            raise ImpossibleError(step.message)
        message = self.flights.pop(flight)
        if keep:
            self.flights[flight] = message
        return message

    def _at(self, step: steps.Step, member: Member) -> Sent:
        if isinstance(step, steps.Crash):
            self._spend("crashes")
            member.crash(step.kept)
            return []
        if isinstance(step, steps.Save) != (member.unsaved is not None):
            raise ImpossibleError(step.member)
        match step:
            case steps.Save():
                return member.save()
            case steps.Timeout():
                return self._time_out(member)
            case steps.Silence():
                self._spend("silences")
                member.now += FROZEN_FOR
                return member.step(lambda raft: None)
            case steps.Propose():
                self._spend("commands")
                return member.propose(step.command.encode())
            case steps.Read():
                self._spend("reads")
                return member.read(self.record.acknowledged)
            case steps.Reconfigure():
                self._spend("changes")
                voters = ClusterConfiguration(
                    *[{name: address(name) for name in part} for part in (step.voters, step.learners)]
                )
                return member.step(lambda raft: raft.change_configuration(voters, 0))
            case steps.HandOver():
                self._spend("handovers")
                return member.step(lambda raft: raft.transfer_leadership())
            case steps.Compact():
                self._spend("compactions")
                member.compact()
                return []
        raise ImpossibleError(str(step))

    def _pass(self, step: steps.Pass) -> str | None:
        """Time passes for all; those that neither are frozen nor wait for their disk see it at once."""
        self._spend("passes")
        for name in list(self.members):
            member = self._own(name)
            member.now += step.ms / 1000
            if member.unsaved is not None or name == step.frozen:
                continue
            broken = self._settle(name, member.step())
            if broken:
                return broken
        return None

    def _wipe(self, step: steps.Wipe) -> str | None:
        if step.member not in self.members or step.source not in self.members or step.fresh in self.members:
            raise ImpossibleError(step.member)
        self._spend("wipes")
        lost = self.members.pop(step.member)
        for flight in [flight for flight in self.flights if flight[1] == step.member]:
            del self.flights[flight]
        self.record.gone.add(step.member)
        self._add(step.fresh, self.members[step.source].raft.log.snapshot, lost.seed, lost.now)
        return self.record.nothing_lost(self.members)

    def _time_out(self, member: Member) -> Sent:
        if member.raft.leads:
            self._spend("beats")
        member.now = max(member.now, member.raft.timer())
        return member.step(lambda raft: None)

    def _spend(self, what: str) -> None:
        self.spent[what] = self.spent.get(what, 0) + 1

    def _left(self, what: str) -> bool:
        return self.spent.get(what, 0) < getattr(self.bounds, what)

    def _send(self, sender: str, sent: Sent) -> None:
        """An announcement of a snapshot is followed by what its receiver fetches: each is a message of its own."""
        for to, message in sent:
            if to not in self.members:
                continue
            if isinstance(message, InstallSnapshot):
                told = replace(message, snapshot=announced(message.snapshot))
                self.flights[(sender, to, repr(told))] = told
            self.flights[(sender, to, repr(message))] = message

    def options(self, kind: type[steps.Step]) -> Iterator[steps.Step]:
        """The steps of one kind that this state and the bounds allow."""
        tag = str(kind.__struct_config__.tag)
        return getattr(self, f"_{tag.replace('-', '_')}_options")()

    def everything(self) -> Iterator[steps.Step]:
        """All steps that this state and the bounds allow; what is never delivered is as good as lost."""
        for kind in get_args(steps.Step):
            if kind is not steps.Lose:
                yield from self.options(kind)

    def idle(self) -> Iterator[Member]:
        """The members that do not wait for their disk."""
        return (member for member in self.members.values() if member.unsaved is None)

    def leaders(self, budget: str) -> Iterator[Member]:
        """The idle members that lead, if the budget allows something of this kind."""
        return (member for member in self.idle() if member.raft.leads and self._left(budget))

    def _timeout_options(self) -> Iterator[steps.Step]:
        if self.bounds.shared_clock:
            return
        for member in self.idle():
            allowed = self._left("beats") if member.raft.leads else member.raft.term < self.bounds.terms
            if allowed:
                yield steps.Timeout(member.id)

    def _pass_options(self) -> Iterator[steps.Step]:
        if self.bounds.shared_clock and self._left("passes"):
            yield from (steps.Pass(ms, frozen) for ms in PASSES for frozen in ("", *self.members))

    def _silence_options(self) -> Iterator[steps.Step]:
        if not self.bounds.shared_clock and self._left("silences"):
            yield from (steps.Silence(member.id) for member in self.idle())

    def _deliver_options(self) -> Iterator[steps.Step]:
        repeats = (False, True) if self._left("repeats") else (False,)
        for sender, to, text in self.flights:
            if self.members[to].unsaved is None:
                yield from (steps.Deliver(sender, to, text, keep) for keep in repeats)

    def _lose_options(self) -> Iterator[steps.Step]:
        yield from (steps.Lose(*flight) for flight in self.flights)

    def _save_options(self) -> Iterator[steps.Step]:
        yield from (steps.Save(member.id) for member in self.members.values() if member.unsaved is not None)

    def _crash_options(self) -> Iterator[steps.Step]:
        if not self._left("crashes"):
            return
        for member in self.members.values():
            kept = KEPT if member.unsaved is not None else (0,)
            yield from (steps.Crash(member.id, part) for part in kept)

    def _propose_options(self) -> Iterator[steps.Step]:
        command = f"c{self.spent.get('commands', 0)}"
        yield from (steps.Propose(member.id, command) for member in self.leaders("commands"))

    def _offer_options(self) -> Iterator[steps.Step]:
        yield from ()

    def _here_options(self) -> Iterator[steps.Step]:
        yield from ()

    def _read_options(self) -> Iterator[steps.Step]:
        yield from (steps.Read(member.id) for member in self.leaders("reads") if member.raft.committed_in_term)

    def _hand_over_options(self) -> Iterator[steps.Step]:
        if any(member.raft.term >= self.bounds.terms for member in self.members.values()):
            return
        yield from (steps.HandOver(member.id) for member in self.leaders("handovers"))

    def _compact_options(self) -> Iterator[steps.Step]:
        if self._left("compactions"):
            yield from (steps.Compact(m.id) for m in self.idle() if m.applied.index > m.raft.log.snapshot_index)

    def _wipe_options(self) -> Iterator[steps.Step]:
        if not self._left("wipes"):
            return
        fresh = f"n{max(int(name[1:]) for name in self.members) + 1}"
        for name in self.members:
            if self.record.may_lose(self.members, name):
                yield from (steps.Wipe(name, fresh, source) for source in self.members if source != name)

    def _reconfigure_options(self) -> Iterator[steps.Step]:
        for member in self.leaders("changes"):
            for voters, learners in proposals(member.raft.log.configuration, list(self.members)):
                yield steps.Reconfigure(member.id, voters, learners)

    def _lead_first(self) -> None:
        """The first member is elected and its first entry is everywhere: a start further on."""
        self.apply(steps.Timeout("n0"))
        while True:
            for member in self.members.values():
                if member.unsaved is not None:
                    self._send(member.id, member.save())
            if not self.flights:
                return
            self.apply(steps.Deliver(*next(iter(self.flights))))

    def _contest_first(self) -> None:
        """The first two members are candidates of the first term, and the third has voted for neither."""
        for one in ("n0", "n1"):
            self.apply(steps.Timeout(one))
            for ends in ((one, "n2"), ("n2", one)):
                self.apply(next(steps.Deliver(*flight) for flight in self.flights if flight[:2] == ends))
        for name in ("n0", "n1"):
            self._send(name, self.members[name].save() if self.members[name].unsaved is not None else [])


def address(name: str) -> Address:
    """The address of a member, by the number in its name."""
    return Address(HOST, FIRST_PORT + int(name[1:]))
