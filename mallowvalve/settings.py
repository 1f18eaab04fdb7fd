from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Literal

import msgspec
from result import Err, Ok, Result

from mallowvalve import finding
from mallowvalve.fault import FLEET
from mallowvalve.finding import Finding, Findings
from mallowvalve.types import Address, Locality

ROLES = ("directory", "proxy", "control")


class Detector(msgspec.Struct, frozen=True, kw_only=True):
    detect: float = 3.0
    mistake: float = 1e-8
    fail: float = 0.15
    loss: float = 0.15
    round_trip: float = 0.5
    period: float | None = None
    helpers: int | None = None


class BudgetBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Repeats a service takes: `ratio` of its first tries within any `span` seconds, and `slack` more, fleet-wide."""

    ratio: float = 0.2
    span: float = 10.0
    slack: float = 0.0


class ColdBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Requests a second a cold upstream takes, fleet-wide: its own rate times `over`, and `slack` more."""

    over: float = 1.0
    slack: float = 0.0


class Acks(msgspec.Struct, frozen=True, kw_only=True):
    """What an acknowledgement waits for: `commit` a quorum's disks, `held` the replicas in touch too, `force` all of them."""

    settings: Literal["force", "held", "commit"] = "force"
    coordination: Literal["held", "commit"] = "held"


class Terms(msgspec.Struct, frozen=True, kw_only=True):
    """Names of the headers that clients, proxies and upstreams say these things with; an empty one is not said.

    `ask` names one try of a client and comes back with its answer, `limit` is what time is left (ms), `seal` marks
    an upstream's own success, `expect` the instance a request is meant for, `instance` who answers, `usage` its
    running, waiting and slots, `not_run` its word that nothing ran, `cold` how long it stays cold (ms).
    """

    ask: str = "Mallow-Ask"
    limit: str = "Mallow-Limit"
    seal: str = ""
    expect: str = "Mallow-Expect"
    instance: str = "Mallow-Instance"
    usage: str = "Mallow-Usage"
    not_run: str = "Mallow-Not-Run"
    cold: str = "Mallow-Cold"


class Raw(msgspec.Struct, frozen=True, kw_only=True):
    name: str
    locality: str
    transport: str
    web: str
    fleet: str = "mallowvalve"
    seeds: list[str] = []
    data: str | None = None
    log: str | None = None
    detector: Detector = Detector()
    polite: float = 4.0
    connections: int = 2048
    body_bytes: int = 1 << 20
    faults: str | None = None
    pages: str | None = None
    directory: str | None = None
    seed_port: int | None = None
    zones: dict[str, str] = {}
    serve_on: bool = False
    holds: Literal["all", "settings"] = "all"
    coordination_at: str = "/coordination"
    heartbeats: Literal["told", "registered"] = "told"
    pace: float = 0.0
    election: float = 1.0
    heartbeat_ms: float = 1500.0
    budget: BudgetBounds = BudgetBounds()
    cold: ColdBounds = ColdBounds()
    acks: Acks = Acks()
    terms: Terms = Terms()


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    role: str
    name: str
    fleet: str
    locality: Locality
    transport: Address
    web: Address
    seeds: list[Address]
    data: Path | None
    log: str | None
    detector: Detector
    polite: float
    connections: int
    body_bytes: int
    faults: str | None
    pages: Address | None = None
    directory: Address | None = None
    zones: dict[str, str] = {}
    serve_on: bool = False
    holds: Literal["all", "settings"] = "all"
    coordination_at: str = "/coordination"
    heartbeats: Literal["told", "registered"] = "told"
    pace: float = 0.0
    election: float = 1.0
    heartbeat_ms: float = 1500.0
    budget: BudgetBounds = BudgetBounds()
    cold: ColdBounds = ColdBounds()
    acks: Acks = Acks()
    terms: Terms = Terms()
    path: str | None = None
    flags: dict = {}


def load(role: str, path: str | None, flags: dict) -> Result[Settings, Findings]:
    data: dict = {}
    if path is not None:
        try:
            data = tomllib.loads(Path(path).read_text())
        except (OSError, UnicodeDecodeError) as e:
            return Err([Finding(path, f"cannot read: {e}")])
        except tomllib.TOMLDecodeError as e:
            return Err([Finding(path, f"not TOML: {e}")])
    data = {**data, **{k: v for k, v in flags.items() if v not in (None, ())}}
    return check(role, data)


def check(role: str, data: dict) -> Result[Settings, Findings]:
    found: Findings = []
    raw = finding.read_into(found, Raw, data)
    if raw is None:
        return Err(found)
    values = {}
    for key, kind, text in (
        ("locality", Locality, raw.locality),
        ("transport", Address, raw.transport),
        ("web", Address, raw.web),
    ):
        values[key] = _text(kind, text, key, found)
    seeds = [_text(Address, s, f"seeds[{i}]", found) for i, s in enumerate(raw.seeds)]
    if raw.seed_port is not None and not 0 < raw.seed_port < 65536:
        found.append(Finding("seed_port", "must be 1 to 65535"))
    if raw.seed_port is not None and not found:
        seeds = [Address(s.host, raw.seed_port) for s in seeds]
    for key in ("pages", "directory"):
        text = getattr(raw, key)
        values[key] = _text(Address, text, key, found) if text is not None else None
    if not raw.coordination_at.startswith("/"):
        found.append(Finding("coordination_at", "must begin with /"))
    for place, v in (
        ("budget.ratio", raw.budget.ratio),
        ("budget.slack", raw.budget.slack),
        ("cold.slack", raw.cold.slack),
    ):
        if v < 0:
            found.append(Finding(place, "must not be negative"))
    for place, v in (
        ("budget.span", raw.budget.span),
        ("cold.over", raw.cold.over),
        ("heartbeat_ms", raw.heartbeat_ms),
        ("election", raw.election),
    ):
        if v <= 0:
            found.append(Finding(place, "must be positive"))
    if len(seeds) > 3:
        found.append(Finding("seeds", "three at most"))
    if raw.transport == raw.web:
        found.append(Finding("web", "must differ from transport"))
    if role == "control" and raw.data is None:
        found.append(Finding("data", "missing: control process keeps its state in a folder"))
    d = raw.detector
    for key in ("fail", "loss", "mistake"):
        if not 0 < getattr(d, key) < 1:
            found.append(Finding(f"detector.{key}", "must be between 0 and 1"))
    for key in ("detect", "round_trip"):
        if getattr(d, key) <= 0:
            found.append(Finding(f"detector.{key}", "must be positive"))
    if raw.faults is not None and raw.fleet != FLEET:
        found.append(
            Finding("faults", f"only for trials: a fleet named {FLEET!r} may have them, this one is {raw.fleet!r}")
        )
    for key in ("connections", "body_bytes", "polite"):
        if getattr(raw, key) <= 0:
            found.append(Finding(key, "must be positive"))
    if found:
        return Err(found)
    return Ok(
        Settings(
            role=role,
            name=raw.name,
            fleet=raw.fleet,
            seeds=seeds,
            data=Path(raw.data) if raw.data else None,
            log=raw.log,
            detector=d,
            polite=raw.polite,
            connections=raw.connections,
            body_bytes=raw.body_bytes,
            faults=raw.faults,
            zones=raw.zones,
            serve_on=raw.serve_on,
            holds=raw.holds,
            coordination_at=raw.coordination_at,
            heartbeats=raw.heartbeats,
            pace=raw.pace,
            election=raw.election,
            heartbeat_ms=raw.heartbeat_ms,
            budget=raw.budget,
            cold=raw.cold,
            acks=raw.acks,
            terms=raw.terms,
            **values,
        )
    )


def _text(kind, text: str, place: str, found: Findings):
    r = kind.read(text)
    if isinstance(r, Err):
        found.append(Finding(place, r.err_value))
        return None
    return r.ok_value
