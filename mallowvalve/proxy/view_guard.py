"""Bounds the age of the view on which a proxy acts: beyond it the proxy first asks for a confirmation.

The bound is below the time in which an acknowledged change has to hold, so what was acknowledged that long ago is in
every view that is acted on. The exception is a proxy that nobody answers: it goes on by the view it has.
"""

from __future__ import annotations

from collections.abc import Callable, Generator

from mallowvalve.control.replica import Replica
from mallowvalve.metrics import Counts, Distribution
from mallowvalve.proxy.host_request import HostRequest
from mallowvalve.proxy.steps import Step, WaitForCapacity

DRAIN_SHARE = 0.8
"""Share of the drain time that a view may be old; the rest is for the way to the upstream."""
MAX_WAIT_S = 0.4
"""How long a request waits for a confirmation: a few round trips between regions."""
MAX_WAIT_SHARE = 0.3
"""The same, as a share of the time that the request has left."""
POLL_S = 0.02
ASK_AGAIN_S = 1.0
"""How long requests do not wait after a first question to which nobody gave a confirmation; it doubles each time."""
ASK_AGAIN_MAX_S = 8.0
AGE_BOUNDS_S = (0.1, 0.25, 0.5, 1.0, 1.5, 2.0, 2.5, 4.0, 8.0, 16.0)


class ViewGuard:
    """Decides whether the replicated state is recent enough to send requests by it.

    `ask` starts to ask for a confirmation, or does nothing while a question is under way; it returns whether one is.
    """

    __slots__ = ("replica", "counts", "now", "max_age_s", "ask", "ages", "_asked_at", "_pause_s")

    def __init__(self, replica: Replica, drain_s: float, counts: Counts, now: Callable[[], float]) -> None:
        """`drain_s` is the time after which a leaving upstream must get no more requests (s)."""
        self.replica, self.counts, self.now = replica, counts, now
        self.max_age_s = DRAIN_SHARE * drain_s
        self.ask: Callable[[], bool] = lambda: False
        self.ages = Distribution(AGE_BOUNDS_S)
        self._asked_at = float("-inf")
        self._pause_s = 0.0

    def is_current(self, now: float) -> bool:
        """Returns whether a majority has confirmed the view recently enough."""
        return self.replica.age(now) <= self.max_age_s

    def must_wait(self, call: HostRequest, now: float) -> bool:
        """Returns whether a request has to wait for a confirmation: not if nobody gave one just before."""
        if self.is_current(now):
            return False
        is_asking = now < self._asked_at + MAX_WAIT_S and call.unconfirmed_question != self._asked_at
        return is_asking or now >= self._asked_at + max(self._pause_s, MAX_WAIT_S)

    def wait(self, call: HostRequest) -> Generator[Step, object, None]:
        """Waits until the view is confirmed, for a part of the request's time at most and once for each question."""
        now = self.now()
        if self.is_current(now):
            self._pause_s = 0.0
            return
        if not self.must_wait(call, now):
            return
        self._begin_question(now)
        if not self.ask():
            call.unconfirmed_question = self._asked_at
            return
        self.counts.add("view_asked")
        end = min(self._asked_at + MAX_WAIT_S, now + MAX_WAIT_SHARE * (call.end - now))
        while not self.is_current(now) and now < end:
            yield WaitForCapacity("", min(end, now + POLL_S))
            now = self.now()
        if self.is_current(now):
            self.counts.add("view_confirmed")
            return
        call.unconfirmed_question = self._asked_at
        self.counts.add("view_unconfirmed")

    def _begin_question(self, now: float) -> None:
        """Counts the time of a new question from now, unless one is under way."""
        if now >= self._asked_at + MAX_WAIT_S:
            self._asked_at = now
            self._pause_s = min(ASK_AGAIN_MAX_S, max(ASK_AGAIN_S, 2 * self._pause_s))

    def on_send(self, now: float) -> None:
        """Records the age of the view by which a request is sent."""
        self.ages.observe(self.replica.age(now))
        if not self.is_current(now):
            self.counts.add("sends_by_old_view")
