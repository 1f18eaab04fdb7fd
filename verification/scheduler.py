"""The choice of steps on a random path: weights of the kinds of steps, and temporarily blocked links.

The scheduler chooses among possible steps only, so the replay of a trace doesn't need it.
"""

from __future__ import annotations

import random
from typing import Any

from verification import steps

STEP_WEIGHTS = {
    steps.DeliverMessage: 600,
    steps.SaveToDisk: 500,
    steps.Timeout: 100,
    steps.PassTime: 90,
    steps.Propose: 40,
    steps.OfferCall: 40,
    steps.AnnounceMember: 30,
    steps.RequestRead: 40,
    steps.CrashMember: 20,
    steps.CompactLog: 25,
    steps.FreezeMember: 6,
    steps.TransferLeadership: 4,
    steps.ChangeConfiguration: 25,
    steps.WipeDisk: 8,
    steps.LoseMessage: 30,
}
MAX_IN_FLIGHT = 40
"""Above this number of messages in flight, only losses are chosen."""
DUPLICATE_PROBABILITY = 0.1
OLDEST_CHOICES = 4
"""In-order delivery chooses among this number of the oldest messages."""
IN_ORDER_PROBABILITY = 0.8
DISRUPTIVE_STEPS = frozenset({steps.CrashMember, steps.FreezeMember, steps.TransferLeadership, steps.WipeDisk})
CALM_PROBABILITY = 0.3
PARTITION_PROBABILITY = 0.8
PHASE_STEPS = (10, 60)
"""The shortest and the longest phase (steps)."""
SINGLE_PAIR_PROBABILITY = 0.3
ISOLATE_LEADER_PROBABILITY = 0.6


class StepScheduler:
    """Chooses the steps of a path from one random generator."""

    __slots__ = ("rng", "_phase_steps_left", "_calm", "_blocked_links", "_kinds", "_weights")

    def __init__(self, rng: random.Random, weights: dict[type[steps.Step], int] = STEP_WEIGHTS):
        """All random choices use `rng`."""
        self.rng = rng
        self._phase_steps_left, self._calm = 0, False
        self._blocked_links: set[tuple[str, str]] = set()
        self._kinds, self._weights = list(weights), list(weights.values())

    def choose(self, cluster: Any) -> steps.Step:
        """Returns one of the steps that are possible now."""
        self._advance_phase(cluster)
        if len(cluster.in_flight) > MAX_IN_FLIGHT:
            return self.rng.choice(list(cluster.options(steps.LoseMessage)))
        while True:
            kind = self.rng.choices(self._kinds, self._weights)[0]
            options = list(cluster.options(kind))
            if self._calm and kind in DISRUPTIVE_STEPS:
                continue
            if kind is steps.DeliverMessage:
                options = self._deliverable(options)
            if self._calm:
                options = _calm_options(kind, options, cluster)
            if options:
                return self.rng.choice(options)

    def _deliverable(self, options: list[steps.DeliverMessage]) -> list[steps.DeliverMessage]:
        """Returns deliveries over links that aren't blocked, mostly the oldest ones.

        Few of them keep the message in flight.
        """
        keep = self.rng.random() < DUPLICATE_PROBABILITY
        reachable = [step for step in options if (step.sender, step.to) not in self._blocked_links]
        preferred = [step for step in reachable if step.keep == keep] or reachable
        return preferred[:OLDEST_CHOICES] if self.rng.random() < IN_ORDER_PROBABILITY else preferred

    def _advance_phase(self, cluster: Any) -> None:
        """Starts a new phase once the current one ends, with other links blocked.

        A phase blocks no link, the links between two members, or all links of some members, which is often a leader.
        """
        self._phase_steps_left -= 1
        if self._phase_steps_left > 0:
            return
        self._phase_steps_left = self.rng.randint(*PHASE_STEPS)
        self._blocked_links, self._calm = set(), self.rng.random() < CALM_PROBABILITY
        if self._calm or self.rng.random() > PARTITION_PROBABILITY:
            return
        names = list(cluster.members)
        if len(names) > 1 and self.rng.random() < SINGLE_PAIR_PROBABILITY:
            first, second = self.rng.sample(names, 2)
            self._blocked_links = {(first, second), (second, first)}
            return
        leaders = [name for name, member in cluster.members.items() if member.raft.leads]
        isolated = set(self.rng.sample(names, self.rng.randint(1, (len(names) + 1) // 2)))
        if leaders and self.rng.random() < ISOLATE_LEADER_PROBABILITY:
            isolated = {self.rng.choice(leaders)}
        inward, outward = self.rng.choice([(True, True), (True, True), (True, False), (False, True)])
        for member in isolated:
            for peer in set(names) - isolated:
                if outward:
                    self._blocked_links.add((member, peer))
                if inward:
                    self._blocked_links.add((peer, member))


def _calm_options(kind: type[steps.Step], options: list[Any], cluster: Any) -> list[Any]:
    """Restricts the options in a calm phase.

    Time passes in short steps, the clocks of leaders advance first, and leaders receive the status of members.
    """
    if kind is steps.PassTime:
        shortest = min((step.ms for step in options), default=0)
        return [step for step in options if step.ms == shortest and not step.frozen]
    if kind is steps.AnnounceMember:
        return [step for step in options if cluster.members[step.member].raft.leads and not step.leaving] or options
    if kind is steps.Timeout:
        return [step for step in options if cluster.members[step.member].raft.leads] or options
    return options
