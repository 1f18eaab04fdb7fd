"""How old the views were by which the edge machines sent requests, read from their own metrics at the end of a soak."""

from __future__ import annotations

from collections import Counter

from mallowvalve import clock
from mallowvalve.localfleet.deployed.connection import ClientConnection, Outgoing
from mallowvalve.localfleet.deployed.control_calls import STATUS_OK, decode
from mallowvalve.localfleet.deployed.machines import Fleet
from mallowvalve.localfleet.deployed.records import RequestRecord

TIMEOUT_S = 1.0
COUNTERS = ("view_asked", "view_confirmed", "view_unconfirmed", "sends_by_old_view")


def read_view_ages(fleet: Fleet) -> dict[str, int]:
    """Returns the counters on views and the sends by the age of the view (s, `at most`), over all edge machines."""
    totals: Counter[str] = Counter()
    for machine in fleet.edge:
        connection = ClientConnection(machine.ready_at, machine.name)
        record = RequestRecord("", machine.name, True, True, clock.now(), is_call=True)
        answer = connection.exchange(record, Outgoing("GET", "/-/counts", {"Host": "platform"}, timeout_s=TIMEOUT_S))
        connection.close()
        if answer is None or answer.status != STATUS_OK:
            continue
        document = decode(answer)
        totals.update({name: document["counts"].get(name, 0) for name in COUNTERS})
        ages = document["gauges"].get("view_age_at_send_s")
        if ages is not None:
            totals.update(
                {f"at most {bound} s": n for bound, n in zip(ages["bounds"], ages["cumulative"], strict=True)}
            )
            totals["sends"] += ages["count"]
    return dict(totals)
