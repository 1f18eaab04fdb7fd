from __future__ import annotations

import hashlib
from collections import OrderedDict

SPAN = 10.0
MOST = 20000


class Repeats:
    """Knows a repeat that its client did not mark: each bounce or failure answered here makes one like request a repeat."""

    __slots__ = ("_failed",)

    def __init__(self):
        self._failed: OrderedDict[bytes, list[float]] = OrderedDict()

    def failed(self, name: bytes, now: float) -> None:
        self._failed.setdefault(name, []).append(now)
        self._failed.move_to_end(name)
        while len(self._failed) > MOST:
            self._failed.popitem(last=False)

    def is_one(self, name: bytes, now: float) -> bool:
        times = self._failed.pop(name, [])
        times = [t for t in times if now - t < SPAN]
        if not times:
            return False
        if times[1:]:
            self._failed[name] = times[1:]
        return True


def name_of(tenant: str, method: str, target: str, body: bytes) -> bytes:
    return hashlib.blake2b(b"\0".join((tenant.encode(), method.encode(), target.encode(), body)), digest_size=16).digest()
