"""A member of a Raft group: replication, commits and changes of membership (Ongaro's dissertation, 3 and 4)."""

from __future__ import annotations

import random

from mallowvalve.metrics import Counts
from mallowvalve.raft.contact import Contact
from mallowvalve.raft.election import Election
from mallowvalve.raft.handover import HandOver
from mallowvalve.raft.log import Log
from mallowvalve.raft.messages import (
    COMMAND,
    NOOP,
    VOTERS,
    Append,
    Appended,
    Ask,
    Elect,
    Entry,
    Group,
    Hard,
    Install,
    Message,
    Snapshot,
    Voice,
    Voters,
    encode,
)
from mallowvalve.raft.progress import FOLLOWER, LEADER, Progress, Ready, Times
from mallowvalve.raft.rounds import Rounds

FIRST, DOUBT = 0.3, 0.25
UNHEARD = Progress(0, -1e9)
NEVER = float("inf")


class Raft(Election):
    """The state machine. Its user calls `receive` and `tick`, then does what `ready` says and reports it by `saved`."""

    __slots__ = (
        "commit",
        "rounds",
        "nudge",
        "mark",
        "marked",
        "_progress",
        "_heartbeat_at",
        "_saved",
        "_hard",
        "_fresh",
        "_install",
        "_early",
        "_term_start",
        "_paced_at",
        "told",
        "_contact",
        "_handing",
        "_all_at",
        "_now",
        "_leader_round",
    )

    def __init__(
        self,
        me: str,
        log: Log,
        term: int,
        vote: str,
        rng: random.Random,
        now: float,
        times: Times = Times(),
        commit: int = 0,
    ):
        """`commit` is how far the log was known to be committed when it was last saved."""
        self.me, self.log, self.rng, self.times = me, log, rng, times
        self.group: Group = log.snapshot.group
        self.term, self.vote = max(term, log.snapshot.term), vote
        self.role, self.leader = FOLLOWER, ""
        self.commit = self.marked = max(log.base, min(commit, log.last))
        self.told, self.rounds, self._contact = 0, Rounds(), Contact(now)
        self.counts, self._handing = Counts(), HandOver()
        self.nudge = self.halted = self.mark = False
        self._voices: set[str] = set()
        self._last_leader = ("", now)
        self._progress: dict[str, Progress] = {}
        self._hard = (term, vote)
        self._fresh: list[Entry] = []
        self._install: Snapshot | None = None
        self._early: list[tuple[str, Message]] = []
        self._late: list[tuple[str, Message]] = []
        self._saved = log.last
        self._heard = self._heartbeat_at = self._paced_at = -1e9
        self._term_start = 0
        self._election_at = now + times.election * (FIRST + (1 - FIRST) * rng.random())
        self._all_at, self._now = -1e9, now
        self._leader_round = (0, 0)

    @property
    def settled(self) -> bool:
        """Whether it leads and an entry of its own term is committed, so that it knows all former commits."""
        return self.leads and self.commit >= self._term_start

    @property
    def term_start(self) -> int:
        """The index of a leader's first entry."""
        return self._term_start

    def timer(self) -> float:
        """When `tick` is due next (s)."""
        if not self.leads:
            return self._election_at
        return min(self._heartbeat_at, self._all_at, self._paced_at if self.nudge else NEVER)

    def contact(self) -> float:
        """When (s) it last asked what a quorum has answered since; never from when an answer came."""
        return self.rounds.asked_at() if self.leads else self._contact.at

    def progress(self) -> dict[str, Progress]:
        """What this leader knows of each member, by id."""
        return self._progress

    def tick(self, now: float) -> None:
        """Time went on to `now` (s)."""
        self._now = now
        if self.leads:
            self._tick_leader(now)
        elif now >= self._election_at:
            self._campaign(now, pre=True)

    def receive(self, src: str, m: Message, now: float) -> None:
        """A message came from the member `src` at `now` (s)."""
        self._now = now
        quiet = isinstance(m, Ask) and m.pre or isinstance(m, Voice) and m.pre and m.granted
        if isinstance(m, Ask) and not m.pre and not m.forced and m.term > self.term and self._loyal(now):
            return
        if m.term > self.term and not quiet:
            self._follow(m.term, "", now)
        if m.term < self.term:
            if isinstance(m, Append | Install):
                self._late.append((src, Appended(self.term, False, 0, m.seq)))
            elif isinstance(m, Ask):
                self._late.append((src, Voice(self.term, m.pre, False)))
            return
        match m:
            case Ask():
                self._on_ask(src, m, now)
            case Voice():
                self._on_voice(src, m, now)
            case Append():
                self._on_append(src, m, now)
            case Appended():
                self._on_appended(src, m, now)
            case Install():
                self._on_install(src, m, now)
            case Elect() if self.me in self.log.voters.electors():
                self._campaign(now, pre=False, forced=True)

    def doubt(self, now: float) -> None:
        """The leader may have ended: unless it speaks again soon, its time-out is not waited for."""
        if self.role != FOLLOWER or not self.leader:
            return
        self._heard = -1e9
        self._election_at = min(self._election_at, now + self.times.election * (DOUBT + DOUBT * self.rng.random()))

    def propose(self, kind: int, data: bytes, at: int) -> int | None:
        """Appends an entry and returns its index; None where this member does not lead or takes nothing now."""
        if not self.leads or self.halted or kind == COMMAND and self._handing.under_way(self._now):
            return None
        if kind == VOTERS and (self.log.voters_index > self.commit or not self.settled):
            return None
        e = Entry(self.log.last + 1, self.term, kind, at, data)
        self.log.append(e)
        self._fresh.append(e)
        self.nudge = True
        return e.index

    def change_voters(self, v: Voters, at: int) -> int | None:
        """Begins the change to these voters and learners; the leader ends it by itself. One change at a time."""
        step = self.log.voters.toward(v)
        return self.propose(VOTERS, encode(step), at) if step is not None else None

    def ask_quorum(self) -> int:
        """The number of a round that will be sent after this moment, for a read that waits for it."""
        self.nudge = True
        return self.rounds.seq + 1

    def hand_over(self) -> None:
        """Takes no command until the voter that has most of the log holds all, and has it campaign then."""
        to = self._successor()
        if to is not None and not self._handing.under_way(self._now):
            self._handing.begin(to, self._now + self.times.election)
            self.nudge = True
            self._hand_on(to)

    def _successor(self) -> str | None:
        """The voter that has most of the log, and was heard last; None unless this one leads."""
        voters = self.log.voters.voters
        ahead = [(p.match, p.heard, i) for i, p in self._progress.items() if i in voters and i != self.me]
        return max(ahead)[2] if self.leads and ahead else None

    def _hand_on(self, to: str) -> None:
        if self._handing.ripe(to, self._of(to).match, self.log.last, self._now):
            self._late.append((to, Elect(self.term)))

    def ready(self, now: float) -> Ready:
        """What is to be stored and sent now; `saved` must follow before the next call."""
        self._now = now
        if self.leads and (self.nudge and now >= self._paced_at or now >= min(self._heartbeat_at, self._all_at)):
            self._broadcast(now)
        ready = Ready(self._hard_to_store(), self._fresh, self._install, self._early, self._late, self.log.last)
        self._fresh = []
        self._install = None
        self._early = []
        self._late = []
        return ready

    def _hard_to_store(self) -> Hard | None:
        """The hard state, unless it is stored already and nothing else is to be stored now."""
        hard = self.hard()
        changed = (hard.term, hard.vote) != self._hard
        if not (changed or self._fresh or self.mark or self._install is not None):
            return None
        self._hard = (hard.term, hard.vote)
        self.mark = False
        self.marked = hard.commit
        return hard

    def hard(self) -> Hard:
        """What must be on disk before anything else is said."""
        return Hard(self.group, self.term, self.vote, self.commit)

    def saved(self, r: Ready) -> None:
        """What `ready` returned is on disk."""
        if r.entries and r.last <= self.log.last and self.log.term(r.last) == r.entries[-1].term:
            self._saved = max(self._saved, r.last)
        if self.leads:
            self._advance()

    def _lead(self, now: float) -> None:
        """The former leader is silent since its last message, not since this one's first."""
        self.role, self.leader = LEADER, self.me
        self._handing.end()
        former, heard_at = self._last_leader
        self._progress = {former: Progress(self.log.last + 1, heard_at)} if former not in ("", self.me) else {}
        self.rounds.begin(now)
        self._term_start = self.log.last + 1
        at = self.log.entries[-1].at if self.log.entries else 0
        self.propose(NOOP, b"", at)
        self.counts.add("raft_led")

    def _tick_leader(self, now: float) -> None:
        if now - self.rounds.confirmed_at() > 2 * self.times.election:
            self._follow(self.term, "", now)

    def _broadcast(self, now: float) -> None:
        """Learners wait for the word of what is decided, or for the heartbeat; it may be for them alone."""
        vs, all = self.log.voters, now >= self._all_at
        self.rounds.send(now)
        to = [*vs.learners] if all else []
        if self.nudge or now >= self._heartbeat_at:
            to += vs.electors()
            self.nudge, self._heartbeat_at, self._paced_at = False, now + self.times.heartbeat, now + self.times.pace
        if all:
            self._all_at = now + self.times.heartbeat
        for i in to:
            if i != self.me:
                self._send_append(i, now)
        self._confirm()

    def _send_append(self, i: str, now: float) -> None:
        p = self._progress.get(i)
        if p is None:
            p = self._progress[i] = Progress(self.log.last + 1, now)
        if p.next <= self.log.base:
            if now - p.snapshot_at > self.times.snapshot_again:
                p.snapshot_at = now
                self._early.append((i, Install(self.term, self.log.snapshot, self.rounds.seq)))
            return
        previous = p.next - 1
        entries = self.log.since(previous)
        sure = p.questions.sure(self.rounds.confirmed)
        previous_term = self.log.term(previous) or 0
        m = Append(self.term, previous, previous_term, entries, self.commit, self.rounds.seq, sure)
        if entries:
            p.next = entries[-1].index + 1
        self._early.append((i, m))

    def _hear_leader(self, src: str, m: Append | Install, now: float) -> None:
        """A sign of the leader's life, unless a message that it sent later has come before: then it is an old one."""
        round_ = (m.term, m.seq)
        if round_ <= self._leader_round:
            return
        self._leader_round = round_
        self._follow(m.term, src, now)
        self._heard = now

    def _on_append(self, src: str, m: Append, now: float) -> None:
        self._hear_leader(src, m, now)
        self._contact.hear(m.sure, now)
        self.told = max(self.told, m.commit)
        if m.prev_index < self.log.base:
            es = [e for e in m.entries if e.index > self.log.base]
            prev = self.log.base
        else:
            es, prev = m.entries, m.prev_index
            if self.log.term(prev) != m.prev_term:
                hint = min(prev - 1, self.log.last)
                self._late.append((src, Appended(self.term, False, max(hint, self.commit), m.seq, now)))
                return
        for e in es:
            had = self.log.term(e.index)
            if had == e.term:
                continue
            if had is not None:
                self.log.cut(e.index)
                self._fresh = [f for f in self._fresh if f.index < e.index]
                self._saved = min(self._saved, e.index - 1)
            self.log.append(e)
            self._fresh.append(e)
        match = max(prev, es[-1].index if es else 0)
        self.commit = max(self.commit, min(m.commit, match))
        self._late.append((src, Appended(self.term, True, match, m.seq, now)))

    def _on_appended(self, src: str, m: Appended, now: float) -> None:
        p = self._progress.get(src)
        if not self.leads or p is None:
            return
        if m.seq > p.seq:
            p.seq, p.heard = m.seq, now
        p.questions.ask(m.stamp, self.rounds.seq + 1)
        self._confirm()
        if not m.ok:
            if m.seq >= p.floor:
                p.next = max(p.match, min(p.next - 1, m.match)) + 1
                self._go_on(p)
            return
        p.match = max(p.match, m.match)
        if p.next <= p.match:
            p.next = p.match + 1
        if p.next <= self.log.last and m.seq >= p.floor:
            self._go_on(p)
        self._advance()
        self._hand_on(src)

    def _go_on(self, p: Progress) -> None:
        """Answers to what was sent before this cause no further one: else laggards multiply each other's messages."""
        p.floor = self.rounds.seq + 1
        self.nudge = True

    def _on_install(self, src: str, m: Install, now: float) -> None:
        self._hear_leader(src, m, now)
        if not m.snapshot.state:
            self._late.append((src, Appended(self.term, True, self.commit, m.seq, now)))
            return
        if m.snapshot.index > self.commit:
            self.log.compact(m.snapshot)
            self.commit = m.snapshot.index
            self._install = m.snapshot
            self._fresh = list(self.log.entries)
            self._saved = self.log.base
        self._late.append((src, Appended(self.term, True, max(m.snapshot.index, self.log.base), m.seq, now)))

    def _confirm(self) -> None:
        self.rounds.confirm(self.log.voters.agreed(lambda i: self.rounds.seq if i == self.me else self._of(i).seq))

    def _of(self, i: str) -> Progress:
        return self._progress.get(i, UNHEARD)

    def _advance(self) -> None:
        n = self.log.voters.agreed(lambda i: self._saved if i == self.me else self._of(i).match)
        if n <= self.commit or self.log.term(n) != self.term:
            return
        self.commit = self.told = n
        due = self._now + self.times.told
        self._heartbeat_at, self._all_at = min(self._heartbeat_at, due), min(self._all_at, due)
        if self.log.voters_index <= n:
            self._end_change()

    def _end_change(self) -> None:
        """A committed joint configuration is followed by its final one; a leader that this leaves out steps down."""
        vs = self.log.voters
        if vs.old:
            at = self.log.entries[-1].at if self.log.entries else 0
            self.propose(VOTERS, encode(vs.final()), at)
        elif self.me not in vs.voters:
            to = self._successor()
            if to is not None:
                self._late.append((to, Elect(self.term)))
            self.role, self.leader = FOLLOWER, ""
