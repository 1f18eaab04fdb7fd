"""The days of sim/worst_days.py under fixed seeds: no findings, and each finds the fault planted into it."""

from concurrent.futures import ProcessPoolExecutor

import pytest

from sim.worst_days import DAYS, play_day
from tests import fault_injection

SEED = 11
JOBS = 8
# Faults that only some seeds expose: a watcher must stay at the isolated node, and a zone's evacuation must end while
# its first update waits at a frozen node.
SEED_BY_FAULT = {fault_injection.watches_unconfirmed: 14, fault_injection.departed_callers_served: 16}
PLANTED = (
    ("races", fault_injection.conflicts_confirmed, "contents were confirmed"),
    ("cut_follower_both", fault_injection.reads_unconfirmed, "was confirmed before"),
    ("cut_half_both", fault_injection.watches_unconfirmed, "answers a watch"),
    ("cut_half_both", fault_injection.contact_always_recent, "confirmed a beat"),
    ("loss_upon_repair_3", fault_injection.voters_never_replaced, "nothing confirmed for"),
    ("cut_leader_both", fault_injection.commits_without_majority, "confirmed a"),
    ("only_copy_3", fault_injection.leaves_without_successor, "nothing confirmed for"),
    ("many_changes", fault_injection.snapshots_lost, "has not caught up"),
    ("replaced_in_turn", fault_injection.addresses_by_configuration, "nothing confirmed for"),
    ("many_changes", fault_injection.departed_callers_served, "shows otherwise"),
    ("silences", fault_injection.evacuations_repeated, "shows otherwise"),
    ("silences", fault_injection.takes_repeated, "a late take"),
    ("silences", fault_injection.counts_repeated, "a call was counted twice"),
)


@pytest.fixture(scope="module")
def pool():
    with ProcessPoolExecutor(JOBS) as p:
        yield p


@pytest.fixture(scope="module")
def days(pool):
    return {d: pool.submit(play_day, d, SEED) for d in DAYS}


@pytest.fixture(scope="module")
def planted(pool):
    return {p: pool.submit(fault_injection.play_with_fault, p[1], p[0], SEED_BY_FAULT.get(p[1], SEED)) for p in PLANTED}


@pytest.mark.parametrize("day", DAYS)
def test_no_promise_breaks_on_a_worst_day(days, day):
    found, figures = days[day].result()
    assert found == []
    assert figures["confirmed"] > 40 and figures["reads"] > 40 and figures["events"] > 20 and figures["beats"] > 20


def test_hundreds_of_changes_are_hundreds(days):
    figures = days["many_changes"].result()[1]
    assert figures["confirmed"] > 300 and figures["catch_ups"] > 2


@pytest.mark.parametrize("plant", PLANTED, ids=lambda p: f"{p[0]}-{p[1].__name__}")
def test_each_day_finds_a_planted_breach(planted, plant):
    found = planted[plant].result()
    assert any(plant[2] in f for f in found), found[:5]


def test_the_same_seed_gives_the_same_day():
    assert play_day("silences", 5, cores=3) == play_day("silences", 5, cores=3)
