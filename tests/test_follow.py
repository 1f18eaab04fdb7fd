from types import SimpleNamespace

import pytest
from gevent.event import Event

from mallowvalve import clock
from mallowvalve.control import wire
from mallowvalve.control.replica_task import ReplicaTask
from mallowvalve.control.snapshot import cut_settings
from mallowvalve.control.snapshot_fetch import Puller
from mallowvalve.control.state import ReplicatedState, encode
from mallowvalve.control.wire import ProcessStatus, ReplicationResponse
from mallowvalve.localfleet.ports import free_ports
from mallowvalve.metrics import Counts
from mallowvalve.raft.messages import Group, Snapshot, Voters
from mallowvalve.transport.task import Transport
from mallowvalve.types import Address, Locality
from tests.test_parts import service_amendment

G, EU = Group(3, "g"), Locality("eu", "a")


def eventually(test) -> bool:
    end = clock.now() + 20
    while not test() and clock.now() < end:
        Event().wait(0.02)
    return bool(test())


class Control:
    """Answers wants as one that leads, follows, or says nothing at all."""

    def __init__(self, addr: Address, index: int):
        self.addr, self.transport = addr, Transport(addr, "f", Counts())
        self.state, self.role, self.leader, self.wants = ReplicatedState(3), "none", None, []
        for n in range(index):
            self.state.apply(n + 1, n, encode(service_amendment("s", n + 1)))
        Puller(self.transport, lambda: None, settings=self.made)
        self.transport.on("want", self.want)
        self.transport.on("who", lambda s, b: None if self.role == "silent" else wire.encode(self.who()))

    def made(self):
        return Snapshot(G, self.state.index, 1, Voters({}), []), cut_settings(self.state)

    def who(self):
        return ProcessStatus("control", "x", self.addr, EU, [], False, G, self.state.index, Voters({}), None)

    def want(self, sender, body):
        w = wire.decode_replication_request(body)
        self.wants.append(w)
        if self.role == "silent":
            return None
        if self.role != "leads":
            return wire.encode(ReplicationResponse(self.leader))
        Event().wait(min(w.max_wait_s, 0.05))
        needs_snapshot = w.group != G or w.index < self.state.index
        return wire.encode(
            ReplicationResponse(
                self.addr, G, needs_snapshot, [], self.state.index, self.state.settings.revision, 0.0, Voters({})
            )
        )


@pytest.fixture
def fleet():
    me, *others = (Address("127.0.0.1", p) for p in free_ports(5))
    controls = [Control(a, n + 1) for n, a in enumerate(others[:3])]
    transport = Transport(me, "f", Counts())
    settings = SimpleNamespace(
        transport=me,
        role="proxy",
        locality=EU,
        seeds=[x.addr for x in controls] + others[3:],
        holds="settings",
        serve_on=True,
    )
    node = SimpleNamespace(
        settings=settings,
        boot=1,
        counts=transport.counts,
        transport=transport,
        membership=SimpleNamespace(alive=lambda role=None: []),
        gauge=lambda *a: None,
        allow=lambda *a: None,
    )
    with transport, controls[0].transport, controls[1].transport, controls[2].transport:
        yield node, controls


def test_a_leader_is_found_among_silent_dead_and_following_ones_and_again_when_it_falls_silent(fleet):
    node, (a, b, c) = fleet
    a.role, b.leader, c.role = "silent", c.addr, "leads"
    with ReplicaTask(node) as t:
        assert eventually(
            lambda: t.replica.leader == c.addr and t.replica.state is not None and t.replica.state.index == 3
        )
        assert t.replica.scope == "settings" and {w.scope for w in c.wants} == {"settings"}
        while a.state.index < 5:
            a.state.apply(a.state.index + 1, 9, encode(service_amendment("s", a.state.index + 1)))
        a.role, c.role = "leads", "silent"
        assert eventually(lambda: t.replica.leader == a.addr and t.replica.state.index == 5)
        assert t.replica.state.items.services["s"].version == 5


def test_with_no_leader_the_newest_settings_of_any_control_process_serve_and_never_older_ones(fleet):
    node, controls = fleet
    with ReplicaTask(node) as t:
        assert eventually(lambda: t.replica.state is not None and t.replica.state.index == 3)
        assert t.replica.leader is None
        controls[2].role = "silent"
        asked = len(controls[1].wants)
        assert eventually(lambda: len(controls[1].wants) > asked + 3)
        assert t.replica.state.index == 3


def test_a_strict_proxy_takes_no_settings_without_a_leader(fleet):
    node, controls = fleet
    node.settings.serve_on = False
    with ReplicaTask(node) as t:
        assert eventually(lambda: len(controls[0].wants) > 10)
        assert t.replica.state is None
    assert controls[0].wants[0].max_wait_s == 0.0
