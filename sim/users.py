"""Users of a simulated fleet; each records what it sent and was answered in the run's history."""

from __future__ import annotations

import hashlib
import random

import msgspec

from mallowvalve.control import wire
from mallowvalve.control.outcome import Code
from mallowvalve.control.replica_task import ATTEMPT_TIMEOUT_S
from mallowvalve.control.state import Change, Evacuate, encode
from mallowvalve.coordination.state import KeyedResult, Lock, Next, Put, Unlock
from mallowvalve.localfleet.history import CoordinationCall
from mallowvalve.types import Address
from sim.config import config
from sim.history import OfferedConfiguration, RunHistory, ZoneEvacuation
from sim.replica import offer
from sim.world import SimulatedNode, World
from verification import histories
from verification.histories import ObjectKind, outcome_from_code

_decode_result = msgspec.msgpack.Decoder(KeyedResult).decode
REQUEST_LIMIT_S = 4.0
CONFIGURATION = "configuration"
FOUNDING = (0, b"{}")


def digest(doc: bytes) -> str | None:
    """The digest that stands for a configuration in a recorded history; None for an empty one."""
    return hashlib.blake2b(doc, digest_size=8).hexdigest() if doc else None


class User(SimulatedNode):
    """A node that calls control processes and answers no messages."""

    def __init__(self, world: World, addr: Address, controls, history: RunHistory):
        super().__init__(world, addr)
        self.controls, self.history, self.rng = controls, history, random.Random(world.rng.random())
        self.leader: Address | None = None
        self.serial_count = 0

    def control(self) -> Address:
        """The control process to call next: the known leader, else a random one."""
        return self.leader or self.rng.choice(self.controls())

    def handle(self, kind, src, body, answer) -> None:
        """Ignores the message."""

    def propose(self, command, limit: float, then) -> None:
        """Proposes a command with retries for at most `limit` seconds."""
        offer(
            self,
            encode(command),
            self.now + limit,
            then,
            limit if isinstance(command, Change | Evacuate) else ATTEMPT_TIMEOUT_S,
        )

    @property
    def recorder(self) -> histories.HistoryRecorder:
        """The shared recorder of calls for the linearizability checker."""
        return self.history.recorder

    def record(self, kind: ObjectKind, name: str, call: histories.OperationCall) -> int:
        """Records a call that begins now; returns its position in the history."""
        return self.recorder.record_call(kind, name, str(self.addr), call, self.now)

    def serial(self) -> str:
        """Returns a new identifier, unique in the run."""
        self.serial_count += 1
        return f"{self.addr.host}.{self.serial_count}"


class OrderClient(User):
    """Sends keyed requests with retries; a `hasty` client retries before the answer could have come."""

    def __init__(self, world, addr, controls, history, proxies, hasty=False):
        super().__init__(world, addr, controls, history)
        self.proxies, self.hasty = proxies, hasty
        self.wake(3.0, self._next_order)

    def _next_order(self) -> None:
        self._try(self.serial(), 1)

    def _try(self, key: str, attempt: int) -> None:
        def answered(data: bytes | None) -> None:
            outcome, body = msgspec.msgpack.decode(data) if data is not None else ("silence", b"")
            outcome = "done" if outcome == "answer" else outcome
            self.history.told.append((self.now, key, attempt, outcome))
            if outcome == "done":
                self.history.answers.append((self.now, key, "/runs", body))
            is_final = (
                outcome in ("done", "unknown") or attempt >= 8 or outcome == "not-run" and self.rng.random() < 0.5
            )
            if is_final:
                return self.wake(0.2 + self.rng.random() * 0.3, self._next_order)
            self.wake(0.05 + self.rng.random() * 0.3, lambda: self._try(key, attempt + 1))

        slow = self.rng.random() * 3 if self.rng.random() < 0.1 else 0.0
        ask = [key, key, attempt, "runner", "POST", "/runs", int(REQUEST_LIMIT_S * 1000), False, slow]
        wait = 0.1 + self.rng.random() * 0.4 if self.hasty else REQUEST_LIMIT_S + 1.5
        self.call(self.rng.choice(self.proxies()), "request", encode(ask), wait, answered)


class RankingsReader(User):
    """Sends read requests at a rate; a `relentless` client retries at once, often, and without the retry mark."""

    def __init__(self, world, addr, controls, history, proxies, rate=5.0, relentless=False):
        super().__init__(world, addr, controls, history)
        self.proxies, self.rate, self.relentless = proxies, rate, relentless
        self.wake(3.0 + self.rng.random(), self._next)

    def _next(self) -> None:
        self.wake(self.rng.expovariate(self.rate), self._next)
        id = self.serial()
        self._try(id, f"/rankings/{id}", 1)

    def _try(self, id: str, target: str, attempt: int) -> None:
        def answered(data: bytes | None) -> None:
            outcome, body = msgspec.msgpack.decode(data) if data is not None else ("silence", b"")
            self.history.reads_told.append((self.now, id, attempt, outcome))
            if outcome == "answer":
                return self.history.answers.append((self.now, id, target, body))
            if attempt < (40 if self.relentless else 3):
                self.wake(
                    0.01 if self.relentless else 0.3 + self.rng.random(), lambda: self._try(id, target, attempt + 1)
                )

        slow = self.rng.random() * 3 if self.rng.random() < 0.05 else 0.0
        ask = [
            id,
            "",
            attempt,
            "overlay",
            "GET",
            target,
            int(REQUEST_LIMIT_S * 1000),
            attempt > 1 and not self.relentless,
            slow,
        ]
        self.call(self.rng.choice(self.proxies()), "request", encode(ask), REQUEST_LIMIT_S + 1.5, answered)


class Operator(User):
    """Changes the configuration, evacuates zones, and reads the configuration back."""

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
        position = self.record(ObjectKind.KEY, CONFIGURATION, histories.PutValue(digest(doc), base))

        def answered(response: wire.CommandResponse) -> None:
            self.recorder.record_answer(position, self.now, outcome_from_code(response.code), response.revision)
            if response.code == Code.CONFLICT:
                self.base = response.revision
            if response.code != Code.CONFLICT:
                ok = response.code == Code.OK
                self.history.offers.append(
                    OfferedConfiguration(begun, self.now, response.revision if ok else None, doc)
                )
            if response.code == Code.OK:
                self.base = response.revision
                self.history.changes.append((begun, self.now, response.revision, doc))
            self.wake(0.5 + self.rng.random(), self._read)

        self.propose(Change(base, doc, name), 8.0, answered)

    def evacuate(self, zone: str, on: bool, name: str) -> None:
        """Starts or ends the evacuation of a zone."""
        begun = self.now

        def answered(response: wire.CommandResponse) -> None:
            ok = response.code == Code.OK
            self.history.zones.append(ZoneEvacuation(begun, self.now, response.revision if ok else None, zone, on))
            if ok:
                self.history.evacuations.append((begun, self.now, response.revision))
            self.wake(0.5 + self.rng.random(), self._read)

        self.propose(Evacuate(zone, on, name), 8.0, answered)

    def _read(self) -> None:
        to, begun = self.control(), self.now

        def answered(data: bytes | None) -> None:
            node = self.world.nodes.get(to)
            if (
                data is not None
                and wire.decode_command_response(data).code == Code.OK
                and node is not None
                and node.core.state is not None
            ):
                result = node.core.state.settings
                none = (result.doc_revision, result.doc) == FOUNDING
                self.history.reads.append((begun, self.now, result.doc_revision, result.doc))
                self.recorder.operations.append(
                    histories.Operation(
                        ObjectKind.KEY,
                        CONFIGURATION,
                        str(self.addr),
                        histories.ReadObject(),
                        begun,
                        self.now,
                        histories.OperationOutcome.DONE,
                        result.doc_revision,
                        None if none else digest(result.doc),
                    )
                )
            else:
                self.leader = wire.decode_command_response(data).leader if data is not None else None
            self.wake(0.3, self._change)

        self.call(to, "read", b"", 2.5, answered)


class LockProposer(User):
    """Acquires a lock, holds it for a while and releases it or lets it expire."""

    def __init__(self, world, addr, controls, history):
        super().__init__(world, addr, controls, history)
        self.wake(3.0, self._acquire)

    def _acquire(self) -> None:
        ask, begun = self.serial(), self.now
        ttl = 2.0
        position = self.record(ObjectKind.LOCK, "l", histories.TakeLock(str(self.addr), begun + ttl))

        def answered(response: wire.CommandResponse) -> None:
            result = _decode_result(response.body) if response.body else None
            if result is not None:
                self.recorder.record_answer(position, self.now, outcome_from_code(result.code), result.number)
            if result is None or result.code != "ok" or self.now >= begun + ttl:
                return self.wake(0.2, self._acquire)
            hold = self.rng.random() * 3
            if hold < ttl - (self.now - begun):
                self.history.holds.append([self.now, self.now + hold, result.number, str(self.addr)])
                return self.wake(hold, lambda: self._release(result.number))
            self.history.holds.append([self.now, begun + ttl, result.number, str(self.addr)])
            self.wake(begun + ttl - self.now, self._acquire)

        self.propose(Lock("l", str(self.addr), int(ttl * 1000), ask), 3.0, answered)

    def _release(self, token: int) -> None:
        position = self.record(ObjectKind.LOCK, "l", histories.FreeLock(str(self.addr), token))

        def answered(response: wire.CommandResponse) -> None:
            if response.body:
                self.recorder.record_answer(position, self.now, outcome_from_code(_decode_result(response.body).code))
            self.wake(0.1, self._acquire)

        self.propose(Unlock("l", str(self.addr), token, self.serial()), 2.0, answered)


class NumberProposer(User):
    """Draws numbers and writes a key in turn."""

    def __init__(self, world, addr, controls, history):
        super().__init__(world, addr, controls, history)
        self.wake(3.0, self._next)

    def _next(self) -> None:
        begun = self.now
        position = self.record(ObjectKind.NUMBER, "n", histories.DrawNumber())

        def answered(response: wire.CommandResponse) -> None:
            if response.body:
                self.recorder.record_answer(
                    position,
                    self.now,
                    outcome_from_code(_decode_result(response.body).code),
                    _decode_result(response.body).number,
                )
                self.history.numbers.append((begun, self.now, _decode_result(response.body).number))
            self.wake(0.1 + self.rng.random() * 0.2, self._put)

        self.propose(Next("n", self.serial()), 3.0, answered)

    def _put(self) -> None:
        value, begun = self.serial(), self.now
        position = self.record(ObjectKind.KEY, "k", histories.PutValue(value))

        def answered(response: wire.CommandResponse) -> None:
            if response.body:
                self.recorder.record_answer(
                    position,
                    self.now,
                    outcome_from_code(_decode_result(response.body).code),
                    _decode_result(response.body).number,
                )
            if response.body and _decode_result(response.body).code == "ok":
                self.history.puts.append((begun, self.now, _decode_result(response.body).number, value))
            self.wake(0.1, self._next)

        self.propose(Put("k", value, None, value), 3.0, answered)


class KeyProposer(User):
    """Reads a key and writes it, often based on the revision read; checked by revisions and real-time order."""

    def __init__(self, world, addr, controls, history):
        super().__init__(world, addr, controls, history)
        self.wake(3.0, self._read)

    def _read(self) -> None:
        to, begun, name = self.control(), self.now, f"c{self.rng.randrange(2)}"

        def answered(data: bytes | None) -> None:
            response = wire.decode_command_response(data) if data is not None else None
            node = self.world.nodes.get(to)
            if response is None or response.code != Code.OK or node is None or node.core.state is None:
                self.leader = response.leader if response is not None else None
                return self.wake(0.1, self._read)
            result = node.core.state
            value, at = result.coordination.keys.get(name, (None, 0))
            self.history.coord.ops.append(
                CoordinationCall("read", name, str(self.addr), begun, self.now, "ok", result.revision, value, None, at)
            )
            self._put(name, self.rng.choice((at, at, None)))

        self.call(to, "read", b"", 2.5, answered)

    def _put(self, name: str, base: int | None) -> None:
        value, begun = self.serial(), self.now

        op = CoordinationCall("put", name, str(self.addr), begun, 1e9, "undecided", 0, value, base)
        self.history.coord.ops.append(op)

        def answered(response: wire.CommandResponse) -> None:
            result = _decode_result(response.body) if response.body else KeyedResult("undecided")
            op.ended, op.said, op.revision = self.now, result.code, result.number
            self.wake(0.1 + self.rng.random() * 0.2, self._read)

        self.propose(Put(name, value, base, value), 3.0, answered)


class EventWatcher(User):
    """Reads events from any control process, resuming after the last revision it saw."""

    def __init__(self, world, addr, controls, history):
        super().__init__(world, addr, controls, history)
        self.since = 0
        self.every(0.3, self._poll)

    def _poll(self) -> None:
        to = self.control()

        def answered(data: bytes | None) -> None:
            response = wire.decode_command_response(data) if data is not None else None
            node = self.world.nodes.get(to)
            if response is None or response.code != Code.OK or node is None or node.core.state is None:
                self.leader = response.leader if response is not None else None
                return
            events = node.core.state.coordination.events_since(self.since, "")
            if events is None:
                self.history.compacted.append((self.now, str(self.addr), self.since))
                self.since = node.core.state.revision
                return
            for event in events:
                self.history.watched.append((self.now, str(self.addr), event.revision, event.value))
                self.since = event.revision

        self.call(to, "read", b"", 2.5, answered)
