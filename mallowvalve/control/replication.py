"""What a leader hands to the replicas that ask it for news: entries, the voters, and proof that it still leads."""

from __future__ import annotations

from typing import Any

import msgspec

from mallowvalve.control.acknowledgement import Replicas
from mallowvalve.control.settings_log import SettingsLog
from mallowvalve.control.state import ReplicatedState
from mallowvalve.control.wire import ReplicationRequest, ReplicationResponse
from mallowvalve.raft.messages import Entry, Voters
from mallowvalve.raft.raft import Raft
from mallowvalve.types import Address

MAX_WAIT_S = 1.0
"""The longest that a question without news is kept (s)."""
GATHER_EACH, GATHER_MOST = 0.0015, 0.15
"""How long news may wait for more to go with it: so much for each replica, and at most (s)."""

Reply = tuple[Any, ReplicationResponse]


class ReplicationSource(msgspec.Struct, frozen=True):
    """What the leader answers from; `time` is what the fleet's clock shows now (ms)."""

    raft: Raft
    state: ReplicatedState
    news: SettingsLog
    replicas: Replicas
    time: int


class _Parked(msgspec.Struct):
    """A replica's question that waits for news since `at` (s); `token` is whom to answer."""

    token: Any
    want: ReplicationRequest
    at: float


class ParkedRequests:
    """The replicas' questions that wait for news, one for each replica."""

    __slots__ = ("_me", "_parked", "_looked", "_look_at")

    def __init__(self, me: Address) -> None:
        """Nobody waits; `me` is told to replicas as the leader's address."""
        self._me = me
        self._parked: dict[Address, _Parked] = {}
        self._looked, self._look_at = (0, 0), -1e9

    def __len__(self) -> int:
        """How many replicas wait."""
        return len(self._parked)

    @property
    def next_check_at(self) -> float:
        """When to look at those that wait next (s), unless there are news before; never, where nobody waits."""
        return self._look_at if self._parked else float("inf")

    def park(self, want: ReplicationRequest, token: Any, now: float) -> list[Reply]:
        """Keep a question; the same replica's earlier one is answered, for it is waited for no more."""
        old = self._parked.pop(want.addr, None)
        self._parked[want.addr] = _Parked(token, want, now)
        self._look_at = now
        return [(old.token, ReplicationResponse(self._me))] if old is not None else []

    def drop(self) -> list[Reply]:
        """Answer all with the want of a leader."""
        compacted_index, self._parked = self._parked, {}
        return [(parked.token, ReplicationResponse(None)) for parked in compacted_index.values()]

    def answer(self, source: ReplicationSource, now: float) -> list[Reply]:
        """Answers to those for whom there are news, or who have waited long enough.

        One that was fed news a moment ago is fed the next with what else comes by then.
        """
        wants_all = any(parked.want.scope == "all" for parked in self._parked.values())
        news = (source.state.settings_index, source.state.index if wants_all else 0)
        if news == self._looked and now < self._look_at:
            return []
        self._looked, self._look_at = news, now + MAX_WAIT_S
        out: list[Reply] = []
        for address, parked in list(self._parked.items()):
            due = self._due(source, parked)
            if now < due:
                self._look_at = min(self._look_at, due)
                continue
            del self._parked[address]
            out.append((parked.token, self._feed(source, parked.want, now)))
        return out

    def _due(self, source: ReplicationSource, parked: _Parked) -> float:
        """When to answer (s): at once where the replica is of another group."""
        want = parked.want
        if want.group != source.raft.group:
            return float("-inf")
        if want.index >= _newest(source, want):
            return parked.at + min(want.max_wait_s, MAX_WAIT_S)
        replicas = source.replicas
        return replicas.news_sent_at(want.addr) + min(GATHER_MOST, GATHER_EACH * len(replicas.status_by_address))

    def _feed(self, source: ReplicationSource, want: ReplicationRequest, now: float) -> ReplicationResponse:
        raft, state, replicas = source.raft, source.state, source.replicas
        needs_snapshot = _lacks(source, want)
        entries, upto = ([], state.index) if needs_snapshot else _entries(source, want)
        confirmed_at = replicas.confirmed_at(want.addr, raft.rounds.confirmed)
        replicas.record_response(want.addr, now, want.index < _newest(source, want) <= upto)
        return ReplicationResponse(
            self._me,
            raft.group,
            needs_snapshot,
            entries,
            upto,
            state.settings.revision,
            confirmed_at,
            _voters(source, want, needs_snapshot),
            state.clock,
            source.time,
        )


def _newest(source: ReplicationSource, want: ReplicationRequest) -> int:
    """The index of the newest entry that the replica wants."""
    return source.state.settings_index if want.scope == "settings" else source.state.index


def _lacks(source: ReplicationSource, want: ReplicationRequest) -> bool:
    """Whether entries do not reach back to what the replica holds, so that it needs a snapshot."""
    oldest = source.news.compacted_index if want.scope == "settings" else source.raft.log.base
    return want.group != source.raft.group or want.index < oldest


def _entries(source: ReplicationSource, want: ReplicationRequest) -> tuple[list[Entry], int]:
    """The entries after the replica's index, and how far it is whole with them."""
    index = source.state.index
    if want.scope == "settings":
        return source.news.since(want.index, index)
    return [e for e in source.raft.log.since(want.index) if e.index <= index], index


def _voters(source: ReplicationSource, want: ReplicationRequest, needs_snapshot: bool) -> Voters | None:
    """The voters, where the replica may not know them yet."""
    log = source.raft.log
    known = want.max_wait_s > 0 and not needs_snapshot and want.index >= log.voters_index
    return None if known else log.voters_at(source.state.index)
