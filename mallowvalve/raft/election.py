"""How a member of the cluster votes and campaigns (Raft, section 5.2; the pre-vote is the dissertation's 9.6)."""

from __future__ import annotations

import random

from mallowvalve.metrics import Counts
from mallowvalve.raft.log import Log
from mallowvalve.raft.messages import Ask, Group, Message, Voice
from mallowvalve.raft.progress import CANDIDATE, FOLLOWER, LEADER, PRE, Times


class Election:
    """The part of the Raft machine that holds the term, the vote and the role; `_lead` is what winning calls."""

    __slots__ = (
        "me",
        "group",
        "log",
        "term",
        "vote",
        "role",
        "leader",
        "counts",
        "times",
        "rng",
        "halted",
        "_voices",
        "_election_at",
        "_heard",
        "_last_leader",
        "_late",
    )

    me: str
    group: Group
    log: Log
    term: int
    vote: str
    role: str
    leader: str
    counts: Counts
    times: Times
    rng: random.Random
    halted: bool
    _voices: set[str]
    _election_at: float
    _heard: float
    _last_leader: tuple[str, float]
    _late: list[tuple[str, Message]]

    @property
    def leads(self) -> bool:
        """Whether this member is the leader of its term."""
        return self.role == LEADER

    def _lead(self, now: float) -> None:
        raise NotImplementedError

    def _rest(self, now: float) -> None:
        self._election_at = now + self.times.election * (1 + self.rng.random())

    def _loyal(self, now: float) -> bool:
        return self.leads or bool(self.leader) and now - self._heard < self.times.election

    def _follow(self, term: int, leader: str, now: float) -> None:
        if self.leads:
            self.counts.add("raft_step_down")
        if term > self.term:
            self.term, self.vote = term, ""
        self.role, self.leader = FOLLOWER, leader
        if leader:
            self._last_leader = (leader, now)
        self._voices = set()
        self._rest(now)

    def _campaign(self, now: float, pre: bool, forced: bool = False) -> None:
        self._rest(now)
        if self.me not in self.log.voters.electors() or self.halted:
            return
        self.role, self.leader, self._voices = (PRE if pre else CANDIDATE), "", {self.me}
        if not pre:
            self.term, self.vote = self.term + 1, self.me
            self.counts.add("raft_campaigns")
        term = self.term + 1 if pre else self.term
        for v in self.log.voters.electors():
            if v != self.me:
                self._late.append((v, Ask(term, pre, self.log.last, self.log.last_term, forced)))
        self._count(now)

    def _on_ask(self, src: str, m: Ask, now: float) -> None:
        fit = (m.last_term, m.last_index) >= (self.log.last_term, self.log.last)
        if m.pre:
            ok = fit and m.term > self.term and not self._loyal(now)
            self._late.append((src, Voice(m.term if ok else self.term, True, ok)))
            return
        ok = fit and self.vote in ("", src) and self.role in (FOLLOWER, PRE)
        if ok:
            self.vote = src
            self._rest(now)
        self._late.append((src, Voice(self.term, False, ok)))

    def _on_voice(self, src: str, m: Voice, now: float) -> None:
        want = self.term + 1 if m.pre else self.term
        if not m.granted or m.term != want or self.role != (PRE if m.pre else CANDIDATE):
            return
        self._voices.add(src)
        self._count(now)

    def _count(self, now: float) -> None:
        if not self.log.voters.elects(self._voices):
            return
        if self.role == PRE:
            self._campaign(now, pre=False)
        elif self.role == CANDIDATE:
            self._lead(now)
