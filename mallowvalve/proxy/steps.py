"""The I/O steps that a request state machine yields, and their results; the daemon and the simulator perform them."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from mallowvalve.finding import Finding
from mallowvalve.ledger.ledger import Claim, Done, Forfeit, Release
from mallowvalve.proxy.request_body_stream import RequestBodyStream
from mallowvalve.upstreams.board import Heartbeat
from mallowvalve.upstreams.registry import Upstream

OK = 200
REDIRECT = 300
BAD_REQUEST = 400
TOO_SLOW = 408
TOO_LARGE = 413
MISDIRECTED = 421
SERVER_ERROR = 500
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
NOT_RUN = "not-run"
"""Outcome of a request that an upstream did not answer and that certainly did not run."""
UNKNOWN = "unknown"
"""Outcome of a request that an upstream did not answer and that may have run."""
NO_STATUS = 600
"""Lowest number above the HTTP status codes."""


class ClientRequest(msgspec.Struct):
    """A request from a client. `headers` has lower-case names, `header_pairs` the headers as received."""

    method: str
    target: str
    headers: dict[str, str]
    client: str
    length: int | None = None
    header_pairs: list[tuple[str, str]] = []


class ReadBody(msgspec.Struct, frozen=True):
    """Reads the request body, at most `max_bytes`, until the deadline `end`; waits until `room_end` for room for it.

    The result of a large body is a `StreamedRequestBody`.
    """

    end: float
    max_bytes: int | None = None
    room_end: float = 0.0


class ProposeCommand(msgspec.Struct, frozen=True):
    """Proposes a command to the ledger and waits up to `timeout_s` seconds for its verdict."""

    command: Claim | Done | Release
    timeout_s: float


class ProposeInBackground(msgspec.Struct, frozen=True):
    """Proposes a command in the background until the ledger's verdict is one of `accepted_states`."""

    command: Done | Release | Forfeit
    accepted_states: tuple[str, ...]


class Sleep(msgspec.Struct, frozen=True):
    """Waits for `delay_s` seconds."""

    delay_s: float


class WaitForCapacity(msgspec.Struct, frozen=True):
    """Waits until a service may have a free slot; waiters with the lowest `priority` number are woken first."""

    service: str
    end: float
    priority: int = 0


class OpenConnection(msgspec.Struct, frozen=True):
    """Opens a connection and checks the upstream's identity at `status_path`; host routes pass an empty path."""

    heartbeat: Heartbeat | Upstream
    status_path: str
    end: float


class Exchange(msgspec.Struct, frozen=True):
    """Sends a request and waits for its response; the first byte leaves before other code of this process runs.

    With `stop_if_client_leaves` the result is `CLIENT_LEFT` once the client has closed its connection. `body` is what
    follows `request`, which has a small body in it, and `stream` what follows `body`. The result is a
    `RequestBodyFailed` if the client does not bring the rest of its body.
    """

    connection: object
    method: str
    request: bytes
    end: float
    request_id: str = ""
    stop_if_client_leaves: bool = False
    body: bytes | memoryview = b""
    stream: RequestBodyStream | None = None


class AwaitResponse(msgspec.Struct, frozen=True):
    """Continues to wait for the response of an exchange that timed out."""

    connection: object
    end: float
    stop_if_client_leaves: bool = False


class ClientCheck(msgspec.Struct, frozen=True):
    """Returns CLIENT_LEFT if the client has closed its connection, else None; other code does not run meanwhile."""


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
    """The result of a step during which the client closed its connection."""


CLIENT_LEFT = ClientLeft()


class StreamedRequestBody(msgspec.Struct, frozen=True):
    """A request body whose beginning is held; the rest is read from the client while it is sent to an upstream."""

    held: memoryview
    stream: RequestBodyStream


class RequestBodyFailed(msgspec.Struct, frozen=True):
    """The result of an exchange whose request could not be sent whole because of its client.

    `status` is that of the response.
    """

    status: int
    text: str


class UpstreamResponse(msgspec.Struct):
    """An upstream's response, its body in `body` or streamed from `body_stream`.

    `reusable`: whether the connection can carry another request. `header_map` has lower-case names.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes | None
    length: int | None
    body_stream: Iterator[bytes] | None
    reusable: bool = False
    header_map: dict[str, str] = {}


class RejectionRecord(msgspec.Struct):
    """A request that the proxy itself answered with an error, as listed on the page of rejections."""

    at: float
    route: str
    tenant: str
    target: str
    status: int
    outcome: str
    why: str


class ProxyResponse(msgspec.Struct):
    """The final response: an upstream's (with the lease that it streams over), a replayed one, or a rejection.

    `drain_if_client_leaves`: the upstream's response is read to its end even after the client has left.
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
    rejection: RejectionRecord | None = None
