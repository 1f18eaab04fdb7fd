"""The settings of a process: a TOML file and the command line, checked whole before anything starts."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from operator import attrgetter
from pathlib import Path
from typing import Any, Literal, TypeVar

import msgspec
from result import Err, Ok, Result

from mallowvalve import finding
from mallowvalve.fault import TRIAL_FLEET
from mallowvalve.finding import Finding, Findings
from mallowvalve.types import PORT_LIMIT, Address, Locality

ROLES = ("directory", "proxy", "control")
MOST_SEEDS = 3

Place = TypeVar("Place", Address, Locality)


class DetectorSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What the failure detector promises and expects; its period and helpers follow (`membership.formula`).

    `detect` is the expected time until a failure is noticed (s), `mistake` the accepted probability that a member is
    declared failed wrongly in a period, `fail` and `loss` the expected shares of members that are down and of datagrams
    that are lost, `round_trip` the longest expected (s). `period` (s) and `helpers` may be set outright instead.
    """

    detect: float = 3.0
    mistake: float = 1e-8
    fail: float = 0.15
    loss: float = 0.15
    round_trip: float = 0.5
    period: float | None = None
    helpers: int | None = None


class RetryBudgetBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Repeats a service takes: `ratio` of its first tries within any `span` seconds, and `slack` more, fleet-wide."""

    ratio: float = 0.2
    span: float = 10.0
    slack: float = 0.0


class ColdStartBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Requests a second a cold upstream takes, fleet-wide: its own rate times `over`, and `slack` more."""

    over: float = 1.0
    slack: float = 0.0


class Acks(msgspec.Struct, frozen=True, kw_only=True):
    """What an acknowledgement waits for.

    `commit`: a quorum's disks; `held`: the replicas in touch too; `force`: all of them.
    """

    settings: Literal["force", "held", "commit"] = "force"
    coordination: Literal["held", "commit"] = "held"


class HeaderNames(msgspec.Struct, frozen=True, kw_only=True):
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


class CommonSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings that a process uses as they are written, with their defaults.

    `fleet` is the name that processes of one fleet share, `log` a file (standard error if None), `polite` the seconds a
    stop may take, `connections` the most a server holds, `body_bytes` the largest body of a request by the tree,
    `faults` a trial's file of faults. `zones` gives the region of each zone, `serve_on` lets a proxy go on by what it
    last heard without a leader, `holds` says what it keeps of the state. `coordination_at` is the path of the
    coordination pages, `heartbeats` who keeps the upstreams (`told` from node to node, or `registered` in the state),
    `heartbeat_ms` how often one is expected. `pace` is the least time between two rounds of a leader to its voters (s),
    `election` the shortest time without a leader after which a voter stands (s).
    """

    name: str
    fleet: str = "mallowvalve"
    log: str | None = None
    detector: DetectorSettings = DetectorSettings()
    polite: float = 4.0
    connections: int = 2048
    body_bytes: int = 1 << 20
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
    terms: HeaderNames = HeaderNames()


class RawSettings(CommonSettings, frozen=True, kw_only=True):
    """Settings as the file and the command line say them: localities and addresses are texts.

    `transport` and `web` are this process's own addresses, `seeds` the transport of others; with `seed_port` all seeds
    have that port. `pages` is an address of its own for the process's pages, `directory` one for the directory's
    answers, `data` the folder of what must last.
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
    """The settings of a running process; the fields that `Written` has too mean the same there, as texts.

    `path` and `flags` are the file and the options that they were read from, for reading them again.
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


NOT_NEGATIVE = ("budget.ratio", "budget.slack", "cold.slack")
POSITIVE = (
    "budget.span",
    "cold.over",
    "heartbeat_ms",
    "election",
    "detector.detect",
    "detector.round_trip",
    "connections",
    "body_bytes",
    "polite",
)
PROBABILITIES = ("detector.fail", "detector.loss", "detector.mistake")


def load(role: str, path: str | None, flags: Mapping[str, Any]) -> Result[Settings, Findings]:
    """The settings of the file at `path`, if any, overridden by `flags`; the error holds every finding."""
    data: dict[str, Any] = {}
    if path is not None:
        try:
            data = tomllib.loads(Path(path).read_text())
        except (OSError, UnicodeDecodeError) as e:
            return Err([Finding(path, f"cannot read: {e}")])
        except tomllib.TOMLDecodeError as e:
            return Err([Finding(path, f"not TOML: {e}")])
    given = {key: value for key, value in flags.items() if value not in (None, ())}
    return check(role, {**data, **given})


def check(role: str, data: Mapping[str, Any]) -> Result[Settings, Findings]:
    """Settings from JSON-like data; the error holds every finding."""
    found: Findings = []
    written = finding.read_into(found, RawSettings, data)
    if written is None:
        return Err(found)
    values: dict[str, Any] = {
        "locality": _text(Locality, written.locality, "locality", found),
        "transport": _text(Address, written.transport, "transport", found),
        "web": _text(Address, written.web, "web", found),
        "seeds": _seeds(written, found),
        "pages": _optional(written.pages, "pages", found),
        "directory": _optional(written.directory, "directory", found),
    }
    found += _out_of_bounds(written) + _contradictions(role, written)
    if found:
        return Err(found)
    common = {field: getattr(written, field) for field in CommonSettings.__struct_fields__}
    return Ok(Settings(role=role, data=Path(written.data) if written.data else None, **common, **values))


def _seeds(written: RawSettings, found: Findings) -> list[Address]:
    read = [_text(Address, text, f"seeds[{i}]", found) for i, text in enumerate(written.seeds)]
    seeds = [seed for seed in read if seed is not None]
    if len(read) > MOST_SEEDS:
        found.append(Finding("seeds", "three at most"))
    if written.seed_port is None:
        return seeds
    if not 0 < written.seed_port < PORT_LIMIT:
        found.append(Finding("seed_port", "must be 1 to 65535"))
    return [Address(seed.host, written.seed_port) for seed in seeds]


def _out_of_bounds(written: RawSettings) -> Findings:
    found = []
    for place in NOT_NEGATIVE:
        if attrgetter(place)(written) < 0:
            found.append(Finding(place, "must not be negative"))
    for place in POSITIVE:
        if attrgetter(place)(written) <= 0:
            found.append(Finding(place, "must be positive"))
    for place in PROBABILITIES:
        if not 0 < attrgetter(place)(written) < 1:
            found.append(Finding(place, "must be between 0 and 1"))
    if not written.coordination_at.startswith("/"):
        found.append(Finding("coordination_at", "must begin with /"))
    return found


def _contradictions(role: str, written: RawSettings) -> Findings:
    found = []
    if written.transport == written.web:
        found.append(Finding("web", "must differ from transport"))
    if role == "control" and written.data is None:
        found.append(Finding("data", "missing: control process keeps its state in a folder"))
    if written.faults is not None and written.fleet != TRIAL_FLEET:
        text = f"only for trials: a fleet named {TRIAL_FLEET!r} may have them, this one is {written.fleet!r}"
        found.append(Finding("faults", text))
    return found


def _text(kind: type[Place], text: str, place: str, found: Findings) -> Place | None:
    result = kind.read(text)
    if isinstance(result, Err):
        found.append(Finding(place, result.err_value))
        return None
    return result.ok_value


def _optional(text: str | None, place: str, found: Findings) -> Address | None:
    return None if text is None else _text(Address, text, place, found)
