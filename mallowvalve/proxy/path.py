"""The way of a tenant's request, step by step, without sockets."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Generator

import msgspec

from mallowvalve.control.replica import Replica
from mallowvalve.finding import Finding
from mallowvalve.ledger.ledger import Claim, Done, Forfeit, LedgerResult, Release
from mallowvalve.metrics import Counts
from mallowvalve.proxy.admission import outlasts
from mallowvalve.proxy.call import Call, check_body, understand
from mallowvalve.proxy.pool import Lease, Pool
from mallowvalve.proxy.steps import (
    CLIENT_LEFT,
    NOT_RUN,
    SERVER_ERROR,
    UNAVAILABLE,
    UNKNOWN,
    Answer,
    Ask,
    Body,
    ClientCheck,
    ClientLeft,
    Exchange,
    Insist,
    Offer,
    Open,
    Pause,
    Rejected,
    Reply,
    Room,
    Step,
)
from mallowvalve.types import Locality, is_evacuated

UNDECIDED = "undecided"
CLAIM_LIMIT = 3.0
CLOSE_LIMIT = 1.0
GRACE = 2.0
QUEUE_MOST = 1.0
LOOK = 0.02


class Sent(msgspec.Struct):
    """A request that was sent: its place, and the answer if a whole one came."""

    lease: Lease
    answer: Answer | None


class Path:
    """The way of a request, without sockets: what a step needs from outside is yielded, its result comes back."""

    __slots__ = (
        "replica",
        "pool",
        "repeats",
        "counts",
        "now",
        "locality",
        "holder",
        "nonce",
        "rejections",
        "serves_until",
        "_emptied",
    )

    def __init__(
        self,
        replica: Replica,
        pool: Pool,
        repeats,
        counts: Counts,
        now: Callable[[], float],
        locality: Locality,
        holder: str,
        nonce: Callable[[], str],
    ):
        self.replica, self.pool, self.repeats, self.counts, self.now = replica, pool, repeats, counts, now
        self.locality, self.holder, self.nonce = locality, holder, nonce
        self.rejections: deque[Rejected] = deque(maxlen=200)
        self.serves_until: Callable[[], float | None] = lambda: None
        self._emptied: float | None = None

    def carry(self, a: Ask) -> Generator[Step, object, Reply]:
        self.counts.add("requests")
        no = self._admits()
        if no is not None:
            return self._turn_away(a, *no)
        r = understand(a, self.replica.tree, self.replica.state.revision, self.now())
        if r.is_err():
            return self._turn_away(a, *r.err_value)
        c: Call = r.ok_value
        if not outlasts(self.serves_until(), c.end):
            return self._turn_away(a, UNAVAILABLE, "stop", "this proxy is about to stop")
        body = yield Body(c.end)
        bad = body.err_value if body.is_err() else check_body(a, body.ok_value)
        if bad is not None:
            return self._turn_away(a, *bad)
        c.fill(body.ok_value)
        if not self._in_budget(c):
            return self._reject(c, 503, "too many repeats just now", 2)
        if c.plan.kind == "once":
            return (yield from self._once(c))
        return (yield from self._read(c))

    def _read(self, c: Call) -> Generator[Step, object, Reply]:
        tried: set = set()
        while True:
            got = yield from self._send(c, tried)
            if isinstance(got, Reply):
                return got
            with got.lease as lease:
                if got.answer is not None:
                    return self._answer(c, lease, got.answer)
            tried.add(lease.row.heartbeat.address)
            if c.sent > c.plan.policy.retry:
                return self._reject(c, 502, "the upstreams did not answer well", 1)
            if not self.pool.budget(c.plan.service).again(self.now()):
                return self._reject(c, 502, "the upstream failed and the retry budget is spent", 1)

    def _once(self, c: Call) -> Generator[Step, object, Reply]:
        nonce = self.nonce()
        claim = Claim(c.key, c.digest, self.holder, nonce, c.seen)
        v = yield Offer(claim, min(c.end - self.now(), CLAIM_LIMIT))
        if v.state == "undecided":
            yield Insist(Release(c.key, nonce), ("released", "gone", "lost"))
        if v.state == "open":
            v = yield from self._wait(c)
        if v.state != "granted":
            return self._known(c, v)
        got = yield from self._send(c, set())
        if isinstance(got, Reply):
            return (yield from self._release(c, nonce, got))
        with got.lease as lease:
            if got.answer is None:
                yield Insist(Forfeit(c.key, nonce), ("lost", "done", "gone"))
                return self._reject(c, 502, "sent, but no whole answer came back", None)
            yield from self._done(c, nonce, got.answer)
            return self._answer(c, lease, got.answer)

    def _send(self, c: Call, tried: set) -> Generator[Step, object, Sent | Reply]:
        queue_end = min(c.end, self.now() + QUEUE_MOST)
        while True:
            no = self._judge(c)
            if no is not None:
                return no
            rows = self.pool.usable(c.plan, c.tenant, tried)
            if not rows:
                return self._reject(c, 503, "no upstream is alive where this tenant may go", 2)
            row = self.pool.pick(rows, c.plan, tried)
            if row is None:
                if not (yield from self._queue(c, queue_end)):
                    return self._reject(c, 503, "all upstreams are busy", 1)
                continue
            lease = Lease(self.pool, row)
            try:
                sent = yield from self._try(c, lease)
            except BaseException:
                lease.back(keep=False)
                raise
            if sent is not None:
                return sent
            tried.add(row.heartbeat.address)

    def _try(self, c: Call, lease: Lease) -> Generator[Step, object, Sent | Reply | None]:
        """Opens a connection, judges everything once more, and sends in the same breath; None: try another upstream."""
        row = lease.row
        lease.connection = self.pool.connections.take(row.heartbeat, self.now())
        if lease.connection is None:
            r = yield Open(row.heartbeat, self.replica.tree.doc.services[c.plan.service].status, c.end)
            if r.is_err():
                self.counts.add("upstream_open_failed")
                row.failed_at_s = self.now()
                lease.back(keep=False)
                return None
            lease.connection = r.ok_value
        no = self._judge(c)
        if no is not None or not self.pool.fits(row, c.plan, c.tenant):
            lease.back(keep=no is not None)
            return no
        may_repeat = c.plan.kind != "once"
        if may_repeat and (yield ClientCheck()) is CLIENT_LEFT:
            lease.back(keep=True)
            return self._client_left(c)
        if not c.again:
            self.pool.budget(c.plan.service).first(self.now())
        c.again, c.sent = True, c.sent + 1
        r = yield Exchange(
            lease.connection, c.ask.method, c.wire(str(row.heartbeat.address)), c.end, until_left=may_repeat
        )
        if isinstance(r, ClientLeft):
            lease.back(keep=False)
            return self._client_left(c)
        if r.is_ok():
            return Sent(lease, r.ok_value)
        self.counts.add("upstream_" + r.err_value.partition(":")[0])
        if r.err_value != "limit":
            row.failed_at_s = self.now()
        return Sent(lease, None)

    def _client_left(self, c: Call) -> Reply:
        """Nothing more is sent for a client that left; what it would be told, should it still read."""
        self.counts.add("client_left")
        status, outcome = (502, UNKNOWN) if c.sent else (503, NOT_RUN)
        findings = [Finding(f"routes.{c.plan.route}", "its client has closed the connection")]
        return Reply(status, outcome, findings, close=True)

    def _judge(self, c: Call) -> Reply | None:
        """All that was decided from an older snapshot is decided again: it may have changed since the request came."""
        no = self._admits()
        if no is not None:
            return self._reject(c, no[0], no[2], 1)
        if self.now() >= c.end:
            return self._reject(c, 504, "the limit is over", 1)
        tree = self.replica.tree
        plan = tree.choose(c.tenant, c.request) if c.tenant in tree.cell_of else None
        if plan is None:
            return self._reject(c, 404, "its tenant or route was removed meanwhile", None)
        if plan.kind != c.plan.kind:
            return self._reject(c, 503, "its route changed its kind meanwhile", 1)
        c.plan = plan
        return None

    def _queue(self, c: Call, end: float) -> Generator[Step, object, bool]:
        s, w = c.plan.service, self.pool.waiting
        if self.now() >= end or w.get(s, 0) >= c.plan.policy.queue:
            return False
        w[s] = w.get(s, 0) + 1
        try:
            return (yield Room(s, end))
        finally:
            w[s] -= 1
            if not w[s]:
                del w[s]

    def _wait(self, c: Call) -> Generator[Step, object, LedgerResult]:
        while self.now() < c.end:
            v = self.replica.state.ledger.find(c.key, c.digest)
            if v is not None and v.state != "open":
                return v
            yield Pause(LOOK)
        return LedgerResult("open")

    def _release(self, c: Call, nonce: str, r: Reply) -> Generator[Step, object, Reply]:
        v = yield Offer(Release(c.key, nonce), max(0.2, min(CLOSE_LIMIT, c.end - self.now())))
        if v.state == "released":
            r.outcome = r.note.outcome = NOT_RUN
            return r
        yield Insist(Release(c.key, nonce), ("released", "gone", "lost"))
        return r

    def _done(self, c: Call, nonce: str, a: Answer) -> Generator[Step, object, None]:
        kind = next((v for k, v in a.headers if k.lower() == "content-type"), "")
        kept = a.body if a.body is not None and len(a.body) <= c.plan.policy.keep else None
        d = Done(c.key, nonce, a.status, kind, kept)
        v = yield Offer(d, CLOSE_LIMIT)
        if v.state != "done":
            yield Insist(d, ("done", "gone"))

    def _admits(self) -> tuple[int, str, str] | None:
        if not self.replica.admits(self.now()):
            return 503, "proxy", "its settings may be out of date"
        if not is_evacuated(self.locality, self.replica.state.settings.evacuated):
            self._emptied = None
            return None
        self._emptied = self._emptied if self._emptied is not None else self.now()
        if self.now() - self._emptied < GRACE:
            return None
        return 503, "proxy", "its zone is evacuated: ask a directory again"

    def _in_budget(self, c: Call) -> bool:
        if c.key and c.plan.kind == "once":
            r = self.replica.state.ledger.rows.get(c.key)
            if r is not None and r.state != "released":
                return True
        c.owed = self.repeats.is_one(c.name, self.now())
        c.again = c.again or c.owed
        return self.pool.budget(c.plan.service).again(self.now()) if c.again else True

    def _answer(self, c: Call, lease: Lease, a: Answer) -> Reply:
        self.counts.add("answers")
        if a.status >= SERVER_ERROR:
            self.repeats.failed(c.name, self.now())
        if a.rest is None:
            lease.back(keep=a.keep)
        else:
            lease.streams = True
        once = c.plan.kind == "once"
        return Reply(a.status, answer=a, lease=lease, close=self._emptied is not None, runs_on=once)

    def _known(self, c: Call, v: LedgerResult) -> Reply:
        self.counts.add(f"repeat_{v.state}")
        match v.state:
            case "done" if v.body is not None:
                kind = [("content-type", v.kind or "application/octet-stream")]
                return Reply(v.status, answer=Answer(v.status, kind, v.body, len(v.body), None), again=True)
            case "conflict":
                return self._reject(c, 409, "this key was used for another request", None)
            case "undecided":
                return self._reject(c, 503, "the ledger did not answer in time", 1)
            case "released":
                return self._reject(c, 503, "an earlier try of this key was just given back", 1)
            case "open":
                return self._reject(c, 504, "an earlier try of this key is still open", 1, UNKNOWN)
            case "done":
                return self._reject(c, 502, "ran; its answer was too large to keep", None, UNKNOWN)
        return self._reject(c, 502, "an earlier try may have run", None, UNKNOWN)

    def _outcome(self, c: Call) -> str:
        """The one place that may say not-run: nothing was sent, and no key could have been claimed before."""
        if c.sent:
            return UNKNOWN
        return UNDECIDED if c.key else NOT_RUN

    def _reject(self, c: Call, status: int, why: str, after: float | None, outcome: str | None = None) -> Reply:
        outcome = outcome or self._outcome(c)
        if outcome == UNKNOWN or c.owed:
            self.repeats.failed(c.name, self.now())
        note = self._note(c.plan.route, c.tenant, c.ask.target, status, outcome, why)
        self.counts.add(f"rejected_{outcome}")
        self.counts.add(f"rejected_service_{c.plan.service}")
        return Reply(
            status, outcome, [Finding(f"routes.{c.plan.route}", why)], after, self._emptied is not None, note=note
        )

    def _turn_away(self, a: Ask, status: int, place: str, text: str) -> Reply:
        outcome = UNDECIDED if a.headers.get("mallow-key") else NOT_RUN
        self.counts.add(f"rejected_{status}_{place.lower()}")
        self._note("", a.headers.get("mallow-tenant", "")[:64], a.target, status, outcome, f"{place}: {text}")
        close = self._emptied is not None or place in ("body", "stop")
        return Reply(status, outcome, [Finding(place, text)], 1 if status == UNAVAILABLE else None, close)

    def _note(self, route: str, tenant: str, target: str, status: int, outcome: str, why: str) -> Rejected:
        self.rejections.append(Rejected(self.now(), route, tenant, target[:200], status, outcome, why))
        return self.rejections[-1]
