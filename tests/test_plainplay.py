import math

import pytest

from mallowvalve.coordination import plain
from mallowvalve.coordination.plain import Free, PlainCoordination, PlainLease, PlainResult, Take, Write
from tests.plainplay import Caller, World, judge, simulate


@pytest.mark.parametrize("seed", range(40))
def test_no_rule_is_broken_by_late_lost_and_doubled_calls(seed):
    w = simulate(seed)
    assert judge(w) == set()
    assert len(w.spans) > 10 and sum(t.code == "conflict" for t in w.told) > 0


def test_a_seed_plays_the_same_day():
    assert simulate(3, 20_000).told == simulate(3, 20_000).told


def test_the_machine_taken_over_from_snapshots_breaks_no_rule_either():
    for seed in range(5):
        w = World(seed)
        for i in range(4):
            Caller(w, f"a{i}")
        for at in range(1000, 50_000, 1000):
            w.run(at)
            pic, w.plain = w.plain.snapshot(), PlainCoordination()
            w.plain.load_snapshot(pic)
        assert judge(w) == set()


class FreesWithAnyToken(PlainCoordination):
    __slots__ = ()

    def _free(self, c, clock):
        h = self._held(c.name, clock)
        if h is not None and c.token in h.tokens:
            del self.locks[c.name]
        return PlainResult("ok")


class ReusesToken(PlainCoordination):
    __slots__ = ()

    def _take(self, c, clock):
        h = self._held(c.name, clock)
        if h is None or h.holder != c.holder:
            return super()._take(c, clock)
        self.locks[c.name] = PlainLease(h.holder, h.tokens, max(h.until, plain.lease_expiry_ms(clock, c.hold_ms)))
        return PlainResult("ok", h.tokens[-1])


class ExpiresEarly(PlainCoordination):
    __slots__ = ()

    def _take(self, c, clock):
        return super()._take(Take(c.name, c.holder, c.hold_ms * 0.8), clock)


class CountsTokensPerLock(PlainCoordination):
    __slots__ = ()

    def _take(self, c, clock):
        if c.name not in self.locks:
            self.token = 0
        return super()._take(c, clock)


class ForgetsWrites(PlainCoordination):
    """Knows no put again but the present one."""

    __slots__ = ()

    def _keep(self, key, clock, revision):
        pass


class IgnoresBase(PlainCoordination):
    __slots__ = ()

    def _write(self, c, clock):
        return super()._write(Write(c.name, c.value), clock)


class RepeatsNumbers(PlainCoordination):
    __slots__ = ()

    def apply(self, c, clock):
        w = super().apply(c, clock)
        return PlainResult(w.code, math.ceil(w.number / 2)) if isinstance(c, plain.Count) else w


class SkipsEvents(PlainCoordination):
    __slots__ = ()

    def events_since(self, group, after):
        got = super().events_since(group, after)
        return got and (got[0][1:], got[1])


@pytest.mark.parametrize(
    "make, rules",
    [
        (FreesWithAnyToken, {"ONE two holders"}),
        (ReusesToken, {"ONE two holders"}),
        (ExpiresEarly, {"ONE two holders"}),
        (CountsTokensPerLock, {"ONE token"}),
        (ForgetsWrites, {"MIXED another revision", "REFUSED"}),
        (IgnoresBase, {"ORDER base"}),
        (RepeatsNumbers, {"ORDER number"}),
        (SkipsEvents, {"ORDER watch"}),
    ],
)
def test_a_planted_breach_is_found(make, rules):
    found = set()
    for seed in range(200):
        found |= judge(simulate(seed, 60_000, make))
        if rules <= found:
            return
    raise AssertionError(found)


def test_a_stale_read_is_found():
    class Stale(World):
        def do(self, c):
            code, number, events = super().do(c)
            return (code, max(0, number - 2), events) if isinstance(c, str) else (code, number, events)

    w = Stale(1)
    for i in range(4):
        Caller(w, f"a{i}")
    w.run(30_000)
    assert "STALE" in judge(w)


def test_the_planted_free_differs_from_the_real_one():
    for make, left in ((PlainCoordination, True), (FreesWithAnyToken, False)):
        p = make()
        p.apply(Take("l", "a", 1000), 0)
        p.apply(Take("l", "a", 1000), 1)
        p.apply(Free("l", "a", 1), 2)
        assert ("l" in p.locks) is left
