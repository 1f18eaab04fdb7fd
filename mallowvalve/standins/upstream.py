from __future__ import annotations

import contextlib
import json
import random
import signal
import time

import falcon
import gevent
from gevent import socket
from gevent.event import Event
from geventhttpclient import HTTPClient

from mallowvalve import web
from mallowvalve.metrics import Counts
from mallowvalve.types import Address


class Upstream:
    def __init__(
        self, service: str, instance: str, at: Address, locality: str, tell: list[Address], journal: str, work: float
    ):
        self.service, self.instance, self.at, self.locality = service, instance, at, locality
        self.tell, self.work = tell, work
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
        for a in self.rng.sample(self.tell, min(2, len(self.tell))):
            with contextlib.suppress(Exception):
                c = HTTPClient(a.host, a.port, connection_timeout=1.0, network_timeout=1.0)
                c.post("/-/heartbeats", body=body, headers={"Content-Type": "application/json"}).read()
                c.close()

    def status(self, req: falcon.Request, resp: falcon.Response) -> None:
        web.say(
            resp,
            {"service": self.service, "instance": self.instance, "incarnation": self.incarnation, "state": self.state},
        )

    def run(self, req: falcon.Request, resp: falcon.Response, **_) -> None:
        self.busy += 1
        try:
            body = req.bounded_stream.read()
            key = req.get_header("Mallow-Key") or ""
            self.journal.write(
                json.dumps(
                    {
                        "at": time.time(),
                        "service": self.service,
                        "instance": self.instance,
                        "locality": self.locality,
                        "tenant": req.get_header("Mallow-Tenant"),
                        "key": key,
                        "path": req.path,
                        "method": req.method,
                        "replica": req.get_header("Play-Id"),
                        "state": self.state,
                    }
                )
                + "\n"
            )
            gevent.sleep(self.work * (0.5 + self.rng.random()))
            if self.fault and self.rng.random() < self.fault_share:
                return self._misbehave(req, resp)
            web.say(
                resp,
                {
                    "by": self.instance,
                    "service": self.service,
                    "path": req.path,
                    "key": key,
                    "id": req.get_header("Play-Id"),
                    "length": len(body),
                },
            )
        finally:
            self.busy -= 1

    def _misbehave(self, req, resp) -> None:
        s = req.env["mallow.socket"]
        if self.fault == "garbage":
            s.sendall(b"\x00\x01garbage\r\n\r\n")
        elif self.fault == "half":
            s.sendall(b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 1000\r\n\r\n{"by":')
        elif self.fault == "late":
            gevent.sleep(6.0)
        with contextlib.suppress(OSError):
            s.shutdown(socket.SHUT_RDWR)
        s.close()

    def faults(self, req: falcon.Request, resp: falcon.Response) -> None:
        d = req.get_media()
        self.fault, self.fault_share = d["fault"], float(d["share"])
        web.say(resp, {"ok": True})


class PlayHandler(web.Handler):
    def get_environ(self):
        env = super().get_environ()
        env["mallow.socket"] = self.socket
        return env


class PlayServer(web.Server):
    handler_class = PlayHandler


def serve(u: Upstream) -> None:
    app = web.make_app()
    app.add_sink(u.run, "/")
    app.add_sink(u.status, "/health")
    app.add_sink(u.faults, "/-/faults")
    for sig in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(sig, u.stopping.set)
    server = PlayServer(u.at, app, Counts(), 4096)
    with server:
        while not u.stopping.is_set():
            u.heartbeat()
            u.stopping.wait(timeout=1.5 + u.rng.random())
        u.state = "leaving"
        u.heartbeat()
        gevent.sleep(3.2)
        server.drain(0.0, 1.0)
        u.state = "gone"
        u.heartbeat()
