"""Breaches planted into the product or its pages for a run: each takes out what some promise of the core rests on."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from unittest.mock import patch

from mallowvalve.control.core import Core
from mallowvalve.control.leave import Leave
from mallowvalve.control.member_addresses import MemberAddresses
from mallowvalve.control.reconfiguration import Members
from mallowvalve.control.wire import CommandResponse
from mallowvalve.coordination.plain import Count, Take
from mallowvalve.raft.raft import Raft
from sim import control_api, pages
from sim.control_api import ControlApiNode
from sim.worst_days import play_day

AGAIN_S = 4.0
Plant = Callable[[], AbstractContextManager]
whole_patch = ControlApiNode._patch
whole_page = ControlApiNode._page


def conflicts_confirmed() -> AbstractContextManager:
    """The page answers 200 to an order that lost its race."""

    def lenient(self, c, say) -> None:
        whole_patch(self, c, lambda a: say(pages.Answer(pages.OK) if a.status == pages.CONFLICT else a))

    return patch.object(ControlApiNode, "_patch", lenient)


def reads_unconfirmed() -> AbstractContextManager:
    """A read is answered by what this machine has, without a round to a majority."""

    def read(self, token, limit, now) -> None:
        ok = self.state is not None
        self.replies.append((token, CommandResponse("ok", self.state.revision) if ok else CommandResponse("leader")))

    return patch.object(Core, "read", read)


def watches_unconfirmed() -> AbstractContextManager:
    """Any state counts as current."""
    return patch.object(Core, "current", lambda self, now: self.raft is not None)


def committed_alone() -> AbstractContextManager:
    """What the leader has on its own disk counts as committed."""

    def advance(self) -> None:
        n = self._saved_index
        if n > self.commit_index and self.log.term(n) == self.term:
            self.commit_index = self.known_commit_index = n

    return patch.object(Raft, "_advance", advance)


def never_repaired() -> AbstractContextManager:
    """The membership of the core never changes."""
    return patch.object(Members, "next_voters", lambda self, raft, now: None)


def leaves_at_once() -> AbstractContextManager:
    """A member that is told to stop ends at once, whoever else holds what it holds."""
    return patch.object(Leave, "over", lambda self, *a: True)


def addresses_by_configuration() -> AbstractContextManager:
    """A member's messages go where its configuration has the receiver, whatever that one says itself."""
    return patch.object(MemberAddresses, "of", lambda self, member, voters: voters.address(member))


@contextmanager
def callers_gone_served() -> Iterator[None]:
    """A call is run although its caller has closed the connection, and however long ago a majority was heard."""
    gone = patch.object(control_api, "_has_left", lambda say: False)
    out_of_touch = patch.object(ControlApiNode, "_may_begin", lambda self, say: True)
    with gone, out_of_touch:
        yield


def snapshots_lost() -> AbstractContextManager:
    """A member that lacks what the log begins with takes no snapshot."""
    return patch.object(Raft, "_on_install_snapshot", lambda self, src, m, now: None)


def _said_again(chosen: Callable[[pages.Page], bool]) -> AbstractContextManager:
    """The page runs a call a second time, as a call of its own, some seconds after its caller went on."""

    def twice(self, p, say) -> None:
        whole_page(self, p, say)
        if chosen(p):
            self.wake(AGAIN_S, lambda: whole_page(self, p, lambda a: None))

    return patch.object(ControlApiNode, "_page", twice)


def evacuations_late() -> AbstractContextManager:
    """Each order of a zone comes once more, seconds later."""
    return _said_again(lambda p: isinstance(p, pages.TurnZone))


def takes_late() -> AbstractContextManager:
    """Each take comes once more, seconds later."""
    return _said_again(lambda p: isinstance(p, pages.Coordinate) and isinstance(p.command, Take))


def counted_twice() -> AbstractContextManager:
    """Each call for a number counts once more, seconds later."""
    return _said_again(lambda p: isinstance(p, pages.Coordinate) and isinstance(p.command, Count))


def beats_always() -> AbstractContextManager:
    """A machine thinks itself in touch whatever it hears."""
    return patch.object(ControlApiNode, "_in_touch", lambda self: True)


def play_planted(plant: Plant, day: str, seed: int) -> list[str]:
    """The findings of one seeded day with the breach in it."""
    with plant():
        return play_day(day, seed)[0]
