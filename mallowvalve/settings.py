"""Settings of a process: read from a TOML file and the command line, and validated before anything starts."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from math import isfinite
from operator import attrgetter
from pathlib import Path
from typing import Any, Literal, TypeVar

import msgspec
from result import Err, Ok, Result

from mallowvalve import finding
from mallowvalve.fault import TRIAL_FLEET
from mallowvalve.finding import Finding, Findings
from mallowvalve.start_wait import START_WAIT_LIMIT_S
from mallowvalve.types import PORT_LIMIT, Address, Locality

ROLES = ("directory", "proxy", "control")
MAX_SEEDS = 3

Parsed = TypeVar("Parsed", Address, Locality)


class DetectorSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Targets and assumptions of the failure detector; `membership.formula` derives its period and helpers from them.

    `detect` is the expected time to detect a failure (s), `mistake` the accepted probability that a live member is
    declared failed in a period, `fail` and `loss` the assumed ratios of failed members and of lost datagrams,
    `round_trip` the longest assumed round trip (s). `period` (s) and `helpers` (a count) override the derived values.
    """

    detect: float = 3.0
    mistake: float = 1e-8
    fail: float = 0.15
    loss: float = 0.15
    round_trip: float = 0.5
    period: float | None = None
    helpers: int | None = None


class RetryBudgetBounds(msgspec.Struct, frozen=True, kw_only=True):
    """A service's fleet-wide retry budget: `ratio` of its first tries in any `span` seconds, plus `slack` retries."""

    ratio: float = 0.2
    span: float = 10.0
    slack: float = 0.0


class ColdStartBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Fleet-wide limit of requests a second to a cold upstream: its own rate times `over`, plus `slack`."""

    over: float = 1.0
    slack: float = 0.0


class Acks(msgspec.Struct, frozen=True, kw_only=True):
    """Condition for the acknowledgement of a write.

    `commit`: a quorum has stored it; `held`: the connected replicas have it too; `force`: all replicas have it.
    """

    settings: Literal["force", "held", "commit"] = "force"
    coordination: Literal["held", "commit"] = "held"


class FaultBudget(msgspec.Struct, frozen=True, kw_only=True):
    """What may be lost at once while all promises hold: so many core machines, or zones, or regions."""

    machines: int = 1
    zones: int = 1
    regions: int = 1


class HeaderNames(msgspec.Struct, frozen=True, kw_only=True):
    """Names of the HTTP headers between clients, proxies and upstreams; an empty name disables the header.

    `ask` identifies a client's attempt and is returned with the answer, `limit` is the remaining time (ms), `seal`
    marks a success as the upstream's own, `expect` is the instance that a request is meant for, `instance` the one that
    answers, `usage` its running and waiting requests and slots, `not_run` its statement that nothing was executed,
    `cold` the remaining time of its cold phase (ms).
    """

    ask: str = "Mallow-Ask"
    limit: str = "Mallow-Limit"
    seal: str = ""
    expect: str = "Mallow-Expect"
    instance: str = "Mallow-Instance"
    usage: str = "Mallow-Usage"
    not_run: str = "Mallow-Not-Run"
    cold: str = "Mallow-Cold"


class CommonSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings with the same form in the file and in the process, with their defaults.

    `fleet` is the name shared by all processes of a fleet, `log` a file (standard error if None), `polite` the
    grace period of a stop (s), `connections` the limit for each server, `body_bytes` the largest body of a request
    routed by the tree, `memory_mb` the memory that the process may use (megabytes), `start_wait_s` the time that a
    start waits for its lock and ports (s), `drain_s` the time after an upstream's acknowledged notice from which it
    gets no more requests, `faults` a file of injected faults for trials. `zones` maps zones to regions, `serve_on` lets
    a proxy continue with its last known state without a leader, `holds` selects the part
    of the state that it replicates. `coordination_at` is the path of the coordination resources, `heartbeats`
    selects where upstreams are kept (`told`: gossiped between nodes, `registered`: in the replicated state),
    `heartbeat_ms` is the expected interval. `pace` is the shortest time between two rounds of a leader to its
    voters (s), `election` the shortest election timeout (s). `fault_budget` is what the core should survive.
    """

    name: str
    fleet: str = "mallowvalve"
    log: str | None = None
    detector: DetectorSettings = DetectorSettings()
    polite: float = 4.0
    connections: int = 2048
    body_bytes: int = 1 << 20
    memory_mb: float = 300.0
    start_wait_s: float = START_WAIT_LIMIT_S
    drain_s: float = 2.5
    faults: str | None = None
    zones: dict[str, str] = {}
    serve_on: bool = False
    holds: Literal["all", "settings"] = "all"
    coordination_at: str = "/coordination"
    heartbeats: Literal["told", "registered"] = "told"
    pace: float = 0.0
    election: float = 1.0
    heartbeat_ms: float = 1500.0
    budget: RetryBudgetBounds = RetryBudgetBounds()
    cold: ColdStartBounds = ColdStartBounds()
    acks: Acks = Acks()
    fault_budget: FaultBudget = FaultBudget()
    terms: HeaderNames = HeaderNames()


class RawSettings(CommonSettings, frozen=True, kw_only=True):
    """Settings as they are written in the file and on the command line: localities and addresses are texts.

    `transport` and `web` are this process's addresses, `seeds` other processes' transport addresses; `seed_port`
    replaces the port of all seeds. `pages` is a separate address for the process's own HTTP resources, `directory` one
    for the directory's, `data` the folder of persistent files.
    """

    locality: str
    transport: str
    web: str
    seeds: list[str] = []
    data: str | None = None
    pages: str | None = None
    directory: str | None = None
    seed_port: int | None = None


class Settings(CommonSettings, frozen=True, kw_only=True):
    """Validated settings of a process; fields that `RawSettings` has too hold the parsed values.

    `path` and `flags` are the settings file and the command-line options, kept for a reload.
    """

    role: str
    locality: Locality
    transport: Address
    web: Address
    seeds: list[Address]
    data: Path | None
    pages: Address | None = None
    directory: Address | None = None
    path: str | None = None
    flags: dict[str, Any] = {}


NOT_NEGATIVE_FIELDS = (
    "budget.ratio",
    "budget.slack",
    "cold.slack",
    "pace",
    "fault_budget.machines",
    "fault_budget.zones",
    "fault_budget.regions",
)
POSITIVE_FIELDS = (
    "budget.span",
    "cold.over",
    "heartbeat_ms",
    "election",
    "detector.detect",
    "detector.round_trip",
    "connections",
    "body_bytes",
    "memory_mb",
    "start_wait_s",
    "drain_s",
    "polite",
)
PROBABILITY_FIELDS = ("detector.fail", "detector.loss", "detector.mistake")
NUMBER_FIELDS = (*NOT_NEGATIVE_FIELDS, *POSITIVE_FIELDS, *PROBABILITY_FIELDS)


def load(role: str, path: str | None, flags: Mapping[str, Any]) -> Result[Settings, Findings]:
    """Loads settings from the file at `path`, if any, overridden by `flags`; the error holds every finding."""
    data: dict[str, Any] = {}
    if path is not None:
        try:
            data = tomllib.loads(Path(path).read_text())
        except (OSError, UnicodeDecodeError) as error:
            return Err([Finding(path, f"cannot read: {error}")])
        except (ValueError, RecursionError) as error:
            return Err([Finding(path, f"not TOML: {error}")])
    given = {key: value for key, value in flags.items() if value not in (None, ())}
    return check(role, {**data, **given})


def check(role: str, data: Mapping[str, Any]) -> Result[Settings, Findings]:
    """Validates JSON-like data and returns settings; the error holds every finding."""
    found: Findings = []
    raw = finding.read_into(found, RawSettings, data)
    if raw is None:
        return Err(found)
    values: dict[str, Any] = {
        "locality": _parse(Locality, raw.locality, "locality", found),
        "transport": _parse(Address, raw.transport, "transport", found),
        "web": _parse(Address, raw.web, "web", found),
        "seeds": _seeds(raw, found),
        "pages": _parse_optional(raw.pages, "pages", found),
        "directory": _parse_optional(raw.directory, "directory", found),
    }
    found += _out_of_bounds(raw) + _contradictions(role, raw)
    if found:
        return Err(found)
    common = {field: getattr(raw, field) for field in CommonSettings.__struct_fields__}
    return Ok(Settings(role=role, data=Path(raw.data) if raw.data else None, **common, **values))


def _seeds(raw: RawSettings, found: Findings) -> list[Address]:
    parsed = [_parse(Address, text, f"seeds[{index}]", found) for index, text in enumerate(raw.seeds)]
    seeds = [seed for seed in parsed if seed is not None]
    if len(parsed) > MAX_SEEDS:
        found.append(Finding("seeds", "three at most"))
    if raw.seed_port is None:
        return seeds
    if not 0 < raw.seed_port < PORT_LIMIT:
        found.append(Finding("seed_port", "must be 1 to 65535"))
    return [Address(seed.host, raw.seed_port) for seed in seeds]


def _out_of_bounds(raw: RawSettings) -> Findings:
    found = [
        Finding(place, "must be a finite number") for place in NUMBER_FIELDS if not isfinite(attrgetter(place)(raw))
    ]
    for place in NOT_NEGATIVE_FIELDS:
        if attrgetter(place)(raw) < 0:
            found.append(Finding(place, "must not be negative"))
    for place in POSITIVE_FIELDS:
        if attrgetter(place)(raw) <= 0:
            found.append(Finding(place, "must be positive"))
    for place in PROBABILITY_FIELDS:
        if not 0 < attrgetter(place)(raw) < 1:
            found.append(Finding(place, "must be between 0 and 1"))
    if not raw.coordination_at.startswith("/"):
        found.append(Finding("coordination_at", "must begin with /"))
    return found


def _contradictions(role: str, raw: RawSettings) -> Findings:
    found = []
    if raw.transport == raw.web:
        found.append(Finding("web", "must differ from transport"))
    if role == "control" and raw.data is None:
        found.append(Finding("data", "missing: control process keeps its state in a folder"))
    if raw.faults is not None and raw.fleet != TRIAL_FLEET:
        text = f"only for trials: a fleet named {TRIAL_FLEET!r} may have them, this one is {raw.fleet!r}"
        found.append(Finding("faults", text))
    return found


def _parse(kind: type[Parsed], text: str, place: str, found: Findings) -> Parsed | None:
    result = kind.read(text)
    if isinstance(result, Err):
        found.append(Finding(place, result.err_value))
        return None
    return result.ok_value


def _parse_optional(text: str | None, place: str, found: Findings) -> Address | None:
    return None if text is None else _parse(Address, text, place, found)
