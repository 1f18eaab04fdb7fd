"""Forwards requests on host routes, as a state machine without sockets."""

from __future__ import annotations

import random
from collections.abc import Callable, Generator

from result import Err, Result

from mallowvalve.control.replica import Replica
from mallowvalve.metrics import Counts
from mallowvalve.proxy.admission import Admission
from mallowvalve.proxy.host_request import HostRequest, host_without_port, local_response
from mallowvalve.proxy.host_upstreams import HostUpstreams, UpstreamLease
from mallowvalve.proxy.lease_acquirer import LeaseAcquirer
from mallowvalve.proxy.rejections import MIN_TIME_LEFT_S, Rejections
from mallowvalve.proxy.request_writer import RequestWriter
from mallowvalve.proxy.steps import (
    CLIENT_LEFT,
    MISDIRECTED,
    NOT_RUN,
    OK,
    REDIRECT,
    SERVER_ERROR,
    TOO_SLOW,
    UNAVAILABLE,
    UNKNOWN,
    AwaitResponse,
    ClientCheck,
    ClientLeft,
    ClientRequest,
    Exchange,
    ProxyResponse,
    ReadBody,
    RequestBodyFailed,
    Step,
    StreamedRequestBody,
    UpstreamResponse,
)
from mallowvalve.proxy.view_guard import ViewGuard
from mallowvalve.settings import HeaderNames, Settings

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses by which clients conclude that a request did not run."""
FORGOTTEN_MIN_IDLE_S = 0.2
FORGOTTEN_MAX_DELAY_S = 0.2


class HostForwarder:
    """Forwards requests on host routes as a state machine without I/O: it yields steps and receives their results.

    A `read` may run again on another upstream. A `try` is sent again only on proof that it did not run. Once a request
    may have run, its final status never promises that it did not.
    """

    __slots__ = (
        "replica",
        "hosts",
        "counts",
        "now",
        "settings",
        "admission",
        "rejections",
        "view",
        "leases",
        "writer",
        "_not_run",
        "_seal",
    )

    def __init__(
        self,
        replica: Replica,
        hosts: HostUpstreams,
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
        self.rejections = Rejections(counts, now, self.admission.jitter)
        self.view = ViewGuard(replica, settings.drain_s, counts, now)
        self.leases = LeaseAcquirer(replica, hosts, self.admission, self.rejections, self.view)
        terms: HeaderNames = settings.terms
        self._not_run = terms.not_run.lower()
        self._seal = terms.seal.lower()
        self.writer = RequestWriter(terms)

    def serves_host(self, host: str) -> bool:
        """Returns whether any route has this host."""
        return self.replica.state is not None and bool(self.replica.state.items.hosts.get(host_without_port(host)))

    def handle(self, client_request: ClientRequest) -> Generator[Step, object, ProxyResponse]:
        """Handles a request: yields the steps to perform and returns the final response."""
        self.counts.add("requests")
        arrived_at = self.now()
        admitted = self.admission.admit(client_request, arrived_at)
        if admitted.is_err() and not self.admission.has_settings():
            yield from self.admission.wait_for_settings(client_request, arrived_at)
            admitted = self.admission.admit(client_request, arrived_at)
        if admitted.is_err():
            return admitted.err_value
        call: HostRequest = admitted.ok_value
        if client_request.length or "transfer-encoding" in client_request.headers:
            body = yield ReadBody(call.end, self.replica.state.items.limits.body_bytes, call.queue_end)
            if body.is_err():
                status, place, text = body.err_value
                retry_after = 1.0 if status in (TOO_SLOW, UNAVAILABLE) else None
                return local_response(status, NOT_RUN, place, text, retry_after, close=True)
            if isinstance(body.ok_value, StreamedRequestBody):
                call.body, call.body_stream = body.ok_value.held, body.ok_value.stream
            elif client_request.length is not None and len(body.ok_value) != client_request.length:
                return local_response(400, NOT_RUN, "body", "shorter than its length", close=True)
            else:
                call.body = body.ok_value
        call.head = self.writer.lines(client_request, call.body, call.body_stream is not None)
        return (yield from self._send_until_final(call))

    def _send_until_final(self, call: HostRequest) -> Generator[Step, object, ProxyResponse]:
        """Sends until there is a final response; leases of silent upstreams are kept until then."""
        try:
            while True:
                response = yield from self._send(call)
                if response is None:
                    continue
                if response.answer is None and not call.client_left:
                    response = yield from self._await_silent(call, response)
                return response
        finally:
            for lease in call.silent_leases:
                lease.release(keep=False)

    def _await_silent(self, call: HostRequest, rejection: ProxyResponse) -> Generator[Step, object, ProxyResponse]:
        """Returns a late response of the upstreams that were silent, or `rejection` if none responds either."""
        while call.silent_leases:
            lease = call.silent_leases.pop()
            try:
                result = yield AwaitResponse(lease.connection, call.end, call.idempotent)
                response = self._handle_result(call, lease, result)
            except BaseException:
                lease.release(keep=False)
                raise
            if response is not None and (response.answer is not None or call.client_left):
                return response
        return rejection

    def _send(self, call: HostRequest) -> Generator[Step, object, ProxyResponse | None]:
        """Acquires a lease and sends, without another step between the last checks and the send; None: send again."""
        lease = yield from self.leases.acquire(call)
        if isinstance(lease, ProxyResponse):
            return lease
        try:
            if (yield ClientCheck()) is CLIENT_LEFT:
                lease.release(keep=True)
                return self.rejections.client_left(call)
            now = self.now()
            if call.sends:
                if not self._take_retry(call, now):
                    lease.release(keep=True)
                    self.counts.add("budget_spent")
                    return self.rejections.reject(call, "the budget of repeats is spent")
            else:
                self.hosts.budget(call.service).record_first(now)
            call.sends += 1
            call.tried.add(lease.state.upstream.instance)
            self.view.on_send(now)
            lease.on_send(now)
            hedge_at = call.hedge_at(lease.state.latency, now)
            method = call.client_request.method
            data, body = self.writer.whole(call, lease.state.upstream.instance, now)
            result = yield Exchange(
                lease.connection, method, data, hedge_at, call.request_id, call.idempotent, body, call.body_stream
            )
            if hedge_at < call.end and _is_timeout(result):
                if self._should_hedge(call, lease):
                    return self._start_hedge(call, lease)
                result = yield AwaitResponse(lease.connection, call.end, call.idempotent)
            return self._handle_result(call, lease, result)
        except BaseException:
            lease.release(keep=False)
            raise

    def _start_hedge(self, call: HostRequest, lease: UpstreamLease) -> None:
        """Hedges the request: it goes to another upstream too, and a late response of the silent one still counts."""
        call.may_have_run = True
        call.silent_leases.append(lease)
        self.hosts.on_timeout(lease.state, lease.sent_at, self.now())
        self.counts.add("upstream_limit")

    def _handle_result(
        self,
        call: HostRequest,
        lease: UpstreamLease,
        result: Result[UpstreamResponse, str] | ClientLeft | RequestBodyFailed,
    ) -> ProxyResponse | None:
        """Returns the final response, or None if the request is to be sent again."""
        now, state, sent_at = self.now(), lease.state, lease.sent_at
        if isinstance(result, ClientLeft):
            call.may_have_run = True
            lease.abandon()
            return self.rejections.client_left(call)
        if isinstance(result, RequestBodyFailed):
            call.may_have_run = True
            lease.abandon()
            self.counts.add("bodies_ended_early")
            return local_response(result.status, UNKNOWN, "body", result.text, close=True)
        if result.is_err():
            lease.release(keep=False)
            if result.err_value.startswith("unsent"):
                self._on_broken_connection(lease, sent_at, now)
                return self._reject_unless_retryable(call, "the connection broke before anything was sent")
            call.may_have_run = True
            if result.err_value == "limit" and call.body_stream is None:
                self.hosts.on_timeout(state, sent_at, now)
            elif result.err_value == "limit":
                self.hosts.on_abandon(state)
            else:
                self._on_broken_connection(lease, sent_at, now)
            self.counts.add(f"upstream_{result.err_value.partition(':')[0]}")
            return self._reject_unless_retryable(call, result.err_value)
        response: UpstreamResponse = result.ok_value
        self.hosts.on_response(state, response, _latency(call, lease, now), now)
        if response.status == MISDIRECTED or self._not_run and self._not_run in response.header_map:
            self.counts.add("upstream_turned_away")
            self.hosts.on_rejection(state, response.status, now)
            lease.release(keep=response.reusable and response.status != MISDIRECTED)
            return self._reject_unless_retryable(call, "the upstream turned it away")
        call.may_have_run = True
        if OK <= response.status < REDIRECT and self._seal and self._seal not in response.header_map:
            lease.release(keep=False)
            self.hosts.on_failure(state, now)
            return self._reject_unless_retryable(call, "garbage: a success without a seal")
        if (
            response.status >= SERVER_ERROR
            and call.route.kind == "read"
            and call.sends < call.route.tries
            and call.replayable
            and call.end - now > MIN_TIME_LEFT_S
        ):
            lease.release(keep=response.reusable)
            return None
        if response.status in NOT_RUN_STATUSES:
            lease.release(keep=response.reusable)
            return self.rejections.reject(call, f"the upstream answered {response.status}, and it may have run")
        self.counts.add("answers")
        if response.body_stream is None:
            lease.release(keep=response.reusable)
        else:
            lease.streams = True
        return ProxyResponse(response.status, answer=response, lease=lease, drain_if_client_leaves=not call.idempotent)

    def _on_broken_connection(self, lease: UpstreamLease, sent_at: float, now: float) -> None:
        """Records a failure, unless a long idle connection broke at once: the upstream had dropped that already."""
        if lease.idle_s is None or lease.idle_s < FORGOTTEN_MIN_IDLE_S or now - sent_at > FORGOTTEN_MAX_DELAY_S:
            self.hosts.on_failure(lease.state, now)
            return
        self.counts.add("upstream_forgot_connection")
        self.hosts.idle_connections.record_forgotten(lease.idle_s, now)

    def _reject_unless_retryable(self, call: HostRequest, why: str) -> ProxyResponse | None:
        if call.sends >= call.route.tries or not call.replayable or call.may_have_run and not call.idempotent:
            return self.rejections.reject(call, why)
        return None

    def _should_hedge(self, call: HostRequest, lease: UpstreamLease) -> bool:
        """Returns whether to hedge: the upstream is silent to all requests, and another one can take it at once."""
        now = self.now()
        if not self.hosts.is_silent(lease.state, lease.sent_at) or call.end - now < MIN_TIME_LEFT_S:
            return False
        if (
            self.leases.revalidate(call, now) is not None
            or self.hosts.pick(call.service, call.route.homes, call.tried, now)[0] is None
        ):
            return False
        # Takes the retry now, so that it is still available when the hedge is sent.
        call.retry_reserved = self.hosts.budget(call.service).take_retry(now)
        return call.retry_reserved

    def _take_retry(self, call: HostRequest, now: float) -> bool:
        """Returns whether the budget grants a retry, or has reserved this one already."""
        if call.retry_reserved:
            call.retry_reserved = False
            return True
        return self.hosts.budget(call.service).take_retry(now)


def _latency(call: HostRequest, lease: UpstreamLease, now: float) -> float:
    """Returns how long the upstream took (s), from the end of the request where the client sent it meanwhile."""
    if call.body_stream is None:
        return now - lease.sent_at
    ended_at = call.body_stream.ended_at
    return lease.state.latency if ended_at is None else now - ended_at


def _is_timeout(result: Result[UpstreamResponse, str] | ClientLeft) -> bool:
    return isinstance(result, Err) and result.err_value == "limit"
