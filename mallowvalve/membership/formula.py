from __future__ import annotations

import math


def spread(pf: float) -> float:
    qf = 1 - pf
    return math.exp(qf) / (math.exp(qf) - 1)


def period(detect: float, pf: float) -> float:
    return detect / spread(pf)


def helpers(mistake: float, pf: float, pml: float) -> int:
    qf, qml = 1 - pf, 1 - pml
    k = math.log(mistake / (qf * (1 - qml**2) * spread(pf))) / math.log(1 - qf * qml**4)
    return max(1, math.ceil(k))


def expected_load(n: int, k: int, t: float, pf: float, pml: float) -> float:
    qf, qml = 1 - pf, 1 - pml
    return n * qf * (2 + (1 - qf * qml**2) * 4 * k) / t
