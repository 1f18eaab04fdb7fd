from __future__ import annotations

import http.client
import json


def call_at(host: str, port: int, method: str, path: str, body=None, headers: dict | None = None, limit: float = 10.0):
    c = http.client.HTTPConnection(host, port, timeout=limit)
    try:
        data = json.dumps(body) if body is not None and not isinstance(body, (bytes, str)) else body
        h = {"Content-Type": "application/json"} if body is not None else {}
        c.request(method, path, body=data, headers={**h, **(headers or {})})
        r = c.getresponse()
        raw = r.read()
        try:
            out = json.loads(raw)
        except ValueError:
            out = raw
        return r.status, out, {k.lower(): v for k, v in r.getheaders()}
    except (OSError, http.client.HTTPException) as e:
        return 0, repr(e), {}
    finally:
        c.close()
