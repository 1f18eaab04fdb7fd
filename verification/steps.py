"""The steps of a trace: each is one event at one member, or the passing of time."""

from __future__ import annotations

import msgspec


class Timeout(msgspec.Struct, frozen=True, tag="timeout"):
    """The member's clock advances to its timer: an election timeout, or the next round of a leader."""

    member: str


class PassTime(msgspec.Struct, frozen=True, tag="pass", omit_defaults=True):
    """All clocks advance together; a `frozen` member notices only at its next step, all others at once."""

    ms: int
    frozen: str = ""


class FreezeMember(msgspec.Struct, frozen=True, tag="silence"):
    """The member was suspended: its clock advances by several election timeouts and nothing else happens to it."""

    member: str


class DeliverMessage(msgspec.Struct, frozen=True, tag="deliver", omit_defaults=True):
    """A message in flight arrives; with `keep` it stays in flight and may arrive again at any later step."""

    sender: str
    to: str
    message: str
    keep: bool = False


class LoseMessage(msgspec.Struct, frozen=True, tag="lose"):
    """A message in flight is lost."""

    sender: str
    to: str
    message: str


class SaveToDisk(msgspec.Struct, frozen=True, tag="save"):
    """The member's write completes and the messages that waited for it are sent."""

    member: str


class CrashMember(msgspec.Struct, frozen=True, tag="crash"):
    """The member loses power and restarts; `kept` thousandths of its pending write are on the disk."""

    member: str
    kept: int = 0


class WipeDisk(msgspec.Struct, frozen=True, tag="wipe"):
    """The member's disk is lost; a new member with the id `fresh` starts from the base snapshot of `source`."""

    member: str
    fresh: str
    source: str


class Propose(msgspec.Struct, frozen=True, tag="propose"):
    """A command is proposed to a leader."""

    member: str
    command: str


class RequestRead(msgspec.Struct, frozen=True, tag="read"):
    """A leader starts a read that a quorum must confirm."""

    member: str


class ChangeConfiguration(msgspec.Struct, frozen=True, tag="reconfigure"):
    """A leader is asked to change the voters and learners."""

    member: str
    voters: tuple[str, ...]
    learners: tuple[str, ...]


class OfferCall(msgspec.Struct, frozen=True, tag="offer", omit_defaults=True):
    """A client's command arrives at a member: its next frame, or an earlier one that was duplicated or delayed.

    With `unheard` the client never receives the answer.
    """

    member: str
    call: int
    frame: int
    unheard: bool = False


class AnnounceMember(msgspec.Struct, frozen=True, tag="here", omit_defaults=True):
    """The member receives the status of another, which is running or `leaving`."""

    member: str
    other: str
    leaving: bool = False


class TransferLeadership(msgspec.Struct, frozen=True, tag="hand-over"):
    """A leader is asked to transfer leadership."""

    member: str


class CompactLog(msgspec.Struct, frozen=True, tag="compact"):
    """The member writes a snapshot of its state and drops the log entries that it covers."""

    member: str


class LoseRegion(msgspec.Struct, frozen=True, tag="outage"):
    """All becomes calm, then all members of a region lose power at once, and come back some seconds later."""

    region: str


Step = (
    Timeout
    | PassTime
    | FreezeMember
    | DeliverMessage
    | LoseMessage
    | SaveToDisk
    | CrashMember
    | WipeDisk
    | Propose
    | OfferCall
    | AnnounceMember
    | RequestRead
    | ChangeConfiguration
    | TransferLeadership
    | CompactLog
    | LoseRegion
)
Trace = list[Step]


def describe_step(step: Step) -> str:
    """Returns one step as text for a person."""
    name = str(step.__struct_config__.tag)
    if isinstance(step, DeliverMessage | LoseMessage):
        again = ", kept in flight" if isinstance(step, DeliverMessage) and step.keep else ""
        return f"{name} {step.sender} -> {step.to} {step.message}{again}"
    return " ".join([name, *(f"{field}={getattr(step, field)!r}" for field in step.__struct_fields__)])
