"""Repeats of requests that failed here or at another proxy, and were not marked by their clients."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

import gevent
import msgspec
from gevent.event import Event

from mallowvalve import clock
from mallowvalve.metrics import exit_on_failure
from mallowvalve.transport.task import Transport
from mallowvalve.types import Address

SPAN = 10.0
MOST = 20000
EACH = 63
FLUSH = 0.005
_encode = msgspec.msgpack.Encoder().encode
_names = msgspec.msgpack.Decoder(list[bytes]).decode


class Repeats:
    """Knows a repeat that its client did not mark: each failure answered here makes one like request a repeat."""

    __slots__ = ("_failed",)

    def __init__(self):
        self._failed: OrderedDict[bytes, list[float]] = OrderedDict()

    def failed(self, name: bytes, now: float) -> None:
        self._failed[name] = [*self._failed.get(name, [])[-EACH:], now]
        self._failed.move_to_end(name)
        while len(self._failed) > MOST:
            self._failed.popitem(last=False)

    def is_one(self, name: bytes, now: float) -> bool:
        times = self._failed.pop(name, [])
        times = [t for t in times if now - t < SPAN]
        if not times:
            return False
        if times[1:]:
            self._failed[name] = times[1:]
        return True


class RepeatTask:
    """Tells the other proxies of failures at once: a hasty client comes back through another one."""

    __slots__ = ("repeats", "transport", "peers", "_news", "_wake", "_job")

    def __init__(self, transport: Transport, peers: Callable[[], list[Address]]):
        self.repeats, self.transport, self.peers = Repeats(), transport, peers
        self._news: list[bytes] = []
        self._wake = Event()
        transport.on("failed", self._heard, inline=True)

    def __enter__(self) -> RepeatTask:
        """Begin to tell the other proxies."""
        self._job = exit_on_failure(gevent.spawn(self._run))
        return self

    def __exit__(self, *_) -> None:
        """Tell no more."""
        self._job.kill()

    def failed(self, name: bytes, now: float) -> None:
        self.repeats.failed(name, now)
        self._news.append(name)
        self._wake.set()

    def is_one(self, name: bytes, now: float) -> bool:
        return self.repeats.is_one(name, now)

    def _heard(self, _sender: Address, body: bytes) -> None:
        now = clock.now()
        for name in _names(body):
            self.repeats.failed(name, now)

    def _run(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            news, self._news = self._news, []
            body = _encode(news)
            for a in self.peers():
                if a != self.transport.me:
                    self.transport.cast(a, "failed", body)
            gevent.sleep(FLUSH)
