"""HTTP resources for upstreams: their heartbeats, and their deregistration."""

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
from mallowvalve.control.registry_task import RegistryTask
from mallowvalve.control.task import ControlTask
from mallowvalve.finding import Finding, Findings, parse_json
from mallowvalve.membership.wire import ALIVE, MemberRecord
from mallowvalve.types import Address, Locality
from mallowvalve.upstreams.registry import Upstream

MAX_BODY_BYTES = 16384
MAX_NAME_CHARACTERS = 200
MAX_COLD_MS = 3_600_000
MAX_SLOTS = 1_000_000
MAX_SEQUENCE = 1 << 62
UNKNOWN_ADDRESS = Address("0.0.0.0", 0)
PARSE_CACHE_ENTRIES = 4096
parse_address = lru_cache(PARSE_CACHE_ENTRIES)(Address.read)


class UpstreamHeartbeatDoc(msgspec.Struct):
    """Body of a heartbeat; `cold_ms` is the remaining warm-up time of the upstream."""

    service: str
    address: str
    zone: str
    slots: float
    state: Literal["ready", "leaving"]
    sequence: int
    cold_ms: float = 0.0


decode_heartbeat = msgspec.json.Decoder(UpstreamHeartbeatDoc).decode
KNOWN_FIELDS = {field.name for field in fields(UpstreamHeartbeatDoc)}


def parse_heartbeat(
    instance: str, body: bytes | memoryview, zones: dict[str, str]
) -> Result[Upstream, tuple[int, Findings]]:
    """Returns the heartbeat as a registry row, or the HTTP status and all findings. Ignores unknown fields."""
    try:
        doc = decode_heartbeat(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return Err((400, _findings(body)))
    found = []
    for place, text in (("instance", instance), ("service", doc.service)):
        if not 0 < len(text) <= MAX_NAME_CHARACTERS or not text.isprintable():
            found.append(Finding(place, f"want 1 to {MAX_NAME_CHARACTERS} printable characters"))
    for place, value, least, most in (
        ("slots", doc.slots, 1, MAX_SLOTS),
        ("cold_ms", doc.cold_ms, 0, MAX_COLD_MS),
        ("sequence", doc.sequence, 0, MAX_SEQUENCE),
    ):
        if not least <= value <= most:
            found.append(Finding(place, f"want {least} to {most}"))
    address, location = parse_address(doc.address), resolve_locality(doc.zone, zones)
    if isinstance(address, Err):
        found.append(Finding("address", address.err_value))
        return Err((400, found))
    if found:
        return Err((400, found))
    if location is None:
        return Err((422, [Finding("zone", f"no zone {doc.zone[:MAX_NAME_CHARACTERS]!r}")]))
    return Ok(
        Upstream(
            instance,
            doc.service,
            address.ok_value,
            location,
            int(doc.slots),
            doc.state,
            doc.sequence,
            0,
            math.ceil(doc.cold_ms),
        )
    )


@lru_cache(PARSE_CACHE_ENTRIES)
def _parse_locality(zone: str) -> Locality | None:
    return Locality.read(zone).ok()


def resolve_locality(zone: str, zones: dict[str, str]) -> Locality | None:
    """Returns the locality of a zone in the settings; without zones in the settings, parses REGION/ZONE."""
    if zone in zones:
        return Locality(zones[zone], zone)
    return None if zones else _parse_locality(zone)


def _findings(body: bytes | memoryview) -> Findings:
    doc = parse_json(body)
    if isinstance(doc, Err):
        return doc.err_value
    data = doc.ok_value
    if isinstance(data, dict):
        data = {name: value for name, value in data.items() if name in KNOWN_FIELDS}
    parsed = finding.read(UpstreamHeartbeatDoc, data)
    return parsed.err_value if isinstance(parsed, Err) else [Finding("body", "not understood")]


def preferred_control_address(
    controls: list[MemberRecord], me: MemberRecord, at: Locality, instance: str
) -> Address | None:
    """Returns the HTTP address of a control process in the upstream's zone, or else in its region.

    Returns None if this process is at least as near, or if there is none. Rendezvous hashing spreads the upstreams.
    """
    controls = [record for record in controls if record.state == ALIVE and record.ready and record.addr != me.addr]
    for distance in (0, 1):
        if me.locality.distance(at) == distance:
            return None
        near = [record for record in controls if record.locality.distance(at) == distance]
        if near:
            return max(near, key=lambda record: (crc32(f"{instance} {record.web}".encode()), record.web)).web
    return None


class UpstreamResource:
    """One upstream: its heartbeats and its deregistration."""

    def __init__(self, task: ControlTask, registry: RegistryTask):
        """`task` is the control process that serves the resource, `registry` its registry task."""
        self.task, self.registry = task, registry

    def on_put(self, req: falcon.Request, resp: falcon.Response, instance: str) -> None:
        """Records a heartbeat, or a notice that the upstream is leaving."""
        node = self.task.node
        body = web.read_body(req, MAX_BODY_BYTES)
        if body is None:
            return web.reject(resp, 413, web.NOT_RUN, [Finding("body", f"larger than {MAX_BODY_BYTES} bytes")])
        parsed = parse_heartbeat(instance, body, node.settings.zones)
        if isinstance(parsed, Err):
            node.counts.add("heartbeat_refused")
            status, found = parsed.err_value
            return web.reject(resp, status, web.NOT_RUN, found)
        upstream = parsed.ok_value
        if not self.registry.heartbeat(upstream):
            return self._reject_unconfirmed(req, resp)
        membership = node.membership
        controls = membership.alive("control")
        to = preferred_control_address(controls, membership.membership.me, upstream.locality, instance)
        web.send_json(resp, {} if to is None else {"heartbeat_at": str(to)})

    def on_delete(self, req: falcon.Request, resp: falcon.Response, instance: str) -> None:
        """Deregisters the upstream; an unknown upstream is acknowledged too."""
        if not 0 < len(instance) <= MAX_NAME_CHARACTERS or not instance.isprintable():
            found = [Finding("instance", f"want 1 to {MAX_NAME_CHARACTERS} printable characters")]
            return web.reject(resp, 400, web.NOT_RUN, found)
        if not self.registry.deregister(Upstream(instance, "", UNKNOWN_ADDRESS, Locality("", ""), 0, "gone")):
            return self._reject_unconfirmed(req, resp)
        web.send_json(resp, {})

    def _reject_unconfirmed(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Responds that the request may be repeated; redirects it if this process has no contact to a majority."""
        if not self.task.core.may_answer(AnswerKind.HEARTBEAT, clock.now()):
            return redirect.reject_out_of_touch(self.task, req, resp)
        found = [Finding("control", "not confirmed in time; safe to repeat")]
        web.reject(resp, 503, web.UNDECIDED, found, RETRY_AFTER_S)


class UpstreamCollection:
    """The registry as this process knows it."""

    def __init__(self, task: ControlTask, registry: RegistryTask):
        """`task` is the control process that serves the resource, `registry` its registry task."""
        self.task, self.registry = task, registry

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Responds with all rows from the local state, without a confirmed read."""
        registry = self.registry.registry
        rows = sorted(registry.rows.values(), key=lambda row: (row.service, row.instance)) if registry else []
        web.send_json(
            resp,
            {
                "revision": registry.revision if registry else 0,
                "upstreams": [
                    {
                        "instance": row.instance,
                        "service": row.service,
                        "address": str(row.address),
                        "locality": str(row.locality),
                        "slots": row.slots,
                        "state": row.state,
                        "sequence": row.sequence,
                        "since": row.since,
                        "cold_until": row.cold_until,
                    }
                    for row in rows
                ],
            },
        )


def add_routes(app: falcon.App | web.LazyApp, task: ControlTask, registry: RegistryTask) -> None:
    """Adds these resources."""
    app.add_route("/upstreams", UpstreamCollection(task, registry))
    app.add_route("/upstreams/{instance}", UpstreamResource(task, registry))
