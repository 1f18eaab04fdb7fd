"""Fleets of many proxies: what the leader does for all of them at once."""

from __future__ import annotations

import random

from mallowvalve.kind import Address, Locality
from mallowvalve.law.core import Core, founding
from mallowvalve.law.state import Enrol, Seats, State, Strike, encode
from mallowvalve.law.wire import Want
from mallowvalve.params import Acks
from mallowvalve.vote.wire import Group, Voters

A, G, LOC = Address("10.0.0.1", 1), Group(1, "g"), Locality("eu", "x")
MANY = [Address("10.1.0.1", n + 1) for n in range(82)]


def leader(settings):
    c = Core("a", A, LOC, random.Random(1), Acks(settings=settings))
    c.start(founding(G, Voters({"a": A}), None), None, [], 0.0)
    go_on(c, 5.0, 8.0)
    assert c.leads
    return c


def go_on(c, now, end):
    while now < end:
        step(c, now)
        now += 0.1


def step(c, now):
    c.tick(now)
    c.saved(c.ready(now), now)
    out, c.replies = c.replies, []
    return out


def wants(c, now, some=MANY):
    for a in some:
        held = c.state.index if now > 8 else 0
        c.want(Want(a, 7, "flow", LOC, G, held, 0, now, "settings", 1.0), a, now)


def test_all_proxies_that_come_at_once_get_their_seats_at_once():
    c = leader("held")
    wants(c, 8.0)
    step(c, 8.0)
    step(c, 8.2)
    assert len(c.state.params.roster) == 82


def test_where_majorities_count_seats_are_given_one_at_a_time():
    c = leader("force")
    wants(c, 8.0)
    step(c, 8.0)
    step(c, 8.2)
    assert len(c.state.params.roster) == 1


def test_seats_that_nobody_holds_any_more_go_together():
    c = leader("held")
    wants(c, 8.0)
    step(c, 8.0)
    step(c, 8.2)
    for t in range(9, 40):
        wants(c, float(t), MANY[:50])
        go_on(c, float(t), t + 0.95)
    assert set(c.state.params.roster) == {str(a) for a in MANY[:50]}


def test_seats_are_one_change_of_the_settings():
    s = State(1)
    s.apply(1, 0, encode(Seats([Enrol(a, 7, LOC) for a in MANY])))
    assert len(s.params.roster) == 82 and s.turned == 1
    s.apply(2, 0, encode(Seats([Strike(MANY[0], 6), Strike(MANY[1], 7), Enrol(MANY[2], 8, LOC)])))
    assert len(s.params.roster) == 81 and s.params.roster[str(MANY[2])].boot == 8 and s.turned == 2
