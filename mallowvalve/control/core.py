"""The state machine of a control process: Raft, the replicated state and the requests that await a response."""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import Any

import msgspec

from mallowvalve.control import lease, reconfiguration
from mallowvalve.control.acknowledgement import Replicas
from mallowvalve.control.fetched_state import FetchedState
from mallowvalve.control.fleet_clock import FleetClock
from mallowvalve.control.member_addresses import MemberAddresses
from mallowvalve.control.outcome import Code
from mallowvalve.control.pending_commands import PendingCommands
from mallowvalve.control.replication import ParkedRequests, ReplicationSource
from mallowvalve.control.settings_log import SettingsLog
from mallowvalve.control.snapshot import decode_snapshot, encode_pieces, encode_settings_pieces
from mallowvalve.control.state import (
    UNDECODABLE_FINDINGS,
    Change,
    Enrol,
    Evacuate,
    Outcome,
    ReplicatedState,
    Seats,
    Strike,
    Tick,
    command_tag,
    command_tags,
    decode_command,
    encode,
    is_command,
)
from mallowvalve.control.voter_placement import Tolerance
from mallowvalve.control.waiting import (
    CommitMarkTimer,
    PendingCommand,
    PendingRead,
    PendingReads,
    acknowledgement_mode,
    changes_settings,
)
from mallowvalve.control.wire import CommandResponse, ProcessStatus, ReplicationRequest, ReplicationResponse
from mallowvalve.metrics import Counts
from mallowvalve.raft.log import Log
from mallowvalve.raft.messages import COMMAND, Entry, Envelope, HardState, RaftSnapshot
from mallowvalve.raft.progress import RaftTimings, Ready
from mallowvalve.raft.raft import Raft
from mallowvalve.settings import Acks
from mallowvalve.types import Address, Locality

LOGGED_TAGS = command_tags((Change, Evacuate, Enrol, Strike, Seats))
"""Tags of the commands whose outcomes are logged as they are applied."""
COMMIT_NOTICE_PACES = 3
"""How long a leader may delay the notice of a new commit index, in multiples of the pace between two rounds."""
TIMER_INTERVAL_S = 0.1
TICK_INTERVAL_S = 1.0


class Core:
    """Takes events; its user stores and sends what `ready` returns and delivers `replies`. No sockets, no clocks."""

    __slots__ = (
        "id",
        "addr",
        "locality",
        "rng",
        "raft",
        "state",
        "replicas",
        "counts",
        "replies",
        "decided",
        "members",
        "announcements",
        "clock",
        "_pending_commands",
        "parked_requests",
        "_pending_reads",
        "_leadership_begun",
        "_fetched_state",
        "_last_tick_at",
        "_last_membership_check_at",
        "_base_index",
        "_acks",
        "_settings_log",
        "_times",
        "_commit_mark_timer",
        "_roster_command_index",
        "_addresses",
    )

    def __init__(
        self,
        id: str,
        addr: Address,
        locality: Locality,
        rng: random.Random,
        acks: Acks = Acks(),
        times: RaftTimings = RaftTimings(),
    ):
        """Creates a blank process, which joins a Raft group by `start`."""
        self.id, self.addr, self.locality, self.rng = id, addr, locality, rng
        self.raft: Raft | None = None
        self.state: ReplicatedState | None = None
        self.counts = Counts()
        self.decided: list[tuple[Any, Outcome]] = []
        self.replies: list[tuple[Any, CommandResponse | ReplicationResponse]] = []
        self.members = reconfiguration.MemberObservations()
        self.announcements = self.members.announcements
        self._addresses = MemberAddresses()
        self.replicas = Replicas(locality)
        self._pending_commands = PendingCommands()
        self.parked_requests = ParkedRequests(addr)
        self._pending_reads = PendingReads()
        self._leadership_begun = False
        self._fetched_state = FetchedState()
        self._last_tick_at = self._last_membership_check_at = -1e9
        self._roster_command_index = 0
        self._base_index = 0
        commit_notice_delay = COMMIT_NOTICE_PACES * times.min_broadcast_interval
        self._acks, self._times = acks, msgspec.structs.replace(times, commit_notice_delay=commit_notice_delay)
        self._settings_log = SettingsLog(0)
        self.clock = FleetClock()
        self._commit_mark_timer = CommitMarkTimer()

    def start(
        self,
        snapshot: RaftSnapshot,
        hard: HardState | None,
        entries: list[Entry],
        now: float,
        loaded_state: ReplicatedState | None = None,
    ) -> None:
        """Starts from what is stored; `loaded_state` is the snapshot's state if it was loaded already."""
        hard = hard if hard is not None and hard.group == snapshot.group else HardState(snapshot.group, 0, "")
        log = Log(snapshot, entries)
        self.raft = Raft(self.id, log, hard.term, hard.vote, self.rng, now, self._times, hard.commit_index)
        self.state = loaded_state or decode_snapshot(snapshot.state, snapshot.group.generation)
        self.state.index = snapshot.index
        self._base_index = snapshot.index
        self._settings_log = SettingsLog(self.state.settings_index)
        self._leadership_begun, self._commit_mark_timer = False, CommitMarkTimer()
        self.clock.restart(self.state.clock, now)
        self._apply(self.raft, self.state, now)
        self.decided = []

    def stop(self, new_id: str) -> None:
        """Leaves the group and continues as a blank process under a new id; pending requests fail."""
        self.raft = self.state = None
        self.id = new_id
        self._fail_all()

    @property
    def leads(self) -> bool:
        """Whether this process may answer as the leader: it has applied all that former leaders acknowledged."""
        if self.raft is None or self.state is None:
            return False
        return self.raft.committed_in_term and self.state.index >= self.raft.term_start_index

    @property
    def nothing_committed(self) -> bool:
        """Whether the group has committed nothing since its founding."""
        return self.raft is not None and self.raft.commit_index <= self._base_index

    def leader(self) -> Address | None:
        """Returns the leader's address, or None if no leader is known."""
        if self.raft is None or not self.raft.leader:
            return None
        return self.address_of(self.raft.leader)

    def address_of(self, member: str) -> Address | None:
        """Returns the address of the member, or None if it is unknown."""
        return self._addresses.lookup(member, self.raft.log.configuration) if self.raft is not None else None

    def process_status(self, role: str, seeds: list[Address]) -> ProcessStatus:
        """Returns the status that this process reports to others."""
        raft, at = self.raft, self.state.index if self.state else 0
        return ProcessStatus(
            role,
            self.id,
            self.addr,
            self.locality,
            seeds,
            blank=raft is None,
            group=raft.group if raft is not None else None,
            index=at,
            voters=raft.log.configuration_at(at) if raft is not None else None,
            leader=self.leader(),
            boot=self.members.boot,
            leaving=self.members.leaving,
        )

    def announcement_targets(self, control: list[Address]) -> list[Address]:
        """Returns where this process announces itself: the leader, or all control processes if no leader is known."""
        leader = self.leader()
        return [a for a in ([leader] if leader is not None else control) if a != self.addr]

    def announced(self, status: ProcessStatus, now: float) -> None:
        """Records the announcement of a control process of this group or of none."""
        if status.role == "control" and (status.group is None or self.raft and status.group == self.raft.group):
            self._addresses.record(status.id, status.addr)
            self.members.record_announcement(status, now)

    def timer(self, now: float) -> float:
        """Returns when `tick` is due next (s)."""
        if self.raft is None:
            return now + TIMER_INTERVAL_S
        latest = now + TIMER_INTERVAL_S
        return min(self._commit_mark_timer.at or latest, latest, self.raft.timer(), self.parked_requests.next_check_at)

    def tick(self, now: float) -> None:
        """Advances the time to `now` (s)."""
        raft, state = self.raft, self.state
        if raft is None or state is None:
            return
        raft.tick(now)
        due = self._commit_mark_timer.due(state.settings_index, raft.saved_commit_index, now)
        raft.commit_save_due = due or raft.commit_save_due
        self._advance(raft, state, now)

    def receive(self, envelope: Envelope, now: float) -> None:
        """Handles a Raft message; messages of another group or for another member are counted and dropped."""
        if self.raft is None or envelope.group != self.raft.group or envelope.to != self.id:
            self.counts.add("raft_foreign")
            return
        self._addresses.record(envelope.sender, envelope.address)
        self.raft.receive(envelope.sender, envelope.body, now)

    def peer_disconnected(self, peer: Address, now: float) -> None:
        """Handles the end of a peer's last connection: a follower then doubts that its leader is alive."""
        if self.raft is not None and peer == self.leader():
            self.raft.suspect_leader(now)

    def propose(self, data: bytes, token: Any, limit: float, now: float) -> None:
        """Proposes a command; its outcome is replied to the token, at `limit` (s) at the latest."""
        raft = self.raft
        if raft is None or not self.leads:
            return self.replies.append((token, CommandResponse(Code.LEADER, leader=self.leader())))
        if not is_command(data):
            return self.replies.append((token, CommandResponse(Code.INVALID, body=UNDECODABLE_FINDINGS)))
        index = raft.propose(COMMAND, data, self.clock.read(now))
        if index is None:
            return self.replies.append((token, CommandResponse(Code.LEADER)))
        in_settings, mode = changes_settings(data), acknowledgement_mode(data, self._acks)
        self._pending_commands.add(index, PendingCommand(token, raft.term, limit, in_settings, mode))

    def read(self, token: Any, limit: float, now: float) -> None:
        """Replies to the token once a majority has confirmed this leader since the request, or at `limit` (s)."""
        raft = self.raft
        if raft is None or not self.leads:
            return self.replies.append((token, CommandResponse(Code.LEADER, leader=self.leader())))
        confirmation_round = raft.request_confirmation_round()
        self._pending_reads.add(PendingRead(token, confirmation_round, raft.commit_index, limit))

    def current(self, now: float) -> bool:
        """Whether the local state is recent enough to serve watches."""
        raft, index = self.raft, self.state.index if self.state is not None else 0
        return (
            raft is not None
            and self.may_answer(lease.AnswerKind.WATCH, now)
            and raft.log.term(index) == raft.term
            and index + lease.MAX_WATCH_LAG_ENTRIES >= raft.known_commit_index
        )

    def tolerance(self, now: float) -> Tolerance | None:
        """Returns which losses the voters survive; None unless this process leads and knows the places of all."""
        return self.members.tolerance(self.raft, now) if self.raft is not None and self.leads else None

    def contact(self) -> float:
        """Returns when this process sent the newest question that a majority has confirmed since (s)."""
        return self.raft.last_quorum_contact() if self.raft is not None else lease.NO_CONTACT

    def may_answer(self, kind: lease.AnswerKind, now: float) -> bool:
        """Whether the last contact with a majority is recent enough for an answer of this kind."""
        return lease.is_valid(kind, self.contact(), now)

    def replicate(self, request: ReplicationRequest, token: Any, now: float) -> None:
        """Handles a replica's request for new entries; the response goes to the token."""
        raft = self.raft
        if raft is None or not self.leads:
            return self.replies.append((token, ReplicationResponse(self.leader())))
        self.replicas.record_request(request, raft.group, raft.rounds.round_number + 1, now)
        self.replies += self.parked_requests.park(request, token, now)

    def ready(self, now: float) -> Ready | None:
        """Returns what to store and send now; `saved` must be called before the next call of `ready`."""
        return self.raft.ready(now) if self.raft else None

    def saved(self, ready: Ready, now: float) -> None:
        """Continues once all that `ready` returned is on disk."""
        raft, state = self.raft, self.state
        if ready.snapshot is not None:
            state = self.state = self._fetched_state.take(ready.snapshot)
            self._settings_log = SettingsLog(state.settings_index)
            self.clock.restart(state.clock, now)
        if raft is None or state is None:
            return
        raft.saved(ready)
        self._apply(raft, state, now)
        self._advance(raft, state, now)

    def snapshot(self) -> tuple[RaftSnapshot, Iterator[bytes]] | None:
        """Returns a snapshot of the current state and an iterator that encodes its pieces lazily; None if blank."""
        raft, state = self.raft, self.state
        if raft is None or state is None:
            return None
        if state.index < raft.log.snapshot_index:
            return raft.log.snapshot, iter(raft.log.snapshot.state)
        return _snapshot_header(raft, state), encode_pieces(state)

    def settings_snapshot(self) -> tuple[RaftSnapshot, Iterator[bytes]] | None:
        """Returns a snapshot of the settings part of the current state, as `snapshot` does."""
        raft, state = self.raft, self.state
        if raft is None or state is None or state.index < raft.log.snapshot_index:
            return None
        return _snapshot_header(raft, state), encode_settings_pieces(state)

    def base_snapshot(self) -> RaftSnapshot | None:
        """Returns the snapshot at which the log begins; None if blank."""
        return self.raft.log.snapshot if self.raft is not None else None

    def keep_fetched_state(self, snapshot: RaftSnapshot, state: ReplicatedState) -> None:
        """Keeps the state that was loaded from the pieces of a snapshot until that snapshot is installed."""
        self._fetched_state.put(snapshot, state)

    def compact(self, snapshot: RaftSnapshot) -> None:
        """Drops the log entries that the snapshot covers."""
        if self.raft is not None:
            self.raft.log.compact(snapshot)
        self._settings_log.compact(snapshot.index)

    def _apply(self, raft: Raft, state: ReplicatedState, now: float) -> None:
        while state.index < raft.commit_index:
            entry = raft.log.get(state.index + 1)
            self.clock.observe(entry, now)
            outcome = state.apply(entry.index, entry.at, entry.data if entry.kind == COMMAND else b"")
            if state.settings_index == entry.index:
                self._settings_log.add(entry)
                if command_tag(entry.data) in LOGGED_TAGS:
                    command = decode_command(entry.data)
                    self.decided += [(c, outcome) for c in (command.steps if isinstance(command, Seats) else [command])]
            self.replies += self._pending_commands.record_applied(entry, outcome, state.settings_index)

    def _advance(self, raft: Raft, state: ReplicatedState, now: float) -> None:
        if not raft.leads:
            if self._leadership_begun:
                self._fail_all()
            self._leadership_begun = False
            return
        if self.leads and not self._leadership_begun:
            self._leadership_begun, self._roster_command_index = True, 0
            self.clock.begin_leadership(state.clock, now)
            self.replicas.begin_leadership(now)
        if not self._leadership_begun:
            return
        self.replicas.observe_settings(state.settings, now)
        self.replies += self._pending_commands.answer(self.replicas, now)
        self.replies += self._pending_reads.answer(raft.rounds.confirmed, state, raft.term, now)
        source = ReplicationSource(raft, state, self._settings_log, self.replicas, self.clock.read(now))
        self.replies += self.parked_requests.answer(source, now)
        self._run_maintenance(raft, state, now)

    def _run_maintenance(self, raft: Raft, state: ReplicatedState, now: float) -> None:
        if now - self._last_tick_at > TICK_INTERVAL_S and state.coordination.has_leases():
            self._last_tick_at = now
            raft.propose(COMMAND, encode(Tick()), self.clock.read(now))
        if now - self._last_membership_check_at < reconfiguration.CHECK_INTERVAL_S:
            return
        self._last_membership_check_at = now
        if self.members.change_voters(raft, now, self.clock.read(now)):
            self.counts.add("raft_changes")
        if self._roster_command_index > raft.commit_index:
            return
        due = self.replicas.next_roster_step if self._acks.settings == "force" else self.replicas.due_roster_steps
        step = due(state.settings, now)
        if step is not None:
            self._roster_command_index = raft.propose(COMMAND, encode(step), self.clock.read(now)) or 0

    def _fail_all(self) -> None:
        self.replies += self._pending_commands.fail()
        self.replies += self._pending_reads.fail()
        self.replies += self.parked_requests.drop()


def _snapshot_header(raft: Raft, state: ReplicatedState) -> RaftSnapshot:
    """Returns the header of a snapshot of a state that the log reaches, without pieces."""
    index, log = state.index, raft.log
    return RaftSnapshot(raft.group, index, log.term(index) or 0, log.configuration_at(index), [])
