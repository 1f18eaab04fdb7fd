"""A request of a tenant, read and checked before anything is sent."""

from __future__ import annotations

import hashlib
from urllib.parse import unquote

import msgspec
from result import Err, Ok, Result

from mallowvalve.configuration.model import Plan, Tree
from mallowvalve.proxy.steps import ClientRequest
from mallowvalve.routing.compiler import Request

HOP = frozenset(
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
KEY_BYTES = 200
Refused = tuple[int, str, str]


class TenantRequest(msgspec.Struct):
    """A request that was understood; its plan is chosen anew before anything is sent."""

    ask: ClientRequest
    request: Request
    tenant: str
    plan: Plan
    key: str
    end: float
    seen: int
    again: bool
    body: bytes = b""
    name: bytes = b""
    digest: str = ""
    owed: bool = False
    sent: int = 0

    def fill(self, body: bytes) -> None:
        a, self.body = self.ask, body
        self.name = name_of(a.client, self.tenant, a.method, a.target, body)
        self.digest = request_digest(a.method, a.target, body)

    def wire(self, host: str) -> bytes:
        a = self.ask
        dropped = {h.strip().lower() for h in a.headers.get("connection", "").split(",")} | HOP
        lines = [f"{a.method} {a.target} HTTP/1.1", f"Host: {host}"]
        lines += [f"{k}: {v}" for k, v in a.headers.items() if k not in dropped]
        if self.body or a.method in ("POST", "PUT", "PATCH"):
            lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + self.body


def understand(a: ClientRequest, tree: Tree, seen: int, now: float) -> Result[TenantRequest, Refused]:
    """The request with the plan of its route; `now` and `end` on the proxy's own clock (s)."""
    path = unquote(a.target.partition("?")[0], errors="surrogateescape")
    if not clean(a.target, path):
        return Err((400, "path", "must be absolute, without . or .. parts, empty parts or encoded slashes"))
    tenant = a.headers.get("mallow-tenant", "")
    if not tenant:
        return Err((400, "Mallow-Tenant", "missing"))
    if tenant not in tree.cell_of:
        return Err((404, "Mallow-Tenant", f"no tenant {tenant[:64]!r}"))
    request = Request(a.method, path, a.headers)
    plan = tree.choose(tenant, request)
    if plan is None:
        return Err((404, "path", "no route takes this request"))
    key = a.headers.get("mallow-key", "")
    if plan.kind == "once" and not key or len(key) > KEY_BYTES:
        return Err((400, "Mallow-Key", f"this route runs once: a key of 1 to {KEY_BYTES} characters is needed"))
    limit = a.headers.get("mallow-limit", str(plan.policy.limit_ms))
    if not limit.isascii() or not limit.isdigit() or not 0 < int(limit[:12]) < 1 << 31:
        return Err((400, "Mallow-Limit", "want milliseconds"))
    end = now + min(int(limit[:12]), plan.policy.limit_ms) / 1000
    again = bool(a.headers.get("mallow-again"))
    return Ok(TenantRequest(a, request, tenant, plan, f"{tenant}\0{key}" if key else "", end, seen, again))


def check_body(a: ClientRequest, body: bytes) -> Refused | None:
    """Why a body is refused: shorter than said, or not the JSON that it says it is."""
    if a.length is not None and len(body) != a.length:
        return 400, "body", "shorter than its length"
    kind = a.headers.get("content-type", "").partition(";")[0].strip().lower()
    if not body or kind != "application/json":
        return None
    try:
        msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as e:
        return 400, "body", f"not JSON: {e}"
    return None


def clean(target: str, path: str) -> bool:
    """Whether a path means the same to all who read it: absolute, no dots, no empty parts, no encoded slashes."""
    if not target.startswith("/") or "#" in target or "\\" in path or "%2f" in target.lower():
        return False
    parts = path.split("/")[1:]
    return not any(p in (".", "..") for p in parts) and not any(p == "" for p in parts[:-1])


def request_digest(method: str, target: str, body: bytes) -> str:
    """What a key is bound to."""
    return hashlib.blake2b(b"\0".join((method.encode(), target.encode(), body)), digest_size=16).hexdigest()


def name_of(client: str, tenant: str, method: str, target: str, body: bytes) -> bytes:
    """By which a repeat of a request that failed is known."""
    parts = (client.encode(), tenant.encode(), method.encode(), target.encode(), body)
    return hashlib.blake2b(b"\0".join(parts), digest_size=16).digest()
