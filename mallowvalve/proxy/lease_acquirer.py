"""Chooses the upstream for the next send of a request on a host route, and takes a slot and a connection there."""

from __future__ import annotations

from collections.abc import Generator
from typing import Any

from mallowvalve.control.replica import Replica
from mallowvalve.proxy.admission import Admission
from mallowvalve.proxy.host_request import HostRequest
from mallowvalve.proxy.host_upstreams import HostUpstreams, UpstreamLease
from mallowvalve.proxy.rejections import MIN_TIME_LEFT_S, Rejections
from mallowvalve.proxy.steps import CLIENT_LEFT, ClientCheck, OpenConnection, ProxyResponse, Step, WaitForCapacity
from mallowvalve.proxy.upstream_state import UpstreamState
from mallowvalve.proxy.view_guard import ViewGuard

CONNECT_TIMEOUT_S = 0.4
PROBE_TIMEOUT_S = 0.2
QUEUE_POLL_S = 0.03
MAX_QUEUED_PER_SERVICE = 32
MAX_FAILED_OPENS = 3


class LeaseAcquirer:
    """Takes leases as a state machine without I/O: it yields steps and receives their results."""

    __slots__ = ("replica", "hosts", "admission", "rejections", "view", "counts", "now")

    def __init__(
        self, replica: Replica, hosts: HostUpstreams, admission: Admission, rejections: Rejections, view: ViewGuard
    ):
        """Takes slots and idle connections from `hosts`; the counters and the clock are those of `rejections`."""
        self.view = view
        self.replica = replica
        self.hosts = hosts
        self.admission = admission
        self.rejections = rejections
        self.counts = rejections.counts
        self.now = rejections.now

    def acquire(self, call: HostRequest) -> Generator[Step, object, UpstreamLease | ProxyResponse]:
        """Returns a lease with a connection that is ready to send on, or the rejection.

        Nothing waits between the last look at the age of the view and the return.
        """
        end = max(call.queue_end, self.now() + QUEUE_POLL_S)
        while True:
            yield from self.view.wait(call)
            now = self.now()
            rejection = self.revalidate(call, now)
            if rejection is not None:
                return rejection
            state, any_eligible = self._pick(call, now)
            if state is None:
                if call.sends or now >= end or not (yield from self._queue(call, min(end, now + QUEUE_POLL_S))):
                    return self.rejections.reject(
                        call, "the upstreams are busy" if any_eligible else "no upstream may take it just now"
                    )
                if (yield ClientCheck()) is CLIENT_LEFT:
                    return self.rejections.client_left(call)
                continue
            lease = UpstreamLease(self.hosts, state)
            if lease.reuse(call.route.kind != "read", now):
                return lease
            if not (yield from self._open(call, lease)):
                call.failed_opens += 1
                if call.failed_opens >= MAX_FAILED_OPENS:
                    return self.rejections.reject(call, "no connection to the upstreams tried")
                if (yield ClientCheck()) is CLIENT_LEFT:
                    return self.rejections.client_left(call)
                continue
            now = self.now()
            rejection = self.revalidate(call, now)
            is_usable = rejection is None and self.hosts.still_eligible(state, call.service, call.route.homes, now)
            if is_usable and not self.view.must_wait(call, now):
                return lease
            lease.release(keep=True)
            if rejection is not None:
                return rejection

    def _open(self, call: HostRequest, lease: UpstreamLease) -> Generator[Step, Any, bool]:
        """Opens a connection and returns whether that succeeded; the lease is released if not."""
        began, state = self.now(), lease.state
        state.connecting_since.append(began)
        try:
            opened = yield OpenConnection(
                state.upstream, "", min(call.end, began + (PROBE_TIMEOUT_S if state.half_open else CONNECT_TIMEOUT_S))
            )
        except BaseException:
            lease.release(keep=False)
            raise
        finally:
            state.connecting_since.remove(began)
        if opened.is_ok():
            lease.connection = opened.ok_value
            return True
        self.counts.add("upstream_open_failed")
        lease.release(keep=False)
        self.hosts.on_failure(state, self.now())
        return False

    def revalidate(self, call: HostRequest, now: float) -> ProxyResponse | None:
        """Checks the request against the current snapshot, which may have changed since it was admitted."""
        state = self.replica.state
        if state is None or not self.admission.settings.serve_on and not self.replica.admits(now):
            return self.rejections.reject(call, "its settings may be out of date")
        if now >= call.end or call.sends and call.end - now < MIN_TIME_LEFT_S:
            return self.rejections.reject(call, "the limit is over")
        route = state.items.find(call.host, call.path)
        if route is None:
            if not call.sends:
                return self.admission.no_route(now)
            return self.rejections.reject(call, "its route was dropped meanwhile")
        if route is call.route:
            return None
        if call.may_have_run and route.kind != call.route.kind:
            return self.rejections.reject(call, "its route changed its kind meanwhile")
        call.route = route
        call.end = min(call.end, call.arrived_at + route.limit_ms / 1000)
        if now >= call.end:
            return self.rejections.reject(call, "the limit is over")
        if call.service != route.service and not any(p.service == call.service and p.weight > 0 for p in route.split):
            call.service = self.admission.service_of(route)
        return None

    def _pick(self, call: HostRequest, now: float) -> tuple[UpstreamState | None, bool]:
        picked = self.hosts.pick(call.service, call.route.homes, call.tried, now)
        if picked[1] or call.sends or not call.route.split:
            return picked
        for part in call.route.split:
            if part.weight > 0 and part.service != call.service:
                other = self.hosts.pick(part.service, call.route.homes, call.tried, now)
                if other[1]:
                    call.service = part.service
                    return other
        return picked

    def _queue(self, call: HostRequest, end: float) -> Generator[Step, object, bool]:
        service, waiting = call.service, self.hosts.waiting
        if waiting.get(service, 0) >= MAX_QUEUED_PER_SERVICE:
            return False
        waiting[service] = waiting.get(service, 0) + 1
        try:
            yield WaitForCapacity(service, end, call.route.priority)
        finally:
            waiting[service] -= 1
            if not waiting[service]:
                del waiting[service]
        return True
