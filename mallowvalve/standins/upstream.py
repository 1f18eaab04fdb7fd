"""A stand-in upstream: sends heartbeats, answers requests, writes a journal, and misbehaves on request."""

from __future__ import annotations

import contextlib
import json
import random
import signal
import time
from typing import Any

import falcon
import gevent
from gevent import socket
from gevent.event import Event
from geventhttpclient import HTTPClient

from mallowvalve import web
from mallowvalve.metrics import Counts
from mallowvalve.types import Address

HEARTBEAT_INTERVAL_S = 1.5
"""The minimum time between heartbeats, to which up to one second is added at random."""

HEARTBEAT_FANOUT = 2
"""The number of nodes that each heartbeat is sent to."""

LEAVING_S = 3.2
"""The time between the leaving notice and the end of service."""

LATE_S = 6.0
"""The delay of the fault `late`."""

MAX_CONNECTIONS = 4096


class StandinUpstream:
    """The request handlers and heartbeats of an upstream, for `serve` to run."""

    def __init__(
        self,
        service: str,
        instance: str,
        address: Address,
        locality: str,
        heartbeat_targets: list[Address],
        journal: str,
        mean_work_s: float,
    ) -> None:
        """Creates an upstream; a request takes `mean_work_s` on average and adds a JSON line to `journal`."""
        self.service = service
        self.instance = instance
        self.address = address
        self.locality = locality
        self.heartbeat_targets = heartbeat_targets
        self.mean_work_s = mean_work_s
        self.incarnation = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.active_requests = 0
        self.journal = open(journal, "a", buffering=1)
        self.stopping = Event()
        self.rng = random.Random(f"{service}/{instance}")
        self.fault = ""
        self.fault_share = 0.0

    def heartbeat(self) -> None:
        """Sends the current state to some nodes and ignores those that do not answer."""
        self.sequence += 1
        body = json.dumps(
            {
                "service": self.service,
                "instance": self.instance,
                "incarnation": self.incarnation,
                "sequence": self.sequence,
                "usage": float(self.active_requests),
                "state": self.state,
                "locality": self.locality,
                "address": str(self.address),
            }
        )
        for node in self.rng.sample(self.heartbeat_targets, min(HEARTBEAT_FANOUT, len(self.heartbeat_targets))):
            with contextlib.suppress(Exception):
                connection = HTTPClient(node.host, node.port, connection_timeout=1.0, network_timeout=1.0)
                connection.post("/-/heartbeats", body=body, headers={"Content-Type": "application/json"}).read()
                connection.close()

    def status(self, req: falcon.Request, resp: falcon.Response, **_: object) -> None:
        """Reports the identity, for proxies that open a connection."""
        web.send_json(
            resp,
            {"service": self.service, "instance": self.instance, "incarnation": self.incarnation, "state": self.state},
        )

    def run(self, req: falcon.Request, resp: falcon.Response, **_: object) -> None:
        """Answers a request after its work time, or misbehaves."""
        self.active_requests += 1
        try:
            body = req.bounded_stream.read()
            self._write_journal(req)
            gevent.sleep(self.mean_work_s * (0.5 + self.rng.random()))
            if self.fault and self.rng.random() < self.fault_share:
                self._misbehave(req)
                return
            web.send_json(
                resp,
                {
                    "by": self.instance,
                    "service": self.service,
                    "path": req.path,
                    "key": req.get_header("Mallow-Key") or "",
                    "id": req.get_header("Play-Id"),
                    "length": len(body),
                },
            )
        finally:
            self.active_requests -= 1

    def _write_journal(self, req: falcon.Request) -> None:
        row = {
            "at": time.time(),
            "service": self.service,
            "instance": self.instance,
            "locality": self.locality,
            "tenant": req.get_header("Mallow-Tenant"),
            "key": req.get_header("Mallow-Key") or "",
            "path": req.path,
            "method": req.method,
            "request": req.get_header("Play-Id"),
            "state": self.state,
        }
        self.journal.write(json.dumps(row) + "\n")

    def _misbehave(self, req: falcon.Request) -> None:
        """Sends garbage, half an answer, or nothing (after a delay if `late`), and closes the connection."""
        connection = req.env["mallow.socket"]
        if self.fault == "garbage":
            connection.sendall(b"\x00\x01garbage\r\n\r\n")
        elif self.fault == "half":
            head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 1000\r\n\r\n"
            connection.sendall(head + b'{"by":')
        elif self.fault == "late":
            gevent.sleep(LATE_S)
        with contextlib.suppress(OSError):
            connection.shutdown(socket.SHUT_RDWR)
        connection.close()

    def faults(self, req: falcon.Request, resp: falcon.Response, **_: object) -> None:
        """Sets a fault that applies to a share of the following requests."""
        body = req.get_media()
        self.fault = body["fault"]
        self.fault_share = float(body["share"])
        web.send_json(resp, {"ok": True})


class StandinHandler(web.ConnectionHandler):
    """Passes the socket to the application, so that it can break the connection."""

    def get_environ(self) -> dict[str, Any]:
        """Returns the WSGI environment with `mallow.socket`."""
        environ: dict[str, Any] = super().get_environ()
        environ["mallow.socket"] = self.socket
        return environ


class StandinServer(web.Server):
    """A server whose application can break its connections."""

    handler_class = StandinHandler


def serve(upstream: StandinUpstream) -> None:
    """Runs an upstream until SIGTERM or SIGINT; then announces that it leaves, drains, and announces its end."""
    app = web.make_app()
    app.add_sink(upstream.run, "/")
    app.add_sink(upstream.status, "/health")
    app.add_sink(upstream.faults, "/-/faults")
    for signum in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signum, upstream.stopping.set)
    server = StandinServer(upstream.address, app, Counts(), MAX_CONNECTIONS)
    with server:
        while not upstream.stopping.is_set():
            upstream.heartbeat()
            upstream.stopping.wait(timeout=HEARTBEAT_INTERVAL_S + upstream.rng.random())
        upstream.state = "leaving"
        upstream.heartbeat()
        gevent.sleep(LEAVING_S)
        server.drain(0.0, 1.0)
        upstream.state = "gone"
        upstream.heartbeat()
