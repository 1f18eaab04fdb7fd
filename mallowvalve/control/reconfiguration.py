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
  safe `catch-up-s` (4 s) after its start, so that the next loss inside the fault budget may come then.
  `SILENCE_TIMEOUT_S` and the two rounds of the replacement, each under 0.5 s, end before that. A member that was only
  frozen or partitioned loses its seat to one that has caught up, and comes back as a learner by the log alone.

While no voter is lost or leaving, seats move until the voters are spread as evenly as the places of all members that
have caught up allow (`voter_placement`): at the founding, after growth, and when a lost region is back. Each change is
strictly better, gives one seat of a voter other than the leader to a learner, and makes that voter a learner. A member
gets at most `MAX_SEATS_GIVEN` seats in `SEAT_WINDOW_S` in this way, so that seats do not follow members that come and
go; replacements have no such limit.

A learner has caught up once it has the entries that were committed `CATCH_UP_LAG_S` ago, five heartbeats: the later
ones are on their way to it.

A silent learner is kept for `LEARNER_REMOVAL_S`: it costs one message a heartbeat, and nothing waits for it.
"""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Collection

import msgspec

from mallowvalve.control.voter_placement import Tolerance, better_exchange, evenly_chosen, preferred_seats, tolerance
from mallowvalve.control.wire import ProcessStatus
from mallowvalve.raft.messages import ClusterConfiguration
from mallowvalve.raft.raft import Raft
from mallowvalve.settings import FaultBudget
from mallowvalve.types import Address, Locality

CHECK_INTERVAL_S = 0.1
VERDICT_CONFIRMATION_S = 1.0
SILENCE_TIMEOUT_S = 3.0
ANNOUNCEMENT_VALIDITY_S = 5.0
LEARNER_REMOVAL_S = 30.0
CATCH_UP_LAG_S = 0.5
MAX_SEATS_GIVEN = 4
SEAT_WINDOW_S = 300.0
MIN_REDUCED_SEATS = 3


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
    `reassigned_addresses` are those at which the detector finds a process that is no core member. `fault_budget` names
    the losses that the voters should tolerate.
    """

    __slots__ = (
        "announcements",
        "departed",
        "reassigned_addresses",
        "boot",
        "leaving",
        "fault_budget",
        "_commit_samples",
        "_seats_given_at",
        "_settled_places",
    )

    def __init__(self) -> None:
        """Creates observations without members."""
        self.announcements: dict[str, MemberAnnouncement] = {}
        self.departed: dict[Address, int] = {}
        self.reassigned_addresses: set[Address] = set()
        self.boot, self.leaving = 0, False
        self.fault_budget = FaultBudget()
        self._commit_samples: deque[tuple[float, int]] = deque()
        self._seats_given_at: dict[str, list[float]] = {}
        self._settled_places: tuple[dict[str, Locality], dict[str, Locality], FaultBudget] | None = None

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

    def change_voters(self, raft: Raft, now: float, at: int) -> bool:
        """Begins the next change, if one is wanted; returns whether it did. `at` is the fleet's time (ms)."""
        present, wanted = raft.log.configuration, self.next_voters(raft, now)
        if wanted is None or raft.change_configuration(wanted, at) is None:
            return False
        if present.voters.keys() <= wanted.members().keys():
            for member in wanted.voters.keys() - present.voters.keys():
                self._seats_given_at.setdefault(member, []).append(now)
        return True

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
        if lost.keys() & voters.voters.keys() or not voters.voters.keys() <= self.announcements.keys():
            return None
        return self._with_better_places(voters, raft.me, self._eligible(caught_up, now))

    def tolerance(self, raft: Raft, now: float) -> Tolerance | None:
        """Returns which further losses the present voters survive; None until all of their places are known.

        A voter counts as lost once Raft has not heard it for `VERDICT_CONFIRMATION_S`.
        """
        voters = raft.log.configuration.all_voters()
        if not voters.keys() <= self.announcements.keys():
            return None
        lost = {id for id in voters if _is_silent(raft, id, now, VERDICT_CONFIRMATION_S)}
        return tolerance({id: self.announcements[id].locality for id in voters}, lost)

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

    def _eligible(self, caught_up: list[str], now: float) -> dict[str, Locality]:
        """Returns the places of those members that may get a seat though no voter is lost."""
        for member, times in list(self._seats_given_at.items()):
            self._seats_given_at[member] = [at for at in times if now - at < SEAT_WINDOW_S]
            if not self._seats_given_at[member]:
                del self._seats_given_at[member]
        may = [id for id in caught_up if len(self._seats_given_at.get(id, ())) < MAX_SEATS_GIVEN]
        return {id: self.announcements[id].locality for id in may}

    def _with_better_places(
        self, voters: ClusterConfiguration, me: str, candidates: dict[str, Locality]
    ) -> ClusterConfiguration | None:
        """Returns the configuration with the preferred number of voters, or with one seat moved, if that helps."""
        places = {id: self.announcements[id].locality for id in voters.voters}
        inputs = places, candidates, self.fault_budget
        if inputs == self._settled_places:
            return None
        members = {**places, **candidates}
        seats = preferred_seats(members, self.fault_budget)
        if seats > len(places):
            return _with_seats(voters, evenly_chosen(members, seats, places))
        if MIN_REDUCED_SEATS <= seats < len(places):
            return _with_seats(voters, evenly_chosen(places, seats, places.keys() & {me}))
        exchange = better_exchange(places, candidates, [me])
        if exchange is None:
            self._settled_places = inputs
            return None
        return _with_seats(voters, [*(places.keys() - {exchange.voter}), exchange.successor])

    def _neighbours(self, ids: dict[str, Address], id: str) -> tuple[int, int]:
        """Returns how many of the members share the region, and how many the zone, of this one."""
        at = self.announcements[id].locality
        places = [self.announcements[other].locality for other in ids if other in self.announcements]
        return sum(place.region == at.region for place in places), sum(place == at for place in places)


def _with_seats(present: ClusterConfiguration, voters: Collection[str]) -> ClusterConfiguration:
    """Returns the configuration in which these members are the voters and all others are learners."""
    members = present.members()
    return ClusterConfiguration(
        {id: members[id] for id in sorted(voters)},
        {id: address for id, address in members.items() if id not in voters},
    )


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
