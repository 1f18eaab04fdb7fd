from __future__ import annotations

import random

import msgspec

from mallowvalve.membership.share import Share
from mallowvalve.membership.wire import (
    ALIVE,
    ALL,
    FAILED,
    LEAVING,
    LEFT,
    SELF,
    VERSION,
    Ack,
    Head,
    Marks,
    Message,
    Ping,
    PingReq,
    Record,
    RelayPing,
    Sum,
    Sums,
    Tell,
    Want,
)
from mallowvalve.types import Address

FORGET = 600.0
QUIET = 60.0
JOIN = 0.25
YOUNG = 10.0
HEAL = 1.0
ACCUSED = 8
TRIES = 16


class Membership(Share):
    """The paper's detector (`_begin`, `_ask`, `_end`) and what joins, refutes and forgets; `Share` spreads views.

    `tick` and `receive` take seconds of any one steady clock and return datagrams to send.
    """

    __slots__ = (
        "seeds",
        "period",
        "helpers",
        "round_trip",
        "pr",
        "_start",
        "_target",
        "_acked",
        "_asked",
        "_turn",
        "_born",
        "_join_at",
        "_joined",
        "_agrees",
        "_healed",
    )

    def __init__(
        self,
        me: Record,
        fleet: str,
        seeds: list[Address],
        rng: random.Random,
        period: float,
        helpers: int,
        round_trip: float,
    ):
        super().__init__(me, fleet, rng)
        self.seeds = [s for s in seeds if s != me.addr]
        self.period, self.helpers, self.round_trip = period, helpers, round_trip
        self.pr = 0
        self._start: float | None = None
        self._target: Record | None = None
        self._acked = False
        self._asked: float | None = None
        self._turn = 0
        self._born = self._join_at = None
        self._joined = self._agrees = False
        self._healed = float("-inf")

    def timer(self) -> float:
        if self._start is None:
            return 0.0
        due = self._start + self.period
        if self._target is not None and not self._acked and self._asked is None:
            due = self._start + self.round_trip
        return min(x for x in (due, self._join_at, self._flush_at) if x is not None)

    def tick(self, now: float) -> list[tuple[Address, Message]]:
        if self._start is None:
            self._born = self._join_at = now
            self._begin(now)
        elif now >= self._start + self.period:
            self._end(now)
            self._begin(now)
        elif self._target and not self._acked and self._asked is None and now >= self._start + self.round_trip:
            self._ask(now)
        if self._join_at is not None and now >= self._join_at:
            self._join(now)
        self._flush(now)
        return self._take()

    def receive(self, m: Message, now: float) -> list[tuple[Address, Message]]:
        if m.head.version != VERSION or m.head.fleet != self.fleet or m.head.sender == self.me.addr:
            self.counts.add("membership_foreign")
            return []
        sender = m.head.sender
        if isinstance(m, Tell):
            self._merge(m, now)
        self._check_sender(m.head, now)
        match m:
            case Ping():
                self._send(m.origin, Ack(self._head(), m.origin, m.target, m.pr))
                if m.total is not None:
                    self._compare(sender, m.total)
            case PingReq() if m.target != self.me.addr:
                self._send(m.target, RelayPing(self._head(), m.origin, m.target, self.me.addr, m.pr))
            case RelayPing():
                self._send(m.relay, Ack(self._head(), m.origin, m.target, m.pr, m.relay))
            case Ack() if m.relay == self.me.addr:
                self._send(m.origin, Ack(self._head(), m.origin, m.target, m.pr))
            case Ack() if (
                m.origin == self.me.addr and m.pr == self.pr and self._target and m.target == self._target.addr
            ):
                self._acked = True
            case Sum():
                self._agrees = self._compare(sender, m.total)
                if self._agrees and m.ask:
                    self._send(sender, Sum(self._head(), m.total, False))
            case Sums():
                self._show(sender, m.sums, self._join_at is not None)
            case Marks():
                self._fill(m, now)
            case Want():
                self._give(sender, m.marks, now)
        return self._take()

    def ready(self, ready: bool) -> list[tuple[Address, Message]]:
        if self.me.ready == ready:
            return []
        return self._renew(ready=ready)

    def leave(self, final: bool) -> list[tuple[Address, Message]]:
        """One that leaves and was ready still serves those who come, until the end."""
        return self._renew(ready=self.me.ready and not final, state=LEFT if final else LEAVING)

    def _renew(self, **fields) -> list[tuple[Address, Message]]:
        self._raise(self.me.incarnation + 1, **fields)
        self._spread([self.me])
        return self._take()

    def _begin(self, now: float) -> None:
        self.pr += 1
        self._start, self._acked, self._asked, self._target = now, False, None, None
        self._forget(now)
        if self._join_at is None:
            self._seek(now)
        if not self._view.live:
            return
        self._target = self.view[self.rng.choice(self._view.live)]
        self._send(self._target.addr, Ping(self._head(), self.me.addr, self._target.addr, self.pr, self._digest.total))

    def _ask(self, now: float) -> None:
        self._asked = now
        target = self._target.addr
        for a in self._view.some(self.rng, self.helpers, target):
            self._send(a, PingReq(self._head(), self.me.addr, target, self.pr))
        self.counts.add("membership_asked")

    def _end(self, now: float) -> None:
        r = self._target
        if r is None or self._acked:
            return
        late = max(1.5 * self.round_trip, self.period - 2 * self.round_trip)
        if self._asked is None or self._asked > self._start + late or now > self._start + self.period + self.round_trip:
            self.counts.add("membership_void_period")
            return
        r = msgspec.structs.replace(r, state=FAILED)
        helpers = min(self.helpers, max(0, len(self._view.live) - 1))
        if not self._accept(r, now, f"no ack in period {self.pr}, direct or through {helpers} helpers"):
            return
        self.counts.add("membership_declared")
        self._spread([r], r.addr)

    def _join(self, now: float) -> None:
        """Until it sees its seeds and agrees with a peer a new member asks four times a second, ten seconds at most."""
        lone = self._lone()
        if now > self._born + YOUNG or self._agrees and not lone or not self.seeds and not self._view.live:
            self._join_at = None
            return
        self._join_at = now + JOIN
        for s in self.rng.sample(lone, min(len(lone), 2 if self._joined else 8)):
            self._send(s, Tell(self._head(), [self.me], ALL))
        if self._view.live:
            self._send(self.rng.choice(self._view.live), Sum(self._head(), self._digest.total, True))

    def _lone(self) -> list[Address]:
        return [s for s in self.seeds if s not in self.view or self.view[s].state > LEAVING]

    def _seek(self, now: float) -> None:
        """Looks for those outside: seeds that are not in the view, and members held as failed."""
        self._turn += 1
        live = self._view.live
        lone = self._lone()
        if lone and (not live or self._turn % 4 == 0):
            for s in lone if not live else [self.rng.choice(lone)]:
                self._send(s, Tell(self._head(), [self.me], ALL))
        n = len(live) + 1
        for a, at in self.rng.sample(list(self._seen.items()), min(len(self._seen), 8)):
            chance = TRIES / n if now - at < QUIET else TRIES / n / 4
            if self.view[a].state == FAILED and self.rng.random() < chance:
                self._send(a, Sum(self._head(), self._digest.total, False))

    def _forget(self, now: float) -> None:
        for a, at in list(self._seen.items()):
            if now - at > FORGET:
                self._drop(a)
            elif now - at > QUIET:
                self._digest.drop(a)

    def _check_sender(self, h: Head, now: float) -> None:
        r = self.view.get(h.sender)
        if r is None:
            self._send(h.sender, Tell(self._head(), [self.me], SELF if self._joined else ALL))
            return
        stale = (h.incarnation, h.boot) != (r.incarnation, r.boot) and h.incarnation <= r.incarnation
        if stale or (r.state > LEAVING and h.incarnation <= r.incarnation):
            self._send(h.sender, Tell(self._head(), [r]))
            if r.state == FAILED and r.boot == h.boot:
                self._heal(h.sender, now)
        elif h.incarnation > r.incarnation:
            self._send(h.sender, Tell(self._head(), [self.me], SELF))

    def _heal(self, sender: Address, now: float) -> None:
        """One held as failed speaks, or this node hears that it was: a cut may be over.

        Those it holds as failed are told so, to refute it before it spreads.
        """
        if now < self._healed + HEAL:
            return
        self._healed = now
        accused = self._failed(sender)
        for a in self.rng.sample(accused, min(ACCUSED, len(accused))):
            self._send(a, Tell(self._head(), [self.view[a]]))

    def _merge(self, m: Tell, now: float) -> None:
        sender, back = m.head.sender, []
        for r in m.records:
            if r.addr == self.me.addr:
                self._refute(r, sender, now)
                continue
            old = self.view.get(r.addr)
            if self._accept(r, now, f"told by {sender}"):
                self.counts.add("membership_learned")
                self._learned(r, old, now)
            elif old.state > LEAVING and r.rank < old.rank and sender != r.addr:
                back.append(old)
        if back:
            self._send(sender, Tell(self._head(), back))
        if m.share is not None:
            self._relay(m, sender)
        if m.ask == SELF:
            self._send(sender, Tell(self._head(), [self.me]))
        if m.ask == ALL:
            self._tell(sender, [self.me, *(self.view[a] for a in self.view if a in self._digest)], now)

    def _learned(self, r: Record, old: Record | None, now: float) -> None:
        if r.state <= LEAVING:
            self._joined = True
            if old is None and self._join_at is not None:
                self._introduce(r.addr, now)
        elif r.state == FAILED and self.rng.random() < ACCUSED / (len(self._view.live) + 1):
            self._send(r.addr, Tell(self._head(), [r]))

    def _refute(self, r: Record, sender: Address, now: float) -> None:
        if r.boot == self.me.boot and r.incarnation <= self.me.incarnation and r.state <= self.me.state:
            return
        if r.incarnation < self.me.incarnation:
            self._send(sender, Tell(self._head(), [self.me]))
            return
        self._raise(r.incarnation + 1)
        self.counts.add("membership_refuted")
        self._spread([self.me], sender)
        if r.boot != self.me.boot:
            return
        self._cast([self.me], self._failed(sender))
        self._heal(sender, now)

    def _failed(self, but: Address) -> list[Address]:
        return [a for a in self._seen if a != but and self.view[a].state == FAILED]


def fresh_record(addr: Address, boot: int, role: str, name: str, locality, web: Address) -> Record:
    return Record(addr, boot, 0, ALIVE, role, name, locality, web, False)
