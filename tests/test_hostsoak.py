"""The soak of deployed processes: its judge finds planted breaches, its schedules repeat, and bad input is refused."""

import json
import os
import signal
import subprocess
import sys
from itertools import pairwise
from pathlib import Path

import msgspec
import psutil
import pytest
from click.testing import CliRunner
from gevent.event import Event

from mallowvalve.cli import main
from mallowvalve.localfleet.deployed import judge, judge_coordination, watch
from mallowvalve.localfleet.deployed.judge_departures import NAMED_AFTER_END_S
from mallowvalve.localfleet.deployed.machines import Fleet
from mallowvalve.localfleet.deployed.plan import (
    ENDED_SHARE,
    PLAYED_KINDS,
    REGION_GAP_S,
    START_FAULTS,
    draw_departure_schedule,
    draw_region_schedule,
    draw_schedule,
    load_schedule,
)
from mallowvalve.localfleet.deployed.records import (
    Change,
    DirectoryAnswer,
    FinalState,
    HandlerError,
    Hang,
    KeyRead,
    KeyWrite,
    Kill,
    Leaving,
    LockHold,
    LongEnd,
    LookUp,
    MemoryPeak,
    NumberDrawn,
    OwnEnd,
    Records,
    RegionLoss,
    RequestEnd,
    RequestRecord,
    Run,
    SlowStart,
    Stop,
    VoterPlaces,
    WatchAnswer,
)
from mallowvalve.localfleet.deployed.shape import Shape, check_shape, load_deploy_file, load_shape
from mallowvalve.localfleet.deployed.watch import Watch
from mallowvalve.localfleet.schedule import ActKind, save_schedule

ROOT = Path(__file__).parent.parent
SHAPE_FILE = ROOT / "examples/hostsoak.json"
SHAPE = load_shape(SHAPE_FILE).unwrap()
NINE = load_shape(ROOT / "examples/hostsoak-nine.json").unwrap()
GRACE_S = 6.0


def request(**changes) -> RequestRecord:
    """Returns a request that was answered with its own success, with some fields changed."""
    fields = {"id": "a", "machine": "edge-0", "first": True, "repeatable": False, "began_at": 10.0, "sent_at": 10.1}
    fields |= {"ended_at": 10.2, "end": RequestEnd.ANSWERED, "status": 200, "answered_id": "a"}
    return RequestRecord(**fields | changes)


def lost(**changes) -> RequestRecord:
    return request(end=RequestEnd.NO_ANSWER, status=0, answered_id="", **changes)


def cut(end: RequestEnd, **changes) -> RequestRecord:
    """Returns a request without an answer at a machine that is neither stopped nor killed at the time."""
    times = {"began_at": 20.0, "sent_at": 20.1, "ended_at": 20.15}
    return request(**{"id": "cut", "end": end, "status": 0, "answered_id": ""} | times | changes)


CLEAN = Records(
    requests=[
        request(),
        lost(id="crossed", first=False),
        lost(id="told", first=False, after_close=True, ended_at=11.0),
        request(id="refused", status=503, answered_id=""),
        request(id="stopped", status=0, answered_id="", end=RequestEnd.NOT_SENT, sent_at=0.0),
        cut(RequestEnd.NOT_SENT, sent_at=0.0, first=False),
        cut(RequestEnd.NOT_SENT, sent_at=0.0, deadline_s=4.0, ended_at=25.1),
        cut(RequestEnd.NOT_SENT, sent_at=0.0, first=False, after_close=True, ended_at=20.5),
    ],
    runs=[Run("a", "i-1", 10.1)],
    stops=[Stop("edge-0", 9.0, 13.0, 0, ready_at=15.0)],
    numbers=[NumberDrawn("n", 1.0, 2.0, 7), NumberDrawn("n", 1.5, 3.0, 8), NumberDrawn("n", 4.0, 5.0, 9)],
    writes=[KeyWrite("g.k", 1.0, 2.0, "v", 3), KeyWrite("g.k", 3.0, 4.0, "w", None)],
    reads=[KeyRead("g.k", 2.5, 2.6, 3, "v"), KeyRead("g.k", 4.5, 4.6, 4, "w")],
    holds=[LockHold("l", "x", 1.0, 1.1, 2.0, 5), LockHold("l", "y", 2.0, 2.1, 3.0, 6)],
    watches=[WatchAnswer("w", "g.", 2, 3, 200, 1.0, [("g.k", 3, "v")]), WatchAnswer("w", "g.", 1, 0, 410, 30.0, [])],
    changes=[Change(4, 1.0, 2.0), Change(5, 3.0, 0.0)],
    region_losses=[RegionLoss("eu", 30.0, 34.0, 34.1, 40.0)],
    leavings=[Leaving("i-1", 8.0), Leaving("i-2", 10.0)],
    long_ends=[LongEnd("edge-1", 30.0, 43.0), LongEnd("edge-2", 30.0)],
    directory_answers=[
        *(DirectoryAnswer(37.5, "core-0", "eu", ["edge-0", "edge-1"]) for _ in range(3)),
        *(DirectoryAnswer(36.9, "core-0", "eu", ["edge-0", "edge-1"]) for _ in range(9)),
        *(DirectoryAnswer(40.0, "core-0", "eu", ["edge-1", "edge-2"]) for _ in range(9)),
        *(DirectoryAnswer(43.1, "core-0", "eu", ["edge-0", "edge-1"]) for _ in range(9)),
    ],
    voter_places=[
        VoterPlaces("eu was lost", 46.0, {"eu": 1, "us": 2, "ap": 2}, {"eu": 3, "us": 3, "ap": 3}),
        VoterPlaces("eu was lost", 46.0, {"eu": 4, "us": 1}, {"eu": 5, "us": 1}),
    ],
    final=FinalState(4, {"g.k": 4}, {"n": 10}, {"l": 7}, {"w": 200}),
)


def test_records_without_a_breach_have_no_findings():
    assert judge.check_records(CLEAN, GRACE_S) == []


BREACHES = {
    "DRAIN late request": {"leavings": [Leaving("i-1", 7.5)]},
    "DRAIN named for long": {
        "directory_answers": [DirectoryAnswer(37.1, "core-0", "eu", ["edge-0", "edge-1"]) for _ in range(4)]
    },
    "DRAIN named for ever": {
        "directory_answers": [DirectoryAnswer(50.0 + i, "core-0", "eu", ["edge-0", "edge-2"]) for i in range(4)]
    },
    "ACKS region lost": {"region_losses": [RegionLoss("eu", 30.0, 34.0, 0.0, 40.0)]},
    "SPREAD nobody answers": {"voter_places": [VoterPlaces("eu was lost", 46.0, {}, {"eu": 3, "us": 3})]},
    "SPREAD uneven": {"voter_places": [VoterPlaces("", 46.0, {"eu": 3, "us": 2}, {"eu": 3, "us": 3, "ap": 3})]},
    "LOST passed on": {"requests": [lost(first=False)]},
    "LOST first": {"requests": [lost(id="new")]},
    "LOST late": {"requests": [lost(id="kept", first=False, ended_at=10.4)]},
    "CUT not sent whole": {"requests": [cut(RequestEnd.NOT_SENT, sent_at=0.0)]},
    "CUT kept connection": {"requests": [cut(RequestEnd.NOT_SENT, sent_at=0.0, first=False, ended_at=20.5)]},
    "CUT before its deadline": {"requests": [cut(RequestEnd.NOT_SENT, deadline_s=4.0, ended_at=23.9)]},
    "CUT timed out": {"requests": [cut(RequestEnd.TIMED_OUT, ended_at=24.0)]},
    "FAULT end by itself": {"own_ends": [OwnEnd("core-0", 12.0, 2, 0.4, "in use")]},
    "FAULT handler error": {"handler_errors": [HandlerError("core-0", "AttributeError")]},
    "FAULT hang": {"hangs": [Hang("core-0", 12.0, 10.5, "")]},
    "FAULT slow start": {"slow_starts": [SlowStart("edge-0", 12.0, 40.0, "")]},
    "MEMORY": {"memory": [MemoryPeak("edge-0", 100.5, 100.0)]},
    "TWICE": {"runs": [Run("a", "i-1", 10.1), Run("a", "i-2", 10.2)]},
    "REFUSED request": {"requests": [request(status=503, answered_id="")]},
    "MIXED answer": {"requests": [request(answered_id="b")]},
    "STOP long": {"stops": [Stop("edge-0", 9.0, 16.0, 0, ready_at=17.0)]},
    "STOP overdue": {"stops": [Stop("edge-0", 9.0, 15.0, None, True, 17.0)]},
    "STOP code": {"stops": [Stop("edge-0", 9.0, 13.0, 70, ready_at=15.0)]},
    "STOP not ready": {"stops": [Stop("edge-0", 9.0, 13.0, 0)]},
    "ORDER twice": {"numbers": [NumberDrawn("n", 1.0, 2.0, 7), NumberDrawn("n", 1.0, 2.0, 7)]},
    "ORDER back": {"numbers": [NumberDrawn("n", 1.0, 2.0, 7), NumberDrawn("n", 3.0, 4.0, 6)]},
    "STALE": {"reads": [KeyRead("g.k", 2.5, 2.6, 2, None)]},
    "MIXED value": {"reads": [KeyRead("g.k", 2.5, 2.6, 3, "u"), KeyRead("g.k", 2.7, 2.8, 4, "u")]},
    "MIXED revision": {"reads": [KeyRead("g.k", 2.5, 2.6, 5, "v")]},
    "REFUSED value": {
        "writes": [KeyWrite("g.k", 1.0, 2.0, "v", 0)],
        "reads": [KeyRead("g.k", 2.5, 2.6, 5, "v")],
    },
    "ONE held by both": {"holds": [LockHold("l", "x", 1.0, 1.1, 2.0, 5), LockHold("l", "y", 1.0, 1.5, 3.0, 6)]},
    "ONE fence back": {"holds": [LockHold("l", "x", 1.0, 1.1, 2.0, 5), LockHold("l", "y", 2.0, 2.1, 3.0, 4)]},
    "ONE fence twice": {"holds": [LockHold("l", "x", 1.0, 1.1, 2.0, 5), LockHold("l", "y", 2.0, 2.1, 3.0, 5)]},
    "LOST history": {"watches": [WatchAnswer("w", "g.", 1, 0, 410, 19.0, [])]},
    "ORDER of events": {"watches": [WatchAnswer("w", "h.", 1, 3, 200, 1.0, [("h.k", 3, "v"), ("h.k", 2, "w")])]},
    "ORDER skipped": {"watches": [WatchAnswer("w", "g.", 2, 3, 200, 1.0, [])]},
    "CONFIG": {"changes": [Change(5, 1.0, 2.0)]},
    "LOST key": {"final": FinalState(4, {"g.k": 2}, {}, {})},
    "LOST number": {"final": FinalState(4, {}, {"n": 9}, {})},
    "LOST lock": {"final": FinalState(4, {}, {}, {"l": 6})},
    "LOST watch": {"final": FinalState(4, {}, {}, {}, {"w": 410})},
    "LOST unread": {"final": FinalState(4, {"g.k": None}, {}, {})},
}


@pytest.mark.parametrize("breach", BREACHES)
def test_a_planted_breach_is_found(breach):
    found = judge.check_records(msgspec.structs.replace(CLEAN, **BREACHES[breach]), GRACE_S)
    assert any(line.startswith(breach.partition(" ")[0]) for line in found), found


def test_a_request_that_a_kill_cut_is_no_finding():
    records = Records(requests=[lost(first=False)], runs=[Run("a", "i-1", 10.1)], kills=[Kill("edge-0", 10.15, 12.0)])
    assert judge.check_lost(records, GRACE_S) == []


def test_a_late_answer_of_a_process_that_is_held_to_a_share_is_no_finding():
    records = Records(share=0.2, requests=[cut(RequestEnd.TIMED_OUT, ended_at=24.0)])
    assert judge.check_cut(records, GRACE_S) == []


def test_the_figures_count_requests_without_an_answer_and_how_long_a_stopping_machine_is_named():
    records = msgspec.structs.replace(CLEAN, look_ups=[LookUp(9.4, ["edge-0"]), LookUp(14.0, ["edge-0"])])
    figures = judge.statistics(records)
    assert (figures["unanswered"], figures["stops"], figures["named_after_sigterm_s_most"]) == (1, 1, 0.4)
    assert figures["stop_s_p50"] == figures["stop_s_most"] == 4.0
    assert judge_coordination.check_coordination(records) == []


def test_the_same_seed_draws_the_same_schedule_of_overlapping_series():
    drawn = draw_schedule(SHAPE, 5, 60.0, trouble=True)
    assert drawn == draw_schedule(SHAPE, 5, 60.0, trouble=True) != draw_schedule(SHAPE, 6, 60.0, trouble=True)
    assert {act.kind for act in drawn.acts} == {
        ActKind.STOP,
        ActKind.KILL,
        ActKind.RELOAD,
        ActKind.RELEASE,
        ActKind.EVACUATE,
        ActKind.KILL_ALL,
        ActKind.RELOADS_AT_START,
        ActKind.LATE_END,
        ActKind.PORTS_HELD,
        ActKind.GARBAGE,
    }
    assert {act.target for act in drawn.acts if act.kind is ActKind.STOP} >= {"core-0", "edge-0"}
    assert all(act.at <= 50.0 for act in drawn.acts)
    assert ActKind.KILL not in {act.kind for act in draw_schedule(SHAPE, 5, 60.0, trouble=False).acts}


def test_trouble_hinders_starts_kills_all_and_sends_made_up_input():
    kinds = {act.kind for seed in range(5) for act in draw_schedule(SHAPE, seed, 60.0, True).acts}
    elsewhere = {ActKind.LOSE_REGION, ActKind.ROLL_REGION, ActKind.END_FOR_LONG, ActKind.LEAVE_BESIDE_STANDSTILL}
    assert kinds == set(PLAYED_KINDS) - elsewhere
    planned = {act.kind for act in draw_schedule(SHAPE, 1, 60.0, False).acts}
    assert not planned & {*START_FAULTS, ActKind.KILL, ActKind.KILL_ALL, ActKind.GARBAGE}


def test_regions_are_lost_and_rolled_in_turn_and_nothing_else_is_done():
    """A loss of two regions at once, or of a region and a machine, is more than the core has to survive."""
    kinds = set()
    for seed in range(5):
        acts = draw_region_schedule(NINE, seed, 120.0).acts
        kinds |= {act.kind for act in acts}
        assert {act.target for act in acts} == set(NINE.zones.values())
        assert all(later.at >= earlier.at + earlier.lasts + REGION_GAP_S for earlier, later in pairwise(acts))
    assert kinds == {ActKind.LOSE_REGION, ActKind.ROLL_REGION}


def test_departures_end_a_part_of_the_edges_at_one_moment_and_upstreams_leave_beside_a_standstill():
    for seed in range(5):
        acts = draw_departure_schedule(SHAPE, seed, 90.0).acts
        ends = [act for act in acts if act.kind is ActKind.END_FOR_LONG]
        assert {act.kind for act in acts} == {ActKind.END_FOR_LONG, ActKind.LEAVE_BESIDE_STANDSTILL}
        assert all(act.lasts > NAMED_AFTER_END_S and act.target.startswith("edge-") for act in ends)
        for at in {act.at for act in ends}:
            assert sum(act.at == at for act in ends) == int(ENDED_SHARE * SHAPE.edge)


def test_a_saved_schedule_is_played_as_it_was_drawn(tmp_path):
    for shape, drawn in (
        (SHAPE, draw_schedule(SHAPE, 5, 60.0, trouble=True)),
        (NINE, draw_region_schedule(NINE, 5, 60.0)),
        (SHAPE, draw_departure_schedule(SHAPE, 5, 60.0)),
    ):
        save_schedule(drawn, tmp_path / "schedule.json")
        assert load_schedule(tmp_path / "schedule.json", shape).unwrap() == drawn


@pytest.mark.parametrize(
    ("place", "changes"),
    [
        ("version", {"version": 99}),
        ("acts[0].target", {"acts": [{"at": 1.0, "kind": "stop", "target": "edge-99"}]}),
        ("acts[0]", {"acts": [{"at": -1.0, "kind": "stop", "target": "edge-0"}]}),
        ("acts[0].kind", {"acts": [{"at": 1.0, "kind": "homes", "target": "edge-0"}]}),
        ("acts[0].speed", {"acts": [{"at": 1.0, "kind": "stop", "target": "edge-0", "speed": 2}]}),
    ],
)
def test_a_saved_schedule_that_cannot_be_played_is_refused(tmp_path, place, changes):
    path = tmp_path / "schedule.json"
    path.write_text(json.dumps({"version": 1, "seed": 1, "seconds": 60.0, "acts": []} | changes))
    found = load_schedule(path, SHAPE).unwrap_err()
    assert place in [problem.place for problem in found]


@pytest.mark.parametrize(
    ("place", "changes"),
    [
        ("core", {"core": 0}),
        ("rate", {"rate": -1.0}),
        ("callers", {"callers": -1}),
        ("zones", {"zones": {}}),
        ("services", {"services": {"boards": 0}}),
        ("edge", {"edge": 1000}),
        ("edge", {"edge": 194}),
    ],
)
def test_a_shape_that_cannot_be_played_is_refused(monkeypatch, place, changes):
    monkeypatch.setattr("mallowvalve.localfleet.deployed.shape.total_memory_bytes", lambda: 16 << 30)
    shape = msgspec.structs.replace(SHAPE, **changes)
    assert place in [problem.place for problem in check_shape(shape).unwrap_err()]


def run_command(*words: str):
    return CliRunner().invoke(main, ["hostsoak", *words])


def test_bad_input_ends_with_code_2_before_anything_starts(tmp_path, monkeypatch):
    def start(*_args, **_kwargs):
        raise AssertionError("a process was started")

    monkeypatch.setattr(subprocess, "Popen", start)
    unknown = tmp_path / "unknown.json"
    unknown.write_text(json.dumps(msgspec.to_builtins(SHAPE) | {"colour": 1}))
    (tmp_path / "used").mkdir()
    (tmp_path / "used" / "file").touch()
    broken = tmp_path / "checkout"
    (broken / "deploy").mkdir(parents=True)
    (broken / "deploy" / "system.toml").write_text("roles = [")
    for words, text in (
        ([str(unknown)], "colour: unknown field"),
        ([str(tmp_path / "none.json")], "No such file"),
        ([str(SHAPE_FILE), "--share", "0"], "--share"),
        ([str(SHAPE_FILE), "--share", "1.1"], "--share"),
        ([str(SHAPE_FILE), "--for", "-3"], "--for"),
        ([str(SHAPE_FILE), "--folder", str(tmp_path / "used")], "--folder"),
        ([str(SHAPE_FILE), "--root", str(broken)], "system.toml"),
        ([str(SHAPE_FILE), "--acts", str(unknown)], "acts: missing"),
    ):
        result = run_command(*words)
        assert result.exit_code == 2 and text in result.output, (words, result.output)


def test_the_deploy_file_names_the_roles_that_are_played():
    assert set(load_deploy_file(ROOT).unwrap().roles) == {"control", "proxy"}
    assert Shape.__struct_fields__[0] == "zones"


def test_an_interrupted_soak_ends_all_its_processes(tmp_path):
    """Guards against processes that are left behind, stopped ones among them."""
    shape = tmp_path / "shape.json"
    shape.write_text(json.dumps(msgspec.to_builtins(SHAPE) | {"core": 1, "edge": 1}))
    command = [sys.executable, "-m", "mallowvalve", "hostsoak", str(shape), "--for", "60", "--share", "0.5"]
    with subprocess.Popen([*command, "--folder", str(tmp_path / "run")], cwd=ROOT, stdout=subprocess.PIPE) as soak:
        started = []
        while len(started) < 2:
            started = psutil.Process(soak.pid).children(recursive=True)
            assert soak.poll() is None
            os.sched_yield()
        soak.send_signal(signal.SIGTERM)
        assert soak.wait(timeout=30) == 143
    assert psutil.wait_procs(started, timeout=10)[1] == []


def test_a_process_that_ends_by_itself_is_recorded_and_started_again(tmp_path):
    """Guards against a soak that starts a machine again without a word of its end."""
    shape = msgspec.structs.replace(SHAPE, core=1, edge=1)
    fleet = Fleet(shape, ROOT, load_deploy_file(ROOT).unwrap(), tmp_path)
    records = Records()
    machine = fleet.edge[0]
    with Watch(fleet, records, 0.01):
        machine.popen = subprocess.Popen([sys.executable, "-c", "raise SystemExit(70)"])
        while not records.own_ends or not machine.is_running:
            Event().wait(timeout=0.01)
        machine.kill()
        Event().wait(timeout=0.2)
    machine.kill()
    assert [(end.machine, end.code) for end in records.own_ends] == [("edge-0", 70)]


def test_a_span_without_a_turn_of_the_soak_itself_is_recorded(tmp_path, monkeypatch):
    """Guards against a late soak that is taken for a late product."""
    monkeypatch.setattr(watch, "STALL_S", 0.02)
    fleet = Fleet(msgspec.structs.replace(SHAPE, core=1, edge=1), ROOT, load_deploy_file(ROOT).unwrap(), tmp_path)
    records = Records()
    with Watch(fleet, records, 0.01):
        Event().wait(timeout=0.01)
        subprocess.run(["python3", "-c", "import time; time.sleep(0.3)"], check=True)
        Event().wait(timeout=0.2)
    assert records.stalls and records.stalls[0].seconds >= 0.02
