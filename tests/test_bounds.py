import random

from mallowvalve.control.acknowledgement import Replicas
from mallowvalve.control.core import Core
from mallowvalve.control.state import Settings
from mallowvalve.control.wire import Want, Who
from mallowvalve.membership.detector import FORGET_AFTER_S, Membership
from mallowvalve.membership.task import MembershipTask
from mallowvalve.membership.wire import FAILED, PROTOCOL_VERSION, DatagramHeader, Tell
from mallowvalve.metrics import Counts
from mallowvalve.raft.messages import Group
from mallowvalve.transport.task import Transport
from mallowvalve.types import Address, Locality
from mallowvalve.upstreams.board import TOMBSTONE_S, Heartbeat
from mallowvalve.upstreams.task import HeartbeatTask
from tests.test_membership import record

LOC, ME = Locality("eu", "a"), Address("127.0.0.1", 1)
MANY = [Address("10.0.0.1", 1000 + i) for i in range(2000)]


def detector():
    return Membership(record(ME), "f", [], random.Random(1), 2.0, 3, 0.5)


def test_names_of_peers_that_are_forgotten_are_forgotten_everywhere():
    t = MembershipTask(detector())
    for i, a in enumerate(MANY):
        t.membership.receive(Tell(DatagramHeader(PROTOCOL_VERSION, "f", a, 1, 0), [record(a, state=FAILED)]), float(i))
        t._log()
    t.membership.tick(10_000 + FORGET_AFTER_S)
    t._log()
    assert len(t.membership.view) == 0 == len(t.membership._departed_at) == len(t._logged_states)


def test_names_of_upstreams_that_are_forgotten_are_forgotten_everywhere():
    t = HeartbeatTask(MembershipTask(detector()), Transport(ME, "f", Counts()))
    for i in range(2000):
        b = Heartbeat("s", f"i{i}", 1, 1, 0.0, "ready", LOC, ME)
        t.table.record(b, 0.0)
        t._log(b)
    t.drop_expired(TOMBSTONE_S + 1.0)
    assert len(t.table.rows) == 0 == len(t._logged_status)


def test_lines_to_peers_long_unused_are_closed():
    m = Transport(ME, "f", Counts())
    for a in MANY[:400]:
        m._channel(a, 0.0)
    m._channel(MANY[500], 100.0)
    assert len(m._channels) == 1


def test_a_leader_forgets_core_machines_and_replicas_it_no_longer_hears():
    c = Core("a", ME, LOC, random.Random(1))
    for i, a in enumerate(MANY):
        c.here(Who("control", f"id{i}", a, LOC, [], True, None, 0, None, None), i * 1.0)
    assert len(c.seen) < 100
    e = Replicas(LOC)
    for i, a in enumerate(MANY):
        e.heard(Want(a, 1, "directory", LOC, None, 0, 0, 0.0), Group(1, "g"), 1, i * 1.0)
        e.watch(Settings(), i * 1.0)
    assert len(e.heard_of) < 100
