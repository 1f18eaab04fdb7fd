"""Decides how a control process starts: it founds a group, joins one, or wipes a state that another group replaced."""

from __future__ import annotations

import msgspec

from mallowvalve.control.state import ReplicatedState
from mallowvalve.control.wire import ProcessStatus
from mallowvalve.raft.messages import ClusterConfiguration
from mallowvalve.types import Address

DECISION_DELAY_S = 0.5
FOUNDING_DELAY_S = 2.0


class FoundGroup(msgspec.Struct, frozen=True):
    """Found a group from the whole state of `base`, if any, and newer settings of `settings_source`, if any."""

    generation: int
    voters: ClusterConfiguration
    base: ProcessStatus | None
    settings_source: ProcessStatus | None = None


class JoinGroup(msgspec.Struct, frozen=True):
    """Join the group of the source from its newest stored snapshot."""

    source: ProcessStatus


class WipeState(msgspec.Struct, frozen=True):
    """Delete the local state, as another group has replaced its group."""

    pass


class NoAction(msgspec.Struct, frozen=True):
    """Take no action yet, for the given reason."""

    reason: str


Decision = FoundGroup | JoinGroup | WipeState | NoAction


class DecisionStabilizer:
    """Confirms a decision only once it has stayed the same for a while; joining needs no confirmation."""

    __slots__ = ("_key", "_since")

    def __init__(self) -> None:
        """Creates a stabilizer without a decision."""
        self._key: object = None
        self._since = 0.0

    def confirm(self, decision: Decision, now: float) -> Decision | None:
        """Returns the decision once it has stayed the same for long enough (s), None before."""
        key = (decision.generation, decision.voters) if isinstance(decision, FoundGroup) else type(decision)
        if key != self._key:
            self._key, self._since = key, now
        if isinstance(decision, NoAction):
            return None
        confirmed = now - self._since >= (FOUNDING_DELAY_S if isinstance(decision, FoundGroup) else DECISION_DELAY_S)
        return decision if confirmed or isinstance(decision, JoinGroup) else None


def decide(me: ProcessStatus, answers: list[ProcessStatus], first_generation: int, nothing_committed: bool) -> Decision:
    """Decides from the statuses of others and of this process, which may know more than all of them."""
    known = [status for status in [*answers, me] if status.group is not None and status.voters is not None]
    best = max(known, key=lambda status: (status.generation, status.index), default=None)
    if best is None:
        return _decide_first_group(me, answers, first_generation) if me.blank else NoAction("alone")
    if me.group is not None and best.generation == me.generation:
        same_generation = [status for status in known if status.generation == me.generation]
        strangers = [status for status in same_generation if status.group != me.group]
        if strangers and nothing_committed and any(other.role == "control" and other.leader for other in strangers):
            return WipeState()
        is_member = me.id in best.configuration.all_voters()
        return NoAction("member") if is_member else _decide_new_group(me, answers, known, best)
    return _decide_join(me, known, best) or (
        _decide_new_group(me, answers, known, best) if me.blank else NoAction("behind")
    )


def _decide_first_group(me: ProcessStatus, answers: list[ProcessStatus], generation: int) -> Decision:
    """Founds the first group at the lowest address, once all seeds are blank and list the same seeds."""
    if me.addr not in _seed_set(me):
        return NoAction("not a seed")
    by_address = {status.addr: status for status in answers} | {me.addr: me}
    silent = [address for address in _seed_set(me) if address not in by_address]
    if silent:
        return NoAction(f"silent seed {silent[0]}")
    seeds = [by_address[address] for address in _seed_set(me)]
    core = sorted((status for status in seeds if status.role == "control"), key=lambda status: status.addr)
    odd = [status for status in core if not status.blank or set(_seed_set(status)) != set(_seed_set(me))]
    if odd:
        return NoAction(f"seed {odd[0].addr} lists other seeds or is not blank")
    if me.addr not in me.seeds and any(me.addr not in status.seeds for status in core if status.addr != me.addr):
        return NoAction("not a seed of the others")
    if core[0].addr != me.addr:
        return NoAction(f"{core[0].addr} founds")
    return FoundGroup(generation, ClusterConfiguration({status.id: status.addr for status in core}), None)


def _seed_set(status: ProcessStatus) -> list[Address]:
    return sorted({*status.seeds, status.addr})


def _decide_join(me: ProcessStatus, known: list[ProcessStatus], best: ProcessStatus) -> Decision | None:
    members = [status for status in known if status.group == best.group and status.role == "control"]
    for member in members:
        if member.configuration.address(me.id) is not None:
            return JoinGroup(member)
    if members and not me.blank and me.generation < best.generation:
        return WipeState()
    return None


def _decide_new_group(
    me: ProcessStatus, answers: list[ProcessStatus], known: list[ProcessStatus], best: ProcessStatus
) -> Decision:
    """Founds a new generation if a majority of each voter set of the newest configuration came back empty."""
    control = [status for status in [*answers, me] if status.role == "control"]
    alive, by_address = {status.id for status in control}, {status.addr: status for status in control}
    voters = best.configuration.voters
    lost = {
        member: by_address[address]
        for member, address in best.configuration.all_voters().items()
        if member not in alive and address in by_address
    }
    for voter_set in (voters, best.configuration.old_voters):
        empty = len(voter_set.keys() & lost.keys())
        if voter_set and 2 * empty <= len(voter_set):
            return NoAction(f"{empty} of {len(voter_set)} voters came back empty")
    founder = min(status.addr for status in lost.values())
    if founder != me.addr:
        return NoAction(f"{founder} founds a new generation")
    new_voters = {(lost[member].id if member in lost else member): address for member, address in voters.items()}
    return FoundGroup(best.generation + 1, ClusterConfiguration(new_voters), *sources(known, best))


def sources(known: list[ProcessStatus], best: ProcessStatus) -> tuple[ProcessStatus, ProcessStatus | None]:
    """Returns the source of the whole state, and that of the settings part if that is newer."""
    whole_states = (status for status in known if status.holds_all and status.group == best.group)
    whole = max(whole_states, key=lambda status: status.index, default=best)
    return whole, best if best.index > whole.index else None


def roster_majority_answered(base: ReplicatedState, answers: list[ProcessStatus]) -> bool:
    """Whether a majority of the roster answered, so that no acknowledged settings are held only by the rest."""
    roster = base.settings.roster
    answered = {str(status.addr) for status in answers}
    return not roster or 2 * len(answered & roster.keys()) > len(roster)
