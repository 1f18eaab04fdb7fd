"""Asks control processes to confirm the state that a replica holds, beside the task that follows the leader.

The task that follows may still wait for a leader that is gone, or for its answer to a question from before this process
stood still. This question goes to several processes at once and takes a few round trips.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

import gevent

from mallowvalve import clock
from mallowvalve.control import wire
from mallowvalve.control.replica import Replica
from mallowvalve.types import Address

TIMEOUT_S = 0.4
PAUSE_S = 0.03
"""Between two questions to a leader that a majority has not confirmed since the first."""

RequestEntries = Callable[[Address, float, float], wire.ReplicationResponse | None]
HandleResponse = Callable[[Address, wire.ReplicationResponse], None]


class Confirmation:
    """One question at a time; `request` and `handle` are those of the task that follows the leader."""

    __slots__ = ("_replica", "_request", "_handle", "_job")

    def __init__(self, replica: Replica, request: RequestEntries, handle: HandleResponse) -> None:
        """Asks nothing yet."""
        self._replica, self._request, self._handle = replica, request, handle
        self._job: gevent.Greenlet | None = None

    def ask(self, controls: Sequence[Address]) -> bool:
        """Starts to ask the leader and `controls`; returns whether a question is under way: not without a state."""
        if self._replica.state is None:
            return False
        if self._job is None or self._job.ready():
            self._job = gevent.spawn(self._ask_all, controls)
        return True

    def _ask_all(self, controls: Sequence[Address]) -> None:
        began_at = clock.now()
        leader = self._replica.leader
        first = [leader] if leader is not None else []
        addresses = [*first, *(address for address in controls if address != leader)]
        asked = set(addresses)
        gevent.joinall([gevent.spawn(self._ask_one, address, asked, began_at) for address in addresses])

    def _ask_one(self, address: Address, asked: set[Address], began_at: float) -> None:
        """Asks a process until it has confirmed the state, or the leader that it names if nobody asks that one."""
        while self._replica.confirmed_at < began_at and (left := began_at + TIMEOUT_S - clock.now()) > 0:
            response = self._request(address, 0.0, left)
            if response is None:
                return
            if response.group is None:
                if response.leader is not None and response.leader not in asked:
                    asked.add(response.leader)
                    self._ask_one(response.leader, asked, began_at)
                return
            if self._replica.is_older_generation(response.group):
                return
            self._handle(address, response)
            gevent.sleep(PAUSE_S)
