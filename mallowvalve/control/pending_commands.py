"""The commands that a leader has proposed, from their proposal until their response."""

from __future__ import annotations

from collections import deque
from typing import Any

from mallowvalve.control.acknowledgement import Replicas
from mallowvalve.control.outcome import WITHOUT_EFFECT, Code
from mallowvalve.control.state import Outcome
from mallowvalve.control.waiting import PendingCommand
from mallowvalve.control.wire import CommandResponse
from mallowvalve.raft.messages import Entry

Reply = tuple[Any, CommandResponse]
"""The token of a command, and its response."""


class PendingCommands:
    """Commands that wait for their commit, then for their copies on the replicas."""

    __slots__ = ("_uncommitted", "_applied")

    def __init__(self) -> None:
        """Creates an empty set of commands."""
        self._uncommitted: dict[int, PendingCommand] = {}
        self._applied: deque[tuple[PendingCommand, Outcome]] = deque()

    def add(self, index: int, command: PendingCommand) -> None:
        """Adds a command that was proposed at an index of the log."""
        self._uncommitted[index] = command

    def record_applied(self, entry: Entry, outcome: Outcome, settings_index: int) -> list[Reply]:
        """Records the outcome of an entry; returns the response if another leader's entry took the command's place."""
        command = self._uncommitted.pop(entry.index, None)
        if command is None:
            return []
        if command.term != entry.term:
            return [(command.token, CommandResponse(Code.REPLACED))]
        command.required_index = settings_index if command.changes_settings else entry.index
        self._applied.append((command, outcome))
        return []

    def answer(self, replicas: Replicas, now: float) -> list[Reply]:
        """Removes the commands that are acknowledged or past their limit, and returns their responses."""
        replies: list[Reply] = []
        waiting: deque[tuple[PendingCommand, Outcome]] = deque()
        for command, outcome in self._applied:
            if is_acknowledged(command, outcome, replicas, now):
                response = CommandResponse(outcome.code, outcome.revision, outcome.body, term=command.term)
                replies.append((command.token, response))
            elif now >= command.limit:
                replies.append((command.token, CommandResponse(Code.UNDECIDED, outcome.revision)))
            else:
                waiting.append((command, outcome))
        self._applied = waiting
        for index in [index for index, command in self._uncommitted.items() if now >= command.limit]:
            replies.append((self._uncommitted.pop(index).token, CommandResponse(Code.UNDECIDED)))
        return replies

    def fail(self) -> list[Reply]:
        """Removes all commands and returns their responses: this process is no longer the leader."""
        commands = [*self._uncommitted.values(), *(command for command, _ in self._applied)]
        self._uncommitted, self._applied = {}, deque()
        return [(command.token, CommandResponse(Code.UNDECIDED)) for command in commands]


def is_acknowledged(command: PendingCommand, outcome: Outcome, replicas: Replicas, now: float) -> bool:
    """Whether the acknowledgement that the command asks for has been reached."""
    if command.acknowledgement == "commit" or outcome.code in WITHOUT_EFFECT:
        return True
    if not replicas.is_replicated(command.required_index, now, command.changes_settings):
        return False
    return command.acknowledgement == "held" or replicas.in_force(outcome.revision, now)
