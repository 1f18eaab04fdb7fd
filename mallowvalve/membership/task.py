from __future__ import annotations

import gevent
import msgspec
from gevent import socket

from mallowvalve import clock
from mallowvalve.fault import Faults
from mallowvalve.membership.detector import Membership
from mallowvalve.membership.share import DIRECT
from mallowvalve.membership.wire import ALIVE, Record, decode, encode
from mallowvalve.metrics import change, vital
from mallowvalve.types import Address

NAMES = ("alive", "leaving", "failed", "left")
AT_ONCE = 256


class MembershipTask:
    """Owns the socket. One greenlet waits for a datagram or the machine's next timer, whichever comes first.

    What has arrived is always read before the clock is: an ack that waited while the process slept still counts.
    """

    __slots__ = ("membership", "faults", "_sock", "_job", "_known")

    def __init__(self, membership: Membership, faults: Faults = Faults()):
        self.membership, self.faults = membership, faults
        self._known: dict[Address, tuple[int, int]] = {}

    def __enter__(self) -> MembershipTask:
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind(self.membership.me.addr.pair)
        self._sock.setblocking(False)
        self._job = vital(gevent.spawn(self._run))
        return self

    def __exit__(self, *_) -> None:
        gevent.kill(self._job)
        self._sock.close()

    def alive(self, role: str | None = None) -> list[Record]:
        return self.membership.alive(role)

    def view(self) -> list[Record]:
        return [self.membership.me, *self.membership.view.values()]

    def ready(self, ready: bool) -> None:
        self._do(self.membership.ready(ready))

    def leave(self, final: bool) -> None:
        self._do(self.membership.leave(final))

    def _do(self, out: list) -> None:
        for to, m in out:
            if self.faults.silent(self.membership.me.addr, to):
                continue
            try:
                self._sock.sendto(encode(m), to.pair)
            except OSError:
                self.membership.counts.add("membership_send_error")
        self._log()

    def _run(self) -> None:
        hub = gevent.get_hub()
        arrived = hub.loop.io(self._sock.fileno(), 1)
        try:
            while True:
                wait = self.membership.timer() - clock.now()
                if wait > 0:
                    with gevent.Timeout(max(0.005, wait), False):
                        hub.wait(arrived)
                self._read(1 if clock.now() < self.membership.timer() else AT_ONCE)
                now = clock.now()
                if now >= self.membership.timer():
                    self._do(self.membership.tick(now))
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
                self.membership.counts.add("membership_garbage")
                continue
            self._do(self.membership.receive(m, clock.now()))

    def _log(self) -> None:
        why, view = self.membership.why, self.membership.view
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
            change(f"peer_{NAMES[r.state]}", peer=str(a), name=r.name, incarnation=r.incarnation, why=text)
