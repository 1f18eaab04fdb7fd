"""The addresses at which the members of the core are reached.

The configuration in a member's log may be older than the present addresses: a learner starts from a snapshot that may
date from the founding and names no present member, and a voter may come back with its disk at another address. Messages
sent by the configuration alone would be lost, responses among them, and with them the log that has the newer
configuration. So the address that a member reported last takes precedence over the configuration.
"""

from __future__ import annotations

from mallowvalve.raft.messages import ClusterConfiguration
from mallowvalve.types import Address

MAX_MEMBERS = 64
"""How many members' addresses are kept: several times the largest core with its learners."""


class MemberAddresses:
    """The address that each member reported last, in a message or an announcement."""

    __slots__ = ("_reported",)

    def __init__(self) -> None:
        """Creates an empty table."""
        self._reported: dict[str, Address] = {}

    def record(self, member: str, address: Address) -> None:
        """Records the address of a member; above the limit, the member that reported longest ago is dropped."""
        self._reported.pop(member, None)
        self._reported[member] = address
        if len(self._reported) > MAX_MEMBERS:
            del self._reported[next(iter(self._reported))]

    def lookup(self, member: str, voters: ClusterConfiguration) -> Address | None:
        """Returns the reported address of the member, else that of the configuration, else None."""
        return self._reported.get(member) or voters.address(member)
