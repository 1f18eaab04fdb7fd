"""A stand-in upstream: it heartbeats, answers, writes down what it ran, signs off, and misbehaves when told to."""

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

EVERY = 1.5
"""Seconds between two heartbeats, at least; up to one more at random."""

TOLD_AT_ONCE = 2
"""Nodes that each heartbeat goes to."""

LEAVE = 3.2
"""Seconds from the notice that it leaves until it refuses."""

LATE = 6.0
"""Seconds by which a late answer is late."""

CONNECTIONS = 4096


class Upstream:
    """What an upstream does; `serve` gives it a server."""

    def __init__(
        self, service: str, instance: str, at: Address, locality: str, tell: list[Address], journal: str, work: float
    ) -> None:
        """Heartbeat to nodes of `tell`, take `work` s for a request on average, write lines of JSON to `journal`."""
        self.service = service
        self.instance = instance
        self.at = at
        self.locality = locality
        self.tell = tell
        self.work = work
        self.incarnation = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.busy = 0
        self.journal = open(journal, "a", buffering=1)
        self.stopping = Event()
        self.rng = random.Random(f"{service}/{instance}")
        self.fault = ""
        self.fault_share = 0.0

    def heartbeat(self) -> None:
        """Say how it is to some of the nodes; those that do not answer are let be."""
        self.sequence += 1
        body = json.dumps(
            {
                "service": self.service,
                "instance": self.instance,
                "incarnation": self.incarnation,
                "sequence": self.sequence,
                "usage": float(self.busy),
                "state": self.state,
                "locality": self.locality,
                "address": str(self.at),
            }
        )
        for node in self.rng.sample(self.tell, min(TOLD_AT_ONCE, len(self.tell))):
            with contextlib.suppress(Exception):
                connection = HTTPClient(node.host, node.port, connection_timeout=1.0, network_timeout=1.0)
                connection.post("/-/heartbeats", body=body, headers={"Content-Type": "application/json"}).read()
                connection.close()

    def status(self, req: falcon.Request, resp: falcon.Response, **_: object) -> None:
        """Who it is, for proxies that open a connection."""
        web.send_json(
            resp,
            {"service": self.service, "instance": self.instance, "incarnation": self.incarnation, "state": self.state},
        )

    def run(self, req: falcon.Request, resp: falcon.Response, **_: object) -> None:
        """Answer a request after some time, or misbehave."""
        self.busy += 1
        try:
            body = req.bounded_stream.read()
            self._write(req)
            gevent.sleep(self.work * (0.5 + self.rng.random()))
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
            self.busy -= 1

    def _write(self, req: falcon.Request) -> None:
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
        """Send garbage, half an answer, or none late, and break off."""
        connection = req.env["mallow.socket"]
        if self.fault == "garbage":
            connection.sendall(b"\x00\x01garbage\r\n\r\n")
        elif self.fault == "half":
            head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 1000\r\n\r\n"
            connection.sendall(head + b'{"by":')
        elif self.fault == "late":
            gevent.sleep(LATE)
        with contextlib.suppress(OSError):
            connection.shutdown(socket.SHUT_RDWR)
        connection.close()

    def faults(self, req: falcon.Request, resp: falcon.Response, **_: object) -> None:
        """From now on misbehave for a share of the requests."""
        said = req.get_media()
        self.fault = said["fault"]
        self.fault_share = float(said["share"])
        web.send_json(resp, {"ok": True})


class StandinHandler(web.ConnectionHandler):
    """Hands the socket to the application, so that it can break off."""

    def get_environ(self) -> dict[str, Any]:
        """The environment with `mallow.socket`."""
        environ: dict[str, Any] = super().get_environ()
        environ["mallow.socket"] = self.socket
        return environ


class StandinServer(web.Server):
    """A server whose application may break off."""

    handler_class = StandinHandler


def serve(upstream: Upstream) -> None:
    """Run an upstream until a signal; then it says that it leaves, drains, and says that it is gone."""
    app = web.make_app()
    app.add_sink(upstream.run, "/")
    app.add_sink(upstream.status, "/health")
    app.add_sink(upstream.faults, "/-/faults")
    for signum in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signum, upstream.stopping.set)
    server = StandinServer(upstream.at, app, Counts(), CONNECTIONS)
    with server:
        while not upstream.stopping.is_set():
            upstream.heartbeat()
            upstream.stopping.wait(timeout=EVERY + upstream.rng.random())
        upstream.state = "leaving"
        upstream.heartbeat()
        gevent.sleep(LEAVE)
        server.drain(0.0, 1.0)
        upstream.state = "gone"
        upstream.heartbeat()
