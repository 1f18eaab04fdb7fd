"""Pings outside the protocol periods: when a proxy that is the sole answer is suspected, and when no longer."""

import random

from mallowvalve.membership.detector import Membership, initial_record
from mallowvalve.membership.direct_probe import (
    IDLE_S,
    PROBE_INTERVAL_S,
    SUSPECT_AFTER_S,
    SUSPECT_PINGS,
    DirectProbes,
)
from mallowvalve.membership.wire import Ack, Ping, RequestedRecords, Tell
from mallowvalve.types import Address, Locality

LOCALITY = Locality("eu", "eu-a")


def member(number, boot=1):
    address = Address(f"10.0.0.{number}", 1)
    return Membership(
        initial_record(address, boot, "proxy", f"n{number}", LOCALITY, address),
        "f",
        [],
        random.Random(number),
        1.0,
        3,
        0.1,
    )


def introduce(first, second, now):
    """Delivers the datagrams of two members to each other until they know each other."""
    queue = [(first.me.addr, Tell(second._header(), [second.me], RequestedRecords.SELF))]
    while queue:
        to, message = queue.pop(0)
        queue += (first if to == first.me.addr else second).receive(message, now)


def test_pings_keep_their_interval_however_often_a_caller_asks():
    probes, record = DirectProbes(), member(2).me
    sent = sum(probes.due(record, 10.0 + 0.01 * step) for step in range(100))
    assert sent == 5
    assert PROBE_INTERVAL_S == 0.2


def test_a_member_is_suspected_after_several_unanswered_pings_and_trusted_after_the_first_ack():
    probes, record = DirectProbes(), member(2).me
    now = 0.0
    while now < SUSPECT_AFTER_S:
        assert not probes.suspects(record, now)
        probes.due(record, now)
        now += PROBE_INTERVAL_S
    assert probes.suspects(record, SUSPECT_AFTER_S)
    probes.acked(record.addr)
    assert not probes.suspects(record, SUSPECT_AFTER_S)


def test_too_few_unanswered_pings_raise_no_suspicion_and_a_restarted_member_starts_anew():
    probes, record = DirectProbes(), member(2).me
    for second in range(SUSPECT_PINGS - 1):
        probes.due(record, float(second))
    assert not probes.suspects(record, 4.0)
    probes.due(record, 4.0)
    assert probes.suspects(record, 4.0)
    assert not probes.suspects(member(2, boot=2).me, 4.0)
    probes.due(member(2, boot=2).me, 4.1)
    assert not probes.suspects(member(2, boot=2).me, 9.0)


def test_an_idle_member_is_forgotten():
    probes, record, other = DirectProbes(), member(2).me, member(3).me
    for second in range(SUSPECT_PINGS):
        probes.due(record, float(second))
    probes.due(other, SUSPECT_PINGS + IDLE_S)
    assert not probes.suspects(record, SUSPECT_PINGS + IDLE_S)


def test_a_probe_is_an_ordinary_ping_that_any_member_acks():
    prober, target = member(1), member(2)
    introduce(prober, target, 0.0)
    ((to, ping),) = prober.probe(target.me, 1.0)
    assert to == target.me.addr and isinstance(ping, Ping)
    acks = [message for to, message in target.receive(ping, 1.0) if isinstance(message, Ack)]
    for now in (1.3, 1.6, 1.9):
        prober.probe(target.me, now)
    assert prober.suspects(target.me, 2.0)
    prober.receive(acks[0], 2.0)
    assert not prober.suspects(target.me, 2.0)
    assert prober.probe(member(9).me, 3.0) == []


def test_a_member_is_known_since_its_current_process_was_discovered():
    observer, observed = member(1), member(2)
    introduce(observer, observed, 5.0)
    assert observer.known_for(observed.me, 8.0) == 3.0
    for message in (message for to, message in observed.ready(True) if to == observer.me.addr):
        observer.receive(message, 9.0)
    assert observer.view[observed.me.addr].ready and observer.known_for(observed.me, 10.0) == 5.0
    restarted = member(2, boot=2)
    restarted._update_self(7)
    introduce(observer, restarted, 20.0)
    assert observer.known_for(restarted.me, 21.0) == 1.0
