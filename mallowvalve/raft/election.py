"""Voting and campaigning of a member (Raft paper, section 5.2; the pre-vote is section 9.6 of the dissertation)."""

from __future__ import annotations

import random

from mallowvalve.metrics import Counts
from mallowvalve.raft.log import Log
from mallowvalve.raft.messages import GroupId, Message, RequestVote, VoteResponse
from mallowvalve.raft.progress import CANDIDATE, FOLLOWER, LEADER, PRE_CANDIDATE, RaftTimings


class Election:
    """The part of the Raft state machine that manages the term, the vote and the role.

    A subclass implements `_become_leader`, which runs when this member wins an election.
    """

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
        for voter in self.log.configuration.all_voters():
            if voter != self.me:
                self._after_save.append(
                    (voter, RequestVote(term, pre_vote, self.log.last_index, self.log.last_term, leader_transfer))
                )
        self._count_votes(now)

    def _on_request_vote(self, sender: str, message: RequestVote, now: float) -> None:
        up_to_date = (message.last_term, message.last_index) >= (self.log.last_term, self.log.last_index)
        if message.pre_vote:
            granted = up_to_date and message.term > self.term and not self._trusts_leader(now)
            self._after_save.append((sender, VoteResponse(message.term if granted else self.term, True, granted)))
            return
        granted = up_to_date and self.vote in ("", sender) and self.role in (FOLLOWER, PRE_CANDIDATE)
        if granted:
            self.vote = sender
            self._reset_election_timer(now)
        self._after_save.append((sender, VoteResponse(self.term, False, granted)))

    def _on_request_vote_response(self, sender: str, message: VoteResponse, now: float) -> None:
        expected_term = self.term + 1 if message.pre_vote else self.term
        if not message.granted or message.term != expected_term:
            return
        if self.role != (PRE_CANDIDATE if message.pre_vote else CANDIDATE):
            return
        self._votes.add(sender)
        self._count_votes(now)

    def _count_votes(self, now: float) -> None:
        if not self.log.configuration.has_majority(self._votes):
            return
        if self.role == PRE_CANDIDATE:
            self._campaign(now, pre_vote=False)
        elif self.role == CANDIDATE:
            self._become_leader(now)
