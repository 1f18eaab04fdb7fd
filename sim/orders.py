"""What operators, applications and upstreams of the core were told; times in simulated seconds."""

from __future__ import annotations

import msgspec

from mallowvalve.types import Address
from sim import pages


class ItemUpdate(msgspec.Struct):
    """One call of an operator: an item's version and content (None: dropped). `said` is a status, 0 for no answer."""

    who: str
    name: str
    version: int
    content: str | None
    begun: float
    ended: float
    status: int


class ItemsRead(msgspec.Struct):
    """A confirmed read: name to version and content of what stood, zones evacuated, states of upstreams."""

    begun: float
    ended: float
    by: str
    rows: dict[str, tuple[int, str]]
    evacuated: list[str]
    upstreams: dict[str, str]


class ZoneUpdate(msgspec.Struct):
    """An evacuation or its end, over all its calls: acknowledged, or given up undecided. One operator a zone."""

    zone: str
    on: bool
    begun: float
    ended: float
    acked: bool


class Notice(msgspec.Struct):
    """An upstream's acknowledged word that it is `leaving` or `gone`."""

    instance: str
    state: str
    acked: float


class LockRequest(msgspec.Struct):
    """One intent to take a lock, over all its calls. A holder's name is used for one intent only.

    `unsure` is when the last call without a clear answer ended: that one may still take effect, whatever a later one
    was told.
    """

    name: str
    holder: str
    begun: float
    ended: float
    status: int
    hold_s: float
    token: int = 0
    freed: float | None = None
    unsure: float | None = None


class LockHold(msgspec.Struct):
    """A holder's own belief that it holds a lock, counted from when its call was sent."""

    name: str
    holder: str
    start: float
    end: float
    token: int


class NumberRequest(msgspec.Struct):
    """One call for a number; value 0 where it was not told."""

    name: str
    begun: float
    ended: float
    value: int
    refused: bool = False


class KeyRequest(msgspec.Struct):
    """A put or read of a key. A put's value is used once; `revision` is what was answered, 0 for none."""

    kind: str
    name: str
    value: str | None
    begun: float
    ended: float
    status: int
    revision: int
    base: int | None = None


class WatchedEvent(msgspec.Struct):
    """One event that a watcher was shown."""

    watcher: str
    revision: int
    name: str
    value: str
    at: float


class LateRequest(msgspec.Struct):
    """A call about a zone or lock that a machine read after its caller had given it up: its pages can't know that."""

    name: str
    at: float


class WatchResponse(msgspec.Struct):
    """What one answer to a watch said it was whole up to."""

    by: Address
    begun: float
    revision: int


class Confirmation(msgspec.Struct):
    """A success that a core machine told somebody: an `order`, a `read` or a `beat`."""

    by: Address
    kind: str
    begun: float
    at: float


class NetworkCut(msgspec.Struct):
    """A span in which these machines had no two-way path to most of the voters."""

    machines: list[Address]
    began: float
    ended: float


class CatchUp(msgspec.Struct):
    """A machine that came back at `began` and held at `ended` (None: not yet) what was committed as it came.

    `frozen_s` is for how long of that time it was itself frozen, and could do nothing.
    """

    machine: Address
    how: str
    began: float
    index: int
    ended: float | None = None
    frozen_s: float = 0.0

    def seconds(self) -> float:
        """How long the machine took while it ran; infinity while it has not caught up."""
        return float("inf") if self.ended is None else self.ended - self.began - self.frozen_s


class MemberLoss(msgspec.Struct):
    """A member lost within the budget; `confirmed` is when an order begun afterwards was first confirmed."""

    what: str
    at: float
    confirmed: float | None = None


class ClientRecords:
    """All that the users of a core were told in one run."""

    def __init__(self) -> None:
        self.orders: list[ItemUpdate] = []
        self.reads: list[ItemsRead] = []
        self.zones: list[ZoneUpdate] = []
        self.notices: list[Notice] = []
        self.takes: list[LockRequest] = []
        self.held: list[LockHold] = []
        self.numbers: list[NumberRequest] = []
        self.cells: list[KeyRequest] = []
        self.events: list[WatchedEvent] = []
        self.late_reads: list[LateRequest] = []
        self.watched: list[WatchResponse] = []
        self.confirmations: list[Confirmation] = []
        self.cuts: list[NetworkCut] = []
        self.catch_ups: list[CatchUp] = []
        self.losses: list[MemberLoss] = []
        self.most_index = 0
        self._by_name: dict[str, list[ItemUpdate]] = {}
        self._sorted = 0

    def by_name(self, name: str) -> list[ItemUpdate]:
        """All orders of an item."""
        for x in self.orders[self._sorted :]:
            self._by_name.setdefault(x.name, []).append(x)
        self._sorted = len(self.orders)
        return self._by_name.get(name, [])


def figures(o: ClientRecords) -> dict[str, int]:
    """Counts and worst times (ms) of a run."""
    caught = [c.seconds() for c in o.catch_ups if c.ended is not None]
    back = [x.confirmed - x.at for x in o.losses if x.confirmed is not None]
    return {
        "orders": len(o.orders),
        "confirmed": sum(x.status == pages.OK for x in o.orders),
        "refused": sum(x.status in (pages.CONFLICT, pages.INVALID) for x in o.orders),
        "reads": len(o.reads),
        "zones": sum(z.acked for z in o.zones),
        "notices": len(o.notices),
        "held": len(o.held),
        "counted": sum(n.value > 0 for n in o.numbers),
        "puts": sum(c.kind == "put" and c.status == pages.OK for c in o.cells),
        "events": len(o.events),
        "beats": sum(s.kind == "beat" for s in o.confirmations),
        "late_reads": len(o.late_reads),
        "losses": len(o.losses),
        "worst_loss_ms": int(1000 * max(back, default=0)),
        "catch_ups": len(caught),
        "worst_catch_up_ms": int(1000 * max(caught, default=0)),
        "index": o.most_index,
    }
