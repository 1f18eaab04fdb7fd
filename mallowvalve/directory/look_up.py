"""Look-ups without sockets: the selection from the current membership, and the time to live of an answer."""

from __future__ import annotations

from collections.abc import Callable, Collection

from mallowvalve.directory.answer import PROXY_ROLE, STABLE_REASONS, Choice, ProxyView, Reason, choose_proxies
from mallowvalve.membership.members import RETURN_WINDOW_S, ClusterMembership
from mallowvalve.membership.wire import MemberRecord
from mallowvalve.types import Address, Locality

ANSWER_TTL_S = 2.0

SHORT_ANSWER_TTL_S = 1.0
"""Time to live of an answer whose reason is expected to change soon."""

WAIT_WITHOUT_HOMES_S = 0.3
"""How long clients without home regions are refused; clients with home regions are refused for a restart's time."""

REFUSAL_MAX_AGE_S = 10.0
"""How long clients report a proxy that refused them; a proxy known for less than this has started since."""

MAX_TRACKED_WAITS = 1024
"""Client groups for which the start of the refusals is stored, at most."""

ClientGroup = tuple[str, frozenset[str] | None]
"""A client's region and the home regions of the requested host or tenant."""


class Directory:
    """Answers look-ups from one member's view of the membership; `now` returns the monotonic time in seconds."""

    __slots__ = ("members", "now", "_refused_since")

    def __init__(self, members: ClusterMembership, now: Callable[[], float]) -> None:
        """Creates a directory that has refused nobody yet."""
        self.members = members
        self.now = now
        self._refused_since: dict[ClientGroup, float] = {}

    def look_up(
        self,
        near: Locality,
        homes: frozenset[str] | None,
        avoid: Collection[Address] = (),
        usable: Callable[[MemberRecord], bool] | None = None,
    ) -> Choice:
        """Returns the proxies for a client at `near` and a host or tenant with these home regions.

        A choice without proxies is a refusal. `avoid` are the web addresses of proxies that refused the client; they
        are treated as suspected, unless they have started since, as the refusal came from the previous process.
        Shortly after its own start the directory refuses instead of naming proxies of another region, because its
        membership may be incomplete.
        """
        alive = self.members.alive(PROXY_ROLE)
        view = ProxyView(
            alive if usable is None else [record for record in alive if usable(record)],
            lambda: self.members.departed(PROXY_ROLE),
            lambda record: self._has_refused_client(record, avoid) or self.members.suspects(record),
        )
        choice = choose_proxies(view, near, homes)
        if choice.reason is Reason.RETURNING and self._has_waited((near.region, homes)):
            choice = choose_proxies(view, near, homes, wait_for_return=False)
        elif choice.reason is not Reason.RETURNING:
            self._refused_since.pop((near.region, homes), None)
        if choice.regions() not in ([], [near.region]) and not self.members.settled():
            return Choice([], Reason.NOT_SETTLED)
        return choice

    def probe_proxies(self, region: str, choice: Choice) -> None:
        """Probes the proxy of an answer that names only one, so that its failure is noticed early.

        Suspected proxies of the region are probed too, so that the first ack ends the suspicion.
        """
        if len(choice.proxies) == 1:
            self.members.probe(choice.proxies[0])
        if choice.reason in STABLE_REASONS:
            return
        for record in self.members.alive(PROXY_ROLE):
            if record.locality.region == region and self.members.suspects(record):
                self.members.probe(record)

    def _has_refused_client(self, record: MemberRecord, avoid: Collection[Address]) -> bool:
        return record.web in avoid and self.members.known_for(record) >= REFUSAL_MAX_AGE_S

    def _has_waited(self, group: ClientGroup) -> bool:
        """Returns whether these clients have been refused for as long as a wait is useful to them."""
        now = self.now()
        max_wait_s = WAIT_WITHOUT_HOMES_S if group[1] is None else RETURN_WINDOW_S
        if group not in self._refused_since and len(self._refused_since) >= MAX_TRACKED_WAITS:
            self._refused_since.clear()
        return now - self._refused_since.setdefault(group, now) >= max_wait_s


def answer_ttl_s(choice: Choice) -> float:
    """Returns how long a client may use an answer (s)."""
    return ANSWER_TTL_S if choice.reason in STABLE_REASONS else SHORT_ANSWER_TTL_S
