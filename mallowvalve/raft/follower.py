"""How a member takes entries and snapshots from its leader (Raft paper, sections 5.3 and 7)."""

from __future__ import annotations

from mallowvalve.raft.contact import QuorumContact
from mallowvalve.raft.election import Election
from mallowvalve.raft.messages import AppendEntries, AppendEntriesResponse, Entry, InstallSnapshot, RaftSnapshot


class FollowerReplication(Election):
    """The part of the Raft state machine that replicates the leader's log.

    `commit_index` covers only entries in this log. `known_commit_index` is the highest commit index that a leader has
    reported, and may lie beyond the log.
    """

    __slots__ = (
        "commit_index",
        "known_commit_index",
        "_saved_index",
        "_unsaved_entries",
        "_installed_snapshot",
        "_quorum_contact",
        "_newest_leader_round",
    )

    commit_index: int
    known_commit_index: int
    _saved_index: int
    _unsaved_entries: list[Entry]
    _installed_snapshot: RaftSnapshot | None
    _quorum_contact: QuorumContact
    _newest_leader_round: tuple[int, int]

    def _record_leader_message(self, sender: str, message: AppendEntries | InstallSnapshot, now: float) -> None:
        """Resets the election timer, unless a message that the leader sent later has already arrived."""
        leader_round = (message.term, message.round_number)
        if leader_round <= self._newest_leader_round:
            return
        self._newest_leader_round = leader_round
        self._become_follower(message.term, sender, now)
        self._leader_heard_at = now

    def _on_append_entries(self, sender: str, message: AppendEntries, now: float) -> None:
        self._record_leader_message(sender, message, now)
        self._quorum_contact.record_echo(message.confirmed_stamp, now)
        self.known_commit_index = max(self.known_commit_index, message.commit_index)
        if message.previous_index < self.log.snapshot_index:
            entries = [e for e in message.entries if e.index > self.log.snapshot_index]
            previous_index = self.log.snapshot_index
        else:
            entries, previous_index = message.entries, message.previous_index
            if self.log.term(previous_index) != message.previous_term:
                hint = min(previous_index - 1, self.log.last_index)
                match_index = max(hint, self.commit_index)
                response = AppendEntriesResponse(self.term, False, match_index, message.round_number, now)
                self._after_save.append((sender, response))
                return
        for entry in entries:
            existing_term = self.log.term(entry.index)
            if existing_term == entry.term:
                continue
            if existing_term is not None:
                self.log.truncate_from(entry.index)
                self._unsaved_entries = [e for e in self._unsaved_entries if e.index < entry.index]
                self._saved_index = min(self._saved_index, entry.index - 1)
            self.log.append(entry)
            self._unsaved_entries.append(entry)
        match_index = max(previous_index, entries[-1].index if entries else 0)
        self.commit_index = max(self.commit_index, min(message.commit_index, match_index))
        response = AppendEntriesResponse(self.term, True, match_index, message.round_number, now)
        self._after_save.append((sender, response))

    def _on_install_snapshot(self, sender: str, message: InstallSnapshot, now: float) -> None:
        self._record_leader_message(sender, message, now)
        snapshot = message.snapshot
        if not snapshot.state:
            response = AppendEntriesResponse(self.term, True, self.commit_index, message.round_number, now)
            self._after_save.append((sender, response))
            return
        if snapshot.index > self.commit_index:
            self.log.compact(snapshot)
            self.commit_index = snapshot.index
            self._installed_snapshot = snapshot
            self._unsaved_entries = list(self.log.entries)
            self._saved_index = self.log.snapshot_index
        match_index = max(snapshot.index, self.log.snapshot_index)
        response = AppendEntriesResponse(self.term, True, match_index, message.round_number, now)
        self._after_save.append((sender, response))
