"""The state loaded from a fetched snapshot, kept until the snapshot is installed."""

from __future__ import annotations

from mallowvalve.control.snapshot import decode_snapshot
from mallowvalve.control.state import ReplicatedState
from mallowvalve.raft.messages import GroupId, RaftSnapshot


class FetchedState:
    """Keeps at most one loaded state; any other snapshot is loaded from its own pieces."""

    __slots__ = ("_kept",)

    def __init__(self) -> None:
        """Creates a holder without a state."""
        self._kept: tuple[GroupId, int, ReplicatedState] | None = None

    def put(self, snapshot: RaftSnapshot, state: ReplicatedState) -> None:
        """Keeps the state that was loaded from the snapshot's pieces."""
        self._kept = (snapshot.group, snapshot.index, state)

    def take(self, snapshot: RaftSnapshot) -> ReplicatedState:
        """Returns the state kept for the snapshot, or loads it from the snapshot's pieces."""
        group, index, state = self._kept or (None, 0, None)
        self._kept = None
        if state is None or (group, index) != (snapshot.group, snapshot.index):
            state = decode_snapshot(snapshot.state, snapshot.group.generation)
        state.index = snapshot.index
        return state
