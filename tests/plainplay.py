"""Callers with clocks of their own play against the plain machine over a bad network; what each was told is judged."""

import random
from heapq import heappop, heappush

import msgspec

from mallowvalve.coordination.plain import Count, Extend, Free, PlainCoordination, Take, Write, group_of
from verification import histories, linearizability
from verification.histories import Kind, Operation, Outcome, outcome_of

PATIENCE = 1000
KEYS = ("g.a", "g.b", "h.a")


class Told(msgspec.Struct):
    """A call as its caller saw it, in real ms; `got` is None while there is no answer. A read or watch has no command."""

    caller: str
    sent: float
    c: object
    got: float | None = None
    code: str = ""
    number: int = 0
    events: list = []


class Span(msgspec.Struct):
    name: str
    holder: str
    begin: float
    end: float


class World:
    """The core behind its log: one clock in ms, outages after which a new leader goes on from the last entry's clock."""

    def __init__(self, seed: int, make=PlainCoordination):
        self.rng = random.Random(seed)
        self.now, self._n, self._due = 0.0, 0, []
        self.plain, self.entry = make(), 0
        self._base, self._since, self._rate = 0.0, 0.0, 1 + self.rng.uniform(-1e-4, 1e-4)
        self._down = -1.0
        self.told: list[Told] = []
        self.spans: list[Span] = []
        self.at(self.rng.uniform(3000, 9000), self.outage)

    def at(self, when: float, act, *args) -> None:
        self._n += 1
        heappush(self._due, (when, self._n, act, args))

    def run(self, until: float) -> None:
        while self._due and self._due[0][0] < until:
            self.now, _, act, args = heappop(self._due)
            act(*args)

    def outage(self) -> None:
        self._down = self.now + self.rng.uniform(500, 4000)
        self._base, self._since = self.entry, self._down
        self.at(self._down + self.rng.uniform(3000, 9000), self.outage)

    def clock(self) -> int:
        return int(self._base + (self.now - self._since) * self._rate)

    def directory(self) -> float:
        return self.rng.uniform(1, 3000) if self.rng.random() < 0.1 else self.rng.uniform(1, 60)

    def lost(self) -> bool:
        return self.rng.random() < 0.1

    def call(self, t: Told, then) -> None:
        self.told.append(t)
        for _ in range(2 if self.rng.random() < 0.15 else 1):
            if not self.lost():
                self.at(self.now + self.directory(), self.arrive, t, then)
        self.at(self.now + PATIENCE, self.end, t, then)

    def arrive(self, t: Told, then) -> None:
        if self.now < self._down:
            if not self.lost():
                self.at(self._down + self.directory(), self.arrive, t, then)
            return
        said = self.do(t.c)
        if not self.lost():
            self.at(self.now + self.directory(), self.answer, t, said, then)

    def do(self, c):
        if isinstance(c, str):
            return "ok", self.plain.keys.get(c, ("", 0))[1], []
        if isinstance(c, tuple):
            got = self.plain.events_since(*c)
            return ("gone", 0, []) if got is None else ("ok", got[1], got[0])
        self.entry = max(self.entry, self.clock())
        w = self.plain.apply(c, self.entry)
        return w.code, w.number, []

    def answer(self, t: Told, said, then) -> None:
        if t.got is not None:
            return
        t.got, t.code, t.number, t.events = self.now, *said
        then(t)

    def end(self, t: Told, then) -> None:
        if t.got is None:
            t.got = float("inf")
            then(t)


class Caller:
    """Holds locks, counts, puts and watches; it repeats what got no answer, and sleeps or dies at times."""

    def __init__(self, world: World, name: str):
        self.w, self.name, self.rng = world, name, world.rng
        self.revision, self.bases, self.values = {"g.": 1, "h.": 1}, dict.fromkeys(KEYS, 0), 0
        world.at(world.rng.uniform(0, 500), self.next)

    def say(self, c, then, again=None) -> None:
        self.w.call(
            Told(self.name, self.w.now, c), lambda t: then(t) if t.got < float("inf") else (again or self.rest)()
        )

    def rest(self, *_) -> None:
        self.w.at(self.w.now + self.rng.uniform(1, 400), self.next)

    def next(self) -> None:
        self.rng.choice((self.take, self.take, self.count, self.put, self.put, self.look, self.watch))()

    def count(self) -> None:
        self.say(Count(self.rng.choice("mn")), self.rest)

    def take(self) -> None:
        c = Take(self.rng.choice("kl"), self.name, self.rng.choice((300, 1500, 3000)))
        tries = [3]

        def again():
            tries[0] -= 1
            self.say(c, self.hold, again) if tries[0] else self.rest()

        self.say(c, self.hold, again)

    def hold(self, t: Told) -> None:
        end = t.sent + t.c.hold_ms
        if t.code != "ok" or end <= self.w.now:
            return self.rest()
        span = Span(t.c.name, self.name, self.w.now, end)
        self.w.spans.append(span)
        self.keep(span, t.number)

    def keep(self, span: Span, token: int) -> None:
        what = self.rng.choice(("free", "free", "extend", "extend", "die", "sleep"))
        when = self.w.now + self.rng.uniform(1, 600)
        if what == "die":
            return self.rest()
        if what == "sleep" or when >= span.end:
            return self.w.at(span.end + self.rng.uniform(0, 1000), self.next)
        self.w.at(when, self.free if what == "free" else self.extend, span, token)

    def free(self, span: Span, token: int) -> None:
        for s in self.w.spans:
            if (s.name, s.holder) == (span.name, self.name):
                s.end = min(s.end, self.w.now)
        self.say(Free(span.name, self.name, token), self.rest)

    def extend(self, span: Span, token: int) -> None:
        def then(t: Told):
            if t.code != "ok" or self.w.now >= span.end:
                return self.give_up(span)
            span.end = max(span.end, t.sent + t.c.hold_ms)
            self.keep(span, token)

        self.say(Extend(span.name, self.name, token, self.rng.choice((300, 2000))), then, lambda: self.give_up(span))

    def give_up(self, span: Span) -> None:
        span.end = min(span.end, self.w.now)
        self.rest()

    def put(self) -> None:
        key = self.rng.choice(KEYS)
        self.values += 1
        c = Write(key, f"{self.name}-{self.values}", self.rng.choice((None, self.bases[key], self.bases[key])))
        tries = [6]

        def again():
            tries[0] -= 1
            self.say(c, then, again) if tries[0] else self.rest()

        def then(t: Told):
            self.bases[key] = t.number
            self.rest()

        self.say(c, then, again)

    def look(self) -> None:
        def then(t: Told):
            self.bases[t.c] = t.number
            self.rest()

        self.say(self.rng.choice(KEYS), then)

    def watch(self) -> None:
        g = self.rng.choice(("g.", "h."))

        def then(t: Told):
            self.revision[g] = max(1, t.number)
            self.rest()

        self.say((g, self.revision[g]), then)


def simulate(seed: int, ms: float = 60_000, make=PlainCoordination) -> World:
    w = World(seed, make)
    for i in range(4):
        Caller(w, f"a{i}")
    w.run(ms)
    return w


def judge(w: World) -> set[str]:
    """The rules that were broken."""
    told = sorted((t for t in w.told if t.got is not None and t.got < float("inf")), key=lambda t: t.got)
    return one(w, told) | order(told) | puts(w, told) | seen(w, told) | check_linearizability(w)


def one(w: World, told: list[Told]) -> set[str]:
    broken = set()
    for s in w.spans:
        if any(s.name == o.name and s.holder != o.holder and s.begin < o.end and o.begin < s.end for o in w.spans):
            broken.add("ONE two holders")
    takes = [t for t in told if isinstance(t.c, Take) and t.code == "ok"]
    for t in takes:
        for o in takes:
            if (
                o.caller != t.caller
                and o.c.name == t.c.name
                and (o.number == t.number or o.got < t.sent and o.number >= t.number)
            ):
                broken.add("ONE token")
    return broken


def order(told: list[Told]) -> set[str]:
    counts = [t for t in told if isinstance(t.c, Count)]
    for t in counts:
        for o in counts:
            if (
                o is not t
                and o.c.name == t.c.name
                and (o.number == t.number or o.got < t.sent and o.number >= t.number)
            ):
                return {"ORDER number"}
    return set()


def puts(w: World, told: list[Told]) -> set[str]:
    broken = set()
    done = [t for t in told if isinstance(t.c, Write) and t.code == "ok"]
    shown = {(e.name, e.value): e.revision for g in ("g.", "h.") for e in w.plain.events_since(g, 0)[0]}
    got = {}
    for (name, _), r in shown.items():
        got.setdefault(name, set()).add(r)
    for t in done:
        group, key = group_of(t.c.name), (t.c.name, t.c.value)
        if shown.get(key) != t.number:
            broken.add("MIXED another revision")
        if t.c.base is not None and any(t.c.base < r < t.number for r in got[t.c.name]):
            broken.add("ORDER base")
        first = min(o.sent for o in w.told if isinstance(o.c, Write) and o.c.value == t.c.value)
        if any(group_of(o.c.name) == group and o.got < first and o.number >= t.number for o in done):
            broken.add("ORDER revision")
    for t in told:
        if isinstance(t.c, Write) and t.code == "conflict":
            if (t.c.name, t.c.value) in shown:
                broken.add("REFUSED")
            if t.number and t.number not in got.get(t.c.name, ()):
                broken.add("MIXED conflict")
    return broken


def seen(w: World, told: list[Told]) -> set[str]:
    broken, acked = set(), [t for t in told if isinstance(t.c, Write) and t.code == "ok"]
    for t in told:
        if isinstance(t.c, str) and any(a.c.name == t.c and a.got < t.sent and a.number > t.number for a in acked):
            broken.add("STALE")
        if isinstance(t.c, tuple):
            want = [] if t.code == "gone" else list(range(t.c[1] + 1, t.number + 1))
            if [e.revision for e in t.events] != want:
                broken.add("ORDER watch")
    return broken


def check_linearizability(w: World) -> set[str]:
    """The rules that the checker of histories finds broken; what it left undecided is one."""
    report = linearizability.check(recorded(w))
    return {f"LINEAR {b.partition.kind}" for b in report.breaches} | {f"UNDECIDED {p}" for p in report.undecided}


def recorded(w: World) -> list[Operation]:
    """What callers were told, by names; each group's revisions besides, as numbers that rise over all its keys."""
    writes = [written(some) for some in tries(w).values()]
    revisions = [
        msgspec.structs.replace(o, kind=Kind.NUMBER, name=f"revision of {group_of(o.name)}", call=histories.Draw())
        for o in writes
        if o.outcome is Outcome.DONE
    ]
    others = [o for t in w.told if (o := other(t)) is not None]
    return writes + revisions + others


def tries(w: World) -> dict[tuple[str, str], list[Told]]:
    """Each put with its repeats: one operation, for the machine knows it by its content."""
    by: dict[tuple[str, str], list[Told]] = {}
    for t in w.told:
        if isinstance(t.c, Write):
            by.setdefault((t.c.name, t.c.value), []).append(t)
    return by


def written(some: list[Told]) -> Operation:
    """One put: from its first call to its first clear answer."""
    t = min((t for t in some if answered(t)), key=lambda t: t.got, default=some[0])
    call = histories.Put(t.c.value, t.c.base)
    return operation(Kind.KEY, t, call, min(t.sent for t in some))


def other(t: Told) -> Operation | None:
    """A call that is no put; none for a watch, and for a read without an answer."""
    match t.c:
        case Take():
            return operation(Kind.LOCK, t, histories.Take(t.c.holder, (t.sent + t.c.hold_ms) / 1000), t.sent)
        case Extend():
            call = histories.Extend(t.c.holder, t.c.token, (t.sent + t.c.hold_ms) / 1000)
            return operation(Kind.LOCK, t, call, t.sent)
        case Free():
            return operation(Kind.LOCK, t, histories.Free(t.c.holder, t.c.token), t.sent)
        case Count():
            return operation(Kind.NUMBER, t, histories.Draw(), t.sent)
        case str():
            return operation(Kind.KEY, t, histories.Read(shows_value=False), t.sent) if answered(t) else None
    return None


def answered(t: Told) -> bool:
    return t.got is not None and t.got < float("inf")


def operation(kind: Kind, t: Told, call: histories.Call, sent: float) -> Operation:
    name = t.c if isinstance(t.c, str) else t.c.name
    if not answered(t):
        return Operation(kind, name, t.caller, call, sent / 1000, None, Outcome.UNKNOWN)
    return Operation(kind, name, t.caller, call, sent / 1000, t.got / 1000, outcome_of(t.code), t.number)
