"""A checker of histories for linearizability: Wing and Gong's search with Lowe's pruning, one partition at a time.

Herlihy and Wing (1990): a history is linearizable if each operation can be given one moment between its call and its
answer at which it took effect, so that a single-threaded object would have answered the same. An object composed of
independent ones is linearizable exactly if each of them is, so a history is partitioned by kind and name.

The search (Wing and Gong 1993) takes, again and again, one of the operations that may come next: those that began
before any operation that is not yet placed had ended. Lowe (2017) adds a memory of the pairs of placed operations and
state that have been visited, for nothing new comes of reaching one twice.

An operation of unknown outcome may be placed at any time after its call, or never; a refused one is never placed, so
that nothing may show its effect. The search is bounded by a number of steps for each partition; where they do not
suffice the verdict is *undecided*, which is counted and is not a pass.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import click
import msgspec
from result import Err

from verification.histories import ObjectKind, Operation, OperationOutcome, ReadObject, load
from verification.specifications import SPECIFICATIONS, Specification

STEPS = 200_000
SHOWN = 8
FOUND, UNDECIDED, UNREADABLE = 1, 2, 3


class Partition(NamedTuple):
    """The object that a part of a history is about."""

    kind: ObjectKind
    name: str

    def __str__(self) -> str:
        """Kind and name, as findings show them."""
        return f"{self.kind} {self.name}"


class Violation(msgspec.Struct, frozen=True):
    """A partition that cannot be ordered: its shortest prefix that shows it, and where the longest order ended.

    `prefix` counts the operations called up to some moment, `placed` is the longest order found among them, `stuck`
    are those that had to come next and fit nowhere.
    """

    partition: Partition
    prefix: int
    placed: list[Operation]
    stuck: list[Operation]
    state: str

    def __str__(self) -> str:
        """Several lines: the partition, the end of the longest order, and the operations that fit nowhere."""
        lines = [f"{self.partition}: {self.prefix} operations cannot be ordered; the longest order ends with"]
        lines += [f"    {o}" for o in self.placed[-SHOWN:]]
        lines += [f"  then {self.state}", "  where none of these can follow"]
        lines += [f"    {o}" for o in self.stuck[:SHOWN]]
        return "\n".join(lines)


class CheckReport(msgspec.Struct):
    """What a check found: breaches, partitions left undecided, and how much was looked at."""

    violations: list[Violation] = []
    undecided: list[Partition] = []
    operations: int = 0
    partitions: int = 0
    steps: int = 0

    def findings(self) -> list[str]:
        """One text for each breach and for each partition left undecided."""
        return [str(b) for b in self.violations] + [
            f"{p}: undecided, the steps did not suffice" for p in self.undecided
        ]

    def __str__(self) -> str:
        """One line of figures."""
        return (
            f"{self.operations} operations, {self.partitions} partitions, {self.steps} steps: "
            f"{len(self.violations)} breached, {len(self.undecided)} undecided"
        )


def check(operations: list[Operation], steps: int = STEPS) -> CheckReport:
    """Hold a history against the specification of each object in it, with at most `steps` for each object."""
    parts: dict[Partition, list[Operation]] = defaultdict(list)
    for o in operations:
        parts[Partition(o.kind, o.name)].append(o)
    report = CheckReport(operations=len(operations), partitions=len(parts))
    for partition, some in sorted(parts.items()):
        specification = SPECIFICATIONS[partition.kind]
        search = Search(specification, some, steps)
        verdict = search.run()
        report.steps += search.steps
        if verdict is None:
            report.undecided.append(partition)
        elif not verdict:
            report.violations.append(_smallest(partition, specification, some, steps))
    return report


class Visit(NamedTuple):
    """A node of the search: all certain operations before `first` are placed, and those that `ahead` and `maybe` mark.

    Bit i of `ahead` stands for the certain operation first + i, of `maybe` for the i-th of unknown outcome; `now` is
    the earliest time (s) that the next one can have.
    """

    first: int
    ahead: int
    maybe: int
    state: Any
    now: float


class Search:
    """The search for an order of one object's operations."""

    __slots__ = ("certain", "unknown", "specification", "budget", "steps", "longest", "_at")

    def __init__(self, specification: Specification, operations: list[Operation], budget: int):
        """Take the operations on one object; `budget` is the most steps (answers of the specification) to ask for."""
        kept = [o for o in operations if o.outcome is not OperationOutcome.REFUSED]
        needed = sorted(specification.needed(kept), key=lambda o: (o.begun, o.latest))
        self.certain = [o for o in needed if not o.unknown]
        self.unknown = [o for o in needed if o.unknown]
        self.specification, self.budget, self.steps = specification, budget, 0
        self.longest: list[Operation] = []
        self._at = Visit(0, 0, 0, specification.initial(), 0.0)

    def run(self) -> bool | None:
        """Whether the operations can be ordered; None where the budget did not suffice."""
        start = Visit(0, 0, 0, self.specification.initial(), float("-inf"))
        self._at = start
        seen = {start}
        path: list[Operation] = []
        stack = [self._next(start)]
        if not self.certain:
            return True
        while stack:
            found = next(stack[-1], None)
            if self.steps > self.budget:
                return None
            if found is None:
                stack.pop()
                if path:
                    path.pop()
                continue
            operation, visit = found
            if visit in seen:
                continue
            seen.add(visit)
            path.append(operation)
            if len(path) > len(self.longest):
                self.longest, self._at = list(path), visit
            if visit.first == len(self.certain):
                return True
            stack.append(self._next(visit))
        return False

    def state(self) -> Any:
        """The state at the end of the longest order found."""
        return self._at.state

    def stuck(self) -> list[Operation]:
        """The operations that had to come next after the longest order found."""
        return [o for _, o in self._candidates(self._at)]

    def _next(self, visit: Visit) -> Iterator[tuple[Operation, Visit]]:
        """Each operation that may come next and is legal, with the node after it."""
        for i, o in self._candidates(visit):
            self.steps += 1
            if self.steps > self.budget:
                return
            after = self.specification.step(visit.state, o, max(visit.now, o.begun))
            if after is None or after[1] > o.latest:
                continue
            if o.unknown:
                yield o, Visit(visit.first, visit.ahead, visit.maybe | 1 << i, *after)
                continue
            first, ahead = visit.first, visit.ahead | 1 << (i - visit.first)
            while ahead & 1:
                first, ahead = first + 1, ahead >> 1
            yield o, Visit(first, ahead, visit.maybe, *after)

    def _candidates(self, visit: Visit) -> list[tuple[int, Operation]]:
        """Operations that began before each one not yet placed had ended; certain ones first, by their answers."""
        end = float("inf")
        some: list[tuple[int, Operation]] = []
        for i in range(visit.first, len(self.certain)):
            o = self.certain[i]
            if o.begun > end:
                break
            if not visit.ahead >> (i - visit.first) & 1:
                end = min(end, o.latest)
                some.append((i, o))
        near = sorted(((i, o) for i, o in some if o.begun <= end), key=lambda x: (x[1].number, x[1].latest))
        maybe = [(i, o) for i, o in enumerate(self.unknown) if not visit.maybe >> i & 1 and o.begun <= end]
        return near + maybe


def _smallest(partition: Partition, specification: Specification, some: list[Operation], steps: int) -> Violation:
    """The shortest prefix in time that cannot be ordered: what a history shows by then, its calls under way unknown."""
    ends = sorted({o.latest for o in some if not o.unknown})
    low, high = 0, len(ends) - 1
    while low < high:
        middle = (low + high) // 2
        if Search(specification, _until(some, ends[middle]), steps).run() is False:
            high = middle
        else:
            low = middle + 1
    prefix = _until(some, ends[high])
    search = Search(specification, prefix, steps)
    search.run()
    return Violation(partition, len(prefix), search.longest, search.stuck(), str(search.state()))


def _until(operations: list[Operation], end: float) -> list[Operation]:
    """The history as it stood at `end` (s): later calls are gone, those under way have no answer yet."""
    begun = [o for o in operations if o.begun <= end]
    told = [o for o in begun if o.unknown or o.latest <= end]
    under_way = [o for o in begun if not o.unknown and o.latest > end and o.outcome is not OperationOutcome.REFUSED]
    open_ended = [
        msgspec.structs.replace(o, ended=None, outcome=OperationOutcome.UNKNOWN, number=0)
        for o in under_way
        if not isinstance(o.call, ReadObject)
    ]
    return told + open_ended


def main_check(path: str | Path) -> int:
    """Check a recorded history and print what was found; 0 only if every partition was ordered."""
    operations = load(Path(path))
    if isinstance(operations, Err):
        for f in operations.err_value:
            click.echo(str(f), err=True)
        return UNREADABLE
    report = check(operations.ok_value)
    for finding in report.findings():
        click.echo(finding)
    click.echo(str(report))
    if report.violations:
        return FOUND
    return UNDECIDED if report.undecided else 0
