"""Versioned items against a plain model, with calls in any order.

A version has one content, and the highest version is in force.
"""

import json

import pytest
from hypothesis import Phase
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from mallowvalve.configuration import items as items_module
from mallowvalve.configuration.item_request import parse_amend
from mallowvalve.configuration.items import Items
from mallowvalve.control.snapshot import decode_snapshot, encode_settings_pieces, encode_snapshot
from mallowvalve.control.state import ReplicatedState, encode

NAMES = ("a", "b")
VERSIONS = (1, 2, 3)
CONTENTS = ("x", "y", None)
CHANGE = st.tuples(
    st.sampled_from(["services", "notes"]),
    st.sampled_from(NAMES),
    st.sampled_from(VERSIONS),
    st.sampled_from(CONTENTS),
    st.booleans(),
)


def body(changes) -> bytes:
    """The body of a call; a content of None is a drop. `respelled` writes the same content in another way."""
    call = {"set": {"services": [], "notes": []}, "drop": {"services": [], "notes": []}}
    for kind, name, version, content, respelled in changes:
        if content is None:
            call["drop"][kind].append({"name": name, "version": version})
            continue
        item = {"name": name, "version": version, "status": f"/{content}"}
        if respelled:
            item = {"status": f"/{content}", "version": version, "name": name}
            item |= {"connections": 0} if kind == "services" else {}
        call["set"][kind].append(item)
    return json.dumps(call).encode()


class ItemVersions(RuleBasedStateMachine):
    """Applies calls to a leader's state, which may be reloaded from a snapshot; the model has versions and contents."""

    def __init__(self):
        super().__init__()
        self.state, self.settings_part = ReplicatedState(3), ReplicatedState(3)
        self.model: dict[tuple[str, str], tuple[int, str | None]] = {}
        self.acknowledged: list[tuple[bytes, dict]] = []

    @rule(changes=st.lists(CHANGE, min_size=1, max_size=3))
    def apply_call(self, changes):
        call = parse_amend(body(changes))
        given: dict[tuple, str | None] = {}
        if any(given.setdefault((k, n, v), c) != c for k, n, v, c, _ in changes):
            assert call.is_err()
            return
        conflicts = {
            (k, n) for k, n, v, c, _ in changes if (v, c) != self.model.get((k, n), (v, c)) and self.is_current(k, n, v)
        }
        predicted = self.state.items.check(call.unwrap())
        index, before = self.state.index + 1, self.state.items.rows.copy()
        outcome = self.state.apply(index, 0, encode(call.unwrap()))
        if self.state.settings_index == index:
            self.settings_part.apply(index, 0, encode(call.unwrap()))
        if conflicts:
            assert outcome.code == "conflict" and self.state.items.rows == before
            assert {f.place for f in predicted} == {f"{k}.{n}.version" for k, n in conflicts}
            return
        assert outcome.code == "ok" and predicted == []
        for kind, name, version, content, _ in changes:
            if version > self.model.get((kind, name), (0, None))[0]:
                self.model[kind, name] = version, content
        self.acknowledged.append((encode(call.unwrap()), dict(self.model)))

    def is_current(self, kind, name, version) -> bool:
        return self.model.get((kind, name), (0, None))[0] == version

    @rule(data=st.data())
    def repeat_an_acknowledged_call(self, data):
        if not self.acknowledged:
            return
        call, _ = data.draw(st.sampled_from(self.acknowledged))
        before = self.state.items.rows.copy()
        assert self.state.apply(self.state.index + 1, 0, call).code == "ok", "acknowledged, then rejected"
        assert self.state.items.rows == before

    @rule()
    def reload(self):
        self.state = decode_snapshot(encode_snapshot(self.state))
        self.settings_part = decode_snapshot(list(encode_settings_pieces(self.state)))

    @invariant()
    def items_equal_the_model(self):
        rows = self.state.items.rows
        stored = {key: (item.version, item.doc and json.loads(item.doc)["status"][1:]) for key, item in rows.items()}
        assert stored == self.model and self.settings_part.items.rows == rows
        assert self.state.items.services.keys() == {n for (k, n), (_, c) in self.model.items() if k == "services" and c}


def ignores_content(a, b):
    """Fault: both contents of a version are acknowledged."""
    return True


def compares_bytes(a, b):
    """Fault: an acknowledged item is rejected when it is spelled in another way."""
    return a.doc == b.doc


@pytest.mark.parametrize("comparison", [ignores_content, compares_bytes])
def test_a_fault_of_the_comparison_is_found(monkeypatch, comparison):
    monkeypatch.setattr(items_module, "same_content", comparison)
    with pytest.raises(AssertionError):
        only_first = {"phases": [Phase.generate], "report_multiple_bugs": False}
        run_state_machine_as_test(
            ItemVersions, settings=hypothesis_settings(ItemVersions.TestCase.settings, **only_first)
        )


ItemVersions.TestCase.settings = hypothesis_settings(
    phases=[Phase.generate], derandomize=True, max_examples=100, stateful_step_count=30, deadline=None
)
test_items_and_versions_in_any_order_equal_the_model = ItemVersions.TestCase


def test_a_drop_and_a_set_under_one_version_conflict_both_ways():
    for first, second in (("x", None), (None, "x")):
        stored = Items()
        assert stored.apply(parse_amend(body([("services", "a", 1, first, False)])).unwrap(), 1) == []
        (found,) = stored.apply(parse_amend(body([("services", "a", 1, second, False)])).unwrap(), 2)
        assert found.place == "services.a.version" and ("a drop" in found.text) == (first is None)
