"""When a leaving proxy stops accepting: never before another of its region accepts, if one is expected back."""

import random

from mallowvalve.membership.drain import ANNOUNCEMENT_S, TURN_S, DrainConditions, DrainSequence
from mallowvalve.membership.members import RETURN_WINDOW_S, DepartedMember, drain_conditions
from mallowvalve.membership.wire import ALIVE, FAILED, LEAVING, LEFT, MemberRecord
from mallowvalve.types import Address, Locality

OWN_ZONE, SAME_REGION, OTHER_REGION = Locality("eu", "eu-a"), Locality("eu", "eu-b"), Locality("us", "us-a")
LAST_IN_REGION = DrainConditions(must_stay=True, leavers_ahead=0)
REPLACEABLE = DrainConditions(must_stay=False, leavers_ahead=0)


def record(number, locality=SAME_REGION, state=ALIVE, ready=True):
    address = Address(f"10.0.0.{number}", 1)
    return MemberRecord(address, 1, 0, state, "proxy", f"n{number}", locality, address, ready)


ME = record(5, OWN_ZONE, LEAVING)


class Others:
    def __init__(self, *alive, departed=()):
        self._alive, self._departed = list(alive), list(departed)

    def alive(self, role):
        return [member for member in self._alive if member.role == role]

    def departed(self, role):
        return self._departed


def test_a_member_with_a_ready_neighbour_need_not_keep_accepting():
    assert drain_conditions(ME, Others(record(1), record(2, state=LEAVING))) == REPLACEABLE


def test_members_that_leave_together_count_the_leavers_ahead_of_them():
    others = Others(record(1, state=LEAVING), record(2, state=LEAVING), record(9, state=LEAVING))
    assert drain_conditions(ME, others) == DrainConditions(must_stay=False, leavers_ahead=2)
    assert (
        drain_conditions(ME, Others(record(1, state=LEAVING, ready=False), record(9, state=LEAVING))).leavers_ahead == 0
    )


def test_the_last_member_keeps_accepting_while_another_is_expected_back():
    for others in (
        Others(record(1, state=LEAVING, ready=False)),
        Others(record(1, ready=False)),
        Others(departed=[DepartedMember(record(1, state=LEFT), 1.0)]),
        Others(record(2, OTHER_REGION), departed=[DepartedMember(record(1, state=LEFT), 1.0)]),
    ):
        assert drain_conditions(ME, others).must_stay


def test_no_member_keeps_accepting_where_none_is_expected_back():
    for others in (
        Others(),
        Others(record(2, OTHER_REGION)),
        Others(record(2, OTHER_REGION, ready=False)),
        Others(departed=[DepartedMember(record(1, state=FAILED), 1.0)]),
        Others(departed=[DepartedMember(record(1, state=LEFT), RETURN_WINDOW_S)]),
        Others(departed=[DepartedMember(record(1, OTHER_REGION, LEFT), 1.0)]),
    ):
        assert not drain_conditions(ME, others).must_stay


def run_drain(conditions_at, earliest=3.0, latest=5.0):
    """Runs a drain under `conditions_at(now)`; returns the announcements with their times, and the time of the close."""
    sequence, now, announced, closed = DrainSequence(earliest, latest, random.Random(1)), 0.0, [], None
    while closed is None:
        step = sequence.step(now, conditions_at(now))
        if not announced or announced[-1][1] != step.accepts:
            announced.append((round(now, 2), step.accepts))
        if step.closed:
            closed = now
        now += step.wait
    return announced, closed


def test_a_member_announces_first_and_closes_a_moment_later():
    announced, closed = run_drain(lambda now: REPLACEABLE)
    assert announced == [(0.0, True), (3.0, False)] and abs(closed - 3.0 - ANNOUNCEMENT_S) < 1e-9


def test_a_member_waits_for_the_leavers_ahead():
    _, closed = run_drain(lambda now: DrainConditions(must_stay=False, leavers_ahead=2))
    assert abs(closed - 3.0 - 2 * TURN_S - ANNOUNCEMENT_S) < 1e-9


def test_the_last_member_accepts_until_another_does_or_until_its_time_is_over():
    _, closed = run_drain(lambda now: LAST_IN_REGION if now < 4.2 else REPLACEABLE)
    assert 4.2 + ANNOUNCEMENT_S <= closed < 4.25 + ANNOUNCEMENT_S
    announced, closed = run_drain(lambda now: LAST_IN_REGION)
    assert announced == [(0.0, True), (5.0, False)] and closed == 5.0


def test_two_simultaneous_announcements_are_both_withdrawn():
    announced, closed = run_drain(lambda now: LAST_IN_REGION if 3.05 <= now < 3.9 else REPLACEABLE)
    assert announced[1] == (3.0, False) and announced[2] == (3.15, True)
    assert closed >= 3.9 + ANNOUNCEMENT_S


def test_a_member_that_runs_late_closes_earlier_to_end_in_time():
    """Guards against a stop that exceeds its grace period because the process gets little processor time."""
    sequence = DrainSequence(3.0, 5.0, random.Random(1))
    sequence.record_delay(0.2)
    sequence.record_delay(0.05)
    assert not sequence.step(4.1, LAST_IN_REGION).closed
    assert sequence.step(4.2, LAST_IN_REGION).closed


def test_a_long_delay_advances_the_close_only_by_half_of_the_time():
    sequence = DrainSequence(3.0, 5.0, random.Random(1))
    sequence.record_delay(9.0)
    assert not sequence.step(3.95, LAST_IN_REGION).closed
    assert sequence.step(4.0, LAST_IN_REGION).closed
