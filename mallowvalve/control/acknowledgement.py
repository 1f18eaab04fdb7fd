"""The leader's view of the replicas, and when a change is in force on all of them (docs/design/in-force.md)."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice

import msgspec
from result import Err

from mallowvalve.control.replica import FRESHNESS_WINDOW_S
from mallowvalve.control.state import Enrol, ReplicatedSettings, Seats, Strike
from mallowvalve.control.wire import ReplicationRequest
from mallowvalve.raft.messages import GroupId
from mallowvalve.raft.rounds import HeartbeatRounds
from mallowvalve.types import Address, Locality

CLOCK_SLACK_S = 0.1
REACHABLE_S = 1.5
"""A replica counts as reachable for this long after its last request."""
REQUIRED_COPIES = 2
PROMPT_ANSWER_S = 0.3
"""A replica is prompt if it requests again within this time after a response."""
STRIKE_AFTER_S = 15.0
FORGET_AFTER_S = 60.0
MAX_ROSTER_STEPS = 256
PRUNE_INTERVAL_S = 1.0
MAX_REVISIONS_KEPT = 256
"""For how many revisions the leader keeps the time at which a majority held them."""
MAX_REQUESTS_KEPT = 17
"""For how many requests of a replica the leader keeps the time at which they were sent."""
NEVER = -1e9
UNCONFIRMED = -1.0


class PendingConfirmation(msgspec.Struct, frozen=True):
    """A replica's request that `round_number` or a later round confirms.

    `sent_at` is a time of the replica's clock, `arrived_at` one of the leader's (s).
    """

    round_number: int
    sent_at: float
    arrived_at: float


class ReplicaStatus(msgspec.Struct):
    """The last request of a replica and when it arrived (s).

    `confirmations` are those of its recent requests.
    """

    request: ReplicationRequest
    requested_at: float
    name: str
    confirmations: list[PendingConfirmation]
    answered_at: float | None = None
    entries_sent_at: float = NEVER

    def holds(self, group: GroupId | None, index: int) -> bool:
        """Whether the replica holds the state of this group up to the index."""
        return self.request.group == group and self.request.index >= index

    def covers(self, settings: bool) -> bool:
        """Whether the replica can hold such a change: a replica of the settings part holds settings only."""
        return settings or self.request.scope == "all"

    def is_prompt(self, now: float) -> bool:
        """Whether the replica is reachable and requests promptly, so that an acknowledgement waits for it."""
        reachable = now - self.requested_at < REACHABLE_S
        return reachable and (self.answered_at is None or now - self.answered_at < PROMPT_ANSWER_S)


class Replicas:
    """The replicas that sent requests to this leader; a new leader starts without any."""

    __slots__ = (
        "locality",
        "status_by_address",
        "_settings",
        "_majority_at",
        "_prior_windows_end",
        "_group",
        "_struck_until",
        "_leader_since",
        "_pruned_at",
    )

    def __init__(self, locality: Locality):
        """`locality` is the leader's own."""
        self.locality = locality
        self.status_by_address: dict[Address, ReplicaStatus] = {}
        self._settings = ReplicatedSettings()
        self._majority_at: dict[int, float] = {}
        self._prior_windows_end = 0.0
        self._leader_since = NEVER
        self._group: GroupId | None = None
        self._struck_until: dict[str, float] = {}
        self._pruned_at = NEVER

    def begin_leadership(self, now: float) -> None:
        """Forgets all replicas as leadership begins (s).

        Until the freshness windows that a former leader confirmed have ended, unknown proxies may admit requests.
        """
        self.status_by_address, self._majority_at = {}, {}
        self._struck_until = {}
        self._prior_windows_end = now + FRESHNESS_WINDOW_S + CLOCK_SLACK_S
        self._leader_since = now

    def record_request(self, request: ReplicationRequest, group: GroupId, confirming_round: int, now: float) -> None:
        """Records a request; `confirming_round` or a later round confirms the time at which it was sent."""
        self._group = group
        status = self.status_by_address.get(request.addr)
        if status is None or status.request.boot != request.boot:
            status = self.status_by_address[request.addr] = ReplicaStatus(request, now, str(request.addr), [])
        status.request, status.requested_at, status.answered_at = request, now, None
        pending = PendingConfirmation(confirming_round, request.sent_at, now)
        status.confirmations = [*status.confirmations[1 - MAX_REQUESTS_KEPT :], pending]

    def record_response(self, address: Address, now: float, has_entries: bool = True) -> None:
        """Records a response to the replica, with new entries or without."""
        status = self.status_by_address.get(address)
        if status is not None:
            status.answered_at = now
            status.entries_sent_at = now if has_entries else status.entries_sent_at

    def entries_sent_at(self, address: Address) -> float:
        """Returns when the replica was last sent new entries (s)."""
        status = self.status_by_address.get(address)
        return status.entries_sent_at if status is not None else NEVER

    def confirmed_at(self, address: Address, rounds: HeartbeatRounds) -> float:
        """Returns the newest time for which a majority has confirmed this leader to a replica (s, the replica's clock).

        That is when the replica sent a confirmed request, plus the time for which the request had waited here when the
        newest confirmed round was sent; -1 if none is confirmed.
        """
        status = self.status_by_address.get(address)
        if status is None:
            return UNCONFIRMED
        confirmed = [pending for pending in status.confirmations if pending.round_number <= rounds.confirmed]
        round_sent_at = rounds.confirmed_at()
        times = [pending.sent_at + max(0.0, round_sent_at - pending.arrived_at) for pending in confirmed]
        return max(times, default=UNCONFIRMED)

    def is_replicated(self, index: int, now: float, settings: bool = False) -> bool:
        """Whether the replicas hold the entry; a replica of the settings part counts for `settings` only.

        All prompt replicas must hold it, and `REQUIRED_COPIES` of the reachable ones outside the leader's locality,
        or all of these if they are fewer. A new leader gives the replicas time to find it: settings acknowledged
        before that would be held nowhere else.
        """
        candidates = [status for status in self.status_by_address.values() if status.covers(settings)]
        if any(status.is_prompt(now) for status in candidates if not status.holds(self._group, index)):
            return False
        remote = [
            status
            for status in candidates
            if now - status.requested_at < REACHABLE_S and status.request.locality != self.locality
        ]
        copies = sum(status.holds(self._group, index) for status in remote)
        if settings and now < self._leader_since + REACHABLE_S:
            return copies >= REQUIRED_COPIES
        return copies >= min(REQUIRED_COPIES, len(remote))

    def observe_settings(self, settings: ReplicatedSettings, now: float) -> None:
        """Updates the settings, and records when a majority of the roster holds them."""
        if settings.revision != self._settings.revision:
            for name in self._settings.roster.keys() - settings.roster.keys():
                self._struck_until[name] = now + FRESHNESS_WINDOW_S + CLOCK_SLACK_S
            self._settings = msgspec.structs.replace(settings, roster=dict(settings.roster))
        self._struck_until = {name: until for name, until in self._struck_until.items() if until > now}
        if now - self._pruned_at >= PRUNE_INTERVAL_S:
            self._pruned_at = now
            self.status_by_address = {
                address: status
                for address, status in self.status_by_address.items()
                if now - status.requested_at < FORGET_AFTER_S or status.name in settings.roster
            }
        if settings.revision in self._majority_at:
            return
        if not settings.roster or 2 * len(self._holders(settings.revision)) > len(settings.roster):
            self._majority_at[settings.revision] = now
        if len(self._majority_at) > MAX_REVISIONS_KEPT:
            del self._majority_at[next(iter(self._majority_at))]

    def in_force(self, revision: int, now: float) -> bool:
        """Whether no proxy admits requests by settings older than the revision."""
        settings = self._settings
        if revision > settings.revision:
            return False
        since = min((at for held, at in self._majority_at.items() if held >= revision), default=None)
        if since is None:
            return False
        if now >= since + FRESHNESS_WINDOW_S + CLOCK_SLACK_S:
            return True
        windows_ended = now >= self._prior_windows_end and not any(t > now for t in self._struck_until.values())
        return windows_ended and len(self._holders(revision)) == len(settings.roster)

    def next_roster_step(self, settings: ReplicatedSettings, now: float) -> Enrol | Strike | None:
        """Returns the next change of one seat, or None.

        Each change must be in force before the next, so that majorities of one roster and the next overlap.
        """
        if not self.in_force(settings.revision, now):
            return None
        return next(self._steps(settings, now), None)

    def due_roster_steps(self, settings: ReplicatedSettings, now: float) -> Seats | None:
        """Returns all changes of seats that are due, for fleets that do not rely on majorities of the roster."""
        steps = list(islice(self._steps(settings, now), MAX_ROSTER_STEPS))
        return Seats(steps) if steps else None

    def _steps(self, settings: ReplicatedSettings, now: float) -> Iterator[Enrol | Strike]:
        for address, status in sorted(self.status_by_address.items()):
            if status.request.role != "proxy" or now - status.requested_at > REACHABLE_S:
                continue
            seat = settings.roster.get(status.name)
            if seat is None or seat.boot != status.request.boot:
                yield Enrol(address, status.request.boot, status.request.locality)
        if now < self._prior_windows_end + STRIKE_AFTER_S:
            return
        for text in sorted(settings.roster):
            read = Address.read(text)
            if isinstance(read, Err):
                continue
            address = read.ok_value
            last = self.status_by_address.get(address)
            if last is None or now - last.requested_at > STRIKE_AFTER_S:
                yield Strike(address, settings.roster[text].boot)

    def _holders(self, revision: int) -> list[Address]:
        holders = []
        for address, status in self.status_by_address.items():
            seat = self._settings.roster.get(status.name)
            if seat is None:
                continue
            former_process_ended = seat.boot != status.request.boot
            if former_process_ended or status.request.group == self._group and status.request.revision >= revision:
                holders.append(address)
        return holders
