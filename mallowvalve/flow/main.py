from __future__ import annotations

import contextlib
import random
import uuid

import gevent

from mallowvalve import clock, web
from mallowvalve.count import vital
from mallowvalve.flow.draw import emptied
from mallowvalve.flow.front import Front
from mallowvalve.flow.host import Hosts
from mallowvalve.flow.path import Path
from mallowvalve.flow.pool import Pool
from mallowvalve.flow.repeats import RepeatTask
from mallowvalve.flow.serve import Bounces, Serve
from mallowvalve.flow.tries import Tries
from mallowvalve.law.echotask import EchoTask
from mallowvalve.node import Node
from mallowvalve.params import Params


class Doors:
    """A front with pages apart listens only once settings are held: who is turned away at the door tries elsewhere at once."""

    __slots__ = ("node", "echo", "_job")

    def __init__(self, node: Node, echo: EchoTask):
        self.node, self.echo = node, echo

    def __enter__(self) -> Doors:
        self._job = vital(gevent.spawn(self._run))
        return self

    def __exit__(self, *_) -> None:
        self._job.kill()
        self.node.server.stop(timeout=0.2)

    def _run(self) -> None:
        self.echo.held.wait()
        if not self.node.stopping.is_set():
            self.node.server.start()


class Tidy:
    """Closes sessions to upstreams that are gone, once a second, and all at the end."""

    __slots__ = ("pool", "hosts", "_job")

    def __init__(self, pool: Pool, hosts: Hosts):
        self.pool, self.hosts = pool, hosts

    def __enter__(self) -> Tidy:
        self._job = vital(gevent.spawn(self._run))
        return self

    def __exit__(self, *_) -> None:
        self._job.kill()
        self.pool.sessions.keep(set())
        self.hosts.links.tidy(set(), self.hosts.now())

    def _run(self) -> None:
        while True:
            gevent.sleep(1.0)
            self.pool.tidy()
            self.hosts.tidy()


def run(params: Params) -> None:
    node = Node(params)
    echo = EchoTask(node)
    pool = Pool(node.beats.board, echo.echo, params.locality, random.Random(), clock.now)
    repeats = RepeatTask(node.mesh, echo.echo.roster)
    path = Path(
        echo.echo,
        pool,
        repeats,
        node.counts,
        clock.now,
        params.locality,
        f"{params.mesh}#{node.boot}",
        lambda: uuid.uuid4().hex,
    )
    serve = Serve(path, echo, params.body_bytes)
    pool.on_free = serve.freed
    node.app.add_route("/-/bounces", Bounces(path))
    hosts = Hosts(echo.echo, params, random.Random(), clock.now)
    tries = Tries(echo.echo, hosts, params, node.counts, clock.now, random.Random())
    _mount(node, serve, hosts, tries)
    node.gauge("busy", lambda: sum(pool.draw.busy.values()) + sum(s.busy for s in hosts.spots.values()))
    node.late = params.serve_on and params.pages is not None
    with node, echo, Tidy(pool, hosts), repeats, Doors(node, echo) if node.late else contextlib.nullcontext():
        node.run(lambda: _ready(params, echo))


def _mount(node: Node, serve: Serve, hosts: Hosts, tries: Tries) -> None:
    """With pages of their own, the front serves requests only; else it passes what is no host's to the one app."""
    apart = node.params.pages is not None
    app = web.Later() if apart else node.app
    app.add_sink(serve, "/")
    front = Front(tries, app, only=apart)
    hosts.on_free = front.rooms.freed
    if apart:
        node.front = front
    else:
        node.server.application = front
    node.server.lean = True
    tries.until = lambda: node.server.until
    node.server.limits = lambda: _limits(tries)


def _limits(tries: Tries):
    s = tries.echo.state
    return s.items.limits if s is not None and s.items.revision else None


def _ready(params: Params, echo: EchoTask) -> bool:
    s = echo.echo.state
    if params.serve_on and s is not None and s.items.revision > 0:
        return True
    return echo.admits() and not emptied(params.locality, s.params.evacuated)
