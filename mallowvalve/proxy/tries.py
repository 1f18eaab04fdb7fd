"""The way of a request on a host route, step by step, without sockets."""

from __future__ import annotations

import random
from collections.abc import Callable, Generator

from result import Err, Result

from mallowvalve.control.replica import Replica
from mallowvalve.metrics import Counts
from mallowvalve.proxy.admission import Admission
from mallowvalve.proxy.host import Hosts, Place
from mallowvalve.proxy.request_writer import RequestWriter
from mallowvalve.proxy.steps import (
    CLIENT_LEFT,
    MISDIRECTED,
    NOT_RUN,
    OK,
    REDIRECT,
    SERVER_ERROR,
    TOO_SLOW,
    UNKNOWN,
    Answer,
    Ask,
    Await,
    Body,
    ClientCheck,
    ClientLeft,
    Exchange,
    Open,
    Reply,
    Room,
    Step,
)
from mallowvalve.proxy.trip import Trip, bare, own
from mallowvalve.settings import HeaderNames, Settings

PROMISE = frozenset((408, 421, 429, 503))
OPEN, TRIAL = 0.4, 0.2
HELD = 0.2
LOOK = 0.03
WAITING = 32
OPENS = 3
PART, SOON, SLOW = 0.6, 0.3, 3.5
LEAST = 0.02
IDLE, AT_ONCE = 0.2, 0.2


class Tries:
    """The way of a request on a host route, without sockets: what a step needs from outside is yielded.

    A `read` may run again on another upstream; a `try` is sent again only on proof that it did not run. Once it may
    have run, it never ends in a status that promises the opposite.
    """

    __slots__ = (
        "replica",
        "hosts",
        "counts",
        "now",
        "settings",
        "admission",
        "writer",
        "_not_run",
        "_seal",
    )

    def __init__(
        self,
        replica: Replica,
        hosts: Hosts,
        settings: Settings,
        counts: Counts,
        now: Callable[[], float],
        rng: random.Random,
    ):
        self.replica = replica
        self.hosts = hosts
        self.settings = settings
        self.counts = counts
        self.now = now
        self.admission = Admission(replica, settings, now, rng)
        terms: HeaderNames = settings.terms
        self._not_run = terms.not_run.lower()
        self._seal = terms.seal.lower()
        self.writer = RequestWriter(terms)

    def knows(self, host: str) -> bool:
        return self.replica.state is not None and bool(self.replica.state.items.hosts.get(bare(host)))

    def carry(self, a: Ask) -> Generator[Step, object, Reply]:
        self.counts.add("requests")
        at = self.now()
        r = self.admission.admit(a, at)
        if r.is_err() and not self.admission.has_settings():
            yield from self.admission.wait_for_settings(a, at)
            r = self.admission.admit(a, at)
        if r.is_err():
            return r.err_value
        t: Trip = r.ok_value
        if a.length or "transfer-encoding" in a.headers:
            got = yield Body(t.end, self.replica.state.items.limits.body_bytes)
            if got.is_err():
                status, place, text = got.err_value
                return own(status, NOT_RUN, place, text, 1.0 if status == TOO_SLOW else None, close=True)
            if a.length is not None and len(got.ok_value) != a.length:
                return own(400, NOT_RUN, "body", "shorter than its length", close=True)
            t.body = got.ok_value
        t.lines = self.writer.lines(a, t.body)
        return (yield from self._answered(t))

    def _answered(self, t: Trip) -> Generator[Step, object, Reply]:
        """Sends until there is a final answer; upstreams that were silent are left only when there is one."""
        try:
            while True:
                got = yield from self._send(t)
                if got is None:
                    continue
                if got.answer is None and not t.left:
                    got = yield from self._wait_for_unanswered(t, got)
                return got
        finally:
            for place in t.unanswered:
                place.back(keep=False)

    def _wait_for_unanswered(self, t: Trip, refusal: Reply) -> Generator[Step, object, Reply]:
        """The answer of an upstream that was silent when the request went to another one, which gave none."""
        while t.unanswered:
            place = t.unanswered.pop()
            try:
                r = yield Await(place.connection, t.end, t.may_repeat)
                got = self._took(t, place, r)
            except BaseException:
                place.back(keep=False)
                raise
            if got is not None and (got.answer is not None or t.left):
                return got
        return refusal

    def _send(self, t: Trip) -> Generator[Step, object, Reply | None]:
        """Finds a place, judges everything once more, and sends in the same breath; None: to be sent again."""
        place = yield from self._place(t)
        if isinstance(place, Reply):
            return place
        try:
            if (yield ClientCheck()) is CLIENT_LEFT:
                place.back(keep=True)
                return self._client_left(t)
            now = self.now()
            if t.sent:
                if not self._takes_repeat(t, now):
                    place.back(keep=True)
                    self.counts.add("budget_spent")
                    return self._end(t, "the budget of repeats is spent")
            else:
                self.hosts.budget(t.service).first(now)
            t.sent += 1
            t.tried.add(place.spot.up.instance)
            place.sending(now)
            part = self._part(t, place, now)
            request = self.writer.whole(t, place.spot.up.instance, now)
            r = yield Exchange(place.connection, t.ask.method, request, part, t.mark, t.may_repeat)
            if part < t.end and _is_late(r):
                if self._gives_up(t, place):
                    return self._tries_another(t, place)
                r = yield Await(place.connection, t.end, t.may_repeat)
            return self._took(t, place, r)
        except BaseException:
            place.back(keep=False)
            raise

    def _tries_another(self, t: Trip, place: Place) -> None:
        """The upstream is silent to all: the request goes to another one too, and its answer still counts."""
        t.ran = True
        t.unanswered.append(place)
        self.hosts.late(place.spot, place.sent_at, self.now())
        self.counts.add("upstream_limit")

    def _client_left(self, t: Trip) -> Reply:
        """Nothing more is sent for a client that left; what it would be told, should it still read."""
        t.left = True
        self.counts.add("client_left")
        refusal = self._end(t, "its client has closed the connection")
        refusal.close = True
        return refusal

    def _place(self, t: Trip) -> Generator[Step, object, Place | Reply]:
        """A place at an upstream with a connection that may be sent on at once, or why there is none."""
        held = t.at + HELD * min(t.route.aim_ms or t.route.limit_ms, t.route.limit_ms) / 1000
        held = max(held, self.now() + LOOK)
        while True:
            now = self.now()
            no = self._judge(t, now)
            if no is not None:
                return no
            spot, any_ = self._pick(t, now)
            if spot is None:
                if t.sent or now >= held or not (yield from self._queue(t, min(held, now + LOOK))):
                    return self._end(t, "the upstreams are busy" if any_ else "no upstream may take it just now")
                if (yield ClientCheck()) is CLIENT_LEFT:
                    return self._client_left(t)
                continue
            place = Place(self.hosts, spot)
            if place.reuse(t.route.kind != "read", now):
                return place
            if not (yield from self._open(t, place)):
                t.opens += 1
                if t.opens >= OPENS:
                    return self._end(t, "no connection to the upstreams tried")
                if (yield ClientCheck()) is CLIENT_LEFT:
                    return self._client_left(t)
                continue
            now = self.now()
            no = self._judge(t, now)
            if no is None and self.hosts.fits(spot, t.service, t.route.homes, now):
                return place
            place.back(keep=True)
            if no is not None:
                return no

    def _open(self, t: Trip, place: Place) -> Generator[Step, object, bool]:
        """Whether a new connection could be made; if not, the place is given back."""
        began, spot = self.now(), place.spot
        spot.opening.append(began)
        try:
            r = yield Open(spot.up, "", min(t.end, began + (TRIAL if spot.doubted else OPEN)))
        except BaseException:
            place.back(keep=False)
            raise
        finally:
            spot.opening.remove(began)
        if r.is_ok():
            place.connection = r.ok_value
            return True
        self.counts.add("upstream_open_failed")
        place.back(keep=False)
        self.hosts.failed(spot, self.now())
        return False

    def _judge(self, t: Trip, now: float) -> Reply | None:
        """All that was decided from an older snapshot is decided again: it may have changed since the request came."""
        state = self.replica.state
        if not self.settings.serve_on and not self.replica.admits(now):
            return self._end(t, "its settings may be out of date")
        if now >= t.end or t.sent and t.end - now < LEAST:
            return self._end(t, "the limit is over")
        route = state.items.find(t.host, t.path)
        if route is None:
            return self._end(t, "its route was dropped meanwhile") if t.sent else self.admission.no_route(now)
        if route is t.route:
            return None
        if t.ran and route.kind != t.route.kind:
            return self._end(t, "its route changed its kind meanwhile")
        t.route = route
        t.end = min(t.end, t.at + route.limit_ms / 1000)
        if now >= t.end:
            return self._end(t, "the limit is over")
        if t.service != route.service and not any(p.service == t.service and p.weight > 0 for p in route.split):
            t.service = self.admission.service_of(route)
        return None

    def _pick(self, t: Trip, now: float):
        got = self.hosts.pick(t.service, t.route.homes, t.tried, now)
        if got[1] or t.sent or not t.route.split:
            return got
        for p in t.route.split:
            if p.weight > 0 and p.service != t.service:
                other = self.hosts.pick(p.service, t.route.homes, t.tried, now)
                if other[1]:
                    t.service = p.service
                    return other
        return got

    def _queue(self, t: Trip, end: float) -> Generator[Step, object, bool]:
        s, w = t.service, self.hosts.waiting
        if w.get(s, 0) >= WAITING:
            return False
        w[s] = w.get(s, 0) + 1
        try:
            yield Room(s, end, t.route.priority)
        finally:
            w[s] -= 1
            if not w[s]:
                del w[s]
        return True

    def _took(self, t: Trip, place: Place, r: Result[Answer, str] | ClientLeft) -> Reply | None:
        now, spot, sent_at = self.now(), place.spot, place.sent_at
        if isinstance(r, ClientLeft):
            t.ran = True
            place.abandon()
            return self._client_left(t)
        if r.is_err():
            place.back(keep=False)
            if r.err_value.startswith("unsent"):
                self._broke(place, sent_at, now)
                return self._again(t, "the connection broke before anything was sent")
            t.ran = True
            if r.err_value == "limit":
                self.hosts.late(spot, sent_at, now)
            else:
                self._broke(place, sent_at, now)
            self.counts.add(f"upstream_{r.err_value.partition(':')[0]}")
            return self._again(t, r.err_value)
        a: Answer = r.ok_value
        self.hosts.heard(spot, a, now - sent_at, now)
        if a.status == MISDIRECTED or self._not_run and self._not_run in a.said:
            self.counts.add("upstream_turned_away")
            self.hosts.turned_away(spot, a.status, now)
            place.back(keep=a.keep and a.status != MISDIRECTED)
            return self._again(t, "the upstream turned it away")
        t.ran = True
        if OK <= a.status < REDIRECT and self._seal and self._seal not in a.said:
            place.back(keep=False)
            self.hosts.failed(spot, now)
            return self._again(t, "garbage: a success without a seal")
        if a.status >= SERVER_ERROR and t.route.kind == "read" and t.sent < t.route.tries and t.end - now > LEAST:
            place.back(keep=a.keep)
            return None
        if a.status in PROMISE:
            place.back(keep=a.keep)
            return self._end(t, f"the upstream answered {a.status}, and it may have run")
        self.counts.add("answers")
        if a.rest is None:
            place.back(keep=a.keep)
        else:
            place.streams = True
        return Reply(a.status, answer=a, lease=place, runs_on=not t.may_repeat)

    def _broke(self, place: Place, sent_at: float, now: float) -> None:
        """A connection long idle that breaks at once was forgotten; that says nothing of its upstream."""
        if place.idle is None or place.idle < IDLE or now - sent_at > AT_ONCE:
            self.hosts.failed(place.spot, now)
            return
        self.counts.add("upstream_forgot_connection")
        self.hosts.links.forgotten(place.idle, now)

    def _again(self, t: Trip, why: str) -> Reply | None:
        if t.sent >= t.route.tries or t.ran and not t.may_repeat:
            return self._end(t, why)
        return None

    def _end(self, t: Trip, why: str) -> Reply:
        """The one place that may promise that nothing ran."""
        if not t.ran:
            self.counts.add("rejected_not-run")
            return own(503, NOT_RUN, f"routes.{t.route.name}", why, 0.1 + self.admission.jitter())
        self.counts.add("rejected_unknown")
        return own(504 if self.now() >= t.end - LEAST else 502, UNKNOWN, f"routes.{t.route.name}", why)

    def _part(self, t: Trip, place: Place, now: float) -> float:
        """Until when a read waits for this upstream before it looks whether that is silent to all."""
        if not t.may_repeat or t.sent >= t.route.tries:
            return t.end
        left = t.end - now
        return now + min(PART * left, max(SOON * left, SLOW * place.spot.latency))

    def _gives_up(self, t: Trip, place: Place) -> bool:
        """Whether to send to another upstream too: this one is silent to all, and the repeat can be sent at once.

        The budget's repeat is taken here, so that it is still there when it is sent.
        """
        now = self.now()
        if not self.hosts.is_mute(place.spot, place.sent_at) or t.end - now < LEAST:
            return False
        if self._judge(t, now) is not None or self.hosts.pick(t.service, t.route.homes, t.tried, now)[0] is None:
            return False
        t.repeat_taken = self.hosts.budget(t.service).again(now)
        return t.repeat_taken

    def _takes_repeat(self, t: Trip, now: float) -> bool:
        """Whether the budget gives a repeat, or has given this one."""
        if t.repeat_taken:
            t.repeat_taken = False
            return True
        return self.hosts.budget(t.service).again(now)


def _is_late(r: Result[Answer, str] | ClientLeft) -> bool:
    return isinstance(r, Err) and r.err_value == "limit"
