"""One HTTP call with the standard library, for tools that need no event loop."""

from __future__ import annotations

import http.client
import json
from collections.abc import Mapping
from typing import Any
from urllib.parse import urlsplit

HttpAnswer = tuple[int, Any, dict[str, str]]
"""Status, body (JSON decoded where it is JSON), headers by lower-case name."""


REDIRECTED = 307
REDIRECTS = 2
"""How often a call is sent on: a control process out of touch with a majority names another one."""


def http_call(
    host: str,
    port: int,
    method: str,
    path: str,
    body: Any = None,
    headers: Mapping[str, str] | None = None,
    timeout_s: float = 10.0,
) -> HttpAnswer:
    """The answer to one call; `body` is bytes or text as it is, else encoded as JSON. Redirections are followed.

    `limit` is the longest wait for each step of each connection (s). Without an answer the status is 0 and the body
    says what went wrong.
    """
    data = body if body is None or isinstance(body, (bytes, str)) else json.dumps(body)
    kind = {"Content-Type": "application/json"} if body is not None else {}
    answer: HttpAnswer = (0, "", {})
    for _ in range(REDIRECTS + 1):
        answer = _call_once(host, port, method, path, data, {**kind, **(headers or {})}, timeout_s)
        to = urlsplit(answer[2].get("location", ""))
        if answer[0] != REDIRECTED or to.hostname is None or to.port is None:
            break
        host, port = to.hostname, to.port
        path = to._replace(scheme="", netloc="").geturl()
    return answer


def _call_once(
    host: str, port: int, method: str, path: str, data: bytes | str | None, headers: Mapping[str, str], timeout_s: float
) -> HttpAnswer:
    connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
    try:
        connection.request(method, path, body=data, headers=dict(headers))
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
