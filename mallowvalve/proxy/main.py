"""The proxy's process: its parts put together."""

from __future__ import annotations

import contextlib
import random
import uuid

import gevent

from mallowvalve import clock, web
from mallowvalve.control.replica_task import ReplicaTask
from mallowvalve.metrics import vital
from mallowvalve.node import Node
from mallowvalve.proxy.front import Front
from mallowvalve.proxy.host_forwarder import HostForwarder
from mallowvalve.proxy.host_upstreams import HostUpstreams
from mallowvalve.proxy.pool import Pool
from mallowvalve.proxy.retry_detector import RetryDetectorTask
from mallowvalve.proxy.serve import Rejections, Serve
from mallowvalve.proxy.tenant_forwarder import TenantForwarder
from mallowvalve.settings import Settings
from mallowvalve.types import emptied


class Doors:
    """A front with pages apart listens only once settings are held: who finds no listener tries elsewhere at once."""

    __slots__ = ("node", "replica", "_job")

    def __init__(self, node: Node, replica: ReplicaTask):
        self.node, self.replica = node, replica

    def __enter__(self) -> Doors:
        """Watch for the settings."""
        self._job = vital(gevent.spawn(self._run))
        return self

    def __exit__(self, *_) -> None:
        """Stop listening."""
        self._job.kill()
        self.node.server.stop(timeout=0.2)

    def _run(self) -> None:
        self.replica.settings_available.wait()
        if not self.node.stopping.is_set():
            self.node.server.start()


class Tidy:
    """Closes connections to upstreams that are gone, once a second, and all at the end."""

    __slots__ = ("pool", "hosts", "_job")

    def __init__(self, pool: Pool, hosts: HostUpstreams):
        self.pool, self.hosts = pool, hosts

    def __enter__(self) -> Tidy:
        """Begin."""
        self._job = vital(gevent.spawn(self._run))
        return self

    def __exit__(self, *_) -> None:
        """Close all."""
        self._job.kill()
        self.pool.connections.keep(set())
        self.hosts.idle_connections.prune(set(), self.hosts.now())

    def _run(self) -> None:
        while True:
            gevent.sleep(1.0)
            self.pool.tidy()
            self.hosts.prune()


def run(settings: Settings) -> None:
    """Run a proxy until it is told to stop."""
    node = Node(settings)
    replica = ReplicaTask(node)
    pool = Pool(node.heartbeats.board, replica.replica, settings.locality, random.Random(), clock.now)
    repeats = RetryDetectorTask(node.transport, replica.replica.roster)
    path = TenantForwarder(
        replica.replica,
        pool,
        repeats,
        node.counts,
        clock.now,
        settings.locality,
        f"{settings.transport}#{node.boot}",
        lambda: uuid.uuid4().hex,
    )
    serve = Serve(path, replica, settings.body_bytes)
    pool.on_free = serve.freed
    node.app.add_route("/-/rejections", Rejections(path))
    hosts = HostUpstreams(replica.replica, settings, random.Random(), clock.now)
    tries = HostForwarder(replica.replica, hosts, settings, node.counts, clock.now, random.Random())
    _mount(node, serve, hosts, tries)
    node.gauge(
        "busy", lambda: sum(pool.chooser.in_flight.values()) + sum(s.in_flight for s in hosts.upstreams.values())
    )
    node.late = settings.serve_on and settings.pages is not None
    with node, replica, Tidy(pool, hosts), repeats, Doors(node, replica) if node.late else contextlib.nullcontext():
        node.run(lambda: _ready(settings, replica))


def _mount(node: Node, serve: Serve, hosts: HostUpstreams, tries: HostForwarder) -> None:
    """With pages of their own, the front serves requests only; else it passes what is no host's to the one app."""
    apart = node.settings.pages is not None
    app = web.Later() if apart else node.app
    app.add_sink(serve, "/")
    front = Front(tries, app, only=apart)
    hosts.on_free = front.rooms.freed
    if apart:
        node.front = front
    else:
        node.server.application = front
    node.server.lean = True
    tries.admission.serves_until = serve.path.serves_until = lambda: node.server.until
    node.server.limits = lambda: _limits(tries)


def _limits(tries: HostForwarder):
    s = tries.replica.state
    return s.items.limits if s is not None and s.items.revision else None


def _ready(settings: Settings, replica: ReplicaTask) -> bool:
    s = replica.replica.state
    if settings.serve_on and s is not None and s.items.revision > 0:
        return True
    return replica.admits() and not emptied(settings.locality, s.settings.evacuated)
