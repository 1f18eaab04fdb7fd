"""Served again soon after everything stopped: what a law knows of itself, what a blank proxy takes, when its door opens."""

import random
from types import SimpleNamespace

import gevent
import msgspec
from gevent.event import Event

from mallowvalve.flow.main import Doors
from mallowvalve.law import store, wire
from mallowvalve.law.core import Core, founding
from mallowvalve.law.cut import load
from mallowvalve.law.echotask import EchoTask
from mallowvalve.law.state import encode
from mallowvalve.tale.log import Tale
from mallowvalve.vote.raft import FIRST, Times
from mallowvalve.vote.wire import Append, Entry, Envelope, Group, Hard, Voters
from sim.disk import SimDisk
from tests.test_core import A, B, EU, G, core
from tests.test_follow import fleet, soon  # noqa: F401
from tests.test_parts import service

AB = Voters({"a": A, "b": B})


class Saved:
    """A law's machine over its disk, without sockets."""

    def __init__(self, disk, voters):
        self.disk = disk
        self.tale = Tale.open(disk, "f", "a").unwrap()
        loaded = store.load(self.tale).unwrap()
        self.core = Core("a", A, EU, random.Random(1))
        if loaded.picture is None:
            p = founding(G, voters, None)
            store.turn(self.tale, p, store.head(Hard(G, 0, ""), []))
            self.core.start(p, None, [], 0.0)
        else:
            self.core.start(loaded.picture, loaded.hard, loaded.entries, 0.0)

    def step(self, now):
        self.core.tick(now)
        r = self.core.ready(now)
        store.save(self.tale, r, self.core.raft.hard())
        self.core.saved(r, now)
        return r


def entries(n):
    return [Entry(i, 1, 1, i, encode(service("s", i))) for i in range(1, n + 1)]


def heard(s, es, commit, now, prev=0):
    m = Append(1, prev, 1 if prev else 0, es, commit, 1)
    s.core.receive(Envelope(G, "b", "a", B, m), now)
    return s.step(now)


def test_a_restarted_law_holds_what_it_knew_as_committed_before_there_is_a_leader():
    disk = SimDisk(random.Random(1))
    s = Saved(disk, AB)
    heard(s, entries(5), 3, 1.0)
    assert s.core.state.index == 3
    again = Saved(disk, AB).core
    assert again.state.index == 3 and again.leader() is None and not again.unborn and again.decided == []
    p, pieces = again.settings()
    assert p.index == 3 and load(list(pieces)).items.services["s"].version == 3
    assert again.raft.log.last == 5 and again.raft.commit == 3


def test_settings_committed_with_nothing_after_them_are_noted_once():
    disk = SimDisk(random.Random(1))
    s = Saved(disk, AB)
    heard(s, entries(2), 0, 1.0)
    heard(s, [], 2, 1.01, prev=2)
    assert Saved(disk, AB).core.state.index == 0
    s.step(1.02)
    assert s.core.wakeup(1.03) < 1.06
    s.step(1.06)
    batches = len(s.tale.batches) + len(Tale.open(disk, "f", "a").unwrap().batches)
    assert Saved(disk, AB).core.state.index == 2
    for n in range(10):
        s.step(1.07 + n / 100)
    assert len(s.tale.batches) + len(Tale.open(disk, "f", "a").unwrap().batches) == batches


def test_a_note_beyond_a_torn_log_counts_only_for_what_is_there():
    p = founding(G, AB, None)
    c = Core("a", A, EU, random.Random(1))
    c.start(p, Hard(G, 1, "", 9), entries(4), 0.0)
    assert c.raft.commit == c.state.index == 4
    c.start(p, Hard(Group(2, "other"), 1, "", 4), entries(4), 0.0)
    assert c.state.index == 0


def test_a_disk_written_without_the_note_is_read():
    class Old(msgspec.Struct, array_like=True):
        group: Group
        term: int
        vote: str

    assert msgspec.msgpack.decode(msgspec.msgpack.encode(Old(G, 2, "b")), type=Hard) == Hard(G, 2, "b", 0)


def test_the_first_campaign_after_a_start_comes_within_one_time_out():
    t = Times().election
    at = [Core("a", A, EU, random.Random(n)) for n in range(50)]
    for c in at:
        c.start(founding(G, AB, None), None, [], 10.0)
    assert all(10 + FIRST * t <= c.raft.wakeup() <= 10 + t for c in at)
    c = core(AB)
    c.receive(Envelope(G, "b", "a", B, Append(1, 0, 0, [], 0, 1)), 1.0)
    assert 1 + t <= c.raft.wakeup() <= 1 + 2 * t


def test_a_blank_proxy_takes_the_newest_settings_that_answer_and_does_not_wait_for_the_silent(fleet):  # noqa: F811
    node, (a, b, c) = fleet
    node.params.seeds = [a.addr, b.addr, c.addr]
    c.mesh.on("who", lambda s, body: Event().wait(5))
    c.role = "silent"
    with EchoTask(node) as t:
        assert not t.held.is_set()
        assert soon(t.held.is_set)
        assert t.echo.state.index == 2 and t.echo.leader is None
        c.mesh.on("who", lambda s, body: wire.encode(c.who()))
        assert soon(lambda: t.echo.state.index == 3)
        a.state.apply(9, 9, encode(service("s", 9)))
        assert soon(lambda: t.echo.state.index == 9)


def test_empty_settings_are_not_held(fleet):  # noqa: F811
    node, laws = fleet
    for x in laws:
        x.state = type(x.state)(3)
    with EchoTask(node) as t:
        assert soon(lambda: t.echo.state is not None) and not t.held.is_set()
        laws[1].state.apply(1, 1, encode(service("s", 1)))
        assert soon(t.held.is_set)


def test_the_door_opens_once_settings_are_held_and_stays_open():
    began = []
    server = SimpleNamespace(start=lambda: began.append(1), stop=lambda timeout: began.append(0))
    node, echo = SimpleNamespace(server=server, stopping=Event()), SimpleNamespace(held=Event())
    with Doors(node, echo):
        gevent.idle()
        assert began == []
        echo.held.set()
        assert soon(lambda: began == [1])
    assert began == [1, 0]
