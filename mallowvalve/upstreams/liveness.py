"""Who was heard when, what a heartbeat changes, and whose silence has lasted too long."""

from __future__ import annotations

from collections import Counter

import msgspec
from msgspec.structs import replace

from mallowvalve.upstreams.registry import Registered, Registry, Upstream

COLD_MOVED_MS = 200
FORGET = 60.0
PAUSE = 2.0
MOST = 200_000


class Heard(msgspec.Struct, array_like=True, frozen=True):
    instance: str
    age_ms: int


class Last:
    __slots__ = ("at", "sequence")

    def __init__(self, at: float, sequence: int):
        self.at, self.sequence = at, sequence


class Liveness:
    """One at each control process. All times are seconds of this node's own clock but for the fleet's, which is ms.

    `heartbeat` is how often upstreams are heard; three without a word are a silence, and six where most of a service
    fall silent at once, for then the fault is more likely ours.
    """

    __slots__ = ("heartbeat_every", "silent", "_last", "_acked", "_led", "_judged", "_clock", "_clock_at")

    def __init__(self, heartbeat: float = 1.5):
        self.heartbeat_every, self.silent = heartbeat, 3 * heartbeat
        self._last: dict[str, Last] = {}
        self._acked: set[tuple[str, str]] = set()
        self._led: float | None = None
        self._judged = 0.0
        self._clock, self._clock_at = 0, 0.0

    def clock(self, seen: int, now: float) -> int:
        """The fleet's clock (ms), by the newest command seen and the time since; it may be behind, not ahead."""
        if seen != self._clock:
            self._clock, self._clock_at = seen, now
        return self._clock + int((now - self._clock_at) * 1000)

    def heartbeat(self, u: Upstream, registry: Registry, clock: int, now: float) -> Upstream | None:
        """Notes the heartbeat; what is to be offered for it, or None for a plain one. `cold_until` says how much longer."""
        last = self._last.get(u.instance)
        if last is not None and u.sequence < last.sequence:
            return None
        row = registry.rows.get(u.instance)
        if row is None:
            self._note(u.instance, now, u.sequence)
            return u
        if row.state == "gone" or u.sequence < row.sequence:
            return None
        self._note(u.instance, now, u.sequence)
        if row.state == "leaving":
            return u if u.state == "leaving" and not self.is_acked(u) else None
        same = (u.state, u.service, u.address, u.locality, u.slots) == (
            row.state,
            row.service,
            row.address,
            row.locality,
            row.slots,
        )
        if not same:
            return u
        if u.cold_until > 0 and clock + u.cold_until > row.cold_until + COLD_MOVED_MS:
            return u
        return None

    def acked(self, u: Upstream) -> None:
        """A notice that it leaves or is gone was acknowledged by this node: what repeats it is plain."""
        self._acked.add((u.instance, u.state))

    def is_acked(self, u: Upstream) -> bool:
        return (u.instance, u.state) in self._acked

    def report(self, since: float, now: float) -> list[Heard]:
        return [Heard(i, int((now - x.at) * 1000)) for i, x in self._last.items() if x.at > since]

    def told(self, heard: list[Heard], now: float) -> None:
        for h in heard:
            at, x = now - max(0, h.age_ms) / 1000, self._last.get(h.instance)
            if x is None:
                self._note(h.instance, at, -1)
            elif at > x.at:
                x.at = at

    def follow(self) -> None:
        self._led = None

    def judge(self, registry: Registry, now: float) -> Registered | None:
        """The leader's: what has become silent, and what is forgotten. One that just began to lead waits first."""
        if self._led is None or now - self._judged > PAUSE:
            self._led = now
        self._judged = now
        if now - self._led < self.silent:
            return None
        ages = {i: now - max(self._led, x.at if (x := self._last.get(i)) else self._led) for i in registry.rows}
        held = self._mass(registry, ages)
        silent, forget = [], []
        for i, u in registry.rows.items():
            if u.state == "ready" and ages[i] >= self.silent * (2 if u.service in held else 1):
                silent.append(replace(u, state="silent", cold_until=0))
            elif u.state in ("silent", "leaving") and ages[i] >= FORGET:
                forget.append(i)
        return Registered(silent, "", forget) if silent or forget else None

    def prune(self, registry: Registry, now: float) -> None:
        self._acked = {a for a in self._acked if a[0] in registry.rows}
        if len(self._last) > len(registry.rows):
            old = [i for i, x in self._last.items() if i not in registry.rows and now - x.at > FORGET]
            for i in old:
                del self._last[i]

    def _mass(self, registry: Registry, ages: dict[str, float]) -> set[str]:
        """Services of which more than half have missed a heartbeat at once: those would follow within one more."""
        every, late = Counter(), Counter()
        for i, u in registry.rows.items():
            if u.state in ("ready", "silent"):
                every[u.service] += 1
            if u.state == "ready" and ages[i] >= self.silent - self.heartbeat_every:
                late[u.service] += 1
        return {s for s, n in late.items() if 2 * n > every[s] and n > 1}

    def _note(self, instance: str, at: float, sequence: int) -> None:
        x = self._last.get(instance)
        if x is not None:
            x.at, x.sequence = max(x.at, at), max(x.sequence, sequence)
        elif len(self._last) < MOST:
            self._last[instance] = Last(at, sequence)
