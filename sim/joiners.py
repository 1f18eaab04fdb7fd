"""Many that lack everything fetch the settings from one machine at once, while its log goes on: snapshots made, time taken."""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterator
from types import SimpleNamespace
from unittest.mock import patch

import click

from mallowvalve import clock
from mallowvalve.control.snapshot import encode_settings_pieces
from mallowvalve.control.snapshot_fetch import SETTINGS_MAX_FAILURES, SETTINGS_SNAPSHOT, SnapshotExchange
from mallowvalve.control.snapshot_transfer import PieceCollector, decode_piece_request
from mallowvalve.control.state import ReplicatedState, encode
from mallowvalve.raft.messages import RaftSnapshot
from sim.target import GROUP, items, registry, voters

AGAIN = 0.05


class Giver:
    """A machine's own `SnapshotExchange`, over a log that takes an entry each `every` seconds."""

    def __init__(self, every: float, rows: int):
        self.now, self.every, self.made = 0.0, every, 0
        self.state = ReplicatedState(GROUP.generation)
        self.state.items, self.state.registry = items(rows), registry(rows)
        self.snapshot_exchange = SnapshotExchange(
            SimpleNamespace(on=lambda *a, **k: None), lambda: None, settings=self.settings
        )

    def settings(self):
        self.state.index = 1 + int(self.now / self.every)
        return RaftSnapshot(GROUP, self.state.index, 0, voters(), []), self.pieces()

    def pieces(self):
        self.made += 1
        yield from encode_settings_pieces(self.state)


def joiner(g: Giver, trip: float) -> Iterator[float]:
    """One that fetches as `SnapshotExchange.fetch` does for a settings part; yields how long each step takes."""
    while True:
        yield trip
        got, failed = PieceCollector(g.snapshot_exchange._label(SETTINGS_SNAPSHOT)), 0
        yield trip
        while failed < SETTINGS_MAX_FAILURES and (w := got.next_request()) is not None:
            yield trip
            p = g.snapshot_exchange._snapshot_cache.get_piece(decode_piece_request(encode(w)), g.now)
            yield trip
            if p is None or got.accept(p).is_err():
                failed += 1
        if got.next_request() is None:
            return
        yield AGAIN


def play(n: int, every: float, trip: float, rows: int, most: float) -> tuple[int, int, float]:
    """How many were whole in time, snapshots made, and when the last was."""
    g, rng = Giver(every, rows), random.Random(1)
    queue = [(rng.random() * 0.2, i, joiner(g, trip)) for i in range(n)]
    heapq.heapify(queue)
    done, last = 0, 0.0
    with patch.object(clock, "now", lambda: g.now):
        while queue and queue[0][0] < most:
            g.now, i, steps = heapq.heappop(queue)
            wait = next(steps, None)
            if wait is None:
                done, last = done + 1, g.now
                continue
            heapq.heappush(queue, (g.now + wait * (0.9 + 0.2 * rng.random()), i, steps))
    return done, g.made, last


@click.command()
@click.option("--every", default=0.02, help="seconds between entries of the log")
@click.option("--trip", default=0.02, help="seconds one way")
@click.option("--rows", default=100, help="routes, and upstreams")
@click.option("--most", default=30.0, help="seconds played")
def main(every: float, trip: float, rows: int, most: float) -> None:
    for n in (1, 2, 3, 5, 12, 82, 162):
        done, made, last = play(n, every, trip, rows, most)
        click.echo(f"{n:4} at once: {done:4} whole after {last:5.2f} s, {made} snapshots made")


if __name__ == "__main__":
    main()
