import math

import pytest

from mallowvalve.coordination import plain
from mallowvalve.coordination.plain import Free, PlainCoordination, PlainLease, PlainResult, Take, Write
from tests.plainplay import PlainCaller, PlainSimulation, broken_rules, simulate


@pytest.mark.parametrize("seed", range(40))
def test_late_lost_and_duplicated_calls_break_no_rule(seed):
    simulation = simulate(seed)
    assert broken_rules(simulation) == set()
    assert len(simulation.intervals) > 10 and sum(call.code == "conflict" for call in simulation.calls) > 0


def test_a_seed_gives_the_same_run():
    assert simulate(3, 20_000).calls == simulate(3, 20_000).calls


def test_replacing_the_state_by_its_snapshot_breaks_no_rule():
    for seed in range(5):
        simulation = PlainSimulation(seed)
        for number in range(4):
            PlainCaller(simulation, f"a{number}")
        for until_ms in range(1000, 50_000, 1000):
            simulation.run(until_ms)
            snapshot, simulation.plain = simulation.plain.snapshot(), PlainCoordination()
            simulation.plain.load_snapshot(snapshot)
        assert broken_rules(simulation) == set()


class FreesWithAnyToken(PlainCoordination):
    """Fault: an older token of a lease releases it."""

    __slots__ = ()

    def _free(self, command, now_ms):
        lease = self._lease_of(command.name, now_ms)
        if lease is not None and command.token in lease.tokens:
            del self.locks[command.name]
        return PlainResult("ok")


class ReusesToken(PlainCoordination):
    """Fault: a repeated take gets the token of the lease in place of a new one."""

    __slots__ = ()

    def _take(self, command, now_ms):
        lease = self._lease_of(command.name, now_ms)
        if lease is None or lease.holder != command.holder:
            return super()._take(command, now_ms)
        self.locks[command.name] = PlainLease(
            lease.holder, lease.tokens, max(lease.expires_at_ms, plain.lease_expiry_ms(now_ms, command.hold_ms))
        )
        return PlainResult("ok", lease.tokens[-1])


class ExpiresEarly(PlainCoordination):
    """Fault: a lease expires before its time."""

    __slots__ = ()

    def _take(self, command, now_ms):
        return super()._take(Take(command.name, command.holder, command.hold_ms * 0.8), now_ms)


class CountsTokensPerLock(PlainCoordination):
    """Fault: tokens start again when a lock is free."""

    __slots__ = ()

    def _take(self, command, now_ms):
        if command.name not in self.locks:
            self.token = 0
        return super()._take(command, now_ms)


class ForgetsWrites(PlainCoordination):
    """Fault: deduplicates only writes of a key's current value."""

    __slots__ = ()

    def _record_outcome(self, write_id, now_ms, revision):
        pass


class IgnoresBase(PlainCoordination):
    """Fault: writes whatever revision the key has."""

    __slots__ = ()

    def _write(self, command, now_ms):
        return super()._write(Write(command.name, command.value), now_ms)


class RepeatsNumbers(PlainCoordination):
    """Fault: draws each number twice."""

    __slots__ = ()

    def apply(self, command, now_ms):
        result = super().apply(command, now_ms)
        return PlainResult(result.code, math.ceil(result.number / 2)) if isinstance(command, plain.Count) else result


class SkipsEvents(PlainCoordination):
    """Fault: a watch misses its first event."""

    __slots__ = ()

    def events_since(self, group, after):
        found = super().events_since(group, after)
        return found and (found[0][1:], found[1])


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
def test_a_planted_fault_is_found(make, rules):
    found = set()
    for seed in range(200):
        found |= broken_rules(simulate(seed, 60_000, make))
        if rules <= found:
            return
    raise AssertionError(found)


def test_a_stale_read_is_found():
    class StaleReads(PlainSimulation):
        def execute(self, command):
            code, number, events = super().execute(command)
            return (code, max(0, number - 2), events) if isinstance(command, str) else (code, number, events)

    simulation = StaleReads(1)
    for number in range(4):
        PlainCaller(simulation, f"a{number}")
    simulation.run(30_000)
    assert "STALE" in broken_rules(simulation)


def test_the_planted_release_differs_from_the_real_one():
    for make, still_held in ((PlainCoordination, True), (FreesWithAnyToken, False)):
        state = make()
        state.apply(Take("l", "a", 1000), 0)
        state.apply(Take("l", "a", 1000), 1)
        state.apply(Free("l", "a", 1), 2)
        assert ("l" in state.locks) is still_held
