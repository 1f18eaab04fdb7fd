"""A seeded, simulated network with a clock, and the processes on it."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

from mallowvalve.types import Address

LATE_DELIVERY_MIN_S = 1.0
LATE_DELIVERY_SPREAD_S = 20.0
CONNECTION_CLOSE_DELAY_S = 0.04
"""Delay of a connection's end: the caller's system sends it only after the call itself was received."""


class World:
    """Simulated network and clock, seeded; it never reads the real clock. Times are in seconds.

    Between nodes of `late_delivery_nodes`, the share `late_ratio` of messages arrives long after messages sent later,
    and for the share `late_duplicate_ratio` a second copy does.
    """

    def __init__(self, seed: int, loss: float = 0.0, slow: float = 0.02, double: float = 0.0):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.loss, self.slow, self.double = loss, slow, double
        self.nodes: dict[Address, object] = {}
        self.cuts: set[tuple[Address, Address]] = set()
        self.frozen: dict[Address, list[Callable]] = {}
        self.silent: set[tuple[Address, Address]] = set()
        self.late_ratio = self.late_duplicate_ratio = 0.0
        self.late_delivery_nodes = set[Address]()
        self._undelivered: dict[tuple[Address, Address], list[tuple[Callable, int]]] = {}
        self._reset_counts: dict[tuple[Address, Address], int] = {}
        self.sent = self.delivered = self.incarnations = 0
        self._events: list = []
        self._event_count = 0

    def at(self, when: float, act: Callable, node: Address | None = None, life: int | None = None) -> None:
        """Schedules `act`; with `node`, it runs only while the node is up, and with `life` only in that incarnation."""
        self._event_count += 1
        heapq.heappush(self._events, (when, self._event_count, act, node, life))

    def after(self, wait: float, act: Callable, node: Address | None = None, life: int | None = None) -> None:
        """Schedules `act` in `wait` seconds, as `at` does."""
        self.at(self.now + wait, act, node, life)

    def send(self, source: Address, target: Address, deliver: Callable, may_double: bool = False) -> None:
        """Sends a message, which the network may lose, delay or (with `may_double`) duplicate."""
        self.sent += 1
        copies = 2 if may_double and self.rng.random() < self.double else 1
        for _ in range(copies):
            if self.rng.random() < self.loss:
                continue
            wait = 0.0005 + self.rng.random() ** 3 * self.slow
            epoch = self._reset_counts.get((source, target), 0)
            if (
                self.late_ratio + self.late_duplicate_ratio
                and source in self.late_delivery_nodes
                and target in self.late_delivery_nodes
            ):
                late_wait = wait + LATE_DELIVERY_MIN_S + self.rng.random() * LATE_DELIVERY_SPREAD_S
                draw = self.rng.random()
                if draw < self.late_duplicate_ratio:
                    self.after(late_wait, lambda: self._arrive(source, target, deliver, epoch))
                elif draw < self.late_duplicate_ratio + self.late_ratio:
                    wait = late_wait
            self.after(wait, lambda: self._arrive(source, target, deliver, epoch))

    def run(self, until: float) -> None:
        """Runs all events up to the given time."""
        while self._events and self._events[0][0] <= until:
            when, _, act, node, life = heapq.heappop(self._events)
            self.now = max(self.now, when)
            if node is not None:
                self._act_on(node, life, act)
            else:
                act()
        self.now = until

    def cut(self, a: Address, b: Address, one_way: bool = False) -> None:
        """Drops all messages between two nodes, or only those from the first to the second."""
        self.cuts.add((a, b))
        if not one_way:
            self.cuts.add((b, a))

    def split(self, left: list[Address], right: list[Address]) -> None:
        """Partitions the nodes of one list from those of the other."""
        for a in left:
            for b in right:
                self.cut(a, b)

    def heal(self) -> None:
        """Ends all cuts and holds; held messages are delivered now, in the order they were sent."""
        self.cuts.clear()
        self.silent.clear()
        undelivered, self._undelivered = self._undelivered, {}
        for (source, target), messages in undelivered.items():
            for position, (deliver, epoch) in enumerate(messages):
                self.after(
                    0.001 * position,
                    lambda source=source, target=target, deliver=deliver, epoch=epoch: self._arrive(
                        source, target, deliver, epoch
                    ),
                )

    def hold_messages(self, source: Address, target: Address) -> None:
        """Holds messages in one direction, as in a connection's buffers, until `heal`."""
        self.silent.add((source, target))

    def reset(self, first: Address, second: Address) -> None:
        """Resets the connections between two nodes: messages in flight both ways are lost, and both nodes notice."""
        for pair in ((first, second), (second, first)):
            self._reset_counts[pair] = self._reset_counts.get(pair, 0) + 1
            self._undelivered.pop(pair, None)
        for here, there in ((first, second), (second, first)):
            if here in self.nodes:
                self._act_on(here, None, lambda node=here, peer=there: self.nodes[node].broken(peer))

    def close(self, source: Address, target: Address, ended: Callable[[], None]) -> None:
        """Closes a call's connection. The end arrives after the call, also at a frozen node: its kernel runs on."""

        def later(_: object) -> None:
            self.after(CONNECTION_CLOSE_DELAY_S, ended)

        def arrive() -> None:
            if (source, target) in self.silent:
                self._undelivered.setdefault((source, target), []).append(
                    (later, self._reset_counts.get((source, target), 0))
                )
            elif (source, target) not in self.cuts:
                ended()

        self.after(CONNECTION_CLOSE_DELAY_S, arrive)

    def freeze(self, a: Address) -> None:
        """Pauses a node; what would reach it is queued until `thaw`."""
        self.frozen.setdefault(a, [])

    def thaw(self, a: Address) -> None:
        """Resumes a node, with its queued events first."""
        for act in self.frozen.pop(a, []):
            act()

    def up(self, a: Address) -> bool:
        """Whether a node runs at the address (frozen or not)."""
        return a in self.nodes

    def _arrive(self, source: Address, target: Address, deliver: Callable, epoch: int) -> None:
        if self._reset_counts.get((source, target), 0) != epoch:
            return
        if (source, target) in self.silent:
            self._undelivered.setdefault((source, target), []).append((deliver, epoch))
            return
        if (source, target) in self.cuts or target not in self.nodes:
            return
        self.delivered += 1
        self._act_on(target, None, lambda: deliver(self.nodes[target]))

    def _act_on(self, node: Address, life: int | None, act: Callable) -> None:
        if node not in self.nodes or life is not None and self.nodes[node].life != life:
            return
        if node in self.frozen:
            self.frozen[node].append(lambda: self._act_on(node, life, act))
            return
        act()


class CallReply:
    """The called node's side of a call: sends the answer and shows whether the caller has closed the connection."""

    __slots__ = ("_send", "left")

    def __init__(self, send: Callable[[bytes], None]):
        """`send` returns the answer to the caller."""
        self._send, self.left = send, False

    def __call__(self, data: bytes) -> None:
        """Answers the call."""
        self._send(data)

    def close(self) -> None:
        """Records that the connection's end has arrived."""
        self.left = True


class SimulatedNode:
    """A simulated process: one-way messages, calls with answers, and timers that end with it."""

    def __init__(self, world: World, addr: Address):
        world.incarnations += 1
        self.world, self.addr, self.life = world, addr, world.incarnations
        self._calls: dict[int, Callable] = {}
        self._call_targets: dict[int, Address] = {}
        self._call_count = 0
        world.nodes[addr] = self

    def crash(self) -> None:
        """Ends the process at once; a newer process at the address stays."""
        self.world.frozen.pop(self.addr, None)
        if self.world.nodes.get(self.addr) is self:
            del self.world.nodes[self.addr]

    @property
    def now(self) -> float:
        """The simulated time in seconds."""
        return self.world.now

    def wake(self, wait: float, act: Callable) -> None:
        """Runs `act` in `wait` seconds unless this process has ended by then."""
        self.world.after(wait, act, self.addr, self.life)

    def every(self, wait: float, act: Callable) -> None:
        """Runs `act` about every `wait` seconds (10% jitter), from a random offset."""

        def again() -> None:
            act()
            self.wake(wait * (0.9 + 0.2 * self.world.rng.random()), again)

        self.wake(wait * self.world.rng.random(), again)

    def cast(self, to: Address, kind: str, body: bytes) -> None:
        """Sends a one-way message, which may arrive twice."""
        source = self.addr
        self.world.send(source, to, lambda node: node.handle(kind, source, body, None), may_double=True)

    def call(self, to: Address, kind: str, body: bytes, limit: float, then: Callable) -> None:
        """Calls a node; `then` gets the answer, or None after `limit` seconds or a connection reset."""
        self._call_count += 1
        number, source = self._call_count, self.addr
        self._calls[number] = then
        self._call_targets[number] = to

        def answer(data: bytes) -> None:
            self.world.send(to, source, lambda node: node._answered(self.life, number, data))

        reply = CallReply(answer)
        self.world.send(source, to, lambda node: self._deliver_call(node, number, kind, body, reply))
        self.wake(limit, lambda: self._give_up(number, reply))

    def _give_up(self, n: int, reply: CallReply) -> None:
        """Ends a call that got no answer in time, and closes its connection."""
        if n in self._calls:
            self.world.close(self.addr, self._call_targets[n], reply.close)
            self._answered(self.life, n, None)

    def _answered(self, life: int, number: int, data: bytes | None) -> None:
        if life != self.life:
            return
        then = self._calls.pop(number, None)
        self._call_targets.pop(number, None)
        if then is not None:
            then(data)

    def _deliver_call(self, node: SimulatedNode, n: int, kind: str, body: bytes, answer: Callable) -> None:
        """Delivers call `n` of this node to the called node."""
        node.handle(kind, self.addr, body, answer)

    def broken(self, peer: Address) -> None:
        """Ends the calls to a peer without an answer after a connection reset, as the transport does."""
        for n in [n for n, to in self._call_targets.items() if to == peer]:
            self._answered(self.life, n, None)

    def handle(self, kind: str, source: Address, body: bytes, answer: Callable | None) -> None:
        """Handles a message, or a call where `answer` is given."""
        raise NotImplementedError
