from __future__ import annotations

import heapq
import random
from collections.abc import Callable

from mallowvalve.types import Address

STRAY_LEAST, STRAY_SPREAD = 1.0, 20.0
CLOSING_LAG = 0.04
"""How long after a held call its connection's end arrives (s): the caller's system sends it once the call was taken."""


class World:
    """Seeded network and clock; nothing in it reads the machine's own.

    Between the machines `stray_among`, a share `stray` of the messages comes long after what was sent later, and of a
    share `echo` a second copy does.
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
        self._held: dict[tuple[Address, Address], list[tuple[Callable, int]]] = {}
        self._resets: dict[tuple[Address, Address], int] = {}
        self.sent = self.delivered = self.lives = 0
        self._heap: list = []
        self._n = 0

    def at(self, when: float, act: Callable, node: Address | None = None, life: int | None = None) -> None:
        self._n += 1
        heapq.heappush(self._heap, (when, self._n, act, node, life))

    def after(self, wait: float, act: Callable, node: Address | None = None, life: int | None = None) -> None:
        self.at(self.now + wait, act, node, life)

    def send(self, src: Address, dst: Address, deliver: Callable, may_double: bool = False) -> None:
        self.sent += 1
        copies = 2 if may_double and self.rng.random() < self.double else 1
        for _ in range(copies):
            if self.rng.random() < self.loss:
                continue
            wait = 0.0005 + self.rng.random() ** 3 * self.slow
            life = self._resets.get((src, dst), 0)
            if (
                self.late_ratio + self.late_duplicate_ratio
                and src in self.late_delivery_nodes
                and dst in self.late_delivery_nodes
            ):
                late = wait + STRAY_LEAST + self.rng.random() * STRAY_SPREAD
                drawn = self.rng.random()
                if drawn < self.late_duplicate_ratio:
                    self.after(late, lambda: self._arrive(src, dst, deliver, life))
                elif drawn < self.late_duplicate_ratio + self.late_ratio:
                    wait = late
            self.after(wait, lambda: self._arrive(src, dst, deliver, life))

    def run(self, until: float) -> None:
        while self._heap and self._heap[0][0] <= until:
            when, _, act, node, life = heapq.heappop(self._heap)
            self.now = max(self.now, when)
            if node is not None:
                self._act_on(node, life, act)
            else:
                act()
        self.now = until

    def cut(self, a: Address, b: Address, one_way: bool = False) -> None:
        self.cuts.add((a, b))
        if not one_way:
            self.cuts.add((b, a))

    def split(self, left: list[Address], right: list[Address]) -> None:
        for a in left:
            for b in right:
                self.cut(a, b)

    def heal(self) -> None:
        """Ends all cuts and silences; what a silence held is delivered now, in its order."""
        self.cuts.clear()
        self.silent.clear()
        held, self._held = self._held, {}
        for (src, dst), some in held.items():
            for i, (deliver, life) in enumerate(some):
                self.after(0.001 * i, lambda s=src, t=dst, d=deliver, n=life: self._arrive(s, t, d, n))

    def hold_messages(self, src: Address, dst: Address) -> None:
        """A silence one way: what is sent is held, as in the buffers of a connection, until `heal`."""
        self.silent.add((src, dst))

    def reset(self, a: Address, b: Address) -> None:
        """Breaks the connections between two machines: what is under way either way is lost, and both notice."""
        for pair in ((a, b), (b, a)):
            self._resets[pair] = self._resets.get(pair, 0) + 1
            self._held.pop(pair, None)
        for here, there in ((a, b), (b, a)):
            if here in self.nodes:
                self._act_on(here, None, lambda h=here, t=there: self.nodes[h].broken(t))

    def close(self, src: Address, dst: Address, ended: Callable[[], None]) -> None:
        """A caller closes a call's connection. The end comes after the call, and to the system of a frozen machine too."""

        def later(_: object) -> None:
            self.after(CLOSING_LAG, ended)

        def arrive() -> None:
            if (src, dst) in self.silent:
                self._held.setdefault((src, dst), []).append((later, self._resets.get((src, dst), 0)))
            elif (src, dst) not in self.cuts:
                ended()

        self.after(CLOSING_LAG, arrive)

    def freeze(self, a: Address) -> None:
        self.frozen.setdefault(a, [])

    def thaw(self, a: Address) -> None:
        for act in self.frozen.pop(a, []):
            act()

    def up(self, a: Address) -> bool:
        return a in self.nodes

    def _arrive(self, src: Address, dst: Address, deliver: Callable, life: int) -> None:
        if self._resets.get((src, dst), 0) != life:
            return
        if (src, dst) in self.silent:
            self._held.setdefault((src, dst), []).append((deliver, life))
            return
        if (src, dst) in self.cuts or dst not in self.nodes:
            return
        self.delivered += 1
        self._act_on(dst, None, lambda: deliver(self.nodes[dst]))

    def _act_on(self, node: Address, life: int | None, act: Callable) -> None:
        if node not in self.nodes or life is not None and self.nodes[node].life != life:
            return
        if node in self.frozen:
            self.frozen[node].append(lambda: self._act_on(node, life, act))
            return
        act()


class CallReply:
    """What a called machine has of a call: it answers it, and sees whether the caller has closed the connection."""

    __slots__ = ("_send", "left")

    def __init__(self, send: Callable[[bytes], None]):
        """`send` takes the answer back."""
        self._send, self.left = send, False

    def __call__(self, data: bytes) -> None:
        """Answer the call."""
        self._send(data)

    def close(self) -> None:
        """The end of the connection has arrived."""
        self.left = True


class SimulatedNode:
    """A machine in the world: messages, calls with answers, wakeups that die with it."""

    def __init__(self, world: World, addr: Address):
        world.lives += 1
        self.world, self.addr, self.life = world, addr, world.lives
        self._calls: dict[int, Callable] = {}
        self._called: dict[int, Address] = {}
        self._call = 0
        world.nodes[addr] = self

    def crash(self) -> None:
        self.world.frozen.pop(self.addr, None)
        if self.world.nodes.get(self.addr) is self:
            del self.world.nodes[self.addr]

    @property
    def now(self) -> float:
        return self.world.now

    def wake(self, wait: float, act: Callable) -> None:
        self.world.after(wait, act, self.addr, self.life)

    def every(self, wait: float, act: Callable) -> None:
        def again() -> None:
            act()
            self.wake(wait * (0.9 + 0.2 * self.world.rng.random()), again)

        self.wake(wait * self.world.rng.random(), again)

    def cast(self, to: Address, kind: str, body: bytes) -> None:
        me = self.addr
        self.world.send(me, to, lambda n: n.handle(kind, me, body, None), may_double=True)

    def call(self, to: Address, kind: str, body: bytes, limit: float, then: Callable) -> None:
        self._call += 1
        n, me = self._call, self.addr
        self._calls[n] = then
        self._called[n] = to

        def answer(data: bytes) -> None:
            self.world.send(to, me, lambda node: node._answered(self.life, n, data))

        reply = CallReply(answer)
        self.world.send(me, to, lambda node: self._reaches(node, n, kind, body, reply))
        self.wake(limit, lambda: self._give_up(n, reply))

    def _give_up(self, n: int, reply: CallReply) -> None:
        """No answer came in time: the caller goes on, and closes the connection."""
        if n in self._calls:
            self.world.close(self.addr, self._called[n], reply.close)
            self._answered(self.life, n, None)

    def _answered(self, life: int, n: int, data: bytes | None) -> None:
        if life != self.life:
            return
        then = self._calls.pop(n, None)
        self._called.pop(n, None)
        if then is not None:
            then(data)

    def _reaches(self, node: SimulatedNode, n: int, kind: str, body: bytes, answer: Callable) -> None:
        """Call `n` of this machine is read by another."""
        node.handle(kind, self.addr, body, answer)

    def broken(self, peer: Address) -> None:
        """The connections to a peer were reset: calls to it end without an answer, as the transport ends them."""
        for n in [n for n, to in self._called.items() if to == peer]:
            self._answered(self.life, n, None)

    def handle(self, kind: str, src: Address, body: bytes, answer: Callable | None) -> None:
        raise NotImplementedError
