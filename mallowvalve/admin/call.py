"""HTTP calls with the standard library, for tools that need no event loop."""

from __future__ import annotations

import http.client
import json
from collections.abc import Mapping
from typing import Any
from urllib.parse import urlsplit

HttpAnswer = tuple[int, Any, dict[str, str]]
"""Status, body (decoded if it is JSON), and headers by lower-case name."""

STATUS_REDIRECT = 307
MAX_REDIRECTS = 2
"""A control process that has lost contact to a majority redirects calls to another one."""


def http_call(
    host: str,
    port: int,
    method: str,
    path: str,
    body: Any = None,
    headers: Mapping[str, str] | None = None,
    timeout_s: float = 10.0,
) -> HttpAnswer:
    """Sends a request, follows redirects and returns the answer; a body other than bytes or text is sent as JSON.

    `timeout_s` limits each blocking step of each connection. Without an answer the status is 0 and the body is a
    description of the error.
    """
    data = body if body is None or isinstance(body, (bytes, str)) else json.dumps(body)
    content_type = {"Content-Type": "application/json"} if body is not None else {}
    answer: HttpAnswer = (0, "", {})
    for _ in range(MAX_REDIRECTS + 1):
        answer = _call_once(host, port, method, path, data, {**content_type, **(headers or {})}, timeout_s)
        location = urlsplit(answer[2].get("location", ""))
        if answer[0] != STATUS_REDIRECT or location.hostname is None or location.port is None:
            break
        host, port = location.hostname, location.port
        path = location._replace(scheme="", netloc="").geturl()
    return answer


def _call_once(
    host: str, port: int, method: str, path: str, data: bytes | str | None, headers: Mapping[str, str], timeout_s: float
) -> HttpAnswer:
    connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
    try:
        connection.request(method, path, body=data, headers=dict(headers))
        answer = connection.getresponse()
        raw = answer.read()
    except (OSError, http.client.HTTPException) as error:
        return 0, repr(error), {}
    finally:
        connection.close()
    answer_headers = {name.lower(): value for name, value in answer.getheaders()}
    try:
        return answer.status, json.loads(raw), answer_headers
    except ValueError:
        return answer.status, raw, answer_headers
