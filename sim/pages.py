"""What operators, applications and upstreams call a core machine with in the simulator, and what it answers."""

from __future__ import annotations

import msgspec

from mallowvalve.configuration.items import Item
from mallowvalve.coordination.plain import Count, Extend, Free, KeyRevision, Take, Write
from mallowvalve.types import Address
from mallowvalve.upstreams.registry import Upstream

OK, REDIRECT, INVALID, CONFLICT, UNAVAILABLE, UNDECIDED = 200, 307, 400, 409, 503, 504
NO_ANSWER = 0
UNSURE = (NO_ANSWER, UNDECIDED)


class PatchItems(msgspec.Struct, frozen=True, tag="patch"):
    """An operator's order: `PATCH /items`."""

    items: list[Item]


class TurnZone(msgspec.Struct, frozen=True, tag="zone"):
    """An evacuation of one zone (`on`), or its end."""

    zone: str
    on: bool


class ReadSettings(msgspec.Struct, frozen=True, tag="settings"):
    """A confirmed read of items, evacuations and the registry."""


class Coordinate(msgspec.Struct, frozen=True, tag="plain"):
    """A call of plain coordination."""

    command: Take | Extend | Free | Count | Write


class ReadCell(msgspec.Struct, frozen=True, tag="cell"):
    """A confirmed read of a key."""

    name: str


class Watch(msgspec.Struct, frozen=True, tag="watch"):
    """A watch that does not wait: what happened in the group after a revision."""

    group: str
    after: int


class Beat(msgspec.Struct, frozen=True, tag="beat"):
    """A heartbeat or a notice of an upstream."""

    upstream: Upstream


class End(msgspec.Struct, frozen=True, tag="end"):
    """The end of an upstream."""

    upstream: Upstream


Page = PatchItems | TurnZone | ReadSettings | Coordinate | ReadCell | Watch | Beat | End


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """A status as over HTTP, what it says, and who may know better (307)."""

    status: int
    body: bytes = b""
    leader: Address | None = None


class SettingsSeen(msgspec.Struct, frozen=True, array_like=True):
    """What a confirmed read shows: items in force by kind and name, zones evacuated, upstreams' states."""

    items: list[Item]
    evacuated: list[str]
    upstreams: dict[str, str]


class CellSeen(msgspec.Struct, frozen=True, array_like=True):
    """A key's value and revision; revision 0 where there is none."""

    value: str | None
    revision: int


class Events(msgspec.Struct, frozen=True, array_like=True):
    """A watch's answer; `compacted` where the history begins later than was asked."""

    puts: list[KeyRevision]
    revision: int
    compacted: bool = False


encode = msgspec.msgpack.Encoder().encode
page = msgspec.msgpack.Decoder(Page).decode
answer = msgspec.msgpack.Decoder(Answer).decode
settings_seen = msgspec.msgpack.Decoder(SettingsSeen).decode
cell_seen = msgspec.msgpack.Decoder(CellSeen).decode
events = msgspec.msgpack.Decoder(Events).decode
