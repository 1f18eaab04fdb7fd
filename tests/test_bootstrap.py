from mallowvalve.control.bootstrap import (
    DecisionStabilizer,
    FoundGroup,
    JoinGroup,
    NoAction,
    decide,
    roster_majority_answered,
)
from mallowvalve.control.bootstrap_task import BootstrapTask
from mallowvalve.control.state import ReplicatedState, Seat
from mallowvalve.control.wire import ProcessStatus, ReplicationRequest
from mallowvalve.raft.messages import ClusterConfiguration, GroupId
from mallowvalve.types import Address, Locality

A, B, C, D = (Address("10.0.0.1", p) for p in (1, 2, 3, 4))
PROXIES = [Address("10.0.1.1", p) for p in (1, 2, 3)]
OLD_VOTERS = ClusterConfiguration({"a": A, "b": B, "c": C})
GROUP = GroupId(1, "n")


def status(id, addr, blank=True, role="control", **fields):
    defaults = dict(
        role=role,
        id=id,
        addr=addr,
        locality=Locality("eu", "x"),
        seeds=[A, B, C],
        blank=blank,
        group=None if blank else GROUP,
        index=0,
        voters=None if blank else OLD_VOTERS,
        leader=None,
    )
    return ProcessStatus(**{**defaults, **fields})


def replica_status(index=9):
    return status("", PROXIES[0], blank=False, role="proxy", index=index, seeds=[])


def test_the_first_voters_are_the_core_seeds_once_all_answer_blank_with_the_same_seeds():
    a, b, c = status("a", A), status("b", B), status("c", C)
    assert decide(a, [b, c], 7, False) == FoundGroup(7, OLD_VOTERS, None)
    assert isinstance(decide(b, [a, c], 7, False), NoAction)
    assert isinstance(decide(a, [b], 7, False), NoAction)
    assert isinstance(decide(a, [b, status("c", C, seeds=[A, B, D])], 7, False), NoAction)
    assert isinstance(decide(status("d", D), [a, b, c], 7, False), NoAction)


def test_where_a_group_exists_a_blank_process_joins_and_never_founds():
    member = status("b", B, blank=False)
    assert decide(status("a", A), [member, status("c", C)], 7, False) == JoinGroup(member)
    assert isinstance(decide(status("z", A), [member, status("c", C)], 7, False), NoAction)


def test_silent_voters_do_not_count_as_lost():
    assert isinstance(decide(status("x", A), [replica_status()], 7, False), NoAction)
    assert isinstance(decide(status("x", A), [replica_status(), status("c", C, blank=False)], 7, False), NoAction)


def test_a_majority_of_voters_back_empty_founds_a_new_generation_from_the_newest_state():
    decision = decide(status("x", A), [replica_status(5), replica_status(9), status("y", B)], 7, False)
    assert decision.generation == 2 and decision.base.index == 9
    assert decision.voters == ClusterConfiguration({"x": A, "y": B, "c": C})


def test_a_voter_back_empty_and_already_a_learner_counts_as_lost():
    voters = ClusterConfiguration({"a": A, "b": B, "c": C}, {"y": B})
    learner = status("y", B, blank=False, voters=voters)
    survivor = status("c", C, blank=False, voters=voters)
    decision = decide(status("x", A), [learner, survivor, replica_status()], 7, False)
    assert isinstance(decision, FoundGroup) and decision.voters.voters == {"x": A, "y": B, "c": C}


def test_a_voter_that_moved_with_its_disk_is_not_lost():
    moved = status("b", D, blank=False)
    assert isinstance(decide(status("x", A), [status("y", B), moved, replica_status()], 7, False), NoAction)


def test_a_decision_is_confirmed_although_the_newest_state_changes():
    stabilizer, me = DecisionStabilizer(), status("x", A)
    decisions = [
        stabilizer.confirm(decide(me, [replica_status(n), status("y", B)], 7, False), n * 0.5) for n in range(6)
    ]
    assert decisions[:4] == [None] * 4 and decisions[4] is not None


def test_a_new_generation_needs_answers_from_a_majority_of_the_roster():
    state = ReplicatedState(1)
    state.settings.roster = {str(p): Seat(1, Locality("eu", "x")) for p in PROXIES}
    proxies = [status("", p, role="proxy") for p in PROXIES]
    assert roster_majority_answered(state, proxies[:2]) and not roster_majority_answered(state, proxies[:1])


def test_a_blank_core_queries_processes_with_a_state_and_waits_before_it_founds():
    task = BootstrapTask(None)
    task.record_state_holder(ReplicationRequest(PROXIES[0], 1, "proxy", Locality("eu", "x"), GROUP, 9, 0, 0.0))
    task.record_state_holder(ReplicationRequest(PROXIES[1], 1, "proxy", Locality("eu", "x"), None, 0, 0, 0.0))
    assert list(task._state_holders) == [PROXIES[0]]
    stabilizer, me, others = DecisionStabilizer(), status("a", A), [status("b", B), status("c", C)]
    assert [stabilizer.confirm(decide(me, others, 7, False), n * 0.5) for n in range(4)] == [None] * 4
    wiped = [status("y", B), status("z", C), replica_status()]
    assert decide(status("x", A), wiped, 7, False).base == replica_status()


def test_a_member_that_is_newer_than_all_answers_does_not_found_on_their_older_voters():
    newer = ClusterConfiguration({"c": C, "x": A, "y": B})
    me = status("x", A, blank=False, index=12, voters=newer)
    assert decide(me, [status("z", B), replica_status(5)], 7, False) == NoAction("member")


def test_a_joint_configuration_is_lost_only_with_a_majority_of_both_voter_sets():
    joint = ClusterConfiguration({"b": B, "c": C, "d": D}, {}, {"a": A, "b": B, "c": C})
    newest = status("", PROXIES[0], blank=False, role="proxy", index=9, seeds=[], voters=joint)
    assert isinstance(decide(status("x", A), [newest, status("y", B)], 7, False), NoAction)
    assert isinstance(decide(status("x", C), [newest, status("y", D)], 7, False), NoAction)
    decision = decide(status("x", B), [newest, status("y", C)], 7, False)
    assert isinstance(decision, FoundGroup) and decision.voters.voters == {"x": B, "y": C, "d": D}
