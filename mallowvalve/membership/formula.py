"""The detector's parameters from what it promises, by the formulas of docs/paper.md.

`pf` is the probability that a member is down, `pml` that a datagram is lost; times are seconds.
"""

from __future__ import annotations

import math


def expected_periods_to_ping(pf: float) -> float:
    """Expected periods until any of the members that are up pings a given one: e^q / (e^q - 1), q = 1 - pf."""
    qf = 1 - pf
    return math.exp(qf) / (math.exp(qf) - 1)


def period(detect: float, pf: float) -> float:
    """The period (s) with which a failure is noticed after `detect` seconds on average."""
    return detect / expected_periods_to_ping(pf)


def helpers(mistake: float, pf: float, pml: float) -> int:
    """The fewest helpers with which a member is wrongly declared failed with at most probability `mistake`."""
    qf = 1 - pf
    qml = 1 - pml
    needed = math.log(mistake / (qf * (1 - qml**2) * expected_periods_to_ping(pf))) / math.log(1 - qf * qml**4)
    return max(1, math.ceil(needed))


def expected_load(members: int, helper_count: int, period_s: float, pf: float, pml: float) -> float:
    """Datagrams a second that a group of that size sends on average."""
    qf = 1 - pf
    qml = 1 - pml
    return members * qf * (2 + (1 - qf * qml**2) * 4 * helper_count) / period_s
