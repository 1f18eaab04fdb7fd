"""Which changes of voters an exploration offers to a leader."""

from __future__ import annotations

from collections.abc import Iterator

from mallowvalve.raft.messages import ClusterConfiguration

Seats = tuple[tuple[str, ...], tuple[str, ...]]


def proposals(now: ClusterConfiguration, names: list[str]) -> Iterator[Seats]:
    """Changes from the voters of now: a learner more, a learner's vote, a voter less, voters for learners."""
    if now.old_voters:
        return
    voters, learners = tuple(now.voters), tuple(now.learners)
    if learners and all(name in names for name in learners):
        yield learners, voters
    for name in names:
        if name not in voters and name not in learners:
            yield voters, (*learners, name)
    for leaver in voters:
        if len(voters) > 1:
            yield _without(voters, leaver), learners
    for learner in learners:
        if learner in names:
            yield (*voters, learner), _without(learners, learner)
            yield from (((*_without(voters, out), learner), _without(learners, learner)) for out in voters)
        else:
            yield voters, _without(learners, learner)


def _without(names: tuple[str, ...], name: str) -> tuple[str, ...]:
    return tuple(other for other in names if other != name)
