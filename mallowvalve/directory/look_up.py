"""A look-up, without sockets: the choice by the membership of now, and for how long the client may go by it."""

from __future__ import annotations

from collections.abc import Callable, Collection

from mallowvalve.directory.answer import PROXY_ROLE, STABLE_REASONS, Choice, ProxyView, Reason, choose_proxies
from mallowvalve.membership.members import RETURN_WINDOW_S, ClusterMembership
from mallowvalve.membership.wire import MemberRecord
from mallowvalve.types import Address, Locality

ANSWER_TTL_S, SHORT_ANSWER_TTL_S = 2.0, 1.0
"""How long a client may go by an answer, and by one whose reason soon passes (s)."""

WAIT_WITHOUT_HOMES_S = 0.3
"""For how long nobody is named to clients for whom another region is as good (s); with homes it is a restart's time."""

REFUSAL_MAX_AGE_S = 10.0
"""For how long a client may name a proxy that refused it; one that started later than that may be meant no more (s)."""

MOST_WAITS = 1024
"""Places and homes for which it is remembered since when they are refused."""

Wait = tuple[str, frozenset[str] | None]
"""A client's region and the homes of what it asks for."""


class Directory:
    """Answers look-ups by what one member knows; `now` gives seconds of its steady clock."""

    __slots__ = ("members", "now", "_waits")

    def __init__(self, members: ClusterMembership, now: Callable[[], float]) -> None:
        """Nobody was refused yet."""
        self.members = members
        self.now = now
        self._waits: dict[Wait, float] = {}

    def look_up(
        self,
        near: Locality,
        homes: frozenset[str] | None,
        avoid: Collection[Address] = (),
        usable: Callable[[MemberRecord], bool] | None = None,
    ) -> Choice:
        """Who is named to a client at this place, for a host or tenant with these homes; nobody is a refusal.

        `avoid` are proxies that refused the client, by their web address; they are doubted as silent ones are, but
        for those that have started since: it was an earlier life that refused. A process that has just started refuses
        what would lead a client away, as it may not know who else is there.
        """
        alive = self.members.alive(PROXY_ROLE)
        known = ProxyView(
            alive if usable is None else [record for record in alive if usable(record)],
            lambda: self.members.departed(PROXY_ROLE),
            lambda record: self._refused(record, avoid) or self.members.suspects(record),
        )
        choice = choose_proxies(known, near, homes)
        if choice.reason is Reason.RETURNING and self._has_waited((near.region, homes)):
            choice = choose_proxies(known, near, homes, patient=False)
        elif choice.reason is not Reason.RETURNING:
            self._waits.pop((near.region, homes), None)
        if choice.regions() not in ([], [near.region]) and not self.members.settled():
            return Choice([], Reason.NOT_SETTLED)
        return choice

    def probe_proxies(self, region: str, choice: Choice) -> None:
        """Where an answer rests on one proxy alone, see that it lives: a ping now and then, by whoever names it.

        Those of the region that are doubted are pinged on, so that the first ack ends the doubt.
        """
        if len(choice.proxies) == 1:
            self.members.probe(choice.proxies[0])
        if choice.reason in STABLE_REASONS:
            return
        for record in self.members.alive(PROXY_ROLE):
            if record.locality.region == region and self.members.suspects(record):
                self.members.probe(record)

    def _refused(self, record: MemberRecord, avoid: Collection[Address]) -> bool:
        return record.web in avoid and self.members.known_for(record) >= REFUSAL_MAX_AGE_S

    def _has_waited(self, wait: Wait) -> bool:
        """Whether these clients have been refused for as long as it is worth to them."""
        now = self.now()
        patience = WAIT_WITHOUT_HOMES_S if wait[1] is None else RETURN_WINDOW_S
        if wait not in self._waits and len(self._waits) >= MOST_WAITS:
            self._waits.clear()
        return now - self._waits.setdefault(wait, now) >= patience


def answer_ttl_s(choice: Choice) -> float:
    """How long a client may go by an answer (s)."""
    return ANSWER_TTL_S if choice.reason in STABLE_REASONS else SHORT_ANSWER_TTL_S
