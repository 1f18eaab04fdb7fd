"""What the leader knows of the replicas, and when a change is in force on all of them (docs/design/in-force.md)."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice

import msgspec

from mallowvalve.control.replica import FRESHNESS_WINDOW_S
from mallowvalve.control.state import Enrol, ReplicatedSettings, Seats, Strike
from mallowvalve.control.wire import ReplicationRequest
from mallowvalve.raft.messages import Group
from mallowvalve.types import Address, Locality

CLOCK_SLACK_S = 0.1
REACHABLE_S = 1.5
REQUIRED_COPIES = 2
PROMPT_ANSWER_S = 0.3
STRIKE_AFTER_S = 15.0
FORGET_AFTER_S = 60.0
MAX_ROSTER_STEPS = 256
PRUNE_INTERVAL_S = 1.0
MAX_REVISIONS_KEPT = 256
"""For how many revisions it is remembered when a majority held them."""


class ReplicaStatus(msgspec.Struct):
    """What a replica last asked, and when (s); `asks` are the rounds that confirm its stamps."""

    request: ReplicationRequest
    requested_at: float
    name: str
    asks: list[tuple[int, float]]
    answered_at: float | None = None
    news_sent_at: float = -1e9

    def holds(self, group: Group | None, index: int) -> bool:
        """Whether it holds the state of this group up to the index."""
        return self.request.group == group and self.request.index >= index

    def counts(self, settings: bool) -> bool:
        """Whether it holds what is asked about: one that follows the settings alone holds nothing else."""
        return settings or self.request.scope == "all"

    def prompt(self, now: float) -> bool:
        """Whether it answers at once, so that an acknowledgement waits for it."""
        return now - self.requested_at < REACHABLE_S and (
            self.answered_at is None or now - self.answered_at < PROMPT_ANSWER_S
        )


class Replicas:
    """All replicas that asked this leader; a new leader knows none."""

    __slots__ = (
        "locality",
        "status_by_address",
        "_settings",
        "_majority_at",
        "_prior_windows_end",
        "_group",
        "_struck",
        "_began",
        "_pruned",
    )

    def __init__(self, locality: Locality):
        """`locality` is the leader's own."""
        self.locality = locality
        self.status_by_address: dict[Address, ReplicaStatus] = {}
        self._settings = ReplicatedSettings()
        self._majority_at: dict[int, float] = {}
        self._prior_windows_end = 0.0
        self._began = -1e9
        self._group: Group | None = None
        self._struck: dict[str, float] = {}
        self._pruned = -1e9

    def begin_leadership(self, now: float) -> None:
        """Leadership begins now (s): nothing is known of any replica."""
        self.status_by_address, self._majority_at = {}, {}
        self._struck = {}
        self._prior_windows_end = now + FRESHNESS_WINDOW_S + CLOCK_SLACK_S
        self._began = now

    def record_request(self, w: ReplicationRequest, group: Group, need: int, now: float) -> None:
        """A replica asked; its stamp is confirmed by the round `need` or a later one."""
        self._group = group
        h = self.status_by_address.get(w.addr)
        if h is None or h.request.boot != w.boot:
            h = self.status_by_address[w.addr] = ReplicaStatus(w, now, str(w.addr), [])
        h.request, h.requested_at, h.answered_at = w, now, None
        h.asks = [*h.asks[-16:], (need, w.sent_at)]

    def record_response(self, a: Address, now: float, news: bool = True) -> None:
        """The replica was answered, with news or without."""
        h = self.status_by_address.get(a)
        if h is not None:
            h.answered_at = now
            h.news_sent_at = now if news else h.news_sent_at

    def news_sent_at(self, a: Address) -> float:
        """When it was last fed news (s)."""
        h = self.status_by_address.get(a)
        return h.news_sent_at if h is not None else -1e9

    def confirmed_at(self, a: Address, confirmed: int) -> float:
        """The newest stamp of the replica whose round is confirmed; below 0 if there is none."""
        h = self.status_by_address.get(a)
        return max((s for n, s in h.asks if n <= confirmed), default=-1.0) if h else -1.0

    def is_replicated(self, index: int, now: float, settings: bool = False) -> bool:
        """Whether the replicas in touch hold it; of what is not settings, only those that hold all are asked.

        A new leader gives the replicas time to find it: settings it took before would be held nowhere else.
        """
        those = [h for h in self.status_by_address.values() if h.counts(settings)]
        if any(h.prompt(now) for h in those if not h.holds(self._group, index)):
            return False
        near = [h for h in those if now - h.requested_at < REACHABLE_S and h.request.locality != self.locality]
        copies = sum(h.holds(self._group, index) for h in near)
        if settings and now < self._began + REACHABLE_S:
            return copies >= REQUIRED_COPIES
        return copies >= min(REQUIRED_COPIES, len(near))

    def observe_settings(self, s: ReplicatedSettings, now: float) -> None:
        """Takes over the settings as they are now, and notes when a majority of the roster holds them."""
        if s.revision != self._settings.revision:
            for a in self._settings.roster.keys() - s.roster.keys():
                self._struck[a] = now + FRESHNESS_WINDOW_S + CLOCK_SLACK_S
            self._settings = msgspec.structs.replace(s, roster=dict(s.roster))
        self._struck = {a: t for a, t in self._struck.items() if t > now}
        if now - self._pruned >= PRUNE_INTERVAL_S:
            self._pruned = now
            self.status_by_address = {
                a: h
                for a, h in self.status_by_address.items()
                if now - h.requested_at < FORGET_AFTER_S or h.name in s.roster
            }
        if s.revision in self._majority_at:
            return
        if not s.roster or 2 * len(self._holders(s.revision)) > len(s.roster):
            self._majority_at[s.revision] = now
        if len(self._majority_at) > MAX_REVISIONS_KEPT:
            del self._majority_at[next(iter(self._majority_at))]

    def in_force(self, revision: int, now: float) -> bool:
        """Whether no proxy admits requests by settings older than the revision."""
        s = self._settings
        if revision > s.revision:
            return False
        since = min((t for r, t in self._majority_at.items() if r >= revision), default=None)
        if since is None:
            return False
        if now >= since + FRESHNESS_WINDOW_S + CLOCK_SLACK_S:
            return True
        calm = now >= self._prior_windows_end and not any(t > now for t in self._struck.values())
        return calm and len(self._holders(revision)) == len(s.roster)

    def next_roster_step(self, s: ReplicatedSettings, now: float) -> Enrol | Strike | None:
        """One seat at a time, each in force before the next: majorities of one roster and the next overlap."""
        if not self.in_force(s.revision, now):
            return None
        return next(self._steps(s, now), None)

    def due_roster_steps(self, s: ReplicatedSettings, now: float) -> Seats | None:
        """All that is due at once, for fleets where nothing rests on majorities of the roster."""
        steps = list(islice(self._steps(s, now), MAX_ROSTER_STEPS))
        return Seats(steps) if steps else None

    def _steps(self, s: ReplicatedSettings, now: float) -> Iterator[Enrol | Strike]:
        for a, h in sorted(self.status_by_address.items()):
            if h.request.role != "proxy" or now - h.requested_at > REACHABLE_S:
                continue
            seat = s.roster.get(h.name)
            if seat is None or seat.boot != h.request.boot:
                yield Enrol(a, h.request.boot, h.request.locality)
        if now < self._prior_windows_end + STRIKE_AFTER_S:
            return
        for text in sorted(s.roster):
            address = Address.read(text).unwrap()
            last = self.status_by_address.get(address)
            if last is None or now - last.requested_at > STRIKE_AFTER_S:
                yield Strike(address, s.roster[text].boot)

    def _holders(self, revision: int) -> list[Address]:
        out = []
        for a, h in self.status_by_address.items():
            seat = self._settings.roster.get(h.name)
            if seat is None:
                continue
            former_life_over = seat.boot != h.request.boot
            if former_life_over or h.request.group == self._group and h.request.revision >= revision:
                out.append(a)
        return out
