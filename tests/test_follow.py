from types import SimpleNamespace

import pytest
from gevent.event import Event

from mallowvalve import clock
from mallowvalve.control import wire
from mallowvalve.control.replica_task import ReplicaTask
from mallowvalve.control.snapshot import encode_settings_pieces
from mallowvalve.control.snapshot_fetch import SnapshotExchange
from mallowvalve.control.state import ReplicatedState, encode
from mallowvalve.control.wire import ProcessStatus, ReplicationResponse
from mallowvalve.localfleet.ports import free_ports
from mallowvalve.metrics import Counts
from mallowvalve.raft.messages import ClusterConfiguration, GroupId, RaftSnapshot
from mallowvalve.transport.task import Transport
from mallowvalve.types import Address, Locality
from tests.test_parts import service_amendment

G, EU = GroupId(3, "g"), Locality("eu", "a")


def eventually(condition) -> bool:
    end = clock.now() + 20
    while not condition() and clock.now() < end:
        Event().wait(0.02)
    return bool(condition())


class FakeControl:
    """A control process that answers replication requests as a leader or follower, or not at all."""

    def __init__(self, addr: Address, index: int):
        self.addr, self.transport = addr, Transport(addr, "f", Counts())
        self.state, self.role, self.leader, self.requests = ReplicatedState(3), "none", None, []
        for number in range(index):
            self.state.apply(number + 1, number, encode(service_amendment("s", number + 1)))
        SnapshotExchange(self.transport, lambda: None, settings=self.settings_snapshot)
        self.transport.on("want", self.answer_request)
        self.transport.on(
            "who", lambda sender, body: None if self.role == "silent" else wire.encode(self.process_status())
        )

    def settings_snapshot(self):
        return RaftSnapshot(G, self.state.index, 1, ClusterConfiguration({}), []), encode_settings_pieces(self.state)

    def process_status(self):
        return ProcessStatus(
            "control", "x", self.addr, EU, [], False, G, self.state.index, ClusterConfiguration({}), None
        )

    def answer_request(self, sender, body):
        request = wire.decode_replication_request(body)
        self.requests.append(request)
        if self.role == "silent":
            return None
        if self.role != "leads":
            return wire.encode(ReplicationResponse(self.leader))
        Event().wait(min(request.max_wait_s, 0.05))
        needs_snapshot = request.group != G or request.index < self.state.index
        return wire.encode(
            ReplicationResponse(
                self.addr,
                G,
                needs_snapshot,
                [],
                self.state.index,
                self.state.settings.revision,
                0.0,
                ClusterConfiguration({}),
            )
        )


@pytest.fixture
def fleet():
    me, *others = (Address("127.0.0.1", port) for port in free_ports(5))
    controls = [FakeControl(address, number + 1) for number, address in enumerate(others[:3])]
    transport = Transport(me, "f", Counts())
    settings = SimpleNamespace(
        transport=me,
        role="proxy",
        locality=EU,
        seeds=[control.addr for control in controls] + others[3:],
        holds="settings",
        serve_on=True,
    )
    node = SimpleNamespace(
        settings=settings,
        boot=1,
        counts=transport.counts,
        transport=transport,
        membership=SimpleNamespace(alive=lambda role=None: []),
        gauge=lambda *arguments: None,
        set_service_filter=lambda *arguments: None,
    )
    with transport, controls[0].transport, controls[1].transport, controls[2].transport:
        yield node, controls


def test_a_replica_finds_the_leader_among_unresponsive_processes_and_again_once_it_is_silent(fleet):
    node, (first, second, third) = fleet
    first.role, second.leader, third.role = "silent", third.addr, "leads"
    with ReplicaTask(node) as task:
        assert eventually(
            lambda: (
                task.replica.leader == third.addr and task.replica.state is not None and task.replica.state.index == 3
            )
        )
        assert task.replica.scope == "settings" and {request.scope for request in third.requests} == {"settings"}
        while first.state.index < 5:
            first.state.apply(first.state.index + 1, 9, encode(service_amendment("s", first.state.index + 1)))
        first.role, third.role = "leads", "silent"
        assert eventually(lambda: task.replica.leader == first.addr and task.replica.state.index == 5)
        assert task.replica.state.items.services["s"].version == 5


def test_without_a_leader_a_replica_holds_the_newest_settings_of_any_control_process(fleet):
    node, controls = fleet
    with ReplicaTask(node) as task:
        assert eventually(lambda: task.replica.state is not None and task.replica.state.index == 3)
        assert task.replica.leader is None
        controls[2].role = "silent"
        asked = len(controls[1].requests)
        assert eventually(lambda: len(controls[1].requests) > asked + 3)
        assert task.replica.state.index == 3


def test_a_proxy_without_serve_on_installs_no_settings_without_a_leader(fleet):
    node, controls = fleet
    node.settings.serve_on = False
    with ReplicaTask(node) as task:
        assert eventually(lambda: len(controls[0].requests) > 10)
        assert task.replica.state is None
    assert controls[0].requests[0].max_wait_s == 0.0
