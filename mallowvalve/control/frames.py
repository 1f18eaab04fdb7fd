"""The frames that a control process takes from others: each is decoded and checked here, before it reaches the core.

What does not decode, or names another sender than the process that opened the connection, raises ValueError: the
transport counts it and drops the frame.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from mallowvalve.control import wire
from mallowvalve.raft.messages import decode_envelope
from mallowvalve.types import Address

if TYPE_CHECKING:
    from mallowvalve.control.task import ControlTask

READ_TIMEOUT_S = 2.0


def register_frames(task: ControlTask) -> None:
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

    on = task.node.transport.on
    on("raft", on_raft, inline=True)
    on("here", on_announcement, inline=True)
    on("want", on_replication_request)
    on("offer", lambda _, body: wire.encode(task.offer_locally(wire.decode_command_request(body))))
    on("read", lambda _, body: wire.encode(task.read_locally(READ_TIMEOUT_S)))
    on("who", lambda _, body: wire.encode(task.process_status()), inline=True)


def require_sender(sender: Address, named: Address) -> None:
    """Raises ValueError if a message names another process as its sender than the one that opened the connection."""
    if named != sender:
        raise ValueError(f"a message from {sender} names {named}")
