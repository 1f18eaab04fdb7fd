"""When a leaving proxy closes its door: never before another of its region accepts, if one is on its way back."""

import random

from mallowvalve.membership.drain import ANNOUNCEMENT_S, TURN_S, DrainConditions, DrainSequence
from mallowvalve.membership.members import RETURN_WINDOW_S, DepartedMember, drain_conditions
from mallowvalve.membership.wire import ALIVE, FAILED, LEAVING, LEFT, MemberRecord
from mallowvalve.types import Address, Locality

HERE, NEAR, AWAY = Locality("eu", "eu-a"), Locality("eu", "eu-b"), Locality("us", "us-a")
ALONE, HELPED = DrainConditions(must_stay=True, leavers_ahead=0), DrainConditions(must_stay=False, leavers_ahead=0)


def record(n, locality=NEAR, state=ALIVE, ready=True):
    address = Address(f"10.0.0.{n}", 1)
    return MemberRecord(address, 1, 0, state, "proxy", f"n{n}", locality, address, ready)


ME = record(5, HERE, LEAVING)


class Others:
    def __init__(self, *alive, gone=()):
        self._alive, self._gone = list(alive), list(gone)

    def alive(self, role):
        return [r for r in self._alive if r.role == role]

    def departed(self, role):
        return self._gone


def test_one_whose_neighbour_is_ready_need_not_stay():
    assert drain_conditions(ME, Others(record(1), record(2, state=LEAVING))) == HELPED


def test_of_those_that_leave_together_each_counts_who_is_before_it():
    others = Others(record(1, state=LEAVING), record(2, state=LEAVING), record(9, state=LEAVING))
    assert drain_conditions(ME, others) == DrainConditions(must_stay=False, leavers_ahead=2)
    assert (
        drain_conditions(ME, Others(record(1, state=LEAVING, ready=False), record(9, state=LEAVING))).leavers_ahead == 0
    )


def test_the_last_one_stays_while_another_is_on_its_way_back():
    for others in (
        Others(record(1, state=LEAVING, ready=False)),
        Others(record(1, ready=False)),
        Others(gone=[DepartedMember(record(1, state=LEFT), 1.0)]),
        Others(record(2, AWAY), gone=[DepartedMember(record(1, state=LEFT), 1.0)]),
    ):
        assert drain_conditions(ME, others).must_stay


def test_nobody_stays_where_nobody_is_to_come_back():
    for others in (
        Others(),
        Others(record(2, AWAY)),
        Others(record(2, AWAY, ready=False)),
        Others(gone=[DepartedMember(record(1, state=FAILED), 1.0)]),
        Others(gone=[DepartedMember(record(1, state=LEFT), RETURN_WINDOW_S)]),
        Others(gone=[DepartedMember(record(1, AWAY, LEFT), 1.0)]),
    ):
        assert not drain_conditions(ME, others).must_stay


def played(outlooks, earliest=3.0, latest=5.0):
    """When a door whose region looks like `outlooks(now)` says that it accepts no more, and when it closes."""
    closing, now, said, closed = DrainSequence(earliest, latest, random.Random(1)), 0.0, [], None
    while closed is None:
        step = closing.step(now, outlooks(now))
        if not said or said[-1][1] != step.accepts:
            said.append((round(now, 2), step.accepts))
        if step.closed:
            closed = now
        now += step.wait
    return said, closed


def test_a_door_says_so_first_and_closes_a_moment_later():
    said, closed = played(lambda now: HELPED)
    assert said == [(0.0, True), (3.0, False)] and abs(closed - 3.0 - ANNOUNCEMENT_S) < 1e-9


def test_a_door_waits_for_those_before_it():
    _, closed = played(lambda now: DrainConditions(must_stay=False, leavers_ahead=2))
    assert abs(closed - 3.0 - 2 * TURN_S - ANNOUNCEMENT_S) < 1e-9


def test_the_last_door_is_open_until_another_one_is_or_until_its_time_is_over():
    _, closed = played(lambda now: ALONE if now < 4.2 else HELPED)
    assert 4.2 + ANNOUNCEMENT_S <= closed < 4.25 + ANNOUNCEMENT_S
    said, closed = played(lambda now: ALONE)
    assert said == [(0.0, True), (5.0, False)] and closed == 5.0


def test_two_that_say_so_at_once_both_take_it_back():
    said, closed = played(lambda now: ALONE if 3.05 <= now < 3.9 else HELPED)
    assert said[1] == (3.0, False) and said[2] == (3.15, True)
    assert closed >= 3.9 + ANNOUNCEMENT_S
