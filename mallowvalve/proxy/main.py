"""The process of the proxy: builds and runs its parts."""

from __future__ import annotations

import contextlib
import random
import uuid
from contextlib import suppress

import gevent

from mallowvalve import clock, web
from mallowvalve.configuration.items import Limits
from mallowvalve.control.replica_task import ReplicaTask
from mallowvalve.memory_gauges import register_memory_gauges
from mallowvalve.metrics import Counts
from mallowvalve.node import Node
from mallowvalve.proxy.frontend import Frontend
from mallowvalve.proxy.host_forwarder import HostForwarder
from mallowvalve.proxy.host_upstreams import HostUpstreams
from mallowvalve.proxy.retry_detector import RetryDetectorTask
from mallowvalve.proxy.tenant_forwarder import TenantForwarder
from mallowvalve.proxy.tenant_frontend import RejectionsPage, TenantFrontend
from mallowvalve.proxy.tenant_upstream_pool import TenantUpstreamPool
from mallowvalve.settings import Settings
from mallowvalve.start_wait import StartCancelledError
from mallowvalve.supervision import exit_on_failure, restart_on_failure
from mallowvalve.types import is_evacuated


class DeferredListener:
    """Starts the server of a proxy only once the replica has settings.

    Until then connections are refused, so that clients try another proxy at once. Used if the pages have an address of
    their own.
    """

    __slots__ = ("node", "replica", "_greenlet")

    def __init__(self, node: Node, replica: ReplicaTask):
        """Does not listen yet."""
        self.node, self.replica = node, replica

    def __enter__(self) -> DeferredListener:
        """Starts to wait for settings."""
        self._greenlet = exit_on_failure(gevent.spawn(self._run))
        return self

    def __exit__(self, *_: object) -> None:
        """Stops the server."""
        self._greenlet.kill()
        self.node.server.shut_down()

    def _run(self) -> None:
        self.replica.settings_available.wait()
        if not self.node.stopping.is_set():
            with suppress(StartCancelledError):
                self.node.start_wait.retry("Server", self.node.server.start)


class ConnectionPruner:
    """Closes connections to removed upstreams, once a second, and all connections at the end."""

    __slots__ = ("pool", "hosts", "counts", "_greenlet")

    def __init__(self, pool: TenantUpstreamPool, hosts: HostUpstreams, counts: Counts):
        """Prunes the connections of `pool` (tenants' services) and `hosts` (host routes)."""
        self.pool, self.hosts, self.counts = pool, hosts, counts

    def __enter__(self) -> ConnectionPruner:
        """Starts to prune."""
        self._greenlet = restart_on_failure("pruner", self._run, self.counts)
        return self

    def __exit__(self, *_: object) -> None:
        """Closes all idle connections."""
        self._greenlet.kill()
        self.pool.idle_connections.prune(set())
        self.hosts.idle_connections.prune(set(), self.hosts.now())

    def _run(self) -> None:
        while True:
            gevent.sleep(1.0)
            self.pool.prune()
            self.hosts.prune()


def run(settings: Settings) -> None:
    """Runs a proxy until it is told to stop."""
    node = Node(settings)
    replica = ReplicaTask(node)
    pool = TenantUpstreamPool(node.heartbeats.table, replica.replica, settings.locality, random.Random(), clock.now)
    retry_detector = RetryDetectorTask(node.transport, replica.replica.roster)
    tenant_forwarder = TenantForwarder(
        replica.replica,
        pool,
        retry_detector,
        node.counts,
        clock.now,
        settings.locality,
        f"{settings.transport}#{node.boot}",
        lambda: uuid.uuid4().hex,
    )
    tenant_frontend = TenantFrontend(tenant_forwarder, replica, settings.body_bytes)
    pool.on_free = tenant_frontend.wake_waiting
    node.app.add_route("/-/rejections", RejectionsPage(tenant_forwarder))
    hosts = HostUpstreams(replica.replica, settings, random.Random(), clock.now)
    host_forwarder = HostForwarder(replica.replica, hosts, settings, node.counts, clock.now, random.Random())
    host_forwarder.view.ask = replica.ask_for_confirmation
    node.gauge("view_age_at_send_s", host_forwarder.view.ages.snapshot)
    _mount(node, tenant_frontend, hosts, host_forwarder)
    register_memory_gauges(node)
    node.gauge(
        "busy",
        lambda: sum(pool.chooser.in_flight.values()) + sum(state.in_flight for state in hosts.upstreams.values()),
    )
    node.defers_web_server = settings.serve_on and settings.pages is not None
    with (
        node,
        replica,
        ConnectionPruner(pool, hosts, node.counts),
        retry_detector,
        DeferredListener(node, replica) if node.defers_web_server else contextlib.nullcontext(),
    ):
        node.run(lambda: _ready(settings, replica))


def _mount(node: Node, tenant_frontend: TenantFrontend, hosts: HostUpstreams, host_forwarder: HostForwarder) -> None:
    """Sets the application of the node's server.

    If the pages have an address of their own, the server takes requests for upstreams only; otherwise the frontend
    passes all but the requests on host routes to the node's app.
    """
    has_own_pages_address = node.settings.pages is not None
    app = web.LazyApp() if has_own_pages_address else node.app
    app.add_sink(tenant_frontend, "/")
    frontend = Frontend(host_forwarder, app, traffic_only=has_own_pages_address)
    hosts.on_free = frontend.capacity_queue.wake_next
    if has_own_pages_address:
        node.web_application = frontend
    else:
        node.server.application = frontend
    node.server.minimal_environ = True
    host_forwarder.admission.serves_until = tenant_frontend.forwarder.serves_until = lambda: node.server.stop_deadline
    node.server.limits = lambda: _limits(host_forwarder)


def _limits(host_forwarder: HostForwarder) -> Limits | None:
    state = host_forwarder.replica.state
    return state.items.limits if state is not None and state.items.revision else None


def _ready(settings: Settings, replica: ReplicaTask) -> bool:
    state = replica.replica.state
    if settings.serve_on and state is not None and state.items.revision > 0:
        return True
    return state is not None and replica.admits() and not is_evacuated(settings.locality, state.settings.evacuated)
