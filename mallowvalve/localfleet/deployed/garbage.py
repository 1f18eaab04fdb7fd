"""Made-up input for the ports of a process: frames, datagrams and requests that no program of ours would send.

Values are drawn by the type of each message, so that many pass the decoder and reach the code behind it.
"""

from __future__ import annotations

import random
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import msgspec
from msgspec import inspect

from mallowvalve.control.snapshot_transfer import PieceRequest
from mallowvalve.control.state import Command
from mallowvalve.control.wire import CommandRequest, ProcessStatus, ReplicationRequest, RevisionQuery
from mallowvalve.localfleet.deployed.machines import Machine
from mallowvalve.membership import wire as membership_wire
from mallowvalve.raft.messages import Envelope
from mallowvalve.transport.frame import PROTOCOL_VERSION, FrameEncoder, Hello, TransportFrame, encode_hello
from mallowvalve.types import Address
from mallowvalve.upstreams.board import AgedHeartbeat
from mallowvalve.upstreams.liveness import HeardInstance

NUMBERS = (0, 1, 2, 7, -1, 255, 65535, 65536, 1 << 31, 1 << 60, (1 << 62) - 1, 1 << 63, -(1 << 60), -(1 << 63))
FRACTIONS = (0.0, 0.5, 1.0, -1.0, 1e9, 1e308, -1e308, float("inf"), float("-inf"), float("nan"))
TEXTS = ("", "x", "control", "proxy", "settings", "all", "10.0.0.1", "127.0.0.1", "a\0b", "é" * 70, "." * 300)
DATAS = (b"", b"\xc1", b"\x90", b"{}", b"\xff" * 40)
MOST_ITEMS = 3
MOST_BYTES = 200
CONNECT_TIMEOUT_S = 1.0
ANSWER_TIMEOUT_S = 0.3
MALFORMED_SHARE = 0.2

FLEET = "mallowvalve"
FRAMES = 60
DATAGRAMS = 120
REQUESTS_AT_ONCE = 2

FRAME_BODIES: dict[str, Any] = {
    "raft": Envelope,
    "want": ReplicationRequest,
    "offer": CommandRequest,
    "read": bytes,
    "who": bytes,
    "here": ProcessStatus,
    "heard": list[HeardInstance],
    "heartbeats": list[AgedHeartbeat],
    "digest": dict[str, tuple[int, int]],
    "label": bytes,
    "whole": bytes,
    "piece": PieceRequest,
    "round": RevisionQuery,
    "failed": list[bytes],
}
"""The type of the body of each kind of frame."""

REQUESTS = (
    b"GET / HTTP/1.1\r\n\r\n",
    b"\0\xff\r\n\r\n",
    b"POST /api/locks/l HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n\xff\xff\xff\xff\xff",
    b"PATCH /api/configuration HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n[]",
    b"PUT /api/instances/i HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    b"GET /api/watch/g.?after=-1&wait_ms=x HTTP/1.1\r\nHost: h\r\n\r\n",
    b"X" * 70_000,
    b"PATCH /api/configuration HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n" + b"{" * 300_000,
    b"PATCH /items HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n" + b"{" * 300_000,
)


class GarbageSource:
    """Draws made-up messages from a random number generator."""

    def __init__(self, rng: random.Random) -> None:
        """Draws from `rng`."""
        self.rng = rng
        self._drawers: list[tuple[type, Callable[[Any], Any]]] = [
            (inspect.IntType, lambda _: self._draw(NUMBERS)),
            (inspect.FloatType, lambda _: self._draw(FRACTIONS)),
            (inspect.StrType, lambda _: self._draw(TEXTS)),
            (inspect.BytesType, lambda _: self._bytes()),
            (inspect.BoolType, lambda _: self.rng.random() < 0.5),
            (inspect.NoneType, lambda _: None),
            (inspect.ListType, lambda kind: [self.value(kind.item_type) for _ in range(self._count())]),
            (inspect.TupleType, lambda kind: [self.value(item) for item in kind.item_types]),
            (
                inspect.DictType,
                lambda kind: {self.value(kind.key_type): self.value(kind.value_type) for _ in range(self._count())},
            ),
            (inspect.UnionType, lambda kind: self.value(self.rng.choice(kind.types))),
            (inspect.LiteralType, lambda kind: self.rng.choice(kind.values)),
            (inspect.EnumType, lambda kind: self.rng.choice(list(kind.cls)).value),
            (inspect.StructType, self._struct),
        ]

    def value(self, kind: Any) -> Any:
        """Returns a value of a type, as `msgspec.inspect` describes it, in the form in which it is encoded."""
        for described, draw in self._drawers:
            if isinstance(kind, described):
                return draw(kind)
        return self._bytes()

    def message(self, kind: Any) -> bytes:
        """Returns an encoded message of a type, or bytes that are none."""
        if self.rng.random() < MALFORMED_SHARE:
            return self._bytes()
        return self._encode(self.value(inspect.type_info(kind)))

    def command(self) -> bytes:
        """Returns an encoded command of the replicated state."""
        return self._encode(self.value(inspect.type_info(Command)))

    def frame_body(self, kind: str) -> bytes:
        """Returns the body of a frame; half of the offered commands are well-typed."""
        if kind == "offer" and self.rng.random() < 0.5:
            return self._encode([self.command(), self._draw(FRACTIONS)])
        if FRAME_BODIES[kind] is bytes:
            return self._bytes()
        return self.message(FRAME_BODIES[kind])

    def datagram(self, fleet: str) -> bytes:
        """Returns a datagram of the membership; most have the header of the fleet."""
        value = self.value(inspect.type_info(membership_wire.Message))
        if self.rng.random() >= MALFORMED_SHARE:
            value[1][:2] = [membership_wire.PROTOCOL_VERSION, fleet]
        return self._encode(value)

    def _struct(self, kind: inspect.StructType) -> Any:
        fields = [self.value(field.type) for field in kind.fields]
        if kind.array_like:
            return fields if kind.tag is None else [kind.tag, *fields]
        named = {field.encode_name: value for field, value in zip(kind.fields, fields, strict=True)}
        return named if kind.tag is None else {str(kind.tag_field): kind.tag} | named

    def _encode(self, value: Any) -> bytes:
        try:
            return msgspec.msgpack.encode(value)
        except (OverflowError, UnicodeEncodeError):
            return self._bytes()

    def _draw(self, values: tuple[Any, ...]) -> Any:
        return self.rng.choice(values)

    def _count(self) -> int:
        return self.rng.randrange(MOST_ITEMS + 1)

    def _bytes(self) -> bytes:
        if self.rng.random() < 0.5:
            return self.rng.choice(DATAS)
        return self.rng.randbytes(self.rng.randrange(MOST_BYTES))


def send_to_all_ports(source: GarbageSource, machine: Machine) -> None:
    """Sends made-up input to each port of a machine's process."""
    transport = machine.address, machine.fleet.ports.transport
    send_frames(source, transport, FLEET, FRAMES)
    send_datagrams(source, transport, FLEET, DATAGRAMS)
    send_requests(source, machine.ready_at, REQUESTS_AT_ONCE)


def send_frames(source: GarbageSource, to: tuple[str, int], fleet: str, count: int) -> None:
    """Opens a connection to a transport address and sends frames of all kinds."""
    sender = Address(to[0], 1)
    encoder = FrameEncoder()
    with suppress(OSError), socket.create_connection(to, timeout=CONNECT_TIMEOUT_S) as connection:
        connection.sendall(encode_hello(Hello(PROTOCOL_VERSION, fleet, sender)))
        for number in range(1, count + 1):
            kind = source.rng.choice(sorted(FRAME_BODIES))
            frame = TransportFrame(kind, number, False, source.frame_body(kind))
            connection.sendall(encoder.encode([frame]))


def send_datagrams(source: GarbageSource, to: tuple[str, int], fleet: str, count: int) -> None:
    """Sends datagrams to a transport address."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for _ in range(count):
            with suppress(OSError):
                sender.sendto(source.datagram(fleet), to)


def send_requests(source: GarbageSource, to: tuple[str, int], count: int) -> None:
    """Sends heads and bodies that are not HTTP, or not what the paths take."""
    for _ in range(count):
        with suppress(OSError), socket.create_connection(to, timeout=CONNECT_TIMEOUT_S) as connection:
            connection.settimeout(ANSWER_TIMEOUT_S)
            connection.sendall(source.rng.choice(REQUESTS))
            connection.recv(4096)
