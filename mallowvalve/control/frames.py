"""The frames between control processes: those that arrive are decoded and checked before they reach the core.

What does not decode, or names another sender than the process that opened the connection, raises ValueError: the
transport counts it and drops the frame.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from mallowvalve.control import wire
from mallowvalve.control.core import Core
from mallowvalve.raft.messages import Envelope, GroupId, Message, decode_envelope, encode, without_snapshot_pieces
from mallowvalve.transport.task import Transport
from mallowvalve.types import Address

READ_TIMEOUT_S = 2.0


class FrameReceiver(Protocol):
    """What takes the decoded frames: `control.task.ControlTask`, whose methods these are."""

    core: Core

    def post(self, event: Callable[[float], object]) -> None:
        """Queues an event, which the event loop calls with the time (s)."""

    def receive(self, envelope: Envelope) -> None:
        """Takes a Raft message."""

    def replicate(self, request: wire.ReplicationRequest) -> wire.ReplicationResponse:
        """Answers a replica's request for entries."""

    def offer_locally(self, request: wire.CommandRequest) -> wire.CommandResponse:
        """Answers with the outcome of a command."""

    def read_locally(self, limit: float) -> wire.CommandResponse:
        """Answers with the outcome of a read."""

    def process_status(self) -> wire.ProcessStatus:
        """Returns the status of this process."""


def register_frames(transport: Transport, task: FrameReceiver) -> None:
    """Registers the handlers of all frames that go to `task` itself."""

    def on_raft(sender: Address, body: bytes) -> None:
        envelope = decode_envelope(body)
        require_sender(sender, envelope.address)
        task.receive(envelope)

    def on_announcement(sender: Address, body: bytes) -> None:
        status = wire.decode_status(body)
        require_sender(sender, status.addr)
        task.post(lambda now: task.core.announced(status, now))

    def on_replication_request(sender: Address, body: bytes) -> bytes:
        request = wire.decode_replication_request(body)
        require_sender(sender, request.addr)
        return wire.encode(task.replicate(request))

    on = transport.on
    on("raft", on_raft, inline=True)
    on("here", on_announcement, inline=True)
    on("want", on_replication_request)
    on("offer", lambda _, body: wire.encode(task.offer_locally(wire.decode_command_request(body))))
    on("read", lambda _, body: wire.encode(task.read_locally(READ_TIMEOUT_S)))
    on("who", lambda _, body: wire.encode(task.process_status()), inline=True)


def send_raft_messages(core: Core, transport: Transport, group: GroupId, messages: list[tuple[str, Message]]) -> None:
    """Sends Raft messages to the members of a group; one whose receiver has no known address is counted and dropped."""
    for to, message in messages:
        address = core.address_of(to)
        if address is None:
            transport.counts.add("raft_unaddressed")
            continue
        envelope = Envelope(group, core.id, to, core.addr, without_snapshot_pieces(message))
        transport.cast(address, "raft", encode(envelope))


def require_sender(sender: Address, named: Address) -> None:
    """Raises ValueError if a message names another process as its sender than the one that opened the connection."""
    if named != sender:
        raise ValueError(f"a message from {sender} names {named}")
