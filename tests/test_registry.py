"""The registry of upstreams, and the detection of silent ones."""

import msgspec

from mallowvalve.control.state import decode_command
from mallowvalve.types import Address, Locality
from mallowvalve.upstreams import registry as registries
from mallowvalve.upstreams.liveness import HeardInstance, LivenessTracker
from mallowvalve.upstreams.registry import Registered, Registry, Upstream

EU = Locality("eu", "eu-a")


def make_upstream(name="i1", seq=1, state="ready", at="10.0.0.1:80", service="s", cold=0, slots=4):
    return Upstream(name, service, Address.read(at).ok_value, EU, slots, state, seq, 0, cold)


def registry_after(*trace):
    """Returns a registry after a trace of steps: a fleet time (ms), and one change or a list of changes."""
    registry = Registry()
    for fleet_time_ms, change in trace:
        registry.apply(Registered(change if isinstance(change, list) else [change]), fleet_time_ms)
    return registry


def states_by_instance(registry):
    return {instance: upstream.state for instance, upstream in registry.rows.items()}


def test_since_is_the_time_of_registration_and_the_cold_phase_counts_from_the_commands_time():
    registry = registry_after(
        (1000, make_upstream(cold=3000)),
        (2000, make_upstream(seq=5, slots=6)),
        (3000, make_upstream(seq=6, slots=6, cold=500)),
    )
    upstream = registry.rows["i1"]
    assert (upstream.since, upstream.cold_until, upstream.slots, upstream.sequence) == (1000, 4000, 6, 5)
    registry.apply(Registered([make_upstream(seq=7, slots=6, cold=5000)]), 9000)
    assert registry.rows["i1"].cold_until == 14000 and registry.rows["i1"].since == 1000


def test_a_leaving_upstream_never_becomes_ready_and_a_gone_one_never_changes():
    registry = registry_after(
        (0, make_upstream()),
        (1, make_upstream(seq=5, state="leaving")),
        (2, make_upstream(seq=6)),
        (3, make_upstream(seq=7, state="silent")),
    )
    assert states_by_instance(registry) == {"i1": "leaving"}
    for change in (
        make_upstream(seq=9, state="gone"),
        make_upstream(seq=10),
        make_upstream(seq=11, state="leaving"),
        make_upstream(seq=12, state="silent"),
    ):
        registry.apply(Registered([change]), 10)
    assert states_by_instance(registry) == {"i1": "gone"}


def test_a_silent_upstream_becomes_ready_again_and_keeps_its_other_fields():
    registry = registry_after(
        (0, make_upstream(cold=9000)),
        (1, make_upstream(seq=1, state="silent")),
        (2, make_upstream(seq=4)),
        (3, make_upstream(seq=4, state="silent")),
    )
    assert (
        states_by_instance(registry) == {"i1": "silent"}
        and registry.rows["i1"].cold_until == 9000
        and registry.ready("s") == []
    )
    registry.apply(Registered([make_upstream(seq=8)]), 4)
    assert (
        states_by_instance(registry) == {"i1": "ready"}
        and registry.rows["i1"].since == 0
        and registry.ready("s") == [registry.rows["i1"]]
    )


def test_a_change_with_a_lower_sequence_is_ignored():
    registry = registry_after(
        (0, make_upstream(seq=7)),
        (1, make_upstream(seq=6, state="leaving")),
        (1, make_upstream(seq=6, state="silent")),
        (2, make_upstream(seq=3, slots=9)),
    )
    assert registry.rows["i1"] == make_upstream(seq=7) and registry.revision == 1


def test_a_new_upstream_at_an_address_ends_the_previous_one_there():
    registry = registry_after(
        (0, make_upstream("old")), (5, make_upstream("other", at="10.0.0.2:80")), (9, make_upstream("new", service="t"))
    )
    assert (
        states_by_instance(registry) == {"old": "gone", "other": "ready", "new": "ready"}
        and registry.rows["old"].since == 9
    )
    registry.apply(Registered([make_upstream("old", seq=50)]), 10)
    assert states_by_instance(registry)["old"] == "gone"
    registry.apply(Registered([make_upstream("other", seq=2, at="10.0.0.1:80")]), 11)
    assert states_by_instance(registry) == {"old": "gone", "other": "ready", "new": "gone"}


def test_a_tombstone_blocks_late_heartbeats_for_a_minute():
    registry = registry_after((0, make_upstream()), (1000, make_upstream(state="gone")), (60_900, make_upstream(seq=9)))
    assert states_by_instance(registry) == {"i1": "gone"}
    registry.apply(Registered([]), 61_001)
    assert states_by_instance(registry) == {} and registry.revision == 3


def test_an_unknown_upstream_that_is_gone_gets_a_tombstone():
    registry = registry_after((0, make_upstream("x", state="gone")), (1, make_upstream("x", seq=4)))
    assert states_by_instance(registry) == {"x": "gone"}


def test_only_silent_and_leaving_upstreams_are_dropped_and_may_register_again():
    registry = registry_after(
        (0, [make_upstream("a"), make_upstream("b", at="10.0.0.2:80"), make_upstream("c", at="10.0.0.3:80")]),
        (1, make_upstream("a", state="silent")),
        (2, make_upstream("c", state="leaving", at="10.0.0.3:80")),
    )
    registry.apply(Registered([], "", ["a", "b", "c", "never"]), 3)
    assert states_by_instance(registry) == {"b": "ready"}
    registry.apply(Registered([make_upstream("a", seq=9)]), 4)
    assert states_by_instance(registry)["a"] == "ready" and registry.rows["a"].since == 4


def test_the_revision_increases_only_with_commands_that_change_something():
    registry = Registry()
    revisions = []
    for change in (
        make_upstream(),
        make_upstream(seq=2),
        make_upstream(seq=3, state="silent"),
        make_upstream(seq=3, state="silent"),
        make_upstream(seq=4),
        make_upstream(seq=5, slots=5),
    ):
        registry.apply(Registered([change]), 5)
        revisions.append(registry.revision)
    assert revisions == [1, 1, 2, 2, 3, 4]


def test_upstreams_services_and_tombstones_are_limited(monkeypatch):
    monkeypatch.setattr(registries, "MAX_UPSTREAMS", 4)
    monkeypatch.setattr(registries, "MAX_SERVICES", 2)
    monkeypatch.setattr(registries, "MAX_GONE", 1)
    registry = Registry()
    for number, service in enumerate("aabcaa"):
        registry.apply(Registered([make_upstream(f"i{number}", service=service, at=f"10.0.0.{number + 1}:1")]), number)
    assert sorted(registry.rows) == ["i0", "i1", "i2", "i4"]
    registry.apply(Registered([make_upstream("i1", seq=2, state="gone"), make_upstream("i0", seq=2, state="gone")]), 10)
    registry.apply(Registered([]), 11)
    assert sorted(registry.rows) == ["i1", "i2", "i4"]


def test_the_result_does_not_depend_on_the_order_in_which_rows_were_loaded():
    changes = [make_upstream(f"i{number}", at=f"10.0.0.{number % 3 + 1}:80", seq=number) for number in range(9)]
    applied, loaded = Registry(), Registry()
    applied.apply(Registered(changes[:5]), 1)
    loaded.rows = dict(reversed(applied.rows.items()))
    for registry in (applied, loaded):
        registry.apply(Registered(changes[5:]), 2)
    assert applied.rows == loaded.rows


def observe(tracker, registry, upstream, now, fleet_time_ms=0):
    return tracker.observe(upstream, registry, fleet_time_ms, now)


def test_only_heartbeats_with_changed_fields_are_proposed():
    tracker, registry = LivenessTracker(), registry_after((1000, make_upstream(cold=3000)))
    assert observe(tracker, registry, make_upstream("new"), 0.0) == make_upstream("new")
    assert observe(tracker, registry, make_upstream(seq=2), 0.1) is None
    for upstream in (
        make_upstream(seq=3, slots=5),
        make_upstream(seq=3, at="10.0.0.9:80"),
        make_upstream(seq=3, service="t"),
        make_upstream(seq=3, state="leaving"),
    ):
        assert observe(tracker, registry, upstream, 0.2) == upstream
    assert observe(tracker, registry, make_upstream(seq=4, cold=2200), 0.3, 2000) is None
    assert observe(tracker, registry, make_upstream(seq=5, cold=2201), 0.4, 2000) == make_upstream(seq=5, cold=2201)
    registry.apply(Registered([make_upstream(seq=5, state="silent")]), 1)
    assert observe(tracker, registry, make_upstream(seq=6), 0.5) == make_upstream(seq=6)
    assert observe(tracker, registry, make_upstream(seq=5), 0.6) is None


def test_a_late_heartbeat_is_neither_proposed_nor_recorded():
    tracker, registry = LivenessTracker(), registry_after((0, make_upstream(seq=5)))
    assert observe(tracker, registry, make_upstream(seq=4, slots=9), 1.0) is None and tracker.report(0.0, 1.0) == []
    assert observe(tracker, registry, make_upstream(seq=9), 1.0) is None
    assert observe(tracker, registry, make_upstream(seq=8, state="leaving"), 2.0) is None
    assert tracker.report(0.0, 2.0) == [HeardInstance("i1", 1000)]


def test_a_leaving_notice_is_proposed_until_this_node_acknowledged_it():
    tracker, registry = (
        LivenessTracker(),
        registry_after((0, make_upstream()), (1, make_upstream(seq=2, state="leaving"))),
    )
    assert observe(tracker, registry, make_upstream(seq=3, state="leaving"), 0.0) is not None
    tracker.mark_acknowledged(make_upstream(seq=3, state="leaving"))
    assert observe(tracker, registry, make_upstream(seq=4, state="leaving"), 0.0) is None
    assert observe(tracker, registry, make_upstream(seq=5), 0.0) is None
    registry.apply(Registered([make_upstream(state="gone")]), 5)
    assert observe(tracker, registry, make_upstream(seq=6), 0.0) is None


def test_fleet_time_advances_between_commands():
    tracker = LivenessTracker()
    assert tracker.fleet_time_ms(5000, 10.0) == 5000 and tracker.fleet_time_ms(5000, 10.5) == 5500
    assert tracker.fleet_time_ms(5400, 10.6) == 5400 and tracker.fleet_time_ms(5400, 11.6) == 6400


def registry_of_eight():
    return registry_after((0, [make_upstream(f"i{number}", at=f"10.0.0.{number + 1}:80") for number in range(8)]))


def lead_for(tracker, registry, start, end, heard_instances, step=0.25):
    """Lets the tracker lead while some instances send heartbeats; returns what it detected, and when."""
    detected, now = [], start
    while now < end:
        tracker.merge_report([HeardInstance(instance, 0) for instance in heard_instances], now)
        found = tracker.detect_silent(registry, now)
        if found is not None:
            detected.append((now, sorted(upstream.instance for upstream in found.changes), found.forget))
            registry.apply(found, int(now * 1000))
        now += step
    return detected


def test_an_upstream_that_no_control_process_heard_for_three_heartbeats_is_silent():
    tracker, registry = LivenessTracker(1.5), registry_of_eight()
    heard_instances = [f"i{number}" for number in range(1, 8)]
    assert lead_for(tracker, registry, 100.0, 104.0, [*heard_instances, "i0"]) == []
    detected = lead_for(tracker, registry, 104.0, 112.0, heard_instances)
    assert detected == [(108.25, ["i0"], [])] and states_by_instance(registry)["i0"] == "silent"
    assert observe(tracker, registry, make_upstream("i0", seq=2), 112.0) == make_upstream("i0", seq=2)


def test_a_new_or_paused_leader_observes_for_a_silence_timeout_first():
    tracker, registry = LivenessTracker(1.5), registry_of_eight()
    heard_instances = [f"i{number}" for number in range(1, 8)]
    assert lead_for(tracker, registry, 50.0, 54.5, heard_instances) == []
    tracker.stop_judging()
    assert lead_for(tracker, registry, 90.0, 94.5, heard_instances) == []
    assert lead_for(tracker, registry, 97.5, 102.0, heard_instances) == []
    assert lead_for(tracker, registry, 102.0, 103.0, heard_instances) == [(102.0, ["i0"], [])]


def test_a_mass_silence_is_detected_after_twice_the_timeout():
    tracker, registry = LivenessTracker(1.5), registry_of_eight()
    all_instances, few = [f"i{number}" for number in range(8)], [f"i{number}" for number in range(3)]
    lead_for(tracker, registry, 0.0, 10.0, all_instances)
    detected = lead_for(tracker, registry, 10.0, 22.0, few)
    assert detected == [(18.75, ["i3", "i4", "i5", "i6", "i7"], [])]
    tracker, registry = LivenessTracker(1.5), registry_of_eight()
    lead_for(tracker, registry, 0.0, 10.0, all_instances)
    assert lead_for(tracker, registry, 10.0, 22.0, all_instances[4:]) == [(14.25, ["i0", "i1", "i2", "i3"], [])]


def test_upstreams_that_fall_silent_within_one_heartbeat_are_one_mass_silence():
    tracker, registry = LivenessTracker(1.5), registry_of_eight()
    lead_for(tracker, registry, 0.0, 8.0, [f"i{number}" for number in range(8)])
    for number in range(8):
        tracker.merge_report([HeardInstance(f"i{number}", 0)], 8.0 + number * 0.18)
    detected = lead_for(tracker, registry, 9.5, 30.0, [])
    assert detected[0][0] >= 17.0 and sum((silent for _, silent, _ in detected), []) == [
        f"i{number}" for number in range(8)
    ]


def test_the_only_upstream_of_a_service_is_no_mass_silence():
    tracker, registry = LivenessTracker(1.5), registry_after((0, make_upstream()))
    lead_for(tracker, registry, 0.0, 10.0, ["i1"])
    assert lead_for(tracker, registry, 10.0, 15.0, []) == [(14.25, ["i1"], [])]


def test_silent_and_leaving_upstreams_are_dropped_after_a_minute_of_silence():
    tracker, registry = LivenessTracker(1.5), registry_of_eight()
    registry.apply(Registered([make_upstream("i7", seq=2, state="leaving", at="10.0.0.8:80")]), 1)
    heard_instances = [f"i{number}" for number in range(1, 7)]
    detected = lead_for(tracker, registry, 0.0, 70.0, heard_instances)
    assert detected == [(4.5, ["i0"], []), (60.0, [], ["i0", "i7"])]
    tracker.prune(registry, 200.0)
    assert {heard.instance for heard in tracker.report(-1.0, 200.0)} == set(heard_instances)


def test_a_report_holds_only_upstreams_heard_since_the_last_report():
    tracker, registry = LivenessTracker(), registry_of_eight()
    observe(tracker, registry, make_upstream("i0", seq=2), 1.0)
    observe(tracker, registry, make_upstream("i1", seq=2, at="10.0.0.2:80"), 2.0)
    assert tracker.report(1.0, 2.5) == [HeardInstance("i1", 500)]
    leader = LivenessTracker()
    leader.merge_report(tracker.report(0.0, 2.5), 12.5)
    assert leader.report(0.0, 12.5) == [HeardInstance("i0", 1500), HeardInstance("i1", 500)]
    leader.merge_report([HeardInstance("i1", 9000)], 12.5)
    assert leader.report(0.0, 12.5)[1] == HeardInstance("i1", 500)


def test_the_encoded_command_holds_the_dropped_instances():
    data = msgspec.msgpack.encode(Registered([make_upstream()], "", ["x"]))
    assert decode_command(data) == Registered([make_upstream()], "", ["x"])
