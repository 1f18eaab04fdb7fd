"""The steps of which a trace is made: each is one event at one member, or the passing of time."""

from __future__ import annotations

import msgspec


class Timeout(msgspec.Struct, frozen=True, tag="timeout"):
    """The member's clock moves on to its timer: an election time-out, or a leader's next round."""

    member: str


class PassTime(msgspec.Struct, frozen=True, tag="pass", omit_defaults=True):
    """All clocks move on together; all but a frozen member see it at once, that one at its next step."""

    ms: int
    frozen: str = ""


class FreezeMember(msgspec.Struct, frozen=True, tag="silence"):
    """The member was frozen: its clock shows several election time-outs more, nothing else happened to it."""

    member: str


class DeliverMessage(msgspec.Struct, frozen=True, tag="deliver", omit_defaults=True):
    """A message in flight arrives; with `keep` it stays in flight and may arrive again at any later step."""

    sender: str
    to: str
    message: str
    keep: bool = False


class LoseMessage(msgspec.Struct, frozen=True, tag="lose"):
    """A message in flight is lost for good."""

    sender: str
    to: str
    message: str


class SaveToDisk(msgspec.Struct, frozen=True, tag="save"):
    """The member's write reaches its disk; what waited for that is sent."""

    member: str


class CrashMember(msgspec.Struct, frozen=True, tag="crash"):
    """Loss of power and a restart from disk; of a write under way `kept` thousandths are on the disk."""

    member: str
    kept: int = 0


class WipeDisk(msgspec.Struct, frozen=True, tag="wipe"):
    """The member's disk is lost: a new one under the id `fresh` begins from the base snapshot of `source`."""

    member: str
    fresh: str
    source: str


class Propose(msgspec.Struct, frozen=True, tag="propose"):
    """A command is offered to a member that leads."""

    member: str
    command: str


class RequestRead(msgspec.Struct, frozen=True, tag="read"):
    """A leader is asked for a read that a quorum has to confirm."""

    member: str


class ChangeConfiguration(msgspec.Struct, frozen=True, tag="reconfigure"):
    """A leader is asked for other voters and learners."""

    member: str
    voters: tuple[str, ...]
    learners: tuple[str, ...]


class OfferCall(msgspec.Struct, frozen=True, tag="offer", omit_defaults=True):
    """A caller's command comes to a member: its next frame, or one sent before that was doubled or held on its way.

    With `unheard` the caller never gets the answer.
    """

    member: str
    call: int
    frame: int
    unheard: bool = False


class AnnounceMember(msgspec.Struct, frozen=True, tag="here", omit_defaults=True):
    """The member hears from another that it is there, or that it is `leaving`."""

    member: str
    other: str
    leaving: bool = False


class TransferLeadership(msgspec.Struct, frozen=True, tag="hand-over"):
    """A leader is asked to let another lead."""

    member: str


class CompactLog(msgspec.Struct, frozen=True, tag="compact"):
    """The member writes a snapshot of its state and drops the log that it covers."""

    member: str


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
)
Trace = list[Step]


def describe_step(step: Step) -> str:
    """One step as a person reads it."""
    name = str(step.__struct_config__.tag)
    if isinstance(step, DeliverMessage | LoseMessage):
        again = ", kept in flight" if isinstance(step, DeliverMessage) and step.keep else ""
        return f"{name} {step.sender} -> {step.to} {step.message}{again}"
    return " ".join([name, *(f"{field}={getattr(step, field)!r}" for field in step.__struct_fields__)])
