from __future__ import annotations

import hashlib
import random

import msgspec

from mallowvalve.control import wire
from mallowvalve.control.outcome import Code
from mallowvalve.control.replica_task import ATTEMPT
from mallowvalve.control.state import Change, Evacuate, encode
from mallowvalve.coordination.state import KeyedResult, Lock, Next, Put, Unlock
from mallowvalve.localfleet.history import Op
from mallowvalve.types import Address
from sim.config import config
from sim.history import Offered, RunHistory, ZoneEvacuation
from sim.replica import offer
from sim.world import SimulatedNode, World
from verification import histories
from verification.histories import Kind, outcome_of

_said = msgspec.msgpack.Decoder(KeyedResult).decode
LIMIT = 4.0
CONFIGURATION = "configuration"
FOUNDING = (0, b"{}")


def short(doc: bytes) -> str | None:
    """A configuration in a recorded history; None for none."""
    return hashlib.blake2b(doc, digest_size=8).hexdigest() if doc else None


class User(SimulatedNode):
    def __init__(self, world: World, addr: Address, controls, history: RunHistory):
        super().__init__(world, addr)
        self.controls, self.history, self.rng = controls, history, random.Random(world.rng.random())
        self.leader: Address | None = None
        self.n = 0

    def control(self) -> Address:
        return self.leader or self.rng.choice(self.controls())

    def handle(self, kind, src, body, answer) -> None:
        return None

    def propose(self, c, limit: float, then) -> None:
        offer(self, encode(c), self.now + limit, then, limit if isinstance(c, Change | Evacuate) else ATTEMPT)

    @property
    def recorder(self) -> histories.Recorder:
        """Where the calls of all users are written down for the checker of histories."""
        return self.history.recorder

    def record(self, kind: Kind, name: str, call: histories.Call) -> int:
        """Write down a call that begins now; returns its place in the history."""
        return self.recorder.called(kind, name, str(self.addr), call, self.now)

    def serial(self) -> str:
        self.n += 1
        return f"{self.addr.host}.{self.n}"


class OrderClient(User):
    """Orders under a key; a hasty one does not wait for the answer before it asks again."""

    def __init__(self, world, addr, controls, history, proxies, hasty=False):
        super().__init__(world, addr, controls, history)
        self.proxies, self.hasty = proxies, hasty
        self.wake(3.0, self._order)

    def _order(self) -> None:
        self._try(self.serial(), 1)

    def _try(self, key: str, n: int) -> None:
        def heard(data: bytes | None) -> None:
            out, body = msgspec.msgpack.decode(data) if data is not None else ("silence", b"")
            out = "done" if out == "answer" else out
            self.history.told.append((self.now, key, n, out))
            if out == "done":
                self.history.answers.append((self.now, key, "/runs", body))
            stop = out in ("done", "unknown") or n >= 8 or out == "not-run" and self.rng.random() < 0.5
            if stop:
                return self.wake(0.2 + self.rng.random() * 0.3, self._order)
            self.wake(0.05 + self.rng.random() * 0.3, lambda: self._try(key, n + 1))

        slow = self.rng.random() * 3 if self.rng.random() < 0.1 else 0.0
        ask = [key, key, n, "runner", "POST", "/runs", int(LIMIT * 1000), False, slow]
        wait = 0.1 + self.rng.random() * 0.4 if self.hasty else LIMIT + 1.5
        self.call(self.rng.choice(self.proxies()), "request", encode(ask), wait, heard)


class RankingsReader(User):
    """Reads rankings at a rate; a relentless one repeats at once, unmarked, and without end."""

    def __init__(self, world, addr, controls, history, proxies, rate=5.0, relentless=False):
        super().__init__(world, addr, controls, history)
        self.proxies, self.rate, self.relentless = proxies, rate, relentless
        self.wake(3.0 + self.rng.random(), self._next)

    def _next(self) -> None:
        self.wake(self.rng.expovariate(self.rate), self._next)
        id = self.serial()
        self._try(id, f"/rankings/{id}", 1)

    def _try(self, id: str, target: str, n: int) -> None:
        def heard(data: bytes | None) -> None:
            out, body = msgspec.msgpack.decode(data) if data is not None else ("silence", b"")
            self.history.reads_told.append((self.now, id, n, out))
            if out == "answer":
                return self.history.answers.append((self.now, id, target, body))
            if n < (40 if self.relentless else 3):
                self.wake(0.01 if self.relentless else 0.3 + self.rng.random(), lambda: self._try(id, target, n + 1))

        slow = self.rng.random() * 3 if self.rng.random() < 0.05 else 0.0
        ask = [id, "", n, "overlay", "GET", target, int(LIMIT * 1000), n > 1 and not self.relentless, slow]
        self.call(self.rng.choice(self.proxies()), "request", encode(ask), LIMIT + 1.5, heard)


class Operator(User):
    def __init__(self, world, addr, controls, history, zones):
        super().__init__(world, addr, controls, history)
        self.base, self.zones = 0, zones
        self.wake(1.0, self._change)

    def _change(self) -> None:
        name, begun = self.serial(), self.now
        if self.rng.random() < 0.3:
            return self.evacuate(self.rng.choice(self.zones), self.rng.random() < 0.5, name)
        doc = msgspec.json.encode(config(name, self.rng))
        base = self.base if self.rng.random() < 0.7 else None
        place = self.record(Kind.KEY, CONFIGURATION, histories.Put(short(doc), base))

        def took(t: wire.CommandResponse) -> None:
            self.recorder.answered(place, self.now, outcome_of(t.code), t.revision)
            if t.code == Code.CONFLICT:
                self.base = t.revision
            if t.code != Code.CONFLICT:
                ok = t.code == Code.OK
                self.history.offers.append(Offered(begun, self.now, t.revision if ok else None, doc))
            if t.code == Code.OK:
                self.base = t.revision
                self.history.changes.append((begun, self.now, t.revision, doc))
            self.wake(0.5 + self.rng.random(), self._read)

        self.propose(Change(base, doc, name), 8.0, took)

    def evacuate(self, zone: str, on: bool, name: str) -> None:
        begun = self.now

        def took(t: wire.CommandResponse) -> None:
            ok = t.code == Code.OK
            self.history.zones.append(ZoneEvacuation(begun, self.now, t.revision if ok else None, zone, on))
            if ok:
                self.history.evacuations.append((begun, self.now, t.revision))
            self.wake(0.5 + self.rng.random(), self._read)

        self.propose(Evacuate(zone, on, name), 8.0, took)

    def _read(self) -> None:
        to, begun = self.control(), self.now

        def took(data: bytes | None) -> None:
            node = self.world.nodes.get(to)
            if (
                data is not None
                and wire.decode_command_response(data).code == Code.OK
                and node is not None
                and node.core.state is not None
            ):
                s = node.core.state.settings
                none = (s.doc_revision, s.doc) == FOUNDING
                self.history.reads.append((begun, self.now, s.doc_revision, s.doc))
                self.recorder.operations.append(
                    histories.Operation(
                        Kind.KEY,
                        CONFIGURATION,
                        str(self.addr),
                        histories.Read(),
                        begun,
                        self.now,
                        histories.Outcome.DONE,
                        s.doc_revision,
                        None if none else short(s.doc),
                    )
                )
            else:
                self.leader = wire.decode_command_response(data).leader if data is not None else None
            self.wake(0.3, self._change)

        self.call(to, "read", b"", 2.5, took)


class LockProposer(User):
    def __init__(self, world, addr, controls, history):
        super().__init__(world, addr, controls, history)
        self.wake(3.0, self._lock)

    def _lock(self) -> None:
        ask, begun = self.serial(), self.now
        ttl = 2.0
        place = self.record(Kind.LOCK, "l", histories.Take(str(self.addr), begun + ttl))

        def took(t: wire.CommandResponse) -> None:
            s = _said(t.body) if t.body else None
            if s is not None:
                self.recorder.answered(place, self.now, outcome_of(s.code), s.number)
            if s is None or s.code != "ok" or self.now >= begun + ttl:
                return self.wake(0.2, self._lock)
            hold = self.rng.random() * 3
            if hold < ttl - (self.now - begun):
                self.history.holds.append([self.now, self.now + hold, s.number, str(self.addr)])
                return self.wake(hold, lambda: self._free(s.number))
            self.history.holds.append([self.now, begun + ttl, s.number, str(self.addr)])
            self.wake(begun + ttl - self.now, self._lock)

        self.propose(Lock("l", str(self.addr), int(ttl * 1000), ask), 3.0, took)

    def _free(self, token: int) -> None:
        place = self.record(Kind.LOCK, "l", histories.Free(str(self.addr), token))

        def took(t: wire.CommandResponse) -> None:
            if t.body:
                self.recorder.answered(place, self.now, outcome_of(_said(t.body).code))
            self.wake(0.1, self._lock)

        self.propose(Unlock("l", str(self.addr), token, self.serial()), 2.0, took)


class NumberProposer(User):
    def __init__(self, world, addr, controls, history):
        super().__init__(world, addr, controls, history)
        self.wake(3.0, self._next)

    def _next(self) -> None:
        begun = self.now
        place = self.record(Kind.NUMBER, "n", histories.Draw())

        def took(t: wire.CommandResponse) -> None:
            if t.body:
                self.recorder.answered(place, self.now, outcome_of(_said(t.body).code), _said(t.body).number)
                self.history.numbers.append((begun, self.now, _said(t.body).number))
            self.wake(0.1 + self.rng.random() * 0.2, self._put)

        self.propose(Next("n", self.serial()), 3.0, took)

    def _put(self) -> None:
        value, begun = self.serial(), self.now
        place = self.record(Kind.KEY, "k", histories.Put(value))

        def took(t: wire.CommandResponse) -> None:
            if t.body:
                self.recorder.answered(place, self.now, outcome_of(_said(t.body).code), _said(t.body).number)
            if t.body and _said(t.body).code == "ok":
                self.history.puts.append((begun, self.now, _said(t.body).number, value))
            self.wake(0.1, self._next)

        self.propose(Put("k", value, None, value), 3.0, took)


class KeyProposer(User):
    """Reads a key and puts it anew on what it read; judged by revisions and by what ended before what began."""

    def __init__(self, world, addr, controls, history):
        super().__init__(world, addr, controls, history)
        self.wake(3.0, self._read)

    def _read(self) -> None:
        to, begun, name = self.control(), self.now, f"c{self.rng.randrange(2)}"

        def took(data: bytes | None) -> None:
            t = wire.decode_command_response(data) if data is not None else None
            node = self.world.nodes.get(to)
            if t is None or t.code != Code.OK or node is None or node.core.state is None:
                self.leader = t.leader if t is not None else None
                return self.wake(0.1, self._read)
            s = node.core.state
            value, at = s.coordination.keys.get(name, (None, 0))
            self.history.coord.ops.append(
                Op("read", name, str(self.addr), begun, self.now, "ok", s.revision, value, None, at)
            )
            self._put(name, self.rng.choice((at, at, None)))

        self.call(to, "read", b"", 2.5, took)

    def _put(self, name: str, base: int | None) -> None:
        value, begun = self.serial(), self.now

        op = Op("put", name, str(self.addr), begun, 1e9, "undecided", 0, value, base)
        self.history.coord.ops.append(op)

        def took(t: wire.CommandResponse) -> None:
            said = _said(t.body) if t.body else KeyedResult("undecided")
            op.ended, op.said, op.revision = self.now, said.code, said.number
            self.wake(0.1 + self.rng.random() * 0.2, self._read)

        self.propose(Put(name, value, base, value), 3.0, took)


class EventWatcher(User):
    """Reads events from whichever control process answers, resuming by revision."""

    def __init__(self, world, addr, controls, history):
        super().__init__(world, addr, controls, history)
        self.since = 0
        self.every(0.3, self._poll)

    def _poll(self) -> None:
        to = self.control()

        def took(data: bytes | None) -> None:
            t = wire.decode_command_response(data) if data is not None else None
            node = self.world.nodes.get(to)
            if t is None or t.code != Code.OK or node is None or node.core.state is None:
                self.leader = t.leader if t is not None else None
                return
            events = node.core.state.coordination.events_since(self.since, "")
            if events is None:
                self.history.compacted.append((self.now, str(self.addr), self.since))
                self.since = node.core.state.revision
                return
            for e in events:
                self.history.watched.append((self.now, str(self.addr), e.revision, e.value))
                self.since = e.revision

        self.call(to, "read", b"", 2.5, took)
