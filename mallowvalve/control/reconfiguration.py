"""Which voters and learners the core is to have next, by what its leader knows of the members.

A voter that is lost or leaving is swapped for a learner that has caught up, in one change, which Raft makes through a
joint configuration. What begins a swap, and how soon (s):

- `LEAVING`: the member said goodbye; at the next look of the leader, `LOOK` apart.
- `REPLACED`: another member has its address, at the next look; or a process that is none has, and Raft has not heard
  the member for `CONFIRM`.
- `DEPARTED`: the failure detector says that its process failed or left, and Raft has not heard it for `CONFIRM`, which
  keeps a verdict that is wrong, or about a process that is back, from costing a seat. One that left is known at once.
- `SILENT`: Raft has not heard it for `GONE`. It bounds the repair: the detector's verdict on a crash takes 3.3 s in the
  mean but 6.5 s in the 95th percentile (docs/measurements/membership.md), and a successor counts as safe `catch-up-s`
  (4 s) after its start, so that the next loss inside `fault-budget` may come then. `GONE` and the swap's two rounds,
  each under 0.5 s, end before. A member that was only frozen or cut off loses its seat to one that has caught up, and
  comes back as a learner by the log alone.

A learner is ripe once it holds what was committed `RIPE_AGE` ago, five heartbeats: what it lacks is on its way to it.

`FORGOTTEN` is how long a silent learner is kept: it costs one message a heartbeat, and nothing waits for it.
"""

from __future__ import annotations

import enum
from collections import deque

import msgspec

from mallowvalve.control.wire import ProcessStatus
from mallowvalve.raft.messages import ClusterConfiguration
from mallowvalve.raft.raft import Raft
from mallowvalve.types import Address, Locality

MOST = 5
LOOK = 0.1
CONFIRM = 1.0
GONE = 3.0
HERE_LASTS = 5.0
FORGOTTEN = 30.0
RIPE_AGE = 0.5


class MemberAnnouncement(msgspec.Struct, frozen=True):
    """What a member last said of itself, and when (s); `boot` tells its process from the next at its address."""

    addr: Address
    locality: Locality
    at: float
    boot: int = 0
    leaving: bool = False


class MemberLossReason(enum.Enum):
    """Why a member is taken for lost; only one that is `LEAVING` still votes."""

    LEAVING = enum.auto()
    REPLACED = enum.auto()
    DEPARTED = enum.auto()
    SILENT = enum.auto()


class MemberObservations:
    """What is known of the members beside Raft: their own words, and the failure detector's verdicts.

    `departed` has the boot of the process at each address that the detector says failed or left, `given_away` the
    addresses where it finds a process that is no core member's.
    """

    __slots__ = ("announcements", "departed", "reassigned_addresses", "boot", "leaving", "_commits")

    def __init__(self) -> None:
        """Nobody was heard, and nobody is known to have gone."""
        self.announcements: dict[str, MemberAnnouncement] = {}
        self.departed: dict[Address, int] = {}
        self.reassigned_addresses: set[Address] = set()
        self.boot, self.leaving = 0, False
        self._commits: deque[tuple[float, int]] = deque()

    def record_announcement(self, who: ProcessStatus, now: float) -> None:
        """A member said that it is here, or with `leaving` that it is about to go."""
        self.announcements[who.id] = MemberAnnouncement(who.addr, who.locality, now, who.boot, who.leaving)
        for i in [i for i, s in self.announcements.items() if now - s.at >= 2 * FORGOTTEN]:
            del self.announcements[i]

    def update_detector_verdicts(self, departed: dict[Address, int], reassigned_addresses: set[Address]) -> None:
        """Takes over what the failure detector says now."""
        self.departed, self.reassigned_addresses = departed, reassigned_addresses

    def next_voters(self, raft: Raft, now: float) -> ClusterConfiguration | None:
        """The configuration to change to, if any; while one is under way only an address may change."""
        voters, committed = raft.log.configuration, self._committed(raft.commit_index, now)
        taken = {s.addr: i for i, s in sorted(self.announcements.items(), key=lambda x: x[1].at)}
        came = self._came(voters, taken, now)
        if came is not None or voters.old_voters:
            return came
        lost = {i: why for i in voters.members() if (why := self._loss(raft, i, taken, now)) is not None}
        ripe = [
            i for i in voters.learners if i not in lost and i in self.announcements and _holds(raft, i, committed, now)
        ]
        swap = self._swap(voters, lost, ripe)
        if swap is not None:
            return swap
        for i in sorted(lost.keys() & voters.learners.keys()):
            if lost[i] is MemberLossReason.REPLACED or _silent(raft, i, now, FORGOTTEN):
                return ClusterConfiguration(voters.voters, _without(voters.learners, i))
        return self._growth(voters, lost, ripe)

    def _committed(self, commit: int, now: float) -> int:
        """What was committed `RIPE_AGE` ago; all that is, where the looks do not reach back so far."""
        while self._commits and self._commits[0][1] > commit:
            self._commits.clear()
        self._commits.append((now, commit))
        while len(self._commits) > 1 and self._commits[1][0] <= now - RIPE_AGE:
            self._commits.popleft()
        at, index = self._commits[0]
        return index if at <= now - RIPE_AGE else commit

    def _came(self, voters: ClusterConfiguration, taken: dict[Address, str], now: float) -> ClusterConfiguration | None:
        """A member at another address, or one that is new."""
        for i, s in sorted(self.announcements.items()):
            if voters.address(i) not in (None, s.addr) and now - s.at < HERE_LASTS:
                parts = (voters.voters, voters.learners, voters.old_voters)
                return ClusterConfiguration(*({k: s.addr if k == i else a for k, a in part.items()} for part in parts))
        for i, s in sorted(self.announcements.items()):
            new = voters.address(i) is None and taken[s.addr] == i and now - s.at < HERE_LASTS and not s.leaving
            gone = s.addr in self.reassigned_addresses or s.boot != 0 and self.departed.get(s.addr) == s.boot
            if new and not gone and not voters.old_voters:
                return ClusterConfiguration(voters.voters, {**voters.learners, i: s.addr})
        return None

    def _loss(self, raft: Raft, i: str, taken: dict[Address, str], now: float) -> MemberLossReason | None:
        address, announcements = raft.log.configuration.address(i), self.announcements.get(i)
        if address is None:
            return None
        if taken.get(address, i) != i or address in self.reassigned_addresses and _silent(raft, i, now, CONFIRM):
            return MemberLossReason.REPLACED
        verdict = address in self.departed and (
            announcements is None or announcements.boot in (0, self.departed[address])
        )
        if verdict and _silent(raft, i, now, CONFIRM):
            return MemberLossReason.DEPARTED
        if _silent(raft, i, now, GONE):
            return MemberLossReason.SILENT
        leaving = self.leaving if i == raft.me else announcements is not None and announcements.leaving
        return MemberLossReason.LEAVING if leaving else None

    def _swap(
        self, voters: ClusterConfiguration, lost: dict[str, MemberLossReason], ripe: list[str]
    ) -> ClusterConfiguration | None:
        """One lost voter for one learner, the dead before the leaving, if most of the voters then are alive."""
        out = min(
            lost.keys() & voters.voters.keys(), key=lambda i: (lost[i] is MemberLossReason.LEAVING, i), default=None
        )
        if out is None or not ripe:
            return None
        kept = _without(voters.voters, out)
        i = min(ripe, key=lambda i: (*self._crowd(kept, i), i))
        alive = 1 + sum(lost.get(k) in (None, MemberLossReason.LEAVING) for k in kept)
        if 2 * alive <= len(kept) + 1:
            return None
        return ClusterConfiguration({**kept, i: voters.learners[i]}, _without(voters.learners, i))

    def _growth(
        self, voters: ClusterConfiguration, lost: dict[str, MemberLossReason], ripe: list[str]
    ) -> ClusterConfiguration | None:
        """More voters, an odd number of `MOST` at most, in one change."""
        if lost.keys() & voters.voters.keys():
            return None
        target = min(MOST, len(voters.voters) + len(ripe))
        target -= target % 2 == 0
        grown, left = dict(voters.voters), list(ripe)
        while len(grown) < target:
            i = min(left, key=lambda i: (*self._crowd(grown, i), i))
            left.remove(i)
            grown[i] = voters.learners[i]
        if len(grown) == len(voters.voters):
            return None
        return ClusterConfiguration(grown, {k: a for k, a in voters.learners.items() if k not in grown})

    def _crowd(self, ids: dict[str, Address], i: str) -> tuple[int, int]:
        """How many of these share the region, and the zone, of the member."""
        at = self.announcements[i].locality
        places = [self.announcements[k].locality for k in ids if k in self.announcements]
        return sum(p.region == at.region for p in places), sum(p == at for p in places)


def _silent(raft: Raft, i: str, now: float, limit: float) -> bool:
    p = raft.progress().get(i)
    return i != raft.me and p is not None and now - p.heard_at > limit


def _holds(raft: Raft, i: str, committed: int, now: float) -> bool:
    """Whether it answers, and has all up to the index; the change itself waits for the rest."""
    p = raft.progress().get(i)
    return p is not None and 0 < p.match_index >= committed and now - p.heard_at < CONFIRM


def _without(d: dict[str, Address], i: str) -> dict[str, Address]:
    return {k: a for k, a in d.items() if k != i}
