"""Which changes of voters an exploration offers to a leader."""

from __future__ import annotations

from collections.abc import Iterator

from mallowvalve.raft.messages import Voters

Seats = tuple[tuple[str, ...], tuple[str, ...]]


def proposals(now: Voters, names: list[str]) -> Iterator[Seats]:
    """Voters and learners one step from those of now: a learner more, a learner's vote, a voter less."""
    voters, learners = tuple(now.voters), tuple(now.learners)
    for name in names:
        if name not in voters and name not in learners:
            yield voters, (*learners, name)
    for name in learners:
        yield (*voters, name), tuple(other for other in learners if other != name)
    for name in voters:
        if len(voters) > 1:
            yield tuple(other for other in voters if other != name), learners
