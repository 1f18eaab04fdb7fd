from types import SimpleNamespace

import pytest
from gevent.event import Event

from mallowvalve import clock
from mallowvalve.count import Counts
from mallowvalve.kind import Address, Locality
from mallowvalve.law import wire
from mallowvalve.law.cut import cut_settings
from mallowvalve.law.echotask import EchoTask
from mallowvalve.law.pull import Puller
from mallowvalve.law.state import State, encode
from mallowvalve.law.wire import Fed, Who
from mallowvalve.mesh.task import Mesh
from mallowvalve.vote.wire import Group, Picture, Voters
from mallowvalve.whole.ports import free_ports
from tests.test_parts import service

G, EU = Group(3, "g"), Locality("eu", "a")


def soon(test) -> bool:
    end = clock.now() + 20
    while not test() and clock.now() < end:
        Event().wait(0.02)
    return bool(test())


class Law:
    """Answers wants as one that leads, follows, or says nothing at all."""

    def __init__(self, addr: Address, index: int):
        self.addr, self.mesh = addr, Mesh(addr, "f", Counts())
        self.state, self.role, self.leader, self.wants = State(3), "none", None, []
        for n in range(index):
            self.state.apply(n + 1, n, encode(service("s", n + 1)))
        Puller(self.mesh, lambda: None, settings=self.made)
        self.mesh.on("want", self.want)
        self.mesh.on("who", lambda s, b: None if self.role == "silent" else wire.encode(self.who()))

    def made(self):
        return Picture(G, self.state.index, 1, Voters({}), []), cut_settings(self.state)

    def who(self):
        return Who("law", "x", self.addr, EU, [], False, G, self.state.index, Voters({}), None)

    def want(self, sender, body):
        w = wire.want(body)
        self.wants.append(w)
        if self.role == "silent":
            return None
        if self.role != "leads":
            return wire.encode(Fed(self.leader))
        Event().wait(min(w.hold, 0.05))
        lacking = w.group != G or w.index < self.state.index
        return wire.encode(
            Fed(self.addr, G, lacking, [], self.state.index, self.state.params.revision, 0.0, Voters({}))
        )


@pytest.fixture
def fleet():
    me, *others = (Address("127.0.0.1", p) for p in free_ports(5))
    laws = [Law(a, n + 1) for n, a in enumerate(others[:3])]
    mesh = Mesh(me, "f", Counts())
    params = SimpleNamespace(
        mesh=me,
        role="flow",
        locality=EU,
        seeds=[x.addr for x in laws] + others[3:],
        holds="settings",
        serve_on=True,
    )
    node = SimpleNamespace(
        params=params,
        boot=1,
        counts=mesh.counts,
        mesh=mesh,
        bond=SimpleNamespace(alive=lambda role=None: []),
        gauge=lambda *a: None,
        allow=lambda *a: None,
    )
    with mesh, laws[0].mesh, laws[1].mesh, laws[2].mesh:
        yield node, laws


def test_a_leader_is_found_among_silent_dead_and_following_ones_and_again_when_it_falls_silent(fleet):
    node, (a, b, c) = fleet
    a.role, b.leader, c.role = "silent", c.addr, "leads"
    with EchoTask(node) as t:
        assert soon(lambda: t.echo.leader == c.addr and t.echo.state is not None and t.echo.state.index == 3)
        assert t.echo.parts == "settings" and {w.parts for w in c.wants} == {"settings"}
        while a.state.index < 5:
            a.state.apply(a.state.index + 1, 9, encode(service("s", a.state.index + 1)))
        a.role, c.role = "leads", "silent"
        assert soon(lambda: t.echo.leader == a.addr and t.echo.state.index == 5)
        assert t.echo.state.items.services["s"].version == 5


def test_with_no_leader_the_newest_settings_of_any_law_serve_and_never_older_ones(fleet):
    node, laws = fleet
    with EchoTask(node) as t:
        assert soon(lambda: t.echo.state is not None and t.echo.state.index == 3)
        assert t.echo.leader is None
        laws[2].role = "silent"
        asked = len(laws[1].wants)
        assert soon(lambda: len(laws[1].wants) > asked + 3)
        assert t.echo.state.index == 3


def test_a_strict_proxy_takes_no_settings_without_a_leader(fleet):
    node, laws = fleet
    node.params.serve_on = False
    with EchoTask(node) as t:
        assert soon(lambda: len(laws[0].wants) > 10)
        assert t.echo.state is None
    assert laws[0].wants[0].hold == 0.0
