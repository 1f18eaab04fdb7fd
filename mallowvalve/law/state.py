from __future__ import annotations

import msgspec

from mallowvalve.claim.ledger import Claim, Done, Forfeit, Ledger, Lose, Release
from mallowvalve.kind import Address, Locality, Revision
from mallowvalve.tie.state import Lock, Next, Put, Renew, Tie, Unlock


class Change(msgspec.Struct, frozen=True, array_like=True, tag="change"):
    base: int | None
    doc: bytes
    ask: str = ""


class Evacuate(msgspec.Struct, frozen=True, array_like=True, tag="evacuate"):
    zone: str
    on: bool


class Enrol(msgspec.Struct, frozen=True, array_like=True, tag="enrol"):
    addr: Address
    boot: int
    locality: Locality


class Strike(msgspec.Struct, frozen=True, array_like=True, tag="strike"):
    addr: Address


class Tick(msgspec.Struct, frozen=True, array_like=True, tag="tick"):
    pass


Command = Change | Evacuate | Enrol | Strike | Tick | Claim | Done | Release | Forfeit | Lose | Lock | Renew | Unlock | Next | Put
encode = msgspec.msgpack.Encoder().encode
command = msgspec.msgpack.Decoder(Command).decode


class Outcome(msgspec.Struct, array_like=True, frozen=True):
    code: str
    revision: int
    body: bytes = b""


class Seat(msgspec.Struct, array_like=True, frozen=True):
    boot: int
    locality: Locality


class Params(msgspec.Struct, array_like=True):
    doc: bytes = b"{}"
    doc_revision: int = 0
    evacuated: dict[str, int] = {}
    roster: dict[str, Seat] = {}
    revision: int = 0
    asks: dict[str, int] = {}


class State:
    __slots__ = ("generation", "index", "clock", "params", "ledger", "tie")

    def __init__(self, generation: int):
        self.generation, self.index, self.clock = generation, 0, 0
        self.params, self.ledger, self.tie = Params(), Ledger(), Tie()

    @property
    def revision(self) -> int:
        return int(Revision.make(self.generation, self.index))

    def apply(self, index: int, at: int, data: bytes) -> Outcome:
        self.index = index
        self.clock = max(self.clock, at)
        if not data:
            return Outcome("ok", self.revision)
        c = command(data)
        match c:
            case Change():
                return self._change(c)
            case Evacuate():
                return self._evacuate(c)
            case Enrol():
                return self._enrol(c)
            case Strike():
                self._bury(str(c.addr))
                return self._set(lambda s: s.roster.pop(str(c.addr), None))
            case Tick():
                self.tie.lapse(self.clock)
                return Outcome("ok", self.revision)
            case Claim() | Done() | Release() | Forfeit() | Lose():
                v = self.ledger.apply(c, self.clock)
                return Outcome(v.state, self.revision, encode(v))
        said = self.tie.apply(c, self.revision, self.clock)
        return Outcome(said.code, self.revision, encode(said))

    def _change(self, c: Change) -> Outcome:
        s = self.params
        if c.ask and c.ask in s.asks:
            return Outcome("ok", s.asks[c.ask])
        if c.base is not None and c.base != s.doc_revision:
            return Outcome("conflict", s.doc_revision)
        s.doc, s.doc_revision, s.revision = c.doc, self.revision, self.revision
        if c.ask:
            s.asks[c.ask] = self.revision
            while len(s.asks) > 256:
                del s.asks[next(iter(s.asks))]
        return Outcome("ok", self.revision)

    def _evacuate(self, c: Evacuate) -> Outcome:
        s = self.params
        if c.on == (c.zone in s.evacuated):
            return Outcome("ok", s.revision)
        if c.on:
            return self._set(lambda s: s.evacuated.__setitem__(c.zone, self.revision))
        return self._set(lambda s: s.evacuated.pop(c.zone))

    def _enrol(self, c: Enrol) -> Outcome:
        if self.params.roster.get(str(c.addr)) == Seat(c.boot, c.locality):
            return Outcome("ok", self.params.revision)
        self._bury(str(c.addr))
        return self._set(lambda s: s.roster.__setitem__(str(c.addr), Seat(c.boot, c.locality)))

    def _bury(self, addr: str) -> None:
        seat = self.params.roster.get(addr)
        if seat is not None:
            self.ledger.apply(Lose(f"{addr}#{seat.boot}"), self.clock)

    def _set(self, act) -> Outcome:
        act(self.params)
        self.params.revision = self.revision
        return Outcome("ok", self.revision)

    def dump(self) -> bytes:
        return encode([
            self.generation, self.index, self.clock, self.params, self.ledger.dump(), self.tie.dump(),
        ])

    @classmethod
    def load(cls, data: bytes, generation: int | None = None) -> State:
        g, index, clock, params, ledger, tie = msgspec.msgpack.decode(data)
        s = cls(g if generation is None else generation)
        s.index, s.clock = index, clock
        s.params = msgspec.convert(params, Params)
        s.ledger.load(ledger)
        s.tie.load(tie)
        return s
