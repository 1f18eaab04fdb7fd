"""What a leader hands to the replicas that ask it for news: entries, the voters, and proof that it still leads."""

from __future__ import annotations

from typing import Any

import msgspec

from mallowvalve.control.acknowledgement import Replicas
from mallowvalve.control.news import News
from mallowvalve.control.state import State
from mallowvalve.control.wire import Fed, Want
from mallowvalve.raft.messages import ClusterConfiguration, Entry
from mallowvalve.raft.raft import Raft
from mallowvalve.types import Address

HOLD_MOST = 1.0
"""The longest that a question without news is kept (s)."""
GATHER_EACH, GATHER_MOST = 0.0015, 0.15
"""How long news may wait for more to go with it: so much for each replica, and at most (s)."""

Reply = tuple[Any, Fed]


class Source(msgspec.Struct, frozen=True):
    """What the leader answers from; `time` is what the fleet's clock shows now (ms)."""

    raft: Raft
    state: State
    news: News
    replicas: Replicas
    time: int


class _Parked(msgspec.Struct):
    """A replica's question that waits for news since `at` (s); `token` is whom to answer."""

    token: Any
    want: Want
    at: float


class Feeds:
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
    def look_at(self) -> float:
        """When to look at those that wait next (s), unless there are news before; never, where nobody waits."""
        return self._look_at if self._parked else float("inf")

    def park(self, want: Want, token: Any, now: float) -> list[Reply]:
        """Keep a question; the same replica's earlier one is answered, for it is waited for no more."""
        old = self._parked.pop(want.addr, None)
        self._parked[want.addr] = _Parked(token, want, now)
        self._look_at = now
        return [(old.token, Fed(self._me))] if old is not None else []

    def drop(self) -> list[Reply]:
        """Answer all with the want of a leader."""
        dropped, self._parked = self._parked, {}
        return [(parked.token, Fed(None)) for parked in dropped.values()]

    def answer(self, source: Source, now: float) -> list[Reply]:
        """Answers to those for whom there are news, or who have waited long enough.

        One that was fed news a moment ago is fed the next with what else comes by then.
        """
        wants_all = any(parked.want.parts == "all" for parked in self._parked.values())
        news = (source.state.turned, source.state.index if wants_all else 0)
        if news == self._looked and now < self._look_at:
            return []
        self._looked, self._look_at = news, now + HOLD_MOST
        out: list[Reply] = []
        for address, parked in list(self._parked.items()):
            due = self._due(source, parked)
            if now < due:
                self._look_at = min(self._look_at, due)
                continue
            del self._parked[address]
            out.append((parked.token, self._feed(source, parked.want, now)))
        return out

    def _due(self, source: Source, parked: _Parked) -> float:
        """When to answer (s): at once where the replica is of another group."""
        want = parked.want
        if want.group != source.raft.group:
            return float("-inf")
        if want.index >= _newest(source, want):
            return parked.at + min(want.hold, HOLD_MOST)
        replicas = source.replicas
        return replicas.told_at(want.addr) + min(GATHER_MOST, GATHER_EACH * len(replicas.heard_of))

    def _feed(self, source: Source, want: Want, now: float) -> Fed:
        raft, state, replicas = source.raft, source.state, source.replicas
        lacking = _lacks(source, want)
        entries, upto = ([], state.index) if lacking else _entries(source, want)
        sure = replicas.sure(want.addr, raft.rounds.confirmed)
        replicas.fed(want.addr, now, want.index < _newest(source, want) <= upto)
        return Fed(
            self._me,
            raft.group,
            lacking,
            entries,
            upto,
            state.settings.revision,
            sure,
            _voters(source, want, lacking),
            state.clock,
            source.time,
        )


def _newest(source: Source, want: Want) -> int:
    """The index of the newest entry that the replica wants."""
    return source.state.turned if want.parts == "settings" else source.state.index


def _lacks(source: Source, want: Want) -> bool:
    """Whether entries do not reach back to what the replica holds, so that it needs a snapshot."""
    oldest = source.news.dropped if want.parts == "settings" else source.raft.log.snapshot_index
    return want.group != source.raft.group or want.index < oldest


def _entries(source: Source, want: Want) -> tuple[list[Entry], int]:
    """The entries after the replica's index, and how far it is whole with them."""
    index = source.state.index
    if want.parts == "settings":
        return source.news.since(want.index, index)
    return [e for e in source.raft.log.entries_after(want.index) if e.index <= index], index


def _voters(source: Source, want: Want, lacking: bool) -> ClusterConfiguration | None:
    """The voters, where the replica may not know them yet."""
    log = source.raft.log
    known = want.hold > 0 and not lacking and want.index >= log.configuration_index
    return None if known else log.configuration_at(source.state.index)
