"""One HTTP call with the standard library, for tools that need no event loop."""

from __future__ import annotations

import http.client
import json
from collections.abc import Mapping
from typing import Any

Answer = tuple[int, Any, dict[str, str]]
"""Status, body (JSON decoded where it is JSON), headers by lower-case name."""


def call_at(
    host: str,
    port: int,
    method: str,
    path: str,
    body: Any = None,
    headers: Mapping[str, str] | None = None,
    limit: float = 10.0,
) -> Answer:
    """The answer to one call; `body` is bytes or text as it is, else encoded as JSON.

    `limit` is the longest wait for each step of the connection (s). Without an answer the status is 0 and the body says
    what went wrong.
    """
    connection = http.client.HTTPConnection(host, port, timeout=limit)
    data = body if body is None or isinstance(body, (bytes, str)) else json.dumps(body)
    kind = {"Content-Type": "application/json"} if body is not None else {}
    try:
        connection.request(method, path, body=data, headers={**kind, **(headers or {})})
        answer = connection.getresponse()
        raw = answer.read()
    except (OSError, http.client.HTTPException) as e:
        return 0, repr(e), {}
    finally:
        connection.close()
    said = {name.lower(): value for name, value in answer.getheaders()}
    try:
        return answer.status, json.loads(raw), said
    except ValueError:
        return answer.status, raw, said
