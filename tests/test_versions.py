"""Items and versions in any order, against a plain model: one version has one content, the highest holds."""

import json

import pytest
from hypothesis import Phase
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from mallowvalve.configuration import items as items_module
from mallowvalve.configuration.item_request import read
from mallowvalve.configuration.items import Items
from mallowvalve.control.snapshot import cut_settings, dump, load
from mallowvalve.control.state import ReplicatedState, encode

NAMES, VERSIONS, CONTENTS = ("a", "b"), (1, 2, 3), ("x", "y", None)
CHANGE = st.tuples(
    st.sampled_from(["services", "notes"]),
    st.sampled_from(NAMES),
    st.sampled_from(VERSIONS),
    st.sampled_from(CONTENTS),
    st.booleans(),
)


def body(changes) -> bytes:
    """A call; `spelled` writes the same content in another way. A content of None is a drop."""
    call = {"set": {"services": [], "notes": []}, "drop": {"services": [], "notes": []}}
    for kind, name, version, said, spelled in changes:
        if said is None:
            call["drop"][kind].append({"name": name, "version": version})
            continue
        item = {"name": name, "version": version, "status": f"/{said}"}
        if spelled:
            item = {"status": f"/{said}", "version": version, "name": name}
            item |= {"connections": 0} if kind == "services" else {}
        call["set"][kind].append(item)
    return json.dumps(call).encode()


class Changes(RuleBasedStateMachine):
    """Calls to a leader that may be loaded anew; the model holds name, version and content, nothing else."""

    def __init__(self):
        super().__init__()
        self.state, self.part = ReplicatedState(3), ReplicatedState(3)
        self.model: dict[tuple[str, str], tuple[int, str | None]] = {}
        self.acknowledged: list[tuple[bytes, dict]] = []

    @rule(changes=st.lists(CHANGE, min_size=1, max_size=3))
    def change(self, changes):
        call = read(body(changes))
        given: dict[tuple, str | None] = {}
        if any(given.setdefault((k, n, v), c) != c for k, n, v, c, _ in changes):
            assert call.is_err()
            return
        clashes = {
            (k, n) for k, n, v, c, _ in changes if (v, c) != self.model.get((k, n), (v, c)) and self.same(k, n, v)
        }
        foreseen = self.state.items.check(call.unwrap())
        index, before = self.state.index + 1, self.state.items.rows.copy()
        said = self.state.apply(index, 0, encode(call.unwrap()))
        if self.state.settings_index == index:
            self.part.apply(index, 0, encode(call.unwrap()))
        if clashes:
            assert said.code == "conflict" and self.state.items.rows == before
            assert {f.place for f in foreseen} == {f"{k}.{n}.version" for k, n in clashes}
            return
        assert said.code == "ok" and foreseen == []
        for k, n, v, c, _ in changes:
            if v > self.model.get((k, n), (0, None))[0]:
                self.model[k, n] = v, c
        self.acknowledged.append((encode(call.unwrap()), dict(self.model)))

    def same(self, kind, name, version) -> bool:
        return self.model.get((kind, name), (0, None))[0] == version

    @rule(data=st.data())
    def send_an_acknowledged_change_again(self, data):
        if not self.acknowledged:
            return
        call, _ = data.draw(st.sampled_from(self.acknowledged))
        before = self.state.items.rows.copy()
        assert self.state.apply(self.state.index + 1, 0, call).code == "ok", "acknowledged, then refused"
        assert self.state.items.rows == before

    @rule()
    def load_anew(self):
        self.state = load(dump(self.state))
        self.part = load(list(cut_settings(self.state)))

    @invariant()
    def what_holds_is_the_model(self):
        held = {k: (i.version, i.doc and json.loads(i.doc)["status"][1:]) for k, i in self.state.items.rows.items()}
        assert held == self.model and self.part.items.rows == self.state.items.rows
        assert self.state.items.services.keys() == {n for (k, n), (_, c) in self.model.items() if k == "services" and c}


def first_content_holds_unsaid(a, b):
    """Without the comparison: both contents of a version are acknowledged."""
    return True


def compares_bytes(a, b):
    """Without decoding: what was acknowledged is refused when it is spelled in another way."""
    return a.doc == b.doc


@pytest.mark.parametrize("instead", [first_content_holds_unsaid, compares_bytes])
def test_without_the_comparison_the_play_of_changes_fails(monkeypatch, instead):
    monkeypatch.setattr(items_module, "same_content", instead)
    with pytest.raises(AssertionError):
        only_first = {"phases": [Phase.generate], "report_multiple_bugs": False}
        run_state_machine_as_test(Changes, settings=hypothesis_settings(Changes.TestCase.settings, **only_first))


Changes.TestCase.settings = hypothesis_settings(
    phases=[Phase.generate], derandomize=True, max_examples=100, stateful_step_count=30, deadline=None
)
test_items_and_versions_in_any_order_are_as_the_model_says = Changes.TestCase


def test_a_drop_and_a_set_under_one_version_conflict_both_ways():
    for first, second in (("x", None), (None, "x")):
        i = Items()
        assert i.apply(read(body([("services", "a", 1, first, False)])).unwrap(), 1) == []
        (found,) = i.apply(read(body([("services", "a", 1, second, False)])).unwrap(), 2)
        assert found.place == "services.a.version" and ("a drop" in found.text) == (first is None)
