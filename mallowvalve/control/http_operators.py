"""Operator API over HTTP: configuration document, plans, evacuations, the proxies' roster and the Raft status."""

from __future__ import annotations

import hashlib
from typing import Any

import falcon
import jsonpatch
import msgspec
from result import Err, Ok, Result

from mallowvalve import clock, web
from mallowvalve.control import http_coordination, http_items
from mallowvalve.control.api import Api
from mallowvalve.control.outcome import Code
from mallowvalve.control.state import Change, Evacuate, ReplicatedSettings, Strike, command_key, encode
from mallowvalve.control.task import ControlTask
from mallowvalve.control.tolerance_report import describe
from mallowvalve.control.wire import CommandResponse
from mallowvalve.finding import Finding, Findings
from mallowvalve.planner.plan import ReadyUpstream, plan
from mallowvalve.types import Address

MAX_CONFIG_BYTES = 8 << 20
PATCH_DIGEST_BYTES = 16


class ConfigDoc(msgspec.Struct):
    """A whole configuration document; `base` is the expected current revision, or None for any."""

    doc: dict[str, Any]
    base: int | None = None


class PatchDoc(msgspec.Struct):
    """A JSON Patch for the document at the revision `base`."""

    patch: list[dict[str, Any]]
    base: int


class PlanDoc(msgspec.Struct):
    """A document or a patch to be planned; exactly one of them must be given."""

    doc: dict[str, Any] | None = None
    patch: list[dict[str, Any]] | None = None
    base: int | None = None


def apply_patch(settings: ReplicatedSettings, patch: list[dict[str, Any]]) -> Result[dict[str, Any], Findings]:
    """Returns the patched document, or the findings about the patch."""
    try:
        doc = jsonpatch.apply_patch(msgspec.json.decode(settings.doc), patch)
    except (jsonpatch.JsonPatchException, jsonpatch.JsonPointerException, TypeError, KeyError) as error:
        return Err([Finding("patch", str(error))])
    return Ok(doc) if isinstance(doc, dict) else Err([Finding("patch", "leaves no object")])


class Config(Api):
    """The configuration document."""

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Responds with the document, from a confirmed read."""
        state = self.confirm(req, resp)
        if state is None:
            return
        settings = state.settings
        web.send_json(
            resp,
            {
                "revision": settings.doc_revision,
                "doc": msgspec.json.decode(settings.doc),
                "evacuated": sorted(settings.evacuated),
            },
        )

    def on_put(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Replaces the document."""
        request = web.read_json(ConfigDoc, req, resp, MAX_CONFIG_BYTES)
        key = self.key(req, resp) if request is not None else None
        if request is not None and key is not None:
            self.apply(req, resp, Change(request.base, msgspec.json.encode(request.doc), key), request.doc)

    def on_patch(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Changes the document by a JSON Patch."""
        request = web.read_json(PatchDoc, req, resp, MAX_CONFIG_BYTES)
        key = self.key(req, resp) if request is not None else None
        state = self.confirm(req, resp) if key is not None else None
        if request is None or key is None or state is None:
            return
        settings = state.settings
        content = encode([request.base, msgspec.json.encode(request.patch)])
        digest = hashlib.blake2b(content, digest_size=PATCH_DIGEST_BYTES).hexdigest()
        command = Change(request.base, b"", key, digest)
        if state.asks.find(command_key(command), digest) is not None:
            return self.offer(req, resp, command)
        if request.base != settings.doc_revision:
            return self.reject(req, resp, CommandResponse(Code.CONFLICT, settings.doc_revision))
        doc = apply_patch(settings, request.patch)
        if isinstance(doc, Err):
            return web.reject_early(req, resp, 422, doc.err_value)
        command = msgspec.structs.replace(command, doc=msgspec.json.encode(doc.ok_value))
        self.apply(req, resp, command, doc.ok_value)

    def apply(self, req: falcon.Request, resp: falcon.Response, command: Change, doc: dict[str, Any]) -> None:
        """Validates the document, then submits the change."""
        built = self.task.check(doc)
        if isinstance(built, Err):
            return web.reject_early(req, resp, 422, built.err_value)
        self.offer(req, resp, command)


class Plans(Api):
    """Dry runs of configuration changes."""

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Responds with the traffic that the change would move; applies nothing."""
        request = web.read_json(PlanDoc, req, resp, MAX_CONFIG_BYTES)
        if request is None:
            return
        if (request.doc is None) == (request.patch is None):
            return web.reject_early(req, resp, 400, [Finding("doc, patch", "want one of them")])
        if request.patch is not None and request.base is None:
            return web.reject_early(req, resp, 400, [Finding("base", "missing: a patch needs it")])
        state = self.confirm(req, resp)
        if state is None:
            return
        settings = state.settings
        if request.base not in (None, settings.doc_revision):
            return self.reject(req, resp, CommandResponse(Code.CONFLICT, settings.doc_revision))
        doc = self._changed_document(request, settings)
        if isinstance(doc, Err):
            return web.reject_early(req, resp, 422, doc.err_value)
        tree = self.task.check(doc.ok_value)
        if isinstance(tree, Err):
            return web.reject_early(req, resp, 422, tree.err_value)
        board = self.task.node.heartbeats.table.entries(clock.now())
        seen = [
            ReadyUpstream(beat.service, beat.instance, beat.locality) for beat, status, _ in board if status == "ready"
        ]
        moves = plan(self.task.tree(), tree.ok_value, seen, settings.evacuated)
        web.send_json(resp, {"base": settings.doc_revision, "moves": moves, "doc": doc.ok_value})

    def _changed_document(self, request: PlanDoc, settings: ReplicatedSettings) -> Result[dict[str, Any], Findings]:
        if request.patch is not None:
            return apply_patch(settings, request.patch)
        return Ok(request.doc or {})


class EvacuateDoc(msgspec.Struct):
    """A zone or region, and whether it is to be evacuated."""

    zone: str
    evacuated: bool


class Evacuations(Api):
    """Evacuations of zones and regions."""

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Starts or ends the evacuation of a zone or region."""
        request = web.read_json(EvacuateDoc, req, resp)
        key = self.key(req, resp) if request is not None else None
        state = self.confirm(req, resp) if key is not None else None
        if request is None or key is None or state is None:
            return
        settings = state.settings
        regions = self.task.tree().doc.regions
        known = {zone for region in regions.values() for zone in region.zones} | {
            f"{name}/{zone}" for name, region in regions.items() for zone in region.zones
        }
        if request.zone not in known | set(regions) and request.zone not in settings.evacuated:
            return web.reject_early(req, resp, 404, [Finding("zone", f"no zone {request.zone[:200]!r}")])
        self.offer(req, resp, Evacuate(request.zone, request.evacuated, key))


class StrikeDoc(msgspec.Struct):
    """The address of a proxy to be removed from the roster."""

    proxy: str


class Strikes(Api):
    """Removals of proxies from the roster."""

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Removes a proxy that is permanently gone."""
        request = web.read_json(StrikeDoc, req, resp)
        key = self.key(req, resp) if request is not None else None
        state = self.confirm(req, resp) if key is not None else None
        if request is None or key is None or state is None:
            return
        seat, proxy = state.settings.roster.get(request.proxy), Address.read(request.proxy)
        if seat is None or isinstance(proxy, Err):
            return web.reject_early(req, resp, 404, [Finding("proxy", f"{request.proxy[:200]!r} is not on the roster")])
        self.offer(req, resp, Strike(proxy.ok_value, seat.boot, key))


RISK_STATEMENT = "changes acknowledged by voters that cannot be reached may be lost"


class RiskDoc(msgspec.Struct):
    """`accept` must equal `RISK_STATEMENT`: the operator accepts the possible loss of acknowledged changes."""

    accept: str


class ForcedBootstrap(Api):
    """Creation of a new Raft group on an operator's request, without proof that the old voters are permanently gone."""

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Creates the group from the newest state among the processes that respond."""
        request = web.read_json(RiskDoc, req, resp)
        if request is None:
            return
        if request.accept != RISK_STATEMENT:
            return web.reject_early(req, resp, 400, [Finding("accept", f"must say: {RISK_STATEMENT}")])
        founded = self.task.bootstrap_task.found_new_group()
        if isinstance(founded, Err):
            return web.reject_early(req, resp, 409, [Finding("control", founded.err_value)])
        decision, base = founded.ok_value
        web.send_json(
            resp,
            {"generation": decision.generation, "from": str(base.addr), "index": base.index},
        )


class Leader(Api):
    """The Raft status of this process: leader, voters and log position as known locally."""

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Responds from the local state, without a confirmed read."""
        core = self.task.core
        raft, state = core.raft, core.state
        if raft is None or state is None:
            return web.send_json(resp, {"leader": None, "blank": True})
        configuration, tolerance = raft.log.configuration, core.tolerance(clock.now())
        web.send_json(
            resp,
            {
                "leader": str(core.leader()) if core.leader() else None,
                "term": raft.term,
                "generation": raft.group.generation,
                "role": raft.role,
                "index": state.index,
                "revision": state.revision,
                "voters": sorted(map(str, configuration.voters.values())),
                "learners": sorted(map(str, configuration.learners.values())),
                "roster": sorted(state.settings.roster),
                "disk": "refuses" if self.task.stalled else "well",
                "survives": describe(tolerance) if tolerance is not None else None,
            },
        )


def add_routes(app: falcon.App | web.LazyApp, task: ControlTask) -> None:
    """Adds these resources, and those of items and of keyed coordination."""
    app.add_route("/config", Config(task))
    app.add_route("/plan", Plans(task))
    app.add_route("/evacuations", Evacuations(task))
    app.add_route("/leader", Leader(task))
    app.add_route("/strikes", Strikes(task))
    app.add_route("/found-anew", ForcedBootstrap(task))
    http_items.add_routes(app, task)
    http_coordination.add_routes(app, task)
