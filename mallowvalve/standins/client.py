"""Stand-in clients: they ask a directory, keep a connection to a proxy, try again, and write down what came of it."""

from __future__ import annotations

import json
import random
import signal
import time
import uuid
from pathlib import Path
from typing import IO, Any

import gevent
import msgspec
from gevent.event import Event
from gevent.pool import Group
from geventhttpclient import HTTPClient

from mallowvalve.types import Address

AVOID = 10.0
"""Seconds for which a proxy that refused is named to directories as one to avoid."""

TRIES, RELENTLESS_TRIES = 6, 60
LIMIT = 8.0
"""Seconds after which no further try is made."""

LIMIT_MS = 4000
"""What a request says that it may take."""

NEAREST = 3
"""Proxies of a directory's answer among which a client chooses."""

CLINGS = 3
"""How many times the life of an answer a clinging client goes by it."""

ASK_AGAIN = 0.3
"""Seconds until directories are asked again, if none answered."""

BEHIND = 1.0
"""Seconds that a client may be behind its own rate before it lets requests go."""

GRACE = 12.0
"""Seconds that requests under way may take once the clients are to stop."""

OK, SERVER_ERROR, NOT_FOUND, UNAVAILABLE = 200, 500, 404, 503
NO_ANSWER = 0


class Share(msgspec.Struct, array_like=True):
    """A kind of request and its weight among all; `{n}` in the path becomes a number, `once` gives each a key."""

    tenant: str
    method: str
    path: str
    once: bool
    weight: float


class Told(msgspec.Struct):
    """What came of one try; status 0 is no answer, `after` how long to wait (s).

    `began` and `ended` are of the wall clock (s), `by` the proxy that was asked, if any.
    """

    status: int
    outcome: str | None
    body: bytes
    after: float
    began: float = 0.0
    ended: float = 0.0
    by: str = ""


class Request(msgspec.Struct):
    """One request, whatever tries it takes."""

    share: Share
    path: str
    id: str
    key: str


class Client:
    """One client, which sends requests one after the other at a mean rate (1/s)."""

    def __init__(
        self,
        name: str,
        directories: list[Address],
        locality: str,
        shares: list[Share],
        rate: float,
        journal: IO[str],
        seed: int,
        relentless: bool = False,
        clinging: bool = False,
    ) -> None:
        """Write a line of JSON for each request to `journal`; a relentless one tries at once, unmarked, without end.

        A clinging one goes by what directories said for three times its life, and uses its connection while it stands.
        """
        self.name = name
        self.directories = directories
        self.locality = locality
        self.shares = shares
        self.rate = rate
        self.journal = journal
        self.rng = random.Random(f"{seed}/{name}")
        self.relentless = relentless
        self.clinging = clinging
        self.proxies: list[Address] = []
        self.until = 0.0
        self.refused: dict[Address, float] = {}
        self.connection: Any = None
        self.at: Address | None = None

    def run(self, stop: Event) -> None:
        """Send requests until `stop` is set."""
        due = time.monotonic()
        while not stop.is_set():
            share = self.rng.choices(self.shares, [share.weight for share in self.shares])[0]
            self.ask(share, stop)
            due = max(due + self.rng.expovariate(self.rate), time.monotonic() - BEHIND)
            gevent.sleep(max(0.0, due - time.monotonic()))

    def ask(self, share: Share, stop: Event) -> None:
        """Send one request, again as long as that makes sense, and write down what was told."""
        identity = uuid.UUID(int=self.rng.getrandbits(128)).hex
        path = share.path.replace("{n}", str(self.rng.randrange(1000)))
        request = Request(share, path, identity, f"k{identity}" if share.once else "")
        start = time.time()
        tries: list[Told] = []
        while len(tries) < (RELENTLESS_TRIES if self.relentless else TRIES) and time.time() < start + LIMIT:
            began = time.time()
            told = self.try_once(request, len(tries))
            told.began, told.ended = began, time.time()
            tries.append(told)
            if self._is_final(request, told):
                break
            gevent.sleep(min(2.0, told.after or 0.1) if not stop.is_set() and not self.relentless else 0)
        self._write(request, start, tries)

    def _is_final(self, request: Request, told: Told) -> bool:
        """Whether another try would be wrong or pointless: an answer, or a failure that may have run without a key."""
        if told.status and told.status < SERVER_ERROR and told.status != NOT_FOUND:
            return True
        may_go_again = told.outcome in ("not-run", "undecided") or request.key or told.status == NO_ANSWER
        return not (may_go_again or not request.share.once)

    def _write(self, request: Request, start: float, tries: list[Told]) -> None:
        last = tries[-1]
        row = {
            "at": start,
            "took": time.time() - start,
            "tenant": request.share.tenant,
            "key": request.key,
            "id": request.id,
            "path": request.path,
            "once": request.share.once,
            "from": self.locality,
            "tries": [[told.status, told.outcome, told.began, told.ended, told.by] for told in tries],
            "whole": last.status == OK and self.is_own(last.body, request),
            "ok": last.status == OK,
        }
        self.journal.write(json.dumps(row) + "\n")

    def is_own(self, body: bytes, request: Request) -> bool:
        """Whether an answer is to this request."""
        try:
            said = json.loads(body)
        except ValueError:
            return False
        return (said.get("id"), said.get("key", ""), said.get("path")) == (request.id, request.key, request.path)

    def try_once(self, request: Request, tries: int) -> Told:
        """One try, after so many earlier ones."""
        if not self.connect():
            return Told(NO_ANSWER, "no proxy", b"", ASK_AGAIN)
        body = json.dumps({"id": request.id}).encode() if request.share.method == "POST" else b""
        headers = self._headers(request, tries)
        try:
            answer = self.connection.request(request.share.method, request.path, body=body, headers=headers)
            data = bytes(answer.read())
            told = Told(answer.status_code, answer.get("mallow-outcome"), data, float(answer.get("retry-after") or 0))
            told.by = str(self.at)
            says_close = (answer.get("connection") or "").lower() == "close"
            if not self.clinging and (says_close or told.status == UNAVAILABLE):
                self.drop(told.status == UNAVAILABLE)
            return told
        except Exception as e:
            self.drop(False)
            if isinstance(e, OSError) and self.at is not None:
                self.refused[self.at] = time.monotonic()
            self.proxies = [proxy for proxy in self.proxies if proxy != self.at]
            return Told(NO_ANSWER, type(e).__name__, b"", 0.05, by=str(self.at))

    def _headers(self, request: Request, tries: int) -> dict[str, str]:
        headers = {"Mallow-Tenant": request.share.tenant, "Play-Id": request.id, "Mallow-Limit": str(LIMIT_MS)}
        if request.key:
            headers["Mallow-Key"] = request.key
        if tries and not self.relentless:
            headers["Mallow-Again"] = str(tries)
        if request.share.method == "POST":
            headers["Content-Type"] = "application/json"
        return headers

    def drop(self, ask: bool) -> None:
        """Close the connection; a directory is asked next if `ask`."""
        if self.connection is not None:
            self.connection.close()
        self.connection = None
        if ask:
            self.until = 0.0

    def dead(self, now: float) -> list[Address]:
        """Proxies that refused lately; a directory may not know yet."""
        self.refused = {proxy: at for proxy, at in self.refused.items() if now - at < AVOID}
        return sorted(self.refused)

    def connect(self) -> bool:
        """Whether there is a connection, or a proxy to open one to."""
        now = time.monotonic()
        if now >= self.until or not self.proxies:
            self.ask_directory(now)
        if self.connection is not None and self.at in self.proxies:
            return True
        if not self.proxies:
            return False
        self.drop(False)
        self.at = self.rng.choice(self.proxies[:NEAREST])
        self.connection = HTTPClient(
            self.at.host, self.at.port, connection_timeout=1.0, network_timeout=5.0, concurrency=1
        )
        return True

    def ask_directory(self, now: float) -> None:
        """Take the proxies that the first directory names that answers."""
        query = f"/connect?locality={self.locality}" + "".join(f"&avoid={proxy}" for proxy in self.dead(now))
        for directory in self.rng.sample(self.directories, len(self.directories)):
            connection = HTTPClient(directory.host, directory.port, connection_timeout=1.0, network_timeout=2.0)
            try:
                answer = connection.get(query)
                said = json.loads(bytes(answer.read()))
                if answer.status_code == OK:
                    self.proxies = [Address.read(proxy["web"]).unwrap() for proxy in said["proxies"]]
                    self.until = now + said["life_ms"] / 1000 * (CLINGS if self.clinging else 1)
                    return
            except Exception:
                continue
            finally:
                connection.close()
        self.until = now + ASK_AGAIN


def serve(
    directories: list[Address],
    localities: list[str],
    shares: list[Share],
    clients: int,
    rate: float,
    journal: str,
    seed: int,
    seconds: float,
    relentless: bool = False,
    clinging: bool = False,
) -> None:
    """Run clients for some seconds or until a signal, `rate` requests a second all together."""
    stop = Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signum, stop.set)
    with Path(journal).open("a", buffering=1) as out:
        group = Group()
        for i in range(clients):
            locality = localities[i % len(localities)]
            one = Client(f"c{i}", directories, locality, shares, rate / clients, out, seed, relentless, clinging)
            group.spawn(one.run, stop)
        stop.wait(timeout=seconds)
        stop.set()
        group.join(timeout=GRACE)
