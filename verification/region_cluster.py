"""A cluster whose members lie in regions, of which one at a time is lost and comes back."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from mallowvalve.control.voter_placement import evenly_chosen, spread
from mallowvalve.types import Locality
from verification import steps
from verification.bounds import Bounds
from verification.control_cluster import ControlCluster
from verification.control_member import ControlMember
from verification.scheduler import STEP_WEIGHTS

TICK_S = 0.1
ANNOUNCEMENT_TICKS = 5
SETTLE_S = 8.0
"""How long all is calm before a region is lost: former losses are over then."""

OUTAGE_S = 8.0
CATCH_UP_S = 4.0
"""From the return of a region to the moment at which another may be lost (`catch-up-s` of the platform)."""

REGION_WEIGHTS = {**STEP_WEIGHTS, steps.LoseRegion: 10}
REGION_PATH_STEPS = 100


class RegionMember(ControlMember):
    """A member of the control plane; the number in its name tells its region."""

    __slots__ = ()
    regions = 3

    @classmethod
    def locality_of(cls, name: str) -> Locality:
        """Returns the place of a member."""
        region = f"r{int(name[1:]) % cls.regions}"
        return Locality(region, f"{region}z")


class RegionCluster(ControlCluster):
    """Members of the control plane in `RegionMember.regions` regions.

    While one region is lost and all else is calm, the others have a leader; `CATCH_UP_S` after its return the voters
    are spread as evenly as the places of the members allow.
    """

    __slots__ = ()

    def __init__(self, bounds: Bounds, seed: int | None = None, raft_class=None):
        """Requires a seed, as `ControlCluster` does."""
        super().__init__(bounds, seed=seed, member_class=RegionMember)

    def _apply_step(self, step: steps.Step) -> str | None:
        if not isinstance(step, steps.LoseRegion):
            return super()._apply_step(step)
        self._count_event("outages")
        lost = {name for name in self.members if RegionMember.locality_of(name).region == step.region}
        return (
            self._pass_calmly(SETTLE_S, set())
            or self._uneven("after a calm")
            or self._lose(lost)
            or self._pass_calmly(OUTAGE_S, lost)
            or self._without_leader(lost)
            or self._pass_calmly(CATCH_UP_S, set())
            or self._uneven(f"after {step.region} was lost")
        )

    def _outage_options(self) -> Iterator[steps.Step]:
        if self._allows("outages"):
            yield from (steps.LoseRegion(f"r{number}") for number in range(RegionMember.regions))

    def _lose(self, lost: set[str]) -> None:
        """Takes the power from members; what was on its way to them is lost."""
        for name in lost:
            self.members[name].crash(0)
        self._drop_messages(lost)

    def _drop_messages(self, lost: set[str]) -> None:
        for key in [key for key in self.in_flight if key[1] in lost]:
            del self.in_flight[key]

    def _pass_calmly(self, seconds: float, lost: set[str]) -> str | None:
        """Lets time pass, in which members act at once and all messages arrive in order; not those of lost members."""
        running = [name for name in self.members if name not in lost]
        for tick in range(round(seconds / TICK_S)):
            for member in self.members.values():
                member.now += TICK_S
            broken = self._act(running) or self._deliver_all(lost)
            if broken:
                return broken
            if tick % ANNOUNCEMENT_TICKS == 0:
                self._announce(running)
        return None

    def _act(self, running: list[str]) -> str | None:
        for name in running:
            member = self.members[name]
            broken = None if member.pending_save is not None else self._send_and_check(name, member.step())
            broken = broken or self._save(name)
            if broken:
                return broken
        return None

    def _save(self, name: str) -> str | None:
        member = self.members[name]
        while member.pending_save is not None:
            broken = self._send_and_check(name, member.save())
            if broken:
                return broken
        return None

    def _deliver_all(self, lost: set[str]) -> str | None:
        self._drop_messages(lost)
        while self.in_flight:
            sender, to, text = next(iter(self.in_flight))
            broken = super()._apply_step(steps.DeliverMessage(sender, to, text)) or self._save(to)
            if broken:
                return broken
            self._drop_messages(lost)
        return None

    def _announce(self, running: list[str]) -> None:
        for leader in running:
            if self.members[leader].raft.leads:
                for name in running:
                    self._send(leader, self.members[leader].receive_status(self.members[name].process_status(False)))
                self._save(leader)

    def _leaders(self, lost: set[str] = frozenset()) -> list[ControlMember]:
        return [member for name, member in self.members.items() if name not in lost and member.core.leads]

    def _without_leader(self, lost: set[str]) -> str | None:
        if self._leaders(lost):
            return None
        return f"no majority: {sorted(lost)} are lost, and nobody leads"

    def _uneven(self, when: str) -> str | None:
        leaders = self._leaders()
        if not leaders:
            return f"no majority: nobody leads {when}"
        voters = leaders[0].raft.log.configuration.voters
        places = {name: RegionMember.locality_of(name) for name in self.members}
        best = evenly_chosen(places, len(voters))
        if spread(places[name] for name in voters) == spread(places[name] for name in best):
            return None
        return f"uneven voters: {dict(Counter(places[name].region for name in voters))} {when}"
