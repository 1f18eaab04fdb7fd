"""Offers in any order against a plain model: stateful, and with each protection taken out."""

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
from tests.test_sessions import content, sealed


class Offers(RuleBasedStateMachine):
    """Calls offered in any order, doubled and delayed past everything, to a leader whose clock may run behind.

    Beside it: a copy that is loaded from a snapshot at any time, and a holder of the settings part that is fed only
    the entries that turned it. Each call of the model is applied at most once, and never once it was called late.
    """

    def __init__(self):
        super().__init__()
        self.whole, self.copy, self.part = ReplicatedState(3), ReplicatedState(3), ReplicatedState(3)
        self.clock = self.latest = 0
        self.calls: list[tuple[bytes, int]] = []
        self.said: dict[int, set] = {}
        self.counted = 0

    @rule(
        kind=st.sampled_from(["count", "on", "off", "item"]), limit=st.one_of(st.integers(1, 300), st.integers(1, 2000))
    )
    def call(self, kind, limit):
        n = len(self.calls)
        made = {
            "count": Count("n"),
            "on": Evacuate("z", True),
            "off": Evacuate("z", False),
            "item": Amend([Item("services", f"s{n % 3}", n, b'{"name":"s%d","version":%d}' % (n % 3, n))]),
        }
        self.calls.append((sealed(made[kind], n, self.clock + limit), self.clock + limit))

    @rule(ms=st.one_of(st.integers(0, 300), st.integers(0, 30_000)))
    def pass_time(self, ms):
        self.clock += ms

    @rule(ms=st.integers(1, 300))
    def another_leader_whose_clock_runs_behind(self, ms):
        self.clock = max(0, self.clock - ms)

    @rule(data=st.data())
    def offer(self, data):
        if not self.calls:
            return
        n = data.draw(st.integers(0, len(self.calls) - 1))
        sealed_call, not_after = self.calls[n]
        index, before = self.whole.index + 1, content(self.whole)
        self.latest = max(self.latest, self.clock)
        said = self.whole.apply(index, self.clock, sealed_call)
        assert self.copy.apply(index, self.clock, sealed_call) == said
        if self.whole.settings_index == index:
            self.part.apply(index, self.clock, sealed_call)
        had = self.said.setdefault(n, set())
        if said.code in ("late", "forgotten"):
            assert content(self.whole) == before
            assert had or not_after < self.latest, "refused although it is neither late nor forgotten"
            assert not (said.code == "late" and had - {"late"}), "called late although it was applied"
            had.add(str(said.code))
            return
        assert "late" not in had, "applied although it was called late"
        done = had - {"forgotten"}
        assert not done or (content(self.whole) == before and done == {said})
        had.add(said)
        self.counted += not done and isinstance(decode_command(sealed_call), Count)

    @rule()
    def load_the_copy(self):
        self.copy = decode_snapshot(encode_snapshot(self.copy))

    @rule()
    def load_the_part(self):
        index = self.part.index
        self.part = decode_snapshot(list(encode_settings_pieces(self.whole)))
        assert self.part.index >= index

    @invariant()
    def all_holders_are_alike(self):
        assert content(self.copy) == content(self.whole) and self.copy.settings == self.whole.settings
        assert self.part.settings == self.whole.settings and self.part.items.rows == self.whole.items.rows
        assert self.whole.plain.numbers.get("n", 0) == self.counted


def judges_by_the_entry_alone(self, o, at):
    """Without the newest time seen: a leader whose clock runs behind takes what was called late."""
    had = self.rows.get((o.session, o.number))
    return had.outcome if had is not None else Code.LATE if o.not_after < at else None


def keeps_nothing(self, o, outcome):
    """Without the memory."""


def forgets_without_a_floor(self):
    """Without the floor: what was forgotten is taken for late, or for new."""
    self.floor = 0
    self.rows.clear()


FIRST_FAILURE = {"phases": [Phase.generate], "report_multiple_bugs": False, "max_examples": 5000}
TEETH = {"deduplicate": judges_by_the_entry_alone, "store_outcome": keeps_nothing, "_evict": forgets_without_a_floor}


@pytest.mark.parametrize("name", TEETH)
def test_without_a_protection_the_play_of_offers_fails(monkeypatch, name):
    monkeypatch.setattr(sessions.Sessions, name, TEETH[name])
    with pytest.raises(AssertionError):
        run_state_machine_as_test(Offers, settings=hypothesis_settings(Offers.TestCase.settings, **FIRST_FAILURE))


Offers.TestCase.settings = hypothesis_settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)
test_offers_in_any_order_are_applied_once_and_never_late = Offers.TestCase
