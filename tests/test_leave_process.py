"""Graceful stops of real control processes, with sockets, signals and their own clocks."""

import json

from mallowvalve.localfleet.call import call
from mallowvalve.localfleet.fleet import FleetShape, LocalFleet, NodePlacement, wait_until
from mallowvalve.localfleet.main import wait_until_settled
from tests.shapes import CONFIG, SHARES, ZONES

GRACE_PERIOD_S = 4.0


def log_events(fleet, name, kind):
    rows = [json.loads(line) for line in fleet.processes[name].log.read_text().splitlines()]
    return [row for row in rows if row.get("message_type") == kind]


def leader_page(process):
    status, body = call(process.web_port, "GET", "/leader")[:2]
    return body if status == 200 else {}


def leader(fleet):
    live = [process for process in fleet.with_role("control") if process.is_running]
    return wait_until(lambda: next((p for p in live if leader_page(p).get("role") == "leader"), None), 20)


def test_a_successor_takes_the_seat_before_the_process_stops_and_the_next_loss_leaves_a_majority(tmp_path):
    nodes = [NodePlacement("control", zone) for zone in ZONES[::2]] + [NodePlacement("proxy", "eu/eu-a")]
    shape = FleetShape(nodes=nodes, upstreams=[], config=CONFIG, shares=SHARES, rate=1.0, clients=1)
    with LocalFleet(shape, tmp_path, GRACE_PERIOD_S) as fleet:
        assert wait_until_settled(fleet)
        (follower, *_) = [process for process in fleet.with_role("control") if process is not leader(fleet)]
        fleet.stop(follower.name)
        (row,) = log_events(fleet, follower.name, "left_core")
        assert (row["why"], row["seconds"] < 0.5) == ("nobody could take its seat", True)
        fleet.start(follower.name)
        assert wait_until(lambda: leader_page(follower).get("leader"), 20)
        successor = fleet.add_node("control", "us/us-b", "control9")
        assert wait_until(lambda: leader_page(successor).get("leader"), 20)
        leaving = leader(fleet)
        fleet.stop(leaving.name)
        (row,) = log_events(fleet, leaving.name, "left_core")
        assert (row["why"], row["seconds"] < GRACE_PERIOD_S) == ("another has its seat", True)
        fleet.kill(
            next(
                process for process in fleet.with_role("control") if process.is_running and process is not successor
            ).name
        )
        last_leader = leader(fleet)
        assert wait_until(lambda: call(last_leader.web_port, "POST", "/numbers/n", {})[0] == 200, 10)
