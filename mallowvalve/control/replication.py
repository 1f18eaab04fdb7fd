"""Replication from the leader to the replicas: entries, the voters, and the confirmation that it still leads."""

from __future__ import annotations

from typing import Any

import msgspec

from mallowvalve.control.acknowledgement import UNCONFIRMED, Replicas
from mallowvalve.control.settings_log import SettingsLog
from mallowvalve.control.state import ReplicatedState
from mallowvalve.control.wire import ReplicationRequest, ReplicationResponse
from mallowvalve.raft.messages import ClusterConfiguration, Entry
from mallowvalve.raft.raft import Raft
from mallowvalve.types import Address

MAX_WAIT_S = 1.0
"""The longest time for which a request is parked while there are no new entries."""
BATCH_DELAY_PER_REPLICA_S = 0.0015
"""How long new entries wait for further ones to be sent with them, for each replica of the leader."""
MAX_BATCH_DELAY_S = 0.15

Reply = tuple[Any, ReplicationResponse]


class ReplicationSource(msgspec.Struct, frozen=True):
    """The leader's data for its responses; `fleet_time_ms` is the current time of the fleet clock."""

    raft: Raft
    state: ReplicatedState
    settings_log: SettingsLog
    replicas: Replicas
    fleet_time_ms: int


class _ParkedRequest(msgspec.Struct):
    """A request that waits for new entries since `parked_at` (s); the response goes to the token."""

    token: Any
    request: ReplicationRequest
    parked_at: float


class ParkedRequests:
    """The requests of replicas that wait for new entries, one for each replica."""

    __slots__ = ("_me", "_parked", "_checked_indexes", "_next_check_at")

    def __init__(self, me: Address) -> None:
        """Creates an empty set of requests; responses name `me` as the leader's address."""
        self._me = me
        self._parked: dict[Address, _ParkedRequest] = {}
        self._checked_indexes, self._next_check_at = (0, 0), -1e9

    def __len__(self) -> int:
        """Returns how many replicas wait."""
        return len(self._parked)

    @property
    def next_check_at(self) -> float:
        """Returns when a parked request is due next unless entries arrive first (s); infinity if none is parked."""
        return self._next_check_at if self._parked else float("inf")

    def park(self, request: ReplicationRequest, token: Any, now: float) -> list[Reply]:
        """Parks a request, and answers the replica's earlier one, for which it no longer waits."""
        old = self._parked.pop(request.addr, None)
        self._parked[request.addr] = _ParkedRequest(token, request, now)
        self._next_check_at = now
        return [(old.token, ReplicationResponse(self._me))] if old is not None else []

    def drop(self) -> list[Reply]:
        """Answers all requests: this process is no longer the leader."""
        dropped, self._parked = self._parked, {}
        return [(parked.token, ReplicationResponse(None)) for parked in dropped.values()]

    def answer(self, source: ReplicationSource, now: float) -> list[Reply]:
        """Removes the requests for which there are new entries, or whose time is over, and returns their responses.

        After a response with entries, a replica's next one is delayed to include the entries that arrive meanwhile.
        """
        any_unscoped = any(parked.request.scope == "all" for parked in self._parked.values())
        newest = (source.state.settings_index, source.state.index if any_unscoped else 0)
        if newest == self._checked_indexes and now < self._next_check_at:
            return []
        self._checked_indexes, self._next_check_at = newest, now + MAX_WAIT_S
        responses: list[Reply] = []
        for address, parked in list(self._parked.items()):
            due = self._due(source, parked)
            if now < due:
                self._next_check_at = min(self._next_check_at, due)
                continue
            del self._parked[address]
            responses.append((parked.token, self._respond(source, parked.request, now)))
        return responses

    def _due(self, source: ReplicationSource, parked: _ParkedRequest) -> float:
        """Returns when to answer (s): at once if the replica belongs to another group."""
        request = parked.request
        if request.group != source.raft.group:
            return float("-inf")
        if request.index >= _newest(source, request):
            return parked.parked_at + min(request.max_wait_s, MAX_WAIT_S)
        replicas = source.replicas
        return replicas.entries_sent_at(request.addr) + min(
            MAX_BATCH_DELAY_S, BATCH_DELAY_PER_REPLICA_S * len(replicas.status_by_address)
        )

    def _respond(self, source: ReplicationSource, request: ReplicationRequest, now: float) -> ReplicationResponse:
        raft, state, replicas = source.raft, source.state, source.replicas
        needs_snapshot = _needs_snapshot(source, request)
        entries, complete_to = ([], state.index) if needs_snapshot else _entries(source, request)
        is_complete = not needs_snapshot and complete_to >= _newest(source, request) and _holds_own_term(source)
        confirmed_at = replicas.confirmed_at(request.addr, raft.rounds) if is_complete else UNCONFIRMED
        replicas.record_response(request.addr, now, request.index < _newest(source, request) <= complete_to)
        return ReplicationResponse(
            self._me,
            raft.group,
            needs_snapshot,
            entries,
            complete_to,
            state.settings.revision,
            confirmed_at,
            _voters(source, request, needs_snapshot),
            state.clock,
            source.fleet_time_ms,
        )


def _holds_own_term(source: ReplicationSource) -> bool:
    """Whether the state has an entry of the leader's own term, so that it has all that former leaders acknowledged."""
    return source.raft.log.term(source.state.index) == source.raft.term


def _newest(source: ReplicationSource, request: ReplicationRequest) -> int:
    """Returns the index of the newest entry in the scope of the replica."""
    return source.state.settings_index if request.scope == "settings" else source.state.index


def _needs_snapshot(source: ReplicationSource, request: ReplicationRequest) -> bool:
    """Whether the retained entries start after the replica's index, so that it needs a snapshot."""
    oldest = source.settings_log.compacted_index if request.scope == "settings" else source.raft.log.snapshot_index
    return request.group != source.raft.group or request.index < oldest


def _entries(source: ReplicationSource, request: ReplicationRequest) -> tuple[list[Entry], int]:
    """Returns the entries after the replica's index, and the index up to which it is complete with them."""
    index = source.state.index
    if request.scope == "settings":
        return source.settings_log.since(request.index, index)
    return [entry for entry in source.raft.log.entries_after(request.index) if entry.index <= index], index


def _voters(
    source: ReplicationSource, request: ReplicationRequest, needs_snapshot: bool
) -> ClusterConfiguration | None:
    """Returns the voters, or None if the replica already knows them."""
    log = source.raft.log
    known = request.max_wait_s > 0 and not needs_snapshot and request.index >= log.configuration_index
    return None if known else log.configuration_at(source.state.index)
