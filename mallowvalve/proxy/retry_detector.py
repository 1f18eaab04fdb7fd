"""Detects retries that clients did not mark, of requests that failed at this or at another proxy."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

import gevent
import msgspec
from gevent.event import Event

from mallowvalve import clock
from mallowvalve.supervision import restart_on_failure
from mallowvalve.transport.task import Transport
from mallowvalve.types import Address

RETRY_WINDOW_S = 10.0
MAX_REQUESTS = 20000
MAX_EARLIER_FAILURES = 63
FLUSH_INTERVAL_S = 0.005
_encode = msgspec.msgpack.Encoder().encode
_decode_fingerprints = msgspec.msgpack.Decoder(list[bytes]).decode


class RetryDetector:
    """Detects unmarked retries: for each failed response, the next identical request counts as a retry."""

    __slots__ = ("_failures",)

    def __init__(self) -> None:
        self._failures: OrderedDict[bytes, list[float]] = OrderedDict()

    def record_failure(self, fingerprint: bytes, now: float) -> None:
        """Records a failed response to a request."""
        self._failures[fingerprint] = [*self._failures.get(fingerprint, [])[-MAX_EARLIER_FAILURES:], now]
        self._failures.move_to_end(fingerprint)
        while len(self._failures) > MAX_REQUESTS:
            self._failures.popitem(last=False)

    def take_failure(self, fingerprint: bytes, now: float) -> bool:
        """Returns whether a request follows a recorded failure, and removes that failure."""
        times = self._failures.pop(fingerprint, [])
        times = [t for t in times if now - t < RETRY_WINDOW_S]
        if not times:
            return False
        if times[1:]:
            self._failures[fingerprint] = times[1:]
        return True


class RetryDetectorTask:
    """Broadcasts failures to the other proxies at once, because a client may retry through any of them."""

    __slots__ = ("detector", "transport", "peers", "_unsent", "_wake", "_job")

    def __init__(self, transport: Transport, peers: Callable[[], list[Address]]):
        self.detector, self.transport, self.peers = RetryDetector(), transport, peers
        self._unsent: list[bytes] = []
        self._wake = Event()
        transport.on("failed", self._receive, inline=True)

    def __enter__(self) -> RetryDetectorTask:
        """Starts the broadcasts."""
        self._job = restart_on_failure("retry_detector", self._run, self.transport.counts)
        return self

    def __exit__(self, *_: object) -> None:
        """Stops the broadcasts."""
        self._job.kill()

    def record_failure(self, fingerprint: bytes, now: float) -> None:
        """Records a failed response and broadcasts it."""
        self.detector.record_failure(fingerprint, now)
        self._unsent.append(fingerprint)
        self._wake.set()

    def take_failure(self, fingerprint: bytes, now: float) -> bool:
        """Returns whether a request follows a failure at any proxy, and removes that failure."""
        return self.detector.take_failure(fingerprint, now)

    def _receive(self, _sender: Address, body: bytes) -> None:
        now = clock.now()
        for fingerprint in _decode_fingerprints(body):
            self.detector.record_failure(fingerprint, now)

    def _run(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            unsent, self._unsent = self._unsent, []
            body = _encode(unsent)
            for peer in self.peers():
                if peer != self.transport.me:
                    self.transport.cast(peer, "failed", body)
            gevent.sleep(FLUSH_INTERVAL_S)
