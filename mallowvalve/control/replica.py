"""What a proxy or a directory holds of the replicated state, and whether it may act on it."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import msgspec
from result import Ok, Result

from mallowvalve.configuration.build import EMPTY, build
from mallowvalve.configuration.model import Tree
from mallowvalve.control.snapshot import cut, cut_settings
from mallowvalve.control.snapshot_transfer import Label, label
from mallowvalve.control.state import ReplicatedState
from mallowvalve.control.wire import ReplicationRequest, ReplicationResponse, RevisionQuery, RevisionReply
from mallowvalve.metrics import Counts
from mallowvalve.raft.messages import Group, Snapshot, Voters
from mallowvalve.types import Address, Locality

FRESHNESS_WINDOW_S = 2.0
DEFAULT_MAX_WAIT_S = 0.5
LEADER_SILENCE_FACTOR = 1.2


class Replica:
    """Asks the leader for news, or with no leader the other replicas whether they know more. No sockets, no clocks."""

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
        "_answers",
        "_led",
        "_on_settings",
        "_doc",
        "_seen",
        "_time",
    )

    def __init__(
        self,
        addr: Address,
        boot: int,
        role: str,
        locality: Locality,
        on_settings: Callable[[Result], None],
        scope: str = "all",
        max_wait_s: float = DEFAULT_MAX_WAIT_S,
    ):
        """`parts` is all or settings; `hold` is for how long the leader may keep a want (s)."""
        self.scope, self.max_wait_s = scope, max_wait_s
        self.addr, self.boot, self.role, self.locality = addr, boot, role, locality
        self.group: Group | None = None
        self.voters: Voters | None = None
        self.state: ReplicatedState | None = None
        self.leader: Address | None = None
        self.lost_leader = True
        self.counts = Counts()
        self._confirmed_at = self._led = -1e9
        self._answers: dict[float, set[Address]] = {}
        self._on_settings = on_settings
        self.tree: Tree = EMPTY
        self.document_is_valid = True
        self._doc: bytes | None = None
        self._seen: tuple = ()
        self._time = (0, 0.0)

    @property
    def revision(self) -> int:
        """The revision of the settings held; 0 where nothing is held."""
        return self.state.settings.revision if self.state else 0

    @property
    def confirmed_at(self) -> float:
        """When (s) it asked what a majority has confirmed since."""
        return self._confirmed_at

    def fresh(self, now: float) -> bool:
        """Whether a majority confirmed the state within the last `WINDOW` seconds."""
        return self.state is not None and now - self._confirmed_at <= FRESHNESS_WINDOW_S

    def admits(self, now: float) -> bool:
        """Fresh, seated under this life, and with a tree that is the newest snapshot's own."""
        if not self.fresh(now) or not self.document_is_valid:
            return False
        seat = self.state.settings.roster.get(str(self.addr))
        return seat is not None and seat.boot == self.boot

    def leader_is_silent(self, now: float) -> bool:
        """Whether the leader has been silent for longer than it may keep a question."""
        return now - self._led > LEADER_SILENCE_FACTOR * self.max_wait_s

    def clock(self, now: float) -> int:
        """What the fleet's clock (ms) shows, by the leader's last word; it stands or lags where none is heard."""
        time, at = self._time
        return max(self.state.clock if self.state else 0, time + int((now - at) * 1000) if time else 0)

    def replication_request(self, now: float, max_wait_s: float | None = None) -> ReplicationRequest:
        """The question to the leader, asked now (s); `hold` as in the constructor."""
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

    def receive_response(self, f: ReplicationResponse, now: float) -> None:
        """The leader's answer came now (s)."""
        if f.group is None:
            self.leader = f.leader
            return
        if f.group != self.group:
            return
        self.leader, self._led = f.leader, now
        self.voters = f.voters or self.voters
        if f.leader_time_ms:
            self._time = (f.leader_time_ms, now)
        self._apply(f)
        if self.revision >= f.revision and f.confirmed_at >= 0:
            self._confirmed_at = max(self._confirmed_at, f.confirmed_at)

    def revision_query(self, now: float) -> RevisionQuery | None:
        """A question to all replicas on the roster, for when no leader answers; None where nothing is held."""
        if self.state is None:
            return None
        self._answers = {t: a for t, a in self._answers.items() if now - t < FRESHNESS_WINDOW_S}
        self._answers[now] = {self.addr}
        self._count(now)
        return RevisionQuery(self.addr, now)

    def roster(self) -> list[Address]:
        """The addresses of the replicas on the roster."""
        return [Address.read(a).ok_value for a in self.state.settings.roster] if self.state else []

    def answer_revision_query(self, r: RevisionQuery) -> RevisionReply:
        """The answer to another replica's round."""
        return RevisionReply(
            self.addr, self.boot, r.sent_at, self.group, self.revision, self.state.index if self.state else 0
        )

    def receive_revision_reply(self, t: RevisionReply) -> bool:
        """Another replica's answer to a round; true if it knows more, so that its state is worth fetching."""
        if t.group is None or self.state is None:
            return False
        if self._newer(t):
            return True
        if t.group != self.group or t.sent_at not in self._answers:
            return False
        seat = self.state.settings.roster.get(str(t.sender))
        if seat is not None and seat.boot == t.boot:
            self._answers[t.sent_at].add(t.sender)
            self._count(t.sent_at)
        return False

    def is_older_generation(self, g: Group) -> bool:
        """Whether a newer generation than this group's is held."""
        return self.group is not None and g.generation < self.group.generation

    def is_behind(self, offered: Label) -> bool:
        """Whether a snapshot under this label is worth fetching; never one of an older generation or index."""
        if self.group is None or offered.group.generation != self.group.generation:
            newer = self.group is None or offered.group.generation > self.group.generation
            self.counts.add("replica_older_refused", not newer)
            return newer
        return offered.index > self.state.index or offered.group != self.group and offered.index == self.state.index

    def install(self, p: Snapshot, s: ReplicatedState) -> None:
        """Takes in a fetched state, unless the own one is as new by now."""
        if not self.is_behind(label(p)):
            return
        before = self.revision if self.group == p.group else -1
        self.group, self.voters, self.state = p.group, p.voters, s
        if self.revision != before:
            self._update_tree()

    def snapshot(self) -> tuple[Snapshot, Iterator[bytes]] | None:
        """What is held; its pieces are made as they are asked for."""
        if self.state is None or self.scope != "all":
            return None
        return Snapshot(self.group, self.state.index, 0, self.voters, []), cut(self.state)

    def settings_snapshot(self) -> tuple[Snapshot, Iterator[bytes]] | None:
        """The settings part of what is held."""
        if self.state is None:
            return None
        return Snapshot(self.group, self.state.index, 0, self.voters, []), cut_settings(self.state)

    def _newer(self, t: RevisionReply) -> bool:
        if t.group != self.group:
            return t.group.generation > self.group.generation
        return t.revision > self.revision

    def _count(self, sent_at: float) -> None:
        roster = self.state.settings.roster
        if str(self.addr) not in roster:
            return
        if len(self._answers[sent_at]) > len(roster) // 2:
            self._confirmed_at = max(self._confirmed_at, sent_at)

    def _apply(self, f: ReplicationResponse) -> None:
        before, part = self.revision, self.scope == "settings"
        for e in f.entries:
            if e.index == self.state.index + 1 or part and e.index > self.state.index:
                self.state.apply(e.index, e.at, e.data if e.kind == 1 else b"")
        if part and not f.needs_snapshot:
            self.state.index = max(self.state.index, f.index)
            self.state.clock = max(self.state.clock, f.state_time_ms)
        if self.revision != before:
            self._update_tree()

    def _update_tree(self) -> None:
        p = self.state.settings
        new = p.doc != self._doc
        if new:
            self._doc = p.doc
            r = build(msgspec.json.decode(p.doc))
            self.document_is_valid = r.is_ok()
            if r.is_ok():
                self.tree = r.ok_value
        seen = (p.doc_revision, self.state.items.revision, frozenset(p.evacuated.items()), frozenset(p.roster))
        if new or seen != self._seen:
            self._seen = seen
            if new or self.document_is_valid:
                self._on_settings(r if new else Ok(self.tree))
