"""A member of a Raft group: replication, commits and changes of membership (Ongaro's dissertation, 3 and 4)."""

from __future__ import annotations

import random

from mallowvalve.metrics import Counts
from mallowvalve.raft.contact import QuorumContact
from mallowvalve.raft.election import Election
from mallowvalve.raft.handover import LeaderTransfer
from mallowvalve.raft.log import Log
from mallowvalve.raft.messages import (
    COMMAND,
    CONFIGURATION,
    NOOP,
    AppendEntries,
    AppendEntriesResponse,
    ClusterConfiguration,
    Entry,
    GroupId,
    HardState,
    InstallSnapshot,
    Message,
    RaftSnapshot,
    RequestVote,
    RequestVoteResponse,
    TimeoutNow,
    encode,
)
from mallowvalve.raft.progress import FOLLOWER, LEADER, Progress, RaftTimings, Ready
from mallowvalve.raft.rounds import HeartbeatRounds

FIRST_ELECTION_TIMEOUT_RATIO, SUSPECTED_LEADER_TIMEOUT_RATIO = 0.3, 0.25
NO_PROGRESS = Progress(0, -1e9)
NEVER = float("inf")


class Raft(Election):
    """The state machine. Its user calls `receive` and `tick`, then does what `ready` says and reports it by `saved`."""

    __slots__ = (
        "commit_index",
        "rounds",
        "broadcast_requested",
        "commit_save_due",
        "saved_commit_index",
        "_progress",
        "_heartbeat_at",
        "_saved_index",
        "_saved_term_and_vote",
        "_unsaved_entries",
        "_installed_snapshot",
        "_before_save",
        "_term_start_index",
        "_next_broadcast_at",
        "known_commit_index",
        "_quorum_contact",
        "_transfer",
        "_learner_heartbeat_at",
        "_now",
        "_newest_leader_round",
    )

    def __init__(
        self,
        me: str,
        log: Log,
        term: int,
        vote: str,
        rng: random.Random,
        now: float,
        times: RaftTimings = RaftTimings(),
        commit_index: int = 0,
    ):
        """`commit` is how far the log was known to be committed when it was last saved."""
        self.me, self.log, self.rng, self.times = me, log, rng, times
        self.group: GroupId = log.snapshot.group
        self.term, self.vote = max(term, log.snapshot.term), vote
        self.role, self.leader = FOLLOWER, ""
        self.commit_index = self.saved_commit_index = max(log.snapshot_index, min(commit_index, log.last_index))
        self.known_commit_index, self.rounds, self._quorum_contact = 0, HeartbeatRounds(), QuorumContact(now)
        self.counts, self._transfer = Counts(), LeaderTransfer()
        self.broadcast_requested = self.halted = self.commit_save_due = False
        self._votes: set[str] = set()
        self._last_leader = ("", now)
        self._progress: dict[str, Progress] = {}
        self._saved_term_and_vote = (term, vote)
        self._unsaved_entries: list[Entry] = []
        self._installed_snapshot: RaftSnapshot | None = None
        self._before_save: list[tuple[str, Message]] = []
        self._after_save: list[tuple[str, Message]] = []
        self._saved_index = log.last_index
        self._leader_heard_at = self._heartbeat_at = self._next_broadcast_at = -1e9
        self._term_start_index = 0
        self._election_at = now + times.election_timeout * (
            FIRST_ELECTION_TIMEOUT_RATIO + (1 - FIRST_ELECTION_TIMEOUT_RATIO) * rng.random()
        )
        self._learner_heartbeat_at, self._now = -1e9, now
        self._newest_leader_round = (0, 0)

    @property
    def committed_in_term(self) -> bool:
        """Whether it leads and an entry of its own term is committed, so that it knows all former commits."""
        return self.leads and self.commit_index >= self._term_start_index

    @property
    def term_start_index(self) -> int:
        """The index of a leader's first entry."""
        return self._term_start_index

    def timer(self) -> float:
        """When `tick` is due next (s)."""
        if not self.leads:
            return self._election_at
        return min(
            self._heartbeat_at,
            self._learner_heartbeat_at,
            self._next_broadcast_at if self.broadcast_requested else NEVER,
        )

    def last_quorum_contact(self) -> float:
        """When (s) it last asked what a quorum has answered since; never from when an answer came."""
        return self.rounds.last_contact() if self.leads else self._quorum_contact.confirmed_at

    def progress(self) -> dict[str, Progress]:
        """What this leader knows of each member, by id."""
        return self._progress

    def tick(self, now: float) -> None:
        """Time went on to `now` (s)."""
        self._now = now
        if self.leads:
            self._tick_leader(now)
        elif now >= self._election_at:
            self._campaign(now, pre_vote=True)

    def receive(self, src: str, m: Message, now: float) -> None:
        """A message came from the member `src` at `now` (s)."""
        self._now = now
        quiet = (
            isinstance(m, RequestVote) and m.pre_vote or isinstance(m, RequestVoteResponse) and m.pre_vote and m.granted
        )
        if (
            isinstance(m, RequestVote)
            and not m.pre_vote
            and not m.leader_transfer
            and m.term > self.term
            and self._trusts_leader(now)
        ):
            return
        if m.term > self.term and not quiet:
            self._become_follower(m.term, "", now)
        if m.term < self.term:
            if isinstance(m, AppendEntries | InstallSnapshot):
                self._after_save.append((src, AppendEntriesResponse(self.term, False, 0, m.round_number)))
            elif isinstance(m, RequestVote):
                self._after_save.append((src, RequestVoteResponse(self.term, m.pre_vote, False)))
            return
        match m:
            case RequestVote():
                self._on_request_vote(src, m, now)
            case RequestVoteResponse():
                self._on_request_vote_response(src, m, now)
            case AppendEntries():
                self._on_append_entries(src, m, now)
            case AppendEntriesResponse():
                self._on_append_entries_response(src, m, now)
            case InstallSnapshot():
                self._on_install_snapshot(src, m, now)
            case TimeoutNow() if self.me in self.log.configuration.all_voters():
                self._campaign(now, pre_vote=False, leader_transfer=True)

    def suspect_leader(self, now: float) -> None:
        """The leader may have ended: unless it speaks again soon, its time-out is not waited for."""
        if self.role != FOLLOWER or not self.leader:
            return
        self._leader_heard_at = -1e9
        self._election_at = min(
            self._election_at,
            now
            + self.times.election_timeout
            * (SUSPECTED_LEADER_TIMEOUT_RATIO + SUSPECTED_LEADER_TIMEOUT_RATIO * self.rng.random()),
        )

    def propose(self, kind: int, data: bytes, at: int) -> int | None:
        """Appends an entry and returns its index; None where this member does not lead or takes nothing now."""
        if not self.leads or self.halted or kind == COMMAND and self._transfer.in_progress(self._now):
            return None
        if kind == CONFIGURATION and (self.log.configuration_index > self.commit_index or not self.committed_in_term):
            return None
        e = Entry(self.log.last_index + 1, self.term, kind, at, data)
        self.log.append(e)
        self._unsaved_entries.append(e)
        self.broadcast_requested = True
        return e.index

    def change_configuration(self, v: ClusterConfiguration, at: int) -> int | None:
        """Begins the change to these voters and learners; the leader ends it by itself. One change at a time."""
        step = self.log.configuration.next_toward(v)
        return self.propose(CONFIGURATION, encode(step), at) if step is not None else None

    def request_confirmation_round(self) -> int:
        """The number of a round that will be sent after this moment, for a read that waits for it."""
        self.broadcast_requested = True
        return self.rounds.round_number + 1

    def transfer_leadership(self) -> None:
        """Takes no command until the voter that has most of the log holds all, and has it campaign then."""
        to = self._successor()
        if to is not None and not self._transfer.in_progress(self._now):
            self._transfer.begin(to, self._now + self.times.election_timeout)
            self.broadcast_requested = True
            self._send_timeout_now_if_caught_up(to)

    def _successor(self) -> str | None:
        """The voter that has most of the log, and was heard last; None unless this one leads."""
        voters = self.log.configuration.voters
        ahead = [(p.match_index, p.heard_at, i) for i, p in self._progress.items() if i in voters and i != self.me]
        return max(ahead)[2] if self.leads and ahead else None

    def _send_timeout_now_if_caught_up(self, to: str) -> None:
        if self._transfer.take_if_caught_up(to, self._progress_of(to).match_index, self.log.last_index, self._now):
            self._after_save.append((to, TimeoutNow(self.term)))

    def ready(self, now: float) -> Ready:
        """What is to be stored and sent now; `saved` must follow before the next call."""
        self._now = now
        if self.leads and (
            self.broadcast_requested
            and now >= self._next_broadcast_at
            or now >= min(self._heartbeat_at, self._learner_heartbeat_at)
        ):
            self._broadcast(now)
        ready = Ready(
            self._hard_state_to_save(),
            self._unsaved_entries,
            self._installed_snapshot,
            self._before_save,
            self._after_save,
            self.log.last_index,
        )
        self._unsaved_entries = []
        self._installed_snapshot = None
        self._before_save = []
        self._after_save = []
        return ready

    def _hard_state_to_save(self) -> HardState | None:
        """The hard state, unless it is stored already and nothing else is to be stored now."""
        hard = self.hard_state()
        changed = (hard.term, hard.vote) != self._saved_term_and_vote
        if not (changed or self._unsaved_entries or self.commit_save_due or self._installed_snapshot is not None):
            return None
        self._saved_term_and_vote = (hard.term, hard.vote)
        self.commit_save_due = False
        self.saved_commit_index = hard.commit_index
        return hard

    def hard_state(self) -> HardState:
        """What must be on disk before anything else is said."""
        return HardState(self.group, self.term, self.vote, self.commit_index)

    def saved(self, r: Ready) -> None:
        """What `ready` returned is on disk."""
        if r.entries and r.last_index <= self.log.last_index and self.log.term(r.last_index) == r.entries[-1].term:
            self._saved_index = max(self._saved_index, r.last_index)
        if self.leads:
            self._advance()

    def _become_leader(self, now: float) -> None:
        """The former leader is silent since its last message, not since this one's first."""
        self.role, self.leader = LEADER, self.me
        self._transfer.cancel()
        former, heard_at = self._last_leader
        self._progress = {former: Progress(self.log.last_index + 1, heard_at)} if former not in ("", self.me) else {}
        self.rounds.begin(now)
        self._term_start_index = self.log.last_index + 1
        at = self.log.entries[-1].at if self.log.entries else 0
        self.propose(NOOP, b"", at)
        self.counts.add("raft_led")

    def _tick_leader(self, now: float) -> None:
        if now - self.rounds.confirmed_at() > 2 * self.times.election_timeout:
            self._become_follower(self.term, "", now)

    def _broadcast(self, now: float) -> None:
        """Learners wait for the word of what is decided, or for the heartbeat; it may be for them alone."""
        vs, all = self.log.configuration, now >= self._learner_heartbeat_at
        self.rounds.send(now)
        to = [*vs.learners] if all else []
        if self.broadcast_requested or now >= self._heartbeat_at:
            to += vs.all_voters()
            self.broadcast_requested, self._heartbeat_at, self._next_broadcast_at = (
                False,
                now + self.times.heartbeat_interval,
                now + self.times.min_broadcast_interval,
            )
        if all:
            self._learner_heartbeat_at = now + self.times.heartbeat_interval
        for i in to:
            if i != self.me:
                self._send_append(i, now)
        self._confirm()

    def _send_append(self, i: str, now: float) -> None:
        p = self._progress.get(i)
        if p is None:
            p = self._progress[i] = Progress(self.log.last_index + 1, now)
        if p.next_index <= self.log.snapshot_index:
            if now - p.snapshot_sent_at > self.times.snapshot_retry_interval:
                p.snapshot_sent_at = now
                self._before_save.append((i, InstallSnapshot(self.term, self.log.snapshot, self.rounds.round_number)))
            return
        previous = p.next_index - 1
        entries = self.log.entries_after(previous)
        confirmed_stamp = p.contact_stamps.confirmed_stamp(self.rounds.confirmed)
        previous_term = self.log.term(previous) or 0
        m = AppendEntries(
            self.term, previous, previous_term, entries, self.commit_index, self.rounds.round_number, confirmed_stamp
        )
        if entries:
            p.next_index = entries[-1].index + 1
        self._before_save.append((i, m))

    def _record_leader_message(self, src: str, m: AppendEntries | InstallSnapshot, now: float) -> None:
        """A sign of the leader's life, unless a message that it sent later has come before: then it is an old one."""
        round_ = (m.term, m.round_number)
        if round_ <= self._newest_leader_round:
            return
        self._newest_leader_round = round_
        self._become_follower(m.term, src, now)
        self._leader_heard_at = now

    def _on_append_entries(self, src: str, m: AppendEntries, now: float) -> None:
        self._record_leader_message(src, m, now)
        self._quorum_contact.record_echo(m.confirmed_stamp, now)
        self.known_commit_index = max(self.known_commit_index, m.commit_index)
        if m.previous_index < self.log.snapshot_index:
            es = [e for e in m.entries if e.index > self.log.snapshot_index]
            prev = self.log.snapshot_index
        else:
            es, prev = m.entries, m.previous_index
            if self.log.term(prev) != m.previous_term:
                hint = min(prev - 1, self.log.last_index)
                self._after_save.append(
                    (src, AppendEntriesResponse(self.term, False, max(hint, self.commit_index), m.round_number, now))
                )
                return
        for e in es:
            had = self.log.term(e.index)
            if had == e.term:
                continue
            if had is not None:
                self.log.truncate_from(e.index)
                self._unsaved_entries = [f for f in self._unsaved_entries if f.index < e.index]
                self._saved_index = min(self._saved_index, e.index - 1)
            self.log.append(e)
            self._unsaved_entries.append(e)
        match = max(prev, es[-1].index if es else 0)
        self.commit_index = max(self.commit_index, min(m.commit_index, match))
        self._after_save.append((src, AppendEntriesResponse(self.term, True, match, m.round_number, now)))

    def _on_append_entries_response(self, src: str, m: AppendEntriesResponse, now: float) -> None:
        p = self._progress.get(src)
        if not self.leads or p is None:
            return
        if m.round_number > p.round_number:
            p.round_number, p.heard_at = m.round_number, now
        p.contact_stamps.add(m.stamp, self.rounds.round_number + 1)
        self._confirm()
        if not m.ok:
            if m.round_number >= p.min_round_number:
                p.next_index = max(p.match_index, min(p.next_index - 1, m.match_index)) + 1
                self._request_next_append(p)
            return
        p.match_index = max(p.match_index, m.match_index)
        if p.next_index <= p.match_index:
            p.next_index = p.match_index + 1
        if p.next_index <= self.log.last_index and m.round_number >= p.min_round_number:
            self._request_next_append(p)
        self._advance()
        self._send_timeout_now_if_caught_up(src)

    def _request_next_append(self, p: Progress) -> None:
        """Answers to what was sent before this cause no further one: else laggards multiply each other's messages."""
        p.min_round_number = self.rounds.round_number + 1
        self.broadcast_requested = True

    def _on_install_snapshot(self, src: str, m: InstallSnapshot, now: float) -> None:
        self._record_leader_message(src, m, now)
        if not m.snapshot.state:
            self._after_save.append(
                (src, AppendEntriesResponse(self.term, True, self.commit_index, m.round_number, now))
            )
            return
        if m.snapshot.index > self.commit_index:
            self.log.compact(m.snapshot)
            self.commit_index = m.snapshot.index
            self._installed_snapshot = m.snapshot
            self._unsaved_entries = list(self.log.entries)
            self._saved_index = self.log.snapshot_index
        self._after_save.append(
            (
                src,
                AppendEntriesResponse(
                    self.term, True, max(m.snapshot.index, self.log.snapshot_index), m.round_number, now
                ),
            )
        )

    def _confirm(self) -> None:
        self.rounds.confirm(
            self.log.configuration.majority_value(
                lambda i: self.rounds.round_number if i == self.me else self._progress_of(i).round_number
            )
        )

    def _progress_of(self, i: str) -> Progress:
        return self._progress.get(i, NO_PROGRESS)

    def _advance(self) -> None:
        n = self.log.configuration.majority_value(
            lambda i: self._saved_index if i == self.me else self._progress_of(i).match_index
        )
        if n <= self.commit_index or self.log.term(n) != self.term:
            return
        self.commit_index = self.known_commit_index = n
        due = self._now + self.times.commit_notice_delay
        self._heartbeat_at, self._learner_heartbeat_at = (
            min(self._heartbeat_at, due),
            min(self._learner_heartbeat_at, due),
        )
        if self.log.configuration_index <= n:
            self._end_change()

    def _end_change(self) -> None:
        """A committed joint configuration is followed by its final one; a leader that this leaves out steps down."""
        vs = self.log.configuration
        if vs.old_voters:
            at = self.log.entries[-1].at if self.log.entries else 0
            self.propose(CONFIGURATION, encode(vs.final_configuration()), at)
        elif self.me not in vs.voters:
            to = self._successor()
            if to is not None:
                self._after_save.append((to, TimeoutNow(self.term)))
            self.role, self.leader = FOLLOWER, ""
