"""How a random path is steered: the weight of each kind of step, and links that are dark for a while.

It chooses among possible steps only, so a trace needs none of it to be replayed.
"""

from __future__ import annotations

import random
from typing import Any

from verification import steps

WEIGHTS = {
    steps.Deliver: 600,
    steps.Save: 500,
    steps.Timeout: 100,
    steps.Pass: 90,
    steps.Propose: 40,
    steps.Offer: 40,
    steps.Here: 30,
    steps.Read: 40,
    steps.Crash: 20,
    steps.Compact: 25,
    steps.Silence: 6,
    steps.HandOver: 4,
    steps.Reconfigure: 25,
    steps.Wipe: 8,
    steps.Lose: 30,
}
MOST_IN_FLIGHT = 40
KEEP = 0.1
NEAR = 4
IN_ORDER = 0.8
UPSETTING = frozenset({steps.Crash, steps.Silence, steps.HandOver, steps.Wipe})
CALM = 0.3
DARK = 0.8
SPELL = (10, 60)
PAIR = 0.3
LEADERS_TURN = 0.6


class Weather:
    """Chooses a path's steps from one random generator."""

    __slots__ = ("rng", "_left", "_calm", "_dark", "_kinds", "_weights")

    def __init__(self, rng: random.Random, weights: dict[type[steps.Step], int] = WEIGHTS):
        """All choices come from `rng`."""
        self.rng = rng
        self._left, self._calm = 0, False
        self._dark: set[tuple[str, str]] = set()
        self._kinds, self._weights = list(weights), list(weights.values())

    def choose(self, cluster: Any) -> steps.Step:
        """One of the steps that are possible now."""
        self._turn(cluster)
        if len(cluster.flights) > MOST_IN_FLIGHT:
            return self.rng.choice(list(cluster.options(steps.Lose)))
        while True:
            kind = self.rng.choices(self._kinds, self._weights)[0]
            options = list(cluster.options(kind))
            if self._calm and kind in UPSETTING:
                continue
            if kind is steps.Deliver:
                options = self._deliverable(options)
            if self._calm:
                options = _gentle(kind, options, cluster)
            if options:
                return self.rng.choice(options)

    def _deliverable(self, options: list[steps.Deliver]) -> list[steps.Deliver]:
        """Those over links that are not dark, mostly the oldest; few of them are kept in flight."""
        keep = self.rng.random() < KEEP
        lit = [step for step in options if (step.sender, step.to) not in self._dark]
        some = [step for step in lit if step.keep == keep] or lit
        return some[:NEAR] if self.rng.random() < IN_ORDER else some

    def _turn(self, cluster: Any) -> None:
        """Now and then other links are dark: none, or each between two members, or some alone, often a leader."""
        self._left -= 1
        if self._left > 0:
            return
        self._left = self.rng.randint(*SPELL)
        self._dark, self._calm = set(), self.rng.random() < CALM
        if self._calm or self.rng.random() > DARK:
            return
        names = list(cluster.members)
        if len(names) > 1 and self.rng.random() < PAIR:
            one, other = self.rng.sample(names, 2)
            self._dark = {(one, other), (other, one)}
            return
        leaders = [name for name, member in cluster.members.items() if member.raft.leads]
        alone = set(self.rng.sample(names, self.rng.randint(1, (len(names) + 1) // 2)))
        if leaders and self.rng.random() < LEADERS_TURN:
            alone = {self.rng.choice(leaders)}
        inward, outward = self.rng.choice([(True, True), (True, True), (True, False), (False, True)])
        for one in alone:
            for other in set(names) - alone:
                if outward:
                    self._dark.add((one, other))
                if inward:
                    self._dark.add((other, one))


def _gentle(kind: type[steps.Step], options: list[Any], cluster: Any) -> list[Any]:
    """In calm, little time passes at once, leaders' clocks move on first, and leaders hear who is there."""
    if kind is steps.Pass:
        shortest = min((step.ms for step in options), default=0)
        return [step for step in options if step.ms == shortest and not step.frozen]
    if kind is steps.Here:
        return [step for step in options if cluster.members[step.member].raft.leads and not step.leaving] or options
    if kind is steps.Timeout:
        return [step for step in options if cluster.members[step.member].raft.leads] or options
    return options
