"""Records of what a core's API clients sent and were answered. Times are in simulated seconds."""

from __future__ import annotations

import msgspec

from mallowvalve.types import Address
from sim import pages


class ItemUpdate(msgspec.Struct):
    """One attempt to update an item to a version and content (None: drop it). `status` is 0 without an answer."""

    who: str
    name: str
    version: int
    content: str | None
    begun: float
    ended: float
    status: int


class ItemsRead(msgspec.Struct):
    """A confirmed read: the version and content of each item, the evacuated zones, and the states of upstreams."""

    begun: float
    ended: float
    by: str
    rows: dict[str, tuple[int, str]]
    evacuated: list[str]
    upstreams: dict[str, str]


class ZoneUpdate(msgspec.Struct):
    """The start or end of an evacuation over all attempts, acknowledged or given up. Each zone has one operator."""

    zone: str
    on: bool
    begun: float
    ended: float
    acked: bool


class Notice(msgspec.Struct):
    """An upstream's acknowledged notice that it is `leaving` or `gone`."""

    instance: str
    state: str
    acked: float


class LockRequest(msgspec.Struct):
    """One acquisition of a lock over all attempts. Each acquisition has a holder name of its own.

    `unsure` is when the last attempt without a definite answer ended: it may still take effect, whatever a later
    attempt was answered.
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


class LockInterval(msgspec.Struct):
    """The span in which a holder considers itself to hold a lock, its lease counted from when the call was sent."""

    name: str
    holder: str
    start: float
    end: float
    token: int


class NumberRequest(msgspec.Struct):
    """One call for a number; the value is 0 without an answer."""

    name: str
    begun: float
    ended: float
    value: int
    refused: bool = False


class KeyRequest(msgspec.Struct):
    """A put or read of a key. Each put has a value of its own; `revision` is the one answered, 0 for none."""

    kind: str
    name: str
    value: str | None
    begun: float
    ended: float
    status: int
    revision: int
    base: int | None = None


class WatchedEvent(msgspec.Struct):
    """One event that a watcher received."""

    watcher: str
    revision: int
    name: str
    value: str
    at: float


class LateRequest(msgspec.Struct):
    """A call for a zone or lock that a node read after its caller gave up, which the node could not yet know."""

    name: str
    at: float


class WatchResponse(msgspec.Struct):
    """The revision up to which one answer to a watch was complete."""

    by: Address
    begun: float
    revision: int


class Confirmation(msgspec.Struct):
    """A successful answer of a core node to an `order`, a `read` or a `beat` (a heartbeat)."""

    by: Address
    kind: str
    begun: float
    at: float


class NetworkCut(msgspec.Struct):
    """A span in which these nodes had no two-way path to a majority of the voters."""

    nodes: list[Address]
    began: float
    ended: float


class CatchUp(msgspec.Struct):
    """A node that returned at `began` and had applied `index`, committed by then, at `ended` (None: not yet).

    `frozen_s` is how long the node itself was frozen within that time.
    """

    node: Address
    how: str
    began: float
    index: int
    ended: float | None = None
    frozen_s: float = 0.0

    def seconds(self) -> float:
        """The time to catch up without frozen time; infinity until the node has caught up."""
        return float("inf") if self.ended is None else self.ended - self.began - self.frozen_s


class MemberLoss(msgspec.Struct):
    """A member lost within the fault budget; `confirmed` is when an update begun later was first confirmed."""

    what: str
    at: float
    confirmed: float | None = None


class ClientRecords:
    """All that a core's API clients observed in one run."""

    def __init__(self) -> None:
        self.orders: list[ItemUpdate] = []
        self.reads: list[ItemsRead] = []
        self.zones: list[ZoneUpdate] = []
        self.notices: list[Notice] = []
        self.takes: list[LockRequest] = []
        self.held: list[LockInterval] = []
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
        """All updates of an item."""
        for update in self.orders[self._sorted :]:
            self._by_name.setdefault(update.name, []).append(update)
        self._sorted = len(self.orders)
        return self._by_name.get(name, [])


def figures(records: ClientRecords) -> dict[str, int]:
    """Counts and worst times (ms) of a run."""
    caught = [c.seconds() for c in records.catch_ups if c.ended is not None]
    back = [loss.confirmed - loss.at for loss in records.losses if loss.confirmed is not None]
    return {
        "orders": len(records.orders),
        "confirmed": sum(update.status == pages.OK for update in records.orders),
        "refused": sum(update.status in (pages.CONFLICT, pages.INVALID) for update in records.orders),
        "reads": len(records.reads),
        "zones": sum(z.acked for z in records.zones),
        "notices": len(records.notices),
        "held": len(records.held),
        "counted": sum(n.value > 0 for n in records.numbers),
        "puts": sum(c.kind == "put" and c.status == pages.OK for c in records.cells),
        "events": len(records.events),
        "beats": sum(s.kind == "beat" for s in records.confirmations),
        "late_reads": len(records.late_reads),
        "losses": len(records.losses),
        "worst_loss_ms": int(1000 * max(back, default=0)),
        "catch_ups": len(caught),
        "worst_catch_up_ms": int(1000 * max(caught, default=0)),
        "index": records.most_index,
    }
