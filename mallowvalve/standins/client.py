from __future__ import annotations

import json
import random
import signal
import time
import uuid

import gevent
from gevent.event import Event
from gevent.pool import Group
from geventhttpclient import HTTPClient

from mallowvalve.types import Address

AVOID = 10.0


class Share:
    __slots__ = ("tenant", "method", "path", "once", "weight")

    def __init__(self, tenant: str, method: str, path: str, once: bool, weight: float):
        self.tenant, self.method, self.path, self.once, self.weight = tenant, method, path, once, weight


class Client:
    def __init__(
        self,
        name: str,
        directory_server: list[Address],
        locality: str,
        shares: list[Share],
        rate: float,
        journal,
        seed: int,
        relentless: bool = False,
    ):
        self.relentless = relentless
        self.name, self.directory_server, self.locality, self.shares, self.rate = (
            name,
            directory_server,
            locality,
            shares,
            rate,
        )
        self.journal, self.rng = journal, random.Random(f"{seed}/{name}")
        self.proxies: list[Address] = []
        self.until = 0.0
        self.refused: dict[Address, float] = {}
        self.connection: HTTPClient | None = None
        self.at: Address | None = None

    def run(self, stop: Event) -> None:
        due = time.monotonic()
        while not stop.is_set():
            s = self.rng.choices(self.shares, [s.weight for s in self.shares])[0]
            self.ask(s, stop)
            due = max(due + self.rng.expovariate(self.rate), time.monotonic() - 1.0)
            gevent.sleep(max(0.0, due - time.monotonic()))

    def ask(self, s: Share, stop: Event) -> None:
        id = uuid.UUID(int=self.rng.getrandbits(128)).hex
        key = f"k{id}" if s.once else ""
        path = s.path.replace("{n}", str(self.rng.randrange(1000)))
        start, tries, seen = time.time(), 0, []
        while tries < (60 if self.relentless else 6) and time.time() < start + 8:
            status, outcome, body, after = self.go(s, path, id, key, tries)
            seen.append([status, outcome])
            tries += 1
            if (
                status
                and status < 500
                and status != 404
                or not (outcome in ("not-run", "undecided") or key or status == 0 or not s.once)
            ):
                break
            gevent.sleep(min(2.0, after or 0.1) if not stop.is_set() and not self.relentless else 0)
        good = seen[-1][0] == 200 and self.is_own(body, id, key, path)
        self.journal.write(
            json.dumps(
                {
                    "at": start,
                    "took": time.time() - start,
                    "tenant": s.tenant,
                    "key": key,
                    "id": id,
                    "path": path,
                    "once": s.once,
                    "tries": seen,
                    "whole": good,
                    "ok": seen[-1][0] == 200,
                }
            )
            + "\n"
        )

    def is_own(self, body: bytes, id: str, key: str, path: str) -> bool:
        try:
            d = json.loads(body)
        except ValueError:
            return False
        return (d.get("id"), d.get("key", ""), d.get("path")) == (id, key, path)

    def go(self, s: Share, path: str, id: str, key: str, tries: int):
        if not self.connect():
            return 0, "no proxy", b"", 0.3
        h = {"Mallow-Tenant": s.tenant, "Play-Id": id, "Mallow-Limit": "4000"}
        if key:
            h["Mallow-Key"] = key
        if tries and not self.relentless:
            h["Mallow-Again"] = str(tries)
        body = b""
        if s.method == "POST":
            h["Content-Type"] = "application/json"
            body = json.dumps({"id": id}).encode()
        try:
            r = self.connection.request(s.method, path, body=body, headers=h)
            data = bytes(r.read())
            out = r.status_code, r.get("mallow-outcome"), data, float(r.get("retry-after") or 0)
            if (r.get("connection") or "").lower() == "close" or r.status_code == 503:
                self.drop(r.status_code == 503)
            return out
        except Exception as e:
            self.drop(False)
            if isinstance(e, OSError):
                self.refused[self.at] = time.monotonic()
            self.proxies = [p for p in self.proxies if p != self.at]
            return 0, type(e).__name__, b"", 0.05

    def drop(self, ask: bool) -> None:
        if self.connection is not None:
            self.connection.close()
        self.connection = None
        if ask:
            self.until = 0.0

    def dead(self, now: float) -> list[Address]:
        """Proxies that refused lately; a directory may not know yet."""
        self.refused = {a: t for a, t in self.refused.items() if now - t < AVOID}
        return sorted(self.refused)

    def connect(self) -> bool:
        now = time.monotonic()
        if now >= self.until or not self.proxies:
            self.ask_way(now)
        if self.connection is not None and self.at in self.proxies:
            return True
        if not self.proxies:
            return False
        self.drop(False)
        self.at = self.rng.choice(self.proxies[:3])
        self.connection = HTTPClient(
            self.at.host, self.at.port, connection_timeout=1.0, network_timeout=5.0, concurrency=1
        )
        return True

    def ask_way(self, now: float) -> None:
        for a in self.rng.sample(self.directory_server, len(self.directory_server)):
            c = HTTPClient(a.host, a.port, connection_timeout=1.0, network_timeout=2.0)
            try:
                r = c.get(f"/connect?locality={self.locality}" + "".join(f"&avoid={x}" for x in self.dead(now)))
                d = json.loads(bytes(r.read()))
                if r.status_code == 200:
                    self.proxies = [Address.read(p["web"]).ok_value for p in d["proxies"]]
                    self.until = now + d["life_ms"] / 1000
                    return
            except Exception:
                continue
            finally:
                c.close()
        self.until = now + 0.3


def serve(
    directory_server: list[Address],
    localities: list[str],
    shares: list[Share],
    clients: int,
    rate: float,
    journal: str,
    seed: int,
    seconds: float,
    relentless: bool = False,
) -> None:
    stop = Event()
    for sig in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(sig, stop.set)
    with open(journal, "a", buffering=1) as j:
        g = Group()
        for i in range(clients):
            c = Client(
                f"c{i}", directory_server, localities[i % len(localities)], shares, rate / clients, j, seed, relentless
            )
            g.spawn(c.run, stop)
        stop.wait(timeout=seconds)
        stop.set()
        g.join(timeout=12)
