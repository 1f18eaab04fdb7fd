"""Chooses the next voters and learners of the core from what its leader knows about the members.

A voter that is lost or leaving is replaced by a learner that has caught up, in one change, which Raft makes through a
joint configuration. What causes a replacement, and how soon:

- `LEAVING`: the member announced that it leaves; at the leader's next check, every `CHECK_INTERVAL_S`.
- `REPLACED`: another member has its address, at the next check; or a process that is no core member has, and Raft has
  not heard the member for `VERDICT_CONFIRMATION_S`.
- `DEPARTED`: the failure detector reports that its process failed or left, and Raft has not heard it for
  `VERDICT_CONFIRMATION_S`, so that a verdict that is wrong, or about a process that is back, costs no seat. A member
  that left is known at once.
- `SILENT`: Raft has not heard it for `SILENCE_TIMEOUT_S`. This bounds the repair: the detector's verdict on a crash
  takes 3.3 s on average but 6.5 s at the 95th percentile (docs/measurements/membership.md), and a successor counts as
  safe `catch-up-s` (4 s) after its start, so that the next loss inside `fault-budget` may come then.
  `SILENCE_TIMEOUT_S` and the two rounds of the replacement, each under 0.5 s, end before that. A member that was only
  frozen or partitioned loses its seat to one that has caught up, and comes back as a learner by the log alone.

A learner has caught up once it has the entries that were committed `CATCH_UP_LAG_S` ago, five heartbeats: the later
ones are on their way to it.

A silent learner is kept for `LEARNER_REMOVAL_S`: it costs one message a heartbeat, and nothing waits for it.
"""

from __future__ import annotations

import enum
from collections import deque

import msgspec

from mallowvalve.control.wire import ProcessStatus
from mallowvalve.raft.messages import ClusterConfiguration
from mallowvalve.raft.raft import Raft
from mallowvalve.types import Address, Locality

MAX_VOTERS = 5
CHECK_INTERVAL_S = 0.1
VERDICT_CONFIRMATION_S = 1.0
SILENCE_TIMEOUT_S = 3.0
ANNOUNCEMENT_VALIDITY_S = 5.0
LEARNER_REMOVAL_S = 30.0
CATCH_UP_LAG_S = 0.5


class MemberAnnouncement(msgspec.Struct, frozen=True):
    """The last announcement of a member, received `at` (s); `boot` tells successive processes at an address apart."""

    addr: Address
    locality: Locality
    at: float
    boot: int = 0
    leaving: bool = False


class MemberLossReason(enum.Enum):
    """Why a member is considered lost; only a `LEAVING` one still votes."""

    LEAVING = enum.auto()
    REPLACED = enum.auto()
    DEPARTED = enum.auto()
    SILENT = enum.auto()


class MemberObservations:
    """What is known of the members apart from Raft: their announcements and the failure detector's verdicts.

    `departed` maps the address of each process that failed or left, as the detector reports, to its boot;
    `reassigned_addresses` are those at which the detector finds a process that is no core member.
    """

    __slots__ = ("announcements", "departed", "reassigned_addresses", "boot", "leaving", "_commit_samples")

    def __init__(self) -> None:
        """Creates observations without members."""
        self.announcements: dict[str, MemberAnnouncement] = {}
        self.departed: dict[Address, int] = {}
        self.reassigned_addresses: set[Address] = set()
        self.boot, self.leaving = 0, False
        self._commit_samples: deque[tuple[float, int]] = deque()

    def record_announcement(self, status: ProcessStatus, now: float) -> None:
        """Records that a member is running, or about to stop if it is `leaving`; drops old announcements."""
        self.announcements[status.id] = MemberAnnouncement(
            status.addr, status.locality, now, status.boot, status.leaving
        )
        expired = [id for id, known in self.announcements.items() if now - known.at >= 2 * LEARNER_REMOVAL_S]
        for id in expired:
            del self.announcements[id]

    def update_detector_verdicts(self, departed: dict[Address, int], reassigned_addresses: set[Address]) -> None:
        """Replaces the failure detector's verdicts by the present ones."""
        self.departed, self.reassigned_addresses = departed, reassigned_addresses

    def next_voters(self, raft: Raft, now: float) -> ClusterConfiguration | None:
        """Returns the configuration to change to, if any; during a change only an address may change."""
        voters, committed = raft.log.configuration, self._lagging_commit_index(raft.commit_index, now)
        by_age = sorted(self.announcements.items(), key=lambda item: item[1].at)
        occupants = {announcement.addr: id for id, announcement in by_age}
        with_arrival = self._with_arrival(voters, occupants, now)
        if with_arrival is not None or voters.old_voters:
            return with_arrival
        lost = {
            id: reason for id in voters.members() if (reason := self._loss_reason(raft, id, occupants, now)) is not None
        }
        candidates = [id for id in voters.learners if id not in lost and id in self.announcements]
        caught_up = [id for id in candidates if _has_caught_up(raft, id, committed, now)]
        replacement = self._with_replacement(voters, lost, caught_up)
        if replacement is not None:
            return replacement
        for id in sorted(lost.keys() & voters.learners.keys()):
            if lost[id] is MemberLossReason.REPLACED or _is_silent(raft, id, now, LEARNER_REMOVAL_S):
                return ClusterConfiguration(voters.voters, _without(voters.learners, id))
        return self._with_more_voters(voters, lost, caught_up)

    def _lagging_commit_index(self, commit_index: int, now: float) -> int:
        """Returns the commit index `CATCH_UP_LAG_S` ago; the present one if no check is that old."""
        while self._commit_samples and self._commit_samples[0][1] > commit_index:
            self._commit_samples.clear()
        self._commit_samples.append((now, commit_index))
        while len(self._commit_samples) > 1 and self._commit_samples[1][0] <= now - CATCH_UP_LAG_S:
            self._commit_samples.popleft()
        at, index = self._commit_samples[0]
        return index if at <= now - CATCH_UP_LAG_S else commit_index

    def _with_arrival(
        self, voters: ClusterConfiguration, occupants: dict[Address, str], now: float
    ) -> ClusterConfiguration | None:
        """Returns the configuration with a member's new address, or with a new learner."""
        for id, known in sorted(self.announcements.items()):
            if voters.address(id) not in (None, known.addr) and now - known.at < ANNOUNCEMENT_VALIDITY_S:
                sets = (voters.voters, voters.learners, voters.old_voters)
                return ClusterConfiguration(
                    *({m: known.addr if m == id else address for m, address in members.items()} for members in sets)
                )
        for id, known in sorted(self.announcements.items()):
            is_present = now - known.at < ANNOUNCEMENT_VALIDITY_S and not known.leaving
            is_new = voters.address(id) is None and occupants[known.addr] == id and is_present
            same_boot = known.boot != 0 and self.departed.get(known.addr) == known.boot
            departed = known.addr in self.reassigned_addresses or same_boot
            if is_new and not departed and not voters.old_voters:
                return ClusterConfiguration(voters.voters, {**voters.learners, id: known.addr})
        return None

    def _loss_reason(self, raft: Raft, id: str, occupants: dict[Address, str], now: float) -> MemberLossReason | None:
        address, known = raft.log.configuration.address(id), self.announcements.get(id)
        if address is None:
            return None
        if occupants.get(address, id) != id or (
            address in self.reassigned_addresses and _is_silent(raft, id, now, VERDICT_CONFIRMATION_S)
        ):
            return MemberLossReason.REPLACED
        departed = address in self.departed and (known is None or known.boot in (0, self.departed[address]))
        if departed and _is_silent(raft, id, now, VERDICT_CONFIRMATION_S):
            return MemberLossReason.DEPARTED
        if _is_silent(raft, id, now, SILENCE_TIMEOUT_S):
            return MemberLossReason.SILENT
        leaving = self.leaving if id == raft.me else known is not None and known.leaving
        return MemberLossReason.LEAVING if leaving else None

    def _with_replacement(
        self, voters: ClusterConfiguration, lost: dict[str, MemberLossReason], caught_up: list[str]
    ) -> ClusterConfiguration | None:
        """Replaces one lost voter by a learner, a dead one before a leaving one, if most voters then are alive."""
        replaced = min(
            lost.keys() & voters.voters.keys(),
            key=lambda id: (lost[id] is MemberLossReason.LEAVING, id),
            default=None,
        )
        if replaced is None or not caught_up:
            return None
        kept = _without(voters.voters, replaced)
        successor = min(caught_up, key=lambda id: (*self._neighbours(kept, id), id))
        alive = 1 + sum(lost.get(id) in (None, MemberLossReason.LEAVING) for id in kept)
        if 2 * alive <= len(kept) + 1:
            return None
        learners = _without(voters.learners, successor)
        return ClusterConfiguration({**kept, successor: voters.learners[successor]}, learners)

    def _with_more_voters(
        self, voters: ClusterConfiguration, lost: dict[str, MemberLossReason], caught_up: list[str]
    ) -> ClusterConfiguration | None:
        """Adds voters in one change, up to an odd number of at most `MAX_VOTERS`."""
        if lost.keys() & voters.voters.keys():
            return None
        target = min(MAX_VOTERS, len(voters.voters) + len(caught_up))
        target -= target % 2 == 0
        grown, candidates = dict(voters.voters), list(caught_up)
        while len(grown) < target:
            added = min(candidates, key=lambda id: (*self._neighbours(grown, id), id))
            candidates.remove(added)
            grown[added] = voters.learners[added]
        if len(grown) == len(voters.voters):
            return None
        return ClusterConfiguration(grown, {id: a for id, a in voters.learners.items() if id not in grown})

    def _neighbours(self, ids: dict[str, Address], id: str) -> tuple[int, int]:
        """Returns how many of the members share the region, and how many the zone, of this one."""
        at = self.announcements[id].locality
        places = [self.announcements[other].locality for other in ids if other in self.announcements]
        return sum(place.region == at.region for place in places), sum(place == at for place in places)


def _is_silent(raft: Raft, member: str, now: float, limit: float) -> bool:
    progress = raft.progress().get(member)
    return member != raft.me and progress is not None and now - progress.heard_at > limit


def _has_caught_up(raft: Raft, member: str, committed: int, now: float) -> bool:
    """Whether the member responds and has all entries up to the index; the change itself waits for the rest."""
    progress = raft.progress().get(member)
    return (
        progress is not None
        and 0 < progress.match_index >= committed
        and now - progress.heard_at < VERDICT_CONFIRMATION_S
    )


def _without(members: dict[str, Address], member: str) -> dict[str, Address]:
    return {id: address for id, address in members.items() if id != member}
