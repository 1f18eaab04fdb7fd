"""Clients of host routes: they keep connections, open new ones, send bodies of all sizes and read slowly."""

from __future__ import annotations

import functools
import random
import uuid
from urllib.parse import urlencode

import gevent
import msgspec

from mallowvalve import clock
from mallowvalve.localfleet.deployed.connection import Answer, ClientConnection, Outgoing
from mallowvalve.localfleet.deployed.control_calls import STATUS_OK, decode
from mallowvalve.localfleet.deployed.machines import Fleet, Machine
from mallowvalve.localfleet.deployed.records import LookUp, Records, RequestEnd, RequestRecord
from mallowvalve.localfleet.deployed.upstream import LARGE_PATH, STREAM_PATH

HOST_NAME = "shop.example"
READ_PREFIX = "/read/"
ORDER_PREFIX = "/order/"
CHANGING_PREFIX = "/changing/"
UNPROMISING_END = (RequestEnd.NO_ANSWER, RequestEnd.TIMED_OUT, RequestEnd.NOT_SENT)
DEADLINE_MS = 2000
ANSWER_MARGIN_S = 2.0
MEBIBYTE = 1 << 20
UPLOAD_DEADLINE_MS = 4000
NEW_CONNECTION_SHARE = 0.3
LONG_LIFE_FACTOR = 3
LOOK_UP_TIMEOUT_S = 1.0
LOOK_UPS_TRIED = 3
AVOID_S = 2.0


class RequestKind(msgspec.Struct, frozen=True):
    """A kind of request with its weight among all."""

    weight: int
    method: str
    path: str
    body_bytes: int = 0
    deadline_ms: int = DEADLINE_MS
    part_pause_s: float = 0.0
    read_pause_s: float = 0.0
    chunked: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether it may run more than once."""
        return not self.path.startswith(ORDER_PREFIX)


KINDS = [
    RequestKind(8, "GET", READ_PREFIX + "item"),
    RequestKind(4, "POST", ORDER_PREFIX + "item", 200),
    RequestKind(1, "POST", ORDER_PREFIX + "item", 20_000, chunked=True),
    RequestKind(1, "POST", ORDER_PREFIX + "slow", 200_000, part_pause_s=0.1),
    RequestKind(1, "GET", READ_PREFIX + LARGE_PATH, read_pause_s=0.02),
    RequestKind(1, "GET", READ_PREFIX + STREAM_PATH),
    RequestKind(1, "GET", CHANGING_PREFIX + "item"),
]
UPLOAD_PATH = ORDER_PREFIX + "upload"
UPLOADS = [
    RequestKind(4, "POST", UPLOAD_PATH, MEBIBYTE, UPLOAD_DEADLINE_MS, part_pause_s=0.02),
    RequestKind(2, "POST", UPLOAD_PATH, MEBIBYTE, UPLOAD_DEADLINE_MS, chunked=True),
    RequestKind(2, "POST", UPLOAD_PATH, 8 * MEBIBYTE, UPLOAD_DEADLINE_MS),
    RequestKind(2, "POST", UPLOAD_PATH, 8 * MEBIBYTE, UPLOAD_DEADLINE_MS, chunked=True),
    RequestKind(1, "POST", UPLOAD_PATH, 60 * MEBIBYTE, UPLOAD_DEADLINE_MS),
    RequestKind(1, "POST", UPLOAD_PATH, 65 * MEBIBYTE, UPLOAD_DEADLINE_MS),
]
"""Bodies up to the limit of the configuration, and one beyond it."""


@functools.cache
def body_of(size: int) -> bytes:
    """Returns a body of `size` bytes, the same object for all requests."""
    return b"b" * size


class Client:
    """A client that sends one request at a time.

    `heeds_close`: it opens a new connection after an answer that announces the end of the old one. Others use theirs
    until it is gone. `reads_after_failure`: it reads an answer also if it could not send its request whole.
    """

    def __init__(self, fleet: Fleet, records: Records, rng: random.Random, pause_s: float, uploads: bool):
        """Draws its habits; `pause_s` is the mean time between two requests."""
        self.fleet, self.records, self.rng, self.pause_s = fleet, records, rng, pause_s
        self.kinds = UPLOADS if uploads else KINDS
        self.zone = rng.choice(sorted(fleet.shape.zones))
        self.heeds_close = rng.random() < 0.7
        self.reads_after_failure = not uploads or rng.random() < 0.5
        self.life_factor = rng.choice((1, 1, LONG_LIFE_FACTOR))
        self._connection: ClientConnection | None = None
        self._named: list[Machine] = []
        self._named_until = 0.0
        self._avoided: dict[str, float] = {}

    def run(self, end: float) -> None:
        """Sends requests until `end` (s, this process's clock)."""
        while clock.now() < end:
            gevent.sleep(self.rng.expovariate(1.0 / self.pause_s))
            kind = self.rng.choices(self.kinds, [kind.weight for kind in self.kinds])[0]
            if not self._send(kind) and self.rng.random() < 0.5:
                self._send(kind)

    def _send(self, kind: RequestKind) -> bool:
        connection = self._pick_connection()
        if connection is None:
            return False
        terms = self.fleet.terms
        record = RequestRecord(uuid.uuid4().hex[:16], connection.machine, True, kind.repeatable, clock.now())
        record.deadline_s = kind.deadline_ms / 1000
        headers = {"Host": HOST_NAME, terms.ask: record.id, terms.limit: str(kind.deadline_ms)}
        outgoing = Outgoing(
            kind.method,
            kind.path,
            headers,
            body_of(kind.body_bytes),
            kind.deadline_ms / 1000 + ANSWER_MARGIN_S,
            kind.part_pause_s,
            kind.read_pause_s,
            kind.chunked,
            self.reads_after_failure,
        )
        answer = connection.exchange(record, outgoing)
        if answer is not None and answer.status == STATUS_OK:
            record.answered_id = str(decode(Answer(answer.status, {}, answer.body.rstrip())).get("id", ""))
        self.records.requests.append(record)
        if record.end is not RequestEnd.ANSWERED:
            self._avoided[connection.machine] = clock.now() + AVOID_S
            self._drop_connection()
        elif connection.announced_close and self.heeds_close:
            self._drop_connection()
        return answer is not None and answer.status == STATUS_OK

    def _pick_connection(self) -> ClientConnection | None:
        named = self._edges()
        if self._connection is not None:
            still_named = not self.fleet.shape.lookups or self._connection.machine in {m.name for m in named}
            if still_named and self.rng.random() > NEW_CONNECTION_SHARE:
                return self._connection
            self._drop_connection()
        now = clock.now()
        usable = [machine for machine in named if self._avoided.get(machine.name, 0.0) < now] or named
        if not usable:
            return None
        machine = self.rng.choice(usable)
        self._connection = ClientConnection(machine.web, machine.name)
        return self._connection

    def _drop_connection(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None

    def _edges(self) -> list[Machine]:
        if not self.fleet.shape.lookups:
            return self.fleet.edge
        if clock.now() >= self._named_until:
            self._look_up()
        return self._named

    def _look_up(self) -> None:
        query = urlencode({"name": HOST_NAME, "region": self.fleet.shape.zones[self.zone], "zone": self.zone})
        by_address = {f"{machine.address}:{machine.web[1]}": machine for machine in self.fleet.edge}
        for directory in self.rng.sample(self.fleet.core, min(LOOK_UPS_TRIED, len(self.fleet.core))):
            connection = ClientConnection((directory.address, self.fleet.ports.directory), directory.name)
            record = RequestRecord(uuid.uuid4().hex, directory.name, True, True, clock.now(), is_call=True)
            answer = connection.exchange(
                record, Outgoing("GET", f"/proxies?{query}", {"Host": "directory"}, timeout_s=LOOK_UP_TIMEOUT_S)
            )
            connection.close()
            self.records.requests.append(record)
            if answer is None or answer.status != STATUS_OK:
                continue
            document = decode(answer)
            self._named = [by_address[name] for name in document["proxies"] if name in by_address]
            self._named_until = clock.now() + document["life_s"] * self.life_factor
            self.records.look_ups.append(LookUp(clock.now(), [machine.name for machine in self._named]))
            return
