"""Faults injected into the product or its pages for a run; each disables the mechanism behind a guarantee."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from unittest.mock import patch

from mallowvalve.control.core import Core
from mallowvalve.control.leave import Leave
from mallowvalve.control.member_addresses import MemberAddresses
from mallowvalve.control.reconfiguration import MemberObservations
from mallowvalve.control.wire import CommandResponse
from mallowvalve.coordination.plain import Count, Take
from mallowvalve.raft.raft import Raft
from sim import control_api, pages
from sim.control_api import ControlApiNode
from sim.worst_days import play_day

REPEAT_DELAY_S = 4.0
FaultInjection = Callable[[], AbstractContextManager]
original_patch = ControlApiNode._patch
original_page = ControlApiNode._page


def conflicts_confirmed() -> AbstractContextManager:
    """The page answers 200 to a change that failed with a conflict."""

    def lenient(self, c, say) -> None:
        original_patch(self, c, lambda a: say(pages.Answer(pages.OK) if a.status == pages.CONFLICT else a))

    return patch.object(ControlApiNode, "_patch", lenient)


def reads_unconfirmed() -> AbstractContextManager:
    """A read is answered from the local state, without a confirmation by a majority."""

    def read(self, token, limit, now) -> None:
        has_state = self.state is not None
        response = CommandResponse("ok", self.state.revision) if has_state else CommandResponse("leader")
        self.replies.append((token, response))

    return patch.object(Core, "read", read)


def watches_unconfirmed() -> AbstractContextManager:
    """Every state counts as recent enough to serve watches."""
    return patch.object(Core, "current", lambda self, now: self.raft is not None)


def commits_without_majority() -> AbstractContextManager:
    """Entries that only the leader has saved count as committed."""

    def advance(self) -> None:
        index = self._saved_index
        if index > self.commit_index and self.log.term(index) == self.term:
            self.commit_index = self.known_commit_index = index

    return patch.object(Raft, "_advance", advance)


def voters_never_replaced() -> AbstractContextManager:
    """The voters and learners of the core never change."""
    return patch.object(MemberObservations, "next_voters", lambda self, raft, now: None)


def leaves_without_successor() -> AbstractContextManager:
    """A member that is asked to stop leaves at once, even if no other member has its state."""
    return patch.object(Leave, "may_leave", lambda self, *a: True)


def addresses_by_configuration() -> AbstractContextManager:
    """Messages go to the configuration's address of the receiver, even if the receiver reported another one."""
    return patch.object(MemberAddresses, "lookup", lambda self, member, voters: voters.address(member))


@contextmanager
def departed_callers_served() -> Iterator[None]:
    """A call runs although its caller has closed the connection or the last contact with a majority is too old."""
    gone = patch.object(control_api, "_has_left", lambda say: False)
    out_of_touch = patch.object(ControlApiNode, "_may_begin", lambda self, say: True)
    with gone, out_of_touch:
        yield


def snapshots_lost() -> AbstractContextManager:
    """A member whose log lacks the compacted entries ignores snapshots."""
    return patch.object(Raft, "_on_install_snapshot", lambda self, src, m, now: None)


def _repeated(chosen: Callable[[pages.Page], bool]) -> AbstractContextManager:
    """The page runs a call a second time, as a separate call, some seconds after the first."""

    def twice(self, page, say) -> None:
        original_page(self, page, say)
        if chosen(page):
            self.wake(REPEAT_DELAY_S, lambda: original_page(self, page, lambda answer: None))

    return patch.object(ControlApiNode, "_page", twice)


def evacuations_repeated() -> AbstractContextManager:
    """Each change of a zone's evacuation is repeated seconds later."""
    return _repeated(lambda page: isinstance(page, pages.TurnZone))


def takes_repeated() -> AbstractContextManager:
    """Each `Take` is repeated seconds later."""
    return _repeated(lambda page: isinstance(page, pages.Coordinate) and isinstance(page.command, Take))


def counts_repeated() -> AbstractContextManager:
    """Each `Count` is repeated seconds later."""
    return _repeated(lambda page: isinstance(page, pages.Coordinate) and isinstance(page.command, Count))


def contact_always_recent() -> AbstractContextManager:
    """A process considers its contact with the majority recent at all times."""
    return patch.object(ControlApiNode, "_in_touch", lambda self: True)


def play_with_fault(fault: FaultInjection, day: str, seed: int) -> list[str]:
    """Returns the findings of one seeded day with the fault injected."""
    with fault():
        return play_day(day, seed)[0]
