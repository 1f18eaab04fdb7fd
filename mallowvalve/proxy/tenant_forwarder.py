"""Forwards tenants' requests, as a state machine without sockets."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Generator

import msgspec

from mallowvalve.control.replica import Replica
from mallowvalve.finding import Finding
from mallowvalve.ledger.ledger import Claim, Done, Forfeit, LedgerResult, Release
from mallowvalve.metrics import Counts
from mallowvalve.proxy.admission import outlasts
from mallowvalve.proxy.steps import (
    CLIENT_LEFT,
    NOT_RUN,
    SERVER_ERROR,
    UNAVAILABLE,
    UNKNOWN,
    ClientCheck,
    ClientLeft,
    ClientRequest,
    Exchange,
    OpenConnection,
    ProposeCommand,
    ProposeInBackground,
    ProxyResponse,
    ReadBody,
    RejectionRecord,
    Sleep,
    Step,
    UpstreamResponse,
    WaitForCapacity,
)
from mallowvalve.proxy.tenant_request import TenantRequest, check_body, parse_request
from mallowvalve.proxy.tenant_upstream_pool import TenantUpstreamLease, TenantUpstreamPool
from mallowvalve.types import Locality, is_evacuated

UNDECIDED = "undecided"
CLAIM_TIMEOUT_S = 3.0
COMPLETION_TIMEOUT_S = 1.0
MIN_RELEASE_TIMEOUT_S = 0.2
EVACUATION_GRACE_S = 2.0
MAX_QUEUE_S = 1.0
LEDGER_POLL_S = 0.02
KEPT_REJECTIONS = 200
KEPT_TARGET_CHARACTERS = 200


class ForwardedRequest(msgspec.Struct):
    """A request that was sent: its lease, and the response if it arrived completely."""

    lease: TenantUpstreamLease
    answer: UpstreamResponse | None


class TenantForwarder:
    """Forwards tenants' requests as a state machine without I/O: it yields steps and receives their results."""

    __slots__ = (
        "replica",
        "pool",
        "retry_detector",
        "counts",
        "now",
        "locality",
        "holder",
        "nonce",
        "rejections",
        "serves_until",
        "_evacuated_since",
    )

    def __init__(
        self,
        replica: Replica,
        pool: TenantUpstreamPool,
        retry_detector,
        counts: Counts,
        now: Callable[[], float],
        locality: Locality,
        holder: str,
        nonce: Callable[[], str],
    ):
        self.replica, self.pool, self.retry_detector, self.counts, self.now = replica, pool, retry_detector, counts, now
        self.locality, self.holder, self.nonce = locality, holder, nonce
        self.rejections: deque[RejectionRecord] = deque(maxlen=KEPT_REJECTIONS)
        self.serves_until: Callable[[], float | None] = lambda: None
        self._evacuated_since: float | None = None

    def handle(self, client_request: ClientRequest) -> Generator[Step, object, ProxyResponse]:
        """Handles a request: yields the steps to perform and returns the final response."""
        self.counts.add("requests")
        rejection = self._not_admitting()
        if rejection is not None:
            return self._reject_unparsed(client_request, *rejection)
        parsed = parse_request(client_request, self.replica.tree, self.replica.state.revision, self.now())
        if parsed.is_err():
            return self._reject_unparsed(client_request, *parsed.err_value)
        call: TenantRequest = parsed.ok_value
        if not outlasts(self.serves_until(), call.end):
            return self._reject_unparsed(client_request, UNAVAILABLE, "stop", "this proxy is about to stop")
        body = yield ReadBody(call.end)
        error = body.err_value if body.is_err() else check_body(client_request, body.ok_value)
        if error is not None:
            return self._reject_unparsed(client_request, *error)
        call.set_body(body.ok_value)
        if not self._within_budget(call):
            return self._reject(call, 503, "too many repeats just now", 2)
        if call.plan.kind == "once":
            return (yield from self._forward_once(call))
        return (yield from self._forward_read(call))

    def _forward_read(self, call: TenantRequest) -> Generator[Step, object, ProxyResponse]:
        tried: set = set()
        while True:
            forwarded = yield from self._send(call, tried)
            if isinstance(forwarded, ProxyResponse):
                return forwarded
            with forwarded.lease as lease:
                if forwarded.answer is not None:
                    return self._respond(call, lease, forwarded.answer)
            tried.add(lease.row.heartbeat.address)
            if call.sends > call.plan.policy.retry:
                return self._reject(call, 502, "the upstreams did not answer well", 1)
            if not self.pool.budget(call.plan.service).take_retry(self.now()):
                return self._reject(call, 502, "the upstream failed and the retry budget is spent", 1)

    def _forward_once(self, call: TenantRequest) -> Generator[Step, object, ProxyResponse]:
        nonce = self.nonce()
        claim = Claim(call.key, call.digest, self.holder, nonce, call.revision)
        verdict = yield ProposeCommand(claim, min(call.end - self.now(), CLAIM_TIMEOUT_S))
        if verdict.state == "undecided":
            yield ProposeInBackground(Release(call.key, nonce), ("released", "gone", "lost"))
        if verdict.state == "open":
            verdict = yield from self._await_first_attempt(call)
        if verdict.state != "granted":
            return self._replay(call, verdict)
        forwarded = yield from self._send(call, set())
        if isinstance(forwarded, ProxyResponse):
            return (yield from self._release_claim(call, nonce, forwarded))
        with forwarded.lease as lease:
            if forwarded.answer is None:
                yield ProposeInBackground(Forfeit(call.key, nonce), ("lost", "done", "gone"))
                return self._reject(call, 502, "sent, but no whole answer came back", None)
            yield from self._record_done(call, nonce, forwarded.answer)
            return self._respond(call, lease, forwarded.answer)

    def _send(self, call: TenantRequest, tried: set) -> Generator[Step, object, ForwardedRequest | ProxyResponse]:
        queue_end = min(call.end, self.now() + MAX_QUEUE_S)
        while True:
            rejection = self._revalidate(call)
            if rejection is not None:
                return rejection
            rows = self.pool.usable(call.plan, call.tenant, tried)
            if not rows:
                return self._reject(call, 503, "no upstream is alive where this tenant may go", 2)
            row = self.pool.pick(rows, call.plan, tried)
            if row is None:
                if not (yield from self._queue(call, queue_end)):
                    return self._reject(call, 503, "all upstreams are busy", 1)
                continue
            lease = TenantUpstreamLease(self.pool, row)
            try:
                sent = yield from self._try_upstream(call, lease)
            except BaseException:
                lease.release(keep=False)
                raise
            if sent is not None:
                return sent
            tried.add(row.heartbeat.address)

    def _try_upstream(
        self, call: TenantRequest, lease: TenantUpstreamLease
    ) -> Generator[Step, object, ForwardedRequest | ProxyResponse | None]:
        """Sends on a connection to the upstream, without another step after the last checks.

        Returns None if another upstream is to be tried.
        """
        row = lease.row
        lease.connection = self.pool.idle_connections.take(row.heartbeat, self.now())
        if lease.connection is None:
            result = yield OpenConnection(
                row.heartbeat, self.replica.tree.doc.services[call.plan.service].status, call.end
            )
            if result.is_err():
                self.counts.add("upstream_open_failed")
                row.failed_at_s = self.now()
                lease.release(keep=False)
                return None
            lease.connection = result.ok_value
        rejection = self._revalidate(call)
        if rejection is not None or not self.pool.is_still_usable(row, call.plan, call.tenant):
            lease.release(keep=rejection is not None)
            return rejection
        idempotent = call.plan.kind != "once"
        if idempotent and (yield ClientCheck()) is CLIENT_LEFT:
            lease.release(keep=True)
            return self._client_left(call)
        if not call.is_retry:
            self.pool.budget(call.plan.service).record_first(self.now())
        call.is_retry, call.sends = True, call.sends + 1
        result = yield Exchange(
            lease.connection,
            call.client_request.method,
            call.serialize(str(row.heartbeat.address)),
            call.end,
            stop_if_client_leaves=idempotent,
        )
        if isinstance(result, ClientLeft):
            lease.release(keep=False)
            return self._client_left(call)
        if result.is_ok():
            return ForwardedRequest(lease, result.ok_value)
        self.counts.add("upstream_" + result.err_value.partition(":")[0])
        if result.err_value != "limit":
            row.failed_at_s = self.now()
        return ForwardedRequest(lease, None)

    def _client_left(self, call: TenantRequest) -> ProxyResponse:
        """Returns the response for a client that closed its connection, in case it still reads."""
        self.counts.add("client_left")
        status, outcome = (502, UNKNOWN) if call.sends else (503, NOT_RUN)
        findings = [Finding(f"routes.{call.plan.route}", "its client has closed the connection")]
        return ProxyResponse(status, outcome, findings, close=True)

    def _revalidate(self, call: TenantRequest) -> ProxyResponse | None:
        """Checks the request against the current snapshot, which may have changed since it arrived."""
        rejection = self._not_admitting()
        if rejection is not None:
            return self._reject(call, rejection[0], rejection[2], 1)
        if self.now() >= call.end:
            return self._reject(call, 504, "the limit is over", 1)
        tree = self.replica.tree
        plan = tree.choose(call.tenant, call.request) if call.tenant in tree.cell_of else None
        if plan is None:
            return self._reject(call, 404, "its tenant or route was removed meanwhile", None)
        if plan.kind != call.plan.kind:
            return self._reject(call, 503, "its route changed its kind meanwhile", 1)
        call.plan = plan
        return None

    def _queue(self, call: TenantRequest, end: float) -> Generator[Step, object, bool]:
        service, waiting = call.plan.service, self.pool.waiting
        if self.now() >= end or waiting.get(service, 0) >= call.plan.policy.queue:
            return False
        waiting[service] = waiting.get(service, 0) + 1
        try:
            return (yield WaitForCapacity(service, end))
        finally:
            waiting[service] -= 1
            if not waiting[service]:
                del waiting[service]

    def _await_first_attempt(self, call: TenantRequest) -> Generator[Step, object, LedgerResult]:
        """Waits for the outcome of another attempt that has claimed the same key."""
        while self.now() < call.end:
            verdict = self.replica.state.ledger.find(call.key, call.digest)
            if verdict is not None and verdict.state != "open":
                return verdict
            yield Sleep(LEDGER_POLL_S)
        return LedgerResult("open")

    def _release_claim(
        self, call: TenantRequest, nonce: str, rejection: ProxyResponse
    ) -> Generator[Step, object, ProxyResponse]:
        verdict = yield ProposeCommand(
            Release(call.key, nonce), max(MIN_RELEASE_TIMEOUT_S, min(COMPLETION_TIMEOUT_S, call.end - self.now()))
        )
        if verdict.state == "released":
            rejection.outcome = rejection.rejection.outcome = NOT_RUN
            return rejection
        yield ProposeInBackground(Release(call.key, nonce), ("released", "gone", "lost"))
        return rejection

    def _record_done(
        self, call: TenantRequest, nonce: str, response: UpstreamResponse
    ) -> Generator[Step, object, None]:
        content_type = next((v for k, v in response.headers if k.lower() == "content-type"), "")
        kept_body = response.body if response.body is not None and len(response.body) <= call.plan.policy.keep else None
        done = Done(call.key, nonce, response.status, content_type, kept_body)
        verdict = yield ProposeCommand(done, COMPLETION_TIMEOUT_S)
        if verdict.state != "done":
            yield ProposeInBackground(done, ("done", "gone"))

    def _not_admitting(self) -> tuple[int, str, str] | None:
        """Returns the status, place and text of the rejection while this proxy admits no requests, else None."""
        if not self.replica.admits(self.now()):
            return 503, "proxy", "its settings may be out of date"
        if not is_evacuated(self.locality, self.replica.state.settings.evacuated):
            self._evacuated_since = None
            return None
        self._evacuated_since = self._evacuated_since if self._evacuated_since is not None else self.now()
        if self.now() - self._evacuated_since < EVACUATION_GRACE_S:
            return None
        return 503, "proxy", "its zone is evacuated: ask a directory again"

    def _within_budget(self, call: TenantRequest) -> bool:
        if call.key and call.plan.kind == "once":
            row = self.replica.state.ledger.rows.get(call.key)
            if row is not None and row.state != "released":
                return True
        call.follows_failure = self.retry_detector.take_failure(call.fingerprint, self.now())
        call.is_retry = call.is_retry or call.follows_failure
        return self.pool.budget(call.plan.service).take_retry(self.now()) if call.is_retry else True

    def _respond(self, call: TenantRequest, lease: TenantUpstreamLease, response: UpstreamResponse) -> ProxyResponse:
        self.counts.add("answers")
        if response.status >= SERVER_ERROR:
            self.retry_detector.record_failure(call.fingerprint, self.now())
        if response.body_stream is None:
            lease.release(keep=response.reusable)
        else:
            lease.streams = True
        once = call.plan.kind == "once"
        return ProxyResponse(
            response.status,
            answer=response,
            lease=lease,
            close=self._evacuated_since is not None,
            drain_if_client_leaves=once,
        )

    def _replay(self, call: TenantRequest, verdict: LedgerResult) -> ProxyResponse:
        """Returns the response to an attempt whose key another attempt has claimed or used."""
        self.counts.add(f"repeat_{verdict.state}")
        match verdict.state:
            case "done" if verdict.body is not None:
                headers = [("content-type", verdict.kind or "application/octet-stream")]
                return ProxyResponse(
                    verdict.status,
                    answer=UpstreamResponse(verdict.status, headers, verdict.body, len(verdict.body), None),
                    replayed=True,
                )
            case "conflict":
                return self._reject(call, 409, "this key was used for another request", None)
            case "undecided":
                return self._reject(call, 503, "the ledger did not answer in time", 1)
            case "released":
                return self._reject(call, 503, "an earlier try of this key was just given back", 1)
            case "open":
                return self._reject(call, 504, "an earlier try of this key is still open", 1, UNKNOWN)
            case "done":
                return self._reject(call, 502, "ran; its answer was too large to keep", None, UNKNOWN)
        return self._reject(call, 502, "an earlier try may have run", None, UNKNOWN)

    def _outcome(self, call: TenantRequest) -> str:
        """Returns not-run only if nothing was sent and no earlier attempt can have claimed a key."""
        if call.sends:
            return UNKNOWN
        return UNDECIDED if call.key else NOT_RUN

    def _reject(
        self, call: TenantRequest, status: int, why: str, after: float | None, outcome: str | None = None
    ) -> ProxyResponse:
        outcome = outcome or self._outcome(call)
        if outcome == UNKNOWN or call.follows_failure:
            self.retry_detector.record_failure(call.fingerprint, self.now())
        rejection = self._record_rejection(
            call.plan.route, call.tenant, call.client_request.target, status, outcome, why
        )
        self.counts.add(f"rejected_{outcome}")
        self.counts.add(f"rejected_service_{call.plan.service}")
        return ProxyResponse(
            status,
            outcome,
            [Finding(f"routes.{call.plan.route}", why)],
            after,
            self._evacuated_since is not None,
            rejection=rejection,
        )

    def _reject_unparsed(self, client_request: ClientRequest, status: int, place: str, text: str) -> ProxyResponse:
        outcome = UNDECIDED if client_request.headers.get("mallow-key") else NOT_RUN
        self.counts.add(f"rejected_{status}_{place.lower()}")
        self._record_rejection(
            "",
            client_request.headers.get("mallow-tenant", "")[:64],
            client_request.target,
            status,
            outcome,
            f"{place}: {text}",
        )
        close = self._evacuated_since is not None or place in ("body", "stop")
        return ProxyResponse(status, outcome, [Finding(place, text)], 1 if status == UNAVAILABLE else None, close)

    def _record_rejection(
        self, route: str, tenant: str, target: str, status: int, outcome: str, why: str
    ) -> RejectionRecord:
        self.rejections.append(
            RejectionRecord(self.now(), route, tenant, target[:KEPT_TARGET_CHARACTERS], status, outcome, why)
        )
        return self.rejections[-1]
