"""Operators, applications and upstreams that call any core machine, over calls that may be lost, held or doubled."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from mallowvalve.configuration.items import HostRoute, Item, ServiceItem
from mallowvalve.coordination.plain import Count, Free, PlainResult, Take, Write
from mallowvalve.types import Address, Locality
from mallowvalve.upstreams.registry import Upstream
from sim import pages
from sim.orders import (
    ClientRecords,
    Confirmation,
    ItemsRead,
    ItemUpdate,
    KeyRequest,
    LateRequest,
    LockHold,
    LockRequest,
    Notice,
    NumberRequest,
    WatchedEvent,
    WatchResponse,
    ZoneUpdate,
)
from sim.pages import CONFLICT, INVALID, NO_ANSWER, OK, REDIRECT, UNSURE, Answer
from sim.users import User
from sim.world import CallReply

ANSWER_TIMEOUT_S = 1.0
MAX_REDIRECTS = 1
PAUSE, PAUSE_MOST = 0.05, 1.0
SERVICE = Item("services", "s", 1, msgspec.json.encode(ServiceItem(name="s", version=1)))
_word = msgspec.msgpack.Decoder(PlainResult).decode


def route(name: str, version: int, content: str | None) -> Item:
    """A route of a host of its own; its content is a time limit."""
    if content is None:
        return Item("routes", name, version, None)
    r = HostRoute(
        name=name, version=version, host=f"{name}.x", prefix="/", kind="read", limit_ms=float(content), service="s"
    )
    return Item("routes", name, version, msgspec.json.encode(r))


def content_of(i: Item) -> str:
    """What `route` was given."""
    return str(int(msgspec.json.decode(i.doc, type=HostRoute).limit_ms))


class CoreClient(User):
    """Calls some core machine, follows redirects, and takes no answer within a second for silence.

    `deaf` is the share of answers that get lost on their way back.
    """

    def __init__(self, world, addr, controls, orders: ClientRecords, answer_loss_ratio: float = 0.0):
        super().__init__(world, addr, controls, orders)
        self.orders, self.answer_loss_ratio = orders, answer_loss_ratio
        self.asked: Address | None = None

    def ask(
        self, p: pages.Page, then: Callable[[Answer, float], None], kind: str = "", hops: int = MAX_REDIRECTS
    ) -> None:
        """One call of any machine; `then` is given the answer (status 0 for none) and when it began."""
        self._ask(self.rng.choice(self.controls()), p, then, kind, hops, self.now)

    def _ask(self, to: Address, p: pages.Page, then, kind: str, hops: int, begun: float) -> None:
        sent = self.now

        def heard(data: bytes | None) -> None:
            a = pages.answer(data) if data is not None else Answer(NO_ANSWER)
            if a.status == REDIRECT and a.leader is not None and hops:
                return self._ask(a.leader, p, then, kind, hops - 1, begun)
            self.asked = to
            if a.status == OK and kind:
                self.orders.confirmations.append(Confirmation(to, kind, sent, self.now))
            if self.answer_loss_ratio and self.rng.random() < self.answer_loss_ratio:
                a = Answer(NO_ANSWER)
            then(a, begun)

        self.call(to, "page", pages.encode(p), ANSWER_TIMEOUT_S, heard)

    def _deliver_call(self, node, n: int, kind: str, body: bytes, answer: CallReply) -> None:
        if n not in self._calls and not answer.left:
            match pages.page(body):
                case pages.TurnZone(zone=name) | pages.Coordinate(command=Take(name=name)):
                    self.orders.late_reads.append(LateRequest(name, self.now))
        super()._deliver_call(node, n, kind, body, answer)

    def until(
        self, p: pages.Page, tries: int, then: Callable[[Answer, float], None], kind: str = "", sent=None
    ) -> None:
        """Calls again, with a pause that grows, until something clear is said or the tries are used up.

        `sent` is told of each call as it begins, and may give back what is to be told of its answer.
        """
        first = self.now

        def go(n: int) -> None:
            noted = sent() if sent is not None else None

            def heard(a: Answer, begun: float) -> None:
                if noted is not None:
                    noted(a)
                if a.status in (OK, CONFLICT, INVALID) or n >= tries:
                    return then(a, first)
                self.wake(min(PAUSE_MOST, PAUSE * 2**n) * (0.5 + self.rng.random()), lambda: go(n + 1))

            self.ask(p, heard, kind)

        go(1)


class CompetingOperator(CoreClient):
    """Orders one version after the other of a route that a rival orders too, with another content."""

    def __init__(
        self, world, addr, controls, orders, names, pace: float = 0.6, tries: int = 8, answer_loss_ratio: float = 0.3
    ):
        super().__init__(world, addr, controls, orders, answer_loss_ratio)
        self.names, self.pace, self.tries = names, pace, tries
        self.wake(1.0 + 0.2 * self.rng.random(), self._first)

    def _first(self) -> None:
        self.until(pages.PatchItems([SERVICE]), 100, lambda a, t: self._next())

    def _next(self) -> None:
        """The round is the same for all rivals: it is read off the clock."""
        n = 1 + int(self.now / self.pace)
        self.wake(self.pace * n - self.now + 0.03 * self.rng.random(), self._next)
        self.order(self.names[n % len(self.names)], n)

    def order(self, name: str, version: int) -> None:
        """Sends one order until it is clearly answered; each call is noted."""
        self.n += 1
        mine = int(self.addr.host.rpartition(".")[2])
        content = None if self.rng.random() < 0.1 else str(1000 + self.n * 100 + mine)
        p = pages.PatchItems([route(name, version, content)])

        def sent() -> Callable[[Answer], None]:
            o = ItemUpdate(str(self.addr), name, version, content, self.now, float("inf"), NO_ANSWER)
            self.orders.orders.append(o)

            def noted(a: Answer) -> None:
                o.ended, o.status = self.now, a.status

            return noted

        def done(a: Answer, _: float) -> None:
            if self.rng.random() < 0.3:
                self.until(p, 2, lambda a, t: None, "order", sent)

        self.until(p, self.tries, done, "order", sent)


class SettingsReader(CoreClient):
    """Reads what is in force from any machine."""

    def __init__(self, world, addr, controls, orders, rate: float = 2.0):
        super().__init__(world, addr, controls, orders)
        self.every(1 / rate, lambda: self.ask(pages.ReadSettings(), self._seen, "read"))

    def _seen(self, a: Answer, begun: float) -> None:
        if a.status != OK:
            return
        s = pages.settings_seen(a.body)
        rows = {i.name: (i.version, content_of(i)) for i in s.items if i.kind == "routes"}
        self.orders.reads.append(ItemsRead(begun, self.now, str(self.asked), rows, s.evacuated, s.upstreams))


class Evacuator(CoreClient):
    """Evacuates a zone of its own and gives it back, each until it is acknowledged."""

    def __init__(self, world, addr, controls, orders, zone: str):
        super().__init__(world, addr, controls, orders)
        self.zone, self.turned = zone, False
        self.wake(2.0, self._next)

    def _next(self) -> None:
        self.turned = not self.turned
        z = ZoneUpdate(self.zone, self.turned, self.now, float("inf"), False)
        self.orders.zones.append(z)

        def done(a: Answer, _: float) -> None:
            z.ended, z.acked = self.now, a.status == OK
            self.wake(0.5 + self.rng.random(), self._next)

        self.until(pages.TurnZone(self.zone, z.on), 12, done, "order")


class LockClient(CoreClient):
    """Takes a lock under a name that it uses once, may hold it longer, and frees it."""

    HOLD_S = 2.0

    def __init__(self, world, addr, controls, orders, lock: str = "l"):
        super().__init__(world, addr, controls, orders)
        self.lock, self.last_begun = lock, 0.0
        self.wake(2.0 + self.rng.random(), self._take)

    def _take(self) -> None:
        t = LockRequest(self.lock, self.serial(), self.now, float("inf"), NO_ANSWER, self.HOLD_S)
        self.orders.takes.append(t)
        p = pages.Coordinate(Take(t.name, t.holder, 1000 * t.hold_s))

        def done(a: Answer, begun: float) -> None:
            t.ended, t.status = self.now, a.status
            if a.status != OK:
                return self.wake(0.2 + 0.5 * self.rng.random(), self._take)
            t.token = _word(a.body).number
            end = self.last_begun + t.hold_s
            until = min(end, self.now + 3 * self.rng.random())
            if until <= self.now:
                return self.wake(0.1, self._take)
            self.orders.held.append(LockHold(t.name, t.holder, self.now, until, t.token))
            self.wake(until - self.now, lambda: self._free(t))

        self.until(p, 1 + self.rng.randrange(3), done, "order", lambda: self._sent(t))

    def _sent(self, t: LockRequest) -> Callable[[Answer], None]:
        self.last_begun = self.now

        def noted(a: Answer) -> None:
            if a.status in UNSURE:
                t.unsure = self.now

        return noted

    def _free(self, t: LockRequest) -> None:
        def done(a: Answer, _: float) -> None:
            if a.status == OK:
                t.freed = self.now
            self.wake(0.1, self._take)

        self.until(pages.Coordinate(Free(t.name, t.holder, t.token)), 6, done, "order")


class NumberClient(CoreClient):
    """Asks for the next number; a call without an answer may have counted once."""

    def __init__(self, world, addr, controls, orders):
        super().__init__(world, addr, controls, orders)
        self.wake(2.0, self._next)

    def _next(self) -> None:
        n = NumberRequest("n", self.now, float("inf"), 0)
        self.orders.numbers.append(n)

        def heard(a: Answer, _: float) -> None:
            n.ended, n.refused = self.now, a.status == pages.UNAVAILABLE
            if a.status == OK:
                n.value = _word(a.body).number
            self.wake(0.3 + 0.3 * self.rng.random(), self._next)

        self.ask(pages.Coordinate(Count("n")), heard, "order")


class KeyClient(CoreClient):
    """Reads a key and puts it anew on what it read, or on nothing."""

    def __init__(self, world, addr, controls, orders):
        super().__init__(world, addr, controls, orders)
        self.wake(2.0, self._read)

    def _read(self) -> None:
        name = f"g.{self.rng.randrange(2)}"

        def heard(a: Answer, begun: float) -> None:
            if a.status != OK:
                return self.wake(0.1, self._read)
            s = pages.cell_seen(a.body)
            self.orders.cells.append(KeyRequest("read", name, s.value, begun, self.now, OK, s.revision))
            self._put(name, self.rng.choice((s.revision, s.revision, None)))

        self.ask(pages.ReadCell(name), heard, "read")

    def _put(self, name: str, base: int | None) -> None:
        c = KeyRequest("put", name, self.serial(), self.now, float("inf"), NO_ANSWER, 0, base)
        self.orders.cells.append(c)

        def done(a: Answer, _: float) -> None:
            c.ended, c.status = self.now, a.status
            if a.status == OK:
                c.revision = _word(a.body).number
            self.wake(0.3 + 0.4 * self.rng.random(), self._read)

        self.until(pages.Coordinate(Write(name, c.value, base)), 4, done, "order")


class GroupWatcher(CoreClient):
    """Follows a group of keys, resuming by revision: at any machine, or (`stays`) at one for as long as it answers."""

    def __init__(self, world, addr, controls, orders, stays: bool = False):
        super().__init__(world, addr, controls, orders)
        self.stays = stays
        self.after, self.asking = 0, False
        self.every(0.4, self._poll)

    def _poll(self) -> None:
        if self.asking:
            return
        self.asking = True

        def heard(a: Answer, begun: float) -> None:
            self.asking = False
            if a.status != OK:
                self.asked = None
                return
            got = pages.events(a.body)
            self.orders.watched.append(WatchResponse(self.asked, begun, got.revision))
            for p in got.puts:
                self.orders.events.append(WatchedEvent(str(self.addr), p.revision, p.name, p.value, self.now))
            self.after = max(self.after, got.revision)

        to = self.asked if self.stays and self.asked is not None else self.rng.choice(self.controls())
        self._ask(to, pages.Watch("g.", self.after), heard, "", MAX_REDIRECTS, self.now)


class HeartbeatingUpstream(CoreClient):
    """Beats, says that it leaves until that is acknowledged, ends, and starts anew under another id."""

    def __init__(self, world, addr, controls, orders, beat_s: float = 1.0):
        super().__init__(world, addr, controls, orders)
        self.beat_s, self.sequence = beat_s, 0
        self.place = Locality("eu", "eu-a")
        self.wake(1.0 + self.rng.random(), self._start)

    def _start(self) -> None:
        self.instance, self.state = f"u-{self.serial()}", "ready"
        self.wake(4 + 12 * self.rng.random(), self._leave)
        self._beat()

    def _row(self) -> Upstream:
        self.sequence += 1
        return Upstream(self.instance, "s", self.addr, self.place, 4, self.state, self.sequence)

    def _beat(self) -> None:
        if self.state != "ready":
            return
        self.wake(self.beat_s * (0.9 + 0.2 * self.rng.random()), self._beat)
        self.ask(pages.Beat(self._row()), lambda a, t: None, "beat")

    def _leave(self) -> None:
        self.state = "leaving"
        self.until(pages.Beat(self._row()), 10, lambda a, t: self._noted(a, self._end))

    def _end(self) -> None:
        self.state = "gone"
        self.until(pages.End(self._row()), 10, lambda a, t: self._noted(a, self._start))

    def _noted(self, a: Answer, then: Callable[[], None]) -> None:
        if a.status == OK:
            self.orders.notices.append(Notice(self.instance, self.state, self.now))
        self.wake(0.5 + self.rng.random(), then)
