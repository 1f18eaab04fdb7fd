"""Where the members of the core are reached.

The configuration in a member's log may be older than the addresses of today: a learner starts from a snapshot that can
go back to the founding and names none of the present members, and a voter may return at another address with its disk.
Messages that went by the configuration alone would be lost, answers among them, and with them the log that holds the
newer configuration. So a member's own newest word decides, and the configuration only for those not heard yet.
"""

from __future__ import annotations

from mallowvalve.raft.messages import ClusterConfiguration
from mallowvalve.types import Address

REMEMBERED = 64
"""How many members' addresses are remembered: several times the largest core with its learners."""


class MemberAddresses:
    """The address that each member named itself, in its newest message or when it last said that it is here."""

    __slots__ = ("_said",)

    def __init__(self) -> None:
        """Nobody was heard yet."""
        self._said: dict[str, Address] = {}

    def hear(self, member: str, address: Address) -> None:
        """A member named its address; the one heard longest ago makes room for another."""
        self._said.pop(member, None)
        self._said[member] = address
        if len(self._said) > REMEMBERED:
            del self._said[next(iter(self._said))]

    def of(self, member: str, voters: ClusterConfiguration) -> Address | None:
        """Where the member is; None if neither it nor the configuration has told."""
        return self._said.get(member) or voters.address(member)
