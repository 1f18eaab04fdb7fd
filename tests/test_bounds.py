import random

from mallowvalve.control.acknowledgement import Replicas
from mallowvalve.control.core import Core
from mallowvalve.control.state import ReplicatedSettings
from mallowvalve.control.wire import ProcessStatus, ReplicationRequest
from mallowvalve.membership.detector import FORGET_AFTER_S, Membership
from mallowvalve.membership.task import MembershipTask
from mallowvalve.membership.wire import FAILED, PROTOCOL_VERSION, DatagramHeader, Tell
from mallowvalve.metrics import Counts
from mallowvalve.raft.messages import GroupId
from mallowvalve.transport.task import Transport
from mallowvalve.types import Address, Locality
from mallowvalve.upstreams.board import TOMBSTONE_S, Heartbeat
from mallowvalve.upstreams.task import HeartbeatTask
from tests.test_membership import record

LOCALITY = Locality("eu", "a")
OWN_ADDRESS = Address("127.0.0.1", 1)
ADDRESSES = [Address("10.0.0.1", 1000 + i) for i in range(2000)]


def detector():
    return Membership(record(OWN_ADDRESS), "f", [], random.Random(1), 2.0, 3, 0.5)


def test_a_forgotten_peer_leaves_no_entry_in_any_table():
    task = MembershipTask(detector())
    for index, address in enumerate(ADDRESSES):
        task.membership.receive(
            Tell(DatagramHeader(PROTOCOL_VERSION, "f", address, 1, 0), [record(address, state=FAILED)]), float(index)
        )
        task._log()
    task.membership.tick(10_000 + FORGET_AFTER_S)
    task._log()
    assert len(task.membership.view) == 0 == len(task.membership._departed_at) == len(task._logged_states)


def test_a_forgotten_upstream_leaves_no_entry_in_any_table():
    task = HeartbeatTask(MembershipTask(detector()), Transport(OWN_ADDRESS, "f", Counts()))
    for index in range(2000):
        heartbeat = Heartbeat("s", f"i{index}", 1, 1, 0.0, "ready", LOCALITY, OWN_ADDRESS)
        task.table.record(heartbeat, 0.0)
        task._log(heartbeat)
    task.drop_expired(TOMBSTONE_S + 1.0)
    assert len(task.table.rows) == 0 == len(task._logged_status)


def test_unused_connections_to_peers_are_closed():
    transport = Transport(OWN_ADDRESS, "f", Counts())
    for address in ADDRESSES[:400]:
        transport._channel(address, 0.0)
    transport._channel(ADDRESSES[500], 100.0)
    assert len(transport._channels) == 1


def test_a_leader_forgets_silent_core_members_and_replicas():
    core = Core("a", OWN_ADDRESS, LOCALITY, random.Random(1))
    for index, address in enumerate(ADDRESSES):
        core.announced(
            ProcessStatus("control", f"id{index}", address, LOCALITY, [], True, None, 0, None, None), index * 1.0
        )
    assert len(core.announcements) < 100
    replicas = Replicas(LOCALITY)
    for index, address in enumerate(ADDRESSES):
        replicas.record_request(
            ReplicationRequest(address, 1, "directory", LOCALITY, None, 0, 0, 0.0), GroupId(1, "g"), 1, index * 1.0
        )
        replicas.observe_settings(ReplicatedSettings(), index * 1.0)
    assert len(replicas.status_by_address) < 100
