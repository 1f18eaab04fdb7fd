"""Seeded days of planned work under a directory: nobody is led away from a region that accepts connections."""

from unittest.mock import patch

import pytest

from mallowvalve.directory import look_up
from mallowvalve.directory.answer import Choice, Reason
from mallowvalve.membership.drain import DrainConditions
from mallowvalve.membership.members import accepts
from mallowvalve.membership.wire import ALIVE
from sim import directory_fleet
from sim.directory_days import PLANNED, play_cut_off, play_directory_day, play_lone

SEEDS = range(1, 9)
SEEDS_OF_PLANTS = range(1, 25)
ENOUGH_BEFORE = 2
SERVED_AGAIN_S = 1.5


@pytest.mark.parametrize("day", PLANNED)
def test_planned_work_leads_nobody_away_from_a_region_that_accepts(day):
    for seed in SEEDS:
        found, counts = play_directory_day(day, seed)
        assert found == [], f"seed {seed}"
        assert counts.get("failed", 0) < counts["requests"] / 50
        assert counts["restarts"] > 0


def names_all_regions_below_two(known, near, homes=None, **_):
    """The rule as it was: those of the region if two are ready, else all that are, else those that leave."""
    open_ = [record for record in known.alive if accepts(record)]
    ready = [record for record in open_ if record.state == ALIVE] or open_
    own = [record for record in ready if record.locality.region == near.region]
    return Choice(own if len(own) >= ENOUGH_BEFORE else ready, Reason.OWN_REGION)


def the_old_rule():
    return patch.object(look_up, "choose_proxies", names_all_regions_below_two)


def doors_close_whoever_else_accepts():
    return patch.object(
        directory_fleet, "drain_conditions", lambda me, others: DrainConditions(must_stay=False, leavers_ahead=0)
    )


def new_directories_answer_with_those_they_know():
    return patch.object(directory_fleet.View, "settled", lambda self: True)


PLANTED = (
    ("in_turn", the_old_rule, "led to"),
    ("region_by_region", the_old_rule, "led to"),
    ("at_once", doors_close_whoever_else_accepts, "nobody accepts"),
    ("in_turn", doors_close_whoever_else_accepts, "nobody accepts"),
    ("directories_again_and_again", new_directories_answer_with_those_they_know, "led to"),
)


@pytest.mark.parametrize(("day", "plant", "said"), PLANTED)
def test_a_planted_breach_is_found(day, plant, said):
    found = []
    with plant():
        for seed in SEEDS_OF_PLANTS:
            found += play_directory_day(day, seed)[0]
            if any(said in f for f in found):
                return
    raise AssertionError(found[:5])


@pytest.mark.parametrize("homes", [None, frozenset({"r0"}), frozenset({"r0", "r1"})])
def test_a_region_whose_only_proxy_was_cut_off_has_its_clients_back_soon(homes):
    away = [play_cut_off(seed, homes) for seed in SEEDS]
    assert max(meanwhile for meanwhile, _ in away) > 0.0
    assert [later for _, later in away] == [0.0] * len(away)


@pytest.mark.parametrize("homes", [None, frozenset({"r0"}), frozenset({"r0", "r1"})])
def test_a_region_whose_only_proxy_dies_unseen_is_soon_served_by_others(homes):
    for seed in SEEDS:
        lone = play_lone(seed, homes)
        assert lone.led_away_before == 0.0
        assert lone.last_failure < SERVED_AGAIN_S
