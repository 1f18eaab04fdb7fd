"""What a request's path asks of the outside, and what it is told; the daemon and the simulator each do these."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from mallowvalve.finding import Finding
from mallowvalve.ledger.ledger import Claim, Done, Forfeit, Release
from mallowvalve.upstreams.board import Heartbeat
from mallowvalve.upstreams.registry import Upstream

OK, REDIRECT, TOO_SLOW, MISDIRECTED = 200, 300, 408, 421
SERVER_ERROR, UNAVAILABLE, GATEWAY_TIMEOUT = 500, 503, 504
NOT_RUN, UNKNOWN = "not-run", "unknown"
"""What is promised of a request that an upstream did not answer: that it did not run, or nothing."""
NO_STATUS = 600
"""What begins here is no status of HTTP."""


class ClientRequest(msgspec.Struct):
    """A request as it came from a client; header names in lower case, and as they came in `pairs`."""

    method: str
    target: str
    headers: dict[str, str]
    client: str
    length: int | None = None
    header_pairs: list[tuple[str, str]] = []


class ReadBody(msgspec.Struct, frozen=True):
    """Reads the body of a request until `end`, of at most `most` bytes."""

    end: float
    max_bytes: int | None = None


class ProposeCommand(msgspec.Struct, frozen=True):
    """Offers a command to the ledger, and waits `limit` seconds for its word."""

    command: Claim | Done | Release
    timeout_s: float


class ProposeInBackground(msgspec.Struct, frozen=True):
    """Goes on in the background until the ledger's word is one of the good ones."""

    command: Done | Release | Forfeit
    accepted_states: tuple[str, ...]


class Sleep(msgspec.Struct, frozen=True):
    """Goes on after `wait` seconds."""

    delay_s: float


class WaitForCapacity(msgspec.Struct, frozen=True):
    """Waits until a place at a service may be free; of those who wait, the most urgent (0) is told first."""

    service: str
    end: float
    priority: int = 0


class OpenConnection(msgspec.Struct, frozen=True):
    """`status` is asked first of a new connection; with none the connection opens at once, for a host route."""

    heartbeat: Heartbeat | Upstream
    status_path: str
    end: float


class Exchange(msgspec.Struct, frozen=True):
    """The first byte leaves before anything else of this process runs.

    With `until_left` it ends as `CLIENT_LEFT` once the client has closed its connection.
    """

    connection: object
    method: str
    request: bytes
    end: float
    request_id: str = ""
    stop_if_client_leaves: bool = False


class AwaitResponse(msgspec.Struct, frozen=True):
    """Goes on waiting for the answer of an exchange whose time was over; `until_left` as for `Exchange`."""

    connection: object
    end: float
    stop_if_client_leaves: bool = False


class ClientCheck(msgspec.Struct, frozen=True):
    """Asks whether the request's client has left: CLIENT_LEFT, or None while it waits. Nothing else runs meanwhile."""


Step = (
    ReadBody
    | ProposeCommand
    | ProposeInBackground
    | Sleep
    | WaitForCapacity
    | OpenConnection
    | Exchange
    | AwaitResponse
    | ClientCheck
)


class ClientLeft(msgspec.Struct, frozen=True):
    """The outcome of a step: the request's client has closed its connection, so that nobody waits for an answer."""


CLIENT_LEFT = ClientLeft()


class UpstreamResponse(msgspec.Struct):
    """An upstream's answer, its body whole or as `rest` to be streamed. `keep`: its connection may be used again."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes | None
    length: int | None
    body_stream: Iterator[bytes] | None
    reusable: bool = False
    header_map: dict[str, str] = {}


class RejectionRecord(msgspec.Struct):
    """What was answered here instead of an upstream's answer, for the page of rejections."""

    at: float
    route: str
    tenant: str
    target: str
    status: int
    outcome: str
    why: str


class ProxyResponse(msgspec.Struct):
    """A final answer: the upstream's own (and the lease it still streams over), a kept one, or a rejection.

    `runs_on`: the upstream's answer is read to its end also when the client has left.
    """

    status: int
    outcome: str | None = None
    findings: list[Finding] = []
    retry_after: float | None = None
    close: bool = False
    answer: UpstreamResponse | None = None
    lease: object = None
    replayed: bool = False
    drain_if_client_leaves: bool = False
    note: RejectionRecord | None = None
