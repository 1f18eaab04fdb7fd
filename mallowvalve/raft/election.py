"""How a member of the cluster votes and campaigns (Raft, section 5.2; the pre-vote is the dissertation's 9.6)."""

from __future__ import annotations

import random

from mallowvalve.metrics import Counts
from mallowvalve.raft.log import Log
from mallowvalve.raft.messages import GroupId, Message, RequestVote, RequestVoteResponse
from mallowvalve.raft.progress import CANDIDATE, FOLLOWER, LEADER, PRE_CANDIDATE, RaftTimings


class Election:
    """The part of the Raft machine that holds the term, the vote and the role; `_become_leader` starts its term."""

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
        "_votes",
        "_election_at",
        "_leader_heard_at",
        "_last_leader",
        "_after_save",
    )

    me: str
    group: GroupId
    log: Log
    term: int
    vote: str
    role: str
    leader: str
    counts: Counts
    times: RaftTimings
    rng: random.Random
    halted: bool
    _votes: set[str]
    _election_at: float
    _leader_heard_at: float
    _last_leader: tuple[str, float]
    _after_save: list[tuple[str, Message]]

    @property
    def leads(self) -> bool:
        """Whether this member is the leader of its term."""
        return self.role == LEADER

    def _become_leader(self, now: float) -> None:
        raise NotImplementedError

    def _reset_election_timer(self, now: float) -> None:
        self._election_at = now + self.times.election_timeout * (1 + self.rng.random())

    def _trusts_leader(self, now: float) -> bool:
        return self.leads or bool(self.leader) and now - self._leader_heard_at < self.times.election_timeout

    def _become_follower(self, term: int, leader: str, now: float) -> None:
        if self.leads:
            self.counts.add("raft_step_down")
        if term > self.term:
            self.term, self.vote = term, ""
        self.role, self.leader = FOLLOWER, leader
        if leader:
            self._last_leader = (leader, now)
        self._votes = set()
        self._reset_election_timer(now)

    def _campaign(self, now: float, pre_vote: bool, leader_transfer: bool = False) -> None:
        self._reset_election_timer(now)
        if self.me not in self.log.configuration.all_voters() or self.halted:
            return
        self.role, self.leader, self._votes = (PRE_CANDIDATE if pre_vote else CANDIDATE), "", {self.me}
        if not pre_vote:
            self.term, self.vote = self.term + 1, self.me
            self.counts.add("raft_campaigns")
        term = self.term + 1 if pre_vote else self.term
        for v in self.log.configuration.all_voters():
            if v != self.me:
                self._after_save.append(
                    (v, RequestVote(term, pre_vote, self.log.last_index, self.log.last_term, leader_transfer))
                )
        self._count_votes(now)

    def _on_request_vote(self, src: str, m: RequestVote, now: float) -> None:
        fit = (m.last_term, m.last_index) >= (self.log.last_term, self.log.last_index)
        if m.pre_vote:
            ok = fit and m.term > self.term and not self._trusts_leader(now)
            self._after_save.append((src, RequestVoteResponse(m.term if ok else self.term, True, ok)))
            return
        ok = fit and self.vote in ("", src) and self.role in (FOLLOWER, PRE_CANDIDATE)
        if ok:
            self.vote = src
            self._reset_election_timer(now)
        self._after_save.append((src, RequestVoteResponse(self.term, False, ok)))

    def _on_request_vote_response(self, src: str, m: RequestVoteResponse, now: float) -> None:
        want = self.term + 1 if m.pre_vote else self.term
        if not m.granted or m.term != want or self.role != (PRE_CANDIDATE if m.pre_vote else CANDIDATE):
            return
        self._votes.add(src)
        self._count_votes(now)

    def _count_votes(self, now: float) -> None:
        if not self.log.configuration.has_majority(self._votes):
            return
        if self.role == PRE_CANDIDATE:
            self._campaign(now, pre_vote=False)
        elif self.role == CANDIDATE:
            self._become_leader(now)
