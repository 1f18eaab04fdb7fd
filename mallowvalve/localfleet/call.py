"""Calls to processes of a fleet on this machine."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from mallowvalve.admin.call import Answer, http_call

HOST = "127.0.0.1"
OK = 200


def call(
    port: int,
    method: str,
    path: str,
    body: Any = None,
    headers: Mapping[str, str] | None = None,
    timeout_s: float = 10.0,
) -> Answer:
    """As `admin.call.call_at`, at a port of this machine."""
    return http_call(HOST, port, method, path, body, headers, timeout_s)


def is_ok(port: int, path: str, timeout_s: float = 2.0) -> bool:
    """Whether a GET is answered 200 within `limit` seconds."""
    return call(port, "GET", path, timeout_s=timeout_s)[0] == OK
