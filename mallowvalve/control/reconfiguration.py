from __future__ import annotations

import msgspec

from mallowvalve.raft.messages import Voters
from mallowvalve.raft.raft import Raft
from mallowvalve.types import Address, Locality

MOST = 5
GONE = 5.0
FORGOTTEN = 30.0
LAG = 64


class Seen(msgspec.Struct, frozen=True):
    addr: Address
    locality: Locality
    at: float


def next_voters(raft: Raft, seen: dict[str, Seen], now: float) -> Voters | None:
    v = raft.log.voters
    taken = {s.addr: i for i, s in sorted(seen.items(), key=lambda x: x[1].at)}
    for i, s in sorted(seen.items()):
        if v.address(i) is None and taken[s.addr] == i and now - s.at < GONE:
            return Voters(v.voters, {**v.learners, i: s.addr})
        if v.address(i) is not None and v.address(i) != s.addr:
            return Voters(_moved(v.voters, i, s.addr), _moved(v.learners, i, s.addr))
    gone = {i for i in v.everyone() if i != raft.me and _silent(raft, i, now) or taken.get(v.address(i), i) != i}
    ripe = [i for i in v.learners if i not in gone and _caught_up(raft, i, now) and i in seen]
    for i in sorted(gone & v.learners.keys()):
        if taken.get(v.learners[i], i) != i or _silent(raft, i, now, FORGOTTEN):
            return Voters(v.voters, _without(v.learners, i))
    dead = sorted(gone & v.voters.keys())
    alive = len(v.voters) - len(dead)
    if dead and ripe and alive >= (len(v.voters) - 1) // 2 + 1:
        return Voters(_without(v.voters, dead[0]), v.learners)
    if ripe and len(v.voters) < _target(v, ripe):
        i = min(ripe, key=lambda i: _crowd(v, seen, seen[i].locality) + (i,))
        return Voters({**v.voters, i: v.learners[i]}, _without(v.learners, i))
    return None


def _target(v: Voters, ripe: list[str]) -> int:
    n = min(MOST, len(v.voters) + len(ripe))
    return n if n % 2 else n - 1


def _crowd(v: Voters, seen: dict[str, Seen], at: Locality) -> tuple[int, int]:
    places = [seen[i].locality for i in v.voters if i in seen]
    return sum(p.region == at.region for p in places), sum(p == at for p in places)


def _silent(raft: Raft, i: str, now: float, limit: float = GONE) -> bool:
    p = raft.progress().get(i)
    return p is not None and now - p.heard > limit


def _caught_up(raft: Raft, i: str, now: float) -> bool:
    p = raft.progress().get(i)
    return p is not None and p.match > 0 and p.match + LAG >= raft.log.last and now - p.heard < 1.0


def _without(d: dict[str, Address], i: str) -> dict[str, Address]:
    return {k: a for k, a in d.items() if k != i}


def _moved(d: dict[str, Address], i: str, a: Address) -> dict[str, Address]:
    return {k: a if k == i else old for k, old in d.items()}
