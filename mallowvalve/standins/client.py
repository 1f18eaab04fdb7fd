"""Stand-in clients: ask a directory for proxies, keep a connection to one, retry, and write outcomes to a journal."""

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

AVOID_S = 10.0
"""How long a client asks directories to avoid a proxy that failed to answer."""

MAX_TRIES = 6
MAX_RELENTLESS_TRIES = 60
RETRY_PERIOD_S = 8.0
"""The time after the start of a request from which on no further try is made."""

REQUEST_TIMEOUT_MS = 4000
"""The time limit that a request states in its Mallow-Limit header."""

PROXY_CHOICES = 3
"""The number of leading proxies in a directory's answer among which a client chooses."""

CLINGING_LIFETIMES = 3
"""How many times the lifetime of an answer a clinging client uses it."""

DIRECTORY_RETRY_S = 0.3
"""The time until directories are asked again after none answered."""

MAX_BACKLOG_S = 1.0
"""How far a client may fall behind its rate before it skips requests."""

STOP_GRACE_S = 12.0
"""How long active requests may take after the clients are told to stop."""

STATUS_OK = 200
STATUS_SERVER_ERROR = 500
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503
STATUS_NO_ANSWER = 0


class RequestShare(msgspec.Struct, array_like=True):
    """A kind of request and its weight.

    `{n}` in the path is replaced by a random number; with `once` each request gets an idempotency key.
    """

    tenant: str
    method: str
    path: str
    once: bool
    weight: float


class TryResult(msgspec.Struct):
    """The result of one try; status 0 means that there was no answer.

    `began` and `ended` are wall clock times (s), `proxy` is the address of the proxy, if there was one.
    """

    status: int
    outcome: str | None
    body: bytes
    retry_after_s: float
    began: float = 0.0
    ended: float = 0.0
    proxy: str = ""


class StandinRequest(msgspec.Struct):
    """A request, which all its tries share."""

    share: RequestShare
    path: str
    request_id: str
    idempotency_key: str


class StandinClient:
    """A client that sends requests one after the other at a mean rate (requests per second)."""

    def __init__(
        self,
        name: str,
        directories: list[Address],
        locality: str,
        shares: list[RequestShare],
        rate: float,
        journal: IO[str],
        seed: int,
        relentless: bool = False,
        clinging: bool = False,
    ) -> None:
        """Creates a client that writes a line of JSON to `journal` for each request.

        A relentless client retries without delay and does not mark its retries. A clinging client uses a
        directory's answer for CLINGING_LIFETIMES times its lifetime, and its connection until it breaks.
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
        self.answer_expires_at = 0.0
        self.refused_at: dict[Address, float] = {}
        self.connection: Any = None
        self.address: Address | None = None

    def run(self, stop: Event) -> None:
        """Sends requests until `stop` is set."""
        due_at = time.monotonic()
        while not stop.is_set():
            share = self.rng.choices(self.shares, [share.weight for share in self.shares])[0]
            self.send_request(share, stop)
            due_at = max(due_at + self.rng.expovariate(self.rate), time.monotonic() - MAX_BACKLOG_S)
            gevent.sleep(max(0.0, due_at - time.monotonic()))

    def send_request(self, share: RequestShare, stop: Event) -> None:
        """Sends a request, retries it where that is safe and useful, and writes the outcome to the journal."""
        identity = uuid.UUID(int=self.rng.getrandbits(128)).hex
        path = share.path.replace("{n}", str(self.rng.randrange(1000)))
        request = StandinRequest(share, path, identity, f"k{identity}" if share.once else "")
        start = time.time()
        tries: list[TryResult] = []
        while (
            len(tries) < (MAX_RELENTLESS_TRIES if self.relentless else MAX_TRIES)
            and time.time() < start + RETRY_PERIOD_S
        ):
            began = time.time()
            result = self.try_once(request, len(tries))
            result.began, result.ended = began, time.time()
            tries.append(result)
            if self._is_final(request, result):
                break
            gevent.sleep(min(2.0, result.retry_after_s or 0.1) if not stop.is_set() and not self.relentless else 0)
        self._write_journal(request, start, tries)

    def _is_final(self, request: StandinRequest, result: TryResult) -> bool:
        """Whether no retry follows: after an answer, or a failure after which a request without a key may have run."""
        if result.status and result.status < STATUS_SERVER_ERROR and result.status != STATUS_NOT_FOUND:
            return True
        may_retry = (
            result.outcome in ("not-run", "undecided") or request.idempotency_key or result.status == STATUS_NO_ANSWER
        )
        return not (may_retry or not request.share.once)

    def _write_journal(self, request: StandinRequest, start: float, tries: list[TryResult]) -> None:
        last = tries[-1]
        row = {
            "at": start,
            "took": time.time() - start,
            "tenant": request.share.tenant,
            "key": request.idempotency_key,
            "id": request.request_id,
            "path": request.path,
            "once": request.share.once,
            "from": self.locality,
            "tries": [[result.status, result.outcome, result.began, result.ended, result.proxy] for result in tries],
            "whole": last.status == STATUS_OK and self.is_complete_answer(last.body, request),
            "ok": last.status == STATUS_OK,
        }
        self.journal.write(json.dumps(row) + "\n")

    def is_complete_answer(self, body: bytes, request: StandinRequest) -> bool:
        """Whether an answer is complete and belongs to this request."""
        try:
            answer = json.loads(body)
        except ValueError:
            return False
        return (answer.get("id"), answer.get("key", ""), answer.get("path")) == (
            request.request_id,
            request.idempotency_key,
            request.path,
        )

    def try_once(self, request: StandinRequest, tries: int) -> TryResult:
        """Sends a request once, after `tries` earlier tries."""
        if not self.connect():
            return TryResult(STATUS_NO_ANSWER, "no proxy", b"", DIRECTORY_RETRY_S)
        body = json.dumps({"id": request.request_id}).encode() if request.share.method == "POST" else b""
        headers = self._headers(request, tries)
        try:
            answer = self.connection.request(request.share.method, request.path, body=body, headers=headers)
            data = bytes(answer.read())
            result = TryResult(
                answer.status_code, answer.get("mallow-outcome"), data, float(answer.get("retry-after") or 0)
            )
            result.proxy = str(self.address)
            must_close = (answer.get("connection") or "").lower() == "close"
            if not self.clinging and (must_close or result.status == STATUS_UNAVAILABLE):
                self.close_connection(result.status == STATUS_UNAVAILABLE)
            return result
        except Exception as error:
            self.close_connection(False)
            if isinstance(error, OSError) and self.address is not None:
                self.refused_at[self.address] = time.monotonic()
            self.proxies = [proxy for proxy in self.proxies if proxy != self.address]
            return TryResult(STATUS_NO_ANSWER, type(error).__name__, b"", 0.05, proxy=str(self.address))

    def _headers(self, request: StandinRequest, tries: int) -> dict[str, str]:
        headers = {
            "Mallow-Tenant": request.share.tenant,
            "Play-Id": request.request_id,
            "Mallow-Limit": str(REQUEST_TIMEOUT_MS),
        }
        if request.idempotency_key:
            headers["Mallow-Key"] = request.idempotency_key
        if tries and not self.relentless:
            headers["Mallow-Again"] = str(tries)
        if request.share.method == "POST":
            headers["Content-Type"] = "application/json"
        return headers

    def close_connection(self, send_request: bool) -> None:
        """Closes the connection; with `ask` the next request asks a directory first."""
        if self.connection is not None:
            self.connection.close()
        self.connection = None
        if send_request:
            self.answer_expires_at = 0.0

    def avoided_proxies(self, now: float) -> list[Address]:
        """Returns the proxies that recently failed to answer; directories may not know of the failure yet."""
        self.refused_at = {proxy: at for proxy, at in self.refused_at.items() if now - at < AVOID_S}
        return sorted(self.refused_at)

    def connect(self) -> bool:
        """Prepares a connection to a proxy if there is none; returns False if no proxy is known."""
        now = time.monotonic()
        if now >= self.answer_expires_at or not self.proxies:
            self.refresh_proxies(now)
        if self.connection is not None and self.address in self.proxies:
            return True
        if not self.proxies:
            return False
        self.close_connection(False)
        self.address = self.rng.choice(self.proxies[:PROXY_CHOICES])
        self.connection = HTTPClient(
            self.address.host, self.address.port, connection_timeout=1.0, network_timeout=5.0, concurrency=1
        )
        return True

    def refresh_proxies(self, now: float) -> None:
        """Takes the proxies from the first directory that answers, in random order of the directories."""
        query = f"/connect?locality={self.locality}" + "".join(f"&avoid={proxy}" for proxy in self.avoided_proxies(now))
        for directory in self.rng.sample(self.directories, len(self.directories)):
            connection = HTTPClient(directory.host, directory.port, connection_timeout=1.0, network_timeout=2.0)
            try:
                answer = connection.get(query)
                data = json.loads(bytes(answer.read()))
                if answer.status_code == STATUS_OK:
                    self.proxies = [Address.read(proxy["web"]).unwrap() for proxy in data["proxies"]]
                    self.answer_expires_at = now + data["life_ms"] / 1000 * (CLINGING_LIFETIMES if self.clinging else 1)
                    return
            except Exception:
                continue
            finally:
                connection.close()
        self.answer_expires_at = now + DIRECTORY_RETRY_S


def serve(
    directories: list[Address],
    localities: list[str],
    shares: list[RequestShare],
    clients: int,
    rate: float,
    journal: str,
    seed: int,
    seconds: float,
    relentless: bool = False,
    clinging: bool = False,
) -> None:
    """Runs clients for `seconds` or until SIGTERM or SIGINT, with `rate` requests per second in total."""
    stop = Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signum, stop.set)
    with Path(journal).open("a", buffering=1) as out:
        group = Group()
        for index in range(clients):
            locality = localities[index % len(localities)]
            client = StandinClient(
                f"c{index}", directories, locality, shares, rate / clients, out, seed, relentless, clinging
            )
            group.spawn(client.run, stop)
        stop.wait(timeout=seconds)
        stop.set()
        group.join(timeout=STOP_GRACE_S)
