"""Tests the schedules of soaks, the input that is refused before the start, and that each check finds a violation."""

import json
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from mallowvalve.cli import main
from mallowvalve.localfleet import schedule, soak, soak_judge
from mallowvalve.localfleet.fleet import FleetShape, LocalFleet
from mallowvalve.localfleet.schedule import (
    PLANNED_KINDS,
    SCHEDULE_VERSION,
    ActKind,
    Schedule,
    ScheduledAct,
    draw_schedule,
    load_schedule,
    save_schedule,
    schedule_targets,
)
from mallowvalve.localfleet.soak_judge import DescriptorCounts, Disturbances, SoakEvent, SoakEventKind

SHAPE = Path(__file__).parent.parent / "examples" / "soak.json"


@pytest.fixture
def shape():
    return msgspec.json.decode(SHAPE.read_bytes(), type=FleetShape)


@pytest.fixture
def fleet(shape, tmp_path):
    return LocalFleet(shape, tmp_path)


def test_a_seed_determines_the_schedule(shape):
    first = draw_schedule(shape, 1, 60.0, trouble=True)
    assert first == draw_schedule(shape, 1, 60.0, trouble=True) != draw_schedule(shape, 2, 60.0, trouble=True)
    assert [act.at for act in first.acts] == sorted(act.at for act in first.acts)
    assert {act.target for act in first.acts} <= schedule_targets(shape).names()


def test_planned_schedules_contain_no_faults(shape):
    for seed in range(1, 30):
        planned = draw_schedule(shape, seed, 60.0, trouble=False)
        assert {act.kind for act in planned.acts} <= PLANNED_KINDS
        stops = [act for act in planned.acts if act.kind is ActKind.STOP]
        assert len({act.target for act in stops}) > 6
        assert {ActKind.KILL, ActKind.FREEZE} & {
            act.kind for act in draw_schedule(shape, seed, 60.0, trouble=True).acts
        }


def test_a_saved_schedule_is_read_back_unchanged(shape, tmp_path):
    drawn = draw_schedule(shape, 3, 60.0, trouble=True)
    save_schedule(drawn, tmp_path / "s.json")
    assert load_schedule(tmp_path / "s.json", shape).unwrap() == drawn


@pytest.mark.parametrize(
    ("saved", "place"),
    [
        (Schedule(SCHEDULE_VERSION, 1, 9.0, [ScheduledAct(1.0, ActKind.STOP, "nobody")]), "acts.nobody"),
        (Schedule(SCHEDULE_VERSION + 1, 1, 9.0, []), "version"),
        (
            {
                "version": SCHEDULE_VERSION,
                "seed": 1,
                "seconds": 9.0,
                "acts": [{"at": 1, "kind": "melt", "target": "proxy5"}],
            },
            "s.json",
        ),
        ("no schedule", "s.json"),
    ],
)
def test_an_invalid_schedule_is_refused_before_any_process_starts(saved, place, tmp_path, monkeypatch):
    monkeypatch.setattr(LocalFleet, "__enter__", lambda self: pytest.fail("started"))
    (tmp_path / "s.json").write_bytes(msgspec.json.encode(saved))
    ended = CliRunner().invoke(main, ["soak", str(SHAPE), "--acts", str(tmp_path / "s.json")])
    assert ended.exit_code == 2 and place in ended.output


def test_a_shape_that_exceeds_the_limits_of_the_machine_is_refused(shape, monkeypatch):
    assert soak.check_fits(shape) == []
    monkeypatch.setattr(soak, "MEMORY_PER_PROCESS_BYTES", 1 << 40)
    assert "memory" in soak.check_fits(shape)[0].text
    monkeypatch.setattr(soak, "MAX_PROCESSES", 3)
    assert "processes" in soak.check_fits(shape)[0].text
    ended = CliRunner().invoke(main, ["soak", str(SHAPE)])
    assert ended.exit_code == 2


def proxy_and_address(fleet, index):
    process = fleet.with_role("proxy")[index]
    return process, f"127.0.0.1:{process.web_port}"


def proxies_by_address(fleet):
    return {f"127.0.0.1:{process.web_port}": process for process in fleet.with_role("proxy")}


def row(address, status=200, outcome=None, began=100.0, ended=100.1, where="eu/eu-a", tenant="overlay"):
    return {"id": "q", "tenant": tenant, "from": where, "tries": [[status, outcome, began, ended, address]]}


RUNS = [{"request": "q", "at": 100.05}]


def disturbances(*events):
    return Disturbances([SoakEvent(*event) for event in events])


def test_a_request_that_is_cut_while_it_runs_is_found(fleet):
    (process, address), proxies = proxy_and_address(fleet, 0), proxies_by_address(fleet)
    cut = row(address, 0, "ConnectionResetError")
    found = soak_judge.check_cut_requests(disturbances((99.0, SoakEventKind.TOLD, process.name)), proxies, [cut], RUNS)
    assert len(found) == 1 and "while it stopped" in found[0]
    assert soak_judge.check_cut_requests(disturbances(), proxies, [cut], [{"request": "q", "at": 99.0}]) == []
    assert (
        soak_judge.check_cut_requests(disturbances((95.0, SoakEventKind.TROUBLE, "proxy8")), proxies, [cut], RUNS) == []
    )
    assert (
        soak_judge.check_cut_requests(disturbances(), proxies, [row(address, 0, "ConnectionRefusedError")], RUNS) == []
    )


def test_a_request_to_another_region_is_found_if_an_allowed_region_has_a_steady_proxy(fleet):
    proxies = proxies_by_address(fleet)
    (eu, _), (eu_b, _), (_, us) = proxy_and_address(fleet, 0), proxy_and_address(fleet, 1), proxy_and_address(fleet, 2)
    homes_of = soak_judge.tenant_homes(fleet)
    assert homes_of["steward"] == {"eu"}

    def check(*events, **how):
        return soak_judge.check_regions(disturbances(*events), proxies, homes_of, [row(us, **how)])

    assert len(check()) == 1 and len(check((99.0, SoakEventKind.TOLD, eu.name))) == 1
    assert (
        check(
            (99.0, SoakEventKind.TOLD, eu.name),
            (92.0, SoakEventKind.TOLD, eu_b.name),
            (98.0, SoakEventKind.READY, eu_b.name),
        )
        == []
    )
    assert (
        check(
            (99.0, SoakEventKind.TOLD, eu.name),
            (90.0, SoakEventKind.EVACUATED, "eu-b"),
            (97.0, SoakEventKind.GIVEN_BACK, "eu-b"),
        )
        == []
    )
    assert check((95.0, SoakEventKind.TROUBLE, "control0")) == []
    assert check(tenant="runner") == [] and check(where="us/us-a") == []
    assert len(check(tenant="steward")) == 1


def test_a_stall_of_the_machine_counts_as_a_fault_and_an_unready_proxy_is_not_steady(fleet):
    proxies = proxies_by_address(fleet)
    (eu, _), (eu_b, _), (_, us) = proxy_and_address(fleet, 0), proxy_and_address(fleet, 1), proxy_and_address(fleet, 2)
    for events in (
        [(96.0, SoakEventKind.STALL, "machine")],
        [(95.0, SoakEventKind.UNREADY, eu.name), (97.0, SoakEventKind.UNREADY, eu_b.name)],
    ):
        assert soak_judge.check_regions(disturbances(*events), proxies, {}, [row(us)]) == []
    (fleet.folder / eu.name / "log").write_text(
        'noise\n{"message_type":"unready","timestamp":90.0}\n{"message_type":"ready","timestamp":99.0}\n'
    )
    events = soak_judge.readiness_events(fleet.folder, [eu.name, "nobody"])
    assert events == [SoakEvent(90.0, SoakEventKind.UNREADY, eu.name), SoakEvent(99.0, SoakEventKind.READY, eu.name)]


def test_overdue_and_failed_stops_are_found():
    events = [SoakEvent(1.0, SoakEventKind.ENDED, "a", 2.0), SoakEvent(1.0, SoakEventKind.READY, "a")]
    assert soak_judge.check_stops(events) == []
    for kind, text in (
        (SoakEventKind.FAILED, "code 70"),
        (SoakEventKind.OVERDUE, "had not ended 70.0 s"),
        (SoakEventKind.NOT_READY, "not ready"),
    ):
        assert text in soak_judge.check_stops([SoakEvent(1.0, kind, "a", 70.0)])[0]


def test_tracebacks_dead_tasks_and_descriptor_leaks_are_found(tmp_path):
    (tmp_path / "proxy5").mkdir()
    (tmp_path / "proxy5" / "log").write_text('{"message_type":"ready"}')
    (tmp_path / "proxy5" / "proxy5.err").write_text("")
    assert soak_judge.check_logs(tmp_path) == []
    (tmp_path / "proxy5" / "log").write_text('{"message_type":"task_died"}')
    (tmp_path / "proxy5" / "proxy5.err").write_text("Traceback (most recent call last)")
    assert len(soak_judge.check_logs(tmp_path)) == 2
    roles = {"proxy5": "proxy", "proxy6": "proxy"}
    assert soak_judge.check_descriptors(DescriptorCounts({"proxy5": 50, "proxy6": 60}, {"proxy5": 99}), roles) == []
    assert (
        "proxy5 holds 101"
        in soak_judge.check_descriptors(DescriptorCounts({"proxy5": 50, "proxy6": 60}, {"proxy5": 101}), roles)[0]
    )


def test_the_soak_example_has_two_proxies_per_region_and_tenants_with_homes(shape):
    targets = schedule_targets(shape)
    regions = [locality.partition("/")[0] for locality in targets.proxies.values()]
    assert min(regions.count(region) for region in regions) >= 2 and len(targets.tenants) >= 2
    assert json.loads(SHAPE.read_text())["rate"] > 0 and schedule.QUIET_END_S > 0
