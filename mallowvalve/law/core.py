from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterator
from typing import Any

from mallowvalve.count import Counts
from mallowvalve.kind import Address, Locality
from mallowvalve.law import grow
from mallowvalve.law.cut import cut, cut_settings, dump, load
from mallowvalve.law.force import Echoes
from mallowvalve.law.state import (
    SETTINGS, TIES, Change, Enrol, Evacuate, Outcome, Seats, State, Strike, Tick, command, encode, tag_of, tags,
)
from mallowvalve.law.waits import Parked, Pending, Read
from mallowvalve.law.wire import Fed, Took, Want, Who
from mallowvalve.params import Acks
from mallowvalve.vote.log import CHUNK, CHUNK_BYTES, Log
from mallowvalve.vote.raft import Raft, Ready, Times
from mallowvalve.vote.wire import COMMAND, NOOP, Entry, Envelope, Group, Hard, Picture, Voters

TOLD = tags((Change, Evacuate, Enrol, Strike, Seats))
SETTINGS_TAGS, TIES_TAGS = tags(SETTINGS), tags(TIES)
HOLD_MOST = 1.0
CURRENT, LAG = 0.5, 16
MARK = 0.03
TOLD_PACES = 3
FEED, GATHER_MOST = 0.0015, 0.15


class Core:
    __slots__ = (
        "id", "addr", "locality", "rng", "raft", "state", "echoes", "counts", "replies", "decided", "seen",
        "_pending", "_waiting", "_parked", "_reads", "_led", "_clock_base", "_clock_at", "_brought", "_ticked",
        "_grown", "_base_index", "_acks", "_news", "_clock_heard", "_clock_term", "_dropped", "_times", "_mark_at", "_seating",
        "_looked", "_look_at",
    )

    def __init__(
        self, id: str, addr: Address, locality: Locality, rng: random.Random, acks: Acks = Acks(), pace: float = 0.0,
        election: float = Times().election,
    ):
        """`pace` is the least time between two rounds to the voters, `election` how long a silent leader is waited for (s)."""
        self.id, self.addr, self.locality, self.rng = id, addr, locality, rng
        self.raft: Raft | None = None
        self.state: State | None = None
        self.counts = Counts()
        self.decided: list[tuple[Any, Outcome]] = []
        self.replies: list[tuple[Any, Took | Fed]] = []
        self.seen: dict[str, grow.Seen] = {}
        self.echoes = Echoes(locality)
        self._pending: dict[int, Pending] = {}
        self._waiting: deque[tuple[int, Pending]] = deque()
        self._parked: dict[Address, Parked] = {}
        self._reads: list[Read] = []
        self._led = False
        self._clock_base, self._clock_at = 0, 0.0
        self._brought: tuple[Group, int, State] | None = None
        self._ticked = self._grown = -1e9
        self._seating = 0
        self._looked, self._look_at = (0, 0), -1e9
        self._base_index = 0
        self._acks, self._times = acks, Times(pace=pace, told=TOLD_PACES * pace, election=election)
        self._news: deque[Entry] = deque()
        self._clock_heard = (0, 0.0)
        self._clock_term = 0
        self._mark_at: float | None = None

    def start(
        self, picture: Picture, hard: Hard | None, entries: list[Entry], now: float, ready: State | None = None,
    ) -> None:
        hard = hard if hard is not None and hard.group == picture.group else Hard(picture.group, 0, "")
        self.raft = Raft(self.id, Log(picture, entries), hard.term, hard.vote, self.rng, now, self._times, hard.commit)
        self.state = ready or load(picture.state, picture.group.generation)
        self.state.index = picture.index
        self._base_index = picture.index
        self._news, self._dropped = deque(), self.state.turned
        self._led, self._mark_at = False, None
        self._clock_heard, self._clock_term = (self.state.clock, now), 0
        self._apply(now)
        self.decided = []

    def stop(self, new_id: str) -> None:
        self.raft = self.state = None
        self.id = new_id
        self._fail_all()

    @property
    def leads(self) -> bool:
        """Whether it may answer as the leader: all that former leaders acknowledged is applied here."""
        return self.raft is not None and self.raft.settled and self.state.index >= self.raft.term_start

    @property
    def unborn(self) -> bool:
        return self.raft is not None and self.raft.commit <= self._base_index

    def leader(self) -> Address | None:
        if self.raft is None or not self.raft.leader:
            return None
        return self.raft.log.voters.address(self.raft.leader)

    def who(self, role: str, seeds: list[Address]) -> Who:
        r = self.raft
        return Who(
            role, self.id, self.addr, self.locality, seeds, r is None, r.group if r else None,
            self.state.index if r else 0, r.log.voters_at(self.state.index) if r else None, self.leader(),
        )

    def here(self, w: Who, now: float) -> None:
        if w.role == "law" and (w.group is None or self.raft and w.group == self.raft.group):
            self.seen[w.id] = grow.Seen(w.addr, w.locality, now)
            self.seen = {i: s for i, s in self.seen.items() if now - s.at < 2 * grow.FORGOTTEN}

    def wakeup(self, now: float) -> float:
        if self.raft is None:
            return now + 0.1
        return min(self._mark_at or now + 0.1, now + 0.1, self.raft.wakeup(), self._look_at if self._parked else now + 0.1)

    def tick(self, now: float) -> None:
        if self.raft is None:
            return
        self.raft.tick(now)
        self._note(now)
        self._settle(now)

    def receive(self, e: Envelope, now: float) -> None:
        if self.raft is None or e.group != self.raft.group or e.to != self.id:
            self.counts.add("vote_foreign")
            return
        self.raft.receive(e.sender, e.body, now)

    def gone(self, a: Address, now: float) -> None:
        """A neighbour's last session here ended."""
        if self.raft is not None and a == self.leader():
            self.raft.doubt(now)

    def propose(self, data: bytes, token: Any, limit: float, now: float) -> None:
        if not self.leads:
            self.replies.append((token, Took("leader", leader=self.leader())))
            return
        index = self.raft.propose(COMMAND, data, self._clock(now))
        if index is None:
            self.replies.append((token, Took("leader")))
            return
        tag = tag_of(data)
        waits = self._acks.settings if tag in SETTINGS_TAGS else self._acks.ties if tag in TIES_TAGS else "held"
        self._pending[index] = Pending(token, self.raft.term, limit, tag in SETTINGS_TAGS, waits)

    def read(self, token: Any, limit: float, now: float) -> None:
        if not self.leads:
            self.replies.append((token, Took("leader", leader=self.leader())))
            return
        self._reads.append(Read(token, self.raft.ask_quorum(), self.raft.commit, limit))

    def current(self, now: float) -> bool:
        """Whether the state here lags what was acknowledged by no more than moments."""
        r = self.raft
        if r is None or not r.in_touch(now, CURRENT) or r.log.term(self.state.index) != r.term:
            return False
        return self.state.index + LAG >= r.told

    def want(self, w: Want, token: Any, now: float) -> None:
        if not self.leads:
            self.replies.append((token, Fed(self.leader())))
            return
        old = self._parked.pop(w.addr, None)
        if old is not None:
            self.replies.append((old.token, Fed(self.addr)))
        self.echoes.heard(w, self.raft.group, self.raft.seq + 1, now)
        self._parked[w.addr] = Parked(token, w, now)
        self._look_at = now

    def _note(self, now: float) -> None:
        """Settings are noted as committed with the next batch, or with one of their own where none comes soon."""
        if self.state.turned <= self.raft.marked:
            self._mark_at = None
        elif self._mark_at is None:
            self._mark_at = now + MARK
        elif now >= self._mark_at:
            self.raft.mark, self._mark_at = True, None

    def ready(self, now: float) -> Ready | None:
        return self.raft.ready(now) if self.raft else None

    def saved(self, r: Ready, now: float) -> None:
        if r.install is not None:
            self.state = self._loaded_for(r.install)
            self._news, self._dropped = deque(), self.state.turned
            self._clock_heard, self._clock_term = (self.state.clock, now), 0
        self.raft.saved(r)
        self._apply(now)
        self._settle(now)

    def picture(self) -> tuple[Picture, Iterator[bytes]] | None:
        """The state as it is now; its pieces are made as they are asked for."""
        if self.raft is None:
            return None
        i = self.state.index
        if i < self.raft.log.base:
            return self.raft.log.picture, iter(self.raft.log.picture.state)
        return Picture(self.raft.group, i, self.raft.log.term(i), self.raft.log.voters_at(i), []), cut(self.state)

    def settings(self) -> tuple[Picture, Iterator[bytes]] | None:
        """The settings part of the state as it is now."""
        if self.raft is None or self.state.index < self.raft.log.base:
            return None
        i = self.state.index
        return Picture(self.raft.group, i, self.raft.log.term(i), self.raft.log.voters_at(i), []), cut_settings(self.state)

    def base(self) -> Picture | None:
        return self.raft.log.picture if self.raft is not None else None

    def bring(self, p: Picture, s: State) -> None:
        """A state built beside the machine from the pieces of a picture that is about to be installed."""
        self._brought = (p.group, p.index, s)

    def _loaded_for(self, p: Picture) -> State:
        group, index, s = self._brought or (None, 0, None)
        self._brought = None
        if (group, index) != (p.group, p.index):
            s = load(p.state, p.group.generation)
        s.index = p.index
        return s

    def compact(self, p: Picture) -> None:
        self.raft.log.compact(p)
        while self._news and self._news[0].index <= p.index:
            self._dropped = self._news.popleft().index

    def _clock(self, now: float) -> int:
        return self._clock_base + int((now - self._clock_at) * 1000)

    def _clock_since(self, now: float) -> int:
        """The fleet's clock by what was heard of it: never ahead, since an entry is proposed before it is applied here."""
        return self._clock_heard[0] + int((now - self._clock_heard[1]) * 1000)

    def _hear_clock(self, e: Entry, now: float) -> None:
        """Each leader's clock may run behind its predecessor's: what was heard of those says nothing of this one's."""
        if e.kind != NOOP and (e.term != self._clock_term or e.at > self._clock_since(now)):
            self._clock_heard, self._clock_term = (e.at, now), e.term

    def _apply(self, now: float) -> None:
        while self.state.index < self.raft.commit:
            e = self.raft.log.get(self.state.index + 1)
            self._hear_clock(e, now)
            out = self.state.apply(e.index, e.at, e.data if e.kind == COMMAND else b"")
            if self.state.turned == e.index:
                self._news.append(e)
                if tag_of(e.data) in TOLD:
                    c = command(e.data)
                    self.decided += [(x, out) for x in (c.steps if isinstance(c, Seats) else [c])]
            p = self._pending.pop(e.index, None)
            if p is None:
                continue
            if p.term != e.term:
                self.replies.append((p.token, Took("replaced")))
                continue
            p.outcome, p.need = out, self.state.turned if p.settings else e.index
            self._waiting.append((e.index, p))

    def _settle(self, now: float) -> None:
        if not self.raft.leads:
            if self._led:
                self._fail_all()
            self._led = False
            return
        if self.leads and not self._led:
            self._led, self._clock_at, self._seating = True, now, 0
            self._clock_base = max(self.state.clock, self._clock_since(now))
            self.echoes.begin(now)
        if not self._led:
            return
        self.echoes.watch(self.state.params, now)
        self._answer_waiting(now)
        self._answer_reads(now)
        self._answer_wants(now)
        self._housekeep(now)

    def _answer_waiting(self, now: float) -> None:
        keep: deque[tuple[int, Pending]] = deque()
        for index, p in self._waiting:
            o = p.outcome
            if self._acknowledged(p, now):
                self.replies.append((p.token, Took(o.code, o.revision, o.body)))
            elif now >= p.limit:
                self.replies.append((p.token, Took("undecided", o.revision)))
            else:
                keep.append((index, p))
        self._waiting = keep
        for i in [i for i, p in self._pending.items() if now >= p.limit]:
            self.replies.append((self._pending.pop(i).token, Took("undecided")))

    def _acknowledged(self, p: Pending, now: float) -> bool:
        if p.waits == "commit" or p.outcome.code == "invalid":
            return True
        if not self.echoes.held_elsewhere(p.need, now, p.settings):
            return False
        return p.waits == "held" or self.echoes.in_force(p.outcome.revision, now)

    def _answer_reads(self, now: float) -> None:
        keep = []
        for r in self._reads:
            if r.need <= self.raft.confirmed and r.index <= self.state.index:
                self.replies.append((r.token, Took("ok", self.state.revision_at(r.index))))
            elif now >= r.limit:
                self.replies.append((r.token, Took("undecided")))
            else:
                keep.append(r)
        self._reads = keep

    def _answer_wants(self, now: float) -> None:
        """One that was fed news a moment ago is fed the next with what else comes by then: `FEED` seconds for each echo."""
        news = (self.state.turned, self.state.index if any(p.want.parts == "all" for p in self._parked.values()) else 0)
        if news == self._looked and now < self._look_at:
            return
        self._looked, self._look_at = news, now + HOLD_MOST
        gather = min(GATHER_MOST, FEED * len(self.echoes.heard_of))
        for a, p in list(self._parked.items()):
            w, part = p.want, p.want.parts == "settings"
            same = w.group == self.raft.group
            newest = self.state.turned if part else self.state.index
            due = p.at + min(w.hold, HOLD_MOST) if w.index >= newest else self.echoes.told_at(a) + gather
            if same and now < due:
                self._look_at = min(self._look_at, due)
                continue
            del self._parked[a]
            sure = self.echoes.sure(a, self.raft.confirmed)
            entries, upto = [], self.state.index
            lacking = not same or w.index < (self._dropped if part else self.raft.log.base)
            if not lacking and part:
                entries, upto = self._news_since(w.index)
            elif not lacking:
                entries = [e for e in self.raft.log.since(w.index) if e.index <= self.state.index]
            self.echoes.fed(a, now, w.index < newest <= upto)
            self.replies.append((p.token, Fed(
                self.addr, self.raft.group, lacking, entries, upto, self.state.params.revision, sure,
                self._voters_since(w, lacking), self.state.clock, self._clock(now),
            )))

    def _voters_since(self, w: Want, lacking: bool) -> Voters | None:
        """The voters, where the echo may not know them yet."""
        told = w.hold > 0 and not lacking and w.index >= self.raft.log.voters_index
        return None if told else self.raft.log.voters_at(self.state.index)

    def _news_since(self, index: int) -> tuple[list[Entry], int]:
        """What changed the settings part after the index, and how far one is whole with it."""
        out, size = [], 0
        for e in self._news:
            if e.index <= index:
                continue
            size += len(e.data)
            if out and (size > CHUNK_BYTES or len(out) >= CHUNK):
                return out, out[-1].index
            out.append(e)
        return out, self.state.index

    def _housekeep(self, now: float) -> None:
        if now - self._ticked > 1.0 and self.state.tie.restless():
            self._ticked = now
            self.raft.propose(COMMAND, encode(Tick()), self._clock(now))
        if now - self._grown < 0.1:
            return
        self._grown = now
        v = grow.next_voters(self.raft, self.seen, now)
        if v is not None and self.raft.change_voters(v, self._clock(now)) is not None:
            self.counts.add("vote_changes")
        if self._seating > self.raft.commit:
            return
        due = self.echoes.roster_step if self._acks.settings == "force" else self.echoes.roster_steps
        step = due(self.state.params, now)
        if step is not None:
            self._seating = self.raft.propose(COMMAND, encode(step), self._clock(now)) or 0

    def _fail_all(self) -> None:
        for p in [*self._pending.values(), *(p for _, p in self._waiting)]:
            self.replies.append((p.token, Took("undecided")))
        for r in self._reads:
            self.replies.append((r.token, Took("leader")))
        for p in self._parked.values():
            self.replies.append((p.token, Fed(None)))
        self._pending, self._waiting, self._reads, self._parked = {}, deque(), [], {}


def founding(group: Group, voters: Voters, base: State | None) -> Picture:
    state = State(group.generation) if base is None else base
    state.generation = group.generation
    return Picture(group, state.index, 0, voters, dump(state))
