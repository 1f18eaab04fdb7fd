"""Simulates callers with their own clocks against `PlainCoordination` over an unreliable network, and checks answers."""

import random
from heapq import heappop, heappush

import msgspec

from mallowvalve.coordination.plain import Count, Extend, Free, PlainCoordination, Take, Write, group_of
from verification import histories, linearizability
from verification.histories import ObjectKind, Operation, OperationOutcome, outcome_from_code

CALL_TIMEOUT_MS = 1000
KEYS = ("g.a", "g.b", "h.a")


class CallRecord(msgspec.Struct):
    """A call as its caller saw it, in real ms.

    `answered_ms` is None while the call runs, infinite after a timeout. In place of a command, a read has the key, a
    watch the group and revision.
    """

    caller: str
    sent_ms: float
    command: object
    answered_ms: float | None = None
    code: str = ""
    number: int = 0
    events: list = []


class HeldInterval(msgspec.Struct):
    """The time (real ms) in which a caller counts on a lock."""

    name: str
    holder: str
    begin_ms: float
    end_ms: float


class PlainSimulation:
    """A control process behind its log: one clock, and outages.

    After an outage a new leader continues from the time of the last entry.
    """

    def __init__(self, seed: int, make=PlainCoordination):
        self.rng = random.Random(seed)
        self.now_ms, self._scheduled, self._queue = 0.0, 0, []
        self.plain, self.last_entry_ms = make(), 0
        self._clock_base_ms, self._clock_start_ms, self._clock_rate = 0.0, 0.0, 1 + self.rng.uniform(-1e-4, 1e-4)
        self._down_until_ms = -1.0
        self.calls: list[CallRecord] = []
        self.intervals: list[HeldInterval] = []
        self.schedule(self.rng.uniform(3000, 9000), self.start_outage)

    def schedule(self, time_ms: float, action, *args) -> None:
        self._scheduled += 1
        heappush(self._queue, (time_ms, self._scheduled, action, args))

    def run(self, until_ms: float) -> None:
        while self._queue and self._queue[0][0] < until_ms:
            self.now_ms, _, action, args = heappop(self._queue)
            action(*args)

    def start_outage(self) -> None:
        self._down_until_ms = self.now_ms + self.rng.uniform(500, 4000)
        self._clock_base_ms, self._clock_start_ms = self.last_entry_ms, self._down_until_ms
        self.schedule(self._down_until_ms + self.rng.uniform(3000, 9000), self.start_outage)

    def clock_ms(self) -> int:
        return int(self._clock_base_ms + (self.now_ms - self._clock_start_ms) * self._clock_rate)

    def network_delay_ms(self) -> float:
        return self.rng.uniform(1, 3000) if self.rng.random() < 0.1 else self.rng.uniform(1, 60)

    def is_lost(self) -> bool:
        return self.rng.random() < 0.1

    def call(self, record: CallRecord, done) -> None:
        self.calls.append(record)
        for _ in range(2 if self.rng.random() < 0.15 else 1):
            if not self.is_lost():
                self.schedule(self.now_ms + self.network_delay_ms(), self.arrive, record, done)
        self.schedule(self.now_ms + CALL_TIMEOUT_MS, self.time_out, record, done)

    def arrive(self, record: CallRecord, done) -> None:
        if self.now_ms < self._down_until_ms:
            if not self.is_lost():
                self.schedule(self._down_until_ms + self.network_delay_ms(), self.arrive, record, done)
            return
        answer = self.execute(record.command)
        if not self.is_lost():
            self.schedule(self.now_ms + self.network_delay_ms(), self.deliver_answer, record, answer, done)

    def execute(self, command):
        if isinstance(command, str):
            return "ok", self.plain.keys.get(command, ("", 0))[1], []
        if isinstance(command, tuple):
            found = self.plain.events_since(*command)
            return ("gone", 0, []) if found is None else ("ok", found[1], found[0])
        self.last_entry_ms = max(self.last_entry_ms, self.clock_ms())
        result = self.plain.apply(command, self.last_entry_ms)
        return result.code, result.number, []

    def deliver_answer(self, record: CallRecord, answer, done) -> None:
        if record.answered_ms is not None:
            return
        record.answered_ms, record.code, record.number, record.events = self.now_ms, *answer
        done(record)

    def time_out(self, record: CallRecord, done) -> None:
        if record.answered_ms is None:
            record.answered_ms = float("inf")
            done(record)


class PlainCaller:
    """Takes locks, draws numbers, writes, reads and watches; repeats unanswered calls, and at times pauses or crashes."""

    def __init__(self, simulation: PlainSimulation, name: str):
        self.simulation, self.name, self.rng = simulation, name, simulation.rng
        self.revisions, self.bases, self.values = {"g.": 1, "h.": 1}, dict.fromkeys(KEYS, 0), 0
        simulation.schedule(simulation.rng.uniform(0, 500), self.next_action)

    def call(self, command, done, retry=None) -> None:
        self.simulation.call(
            CallRecord(self.name, self.simulation.now_ms, command),
            lambda record: done(record) if record.answered_ms < float("inf") else (retry or self.pause)(),
        )

    def pause(self, *_) -> None:
        self.simulation.schedule(self.simulation.now_ms + self.rng.uniform(1, 400), self.next_action)

    def next_action(self) -> None:
        self.rng.choice((self.take, self.take, self.count, self.write, self.write, self.read, self.watch))()

    def count(self) -> None:
        self.call(Count(self.rng.choice("mn")), self.pause)

    def take(self) -> None:
        command = Take(self.rng.choice("kl"), self.name, self.rng.choice((300, 1500, 3000)))
        tries_left = [3]

        def retry():
            tries_left[0] -= 1
            self.call(command, self.hold, retry) if tries_left[0] else self.pause()

        self.call(command, self.hold, retry)

    def hold(self, record: CallRecord) -> None:
        end_ms = record.sent_ms + record.command.hold_ms
        if record.code != "ok" or end_ms <= self.simulation.now_ms:
            return self.pause()
        interval = HeldInterval(record.command.name, self.name, self.simulation.now_ms, end_ms)
        self.simulation.intervals.append(interval)
        self.use_lock(interval, record.number)

    def use_lock(self, interval: HeldInterval, token: int) -> None:
        action = self.rng.choice(("free", "free", "extend", "extend", "crash", "sleep"))
        time_ms = self.simulation.now_ms + self.rng.uniform(1, 600)
        if action == "crash":
            return self.pause()
        if action == "sleep" or time_ms >= interval.end_ms:
            return self.simulation.schedule(interval.end_ms + self.rng.uniform(0, 1000), self.next_action)
        self.simulation.schedule(time_ms, self.free if action == "free" else self.extend, interval, token)

    def free(self, interval: HeldInterval, token: int) -> None:
        for held in self.simulation.intervals:
            if (held.name, held.holder) == (interval.name, self.name):
                held.end_ms = min(held.end_ms, self.simulation.now_ms)
        self.call(Free(interval.name, self.name, token), self.pause)

    def extend(self, interval: HeldInterval, token: int) -> None:
        def done(record: CallRecord):
            if record.code != "ok" or self.simulation.now_ms >= interval.end_ms:
                return self.give_up(interval)
            interval.end_ms = max(interval.end_ms, record.sent_ms + record.command.hold_ms)
            self.use_lock(interval, token)

        command = Extend(interval.name, self.name, token, self.rng.choice((300, 2000)))
        self.call(command, done, lambda: self.give_up(interval))

    def give_up(self, interval: HeldInterval) -> None:
        interval.end_ms = min(interval.end_ms, self.simulation.now_ms)
        self.pause()

    def write(self) -> None:
        key = self.rng.choice(KEYS)
        self.values += 1
        base = self.rng.choice((None, self.bases[key], self.bases[key]))
        command = Write(key, f"{self.name}-{self.values}", base)
        tries_left = [6]

        def retry():
            tries_left[0] -= 1
            self.call(command, done, retry) if tries_left[0] else self.pause()

        def done(record: CallRecord):
            self.bases[key] = record.number
            self.pause()

        self.call(command, done, retry)

    def read(self) -> None:
        def done(record: CallRecord):
            self.bases[record.command] = record.number
            self.pause()

        self.call(self.rng.choice(KEYS), done)

    def watch(self) -> None:
        group = self.rng.choice(("g.", "h."))

        def done(record: CallRecord):
            self.revisions[group] = max(1, record.number)
            self.pause()

        self.call((group, self.revisions[group]), done)


def simulate(seed: int, duration_ms: float = 60_000, make=PlainCoordination) -> PlainSimulation:
    simulation = PlainSimulation(seed, make)
    for i in range(4):
        PlainCaller(simulation, f"a{i}")
    simulation.run(duration_ms)
    return simulation


def broken_rules(simulation: PlainSimulation) -> set[str]:
    """Returns the rules that the answered calls break."""
    calls = sorted((call for call in simulation.calls if answered(call)), key=lambda call: call.answered_ms)
    return (
        broken_lock_rules(simulation, calls)
        | broken_number_order(calls)
        | broken_write_rules(simulation, calls)
        | broken_read_rules(simulation, calls)
        | check_linearizability(simulation)
    )


def broken_lock_rules(simulation: PlainSimulation, calls: list[CallRecord]) -> set[str]:
    broken = set()
    held = simulation.intervals
    for one in held:
        if any(
            one.name == other.name
            and one.holder != other.holder
            and one.begin_ms < other.end_ms
            and other.begin_ms < one.end_ms
            for other in held
        ):
            broken.add("ONE two holders")
    takes = [call for call in calls if isinstance(call.command, Take) and call.code == "ok"]
    for take in takes:
        for other in takes:
            if (
                other.caller != take.caller
                and other.command.name == take.command.name
                and (other.number == take.number or other.answered_ms < take.sent_ms and other.number >= take.number)
            ):
                broken.add("ONE token")
    return broken


def broken_number_order(calls: list[CallRecord]) -> set[str]:
    counts = [call for call in calls if isinstance(call.command, Count)]
    for count in counts:
        for other in counts:
            if (
                other is not count
                and other.command.name == count.command.name
                and (other.number == count.number or other.answered_ms < count.sent_ms and other.number >= count.number)
            ):
                return {"ORDER number"}
    return set()


def broken_write_rules(simulation: PlainSimulation, calls: list[CallRecord]) -> set[str]:
    broken = set()
    done = [call for call in calls if isinstance(call.command, Write) and call.code == "ok"]
    applied = {(e.name, e.value): e.revision for g in ("g.", "h.") for e in simulation.plain.events_since(g, 0)[0]}
    revisions = {}
    for (name, _), revision in applied.items():
        revisions.setdefault(name, set()).add(revision)
    for call in done:
        command, number = call.command, call.number
        group, key = group_of(command.name), (command.name, command.value)
        if applied.get(key) != number:
            broken.add("MIXED another revision")
        if command.base is not None and any(command.base < revision < number for revision in revisions[command.name]):
            broken.add("ORDER base")
        first_sent_ms = min(
            other.sent_ms
            for other in simulation.calls
            if isinstance(other.command, Write) and other.command.value == command.value
        )
        if any(
            group_of(other.command.name) == group and other.answered_ms < first_sent_ms and other.number >= number
            for other in done
        ):
            broken.add("ORDER revision")
    for call in calls:
        if isinstance(call.command, Write) and call.code == "conflict":
            if (call.command.name, call.command.value) in applied:
                broken.add("REFUSED")
            if call.number and call.number not in revisions.get(call.command.name, ()):
                broken.add("MIXED conflict")
    return broken


def broken_read_rules(simulation: PlainSimulation, calls: list[CallRecord]) -> set[str]:
    broken, writes = set(), [call for call in calls if isinstance(call.command, Write) and call.code == "ok"]
    for call in calls:
        if isinstance(call.command, str) and any(
            write.command.name == call.command and write.answered_ms < call.sent_ms and write.number > call.number
            for write in writes
        ):
            broken.add("STALE")
        if isinstance(call.command, tuple):
            expected = [] if call.code == "gone" else list(range(call.command[1] + 1, call.number + 1))
            if [event.revision for event in call.events] != expected:
                broken.add("ORDER watch")
    return broken


def check_linearizability(simulation: PlainSimulation) -> set[str]:
    """Returns the rules that the linearizability checker finds broken; what it leaves undecided counts as broken."""
    report = linearizability.check(recorded(simulation))
    return {f"LINEAR {b.partition.kind}" for b in report.violations} | {f"UNDECIDED {p}" for p in report.undecided}


def recorded(simulation: PlainSimulation) -> list[Operation]:
    """Returns the calls as operations, and besides each group's revisions, as numbers that rise over all its keys."""
    writes = [write_operation(attempts) for attempts in write_attempts(simulation).values()]
    revisions = [
        msgspec.structs.replace(
            o, kind=ObjectKind.NUMBER, name=f"revision of {group_of(o.name)}", call=histories.DrawNumber()
        )
        for o in writes
        if o.outcome is OperationOutcome.DONE
    ]
    others = [o for call in simulation.calls if (o := other_operation(call)) is not None]
    return writes + revisions + others


def write_attempts(simulation: PlainSimulation) -> dict[tuple[str, str], list[CallRecord]]:
    """Groups the attempts of each write: they are one operation, as writes are deduplicated by content."""
    attempts: dict[tuple[str, str], list[CallRecord]] = {}
    for call in simulation.calls:
        if isinstance(call.command, Write):
            attempts.setdefault((call.command.name, call.command.value), []).append(call)
    return attempts


def write_operation(attempts: list[CallRecord]) -> Operation:
    """Returns the operation of one write, from its first attempt to its first answer."""
    call = min((c for c in attempts if answered(c)), key=lambda c: c.answered_ms, default=attempts[0])
    put = histories.PutValue(call.command.value, call.command.base)
    return operation(ObjectKind.KEY, call, put, min(c.sent_ms for c in attempts))


def other_operation(call: CallRecord) -> Operation | None:
    """Returns the operation of a call that is no write; None for a watch and for a read without an answer."""
    command, sent_ms = call.command, call.sent_ms
    match command:
        case Take():
            take = histories.TakeLock(command.holder, (sent_ms + command.hold_ms) / 1000)
            return operation(ObjectKind.LOCK, call, take, sent_ms)
        case Extend():
            extend = histories.ExtendLock(command.holder, command.token, (sent_ms + command.hold_ms) / 1000)
            return operation(ObjectKind.LOCK, call, extend, sent_ms)
        case Free():
            return operation(ObjectKind.LOCK, call, histories.FreeLock(command.holder, command.token), sent_ms)
        case Count():
            return operation(ObjectKind.NUMBER, call, histories.DrawNumber(), sent_ms)
        case str():
            return (
                operation(ObjectKind.KEY, call, histories.ReadObject(shows_value=False), sent_ms)
                if answered(call)
                else None
            )
    return None


def answered(call: CallRecord) -> bool:
    return call.answered_ms is not None and call.answered_ms < float("inf")


def operation(kind: ObjectKind, call: CallRecord, invocation: histories.OperationCall, sent_ms: float) -> Operation:
    name = call.command if isinstance(call.command, str) else call.command.name
    if not answered(call):
        return Operation(kind, name, call.caller, invocation, sent_ms / 1000, None, OperationOutcome.UNKNOWN)
    outcome = outcome_from_code(call.code)
    return Operation(kind, name, call.caller, invocation, sent_ms / 1000, call.answered_ms / 1000, outcome, call.number)
