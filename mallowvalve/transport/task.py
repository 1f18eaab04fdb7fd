from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from socket import TCP_USER_TIMEOUT

import gevent
from gevent import socket
from gevent.event import AsyncResult
from gevent.pool import Pool
from gevent.queue import Empty, Full, Queue
from gevent.server import StreamServer
from result import Err, Ok, Result

from mallowvalve import clock
from mallowvalve.fault import Faults
from mallowvalve.metrics import Counts
from mallowvalve.transport.frame import VERSION, Cutter, Frame, Hello, seal
from mallowvalve.types import Address

Handler = Callable[[Address, bytes], bytes | None]
OUTBOX = 4096
REDIAL, REDIAL_MOST = 0.03, 0.25
UNACKED_MS = 3000
IDLE = 60.0


def tune(sock) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKED_MS)


class Line:
    __slots__ = ("to", "hello", "counts", "faults", "used", "_again", "_box", "_waits", "_next", "_job", "_sock")

    def __init__(self, to: Address, hello: Hello, counts: Counts, faults: Faults):
        self.to, self.hello, self.counts, self.faults = to, hello, counts, faults
        self._box: Queue = Queue(OUTBOX)
        self._waits: dict[int, AsyncResult] = {}
        self._next = 0
        self._again = REDIAL
        self.used = 0.0
        self._sock = None
        self._job = gevent.spawn(self._run)

    def put(self, kind: str, body: bytes, wait: AsyncResult | None = None) -> int:
        self._next += 1
        if wait is not None:
            self._waits[self._next] = wait
        try:
            self._box.put_nowait(Frame(kind, self._next, False, body))
        except Full:
            self.counts.add("transport_overflow")
            self._fail("overflow")
        return self._next

    def forget(self, n: int) -> None:
        self._waits.pop(n, None)

    def close(self) -> None:
        self._job.kill()
        self._drop("closed")

    def _run(self) -> None:
        while True:
            f = self._box.get()
            if self.faults.apart(self.hello.sender, self.to):
                continue
            if self._sock is None and not self._dial():
                self._drop("unreachable")
                gevent.sleep(self._again)
                self._again = min(2 * self._again, REDIAL_MOST)
                continue
            buf = [seal(f)]
            while len(buf) < 64:
                try:
                    buf.append(seal(self._box.get_nowait()))
                except Empty:
                    break
            try:
                self.counts.add("transport_frames", len(buf))
                self.counts.add("transport_bytes", sum(map(len, buf)))
                self._sock.sendall(b"".join(buf))
            except (OSError, AttributeError):
                self._drop("broken")

    def _dial(self) -> bool:
        try:
            self._sock = socket.create_connection(self.to.pair, timeout=1.0)
            self._sock.settimeout(None)
            tune(self._sock)
            self._sock.sendall(seal(self.hello))
        except OSError:
            return False
        self._again = REDIAL
        gevent.spawn(self._listen, self._sock)
        return True

    def _listen(self, sock) -> None:
        cut = Cutter(self.hello.fleet, greeted=True)
        while True:
            try:
                data = sock.recv(65536)
            except OSError:
                data = b""
            r = cut.feed(data) if data else Err("closed")
            if isinstance(r, Err):
                break
            for f in r.ok_value:
                w = self._waits.pop(f.id, None)
                if w is not None and not self.faults.apart(self.hello.sender, self.to):
                    w.set(Ok(f.body))
        if self._sock is sock:
            self._drop("closed")

    def _drop(self, why: str) -> None:
        s, self._sock = self._sock, None
        if s is not None:
            s.close()
        while not self._box.empty():
            self._box.get_nowait()
        self._fail(why)

    def _fail(self, why: str) -> None:
        waits, self._waits = self._waits, {}
        for w in waits.values():
            w.set(Err(why))


class Transport:
    __slots__ = ("me", "fleet", "counts", "faults", "gone", "_on", "_lines", "_server", "_pool", "_here")

    def __init__(self, me: Address, fleet: str, counts: Counts, faults: Faults = Faults()):
        self.me, self.fleet, self.counts, self.faults = me, fleet, counts, faults
        self._on: dict[str, tuple[Handler, bool]] = {}
        self._lines: dict[Address, Line] = {}
        self._pool = Pool(1024)
        self._here: Counter[Address] = Counter()
        self.gone: Callable[[Address], None] = lambda a: None

    def on(self, kind: str, handler: Handler, quick: bool = False) -> None:
        self._on[kind] = (handler, quick)

    def __enter__(self) -> Transport:
        self._server = StreamServer(self.me.pair, self._serve)
        self._server.start()
        return self

    def __exit__(self, *_) -> None:
        self._server.stop(timeout=0.1)
        for line in self._lines.values():
            line.close()

    def cast(self, to: Address, kind: str, body: bytes) -> None:
        self._line(to, clock.now()).put(kind, body)

    def call(self, to: Address, kind: str, body: bytes, limit: float) -> Result[bytes, str]:
        w = AsyncResult()
        line = self._line(to, clock.now())
        n = line.put(kind, body, w)
        try:
            return w.get(timeout=limit)
        except gevent.Timeout:
            return Err("limit")
        finally:
            line.forget(n)

    def _line(self, to: Address, now: float) -> Line:
        line = self._lines.get(to)
        if line is None:
            self._close_idle(now)
            line = self._lines[to] = Line(to, Hello(VERSION, self.fleet, self.me), self.counts, self.faults)
        line.used = now
        return line

    def _close_idle(self, now: float) -> None:
        for a in [a for a, x in self._lines.items() if now - x.used > IDLE]:
            self._lines.pop(a).close()

    def _serve(self, sock, _addr) -> None:
        tune(sock)
        box: Queue = Queue(OUTBOX)
        writer = gevent.spawn(self._write, sock, box)
        try:
            with sock:
                self._read(sock, box)
        finally:
            writer.kill()

    def _write(self, sock, box: Queue) -> None:
        try:
            while True:
                data = seal(box.get())
                self.counts.add("transport_frames")
                self.counts.add("transport_bytes", len(data))
                sock.sendall(data)
        except OSError:
            self.counts.add("transport_unanswered")

    def _read(self, sock, box: Queue) -> None:
        heard: set[Address] = set()
        try:
            self._hear(sock, box, heard)
        finally:
            for a in heard:
                self._here[a] -= 1
                if self._here[a] <= 0:
                    del self._here[a]
                    self.gone(a)

    def _hear(self, sock, box: Queue, heard: set[Address]) -> None:
        cut, sender = Cutter(self.fleet), None
        while True:
            try:
                data = sock.recv(65536)
            except OSError:
                return
            if not data:
                return
            r = cut.feed(data)
            if isinstance(r, Err):
                self.counts.add(f"transport_{r.err_value}")
                return
            for f in r.ok_value:
                if isinstance(f, Hello):
                    sender = f.sender
                    if sender not in heard:
                        heard.add(sender)
                        self._here[sender] += 1
                    continue
                if self.faults.apart(sender, self.me):
                    continue
                self._handle(sender, f, box)

    def _handle(self, sender: Address, f: Frame, box: Queue) -> None:
        h = self._on.get(f.kind)
        if h is None:
            self.counts.add("transport_unknown")
            return
        act, quick = h
        if quick:
            self._answer(act, sender, f, box)
            return
        self._pool.spawn(self._answer, act, sender, f, box)

    def _answer(self, act: Handler, sender: Address, f: Frame, box: Queue) -> None:
        try:
            body = act(sender, f.body)
        except ValueError:
            self.counts.add("transport_garbage")
            return
        if body is None:
            return
        try:
            box.put_nowait(Frame(f.kind, f.id, True, body))
        except Full:
            self.counts.add("transport_unanswered")
