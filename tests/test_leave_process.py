"""A polite stop of control processes as they run: sockets, signals and clocks of their own."""

import json

from mallowvalve.localfleet.call import call
from mallowvalve.localfleet.fleet import FleetShape, LocalFleet, NodePlacement, wait_until
from mallowvalve.localfleet.main import wait_until_settled
from tests.shapes import CONFIG, SHARES, ZONES

POLITE = 4.0


def said(fleet, name, what):
    rows = [json.loads(line) for line in fleet.processes[name].log.read_text().splitlines()]
    return [r for r in rows if r.get("message_type") == what]


def about(p):
    status, body = call(p.web_port, "GET", "/leader")[:2]
    return body if status == 200 else {}


def leader(fleet):
    live = [p for p in fleet.with_role("control") if p.is_running]
    return wait_until(lambda: next((p for p in live if about(p).get("role") == "leader"), None), 20)


def test_a_successor_has_the_seat_before_the_process_ends_and_the_next_loss_leaves_a_majority(tmp_path):
    nodes = [NodePlacement("control", z) for z in ZONES[::2]] + [NodePlacement("proxy", "eu/eu-a")]
    shape = FleetShape(nodes=nodes, upstreams=[], config=CONFIG, shares=SHARES, rate=1.0, clients=1)
    with LocalFleet(shape, tmp_path, POLITE) as fleet:
        assert wait_until_settled(fleet)
        (plain, *_) = [p for p in fleet.with_role("control") if p is not leader(fleet)]
        fleet.stop(plain.name)
        (row,) = said(fleet, plain.name, "left_core")
        assert (row["why"], row["seconds"] < 0.5) == ("nobody could take its seat", True)
        fleet.start(plain.name)
        assert wait_until(lambda: about(plain).get("leader"), 20)
        new = fleet.add_node("control", "us/us-b", "control9")
        assert wait_until(lambda: about(new).get("leader"), 20)
        goes = leader(fleet)
        fleet.stop(goes.name)
        (row,) = said(fleet, goes.name, "left_core")
        assert (row["why"], row["seconds"] < POLITE) == ("another has its seat", True)
        fleet.kill(next(p for p in fleet.with_role("control") if p.is_running and p is not new).name)
        left = leader(fleet)
        assert wait_until(lambda: call(left.web_port, "POST", "/numbers/n", {})[0] == 200, 10)
