"""What the leader knows of the replicas, and when a change is in force on all of them (docs/design/in-force.md)."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice

import msgspec

from mallowvalve.control.replica import WINDOW
from mallowvalve.control.state import Enrol, Seats, Settings, Strike
from mallowvalve.control.wire import Want
from mallowvalve.raft.messages import GroupId
from mallowvalve.types import Address, Locality

SLACK = 0.1
REACHED = 1.5
COPIES = 2
PROMPT = 0.3
GONE = 15.0
FORGOTTEN = 60.0
STEPS = 256
PRUNE = 1.0
REVISIONS_KEPT = 256
"""For how many revisions it is remembered when a majority held them."""


class Heard(msgspec.Struct):
    """What a replica last asked, and when (s); `asks` are the rounds that confirm its stamps."""

    want: Want
    at: float
    name: str
    asks: list[tuple[int, float]]
    fed_at: float | None = None
    told_at: float = -1e9

    def holds(self, group: GroupId | None, index: int) -> bool:
        """Whether it holds the state of this group up to the index."""
        return self.want.group == group and self.want.index >= index

    def counts(self, settings: bool) -> bool:
        """Whether it holds what is asked about: one that follows the settings alone holds nothing else."""
        return settings or self.want.parts == "all"

    def prompt(self, now: float) -> bool:
        """Whether it answers at once, so that an acknowledgement waits for it."""
        return now - self.at < REACHED and (self.fed_at is None or now - self.fed_at < PROMPT)


class Replicas:
    """All replicas that asked this leader; a new leader knows none."""

    __slots__ = ("locality", "heard_of", "_settings", "_majority_at", "_calm", "_group", "_struck", "_began", "_pruned")

    def __init__(self, locality: Locality):
        """`locality` is the leader's own."""
        self.locality = locality
        self.heard_of: dict[Address, Heard] = {}
        self._settings = Settings()
        self._majority_at: dict[int, float] = {}
        self._calm = 0.0
        self._began = -1e9
        self._group: GroupId | None = None
        self._struck: dict[str, float] = {}
        self._pruned = -1e9

    def begin(self, now: float) -> None:
        """Leadership begins now (s): nothing is known of any replica."""
        self.heard_of, self._majority_at = {}, {}
        self._struck = {}
        self._calm = now + WINDOW + SLACK
        self._began = now

    def heard(self, w: Want, group: GroupId, need: int, now: float) -> None:
        """A replica asked; its stamp is confirmed by the round `need` or a later one."""
        self._group = group
        h = self.heard_of.get(w.addr)
        if h is None or h.want.boot != w.boot:
            h = self.heard_of[w.addr] = Heard(w, now, str(w.addr), [])
        h.want, h.at, h.fed_at = w, now, None
        h.asks = [*h.asks[-16:], (need, w.stamp)]

    def fed(self, a: Address, now: float, news: bool = True) -> None:
        """The replica was answered, with news or without."""
        h = self.heard_of.get(a)
        if h is not None:
            h.fed_at = now
            h.told_at = now if news else h.told_at

    def told_at(self, a: Address) -> float:
        """When it was last fed news (s)."""
        h = self.heard_of.get(a)
        return h.told_at if h is not None else -1e9

    def sure(self, a: Address, confirmed: int) -> float:
        """The newest stamp of the replica whose round is confirmed; below 0 if there is none."""
        h = self.heard_of.get(a)
        return max((s for n, s in h.asks if n <= confirmed), default=-1.0) if h else -1.0

    def held_elsewhere(self, index: int, now: float, settings: bool = False) -> bool:
        """Whether the replicas in touch hold it; of what is not settings, only those that hold all are asked.

        A new leader gives the replicas time to find it: settings it took before would be held nowhere else.
        """
        those = [h for h in self.heard_of.values() if h.counts(settings)]
        if any(h.prompt(now) for h in those if not h.holds(self._group, index)):
            return False
        near = [h for h in those if now - h.at < REACHED and h.want.locality != self.locality]
        copies = sum(h.holds(self._group, index) for h in near)
        if settings and now < self._began + REACHED:
            return copies >= COPIES
        return copies >= min(COPIES, len(near))

    def watch(self, s: Settings, now: float) -> None:
        """Takes over the settings as they are now, and notes when a majority of the roster holds them."""
        if s.revision != self._settings.revision:
            for a in self._settings.roster.keys() - s.roster.keys():
                self._struck[a] = now + WINDOW + SLACK
            self._settings = msgspec.structs.replace(s, roster=dict(s.roster))
        self._struck = {a: t for a, t in self._struck.items() if t > now}
        if now - self._pruned >= PRUNE:
            self._pruned = now
            self.heard_of = {a: h for a, h in self.heard_of.items() if now - h.at < FORGOTTEN or h.name in s.roster}
        if s.revision in self._majority_at:
            return
        if not s.roster or 2 * len(self._holders(s.revision)) > len(s.roster):
            self._majority_at[s.revision] = now
        if len(self._majority_at) > REVISIONS_KEPT:
            del self._majority_at[next(iter(self._majority_at))]

    def in_force(self, revision: int, now: float) -> bool:
        """Whether no proxy admits requests by settings older than the revision."""
        s = self._settings
        if revision > s.revision:
            return False
        since = min((t for r, t in self._majority_at.items() if r >= revision), default=None)
        if since is None:
            return False
        if now >= since + WINDOW + SLACK:
            return True
        calm = now >= self._calm and not any(t > now for t in self._struck.values())
        return calm and len(self._holders(revision)) == len(s.roster)

    def roster_step(self, s: Settings, now: float) -> Enrol | Strike | None:
        """One seat at a time, each in force before the next: majorities of one roster and the next overlap."""
        if not self.in_force(s.revision, now):
            return None
        return next(self._steps(s, now), None)

    def roster_steps(self, s: Settings, now: float) -> Seats | None:
        """All that is due at once, for fleets where nothing rests on majorities of the roster."""
        steps = list(islice(self._steps(s, now), STEPS))
        return Seats(steps) if steps else None

    def _steps(self, s: Settings, now: float) -> Iterator[Enrol | Strike]:
        for a, h in sorted(self.heard_of.items()):
            if h.want.role != "proxy" or now - h.at > REACHED:
                continue
            seat = s.roster.get(h.name)
            if seat is None or seat.boot != h.want.boot:
                yield Enrol(a, h.want.boot, h.want.locality)
        if now < self._calm + GONE:
            return
        for text in sorted(s.roster):
            address = Address.read(text).unwrap()
            last = self.heard_of.get(address)
            if last is None or now - last.at > GONE:
                yield Strike(address, s.roster[text].boot)

    def _holders(self, revision: int) -> list[Address]:
        out = []
        for a, h in self.heard_of.items():
            seat = self._settings.roster.get(h.name)
            if seat is None:
                continue
            former_life_over = seat.boot != h.want.boot
            if former_life_over or h.want.group == self._group and h.want.revision >= revision:
                out.append(a)
        return out
