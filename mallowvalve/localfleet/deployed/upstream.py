"""A stand-in upstream on host routes: it registers, runs requests and records them, and leaves in order."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import gevent

from mallowvalve import clock, web
from mallowvalve.localfleet.deployed.control_calls import STATUS_OK, ControlCaller
from mallowvalve.localfleet.deployed.machines import Fleet
from mallowvalve.localfleet.deployed.records import Leaving, Records, Run
from mallowvalve.metrics import Counts
from mallowvalve.request_body import BrokenBodyError
from mallowvalve.types import Address

HEARTBEAT_S = 1.5
RETRY_S = 0.2
LEAVING_S = 3.5
"""The time between the acknowledged notice that it leaves and its end."""

SLOTS = 8
PART_BYTES = 64 << 10
MAX_CONNECTIONS = 4096
LARGE_ANSWER_BYTES = 512 << 10
LARGE_PATH = "large"
STREAM_PATH = "stream"
STREAM_PARTS = 8
STREAM_PAUSE_S = 0.1
HEALTH_PATH = "/health"
DEADLINE_MARGIN_S = 0.1


class StandinUpstream:
    """One life of an upstream."""

    def __init__(
        self, fleet: Fleet, caller: ControlCaller, records: Records, service: str, zone: str, rng: random.Random
    ):
        """Listens on an address of its own once `run` is called."""
        self.fleet, self.caller, self.records, self.service, self.zone, self.rng = (
            fleet,
            caller,
            records,
            service,
            zone,
            rng,
        )
        self.instance = f"i-{rng.getrandbits(32):08x}"
        self.state = "ready"
        self.sequence = 0
        self.address = Address(fleet.next_address(), fleet.ports.web)
        self.server = web.Server(self.address, self, Counts(), MAX_CONNECTIONS)
        self.acknowledged_at: float | None = None
        self._serves_on_s = LEAVING_S
        self._leave = gevent.event.Event()

    def run(self) -> None:
        """Serves until `leave` is called and its notice was acknowledged."""
        with self.server:
            while not self._leave.is_set():
                acknowledged = self._heartbeat()
                self._leave.wait(timeout=HEARTBEAT_S if acknowledged else RETRY_S)
            self.state = "leaving"
            while not self._heartbeat():
                gevent.sleep(RETRY_S)
            self.acknowledged_at = clock.now()
            self.records.leavings.append(Leaving(self.instance, self.acknowledged_at))
            gevent.sleep(self._serves_on_s)
            self.caller.once("DELETE", f"/upstreams/{self.instance}")
            self.server.drain(0.0, 2.0)

    def leave(self, serves_on_s: float = LEAVING_S) -> None:
        """Asks it to leave, and to serve on for so long after its notice was acknowledged (s)."""
        self._serves_on_s = serves_on_s
        self._leave.set()

    def _heartbeat(self) -> bool:
        self.sequence += 1
        body = {
            "service": self.service,
            "address": str(self.address),
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": self.state,
            "sequence": self.sequence,
            "cold_ms": 0,
        }
        answer = self.caller.once("PUT", f"/upstreams/{self.instance}", body)
        return answer is not None and answer.status == STATUS_OK

    def __call__(self, environ: dict[str, Any], start_response: Callable[..., Any]) -> Any:
        """Runs a request (WSGI)."""
        terms, head = self.fleet.terms, environ["mallow.head"]
        if environ["PATH_INFO"] == HEALTH_PATH:
            return self._respond(start_response, HTTPStatus.OK, {terms.instance: self.instance}, b"")
        request_id = head.get(terms.ask) or ""
        if head.get(terms.expect, self.instance) != self.instance:
            return self._respond(
                start_response, HTTPStatus.MISDIRECTED_REQUEST, {terms.ask: request_id, terms.not_run: "1"}, b""
            )
        arrived_at = clock.now()
        deadline = arrived_at + int(head.get(terms.limit, "5000")) / 1000
        try:
            body_bytes = sum(map(len, iter(lambda: environ["wsgi.input"].read(PART_BYTES), b"")))
        except BrokenBodyError:
            return self._respond(
                start_response, HTTPStatus.BAD_REQUEST, {terms.ask: request_id, terms.not_run: "1"}, b""
            )
        self.records.runs.append(Run(request_id, self.instance, arrived_at))
        gevent.sleep(min(self.rng.uniform(0.02, 0.3), max(0.0, deadline - clock.now() - DEADLINE_MARGIN_S)))
        answer = {"id": request_id, "by": self.instance, "bytes": body_bytes}
        headers = {terms.ask: request_id, terms.seal: f"s.{self.instance}.{request_id}"}
        name = environ["PATH_INFO"].rpartition("/")[2]
        if name == STREAM_PATH:
            return self._stream(start_response, headers, answer)
        padding = "x" * LARGE_ANSWER_BYTES if name == LARGE_PATH else ""
        return self._respond(start_response, HTTPStatus.OK, headers, json.dumps(answer | {"pad": padding}).encode())

    def _respond(
        self, start_response: Callable[..., Any], status: HTTPStatus, headers: dict[str, str], body: bytes
    ) -> list[bytes]:
        start_response(f"{status.value} {status.phrase}", [*headers.items(), ("Content-Length", str(len(body)))])
        return [body]

    def _stream(self, start_response: Callable[..., Any], headers: dict[str, str], answer: dict[str, Any]) -> Any:
        body = json.dumps(answer).encode()
        padding = b" " * 1024
        start_response("200 OK", [*headers.items(), ("Content-Length", str(len(body) + STREAM_PARTS * len(padding)))])
        yield body
        for _ in range(STREAM_PARTS):
            gevent.sleep(STREAM_PAUSE_S)
            yield padding
