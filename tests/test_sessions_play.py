"""Stateful model test of exactly-once execution; the model must also detect each protection's absence."""

import pytest
from hypothesis import Phase
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from mallowvalve.configuration.items import Amend, Item
from mallowvalve.control import sessions
from mallowvalve.control.outcome import Code
from mallowvalve.control.snapshot import decode_snapshot, encode_settings_pieces, encode_snapshot
from mallowvalve.control.state import Evacuate, ReplicatedState, decode_command
from mallowvalve.coordination.plain import Count
from tests.test_sessions import content, with_origin


class SubmissionModel(RuleBasedStateMachine):
    """Submits calls in any order, duplicated and delayed without bound, to leaders whose clocks may run behind.

    Checks two more replicas: one that is reloaded from snapshots at any time, and one of the settings part that
    receives only the entries that changed the settings. Each call is applied at most once, and never after LATE.
    """

    def __init__(self):
        super().__init__()
        self.whole, self.replica, self.settings_replica = ReplicatedState(3), ReplicatedState(3), ReplicatedState(3)
        self.clock = self.latest = 0
        self.calls: list[tuple[bytes, int]] = []
        self.outcomes: dict[int, set] = {}
        self.applied_counts = 0

    @rule(
        kind=st.sampled_from(["count", "on", "off", "item"]), limit=st.one_of(st.integers(1, 300), st.integers(1, 2000))
    )
    def call(self, kind, limit):
        number = len(self.calls)
        service = number % 3
        commands = {
            "count": Count("n"),
            "on": Evacuate("z", True),
            "off": Evacuate("z", False),
            "item": Amend(
                [Item("services", f"s{service}", number, b'{"name":"s%d","version":%d}' % (service, number))]
            ),
        }
        self.calls.append((with_origin(commands[kind], number, self.clock + limit), self.clock + limit))

    @rule(ms=st.one_of(st.integers(0, 300), st.integers(0, 30_000)))
    def pass_time(self, ms):
        self.clock += ms

    @rule(ms=st.integers(1, 300))
    def change_to_a_leader_with_a_slower_clock(self, ms):
        self.clock = max(0, self.clock - ms)

    @rule(data=st.data())
    def submit(self, data):
        if not self.calls:
            return
        number = data.draw(st.integers(0, len(self.calls) - 1))
        command, not_after = self.calls[number]
        index, before = self.whole.index + 1, content(self.whole)
        self.latest = max(self.latest, self.clock)
        outcome = self.whole.apply(index, self.clock, command)
        assert self.replica.apply(index, self.clock, command) == outcome
        if self.whole.settings_index == index:
            self.settings_replica.apply(index, self.clock, command)
        earlier = self.outcomes.setdefault(number, set())
        if outcome.code in ("late", "forgotten"):
            assert content(self.whole) == before
            assert earlier or not_after < self.latest, "rejected although it is neither late nor forgotten"
            assert not (outcome.code == "late" and earlier - {"late"}), "LATE although it was applied"
            earlier.add(str(outcome.code))
            return
        assert "late" not in earlier, "applied after LATE"
        applied = earlier - {"forgotten"}
        assert not applied or (content(self.whole) == before and applied == {outcome})
        earlier.add(outcome)
        self.applied_counts += not applied and isinstance(decode_command(command), Count)

    @rule()
    def reload_the_replica(self):
        self.replica = decode_snapshot(encode_snapshot(self.replica))

    @rule()
    def reload_the_settings_replica(self):
        index = self.settings_replica.index
        self.settings_replica = decode_snapshot(list(encode_settings_pieces(self.whole)))
        assert self.settings_replica.index >= index

    @invariant()
    def all_replicas_are_equal(self):
        assert content(self.replica) == content(self.whole) and self.replica.settings == self.whole.settings
        assert self.settings_replica.settings == self.whole.settings
        assert self.settings_replica.items.rows == self.whole.items.rows
        assert self.whole.plain.numbers.get("n", 0) == self.applied_counts


def deduplicate_by_the_entry_alone(self, origin, entry_time):
    """Ignores the newest entry time seen: a leader whose clock runs behind accepts a command that was LATE."""
    stored = self.rows.get((origin.session, origin.number))
    return stored.outcome if stored is not None else Code.LATE if origin.not_after < entry_time else None


def store_nothing(self, origin, outcome):
    """Stores no outcomes."""


def evict_without_a_floor(self):
    """Evicts without a floor: a command whose outcome was evicted counts as late or as new."""
    self.floor = 0
    self.rows.clear()


FIRST_FAILURE = {"phases": [Phase.generate], "report_multiple_bugs": False, "max_examples": 5000}
FAULTS = {
    "deduplicate": deduplicate_by_the_entry_alone,
    "store_outcome": store_nothing,
    "_evict": evict_without_a_floor,
}


@pytest.mark.parametrize("name", FAULTS)
def test_the_model_detects_each_removed_protection(monkeypatch, name):
    monkeypatch.setattr(sessions.Sessions, name, FAULTS[name])
    with pytest.raises(AssertionError):
        run_state_machine_as_test(
            SubmissionModel, settings=hypothesis_settings(SubmissionModel.TestCase.settings, **FIRST_FAILURE)
        )


SubmissionModel.TestCase.settings = hypothesis_settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)
test_calls_submitted_in_any_order_are_applied_once_and_never_late = SubmissionModel.TestCase
