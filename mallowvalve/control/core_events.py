"""Logs what a control process has decided: commands, its Raft role, and entries that could not be applied."""

from __future__ import annotations

from mallowvalve.control.core import Core
from mallowvalve.metrics import Counts, log_event

UNLOGGED_FIELDS = ("doc", "digest")
UNLOGGED_ROLES = ("pre",)


class CoreEvents:
    """Logs the changes of a core since the last call."""

    __slots__ = ("core", "counts", "_role", "_refused_entries")

    def __init__(self, core: Core, counts: Counts) -> None:
        """Nothing has been logged yet."""
        self.core, self.counts = core, counts
        self._role = ""
        self._refused_entries = 0

    def log(self) -> None:
        """Logs what has changed."""
        raft = self.core.raft
        term = raft.term if raft else 0
        decided, self.core.decided = self.core.decided, []
        for command, outcome in decided:
            fields = {f: str(getattr(command, f)) for f in command.__struct_fields__ if f not in UNLOGGED_FIELDS}
            code, revision = outcome.code, outcome.revision
            log_event(f"decided_{type(command).__name__.lower()}", said=code, revision=revision, term=term, **fields)
        self._log_refusals()
        role = raft.role if raft else "blank"
        if role == self._role or role in UNLOGGED_ROLES:
            return
        self._role = role
        log_event("raft_role", role=role, term=term, generation=raft.group.generation if raft else 0)

    def _log_refusals(self) -> None:
        state = self.core.state
        refused = state.refused_entries if state is not None else 0
        if refused > self._refused_entries and state is not None:
            self.counts.add("entries_refused", refused - self._refused_entries)
            log_event("entry_refused", entries=refused - self._refused_entries, last=state.last_refusal)
        self._refused_entries = refused
