"""Pings beside the detector's periods: when a lone proxy is doubted, and when no more."""

import random

from mallowvalve.membership.detector import Membership, initial_record
from mallowvalve.membership.direct_probe import IDLE_S, PROBE_INTERVAL_S, SUSPECT_AFTER_S, SUSPECT_PINGS, DirectProbes
from mallowvalve.membership.wire import Ack, Ping, RequestedRecords, Tell
from mallowvalve.types import Address, Locality

HERE = Locality("eu", "eu-a")


def member(n, boot=1):
    address = Address(f"10.0.0.{n}", 1)
    return Membership(
        initial_record(address, boot, "proxy", f"n{n}", HERE, address), "f", [], random.Random(n), 1.0, 3, 0.1
    )


def meet(a, b, now):
    """Deliver what the two send each other until they know each other."""
    queue = [(a.me.addr, Tell(b._header(), [b.me], RequestedRecords.SELF))]
    while queue:
        to, message = queue.pop(0)
        queue += (a if to == a.me.addr else b).receive(message, now)


def test_pings_are_spaced_however_often_it_is_asked():
    probes, it = DirectProbes(), member(2).me
    sent = sum(probes.due(it, 10.0 + 0.01 * i) for i in range(100))
    assert sent == 5
    assert PROBE_INTERVAL_S == 0.2


def test_a_member_is_doubted_after_several_unanswered_pings_and_trusted_with_the_first_ack():
    probes, it = DirectProbes(), member(2).me
    now = 0.0
    while now < SUSPECT_AFTER_S:
        assert not probes.suspects(it, now)
        probes.due(it, now)
        now += PROBE_INTERVAL_S
    assert probes.suspects(it, SUSPECT_AFTER_S)
    probes.acked(it.addr)
    assert not probes.suspects(it, SUSPECT_AFTER_S)


def test_few_pings_are_no_reason_to_doubt_and_another_life_begins_anew():
    probes, it = DirectProbes(), member(2).me
    for i in range(SUSPECT_PINGS - 1):
        probes.due(it, float(i))
    assert not probes.suspects(it, 4.0)
    probes.due(it, 4.0)
    assert probes.suspects(it, 4.0)
    assert not probes.suspects(member(2, boot=2).me, 4.0)
    probes.due(member(2, boot=2).me, 4.1)
    assert not probes.suspects(member(2, boot=2).me, 9.0)


def test_who_is_not_asked_about_is_forgotten():
    probes, it, other = DirectProbes(), member(2).me, member(3).me
    for i in range(SUSPECT_PINGS):
        probes.due(it, float(i))
    probes.due(other, SUSPECT_PINGS + IDLE_S)
    assert not probes.suspects(it, SUSPECT_PINGS + IDLE_S)


def test_a_check_is_an_ordinary_ping_that_any_member_acks():
    a, b = member(1), member(2)
    meet(a, b, 0.0)
    ((to, ping),) = a.probe(b.me, 1.0)
    assert to == b.me.addr and isinstance(ping, Ping)
    acks = [m for to, m in b.receive(ping, 1.0) if isinstance(m, Ack)]
    for again in (1.3, 1.6, 1.9):
        a.probe(b.me, again)
    assert a.suspects(b.me, 2.0)
    a.receive(acks[0], 2.0)
    assert not a.suspects(b.me, 2.0)
    assert a.probe(member(9).me, 3.0) == []


def test_a_member_is_known_since_its_present_life_was_met():
    a, b = member(1), member(2)
    meet(a, b, 5.0)
    assert a.known_for(b.me, 8.0) == 3.0
    for message in (m for to, m in b.ready(True) if to == a.me.addr):
        a.receive(message, 9.0)
    assert a.view[b.me.addr].ready and a.known_for(b.me, 10.0) == 5.0
    again = member(2, boot=2)
    again._update_self(7)
    meet(a, again, 20.0)
    assert a.known_for(again.me, 21.0) == 1.0
