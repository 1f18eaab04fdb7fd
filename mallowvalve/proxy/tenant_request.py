"""Parses and checks a tenant's request before anything is sent."""

from __future__ import annotations

import hashlib
from urllib.parse import unquote

import msgspec
from result import Err, Ok, Result

from mallowvalve.configuration.model import Plan, Tree
from mallowvalve.proxy.steps import ClientRequest
from mallowvalve.routing.compiler import RouteRequest

DROPPED_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "transfer-encoding",
        "te",
        "trailer",
        "upgrade",
        "host",
        "content-length",
        "expect",
        "mallow-limit",
        "mallow-again",
    )
)
MAX_KEY_CHARS = 200
ParseError = tuple[int, str, str]
"""The status, place and text of a rejection."""


class TenantRequest(msgspec.Struct):
    """A parsed request of a tenant; its plan is chosen again before each send."""

    client_request: ClientRequest
    request: RouteRequest
    tenant: str
    plan: Plan
    key: str
    end: float
    revision: int
    is_retry: bool
    body: bytes | memoryview = b""
    fingerprint: bytes = b""
    digest: str = ""
    follows_failure: bool = False
    sends: int = 0

    def set_body(self, body: bytes | memoryview) -> None:
        """Sets the body, and the fingerprint and digest that depend on it."""
        request, self.body = self.client_request, body
        self.fingerprint = request_fingerprint(request.client, self.tenant, request.method, request.target, body)
        self.digest = request_digest(request.method, request.target, body)

    def serialize(self, host: str) -> bytes:
        """Returns the HTTP/1.1 request for the upstream, without hop-by-hop headers."""
        request = self.client_request
        dropped = {h.strip().lower() for h in request.headers.get("connection", "").split(",")} | DROPPED_HEADERS
        lines = [f"{request.method} {request.target} HTTP/1.1", f"Host: {host}"]
        lines += [f"{k}: {v}" for k, v in request.headers.items() if k not in dropped]
        if self.body or request.method in ("POST", "PUT", "PATCH"):
            lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + self.body


def parse_request(
    client_request: ClientRequest, tree: Tree, revision: int, now: float
) -> Result[TenantRequest, ParseError]:
    """Returns the request with the plan of its route; `now` and `end` are on the proxy's clock (s)."""
    path = unquote(client_request.target.partition("?")[0], errors="surrogateescape")
    if not is_unambiguous(client_request.target, path):
        return Err((400, "path", "must be absolute, without . or .. parts, empty parts or encoded slashes"))
    tenant = client_request.headers.get("mallow-tenant", "")
    if not tenant:
        return Err((400, "Mallow-Tenant", "missing"))
    if tenant not in tree.cell_of:
        return Err((404, "Mallow-Tenant", f"no tenant {tenant[:64]!r}"))
    request = RouteRequest(client_request.method, path, client_request.headers)
    plan = tree.choose(tenant, request)
    if plan is None:
        return Err((404, "path", "no route takes this request"))
    key = client_request.headers.get("mallow-key", "")
    if plan.kind == "once" and not key or len(key) > MAX_KEY_CHARS:
        return Err((400, "Mallow-Key", f"this route runs once: a key of 1 to {MAX_KEY_CHARS} characters is needed"))
    limit = client_request.headers.get("mallow-limit", str(plan.policy.limit_ms))
    if not limit.isascii() or not limit.isdigit() or not 0 < int(limit[:12]) < 1 << 31:
        return Err((400, "Mallow-Limit", "want milliseconds"))
    end = now + min(int(limit[:12]), plan.policy.limit_ms) / 1000
    is_retry = bool(client_request.headers.get("mallow-again"))
    return Ok(
        TenantRequest(client_request, request, tenant, plan, f"{tenant}\0{key}" if key else "", end, revision, is_retry)
    )


def check_body(client_request: ClientRequest, body: bytes | memoryview) -> ParseError | None:
    """Returns why a body is rejected, or None: it is shorter than its length, or not valid JSON as declared."""
    if client_request.length is not None and len(body) != client_request.length:
        return 400, "body", "shorter than its length"
    content_type = client_request.headers.get("content-type", "").partition(";")[0].strip().lower()
    if not body or content_type != "application/json":
        return None
    try:
        msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        return 400, "body", f"not JSON: {error}"
    return None


def is_unambiguous(target: str, path: str) -> bool:
    """Returns whether all parsers read a path alike: absolute, without dot parts, empty parts or encoded slashes."""
    if not target.startswith("/") or "#" in target or "\\" in path or "%2f" in target.lower():
        return False
    parts = path.split("/")[1:]
    return not any(p in (".", "..") for p in parts) and not any(p == "" for p in parts[:-1])


def request_digest(method: str, target: str, body: bytes | memoryview) -> str:
    """Returns the digest of the request that an idempotency key is bound to."""
    return hashlib.blake2b(b"\0".join((method.encode(), target.encode(), body)), digest_size=16).hexdigest()


def request_fingerprint(client: str, tenant: str, method: str, target: str, body: bytes | memoryview) -> bytes:
    """Returns the hash by which a retry of a failed request is detected."""
    parts = (client.encode(), tenant.encode(), method.encode(), target.encode(), body)
    return hashlib.blake2b(b"\0".join(parts), digest_size=16).digest()
