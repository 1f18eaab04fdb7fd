"""A linearizability checker for histories: Wing and Gong's search with Lowe's pruning, one partition at a time.

Herlihy and Wing (1990): a history is linearizable if each operation can be assigned one moment between its call and its
answer at which it takes effect, such that a single-threaded object gives the same answers. An object composed of
independent ones is linearizable exactly if each of them is, so a history is partitioned by kind and name.

The search (Wing and Gong 1993) repeatedly places one of the possible next operations: those that began before any
operation not yet placed had ended. Lowe (2017) adds a cache of the visited pairs of placed operations and state,
since a second visit of a pair gives nothing new.

An operation of unknown outcome may be placed at any time after its call, or never; a refused one is never placed, so
no answer may show its effect. The number of search steps per partition is limited; a partition that exceeds the limit
is *undecided*, which is counted and is not a pass.
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

MAX_STEPS = 200_000
MAX_SHOWN_OPERATIONS = 8
EXIT_VIOLATION = 1
EXIT_UNDECIDED = 2
EXIT_UNREADABLE = 3


class Partition(NamedTuple):
    """The object that a part of a history belongs to."""

    kind: ObjectKind
    name: str

    def __str__(self) -> str:
        """Returns kind and name for findings."""
        return f"{self.kind} {self.name}"


class Violation(msgspec.Struct, frozen=True):
    """A partition that can't be ordered: its shortest prefix without an order, and the longest order found.

    `prefix` is the number of operations in that prefix, `placed` the longest order found among them, and `blocked` the
    operations that had to come next and fit nowhere.
    """

    partition: Partition
    prefix: int
    placed: list[Operation]
    blocked: list[Operation]
    state: str

    def __str__(self) -> str:
        """Returns several lines: the partition, the end of the longest order, and the operations that fit nowhere."""
        lines = [f"{self.partition}: {self.prefix} operations cannot be ordered; the longest order ends with"]
        lines += [f"    {operation}" for operation in self.placed[-MAX_SHOWN_OPERATIONS:]]
        lines += [f"  then {self.state}", "  where none of these can follow"]
        lines += [f"    {operation}" for operation in self.blocked[:MAX_SHOWN_OPERATIONS]]
        return "\n".join(lines)


class CheckReport(msgspec.Struct):
    """The result of a check: violations, undecided partitions, and figures."""

    violations: list[Violation] = []
    undecided: list[Partition] = []
    operations: int = 0
    partitions: int = 0
    steps: int = 0

    def findings(self) -> list[str]:
        """Returns one text for each violation and for each undecided partition."""
        return [str(b) for b in self.violations] + [
            f"{p}: undecided, the steps did not suffice" for p in self.undecided
        ]

    def __str__(self) -> str:
        """Returns one line of figures."""
        return (
            f"{self.operations} operations, {self.partitions} partitions, {self.steps} steps: "
            f"{len(self.violations)} breached, {len(self.undecided)} undecided"
        )


def check(operations: list[Operation], steps: int = MAX_STEPS) -> CheckReport:
    """Checks a history against the specification of each object in it, with at most `steps` search steps per object."""
    operations_by_partition: dict[Partition, list[Operation]] = defaultdict(list)
    for operation in operations:
        operations_by_partition[Partition(operation.kind, operation.name)].append(operation)
    report = CheckReport(operations=len(operations), partitions=len(operations_by_partition))
    for partition, partition_operations in sorted(operations_by_partition.items()):
        specification = SPECIFICATIONS[partition.kind]
        search = Search(specification, partition_operations, steps)
        verdict = search.run()
        report.steps += search.steps
        if verdict is None:
            report.undecided.append(partition)
        elif not verdict:
            report.violations.append(_smallest_violation(partition, specification, partition_operations, steps))
    return report


class SearchNode(NamedTuple):
    """A node of the search: the operations placed so far, and the state after them.

    All certain operations before `next_certain` are placed. Bit i of `placed_certain` stands for the certain operation
    next_certain + i, bit i of `placed_unknown` for the i-th operation of unknown outcome. `earliest` is the earliest
    time (s) at which the next operation can take effect.
    """

    next_certain: int
    placed_certain: int
    placed_unknown: int
    state: Any
    earliest: float


class Search:
    """The search for an order of the operations on one object."""

    __slots__ = ("certain", "unknown", "specification", "budget", "steps", "longest", "_longest_node")

    def __init__(self, specification: Specification, operations: list[Operation], budget: int):
        """Prepares the search; `budget` limits the number of steps, which are calls of the specification."""
        accepted = [operation for operation in operations if operation.outcome is not OperationOutcome.REFUSED]
        relevant = sorted(specification.relevant(accepted), key=lambda operation: (operation.begun, operation.latest))
        self.certain = [operation for operation in relevant if not operation.unknown]
        self.unknown = [operation for operation in relevant if operation.unknown]
        self.specification, self.budget, self.steps = specification, budget, 0
        self.longest: list[Operation] = []
        self._longest_node = SearchNode(0, 0, 0, specification.initial(), 0.0)

    def run(self) -> bool | None:
        """Returns whether the operations can be ordered, or None if the budget didn't suffice."""
        start = SearchNode(0, 0, 0, self.specification.initial(), float("-inf"))
        self._longest_node = start
        seen = {start}
        path: list[Operation] = []
        stack = [self._successors(start)]
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
            operation, node = found
            if node in seen:
                continue
            seen.add(node)
            path.append(operation)
            if len(path) > len(self.longest):
                self.longest, self._longest_node = list(path), node
            if node.next_certain == len(self.certain):
                return True
            stack.append(self._successors(node))
        return False

    def state(self) -> Any:
        """Returns the state at the end of the longest order found."""
        return self._longest_node.state

    def blocked(self) -> list[Operation]:
        """Returns the operations that had to come next after the longest order found."""
        return [operation for _, operation in self._candidates(self._longest_node)]

    def _successors(self, node: SearchNode) -> Iterator[tuple[Operation, SearchNode]]:
        """Yields each legal next operation with the node after it."""
        for position, operation in self._candidates(node):
            self.steps += 1
            if self.steps > self.budget:
                return
            after = self.specification.step(node.state, operation, max(node.earliest, operation.begun))
            if after is None or after[1] > operation.latest:
                continue
            if operation.unknown:
                yield (
                    operation,
                    SearchNode(node.next_certain, node.placed_certain, node.placed_unknown | 1 << position, *after),
                )
                continue
            next_certain, placed_certain = node.next_certain, node.placed_certain | 1 << (position - node.next_certain)
            while placed_certain & 1:
                next_certain, placed_certain = next_certain + 1, placed_certain >> 1
            yield operation, SearchNode(next_certain, placed_certain, node.placed_unknown, *after)

    def _candidates(self, node: SearchNode) -> list[tuple[int, Operation]]:
        """Returns the operations that began before any unplaced one had ended.

        Certain operations come first, in the order of their answers.
        """
        end = float("inf")
        unplaced: list[tuple[int, Operation]] = []
        for position in range(node.next_certain, len(self.certain)):
            operation = self.certain[position]
            if operation.begun > end:
                break
            if not node.placed_certain >> (position - node.next_certain) & 1:
                end = min(end, operation.latest)
                unplaced.append((position, operation))
        certain = sorted(
            ((position, operation) for position, operation in unplaced if operation.begun <= end),
            key=lambda candidate: (candidate[1].number, candidate[1].latest),
        )
        unplaced_unknown = [
            (position, operation)
            for position, operation in enumerate(self.unknown)
            if not node.placed_unknown >> position & 1 and operation.begun <= end
        ]
        return certain + unplaced_unknown


def _smallest_violation(
    partition: Partition, specification: Specification, operations: list[Operation], steps: int
) -> Violation:
    """Returns the violation in the shortest prefix in time that can't be ordered.

    Calls in progress at the end of the prefix have an unknown outcome.
    """
    ends = sorted({operation.latest for operation in operations if not operation.unknown})
    low, high = 0, len(ends) - 1
    while low < high:
        middle = (low + high) // 2
        if Search(specification, _history_until(operations, ends[middle]), steps).run() is False:
            high = middle
        else:
            low = middle + 1
    prefix = _history_until(operations, ends[high])
    search = Search(specification, prefix, steps)
    search.run()
    return Violation(partition, len(prefix), search.longest, search.blocked(), str(search.state()))


def _history_until(operations: list[Operation], end: float) -> list[Operation]:
    """Returns the history as of `end` (s): without later calls, and with calls in progress unanswered."""
    begun = [operation for operation in operations if operation.begun <= end]
    known = [operation for operation in begun if operation.unknown or operation.latest <= end]
    in_progress = [
        operation
        for operation in begun
        if not operation.unknown and operation.latest > end and operation.outcome is not OperationOutcome.REFUSED
    ]
    unanswered = [
        msgspec.structs.replace(operation, ended=None, outcome=OperationOutcome.UNKNOWN, number=0)
        for operation in in_progress
        if not isinstance(operation.call, ReadObject)
    ]
    return known + unanswered


def check_file(path: str | Path) -> int:
    """Checks a recorded history and prints the findings; returns 0 only if every partition could be ordered."""
    operations = load(Path(path))
    if isinstance(operations, Err):
        for invalid_line in operations.err_value:
            click.echo(str(invalid_line), err=True)
        return EXIT_UNREADABLE
    report = check(operations.ok_value)
    for finding in report.findings():
        click.echo(finding)
    click.echo(str(report))
    if report.violations:
        return EXIT_VIOLATION
    return EXIT_UNDECIDED if report.undecided else 0
