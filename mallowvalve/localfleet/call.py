"""HTTP calls to processes of a fleet on this machine."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from mallowvalve.admin.call import HttpAnswer, http_call

HOST = "127.0.0.1"
STATUS_OK = 200


def call(
    port: int,
    method: str,
    path: str,
    body: Any = None,
    headers: Mapping[str, str] | None = None,
    timeout_s: float = 10.0,
) -> HttpAnswer:
    """Sends one request to a port of this machine, as `admin.call.http_call` does."""
    return http_call(HOST, port, method, path, body, headers, timeout_s)


def is_ok(port: int, path: str, timeout_s: float = 2.0) -> bool:
    """Whether a GET returns 200 within `timeout_s`."""
    return call(port, "GET", path, timeout_s=timeout_s)[0] == STATUS_OK
