"""The state that a fetched snapshot was loaded into, kept until the snapshot is installed."""

from __future__ import annotations

from mallowvalve.control.snapshot import load
from mallowvalve.control.state import ReplicatedState
from mallowvalve.raft.messages import Group, Snapshot


class FetchedState:
    """At most one state; a snapshot that it does not belong to is loaded from its own pieces."""

    __slots__ = ("_held",)

    def __init__(self) -> None:
        """None is waiting."""
        self._held: tuple[Group, int, ReplicatedState] | None = None

    def put(self, snapshot: Snapshot, state: ReplicatedState) -> None:
        """Keeps the state that was loaded from the snapshot's pieces."""
        self._held = (snapshot.group, snapshot.index, state)

    def take(self, snapshot: Snapshot) -> ReplicatedState:
        """The snapshot's state: the one kept for it, or one loaded now."""
        group, index, state = self._held or (None, 0, None)
        self._held = None
        if state is None or (group, index) != (snapshot.group, snapshot.index):
            state = load(snapshot.state, snapshot.group.generation)
        state.index = snapshot.index
        return state
