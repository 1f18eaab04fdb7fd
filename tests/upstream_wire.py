"""Scripted upstreams on fake sockets with a simulated clock, which record the bytes that a proxy sends.

The product's own `HostConnection`, `ResponseParser`, `IdleConnections` and `HostForwarder` run on them.
"""

from __future__ import annotations

import re
from types import SimpleNamespace

import msgspec
from result import Ok

from mallowvalve.proxy import host_connection
from mallowvalve.proxy.host_connection import HostConnection, SendEvent
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

RESPONSE = b"HTTP/1.1 %d X\r\nMallow-Ask: %s\r\nX-Seal: 1\r\n%sContent-Length: %d\r\n\r\n%s"
SILENT = "silent"
RESET = "reset"
END = "end"
IO_S = 0.001
"""The duration of each read and write."""


def make_response(request_id: bytes, status: int = 200, headers: bytes = b"") -> bytes:
    return RESPONSE % (status, request_id, headers, len(request_id), request_id)


class SentRequest(msgspec.Struct):
    """One send of a request: the bytes that the upstream accepted, and whether it proved that the request did not run."""

    request_id: str
    accepted_bytes: int
    refused: bool = False


class Behaviour(msgspec.Struct, frozen=True):
    """What an upstream does with one request.

    It accepts `accepts` bytes of it (None: all) and then causes `events`: bytes, a silence, a reset or an end. The events
    in `before` come when the request is sent, those in `after` once the response has been read. `refuses`: the response
    proves that the request did not run.
    """

    name: str
    events: tuple = ()
    accepts: int | None = None
    before: tuple = ()
    after: tuple = ()
    refuses: bool = False

    @property
    def makes_unusable(self) -> bool:
        """Whether anything but one complete response with the request's id arrives before the next request."""
        if self.before or self.after or self.accepts is not None or self.events[-1] in (SILENT, RESET, END):
            return True
        responses = b"".join(event for event in self.events if isinstance(event, bytes)).replace(b"HTTP/1.1 100", b"")
        return responses.count(b"HTTP/1.1") != 1 or responses.count(b"Mallow-Ask: %s") != 1


RESPONSE_TEMPLATE = make_response(b"%s")
FOREIGN_RESPONSE = make_response(b"zz")
BEHAVIOURS = [
    Behaviour("answers", (RESPONSE_TEMPLATE,)),
    Behaviour("answers in parts", (RESPONSE_TEMPLATE[:20], RESPONSE_TEMPLATE[20:60], RESPONSE_TEMPLATE[60:])),
    Behaviour("fails", (make_response(b"%s", 500),)),
    Behaviour("responds with 503", (make_response(b"%s", 503),)),
    Behaviour("rejects as not run", (make_response(b"%s", 503, b"Mallow-Not-Run: 1\r\n"),), refuses=True),
    Behaviour("is misdirected", (make_response(b"%s", 421),), refuses=True),
    Behaviour("sends a foreign response first", (FOREIGN_RESPONSE + RESPONSE_TEMPLATE,)),
    Behaviour("sends a foreign response before the request arrived", (RESPONSE_TEMPLATE,), before=(FOREIGN_RESPONSE,)),
    Behaviour("sends a foreign response together with its own", (RESPONSE_TEMPLATE + FOREIGN_RESPONSE,)),
    Behaviour("sends a foreign response after its own", (RESPONSE_TEMPLATE,), after=(FOREIGN_RESPONSE,)),
    Behaviour("sends part of a foreign response after its own", (RESPONSE_TEMPLATE,), after=(FOREIGN_RESPONSE[:9],)),
    Behaviour("sends its response twice", (RESPONSE_TEMPLATE + RESPONSE_TEMPLATE,)),
    Behaviour("sends its response again later", (RESPONSE_TEMPLATE,), after=(RESPONSE_TEMPLATE,)),
    Behaviour("sends only a foreign response", (FOREIGN_RESPONSE, SILENT)),
    Behaviour("sends no request id", (RESPONSE_TEMPLATE.replace(b"Mallow-Ask", b"Else"),)),
    Behaviour("sends an interim response first", (b"HTTP/1.1 100 Continue\r\n\r\n" + RESPONSE_TEMPLATE,)),
    Behaviour("is silent", (SILENT,)),
    Behaviour("is silent after a part of its response", (RESPONSE_TEMPLATE[:-2], SILENT)),
    Behaviour("answers after the timeout", (SILENT, RESPONSE_TEMPLATE)),
    Behaviour("resets before any byte", (RESET,), 0),
    Behaviour("resets midway in the request", (RESET,), 40),
    Behaviour("resets before its response", (RESET,)),
    Behaviour("resets within its response", (RESPONSE_TEMPLATE[:-2], RESET)),
    Behaviour("ends before its response", (END,)),
    Behaviour("ends within its response", (RESPONSE_TEMPLATE[:-2], END)),
    Behaviour("resets after its response", (RESPONSE_TEMPLATE,), after=(RESET,)),
    Behaviour("ends after its response", (RESPONSE_TEMPLATE,), after=(END,)),
    Behaviour(
        "rejects as not run midway in the request",
        (make_response(b"%s", 503, b"Mallow-Not-Run: 1\r\n"), RESET),
        40,
        refuses=True,
    ),
    Behaviour("answers midway in the request", (RESPONSE_TEMPLATE, RESET), 40),
    Behaviour("answers midway in the request and stays open", (RESPONSE_TEMPLATE,), 40),
    Behaviour("sends garbage", (b"\x00\x01nonsense",)),
]


class FakeSocket:
    """The part of a gevent socket's interface that `HostConnection` uses."""

    _read_event = _write_event = None

    def __init__(self, wire: Wire):
        self.wire, self.timeout, self.events, self.after, self.closed = wire, None, [], [], False
        self.unusable = False

    def settimeout(self, seconds: float | None) -> None:
        self.timeout = seconds

    def _wait(self, _event) -> None:
        if not self.events or self.events[0] == SILENT:
            self._time_out()

    def _time_out(self) -> None:
        if self.events:
            self.events.pop(0)
        self.wire.now += self.timeout
        raise TimeoutError

    def send(self, data: bytes) -> int:
        assert not self.closed and not self.unusable
        return self.wire.send(self, data)

    def sendall(self, data: bytes) -> None:
        raise ConnectionResetError(104, "reset")

    def recv(self, size: int, flags: int = 0) -> bytes:
        assert not self.closed
        if flags:
            return self._peek()
        if not self.events or self.events[0] == SILENT:
            self._time_out()
        self.wire.now += IO_S
        event = self.events.pop(0)
        if event == RESET:
            raise ConnectionResetError(104, "reset")
        if not self.events:
            self.events, self.after = self.after, []
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
    """A proxy and its upstreams, which follow `script` request by request and then answer normally."""

    def __init__(self, monkeypatch, upstreams: int = 2):
        self.now, self.script, self.sent = 0.0, [], []
        self.bench = HostBench(lambda: self.now)
        for index in range(upstreams):
            self.bench.upstream(f"u{index}", port=100 + index)
        monkeypatch.setattr(host_connection, "clock", SimpleNamespace(now=lambda: self.now))
        monkeypatch.setattr(host_connection, "peek", lambda sock: b"x" if sock.events else None)
        monkeypatch.setattr(host_connection, "wait_for_first", lambda events, seconds: SendEvent.WRITABLE)

    def send(self, sock: FakeSocket, data: bytes) -> int:
        self.now += IO_S
        request_id = re.search(rb"(?i)\nmallow-ask: (\S+)", data)[1]
        behaviour = self.script.pop(0) if self.script else BEHAVIOURS[0]
        sock.unusable = behaviour.makes_unusable
        sock.events = [
            event if isinstance(event, str) else event.replace(b"%s", request_id)
            for event in behaviour.before + behaviour.events
        ]
        sock.after = [
            event if isinstance(event, str) else event.replace(b"%s", request_id) for event in behaviour.after
        ]
        accepted = len(data) if behaviour.accepts is None else min(behaviour.accepts, len(data))
        self.sent.append(SentRequest(request_id.decode(), accepted, behaviour.refuses))
        if not accepted:
            raise ConnectionResetError(104, "reset")
        return accepted

    def forward(self, request: ClientRequest) -> ProxyResponse:
        steps, result = self.bench.forwarder.handle(request), None
        try:
            while True:
                result = self._perform(steps.send(result))
        except StopIteration as stop:
            states = self.bench.hosts.upstreams.values()
            assert all(state.in_flight == 0 for state in states) and self.bench.hosts.waiting == {}
            return stop.value

    def _perform(self, step):
        match step:
            case Exchange():
                return step.connection.exchange(step.method, step.request, step.end, step.request_id, body=step.body)
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
