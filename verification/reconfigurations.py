"""The configuration changes that an exploration requests from a leader."""

from __future__ import annotations

from collections.abc import Iterator

from mallowvalve.raft.messages import ClusterConfiguration

MemberSets = tuple[tuple[str, ...], tuple[str, ...]]


def possible_changes(current: ClusterConfiguration, names: list[str]) -> Iterator[MemberSets]:
    """Yields the voters and learners of each change that is possible from the current configuration.

    A change adds a learner, promotes or removes one, removes a voter, or replaces a voter or all voters by learners.
    """
    if current.old_voters:
        return
    voters, learners = tuple(current.voters), tuple(current.learners)
    if learners and all(name in names for name in learners):
        yield learners, voters
    for name in names:
        if name not in voters and name not in learners:
            yield voters, (*learners, name)
    for removed in voters:
        if len(voters) > 1:
            yield _without(voters, removed), learners
    for learner in learners:
        if learner in names:
            yield (*voters, learner), _without(learners, learner)
            yield from (((*_without(voters, replaced), learner), _without(learners, learner)) for replaced in voters)
        else:
            yield voters, _without(learners, learner)


def _without(names: tuple[str, ...], name: str) -> tuple[str, ...]:
    return tuple(other for other in names if other != name)
