"""A member of a Raft group: replication, commits and membership changes (Ongaro's dissertation, chapters 3 and 4)."""

from __future__ import annotations

import random

from mallowvalve.metrics import Counts
from mallowvalve.raft.contact import QuorumContact
from mallowvalve.raft.follower import FollowerReplication
from mallowvalve.raft.leader_transfer import LeaderTransfer
from mallowvalve.raft.log import Log
from mallowvalve.raft.messages import (
    COMMAND,
    CONFIGURATION,
    NO_ROUND,
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
    TimeoutNow,
    VoteResponse,
    encode,
)
from mallowvalve.raft.progress import FOLLOWER, LEADER, Progress, RaftTimings, Ready
from mallowvalve.raft.rounds import HeartbeatRounds

FIRST_ELECTION_TIMEOUT_RATIO = 0.3
"""The minimum wait for the first election after a start, as a ratio of the election timeout."""

SUSPECTED_LEADER_TIMEOUT_RATIO = 0.25
"""The minimum wait for an election once the leader is suspected, as a ratio of the election timeout."""

NO_PROGRESS = Progress(0, -1e9)
NEVER_S = float("inf")


class Raft(FollowerReplication):
    """The Raft state machine.

    The caller passes events to `receive` and `tick`, performs the work that `ready` returns and confirms it by `saved`.
    Setting `broadcast_requested` or `commit_save_due` makes the next `ready` send a round or save the commit index.
    """

    __slots__ = (
        "rounds",
        "broadcast_requested",
        "commit_save_due",
        "saved_commit_index",
        "_progress",
        "_heartbeat_at",
        "_saved_term_and_vote",
        "_before_save",
        "_term_start_index",
        "_next_broadcast_at",
        "_transfer",
        "_learner_heartbeat_at",
        "_now",
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
        """Creates a follower from its stored state; `commit_index` is the last saved commit index."""
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
        first_ratio = FIRST_ELECTION_TIMEOUT_RATIO + (1 - FIRST_ELECTION_TIMEOUT_RATIO) * rng.random()
        self._election_at = now + times.election_timeout * first_ratio
        self._learner_heartbeat_at, self._now = -1e9, now
        self._newest_leader_round = (0, 0)

    @property
    def committed_in_term(self) -> bool:
        """Whether it leads and has committed an entry of its own term, and so knows all earlier commits."""
        return self.leads and self.commit_index >= self._term_start_index

    @property
    def term_start_index(self) -> int:
        """The index of the leader's first entry in its term."""
        return self._term_start_index

    def timer(self) -> float:
        """Returns the time at which `tick` is due next (s)."""
        if not self.leads:
            return self._election_at
        next_broadcast_at = self._next_broadcast_at if self.broadcast_requested else NEVER_S
        return min(self._heartbeat_at, self._learner_heartbeat_at, next_broadcast_at)

    def last_quorum_contact(self) -> float:
        """Returns the send time (s) of the latest request that a quorum has answered, not the time of an answer."""
        return self.rounds.last_contact() if self.leads else self._quorum_contact.confirmed_at

    def progress(self) -> dict[str, Progress]:
        """Returns the leader's view of each member, by id."""
        return self._progress

    def tick(self, now: float) -> None:
        """Advances the clock to `now` (s)."""
        self._now = now
        if self.leads:
            self._tick_leader(now)
        elif now >= self._election_at:
            self._campaign(now, pre_vote=True)

    def receive(self, sender: str, message: Message, now: float) -> None:
        """Processes a message from a member that arrives at `now` (s)."""
        self._now = now
        no_new_term = (
            isinstance(message, RequestVote)
            and message.pre_vote
            or isinstance(message, VoteResponse)
            and message.pre_vote
            and message.granted
        )
        if (
            isinstance(message, RequestVote)
            and not message.pre_vote
            and not message.leader_transfer
            and message.term > self.term
            and self._trusts_leader(now)
        ):
            return
        if message.term > self.term and not no_new_term:
            self._become_follower(message.term, "", now)
        if message.term < self.term:
            if isinstance(message, AppendEntries | InstallSnapshot):
                self._after_save.append((sender, AppendEntriesResponse(self.term, False, 0, NO_ROUND)))
            elif isinstance(message, RequestVote):
                self._after_save.append((sender, VoteResponse(self.term, message.pre_vote, False)))
            return
        match message:
            case RequestVote():
                self._on_request_vote(sender, message, now)
            case VoteResponse():
                self._on_request_vote_response(sender, message, now)
            case AppendEntries():
                self._on_append_entries(sender, message, now)
            case AppendEntriesResponse():
                self._on_append_entries_response(sender, message, now)
            case InstallSnapshot():
                self._on_install_snapshot(sender, message, now)
            case TimeoutNow() if self.me in self.log.configuration.all_voters():
                self._campaign(now, pre_vote=False, leader_transfer=True)

    def suspect_leader(self, now: float) -> None:
        """Shortens the wait for an election, because the leader may have failed; a later leader message resets it."""
        if self.role != FOLLOWER or not self.leader:
            return
        self._leader_heard_at = -1e9
        ratio = SUSPECTED_LEADER_TIMEOUT_RATIO + SUSPECTED_LEADER_TIMEOUT_RATIO * self.rng.random()
        self._election_at = min(self._election_at, now + self.times.election_timeout * ratio)

    def propose(self, kind: int, data: bytes, at: int) -> int | None:
        """Appends an entry and returns its index.

        Returns None if this member is not the leader or currently accepts no such entry.
        """
        if not self.leads or self.halted or kind == COMMAND and self._transfer.in_progress(self._now):
            return None
        if kind == CONFIGURATION and (self.log.configuration_index > self.commit_index or not self.committed_in_term):
            return None
        entry = Entry(self.log.last_index + 1, self.term, kind, at, data)
        self.log.append(entry)
        self._unsaved_entries.append(entry)
        self.broadcast_requested = True
        return entry.index

    def change_configuration(self, wanted: ClusterConfiguration, at: int) -> int | None:
        """Begins a change to these voters and learners, which the leader completes by itself; one change at a time."""
        step = self.log.configuration.next_toward(wanted)
        return self.propose(CONFIGURATION, encode(step), at) if step is not None else None

    def request_confirmation_round(self) -> int:
        """Requests a round and returns its number, for a read that waits for the round's confirmation."""
        self.broadcast_requested = True
        return self.rounds.round_number + 1

    def transfer_leadership(self) -> None:
        """Rejects commands until the most up-to-date voter has caught up, then tells it to campaign."""
        successor = self._successor()
        if successor is not None and not self._transfer.in_progress(self._now):
            self._transfer.begin(successor, self._now + self.times.election_timeout)
            self.broadcast_requested = True
            self._send_timeout_now_if_caught_up(successor)

    def _successor(self) -> str | None:
        """Returns the voter with the highest match index, then the latest response; None unless this member leads."""
        voters = self.log.configuration.voters
        ahead = [(p.match_index, p.heard_at, i) for i, p in self._progress.items() if i in voters and i != self.me]
        return max(ahead)[2] if self.leads and ahead else None

    def _send_timeout_now_if_caught_up(self, voter: str) -> None:
        match_index = self._progress_of(voter).match_index
        if self._transfer.take_if_caught_up(voter, match_index, self.log.last_index, self._now):
            self._after_save.append((voter, TimeoutNow(self.term)))

    def ready(self, now: float) -> Ready:
        """Returns the work to save and send now; the caller must call `saved` before the next call."""
        self._now = now
        round_due = self.broadcast_requested and now >= self._next_broadcast_at
        if self.leads and (round_due or now >= min(self._heartbeat_at, self._learner_heartbeat_at)):
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
        """Returns the hard state, or None if it is already saved and nothing else is to be saved now."""
        hard_state = self.hard_state()
        changed = (hard_state.term, hard_state.vote) != self._saved_term_and_vote
        if not (changed or self._unsaved_entries or self.commit_save_due or self._installed_snapshot is not None):
            return None
        self._saved_term_and_vote = (hard_state.term, hard_state.vote)
        self.commit_save_due = False
        self.saved_commit_index = hard_state.commit_index
        return hard_state

    def hard_state(self) -> HardState:
        """Returns the state that must be on disk before any message that depends on it is sent."""
        return HardState(self.group, self.term, self.vote, self.commit_index)

    def saved(self, ready: Ready) -> None:
        """Confirms that the work returned by `ready` is on disk."""
        last = ready.last_index
        if ready.entries and last <= self.log.last_index and self.log.term(last) == ready.entries[-1].term:
            self._saved_index = max(self._saved_index, last)
        if self.leads:
            self._advance()

    def _become_leader(self, now: float) -> None:
        """Starts a term as leader; the former leader counts as silent since its last message, not since now."""
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
        """Sends a round. Learners take part only in a heartbeat or commit notice, which may go to them alone."""
        configuration, learners_due = self.log.configuration, now >= self._learner_heartbeat_at
        self.rounds.send(now)
        receivers = [*configuration.learners] if learners_due else []
        if self.broadcast_requested or now >= self._heartbeat_at:
            receivers += configuration.all_voters()
            self.broadcast_requested = False
            self._heartbeat_at = now + self.times.heartbeat_interval
            self._next_broadcast_at = now + self.times.min_broadcast_interval
        if learners_due:
            self._learner_heartbeat_at = now + self.times.heartbeat_interval
        for member in receivers:
            if member != self.me:
                self._send_append(member, now)
        self._confirm()

    def _send_append(self, member: str, now: float) -> None:
        progress, current_round = self._progress.get(member), self.rounds.round_number
        if progress is None:
            progress = self._progress[member] = Progress(self.log.last_index + 1, now)
        if progress.next_index <= self.log.snapshot_index:
            if now - progress.snapshot_sent_at > self.times.snapshot_retry_interval:
                progress.snapshot_sent_at = now
                self._before_save.append((member, InstallSnapshot(self.term, self.log.snapshot, current_round)))
            return
        previous = progress.next_index - 1
        entries = self.log.entries_after(previous)
        stamp = progress.contact_stamps.confirmed_stamp(self.rounds.confirmed)
        previous_term = self.log.term(previous) or 0
        message = AppendEntries(self.term, previous, previous_term, entries, self.commit_index, current_round, stamp)
        if entries:
            progress.next_index = entries[-1].index + 1
        self._before_save.append((member, message))

    def _on_append_entries_response(self, sender: str, message: AppendEntriesResponse, now: float) -> None:
        progress = self._progress.get(sender)
        if not self.leads or progress is None or message.round_number == NO_ROUND:
            return
        if message.round_number > progress.round_number:
            progress.round_number, progress.heard_at = message.round_number, now
        progress.contact_stamps.add(message.stamp, self.rounds.round_number + 1)
        self._confirm()
        if not message.ok:
            if message.round_number >= progress.min_round_number:
                progress.next_index = max(progress.match_index, min(progress.next_index - 1, message.match_index)) + 1
                self._request_next_append(progress)
            return
        progress.match_index = max(progress.match_index, message.match_index)
        if progress.next_index <= progress.match_index:
            progress.next_index = progress.match_index + 1
        if progress.next_index <= self.log.last_index and message.round_number >= progress.min_round_number:
            self._request_next_append(progress)
        self._advance()
        self._send_timeout_now_if_caught_up(sender)

    def _request_next_append(self, progress: Progress) -> None:
        """Requests a round, and ignores answers to earlier rounds.

        If each of those caused a further message too, lagging members would multiply each other's messages.
        """
        progress.min_round_number = self.rounds.round_number + 1
        self.broadcast_requested = True

    def _confirm(self) -> None:
        current_round = self.rounds.round_number
        self.rounds.confirm(
            self.log.configuration.majority_value(
                lambda i: current_round if i == self.me else self._progress_of(i).round_number
            )
        )

    def _progress_of(self, member: str) -> Progress:
        return self._progress.get(member, NO_PROGRESS)

    def _advance(self) -> None:
        """Commits the entries that a majority has saved; an entry of an earlier term only with one of this term."""
        index = self.log.configuration.majority_value(
            lambda i: self._saved_index if i == self.me else self._progress_of(i).match_index
        )
        if index <= self.commit_index or self.log.term(index) != self.term:
            return
        self.commit_index = self.known_commit_index = index
        notice_due = self._now + self.times.commit_notice_delay
        self._heartbeat_at = min(self._heartbeat_at, notice_due)
        self._learner_heartbeat_at = min(self._learner_heartbeat_at, notice_due)
        if self.log.configuration_index <= index:
            self._end_change()

    def _end_change(self) -> None:
        """Proposes the final configuration once a joint one is committed; a leader that it excludes steps down."""
        configuration = self.log.configuration
        if configuration.old_voters:
            at = self.log.entries[-1].at if self.log.entries else 0
            self.propose(CONFIGURATION, encode(configuration.final_configuration()), at)
        elif self.me not in configuration.voters:
            successor = self._successor()
            if successor is not None:
                self._after_save.append((successor, TimeoutNow(self.term)))
            self.role, self.leader = FOLLOWER, ""
