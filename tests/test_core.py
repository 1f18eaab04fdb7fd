import random

import msgspec

from mallowvalve.control.core import Core
from mallowvalve.control.snapshot import encode_snapshot, initial_snapshot
from mallowvalve.control.state import Change, ReplicatedState, Tick, encode
from mallowvalve.control.wire import CommandResponse, ReplicationRequest
from mallowvalve.coordination.plain import Count, Take
from mallowvalve.raft.messages import (
    COMMAND,
    NOOP,
    AppendEntries,
    AppendEntriesResponse,
    ClusterConfiguration,
    Entry,
    Envelope,
    GroupId,
    InstallSnapshot,
    RaftSnapshot,
    VoteResponse,
)
from mallowvalve.types import Address, Locality

A, B = Address("10.0.0.1", 1), Address("10.0.0.2", 1)
EU, US = Locality("eu", "a"), Locality("us", "a")
G = GroupId(3, "g")


def started_core(voters):
    core = Core("a", A, EU, random.Random(1))
    core.start(initial_snapshot(G, voters, None), None, [], 0.0)
    return core


def step(core, now):
    core.tick(now)
    core.saved(core.ready(now), now)
    replies, core.replies = core.replies, []
    return replies


def single_voter_leader():
    core = started_core(ClusterConfiguration({"a": A}))
    step(core, 5.0)
    step(core, 5.1)
    assert core.leads
    return core


def test_status_and_base_snapshot_are_available_while_an_installed_snapshot_is_saved():
    core = started_core(ClusterConfiguration({"a": A, "b": B}))
    state = ReplicatedState(3)
    state.index = 50
    snapshot = RaftSnapshot(G, 50, 2, ClusterConfiguration({"a": A, "b": B}), encode_snapshot(state))
    core.receive(Envelope(G, "b", "a", B, InstallSnapshot(2, snapshot, 1)), 1.0)
    ready = core.ready(1.0)
    assert ready.snapshot == snapshot and core.state.index == 0
    assert core.process_status("control", []).voters == snapshot.configuration
    assert core.base_snapshot() == snapshot
    core.saved(ready, 1.1)
    assert core.state.index == 50 and core.process_status("control", []).index == 50


def test_a_proposal_is_answered_once_committed_and_a_follower_names_its_leader():
    core = single_voter_leader()
    step_until(core, 5.2, 8.0)
    core.propose(encode(Change(None, b"{}", "x")), "t1", 20.0, 8.0)
    ((token, response),) = step(core, 8.0)
    assert (token, response.code) == ("t1", "ok")
    core.propose(encode(Change(5, b"{}", "y")), "t2", 20.0, 8.1)
    assert step(core, 8.1)[0][1].code == "conflict"
    core.propose(encode(Change(None, b"{}", "x")), "t3", 20.0, 8.2)
    assert step(core, 8.2)[0][1] == response
    follower = started_core(ClusterConfiguration({"a": A, "b": B}))
    follower.propose(encode(Tick()), "t", 9.0, 1.0)
    assert step(follower, 0.5) == [("t", CommandResponse("leader"))]


def step_until(core, now, end):
    replies = []
    while now < end:
        replies += step(core, now)
        now += 0.1
    return replies


def replication_request(group, index, revision, at, boot=7, role="proxy"):
    return ReplicationRequest(B, boot, role, US, group, index, revision, at)


def test_an_acknowledgement_waits_for_a_copy_on_a_reachable_replica():
    core = single_voter_leader()
    core.replicate(replication_request(G, core.state.index, core.state.settings.revision, 6.0), "w", 6.0)
    core.propose(msgspec.msgpack.encode(Tick()), "t", 20.0, 6.0)
    replies = step(core, 6.0)
    response = dict(replies)["w"]
    assert "t" not in dict(replies) and response.entries
    core.replicate(replication_request(G, response.index, response.revision, 6.1), "w2", 6.1)
    assert dict(step(core, 6.1))["t"].code == "ok"
    core.propose(encode(Tick()), "late", 20.0, 6.2)
    assert "late" not in dict(step(core, 6.2))
    assert dict(step(core, 8.0))["late"].code == "ok"


def test_an_acknowledgement_waits_only_for_the_prompt_replicas():
    core = single_voter_leader()
    step_until(core, 5.2, 8.0)
    others = [Address("10.0.1.1", number + 1) for number in range(4)]

    def send_requests(replicas, index, now):
        for address in replicas:
            request = ReplicationRequest(address, 7, "proxy", US, G, index, core.state.settings.revision, now)
            core.replicate(request, address, now)

    send_requests(others, core.state.index, 8.0)
    core.propose(encode(Tick()), "t", 20.0, 8.0)
    assert "t" not in dict(step(core, 8.0))
    send_requests(others[:3], core.state.index, 8.1)
    assert "t" not in dict(step(core, 8.1))
    assert dict(step(core, 8.35))["t"].code == "ok"


def test_a_change_is_acknowledged_once_the_roster_holds_it():
    core = single_voter_leader()
    now = 8.0
    core.replicate(replication_request(G, core.state.index, core.state.settings.revision, now), "w", now)
    last = {}
    while str(B) not in core.state.settings.roster:
        now += 0.1
        for token, response in step(core, now):
            last = response
            core.replicate(replication_request(G, response.index, response.revision, now), "w", now)
    for _ in range(5):
        now += 0.1
        for token, response in step(core, now):
            core.replicate(replication_request(G, response.index, response.revision, now), "w", now)
    assert last and core.replicas.in_force(core.state.settings.revision, now)
    core.propose(encode(Change(None, b"{}", "z")), "t", now + 30, now)
    replies = dict(step(core, now))
    assert "t" not in replies and replies["w"].revision == core.state.settings.revision
    assert "t" not in dict(step_until(core, now, now + 5.0))
    core.replicate(replication_request(G, replies["w"].index, replies["w"].revision, now + 5.0), "w", now + 5.0)
    assert dict(step(core, now + 5.0))["t"].code == "ok"


def test_a_new_leader_rejects_reads_until_it_has_applied_all_committed_entries():
    entries = [Entry(1, 1, COMMAND, 10, encode(Count("n")))]
    core = Core("a", A, EU, random.Random(1))
    core.start(initial_snapshot(G, ClusterConfiguration({"a": A, "b": B}), None), None, entries, 0.0)
    now = 5.0
    core.tick(now)
    core.saved(core.ready(now), now)
    for pre in (True, False):
        core.receive(Envelope(G, "b", "a", B, VoteResponse(core.raft.term + pre, pre, True)), now)
        core.saved(core.ready(now), now)
    assert core.raft.leads and not core.leads
    core.receive(
        Envelope(G, "b", "a", B, AppendEntriesResponse(core.raft.term, True, 2, core.raft.rounds.round_number)), now
    )
    core.read("r", 9.0, now)
    core.tick(now)
    assert core.raft.committed_in_term and core.state.index == 0 and not core.leads
    assert [response.code for token, response in core.replies if token == "r"] == ["leader"]
    core.saved(core.ready(now), now)
    assert core.leads and core.state.plain.numbers == {"n": 1}


def test_a_restarted_follower_is_not_current_until_it_applies_an_entry_of_the_leaders_term():
    entries = [Entry(1, 1, COMMAND, 10, encode(Count("n")))]
    core = Core("a", A, EU, random.Random(1))
    core.start(initial_snapshot(G, ClusterConfiguration({"a": A, "b": B}), None), None, entries, 0.0)

    def is_current_after(message):
        core.receive(Envelope(G, "b", "a", B, msgspec.structs.replace(message, confirmed_stamp=0.05)), 0.1)
        core.saved(core.ready(0.1), 0.1)
        return core.current(0.2)

    assert not core.current(0.1)
    assert not is_current_after(AppendEntries(2, 1, 1, [], 0, 1))
    assert not is_current_after(AppendEntries(2, 1, 1, [Entry(2, 2, NOOP, 20, b"")], 0, 2))
    assert is_current_after(AppendEntries(2, 2, 2, [], 2, 3)) and core.state.plain.numbers == {"n": 1}
    assert not core.current(3.0)


def test_a_lock_lasts_its_full_time_under_a_leader_whose_clock_runs_behind():
    """Guards against ending a lock early: the second leader's entries arrive late, so its clock runs behind the first's."""
    core = Core("a", A, EU, random.Random(1))
    core.start(initial_snapshot(G, ClusterConfiguration({"a": A, "b": B}), None), None, [], 0.0)

    def append(term, previous, previous_term, entry, now):
        core.receive(
            Envelope(G, "b", "a", B, AppendEntries(term, previous, previous_term, [entry], entry.index, entry.index)),
            now,
        )
        core.saved(core.ready(now), now)

    append(2, 0, 0, Entry(1, 2, COMMAND, 5000, encode(Count("n"))), 5.0)
    append(3, 1, 2, Entry(2, 3, NOOP, 5000, b""), 5.5)
    lag_ms = 800
    append(3, 2, 3, Entry(3, 3, COMMAND, 6000 - lag_ms, encode(Take("l", "x", 2000))), 6.0)
    now = 7.5
    core.tick(now)
    core.saved(core.ready(now), now)
    for pre in (True, False):
        core.receive(Envelope(G, "b", "a", B, VoteResponse(core.raft.term + pre, pre, True)), now)
        core.saved(core.ready(now), now)
    core.receive(
        Envelope(G, "b", "a", B, AppendEntriesResponse(core.raft.term, True, 4, core.raft.rounds.round_number)), now
    )
    core.saved(core.ready(now), now)
    assert core.leads
    core.propose(encode(Take("l", "y", 2000)), "early", 20.0, 7.9)
    core.propose(encode(Take("l", "y", 2000)), "late", 20.0, 8.1)
    core.saved(core.ready(8.1), 8.1)
    core.receive(
        Envelope(G, "b", "a", B, AppendEntriesResponse(core.raft.term, True, 6, core.raft.rounds.round_number)), 8.1
    )
    core.saved(core.ready(8.1), 8.1)
    codes = {
        token: msgspec.msgpack.decode(response.body)[0]
        for token, response in step(core, 8.2)
        if token in ("early", "late")
    }
    assert codes == {"early": "held", "late": "ok"}
