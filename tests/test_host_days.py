"""Seeded days of a fleet of proxies, and each with a breach planted that it must find."""

from contextlib import contextmanager
from unittest.mock import patch

import pytest

from mallowvalve.proxy import admission
from mallowvalve.proxy.host_forwarder import HostForwarder
from mallowvalve.proxy.host_request import HostRequest
from sim.host_days import HOST_DAYS, play_host_day
from sim.host_fleet import HostProxy

SEEDS = range(1, 5)
SEEDS_OF_PLANTS = range(1, 9)
STAY = 0.75


@contextmanager
def takes_what_it_cannot_finish():
    """A request is taken if three quarters of what is left of it fit into the rest of the stop."""
    now = {}

    def admit(self, a, at):
        now["at"] = at
        return whole(self, a, at)

    def outlasts(until, end):
        return until is None or now["at"] + STAY * (end - now["at"]) <= until

    whole = admission.Admission.admit
    with patch.object(admission.Admission, "admit", admit), patch.object(admission, "outlasts", outlasts):
        yield


def leaves_before_another_answered():
    """A silent upstream's connection is closed before the request is sent to another one."""

    def tries_another(self, t, place):
        t.may_have_run = True
        place.release(keep=False)

    return patch.object(HostForwarder, "_start_hedge", tries_another)


@contextmanager
def never_looks_at_the_client():
    """Nobody looks at a client's connection while its request waits."""
    with patch.object(HostProxy, "client_left", lambda self, call: None):
        yield


def looks_only_before_it_sends():
    """A read's client is not watched while an upstream is at work."""
    return patch.object(HostRequest, "idempotent", property(lambda t: False))


def stops_whatever_a_client_left():
    """What may not be repeated is stopped as a read is."""
    return patch.object(HostRequest, "idempotent", property(lambda t: True))


PLANTED = (
    ("rolls_slow", takes_what_it_cannot_finish, "was at work when cut by the stop"),
    ("rolls_hang", leaves_before_another_answered, "was at work when 50"),
    ("leavers", never_looks_at_the_client, "worked on for"),
    ("leavers", never_looks_at_the_client, "after its client left"),
    ("leavers", looks_only_before_it_sends, "worked on for"),
    ("leavers_and_rolls", stops_whatever_a_client_left, "may not be repeated"),
)


@pytest.mark.parametrize("day", HOST_DAYS)
def test_a_day_keeps_every_promise(day):
    for seed in SEEDS:
        found, counts = play_host_day(day, seed)
        assert found == [], f"seed {seed}"
        assert counts["served"] > counts["calls"] / 2


@pytest.mark.parametrize(("day", "plant", "said"), PLANTED)
def test_a_planted_breach_is_found(day, plant, said):
    found = []
    with plant():
        for seed in SEEDS_OF_PLANTS:
            found += play_host_day(day, seed)[0]
            if any(said in f for f in found):
                return
    raise AssertionError(found[:5])
