from __future__ import annotations

import gevent
import msgspec
from gevent import socket

from mallowvalve import clock
from mallowvalve.bond.detector import Bond
from mallowvalve.bond.share import DIRECT
from mallowvalve.bond.wire import ALIVE, Record, decode, encode
from mallowvalve.count import change, vital
from mallowvalve.fault import Faults
from mallowvalve.kind import Address

NAMES = ("alive", "leaving", "failed", "left")
AT_ONCE = 256


class BondTask:
    """Owns the socket. One greenlet waits for a datagram or the machine's next wakeup, whichever comes first.

    What has arrived is always read before the clock is: an ack that waited while the process slept still counts.
    """

    __slots__ = ("bond", "faults", "_sock", "_job", "_known")

    def __init__(self, bond: Bond, faults: Faults = Faults()):
        self.bond, self.faults = bond, faults
        self._known: dict[Address, tuple[int, int]] = {}

    def __enter__(self) -> BondTask:
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind(self.bond.me.addr.pair)
        self._sock.setblocking(False)
        self._job = vital(gevent.spawn(self._run))
        return self

    def __exit__(self, *_) -> None:
        gevent.kill(self._job)
        self._sock.close()

    def alive(self, role: str | None = None) -> list[Record]:
        return self.bond.alive(role)

    def view(self) -> list[Record]:
        return [self.bond.me, *self.bond.view.values()]

    def ready(self, ready: bool) -> None:
        self._do(self.bond.ready(ready))

    def leave(self, final: bool) -> None:
        self._do(self.bond.leave(final))

    def _do(self, out: list) -> None:
        for to, m in out:
            if self.faults.silent(self.bond.me.addr, to):
                continue
            try:
                self._sock.sendto(encode(m), to.pair)
            except OSError:
                self.bond.counts.add("bond_send_error")
        self._log()

    def _run(self) -> None:
        hub = gevent.get_hub()
        arrived = hub.loop.io(self._sock.fileno(), 1)
        try:
            while True:
                wait = self.bond.wakeup() - clock.now()
                if wait > 0:
                    with gevent.Timeout(max(0.005, wait), False):
                        hub.wait(arrived)
                self._read(1 if clock.now() < self.bond.wakeup() else AT_ONCE)
                now = clock.now()
                if now >= self.bond.wakeup():
                    self._do(self.bond.tick(now))
        finally:
            arrived.close()

    def _read(self, most: int) -> None:
        for _ in range(most):
            try:
                data = self._sock.recv(65536)
            except BlockingIOError:
                return
            except OSError:
                continue
            try:
                m = decode(data)
            except msgspec.DecodeError:
                self.bond.counts.add("bond_garbage")
                continue
            self._do(self.bond.receive(m, clock.now()))

    def _log(self) -> None:
        why, view = self.bond.why, self.bond.view
        if len(self._known) > len(view):
            self._known = {a: k for a, k in self._known.items() if a in view}
        while why:
            a, text = why.popitem()
            r = view.get(a)
            if r is None or self._known.get(a) == (r.boot, r.state):
                continue
            new = a not in self._known
            self._known[a] = (r.boot, r.state)
            if new and r.state == ALIVE and len(view) > DIRECT:
                continue
            change(f"neighbour_{NAMES[r.state]}", neighbour=str(a), name=r.name, incarnation=r.incarnation, why=text)
