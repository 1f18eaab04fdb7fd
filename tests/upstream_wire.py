"""The bytes between a proxy and its upstreams, without sockets and with a hand on the clock: what the product's own
`Link`, `Reader`, `IdleConnections` and `HostForwarder` do is seen on the wire, whatever the upstreams do."""

from __future__ import annotations

import re
from types import SimpleNamespace

import msgspec
from result import Ok

from mallowvalve.proxy import host_connection
from mallowvalve.proxy.host_connection import HostConnection
from mallowvalve.proxy.steps import (
    AwaitResponse,
    ClientCheck,
    ClientRequest,
    Exchange,
    OpenConnection,
    ProxyResponse,
    ReadBody,
    WaitForCapacity,
)
from tests.host_bench import HostBench

KEPT = b"HTTP/1.1 %d X\r\nMallow-Ask: %s\r\nX-Seal: 1\r\n%sContent-Length: %d\r\n\r\n%s"
HEAD, TAIL = b"HTTP/1.1 200 X\r\nMallow-Ask: ", b"\r\nX-Seal: 1\r\nContent-Length: 2\r\n\r\n"
SILENT, RESET, END = "silent", "reset", "end"
STEP = 0.001
"""What each read and write takes (s)."""


def whole(ask: bytes, status: int = 200, more: bytes = b"") -> bytes:
    return KEPT % (status, ask, more, len(ask), ask)


class Sent(msgspec.Struct):
    """One writing of a request: how much of it left, and whether the upstream proved that it did not run."""

    ask: str
    bytes_left: int
    refused: bool = False


class Behaviour(msgspec.Struct, frozen=True):
    """What an upstream does with one request: `accepts` bytes of it (None: all), brings `events`, and `later` ones.

    `before` is there when the request is written, `seen` once the answer was taken.
    """

    name: str
    events: tuple = ()
    accepts: int | None = None
    before: tuple = ()
    seen: tuple = ()
    refuses: bool = False

    @property
    def spoils(self) -> bool:
        """Whether anything but one whole answer with the request's own id came, or will have come by the next request."""
        if self.before or self.seen or self.accepts is not None or self.events[-1] in (SILENT, RESET, END):
            return True
        answers = b"".join(e for e in self.events if isinstance(e, bytes)).replace(b"HTTP/1.1 100", b"")
        return answers.count(b"HTTP/1.1") != 1 or answers.count(b"Mallow-Ask: %s") != 1


ANSWER = whole(b"%s")
OTHER = whole(b"zz")
BEHAVIOURS = [
    Behaviour("answers", (ANSWER,)),
    Behaviour("answers in parts", (ANSWER[:20], ANSWER[20:60], ANSWER[60:])),
    Behaviour("fails", (whole(b"%s", 500),)),
    Behaviour("says 503", (whole(b"%s", 503),)),
    Behaviour("turns away", (whole(b"%s", 503, b"Mallow-Not-Run: 1\r\n"),), refuses=True),
    Behaviour("is another", (whole(b"%s", 421),), refuses=True),
    Behaviour("sends another's first", (OTHER + ANSWER,)),
    Behaviour("sends another's before the request came", (ANSWER,), before=(OTHER,)),
    Behaviour("sends another's with it", (ANSWER + OTHER,)),
    Behaviour("sends another's after it", (ANSWER,), seen=(OTHER,)),
    Behaviour("sends half of another's after it", (ANSWER,), seen=(OTHER[:9],)),
    Behaviour("sends its answer twice", (ANSWER + ANSWER,)),
    Behaviour("sends its answer again later", (ANSWER,), seen=(ANSWER,)),
    Behaviour("sends only another's", (OTHER, SILENT)),
    Behaviour("sends no id", (ANSWER.replace(b"Mallow-Ask", b"Else"),)),
    Behaviour("begins with an interim answer", (b"HTTP/1.1 100 Continue\r\n\r\n" + ANSWER,)),
    Behaviour("is silent", (SILENT,)),
    Behaviour("is silent after a part", (ANSWER[:-2], SILENT)),
    Behaviour("answers after a silence", (SILENT, ANSWER)),
    Behaviour("resets before all", (RESET,), 0),
    Behaviour("resets midway in the request", (RESET,), 40),
    Behaviour("resets before its answer", (RESET,)),
    Behaviour("resets in its answer", (ANSWER[:-2], RESET)),
    Behaviour("ends before its answer", (END,)),
    Behaviour("ends in its answer", (ANSWER[:-2], END)),
    Behaviour("resets after its answer", (ANSWER,), seen=(RESET,)),
    Behaviour("ends after its answer", (ANSWER,), seen=(END,)),
    Behaviour("turns away midway", (whole(b"%s", 503, b"Mallow-Not-Run: 1\r\n"), RESET), 40, refuses=True),
    Behaviour("answers midway", (ANSWER, RESET), 40),
    Behaviour("answers midway and stays", (ANSWER,), 40),
    Behaviour("is garbage", (b"\x00\x01nonsense",)),
]


class FakeSocket:
    """As much of a gevent socket as a `Link` uses."""

    _read_event = None

    def __init__(self, wire: Wire):
        self.wire, self.timeout, self.events, self.seen, self.closed = wire, None, [], [], False
        self.spoiled = False

    def settimeout(self, seconds: float | None) -> None:
        self.timeout = seconds

    def _wait(self, _event) -> None:
        if not self.events or self.events[0] == SILENT:
            self._silence()

    def _silence(self) -> None:
        if self.events:
            self.events.pop(0)
        self.wire.now += self.timeout
        raise TimeoutError

    def send(self, data: bytes) -> int:
        assert not self.closed and not self.spoiled
        return self.wire.written(self, data)

    def sendall(self, data: bytes) -> None:
        raise ConnectionResetError(104, "reset")

    def recv(self, most: int, flags: int = 0) -> bytes:
        assert not self.closed
        if flags:
            return self._peek()
        if not self.events or self.events[0] == SILENT:
            self._silence()
        self.wire.now += STEP
        event = self.events.pop(0)
        if event == RESET:
            raise ConnectionResetError(104, "reset")
        if not self.events:
            self.events, self.seen = self.seen, []
        return b"" if event == END else event

    def _peek(self) -> bytes:
        if not self.events or self.events[0] == SILENT:
            raise BlockingIOError
        if self.events[0] == RESET:
            raise ConnectionResetError(104, "reset")
        return b"x"

    def close(self) -> None:
        self.closed = True


class Wire:
    """A proxy, and upstreams that do in turn what `script` says, and then answer well."""

    def __init__(self, monkeypatch, upstreams: int = 2):
        self.now, self.script, self.sent = 0.0, [], []
        self.bench = HostBench(lambda: self.now)
        for i in range(upstreams):
            self.bench.upstream(f"u{i}", port=100 + i)
        monkeypatch.setattr(host_connection, "clock", SimpleNamespace(now=lambda: self.now))
        monkeypatch.setattr(host_connection, "wait_readable_or_writable", self._either)

    def _either(self, sock: FakeSocket, left: float) -> tuple[bool, bool]:
        return bool(sock.events), not sock.events

    def written(self, sock: FakeSocket, data: bytes) -> int:
        self.now += STEP
        ask = re.search(rb"(?i)\nmallow-ask: (\S+)", data)[1]
        did = self.script.pop(0) if self.script else BEHAVIOURS[0]
        sock.spoiled = did.spoils
        sock.events = [e if isinstance(e, str) else e.replace(b"%s", ask) for e in did.before + did.events]
        sock.seen = [e if isinstance(e, str) else e.replace(b"%s", ask) for e in did.seen]
        left = len(data) if did.accepts is None else min(did.accepts, len(data))
        self.sent.append(Sent(ask.decode(), left, did.refuses))
        if not left:
            raise ConnectionResetError(104, "reset")
        return left

    def carry(self, ask: ClientRequest) -> ProxyResponse:
        steps, got = self.bench.forwarder.handle(ask), None
        try:
            while True:
                got = self._do(steps.send(got))
        except StopIteration as end:
            spots = self.bench.hosts.upstreams.values()
            assert all(s.in_flight == 0 for s in spots) and self.bench.hosts.waiting == {}
            return end.value

    def _do(self, step):
        match step:
            case Exchange():
                return step.connection.exchange(step.method, step.request, step.end, step.request_id)
            case AwaitResponse():
                return step.connection.receive(step.end)
            case ClientCheck():
                return None
            case OpenConnection():
                return Ok(HostConnection(step.heartbeat, FakeSocket(self), "mallow-ask"))
            case ReadBody():
                return Ok(b"x" * 20)
            case WaitForCapacity():
                self.now = max(self.now, step.end)
                return False
