"""Entries that no code of ours would write: every replica refuses them in the same way, and lives."""

import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mallowvalve.configuration.build import EMPTY_TREE
from mallowvalve.control.acknowledgement import Replicas
from mallowvalve.control.outcome import Code
from mallowvalve.control.replica import Replica
from mallowvalve.control.replica_task import large_docs
from mallowvalve.control.snapshot import decode_snapshot, encode_pieces
from mallowvalve.control.state import Change, Enrol, ReplicatedState, Seat, Seats, encode, is_command
from mallowvalve.coordination.plain import Take
from mallowvalve.localfleet.deployed.garbage import GarbageSource
from mallowvalve.raft.messages import COMMAND, Entry
from mallowvalve.types import Address, Locality
from mallowvalve.upstreams.registry import Registered, Upstream

HERE = Locality("eu", "eu-a")
NOWHERE = Address("x", 7)
ENTRIES = 60
POISON = {
    "no bytes of a command": b"\xc1\xff\x00",
    "an unknown command": encode(["unknown", 1]),
    "a lock for ever": encode(["take", "l", "h", float("inf")]),
    "a lock for no number": encode(["take", "l", "h", float("nan")]),
    "a port beyond any": encode(["enrol", ["10.0.0.1", 70000], 1, ["eu", "eu-a"]]),
    "a process without an address": encode(Enrol(NOWHERE, 1, HERE)),
    "several without an address": encode(Seats([Enrol(NOWHERE, 1, HERE)])),
    "an upstream without an address": encode(Registered([Upstream("i", "s", NOWHERE, HERE, 1, "ready")])),
}


@pytest.mark.parametrize("name", POISON)
def test_a_poisoned_command_is_refused_before_it_is_proposed(name):
    assert not is_command(POISON[name])


@pytest.mark.parametrize("name", [name for name in POISON if "upstream" not in name and "several" not in name])
def test_a_poisoned_entry_is_refused_and_the_next_one_applied(name):
    """Guards against an entry that ends every control process, and again at each start."""
    state = ReplicatedState(1)
    assert state.apply(1, 10, POISON[name]).code == Code.INVALID
    assert state.apply(2, 20, encode(Take("l", "h", 1000.0))).code == Code.OK and state.index == 2


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 1 << 32), st.lists(st.binary(max_size=40), max_size=4))
def test_replicas_agree_on_any_entries_and_their_snapshot_is_read_back(seed, more):
    source = GarbageSource(random.Random(seed))
    entries = [source.command() for _ in range(ENTRIES)] + more
    first, second = ReplicatedState(1), ReplicatedState(1)
    for state in (first, second):
        for index, data in enumerate(entries, 1):
            state.apply(index, 10 * index, data)
    assert list(encode_pieces(first)) == list(encode_pieces(second))
    assert first.refused_entries == second.refused_entries
    again = decode_snapshot(list(encode_pieces(first)), 1)
    assert list(encode_pieces(again)) == list(encode_pieces(first))


@pytest.mark.parametrize("document", [b"{", b"[]", b"\xff", b'{"routes": 7}'])
def test_a_document_that_cannot_be_read_leaves_the_last_tree_in_force(document):
    """Guards against a document that ends every proxy which receives it."""
    told = []
    replica = Replica(Address("10.0.0.1", 1), 1, "proxy", HERE, told.append)
    replica.state = ReplicatedState(1)
    replica.state.apply(1, 10, encode(Change(None, document)))
    replica._update_tree()
    assert not replica.document_is_valid and replica.tree is EMPTY_TREE and told[-1].is_err()


def test_a_roster_with_an_unreadable_address_ends_no_leader_and_no_proxy():
    """Guards against one made-up request of a replica that ends each leader in turn."""
    state = ReplicatedState(1)
    state.settings.roster["x:7"] = Seat(1, HERE)
    replicas = Replicas(HERE)
    replicas.begin_leadership(0.0)
    assert replicas.due_roster_steps(state.settings, 1e6) is None
    replica = Replica(Address("10.0.0.1", 1), 1, "proxy", HERE, lambda built: None)
    replica.state = state
    assert replica.roster() == []


def test_large_entries_that_are_no_command_are_passed_over():
    assert large_docs([Entry(1, 1, COMMAND, 0, b"\xc1" * 40_000)]) == []


def test_every_command_of_the_wire_is_drawn():
    source = GarbageSource(random.Random(1))
    tags = {msgspec.msgpack.decode(source.command())[0] for _ in range(2000)}
    assert {"change", "enrol", "seats", "take", "claim", "lock", "amend", "registered"} <= tags
