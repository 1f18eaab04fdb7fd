"""How a core machine starts: it founds a group, joins one, or gives up a state that another group has replaced."""

from __future__ import annotations

import msgspec

from mallowvalve.control.state import ReplicatedState
from mallowvalve.control.wire import ProcessStatus
from mallowvalve.raft.messages import ClusterConfiguration
from mallowvalve.types import Address

HOLD, HOLD_FOUND = 0.5, 2.0


class FoundGroup(msgspec.Struct, frozen=True):
    """`base` holds all if anybody does; `further` the settings part, where that went on beyond it."""

    generation: int
    voters: ClusterConfiguration
    base: ProcessStatus | None
    settings_source: ProcessStatus | None = None


class JoinGroup(msgspec.Struct, frozen=True):
    """Join the source's group, from its newest stored snapshot."""

    source: ProcessStatus


class WipeState(msgspec.Struct, frozen=True):
    """Forget the own state: it belongs to a group that another one has replaced."""

    pass


class NoAction(msgspec.Struct, frozen=True):
    """Do nothing yet."""

    why: str


Decision = FoundGroup | JoinGroup | WipeState | NoAction


class DecisionStabilizer:
    """Lets a decision stand only once it has held for a while."""

    __slots__ = ("_key", "_since")

    def __init__(self):
        """Nothing was decided yet."""
        self._key: object = None
        self._since = 0.0

    def confirm(self, v: Decision, now: float) -> Decision | None:
        """A decision, once it has been the same for long enough (s); None before."""
        key = (v.generation, v.voters) if isinstance(v, FoundGroup) else type(v)
        if key != self._key:
            self._key, self._since = key, now
        if isinstance(v, NoAction):
            return None
        held = now - self._since >= (HOLD_FOUND if isinstance(v, FoundGroup) else HOLD)
        return v if held or isinstance(v, JoinGroup) else None


def decide(me: ProcessStatus, answers: list[ProcessStatus], first_generation: int, nothing_committed: bool) -> Decision:
    """What to do by what others answer, and by what this process holds itself: it may know more than all of them."""
    known = [w for w in [*answers, me] if w.group is not None and w.voters is not None]
    best = max(known, key=lambda w: (w.group.generation, w.index), default=None)
    if best is None:
        return _first(me, answers, first_generation) if me.blank else NoAction("alone")
    if me.group is not None and best.group.generation == me.group.generation:
        strangers = [w for w in known if w.group.generation == me.group.generation and w.group != me.group]
        if strangers and nothing_committed and any(w.role == "control" and w.leader for w in strangers):
            return WipeState()
        return NoAction("member") if me.id in best.voters.all_voters() else _renew(me, answers, known, best)
    return _join(me, known, best) or (_renew(me, answers, known, best) if me.blank else NoAction("behind"))


def _first(me: ProcessStatus, answers: list[ProcessStatus], generation: int) -> Decision:
    if me.addr not in _circle(me):
        return NoAction("not a seed")
    by = {w.addr: w for w in answers} | {me.addr: me}
    silent = [a for a in _circle(me) if a not in by]
    if silent:
        return NoAction(f"silent seed {silent[0]}")
    core = sorted((by[a] for a in _circle(me) if by[a].role == "control"), key=lambda w: w.addr)
    odd = [w for w in core if not w.blank or set(_circle(w)) != set(_circle(me))]
    if odd:
        return NoAction(f"seed {odd[0].addr} lists other seeds or is not blank")
    if me.addr not in me.seeds and any(me.addr not in w.seeds for w in core if w.addr != me.addr):
        return NoAction("not a seed of the others")
    if core[0].addr != me.addr:
        return NoAction(f"{core[0].addr} founds")
    return FoundGroup(generation, ClusterConfiguration({w.id: w.addr for w in core}), None)


def _circle(w: ProcessStatus) -> list[Address]:
    return sorted({*w.seeds, w.addr})


def _join(me: ProcessStatus, known: list[ProcessStatus], best: ProcessStatus) -> Decision | None:
    homes = [w for w in known if w.group == best.group and w.role == "control"]
    for w in homes:
        if w.voters.address(me.id) is not None:
            return JoinGroup(w)
    if homes and not me.blank and me.group.generation < best.group.generation:
        return WipeState()
    return None


def _renew(
    me: ProcessStatus, answers: list[ProcessStatus], known: list[ProcessStatus], best: ProcessStatus
) -> Decision:
    """Founds anew if most voters of the newest configuration, and of each set of a joint one, came back empty."""
    control = [w for w in [*answers, me] if w.role == "control"]
    alive, at = {w.id for w in control}, {w.addr: w for w in control}
    last = best.voters.voters
    lost = {i: at[a] for i, a in best.voters.all_voters().items() if i not in alive and a in at}
    for part in (last, best.voters.old_voters):
        gone = len(part.keys() & lost.keys())
        if part and 2 * gone <= len(part):
            return NoAction(f"{gone} of {len(part)} voters came back empty")
    founder = min(w.addr for w in lost.values())
    if founder != me.addr:
        return NoAction(f"{founder} founds anew")
    voters = {(lost[i].id if i in lost else i): a for i, a in last.items()}
    return FoundGroup(best.group.generation + 1, ClusterConfiguration(voters), *sources(known, best))


def sources(known: list[ProcessStatus], best: ProcessStatus) -> tuple[ProcessStatus, ProcessStatus | None]:
    """Whose whole state to go on from, and who knows the settings part further than that."""
    whole = max((w for w in known if w.holds_all and w.group == best.group), key=lambda w: w.index, default=best)
    return whole, best if best.index > whole.index else None


def roster_majority_answered(base: ReplicatedState, answers: list[ProcessStatus]) -> bool:
    """Whether enough of the roster answered to found anew: no acknowledged settings are held by the rest alone."""
    roster = base.settings.roster
    heard = {str(w.addr) for w in answers}
    return not roster or 2 * len(heard & roster.keys()) > len(roster)
