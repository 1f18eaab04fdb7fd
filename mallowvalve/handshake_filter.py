"""Drops new TCP handshakes at a listening socket, so that no connection completes between its last accept and close.

Linux only: a classic BPF program is attached to the socket (`SO_ATTACH_FILTER`, see socket(7) and the kernel's
`networking/filter`). It sees each segment from its TCP header on and drops a SYN without ACK. The client sends its SYN
again about a second later; by then the listener is closed and the connection is refused. Segments of handshakes that
have begun, and of accepted connections, are not dropped.
"""

from __future__ import annotations

import ctypes
import struct
from socket import SOL_SOCKET
from typing import Protocol

SO_ATTACH_FILTER = 26
"""From `asm-generic/socket.h`; the `socket` module does not have it."""

TCP_FLAGS_OFFSET = 13
SYN = 0x02
SYN_OR_ACK = 0x12

LOAD_BYTE = 0x30
AND = 0x54
JUMP_IF_EQUAL = 0x15
RETURN = 0x06
DROP = 0
PASS_WHOLE = 0xFFFFFFFF

INSTRUCTION = struct.Struct("HBBI")
"""`struct sock_filter`: the code, the jumps if true and if false, the operand."""

PROGRAM_HEAD = struct.Struct("HP")
"""`struct sock_fprog`: the number of instructions and their address."""

INSTRUCTIONS = (
    (LOAD_BYTE, 0, 0, TCP_FLAGS_OFFSET),
    (AND, 0, 0, SYN_OR_ACK),
    (JUMP_IF_EQUAL, 0, 1, SYN),
    (RETURN, 0, 0, DROP),
    (RETURN, 0, 0, PASS_WHOLE),
)


class SocketWithOptions(Protocol):
    """A socket as far as it is needed here."""

    def setsockopt(self, level: int, option: int, value: bytes, /) -> None:
        """Sets a socket option."""


def refuse_handshakes(listener: SocketWithOptions) -> bool:
    """Drops the SYNs of new connections at a listening socket; returns whether the system can do that."""
    program = b"".join(INSTRUCTION.pack(*instruction) for instruction in INSTRUCTIONS)
    buffer = ctypes.create_string_buffer(program, len(program))
    head = PROGRAM_HEAD.pack(len(INSTRUCTIONS), ctypes.addressof(buffer))
    try:
        listener.setsockopt(SOL_SOCKET, SO_ATTACH_FILTER, head)
    except OSError:
        return False
    return True
