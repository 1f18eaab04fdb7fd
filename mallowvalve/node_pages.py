"""The HTTP pages of every daemon: counters, members, upstreams' heartbeats, and the most recent events."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol, cast

import msgspec
from result import Err, Ok, Result

from mallowvalve import clock, web
from mallowvalve.finding import Finding, Findings
from mallowvalve.membership.task import STATE_NAMES, MembershipTask
from mallowvalve.membership.wire import MemberRecord
from mallowvalve.metrics import Counts, recent_events
from mallowvalve.settings import Settings
from mallowvalve.types import Address, Locality
from mallowvalve.upstreams.board import Heartbeat, HeartbeatState
from mallowvalve.upstreams.task import HeartbeatTask

if TYPE_CHECKING:
    import falcon

COUNTER_LIMIT = 1 << 62


class GossipHeartbeatDoc(msgspec.Struct):
    """Body of a heartbeat that an upstream posts; see `upstreams.board.Heartbeat`."""

    service: str
    instance: str
    incarnation: int
    sequence: int
    state: str
    locality: str
    address: str
    usage: float = 0.0


def read_heartbeat(doc: GossipHeartbeatDoc) -> Result[Heartbeat, Findings]:
    """Returns the heartbeat; the error holds every finding."""
    found: Findings = []
    locality = Locality.read(doc.locality)
    address = Address.read(doc.address)
    if isinstance(locality, Err):
        found.append(Finding("locality", locality.err_value))
    if isinstance(address, Err):
        found.append(Finding("address", address.err_value))
    if doc.state not in ("ready", "leaving", "gone"):
        found.append(Finding("state", "want ready, leaving or gone"))
    for field in ("incarnation", "sequence"):
        if not 0 <= getattr(doc, field) < COUNTER_LIMIT:
            found.append(Finding(field, "out of range"))
    if found:
        return Err(found)
    return Ok(
        Heartbeat(
            doc.service,
            doc.instance,
            doc.incarnation,
            doc.sequence,
            doc.usage,
            cast(HeartbeatState, doc.state),
            locality.unwrap(),
            address.unwrap(),
        )
    )


class PagedNode(Protocol):
    """What the pages show of a process: `node.Node`, whose attributes and methods these are."""

    settings: Settings
    membership: MembershipTask
    heartbeats: HeartbeatTask
    counts: Counts

    def counters(self) -> dict[str, int]:
        """Returns all counters by name."""

    def gauges(self) -> dict[str, Any]:
        """Returns the current values of all gauges by name."""

    def allows_service(self, service: str) -> bool:
        """Returns whether the configuration allows heartbeats of a service."""


class NodeResource:
    """Base class of a node's HTTP resources."""

    def __init__(self, node: PagedNode) -> None:
        """Answers from the state of `node`."""
        self.node = node


class CountersResource(NodeResource):
    """`/-/counts`: counters and gauges as JSON."""

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns all counters and gauges by name."""
        web.send_json(resp, {"counts": self.node.counters(), "gauges": self.node.gauges()})


class MetricsResource(NodeResource):
    """`/-/metrics`: counters and gauges in Prometheus's text format; the first request imports the library."""

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns all counters and gauges by name."""
        from mallowvalve.exposition import CONTENT_TYPE, render_metrics

        resp.content_type = CONTENT_TYPE
        resp.data = render_metrics(self.node.counters(), self.node.gauges())


class MembersResource(NodeResource):
    """`/-/nodes`: this node's view of the fleet's members."""

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns the members in the order of their transport addresses."""
        members = sorted(self.node.membership.view(), key=lambda record: record.addr)
        web.send_json(resp, {"nodes": [self._row(record) for record in members]})

    def _row(self, record: MemberRecord) -> dict[str, object]:
        return {
            "name": record.name,
            "role": record.role,
            "transport": str(record.addr),
            "web": str(record.web),
            "locality": str(record.locality),
            "status": STATE_NAMES[record.state],
            "ready": record.ready,
            "incarnation": record.incarnation,
        }


class StateChangesResource(NodeResource):
    """`/-/changes`: the most recent log events of this process."""

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns the events named `about` or with that value in a field; all events without the parameter."""
        web.send_json(
            resp, {"name": self.node.settings.name, "changes": recent_events.about(req.get_param("about") or "")}
        )


class GossipUpstreamsResource(NodeResource):
    """`/-/upstreams`: the upstreams in this node's heartbeat table."""

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns the upstreams in the order of their names."""
        web.send_json(resp, {"upstreams": [self._row(*row) for row in self.node.heartbeats.table.entries(clock.now())]})

    def _row(self, heartbeat: Heartbeat, status: str, age_s: float) -> dict[str, object]:
        return {
            "service": heartbeat.service,
            "instance": heartbeat.instance,
            "incarnation": heartbeat.incarnation,
            "status": status,
            "usage": heartbeat.usage,
            "locality": str(heartbeat.locality),
            "address": str(heartbeat.address),
            "silent_ms": int(age_s * 1000),
        }


class GossipHeartbeatResource(NodeResource):
    """`/-/heartbeats`: receives the upstreams' heartbeats."""

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Stores a heartbeat; answers 400 with findings, or 403 for a service that no configuration allows."""
        doc = web.read_json(GossipHeartbeatDoc, req, resp)
        if doc is None:
            return
        result = read_heartbeat(doc)
        if isinstance(result, Err):
            self.node.counts.add("heartbeat_refused")
            web.reject_early(req, resp, 400, result.err_value)
            return
        heartbeat = result.ok_value
        if not self.node.allows_service(heartbeat.service):
            self.node.counts.add("heartbeat_unallowed")
            web.reject_early(req, resp, 403, [Finding("service", "no configuration allows it")], 5)
            return
        web.send_json(resp, {"news": self.node.heartbeats.receive(heartbeat)})


def add_pages(app: web.LazyApp, node: PagedNode) -> None:
    """Adds the pages of a node to its app."""
    app.add_route("/-/counts", CountersResource(node))
    app.add_route("/-/metrics", MetricsResource(node))
    app.add_route("/-/nodes", MembersResource(node))
    app.add_route("/-/upstreams", GossipUpstreamsResource(node))
    app.add_route("/-/heartbeats", GossipHeartbeatResource(node))
    app.add_route("/-/changes", StateChangesResource(node))
