"""How long a core member takes to hold what the others hold, and over how many bytes, while changes go on.

The member is away while `made` changes are made, on a core of four with snapshots on; then it is back as `kind` says.
It has caught up once it has applied what was committed `TRIP` seconds before.
"""

from __future__ import annotations

import random
from collections import deque
from unittest.mock import patch

import click
import msgspec

from mallowvalve.control import snapshot
from mallowvalve.control.state import encode
from mallowvalve.coordination.state import Put
from sim.control import ControlNode
from sim.disk import SimDisk
from sim.fleet import SimulatedFleet

SLICE = 2000
KINDS = ("restarted", "wiped", "frozen", "new")
RATE = 20.0
KEYS, VALUE = 500, "v" * 100
BATCH, BATCH_EVERY = 100, 0.05
TRIP, LOOK = 0.3, 0.05
MOST = 60.0


class Row(msgspec.Struct, frozen=True):
    """Seconds from its return until it has caught up, None if it has not in `MOST`; bytes that reached it meanwhile."""

    kind: str
    made: int
    seconds: float | None
    received: int
    overtaken: int


class Writer:
    """Makes changes, each of them to one of `KEYS` keys."""

    def __init__(self, fleet: SimulatedFleet):
        self.fleet, self.made = fleet, 0

    def change(self) -> None:
        lead = self.fleet.leader()
        if lead is None:
            return
        self.made += 1
        now, key = self.fleet.world.now, f"k{self.made % KEYS}"
        data = encode(Put(key, VALUE, None, f"p{self.made}"))
        lead._enqueue(lambda: lead.core.propose(data, None, now + 5.0, now))

    def steadily(self, rate: float) -> None:
        """Goes on for ever, `rate` changes a second."""
        self.change()
        self.fleet.world.after(1.0 / rate, lambda: self.steadily(rate))

    def make(self, count: int) -> None:
        while self.made < count:
            for _ in range(min(BATCH, count - self.made)):
                self.change()
            self.fleet.run(BATCH_EVERY)


class Meter:
    """Counts the bytes of all messages that reach a machine."""

    def __init__(self, node: ControlNode):
        self.received = 0
        self._handle, self._answered = node.handle, node._answered
        node.handle, node._answered = self.handle, self.answered

    def handle(self, kind, src, body, answer) -> None:
        self.received += len(body)
        self._handle(kind, src, body, answer)

    def answered(self, life, n, data) -> None:
        self.received += len(data or b"")
        self._answered(life, n, data)


def play(kind: str, made: int, seed: int = 1, rate: float = RATE, slow: float = 0.02, rows: int = SLICE) -> Row:
    """One member's return; `slow` is the longest way of a message (s), `rows` how many a piece of a snapshot has."""
    with patch.object(snapshot, "MAX_ROWS_PER_PIECE", rows):
        return _play(kind, made, seed, rate, slow)


def _play(kind: str, made: int, seed: int, rate: float, slow: float) -> Row:
    fleet = SimulatedFleet(seed, cores=4, proxies=1, directory_server=0)
    fleet.world.slow = slow
    fleet.run_until(lambda: fleet.leader() is not None, 30.0)
    fleet.run(5.0)
    writer, subject = Writer(fleet), next(a for a in fleet.core if a != fleet.leader().addr)
    if kind == "frozen":
        fleet.world.freeze(subject)
    elif kind != "new":
        fleet.kill(subject)
    writer.make(made)
    writer.steadily(rate)
    fleet.run(2.0)
    node = _back(fleet, kind, subject)
    return _caught_up(fleet, node, kind, made)


def _back(fleet: SimulatedFleet, kind: str, subject) -> ControlNode:
    if kind == "new":
        subject = fleet._address("1", len(fleet.disks))
        fleet.core.append(subject)
    if kind in ("new", "wiped"):
        fleet.disks[subject] = SimDisk(random.Random(fleet.rng.random()))
    fleet.start(subject)
    return fleet.world.nodes[subject]


def _caught_up(fleet: SimulatedFleet, node: ControlNode, kind: str, made: int) -> Row:
    meter, begun = Meter(node), fleet.world.now
    if kind == "frozen":
        fleet.world.thaw(node.addr)
    commits: deque[int] = deque(maxlen=round(TRIP / LOOK))
    seconds = None
    while seconds is None and fleet.world.now - begun < MOST:
        lead = fleet.leader()
        commits.append(lead.core.raft.commit_index if lead is not None else 1 << 62)
        fleet.run(LOOK)
        state = node.core.state
        if state is not None and len(commits) == commits.maxlen and state.index >= commits[0]:
            seconds = fleet.world.now - begun
    return Row(kind, made, seconds, meter.received, node.core.counts.snapshot().get("snapshots_overtaken", 0))


@click.command()
@click.option("--made", multiple=True, type=int, default=(100, 1_000, 10_000), help="changes made while it was away")
@click.option("--seed", default=1)
@click.option("--rate", default=RATE, help="changes a second that go on meanwhile")
@click.option("--slow", default=0.02, help="the longest way of a message, seconds")
def main(made: tuple[int, ...], seed: int, rate: float, slow: float) -> None:
    """Print a table of how long members take to catch up."""
    click.echo("| member | changes made | seconds | kB received | overtaken |\n| --- | --: | --: | --: | --: |")
    for kind in KINDS:
        for count in made:
            r = play(kind, count, seed, rate, slow)
            took = f"{r.seconds:.2f}" if r.seconds is not None else f"over {MOST:.0f}"
            click.echo(f"| {kind} | {count:,} | {took} | {r.received / 1000:.0f} | {r.overtaken} |")


if __name__ == "__main__":
    main()
