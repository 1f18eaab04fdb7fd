"""The replica of the replicated state in a proxy or directory, and whether the process may act on it."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Literal

from result import Ok, Result

from mallowvalve.configuration.build import EMPTY_TREE, build_document
from mallowvalve.configuration.model import Tree
from mallowvalve.control.snapshot import encode_pieces, encode_settings_pieces
from mallowvalve.control.snapshot_transfer import SnapshotLabel, label_of
from mallowvalve.control.state import ReplicatedState
from mallowvalve.control.wire import ReplicationRequest, ReplicationResponse, RevisionQuery, RevisionReply
from mallowvalve.finding import Findings
from mallowvalve.metrics import Counts
from mallowvalve.raft.messages import COMMAND, ClusterConfiguration, GroupId, RaftSnapshot
from mallowvalve.types import Address, Locality

FRESHNESS_WINDOW_S = 2.0
DEFAULT_MAX_WAIT_S = 0.5
LEADER_SILENCE_FACTOR = 1.2
"""A leader counts as silent after this multiple of the time for which it may delay a response."""


class Replica:
    """Follows the leader, or without one asks the other replicas on the roster for a majority's confirmation.

    It uses no sockets and reads no clock: `now` is the process's steady clock (s) throughout.
    """

    __slots__ = (
        "addr",
        "boot",
        "role",
        "locality",
        "group",
        "voters",
        "state",
        "leader",
        "counts",
        "lost_leader",
        "tree",
        "document_is_valid",
        "scope",
        "max_wait_s",
        "_confirmed_at",
        "_confirmations",
        "_leader_heard_at",
        "_on_settings",
        "_document",
        "_notified",
        "_leader_time",
    )

    def __init__(
        self,
        addr: Address,
        boot: int,
        role: str,
        locality: Locality,
        on_settings: Callable[[Result[Tree, Findings]], None],
        scope: Literal["all", "settings"] = "all",
        max_wait_s: float = DEFAULT_MAX_WAIT_S,
    ):
        """`scope` is all or settings; `max_wait_s` is how long the leader may delay a response without entries."""
        self.scope, self.max_wait_s = scope, max_wait_s
        self.addr, self.boot, self.role, self.locality = addr, boot, role, locality
        self.group: GroupId | None = None
        self.voters: ClusterConfiguration | None = None
        self.state: ReplicatedState | None = None
        self.leader: Address | None = None
        self.lost_leader = True
        self.counts = Counts()
        self._confirmed_at = self._leader_heard_at = -1e9
        self._confirmations: dict[float, set[Address]] = {}
        self._on_settings = on_settings
        self.tree: Tree = EMPTY_TREE
        self.document_is_valid = True
        self._document: bytes | None = None
        self._notified: tuple[object, ...] = ()
        self._leader_time = (0, 0.0)

    @property
    def revision(self) -> int:
        """The revision of the held settings; 0 if nothing is held."""
        return self.state.settings.revision if self.state else 0

    @property
    def confirmed_at(self) -> float:
        """The newest time up to which a majority has confirmed the held state (s)."""
        return self._confirmed_at

    def age(self, now: float) -> float:
        """Returns the time since a majority last confirmed the held state (s); very long if it never did."""
        return now - self._confirmed_at

    def fresh(self, now: float) -> bool:
        """Whether a majority confirmed the state within the last `FRESHNESS_WINDOW_S`."""
        return self.state is not None and now - self._confirmed_at <= FRESHNESS_WINDOW_S

    def admits(self, now: float) -> bool:
        """Whether requests may be admitted.

        The state must be fresh, this process on the roster, and the tree built from the newest document.
        """
        if self.state is None or not self.fresh(now) or not self.document_is_valid:
            return False
        seat = self.state.settings.roster.get(str(self.addr))
        return seat is not None and seat.boot == self.boot

    def leader_is_silent(self, now: float) -> bool:
        """Whether the leader has not responded for longer than it may delay a response."""
        return now - self._leader_heard_at > LEADER_SILENCE_FACTOR * self.max_wait_s

    def clock(self, now: float) -> int:
        """Returns the fleet time (ms) estimated from the leader's last response; without a leader it stops or lags."""
        time, at = self._leader_time
        return max(self.state.clock if self.state else 0, time + int((now - at) * 1000) if time else 0)

    def replication_request(self, now: float, max_wait_s: float | None = None) -> ReplicationRequest:
        """Returns the request to the leader, sent now (s); `max_wait_s` as in the constructor."""
        index = self.state.index if self.state else 0
        max_wait_s = self.max_wait_s if max_wait_s is None else max_wait_s
        return ReplicationRequest(
            self.addr,
            self.boot,
            self.role,
            self.locality,
            self.group,
            index,
            self.revision,
            now,
            self.scope,
            max_wait_s,
        )

    def receive_response(self, response: ReplicationResponse, now: float) -> None:
        """Applies the leader's response, received now (s); a response of another group is ignored."""
        if response.group is None:
            self.leader = response.leader
            return
        if response.group != self.group:
            return
        self.leader, self._leader_heard_at = response.leader, now
        self.voters = response.voters or self.voters
        if response.leader_time_ms:
            self._leader_time = (response.leader_time_ms, now)
        self._apply(response)
        if self.revision >= response.revision and response.confirmed_at >= 0:
            self._confirmed_at = max(self._confirmed_at, min(response.confirmed_at, now))

    def revision_query(self, now: float) -> RevisionQuery | None:
        """Returns a query to all replicas on the roster, for when no leader answers; None if nothing is held."""
        if self.state is None:
            return None
        self._confirmations = {sent: by for sent, by in self._confirmations.items() if now - sent < FRESHNESS_WINDOW_S}
        self._confirmations[now] = {self.addr}
        self._count_confirmations(now)
        return RevisionQuery(self.addr, now)

    def roster(self) -> list[Address]:
        """Returns the addresses of the replicas on the roster."""
        addresses = map(Address.read, self.state.settings.roster) if self.state else []
        return [address.ok_value for address in addresses if isinstance(address, Ok)]

    def answer_revision_query(self, query: RevisionQuery) -> RevisionReply:
        """Returns the reply to another replica's query."""
        return RevisionReply(
            self.addr, self.boot, query.sent_at, self.group, self.revision, self.state.index if self.state else 0
        )

    def receive_revision_reply(self, reply: RevisionReply) -> bool:
        """Records the reply to a query; returns whether its sender holds a newer revision, which is to be fetched."""
        if reply.group is None or self.state is None:
            return False
        if self._is_newer(reply):
            return True
        if reply.group != self.group or reply.sent_at not in self._confirmations:
            return False
        seat = self.state.settings.roster.get(str(reply.sender))
        if seat is not None and seat.boot == reply.boot:
            self._confirmations[reply.sent_at].add(reply.sender)
            self._count_confirmations(reply.sent_at)
        return False

    def is_older_generation(self, group: GroupId) -> bool:
        """Whether the group is of an older generation than the held one."""
        return self.group is not None and group.generation < self.group.generation

    def is_behind(self, offered: SnapshotLabel) -> bool:
        """Whether the labelled snapshot is newer than the held state; one of an older generation is counted."""
        if self.group is None or self.state is None or offered.group.generation != self.group.generation:
            newer = self.group is None or self.state is None or offered.group.generation > self.group.generation
            self.counts.add("replica_older_refused", not newer)
            return newer
        return offered.index > self.state.index or offered.group != self.group and offered.index == self.state.index

    def install(self, snapshot: RaftSnapshot, state: ReplicatedState) -> None:
        """Replaces the held state by a fetched one, unless the held one is as new by now."""
        if not self.is_behind(label_of(snapshot)):
            return
        before = self.revision if self.group == snapshot.group else -1
        self.group, self.voters, self.state = snapshot.group, snapshot.configuration, state
        if self.revision != before:
            self._update_tree()

    def snapshot(self) -> tuple[RaftSnapshot, Iterator[bytes]] | None:
        """Returns a snapshot of the whole state and an iterator that encodes its pieces lazily; None if not held."""
        header = self._snapshot_header()
        if header is None or self.state is None or self.scope != "all":
            return None
        return header, encode_pieces(self.state)

    def settings_snapshot(self) -> tuple[RaftSnapshot, Iterator[bytes]] | None:
        """Returns a snapshot of the settings part of the held state; None if nothing is held."""
        header = self._snapshot_header()
        if header is None or self.state is None:
            return None
        return header, encode_settings_pieces(self.state)

    def _snapshot_header(self) -> RaftSnapshot | None:
        if self.group is None or self.voters is None or self.state is None:
            return None
        return RaftSnapshot(self.group, self.state.index, 0, self.voters, [])

    def _is_newer(self, reply: RevisionReply) -> bool:
        if reply.group != self.group:
            return generation_of(reply.group) > generation_of(self.group)
        return reply.revision > self.revision

    def _count_confirmations(self, sent_at: float) -> None:
        roster = self.state.settings.roster if self.state is not None else {}
        if str(self.addr) not in roster:
            return
        if len(self._confirmations[sent_at]) > len(roster) // 2:
            self._confirmed_at = max(self._confirmed_at, sent_at)

    def _apply(self, response: ReplicationResponse) -> None:
        state, before, settings_only = self.state, self.revision, self.scope == "settings"
        if state is None:
            return
        for entry in response.entries:
            if entry.index == state.index + 1 or settings_only and entry.index > state.index:
                state.apply(entry.index, entry.at, entry.data if entry.kind == COMMAND else b"")
        if settings_only and not response.needs_snapshot:
            state.index = max(state.index, response.index)
            state.clock = max(state.clock, response.state_time_ms)
        if self.revision != before:
            self._update_tree()

    def _update_tree(self) -> None:
        state = self.state
        if state is None:
            return
        settings = state.settings
        is_new = settings.doc != self._document
        built: Result[Tree, Findings] = Ok(self.tree)
        if is_new:
            self._document = settings.doc
            built = build_document(settings.doc)
            self.document_is_valid = isinstance(built, Ok)
            self.tree = built.unwrap_or(self.tree)
        evacuated, roster = frozenset(settings.evacuated.items()), frozenset(settings.roster)
        current = (settings.doc_revision, state.items.revision, evacuated, roster)
        if is_new or current != self._notified:
            self._notified = current
            if is_new or self.document_is_valid:
                self._on_settings(built)


def generation_of(group: GroupId | None) -> int:
    """Returns the generation of a group, 0 without one."""
    return group.generation if group is not None else 0
