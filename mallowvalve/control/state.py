"""The replicated state machine and its commands: the same entries produce the same state on every node."""

from __future__ import annotations

import hashlib
from collections.abc import Callable

import msgspec

from mallowvalve.configuration.items import Amend, Items
from mallowvalve.control.outcome import Code, Outcome
from mallowvalve.control.sessions import Sessions, command_offset, encode_clock, split_origin
from mallowvalve.coordination.plain import Count, Extend, Free, PlainCoordination, Take, Write
from mallowvalve.coordination.state import (
    KeyedCoordination,
    KeyedResult,
    KeyedResultCode,
    Lock,
    Next,
    Put,
    Renew,
    Unlock,
)
from mallowvalve.finding import Finding, shorten
from mallowvalve.ledger.asks import IdempotencyTable, RecordedOutcome
from mallowvalve.ledger.ledger import Claim, Done, Forfeit, Ledger, Lose, Release
from mallowvalve.types import Address, Locality, Revision
from mallowvalve.upstreams.registry import Registered, Registry


class Change(msgspec.Struct, frozen=True, array_like=True, tag="change"):
    """Replaces the configuration document; `base` is the revision that it must replace, or None for any."""

    base: int | None
    doc: bytes
    ask: str = ""
    digest: str = ""


class Evacuate(msgspec.Struct, frozen=True, array_like=True, tag="evacuate"):
    """Evacuates a zone or region (`on`), or ends its evacuation."""

    zone: str
    on: bool
    ask: str = ""


class Enrol(msgspec.Struct, frozen=True, array_like=True, tag="enrol"):
    """Adds a proxy process to the roster, in place of an earlier process at its address."""

    addr: Address
    boot: int
    locality: Locality


class Strike(msgspec.Struct, frozen=True, array_like=True, tag="strike"):
    """Removes a proxy process from the roster."""

    addr: Address
    boot: int
    ask: str = ""


class Seats(msgspec.Struct, frozen=True, array_like=True, tag="seats"):
    """Applies several changes of the roster as one command."""

    steps: list[Enrol | Strike]


class Tick(msgspec.Struct, frozen=True, array_like=True, tag="tick"):
    """Advances the time, so that expired locks and keys are removed."""

    pass


LedgerCommand = Claim | Done | Release | Forfeit | Lose
CoordinationCommand = Lock | Renew | Unlock | Next | Put
PlainCommand = Take | Extend | Free | Count | Write
Command = (
    Change
    | Evacuate
    | Enrol
    | Strike
    | Seats
    | Tick
    | LedgerCommand
    | CoordinationCommand
    | PlainCommand
    | Amend
    | Registered
)
SETTINGS_COMMANDS = (Change, Evacuate, Enrol, Strike, Seats, Amend, Registered)
COORDINATION_COMMANDS = (Lock, Renew, Unlock, Next, Put, Take, Extend, Free, Count, Write)
encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Command).decode


def decode_command(data: bytes) -> Command:
    """Decodes a command, with an origin or without; raises msgspec.DecodeError if it is none."""
    return _decode(split_origin(data)[1])


UNDECODABLE_FINDINGS = encode([Finding("command", "not understood")])
"""The findings in the response to a request that is not a command."""


UNAPPLICABLE_FINDINGS = encode([Finding("command", "cannot be applied")])
"""The findings in the outcome of an entry that cannot be applied."""

UNAPPLICABLE_ERRORS = (ArithmeticError, AttributeError, LookupError, TypeError, ValueError)
"""Errors that follow from an entry and the state alone, so that they are the same on every replica."""


def is_command(data: bytes) -> bool:
    """Whether the bytes are a command, with an origin or without, as every command entry in the log must be."""
    try:
        return has_valid_addresses(decode_command(data))
    except ValueError:
        return False


def has_valid_addresses(command: Command) -> bool:
    """Whether all processes that the command names can be reached; the end of an upstream needs no address."""
    match command:
        case Enrol() | Strike():
            return command.addr.is_valid
        case Seats():
            return all(step.addr.is_valid for step in command.steps)
        case Registered():
            return all(upstream.state == "gone" or upstream.address.is_valid for upstream in command.changes)
    return True


def command_tag(data: bytes) -> bytes:
    """Returns the tag of an encoded command without decoding it."""
    start = command_offset(data)
    return data[start + 2 : start + 2 + (data[start + 1] & 0x1F)] if len(data) > start + 1 else b""


def command_tags(types: tuple[type[msgspec.Struct], ...]) -> frozenset[bytes]:
    """Returns the tags of encoded commands of these types."""
    return frozenset(str(kind.__struct_config__.tag).encode() for kind in types)


class Seat(msgspec.Struct, array_like=True, frozen=True):
    """A proxy process on the roster."""

    boot: int
    locality: Locality


class ReplicatedSettings(msgspec.Struct, array_like=True):
    """The configuration document, evacuations and the roster, with their revisions."""

    doc: bytes = b"{}"
    doc_revision: int = 0
    evacuated: dict[str, int] = {}
    roster: dict[str, Seat] = {}
    revision: int = 0


def command_digest(command: Command) -> str:
    """Returns the digest that distinguishes a command from others under the same key of a caller."""
    if isinstance(command, Change) and command.digest:
        return command.digest
    return hashlib.blake2b(encode(msgspec.structs.replace(command, ask="")), digest_size=16).hexdigest()


_decode_said = msgspec.msgpack.Decoder(KeyedResult).decode


def outcome_number(outcome: Outcome) -> int:
    """Returns the number in the outcome of a coordination command."""
    return _decode_said(outcome.body).number


def command_key(command: Command) -> str:
    """Returns the caller's key of a command, with the command's kind and name; empty if it has no key."""
    ask = getattr(command, "ask", "")
    return f"{type(command).__name__}:{getattr(command, 'name', '')}:{ask}" if ask else ""


class ReplicatedState:
    """All replicated state; entries change it by `apply` only."""

    __slots__ = (
        "generation",
        "index",
        "clock",
        "settings",
        "ledger",
        "coordination",
        "asks",
        "items",
        "registry",
        "plain",
        "sessions",
        "settings_sessions",
        "refused_entries",
        "last_refusal",
    )

    def __init__(self, generation: int):
        """Creates the empty state of a generation."""
        self.generation, self.index, self.clock = generation, 0, 0
        self.refused_entries, self.last_refusal = 0, ""
        self.settings, self.ledger, self.coordination, self.asks = (
            ReplicatedSettings(),
            Ledger(),
            KeyedCoordination(),
            IdempotencyTable(),
        )
        self.items, self.registry, self.plain = Items(), Registry(), PlainCoordination()
        self.sessions, self.settings_sessions = Sessions(), Sessions()

    @property
    def revision(self) -> int:
        """The revision of the entry applied last."""
        return self.revision_at(self.index)

    def revision_at(self, index: int) -> int:
        """Returns the revision of the entry at an index."""
        return int(Revision.make(self.generation, index))

    @property
    def settings_index(self) -> int:
        """The index of the last entry that changed the settings part: settings, items or registry."""
        return Revision(self.settings.revision).index

    def replace_settings(self, other: ReplicatedState) -> None:
        """Replaces the settings part by that of a state that has applied more entries."""
        self.settings, self.items, self.registry = other.settings, other.items, other.registry
        self.settings_sessions = other.settings_sessions
        self.index, self.clock = max(self.index, other.index), max(self.clock, other.clock)

    def apply(self, index: int, at: int, data: bytes) -> Outcome:
        """Applies the entry at an index, with its time (ms, fleet clock), and returns the outcome for its proposer.

        An entry that cannot be applied is refused in the same way by every replica, as it would end all of them, and
        again at each start.
        """
        self.index = index
        self.clock = max(self.clock, at)
        if not data:
            return Outcome(Code.OK, self.revision)
        try:
            return self._apply_command(at, data)
        except UNAPPLICABLE_ERRORS as error:
            self.refused_entries += 1
            self.last_refusal = f"entry {index}: {error!r}"
            return Outcome(Code.INVALID, self.settings.revision, UNAPPLICABLE_FINDINGS)

    def _apply_command(self, at: int, data: bytes) -> Outcome:
        origin, body = split_origin(data)
        command = _decode(body)
        if origin is None:
            return self._apply_keyed(command)
        sessions = self.settings_sessions if isinstance(command, SETTINGS_COMMANDS) else self.sessions
        outcome = sessions.deduplicate(origin, at)
        if isinstance(outcome, Code):
            return Outcome(outcome, self.settings.revision, encode_clock(sessions.latest))
        if outcome is None:
            outcome = self._apply_keyed(command)
            sessions.store_outcome(origin, outcome)
        return outcome

    def _apply_keyed(self, command: Command) -> Outcome:
        key = command_key(command)
        if not key:
            return self._execute(command)
        self.asks.expire(self.clock)
        digest = command_digest(command)
        previous = self.asks.find(key, digest)
        if previous is not None:
            return self._repeated_outcome(command, Outcome(Code(previous.code), previous.revision, previous.body))
        outcome = self._execute(command)
        self.asks.record(key, RecordedOutcome(self.clock, digest, outcome.code, outcome.revision, outcome.body))
        return outcome

    def _repeated_outcome(self, command: Command, previous: Outcome) -> Outcome:
        """Returns the previous outcome of a repeated command; a lock that has been lost since is reported as lost."""
        if (
            previous.code != Code.OK
            or not isinstance(command, Lock | Renew)
            or self.coordination.is_held(command.name, command.holder, outcome_number(previous))
        ):
            return previous
        return Outcome(Code.LOST, previous.revision, encode(KeyedResult(KeyedResultCode.LOST)))

    def _execute(self, command: Command) -> Outcome:
        match command:
            case Change():
                return self._change(command)
            case Evacuate():
                return self._evacuate(command)
            case Enrol():
                return self._enrol(command)
            case Strike():
                return self._strike(command)
            case Seats():
                for step in command.steps:
                    self._execute(step)
                return Outcome(Code.OK, self.settings.revision)
            case Amend():
                return self._amend(command)
            case Registered():
                return self._register(command)
            case Take() | Extend() | Free() | Count() | Write():
                return Outcome(Code.OK, self.revision, encode(self.plain.apply(command, self.clock)))
            case Tick():
                self.coordination.expire(self.clock)
                self.plain.expire(self.clock)
                return Outcome(Code.OK, self.revision)
            case Claim() | Done() | Release() | Forfeit() | Lose():
                verdict = self.ledger.apply(command, self.clock, self.revision)
                return Outcome(Code(verdict.state), self.revision, encode(verdict))
        result = self.coordination.apply(command, self.revision, self.clock)
        return Outcome(Code(result.code), self.revision, encode(result))

    def _change(self, change: Change) -> Outcome:
        settings = self.settings
        if not change.doc:
            return Outcome(Code.GONE, settings.doc_revision)
        if change.base is not None and change.base != settings.doc_revision:
            return Outcome(Code.CONFLICT, settings.doc_revision)
        settings.doc, settings.doc_revision, settings.revision = change.doc, self.revision, self.revision
        return Outcome(Code.OK, self.revision)

    def _amend(self, amend: Amend) -> Outcome:
        turn = self.items.evaluate(amend)
        if turn.found:
            return Outcome(Code.INVALID, self.settings.revision, encode(shorten(turn.found)))
        if turn.conflicts:
            return Outcome(Code.CONFLICT, self.settings.revision, encode(shorten(turn.conflicts)))
        self.items.apply_evaluation(turn, self.revision)
        if self.items.revision == self.revision:
            self.settings.revision = self.revision
        return Outcome(Code.OK, self.settings.revision)

    def _register(self, registered: Registered) -> Outcome:
        before = self.registry.revision
        self.registry.apply(registered, self.clock)
        if self.registry.revision != before:
            self.settings.revision = self.revision
        return Outcome(Code.OK, self.settings.revision)

    def _evacuate(self, evacuate: Evacuate) -> Outcome:
        zone, evacuated = evacuate.zone, self.settings.evacuated
        if evacuate.on == (zone in evacuated):
            return Outcome(Code.OK, self.settings.revision)
        if evacuate.on:
            return self._update(lambda settings: settings.evacuated.__setitem__(zone, self.revision))
        return self._update(lambda settings: settings.evacuated.pop(zone))

    def _enrol(self, enrol: Enrol) -> Outcome:
        if not enrol.addr.is_valid:
            return Outcome(Code.INVALID, self.settings.revision, UNAPPLICABLE_FINDINGS)
        name, seat = str(enrol.addr), Seat(enrol.boot, enrol.locality)
        if self.settings.roster.get(name) == seat:
            return Outcome(Code.OK, self.settings.revision)
        self._lose_claims(name)
        return self._update(lambda settings: settings.roster.__setitem__(name, seat))

    def _strike(self, strike: Strike) -> Outcome:
        name = str(strike.addr)
        seat = self.settings.roster.get(name)
        if seat is None or seat.boot != strike.boot:
            return Outcome(Code.GONE, self.settings.revision)
        self._lose_claims(name)
        return self._update(lambda settings: settings.roster.pop(name))

    def _lose_claims(self, addr: str) -> None:
        """Marks the claims of the process at an address as lost, as it leaves the roster."""
        seat = self.settings.roster.get(addr)
        if seat is not None:
            self.ledger.apply(Lose(f"{addr}#{seat.boot}"), self.clock)

    def _update(self, change: Callable[[ReplicatedSettings], object]) -> Outcome:
        change(self.settings)
        self.settings.revision = self.revision
        return Outcome(Code.OK, self.revision)
