"""Calls to the control plane, as the operator, upstreams and applications make them."""

from __future__ import annotations

import random
import uuid
from typing import Any
from urllib.parse import urlsplit

import gevent
import msgspec

from mallowvalve import clock
from mallowvalve.localfleet.deployed.connection import Answer, ClientConnection, Outgoing
from mallowvalve.localfleet.deployed.machines import Fleet
from mallowvalve.localfleet.deployed.records import Records, RequestRecord

STATUS_OK = 200
STATUS_REDIRECT = 307
SERVER_ERROR = 500
RETRYABLE = (408, 429)
MAX_REDIRECTS = 2
CALL_TIMEOUT_S = 1.0
FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 0.5


class ControlCaller:
    """Sends calls to core machines chosen at random, each on a connection of its own, and records them."""

    def __init__(self, fleet: Fleet, records: Records, rng: random.Random):
        """`records` gets a row for each call that was sent."""
        self.fleet, self.records, self.rng = fleet, records, rng

    def once(self, method: str, path: str, body: Any = None, timeout_s: float = CALL_TIMEOUT_S) -> Answer | None:
        """Sends a call to one machine and follows redirects; None without an answer."""
        machine = self.rng.choice(self.fleet.core)
        names = {core.address: core.name for core in self.fleet.core}
        address = machine.web
        data = b"" if body is None else msgspec.json.encode(body)
        answer: Answer | None = None
        for _ in range(MAX_REDIRECTS + 1):
            name = names.get(address[0], machine.name)
            answer = self._send(ClientConnection(address, name), name, method, path, data, timeout_s)
            if answer is None or answer.status != STATUS_REDIRECT:
                break
            location = urlsplit(answer.headers.get("location", ""))
            address = location.hostname or address[0], location.port or address[1]
            path = location._replace(scheme="", netloc="").geturl()
        return answer

    def _send(
        self, connection: ClientConnection, name: str, method: str, path: str, data: bytes, timeout_s: float
    ) -> Answer | None:
        record = RequestRecord(uuid.uuid4().hex, name, True, True, clock.now(), is_call=True)
        headers = {"Host": connection.address[0], "Content-Type": "application/json"}
        answer = connection.exchange(record, Outgoing(method, path, headers, data, timeout_s))
        connection.close()
        self.records.requests.append(record)
        return answer

    def until_clear(self, method: str, path: str, body: Any = None, limit_s: float = 4.0) -> Answer | None:
        """Repeats a call at other machines until its answer is clear; None if that took longer than `limit_s`."""
        end, pause_s = clock.now() + limit_s, FIRST_PAUSE_S
        while clock.now() < end:
            answer = self.once(method, path, body)
            if answer is not None and answer.status < SERVER_ERROR and answer.status not in RETRYABLE:
                return answer
            gevent.sleep(pause_s)
            pause_s = min(2 * pause_s, LONGEST_PAUSE_S)
        return None


def decode(answer: Answer | None) -> Any:
    """Returns the JSON body of an answer; an empty table without one."""
    try:
        return msgspec.json.decode(answer.body) if answer is not None else {}
    except msgspec.DecodeError:
        return {}
