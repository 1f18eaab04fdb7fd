"""The replicated state, and the commands that change it: the same entries give the same state on every node."""

from __future__ import annotations

import hashlib
from collections.abc import Callable

import msgspec

from mallowvalve.configuration.items import Amend, Items
from mallowvalve.control.outcome import Code, Outcome
from mallowvalve.control.sessions import Sessions, body_at, encode_clock, unseal
from mallowvalve.coordination.plain import Count, Extend, Free, Plain, Take, Write
from mallowvalve.coordination.state import Coordination, Lock, Next, Put, Renew, Said, SaidCode, Unlock
from mallowvalve.finding import Finding
from mallowvalve.ledger.asks import Asked, Asks
from mallowvalve.ledger.ledger import Claim, Done, Forfeit, Ledger, Lose, Release
from mallowvalve.types import Address, Locality, Revision
from mallowvalve.upstreams.registry import Registered, Registry


class Change(msgspec.Struct, frozen=True, array_like=True, tag="change"):
    """Replaces the configuration document; `base` is the revision it must replace, or None for any."""

    base: int | None
    doc: bytes
    ask: str = ""
    digest: str = ""


class Evacuate(msgspec.Struct, frozen=True, array_like=True, tag="evacuate"):
    """Empties a zone or region (`on`), or gives it back."""

    zone: str
    on: bool
    ask: str = ""


class Enrol(msgspec.Struct, frozen=True, array_like=True, tag="enrol"):
    """Gives a proxy's process a seat on the roster."""

    addr: Address
    boot: int
    locality: Locality


class Strike(msgspec.Struct, frozen=True, array_like=True, tag="strike"):
    """Takes a proxy's process off the roster."""

    addr: Address
    boot: int
    ask: str = ""


class Seats(msgspec.Struct, frozen=True, array_like=True, tag="seats"):
    """Several changes of the roster as one."""

    steps: list[Enrol | Strike]


class Tick(msgspec.Struct, frozen=True, array_like=True, tag="tick"):
    """Time went on: what has run out is forgotten."""

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
_command = msgspec.msgpack.Decoder(Command).decode


def decode_command(data: bytes) -> Command:
    """A command as it was offered, with an origin or without."""
    return _command(unseal(data)[1])


UNDECODABLE_FINDINGS = encode([Finding("command", "not understood")])
"""The findings that go with an offer of something else than a command."""


def is_command(data: bytes) -> bool:
    """Whether the bytes are a command, with an origin or without; what is in the log must be."""
    try:
        decode_command(data)
    except msgspec.DecodeError:
        return False
    return True


def command_tag(data: bytes) -> bytes:
    """The tag of an encoded command, read off its first bytes."""
    at = body_at(data)
    return data[at + 2 : at + 2 + (data[at + 1] & 0x1F)] if len(data) > at + 1 else b""


def command_tags(kinds: tuple[type[msgspec.Struct], ...]) -> frozenset[bytes]:
    """The tags by which encoded commands of these kinds are told."""
    return frozenset(str(k.__struct_config__.tag).encode() for k in kinds)


class Seat(msgspec.Struct, array_like=True, frozen=True):
    """A proxy's process on the roster."""

    boot: int
    locality: Locality


class ReplicatedSettings(msgspec.Struct, array_like=True):
    """The configuration document, evacuations and the roster, with their revisions."""

    doc: bytes = b"{}"
    doc_revision: int = 0
    evacuated: dict[str, int] = {}
    roster: dict[str, Seat] = {}
    revision: int = 0


def command_digest(c: Command) -> str:
    """What tells a command from others under the same key of a caller."""
    if isinstance(c, Change) and c.digest:
        return c.digest
    return hashlib.blake2b(encode(msgspec.structs.replace(c, ask="")), digest_size=16).hexdigest()


_said = msgspec.msgpack.Decoder(Said).decode


def outcome_number(o: Outcome) -> int:
    """The number in the outcome of a coordination command."""
    return _said(o.body).number


def command_key(c: Command) -> str:
    """The caller's key of a command, by its kind and name; empty if it has none."""
    ask = getattr(c, "ask", "")
    return f"{type(c).__name__}:{getattr(c, 'name', '')}:{ask}" if ask else ""


class ReplicatedState:
    """All replicated state; only `apply` changes it."""

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
    )

    def __init__(self, generation: int):
        """The empty state of a generation."""
        self.generation, self.index, self.clock = generation, 0, 0
        self.settings, self.ledger, self.coordination, self.asks = (
            ReplicatedSettings(),
            Ledger(),
            Coordination(),
            Asks(),
        )
        self.items, self.registry, self.plain = Items(), Registry(), Plain()
        self.sessions, self.settings_sessions = Sessions(), Sessions()

    @property
    def revision(self) -> int:
        """The revision of the entry applied last."""
        return self.revision_at(self.index)

    def revision_at(self, index: int) -> int:
        """The revision of an entry."""
        return int(Revision.make(self.generation, index))

    @property
    def settings_index(self) -> int:
        """The index of the last entry that changed the settings part: settings, items or registry."""
        return Revision(self.settings.revision).index

    def replace_settings(self, other: ReplicatedState) -> None:
        """Takes over the settings part of a state that went on further."""
        self.settings, self.items, self.registry = other.settings, other.items, other.registry
        self.settings_sessions = other.settings_sessions
        self.index, self.clock = max(self.index, other.index), max(self.clock, other.clock)

    def apply(self, index: int, at: int, data: bytes) -> Outcome:
        """Applies the entry at an index, with its time (ms, fleet clock); the outcome is for whoever proposed it."""
        self.index = index
        self.clock = max(self.clock, at)
        if not data:
            return Outcome(Code.OK, self.revision)
        origin, body = unseal(data)
        c = _command(body)
        if origin is None:
            return self._keyed(c)
        memory = self.settings_sessions if isinstance(c, SETTINGS_COMMANDS) else self.sessions
        said = memory.judge(origin, at)
        if isinstance(said, Code):
            return Outcome(said, self.settings.revision, encode_clock(memory.latest))
        if said is None:
            said = self._keyed(c)
            memory.keep(origin, said)
        return said

    def _keyed(self, c: Command) -> Outcome:
        key = command_key(c)
        if not key:
            return self._do(c)
        self.asks.forget(self.clock)
        digest = command_digest(c)
        had = self.asks.look(key, digest)
        if had is not None:
            return self._again(c, Outcome(Code(had.code), had.revision, had.body))
        out = self._do(c)
        self.asks.keep(key, Asked(self.clock, digest, out.code, out.revision, out.body))
        return out

    def _again(self, c: Command, said: Outcome) -> Outcome:
        if (
            said.code != Code.OK
            or not isinstance(c, Lock | Renew)
            or self.coordination.holds(c.name, c.holder, outcome_number(said))
        ):
            return said
        return Outcome(Code.LOST, said.revision, encode(Said(SaidCode.LOST)))

    def _do(self, c: Command) -> Outcome:
        match c:
            case Change():
                return self._change(c)
            case Evacuate():
                return self._evacuate(c)
            case Enrol():
                return self._enrol(c)
            case Strike():
                return self._strike(c)
            case Seats():
                for step in c.steps:
                    self._do(step)
                return Outcome(Code.OK, self.settings.revision)
            case Amend():
                return self._amend(c)
            case Registered():
                return self._registered(c)
            case Take() | Extend() | Free() | Count() | Write():
                return Outcome(Code.OK, self.revision, encode(self.plain.apply(c, self.clock)))
            case Tick():
                self.coordination.lapse(self.clock)
                self.plain.lapse(self.clock)
                return Outcome(Code.OK, self.revision)
            case Claim() | Done() | Release() | Forfeit() | Lose():
                v = self.ledger.apply(c, self.clock, self.revision)
                return Outcome(Code(v.state), self.revision, encode(v))
        said = self.coordination.apply(c, self.revision, self.clock)
        return Outcome(Code(said.code), self.revision, encode(said))

    def _change(self, c: Change) -> Outcome:
        s = self.settings
        if not c.doc:
            return Outcome(Code.GONE, s.doc_revision)
        if c.base is not None and c.base != s.doc_revision:
            return Outcome(Code.CONFLICT, s.doc_revision)
        s.doc, s.doc_revision, s.revision = c.doc, self.revision, self.revision
        return Outcome(Code.OK, self.revision)

    def _amend(self, c: Amend) -> Outcome:
        turn = self.items.judge(c)
        if turn.found:
            return Outcome(Code.INVALID, self.settings.revision, encode(turn.found))
        if turn.clashes:
            return Outcome(Code.CONFLICT, self.settings.revision, encode(turn.clashes))
        self.items.take(turn, self.revision)
        if self.items.revision == self.revision:
            self.settings.revision = self.revision
        return Outcome(Code.OK, self.settings.revision)

    def _registered(self, c: Registered) -> Outcome:
        before = self.registry.revision
        self.registry.apply(c, self.clock)
        if self.registry.revision != before:
            self.settings.revision = self.revision
        return Outcome(Code.OK, self.settings.revision)

    def _evacuate(self, c: Evacuate) -> Outcome:
        s = self.settings
        if c.on == (c.zone in s.evacuated):
            return Outcome(Code.OK, s.revision)
        if c.on:
            return self._set(lambda s: s.evacuated.__setitem__(c.zone, self.revision))
        return self._set(lambda s: s.evacuated.pop(c.zone))

    def _enrol(self, c: Enrol) -> Outcome:
        if self.settings.roster.get(str(c.addr)) == Seat(c.boot, c.locality):
            return Outcome(Code.OK, self.settings.revision)
        self._bury(str(c.addr))
        return self._set(lambda s: s.roster.__setitem__(str(c.addr), Seat(c.boot, c.locality)))

    def _strike(self, c: Strike) -> Outcome:
        seat = self.settings.roster.get(str(c.addr))
        if seat is None or seat.boot != c.boot:
            return Outcome(Code.GONE, self.settings.revision)
        self._bury(str(c.addr))
        return self._set(lambda s: s.roster.pop(str(c.addr)))

    def _bury(self, addr: str) -> None:
        seat = self.settings.roster.get(addr)
        if seat is not None:
            self.ledger.apply(Lose(f"{addr}#{seat.boot}"), self.clock)

    def _set(self, act: Callable[[ReplicatedSettings], object]) -> Outcome:
        act(self.settings)
        self.settings.revision = self.revision
        return Outcome(Code.OK, self.revision)
