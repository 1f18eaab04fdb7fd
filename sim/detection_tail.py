"""How long live members still hold ended ones alive: the tail of the failure detector, in simulated time.

`python -m sim.detection_tail --help`. A run starts a group that knows itself, ends several members at once, and
observes how many of them at least one live member still holds alive.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import click
import msgspec

from mallowvalve.membership import formula
from mallowvalve.membership.wire import LEAVING, Tell
from mallowvalve.types import Address
from sim.fleet import ZONES
from sim.members import ASSUMED, DETECT, Member
from sim.world import World

OBSERVED_AT_S = (4.0, 5.0, 7.0, 9.0, 12.0)
"""The times after the end at which the views are compared."""
SETTLE_S = 6.0
LATE_TIMER_S = 0.8
CALM_S = 60.0


class TailCase(msgspec.Struct, frozen=True):
    """A group: `late_share` of its members have timers that are up to `LATE_TIMER_S` late, `loss` is of datagrams.

    With `same_region` the ended members are drawn from one region first.
    """

    members: int
    ended: int
    loss: float = 0.0
    late_share: float = 0.0
    same_region: bool = False


class TailResult(msgspec.Struct):
    """`still_alive[t]` counts the ended members that some live member held alive `t` s after their end.

    `undeclared[t]` counts those that nobody had declared by then; the others were declared and not known to all.
    `mistakes` are declarations of live members, `datagrams` and `bytes` those sent in the calm time, all over the runs.
    """

    ends: int = 0
    still_alive: dict[float, int] = {}
    undeclared: dict[float, int] = {}
    mistakes: int = 0
    datagrams_per_node_s: float = 0.0
    bytes_per_node_s: float = 0.0


class TailGroup:
    """A group whose members know each other from the beginning."""

    def __init__(self, case: TailCase, seed: int) -> None:
        """Starts the members; the network has the delays of zones that lie up to 35 ms apart."""
        self.case = case
        self.world = World(seed, loss=case.loss, slow=0.035)
        self.rng = random.Random(seed * 31 + 7)
        self.addresses = [Address(f"10.0.{i // 200}.{i % 200 + 1}", 7000) for i in range(case.members)]
        late = set(self.rng.sample(range(case.members), int(case.late_share * case.members)))
        self.members = [
            Member(
                self.world,
                address,
                self.addresses[:3],
                index,
                max_timer_delay_s=LATE_TIMER_S if index in late else 0.0,
            )
            for index, address in enumerate(self.addresses)
        ]
        self._introduce()

    def _introduce(self) -> None:
        records = [member.membership.me for member in self.members]
        for member in self.members:
            others = [record for record in records if record.addr != member.addr]
            member.membership.receive(Tell(self.members[0].membership._header(), others), 0.0)
            member.membership._joined = True

    def run(self, seconds: float) -> None:
        """Advances the simulated time."""
        self.world.run(self.world.now + seconds)

    def end_some(self) -> list[Address]:
        """Ends members without a word, all at the same moment, and returns their addresses."""
        indexes = list(range(self.case.members))
        self.rng.shuffle(indexes)
        if self.case.same_region:
            region = self.rng.choice(ZONES).region
            indexes.sort(key=lambda index: ZONES[index % len(ZONES)].region != region)
        ended = [self.addresses[index] for index in indexes[: self.case.ended]]
        for address in ended:
            self.world.nodes[address].crash()
        return ended

    def live(self) -> list[Member]:
        """Returns the members that still run."""
        return [member for member in self.members if member.addr in self.world.nodes]

    def held_alive(self, ended: list[Address]) -> int:
        """Returns how many of the ended members some live member holds alive."""
        views = [member.membership.view for member in self.live()]
        return sum(any(view[address].state <= LEAVING for view in views if address in view) for address in ended)

    def undeclared(self, ended: list[Address]) -> int:
        """Returns how many of the ended members all live members hold alive."""
        views = [member.membership.view for member in self.live()]
        return sum(all(view[address].state <= LEAVING for view in views if address in view) for address in ended)

    def mistakes(self, ended: list[Address]) -> int:
        """Returns how many members refuted their declaration."""
        return sum(member.membership.counts.get("membership_refuted") for member in self.live())


def measure_tail(case: TailCase, seeds: range, calm_s: float = CALM_S, progress: Callable[[], None] = lambda: None):
    """Returns the sums over runs with these seeds."""
    result = TailResult(0, dict.fromkeys(OBSERVED_AT_S, 0), dict.fromkeys(OBSERVED_AT_S, 0))
    sent = sent_bytes = 0
    for seed in seeds:
        group = TailGroup(case, seed)
        group.run(SETTLE_S)
        before = sum(m.sent for m in group.members), sum(m.bytes for m in group.members)
        group.run(calm_s)
        sent += sum(m.sent for m in group.members) - before[0]
        sent_bytes += sum(m.bytes for m in group.members) - before[1]
        group.run(group.rng.random() * 2)
        ended = group.end_some()
        result.ends += len(ended)
        elapsed = 0.0
        for at in OBSERVED_AT_S:
            group.run(at - elapsed)
            elapsed = at
            result.still_alive[at] += group.held_alive(ended)
            result.undeclared[at] += group.undeclared(ended)
        result.mistakes += group.mistakes(ended)
        progress()
    total = case.members * calm_s * len(seeds)
    result.datagrams_per_node_s = sent / total if total else 0.0
    result.bytes_per_node_s = sent_bytes / total if total else 0.0
    return result


CASES = (
    TailCase(3, 1),
    TailCase(15, 3),
    TailCase(90, 8),
    TailCase(90, 8, loss=0.05),
    TailCase(90, 8, late_share=0.5),
    TailCase(90, 8, loss=0.05, late_share=0.5),
    TailCase(90, 30, loss=0.05),
    TailCase(90, 30, loss=0.05, same_region=True),
)


@click.command()
@click.option("--seeds", default=20)
@click.option("--first", default=1)
@click.option("--calm", default=30.0, help="Seconds of calm time in each run, for the load and the mistakes.")
@click.option("--case", "case_number", type=int, default=None, help="Plays only the case of this number, from 0.")
def main(seeds: int, first: int, calm: float, case_number: int | None) -> None:
    """Measures the share of ended members that some live member still holds alive."""
    period = formula.period(DETECT, ASSUMED)
    click.echo(f"T' {period:.3f} s, E[T] {DETECT} s; seeds {first} to {first + seeds - 1}")
    for case in CASES if case_number is None else CASES[case_number : case_number + 1]:
        result = measure_tail(case, range(first, first + seeds), calm)
        shares = ", ".join(
            f"{at:.0f} s {result.still_alive[at] / result.ends:.4f} ({result.undeclared[at] / result.ends:.4f} undeclared)"
            for at in OBSERVED_AT_S
        )
        click.echo(
            f"members {case.members} ended {case.ended} loss {case.loss:.2f} late {case.late_share:.1f}"
            f"{' one region' if case.same_region else ''}: {shares} of {result.ends}; mistakes {result.mistakes},"
            f" {result.datagrams_per_node_s:.2f} datagrams and {result.bytes_per_node_s:.0f} bytes a node and second"
        )


if __name__ == "__main__":
    main()
