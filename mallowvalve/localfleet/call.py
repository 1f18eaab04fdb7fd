from __future__ import annotations

from mallowvalve.admin.call import call_at

HOST = "127.0.0.1"


def call(port: int, method: str, path: str, body=None, headers: dict | None = None, limit: float = 10.0):
    return call_at(HOST, port, method, path, body, headers, limit)
