"""How a member finds the others: requests to its seeds at its start, later contact with absent and failed members."""

from __future__ import annotations

import random

from mallowvalve.membership.dissemination import Dissemination
from mallowvalve.membership.wire import FAILED, LEAVING, MemberRecord, RequestedRecords, Sum, Tell
from mallowvalve.types import Address

DIGEST_RETENTION_S = 60.0
"""The time after which a member that failed or left is removed from digests, and contacted less often."""
JOIN_INTERVAL_S = 0.25
"""The interval between two requests of a joining member to its seeds."""
JOIN_MAX_S = 10.0
"""The maximum time for which a joining member sends requests to its seeds."""
CONTACTS_PER_PERIOD = 16
"""How many members of the whole group contact a failed member in a period, on average."""
CONTACTED_MEMBERS_MAX = 8
"""The maximum number of failed members that one member contacts in a period."""
SEED_CONTACT_PERIODS = 4
"""The periods between two requests to seeds that are not in the view, while other members are."""
JOIN_SEEDS_MAX = 8
"""The maximum number of seeds contacted at once before a member knows any other."""
JOINED_SEEDS_MAX = 2
"""The maximum number of seeds contacted at once after that."""


class Joining(Dissemination):
    """A member that joins the group through its seeds, and keeps looking for those that are absent from its view."""

    __slots__ = ("seeds", "_contact_rounds", "_started_at", "_join_at", "_joined", "_synced")

    def __init__(self, me: MemberRecord, fleet: str, seeds: list[Address], rng: random.Random) -> None:
        """Creates a member that knows nobody."""
        super().__init__(me, fleet, rng)
        self.seeds = [seed for seed in seeds if seed != me.addr]
        self._contact_rounds = 0
        self._started_at = 0.0
        self._join_at: float | None = None
        self._joined = False
        self._synced = False

    def _request_join(self, now: float) -> None:
        """Requests records until all seeds are alive here and a peer's digest agrees, for at most `JOIN_MAX_S`."""
        absent = self._absent_seeds()
        if now > self._started_at + JOIN_MAX_S or self._synced and not absent or not self.seeds and not self._view.live:
            self._join_at = None
            return
        self._join_at = now + JOIN_INTERVAL_S
        for seed in self.rng.sample(absent, min(len(absent), JOINED_SEEDS_MAX if self._joined else JOIN_SEEDS_MAX)):
            self._send(seed, Tell(self._header(), [self.me], RequestedRecords.ALL))
        if self._view.live:
            self._send(self.rng.choice(self._view.live), Sum(self._header(), self._digest.total, True))

    def _absent_seeds(self) -> list[Address]:
        """Returns the seeds that are not alive in the view."""
        return [seed for seed in self.seeds if seed not in self.view or self.view[seed].state > LEAVING]

    def _contact_absent(self, now: float) -> None:
        """Contacts seeds that are not alive in the view, and members recorded as failed."""
        self._contact_rounds += 1
        live = self._view.live
        absent = self._absent_seeds()
        if absent and (not live or self._contact_rounds % SEED_CONTACT_PERIODS == 0):
            for seed in absent if not live else [self.rng.choice(absent)]:
                self._send(seed, Tell(self._header(), [self.me], RequestedRecords.ALL))
        members = len(live) + 1
        for address, since in self.rng.sample(
            list(self._departed_at.items()), min(len(self._departed_at), CONTACTED_MEMBERS_MAX)
        ):
            chance = (
                CONTACTS_PER_PERIOD / members if now - since < DIGEST_RETENTION_S else CONTACTS_PER_PERIOD / members / 4
            )
            if self.view[address].state == FAILED and self.rng.random() < chance:
                self._send(address, Sum(self._header(), self._digest.total, False))
