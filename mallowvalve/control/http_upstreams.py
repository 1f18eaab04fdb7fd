"""Upstreams' own calls: their heartbeats, and their leaving."""

from __future__ import annotations

import math
from functools import lru_cache
from typing import Literal
from zlib import crc32

import falcon
import msgspec
from msgspec.structs import fields
from result import Err, Ok, Result

from mallowvalve import clock, finding, web
from mallowvalve.control import redirect
from mallowvalve.control.lease import RETRY_AFTER_S, AnswerKind
from mallowvalve.finding import Finding, Findings, parse_json
from mallowvalve.membership.wire import ALIVE, MemberRecord
from mallowvalve.types import Address, Locality
from mallowvalve.upstreams.registry import Upstream

BODY_BYTES = 16384
NAME, COLD_MS, SLOTS, SEQUENCE = 200, 3_600_000, 1_000_000, 1 << 62
NOWHERE = Address("0.0.0.0", 0)
address_of = lru_cache(4096)(Address.read)


class HeartbeatDoc(msgspec.Struct):
    """Times in ms; `cold_ms` is how much longer it stays cold."""

    service: str
    address: str
    zone: str
    slots: float
    state: Literal["ready", "leaving"]
    sequence: int
    cold_ms: float = 0.0


decode = msgspec.json.Decoder(HeartbeatDoc).decode
KNOWN = {f.name for f in fields(HeartbeatDoc)}


def read(instance: str, body: bytes, zones: dict[str, str]) -> Result[Upstream, tuple[int, Findings]]:
    """A heartbeat as a row to be; else the status and every finding. Fields that nobody knows are passed over."""
    try:
        d = decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return Err((400, _findings(body)))
    found = []
    for place, text in (("instance", instance), ("service", d.service)):
        if not 0 < len(text) <= NAME or not text.isprintable():
            found.append(Finding(place, f"want 1 to {NAME} printable characters"))
    for place, v, least, most in (
        ("slots", d.slots, 1, SLOTS),
        ("cold_ms", d.cold_ms, 0, COLD_MS),
        ("sequence", d.sequence, 0, SEQUENCE),
    ):
        if not least <= v <= most:
            found.append(Finding(place, f"want {least} to {most}"))
    addr, loc = address_of(d.address), locality(d.zone, zones)
    if addr.is_err():
        found.append(Finding("address", addr.err_value))
    if found:
        return Err((400, found))
    if loc is None:
        return Err((422, [Finding("zone", f"no zone {d.zone[:NAME]!r}")]))
    return Ok(
        Upstream(
            instance,
            d.service,
            addr.ok_value,
            loc,
            int(d.slots),
            d.state,
            d.sequence,
            0,
            math.ceil(d.cold_ms),
        )
    )


@lru_cache(4096)
def _read_locality(zone: str) -> Locality | None:
    return Locality.read(zone).ok()


def locality(zone: str, zones: dict[str, str]) -> Locality | None:
    """By the zones this node was told of; one that was told of none takes REGION/ZONE."""
    if zone in zones:
        return Locality(zones[zone], zone)
    return None if zones else _read_locality(zone)


def _findings(body: bytes) -> Findings:
    doc = parse_json(body)
    if doc.is_err():
        return doc.err_value
    if isinstance(doc.ok_value, dict):
        doc = Ok({k: v for k, v in doc.ok_value.items() if k in KNOWN})
    r = finding.read(HeartbeatDoc, doc.ok_value)
    return r.err_value if r.is_err() else [Finding("body", "not understood")]


def heartbeat_at(controls: list[MemberRecord], me: MemberRecord, at: Locality, instance: str) -> Address | None:
    """Where this upstream had better heartbeat: a control process of its zone or else region; None if it is here."""
    controls = [r for r in controls if r.state == ALIVE and r.ready and r.addr != me.addr]
    for d in (0, 1):
        if me.locality.distance(at) == d:
            return None
        near = [r for r in controls if r.locality.distance(at) == d]
        if near:
            return max(near, key=lambda r: (crc32(f"{instance} {r.web}".encode()), r.web)).web
    return None


class Heartbeats:
    """Heartbeats and the ends of single upstreams."""

    def __init__(self, task, registry):
        """Pages of one control process and its registry."""
        self.task, self.registry = task, registry

    def on_put(self, req: falcon.Request, resp: falcon.Response, instance: str) -> None:
        """A heartbeat or a notice of leaving."""
        node = self.task.node
        body = web.body_of(req, BODY_BYTES)
        if body is None:
            return web.reject(resp, 413, web.NOT_RUN, [Finding("body", f"larger than {BODY_BYTES} bytes")])
        r = read(instance, body, node.settings.zones)
        if r.is_err():
            node.counts.add("heartbeat_refused")
            status, found = r.err_value
            return web.reject(resp, status, web.NOT_RUN, found)
        u = r.ok_value
        if not self.registry.heartbeat(u):
            return self._unsure(req, resp)
        membership = node.membership
        to = heartbeat_at(membership.alive("control"), membership.membership.me, u.locality, instance)
        web.say(resp, {} if to is None else {"heartbeat_at": str(to)})

    def on_delete(self, req: falcon.Request, resp: falcon.Response, instance: str) -> None:
        """The upstream's end; acknowledged for one that is not known, too."""
        if not 0 < len(instance) <= NAME or not instance.isprintable():
            return web.reject(resp, 400, web.NOT_RUN, [Finding("instance", f"want 1 to {NAME} printable characters")])
        if not self.registry.deregister(Upstream(instance, "", NOWHERE, Locality("", ""), 0, "gone")):
            return self._unsure(req, resp)
        web.say(resp, {})

    def _unsure(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Not acknowledged; safe to repeat, and better said to another where this process is out of touch."""
        if not self.task.core.may_answer(AnswerKind.HEARTBEAT, clock.now()):
            return redirect.reject_out_of_touch(self.task, req, resp)
        found = [Finding("control", "not confirmed in time; safe to repeat")]
        web.reject(resp, 503, web.UNDECIDED, found, RETRY_AFTER_S)


class All:
    """The registry as this node has it."""

    def __init__(self, task, registry):
        """Pages of one control process and its registry."""
        self.task, self.registry = task, registry

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answers without asking anybody."""
        registry = self.registry.registry
        web.say(
            resp,
            {
                "revision": registry.revision if registry else 0,
                "upstreams": [
                    {
                        "instance": u.instance,
                        "service": u.service,
                        "address": str(u.address),
                        "locality": str(u.locality),
                        "slots": u.slots,
                        "state": u.state,
                        "sequence": u.sequence,
                        "since": u.since,
                        "cold_until": u.cold_until,
                    }
                    for u in (sorted(registry.rows.values(), key=lambda u: (u.service, u.instance)) if registry else [])
                ],
            },
        )


def add_routes(app: falcon.App, task, registry) -> None:
    """Adds these pages."""
    app.add_route("/upstreams", All(task, registry))
    app.add_route("/upstreams/{instance}", Heartbeats(task, registry))
