"""The failure detector's parameters, computed from its guarantees by the formulas of docs/paper.md.

In the paper's notation, `failure_probability` is pf, the probability that a member is down, and `loss_probability` is
pml, the probability that a datagram is lost; qf and qml are their complements. Times are seconds.
"""

from __future__ import annotations

import math


def expected_periods_to_ping(failure_probability: float) -> float:
    """Returns the expected periods until some live member pings a given one: e^q / (e^q - 1), q = 1 - pf."""
    qf = 1 - failure_probability
    return math.exp(qf) / (math.exp(qf) - 1)


def period(detect: float, failure_probability: float) -> float:
    """Returns the protocol period (s) with which a failure is detected after `detect` seconds on average."""
    return detect / expected_periods_to_ping(failure_probability)


def helpers(mistake: float, failure_probability: float, loss_probability: float) -> int:
    """Returns the fewest helpers that keep the probability of a false failure declaration at or below `mistake`."""
    qf = 1 - failure_probability
    qml = 1 - loss_probability
    needed = math.log(mistake / (qf * (1 - qml**2) * expected_periods_to_ping(failure_probability))) / math.log(
        1 - qf * qml**4
    )
    return max(1, math.ceil(needed))


def expected_load(
    members: int, helper_count: int, period_s: float, failure_probability: float, loss_probability: float
) -> float:
    """Returns the expected number of datagrams per second that a group of that size sends."""
    qf = 1 - failure_probability
    qml = 1 - loss_probability
    return members * qf * (2 + (1 - qf * qml**2) * 4 * helper_count) / period_s
