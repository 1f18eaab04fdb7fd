"""API clients (operators, applications, upstreams) that call any core node; calls may be lost, held or duplicated."""

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
    LockInterval,
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
RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 1.0
SERVICE = Item("services", "s", 1, msgspec.json.encode(ServiceItem(name="s", version=1)))
_decode_result = msgspec.msgpack.Decoder(PlainResult).decode


def route(name: str, version: int, content: str | None) -> Item:
    """Returns a route item for a host of its own, whose content is a time limit in ms (None: a dropped route)."""
    if content is None:
        return Item("routes", name, version, None)
    host_route = HostRoute(
        name=name, version=version, host=f"{name}.x", prefix="/", kind="read", limit_ms=float(content), service="s"
    )
    return Item("routes", name, version, msgspec.json.encode(host_route))


def content_of(item: Item) -> str:
    """The content that `route` was given."""
    return str(int(msgspec.json.decode(item.doc, type=HostRoute).limit_ms))


class CoreClient(User):
    """Calls a random core node, follows one redirect, and times out after a second.

    `answer_loss_ratio` is the share of answers that are lost on their way back.
    """

    def __init__(self, world, addr, controls, orders: ClientRecords, answer_loss_ratio: float = 0.0):
        super().__init__(world, addr, controls, orders)
        self.orders, self.answer_loss_ratio = orders, answer_loss_ratio
        self.asked: Address | None = None

    def ask(
        self, page: pages.Page, then: Callable[[Answer, float], None], kind: str = "", hops: int = MAX_REDIRECTS
    ) -> None:
        """Calls a random node; `then` gets the answer (status 0 for none) and the time the call began."""
        self._ask(self.rng.choice(self.controls()), page, then, kind, hops, self.now)

    def _ask(self, to: Address, page: pages.Page, then, kind: str, hops: int, begun: float) -> None:
        sent = self.now

        def answered(data: bytes | None) -> None:
            answer = pages.answer(data) if data is not None else Answer(NO_ANSWER)
            if answer.status == REDIRECT and answer.leader is not None and hops:
                return self._ask(answer.leader, page, then, kind, hops - 1, begun)
            self.asked = to
            if answer.status == OK and kind:
                self.orders.confirmations.append(Confirmation(to, kind, sent, self.now))
            if self.answer_loss_ratio and self.rng.random() < self.answer_loss_ratio:
                answer = Answer(NO_ANSWER)
            then(answer, begun)

        self.call(to, "page", pages.encode(page), ANSWER_TIMEOUT_S, answered)

    def _deliver_call(self, node, n: int, kind: str, body: bytes, answer: CallReply) -> None:
        if n not in self._calls and not answer.left:
            match pages.page(body):
                case pages.TurnZone(zone=name) | pages.Coordinate(command=Take(name=name)):
                    self.orders.late_reads.append(LateRequest(name, self.now))
        super()._deliver_call(node, n, kind, body, answer)

    def until(
        self, page: pages.Page, tries: int, then: Callable[[Answer, float], None], kind: str = "", sent=None
    ) -> None:
        """Retries with exponential backoff until a definite answer or the last of `tries`.

        `sent` is called at the start of each attempt, and may return a callback for that attempt's answer.
        """
        first = self.now

        def attempt(number: int) -> None:
            record_answer = sent() if sent is not None else None

            def answered(answer: Answer, begun: float) -> None:
                if record_answer is not None:
                    record_answer(answer)
                if answer.status in (OK, CONFLICT, INVALID) or number >= tries:
                    return then(answer, first)
                self.wake(
                    min(MAX_RETRY_DELAY_S, RETRY_DELAY_S * 2**number) * (0.5 + self.rng.random()),
                    lambda: attempt(number + 1),
                )

            self.ask(page, answered, kind)

        attempt(1)


class CompetingOperator(CoreClient):
    """Updates routes to increasing versions that a competing operator updates too, with other content."""

    def __init__(
        self, world, addr, controls, orders, names, pace: float = 0.6, tries: int = 8, answer_loss_ratio: float = 0.3
    ):
        super().__init__(world, addr, controls, orders, answer_loss_ratio)
        self.names, self.pace, self.tries = names, pace, tries
        self.wake(1.0 + 0.2 * self.rng.random(), self._first)

    def _first(self) -> None:
        self.until(pages.PatchItems([SERVICE]), 100, lambda answer, begun: self._next())

    def _next(self) -> None:
        """Starts the next round; its number comes from the clock, so that it is the same for all competitors."""
        number = 1 + int(self.now / self.pace)
        self.wake(self.pace * number - self.now + 0.03 * self.rng.random(), self._next)
        self.order(self.names[number % len(self.names)], number)

    def order(self, name: str, version: int) -> None:
        """Sends one update until it gets a definite answer, and records each attempt."""
        self.serial_count += 1
        client_number = int(self.addr.host.rpartition(".")[2])
        content = None if self.rng.random() < 0.1 else str(1000 + self.serial_count * 100 + client_number)
        page = pages.PatchItems([route(name, version, content)])

        def sent() -> Callable[[Answer], None]:
            update = ItemUpdate(str(self.addr), name, version, content, self.now, float("inf"), NO_ANSWER)
            self.orders.orders.append(update)

            def record_answer(answer: Answer) -> None:
                update.ended, update.status = self.now, answer.status

            return record_answer

        def finished(answer: Answer, _: float) -> None:
            if self.rng.random() < 0.3:
                self.until(page, 2, lambda answer, begun: None, "order", sent)

        self.until(page, self.tries, finished, "order", sent)


class SettingsReader(CoreClient):
    """Reads the configuration in force from any node."""

    def __init__(self, world, addr, controls, orders, rate: float = 2.0):
        super().__init__(world, addr, controls, orders)
        self.every(1 / rate, lambda: self.ask(pages.ReadSettings(), self._seen, "read"))

    def _seen(self, answer: Answer, begun: float) -> None:
        if answer.status != OK:
            return
        seen = pages.settings_seen(answer.body)
        rows = {i.name: (i.version, content_of(i)) for i in seen.items if i.kind == "routes"}
        self.orders.reads.append(ItemsRead(begun, self.now, str(self.asked), rows, seen.evacuated, seen.upstreams))


class Evacuator(CoreClient):
    """Starts and ends the evacuation of its own zone, each retried until acknowledged."""

    def __init__(self, world, addr, controls, orders, zone: str):
        super().__init__(world, addr, controls, orders)
        self.zone, self.evacuated = zone, False
        self.wake(2.0, self._next)

    def _next(self) -> None:
        self.evacuated = not self.evacuated
        update = ZoneUpdate(self.zone, self.evacuated, self.now, float("inf"), False)
        self.orders.zones.append(update)

        def finished(answer: Answer, _: float) -> None:
            update.ended, update.acked = self.now, answer.status == OK
            self.wake(0.5 + self.rng.random(), self._next)

        self.until(pages.TurnZone(self.zone, update.on), 12, finished, "order")


class LockClient(CoreClient):
    """Acquires a lock under a holder name that it uses once, holds it within its lease, and releases it."""

    HOLD_S = 2.0

    def __init__(self, world, addr, controls, orders, lock: str = "l"):
        super().__init__(world, addr, controls, orders)
        self.lock, self.last_begun = lock, 0.0
        self.wake(2.0 + self.rng.random(), self._acquire)

    def _acquire(self) -> None:
        request = LockRequest(self.lock, self.serial(), self.now, float("inf"), NO_ANSWER, self.HOLD_S)
        self.orders.takes.append(request)
        page = pages.Coordinate(Take(request.name, request.holder, 1000 * request.hold_s))

        def finished(answer: Answer, begun: float) -> None:
            request.ended, request.status = self.now, answer.status
            if answer.status != OK:
                return self.wake(0.2 + 0.5 * self.rng.random(), self._acquire)
            request.token = _decode_result(answer.body).number
            end = self.last_begun + request.hold_s
            until = min(end, self.now + 3 * self.rng.random())
            if until <= self.now:
                return self.wake(0.1, self._acquire)
            self.orders.held.append(LockInterval(request.name, request.holder, self.now, until, request.token))
            self.wake(until - self.now, lambda: self._release(request))

        self.until(page, 1 + self.rng.randrange(3), finished, "order", lambda: self._record_attempt(request))

    def _record_attempt(self, request: LockRequest) -> Callable[[Answer], None]:
        self.last_begun = self.now

        def record_answer(answer: Answer) -> None:
            if answer.status in UNSURE:
                request.unsure = self.now

        return record_answer

    def _release(self, request: LockRequest) -> None:
        def finished(answer: Answer, _: float) -> None:
            if answer.status == OK:
                request.freed = self.now
            self.wake(0.1, self._acquire)

        self.until(pages.Coordinate(Free(request.name, request.holder, request.token)), 6, finished, "order")


class NumberClient(CoreClient):
    """Draws numbers; a call without an answer may have drawn one number."""

    def __init__(self, world, addr, controls, orders):
        super().__init__(world, addr, controls, orders)
        self.wake(2.0, self._next)

    def _next(self) -> None:
        request = NumberRequest("n", self.now, float("inf"), 0)
        self.orders.numbers.append(request)

        def answered(answer: Answer, _: float) -> None:
            request.ended, request.refused = self.now, answer.status == pages.UNAVAILABLE
            if answer.status == OK:
                request.value = _decode_result(answer.body).number
            self.wake(0.3 + 0.3 * self.rng.random(), self._next)

        self.ask(pages.Coordinate(Count("n")), answered, "order")


class KeyClient(CoreClient):
    """Reads a key and writes it, based on the revision it read or unconditionally."""

    def __init__(self, world, addr, controls, orders):
        super().__init__(world, addr, controls, orders)
        self.wake(2.0, self._read)

    def _read(self) -> None:
        name = f"g.{self.rng.randrange(2)}"

        def answered(answer: Answer, begun: float) -> None:
            if answer.status != OK:
                return self.wake(0.1, self._read)
            seen = pages.cell_seen(answer.body)
            self.orders.cells.append(KeyRequest("read", name, seen.value, begun, self.now, OK, seen.revision))
            self._put(name, self.rng.choice((seen.revision, seen.revision, None)))

        self.ask(pages.ReadCell(name), answered, "read")

    def _put(self, name: str, base: int | None) -> None:
        request = KeyRequest("put", name, self.serial(), self.now, float("inf"), NO_ANSWER, 0, base)
        self.orders.cells.append(request)

        def finished(answer: Answer, _: float) -> None:
            request.ended, request.status = self.now, answer.status
            if answer.status == OK:
                request.revision = _decode_result(answer.body).number
            self.wake(0.3 + 0.4 * self.rng.random(), self._read)

        self.until(pages.Coordinate(Write(name, request.value, base)), 4, finished, "order")


class GroupWatcher(CoreClient):
    """Watches a group of keys, resuming by revision, at any node or (`stays`) at one node while it answers."""

    def __init__(self, world, addr, controls, orders, stays: bool = False):
        super().__init__(world, addr, controls, orders)
        self.stays = stays
        self.after, self.asking = 0, False
        self.every(0.4, self._poll)

    def _poll(self) -> None:
        if self.asking:
            return
        self.asking = True

        def answered(answer: Answer, begun: float) -> None:
            self.asking = False
            if answer.status != OK:
                self.asked = None
                return
            events = pages.events(answer.body)
            self.orders.watched.append(WatchResponse(self.asked, begun, events.revision))
            for put in events.puts:
                self.orders.events.append(WatchedEvent(str(self.addr), put.revision, put.name, put.value, self.now))
            self.after = max(self.after, events.revision)

        to = self.asked if self.stays and self.asked is not None else self.rng.choice(self.controls())
        self._ask(to, pages.Watch("g.", self.after), answered, "", MAX_REDIRECTS, self.now)


class HeartbeatingUpstream(CoreClient):
    """Sends heartbeats, announces leaving and its end until acknowledged, and restarts under another instance name."""

    def __init__(self, world, addr, controls, orders, heartbeat_interval_s: float = 1.0):
        super().__init__(world, addr, controls, orders)
        self.heartbeat_interval_s, self.sequence = heartbeat_interval_s, 0
        self.place = Locality("eu", "eu-a")
        self.wake(1.0 + self.rng.random(), self._start)

    def _start(self) -> None:
        self.instance, self.state = f"u-{self.serial()}", "ready"
        self.wake(4 + 12 * self.rng.random(), self._leave)
        self._heartbeat()

    def _notice(self) -> Upstream:
        self.sequence += 1
        return Upstream(self.instance, "s", self.addr, self.place, 4, self.state, self.sequence)

    def _heartbeat(self) -> None:
        if self.state != "ready":
            return
        self.wake(self.heartbeat_interval_s * (0.9 + 0.2 * self.rng.random()), self._heartbeat)
        self.ask(pages.Beat(self._notice()), lambda answer, begun: None, "beat")

    def _leave(self) -> None:
        self.state = "leaving"
        self.until(pages.Beat(self._notice()), 10, lambda answer, begun: self._after_notice(answer, self._end))

    def _end(self) -> None:
        self.state = "gone"
        self.until(pages.End(self._notice()), 10, lambda answer, begun: self._after_notice(answer, self._start))

    def _after_notice(self, answer: Answer, then: Callable[[], None]) -> None:
        if answer.status == OK:
            self.orders.notices.append(Notice(self.instance, self.state, self.now))
        self.wake(0.5 + self.rng.random(), then)
