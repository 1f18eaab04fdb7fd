"""Operator API over HTTP: configuration document, plans, evacuations, the proxies' roster and the Raft status."""

from __future__ import annotations

import hashlib

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
from mallowvalve.control.wire import CommandResponse
from mallowvalve.finding import Finding, Findings
from mallowvalve.planner.plan import ReadyUpstream, plan
from mallowvalve.types import Address

MAX_CONFIG_BYTES = 8 << 20
PATCH_DIGEST_BYTES = 16


class ConfigDoc(msgspec.Struct):
    """A whole configuration document; `base` is the expected current revision, or None for any."""

    doc: dict
    base: int | None = None


class PatchDoc(msgspec.Struct):
    """A JSON Patch for the document at the revision `base`."""

    patch: list[dict]
    base: int


class PlanDoc(msgspec.Struct):
    """A document or a patch to be planned; exactly one of them must be given."""

    doc: dict | None = None
    patch: list[dict] | None = None
    base: int | None = None


def apply_patch(settings: ReplicatedSettings, patch: list[dict]) -> Result[dict, Findings]:
    """Returns the patched document, or the findings about the patch."""
    try:
        doc = jsonpatch.apply_patch(msgspec.json.decode(settings.doc), patch)
    except (jsonpatch.JsonPatchException, jsonpatch.JsonPointerException, TypeError, KeyError) as error:
        return Err([Finding("patch", str(error))])
    return Ok(doc) if isinstance(doc, dict) else Err([Finding("patch", "leaves no object")])


class Config(Api):
    """The configuration document."""

    def on_get(self, req, resp) -> None:
        """Responds with the document, from a confirmed read."""
        settings = self.confirm(req, resp)
        if settings is None:
            return
        web.send_json(
            resp,
            {
                "revision": settings.doc_revision,
                "doc": msgspec.json.decode(settings.doc),
                "evacuated": sorted(settings.evacuated),
            },
        )

    def on_put(self, req, resp) -> None:
        """Replaces the document."""
        request = web.read_json(ConfigDoc, req, resp, MAX_CONFIG_BYTES)
        key = self.key(req, resp) if request is not None else None
        if key is not None:
            self.apply(req, resp, Change(request.base, msgspec.json.encode(request.doc), key), request.doc)

    def on_patch(self, req, resp) -> None:
        """Changes the document by a JSON Patch."""
        request = web.read_json(PatchDoc, req, resp, MAX_CONFIG_BYTES)
        key = self.key(req, resp) if request is not None else None
        settings = self.confirm(req, resp) if key is not None else None
        if settings is None:
            return
        content = encode([request.base, msgspec.json.encode(request.patch)])
        digest = hashlib.blake2b(content, digest_size=PATCH_DIGEST_BYTES).hexdigest()
        command = Change(request.base, b"", key, digest)
        if self.task.core.state.asks.find(command_key(command), digest) is not None:
            return self.offer(req, resp, command)
        if request.base != settings.doc_revision:
            return self.reject(req, resp, CommandResponse(Code.CONFLICT, settings.doc_revision))
        doc = apply_patch(settings, request.patch)
        if doc.is_err():
            return web.reject_early(req, resp, 422, doc.err_value)
        command = msgspec.structs.replace(command, doc=msgspec.json.encode(doc.ok_value))
        self.apply(req, resp, command, doc.ok_value)

    def apply(self, req, resp, command: Change, doc: dict) -> None:
        """Validates the document, then submits the change."""
        built = self.task.check(doc)
        if built.is_err():
            return web.reject_early(req, resp, 422, built.err_value)
        self.offer(req, resp, command)


class Plans(Api):
    """Dry runs of configuration changes."""

    def on_post(self, req, resp) -> None:
        """Responds with the traffic that the change would move; applies nothing."""
        request = web.read_json(PlanDoc, req, resp, MAX_CONFIG_BYTES)
        if request is None:
            return
        if (request.doc is None) == (request.patch is None):
            return web.reject_early(req, resp, 400, [Finding("doc, patch", "want one of them")])
        if request.patch is not None and request.base is None:
            return web.reject_early(req, resp, 400, [Finding("base", "missing: a patch needs it")])
        settings = self.confirm(req, resp)
        if settings is None:
            return
        if request.base not in (None, settings.doc_revision):
            return self.reject(req, resp, CommandResponse(Code.CONFLICT, settings.doc_revision))
        doc = Ok(request.doc) if request.patch is None else apply_patch(settings, request.patch)
        tree = doc.and_then(self.task.check)
        if tree.is_err():
            return web.reject_early(req, resp, 422, tree.err_value)
        board = self.task.node.heartbeats.table.entries(clock.now())
        seen = [
            ReadyUpstream(beat.service, beat.instance, beat.locality) for beat, status, _ in board if status == "ready"
        ]
        moves = plan(self.task.tree(), tree.ok_value, seen, settings.evacuated)
        web.send_json(resp, {"base": settings.doc_revision, "moves": moves, "doc": doc.ok_value})


class EvacuateDoc(msgspec.Struct):
    """A zone or region, and whether it is to be evacuated."""

    zone: str
    evacuated: bool


class Evacuations(Api):
    """Evacuations of zones and regions."""

    def on_post(self, req, resp) -> None:
        """Starts or ends the evacuation of a zone or region."""
        request = web.read_json(EvacuateDoc, req, resp)
        key = self.key(req, resp) if request is not None else None
        settings = self.confirm(req, resp) if key is not None else None
        if settings is None:
            return
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

    def on_post(self, req, resp) -> None:
        """Removes a proxy that is permanently gone."""
        request = web.read_json(StrikeDoc, req, resp)
        key = self.key(req, resp) if request is not None else None
        settings = self.confirm(req, resp) if key is not None else None
        if settings is None:
            return
        seat = settings.roster.get(request.proxy)
        if seat is None:
            return web.reject_early(req, resp, 404, [Finding("proxy", f"{request.proxy[:200]!r} is not on the roster")])
        self.offer(req, resp, Strike(Address.read(request.proxy).ok_value, seat.boot, key))


RISK_STATEMENT = "changes acknowledged by voters that cannot be reached may be lost"


class RiskDoc(msgspec.Struct):
    """`accept` must equal `RISK_STATEMENT`: the operator accepts the possible loss of acknowledged changes."""

    accept: str


class ForcedBootstrap(Api):
    """Creation of a new Raft group on an operator's request, without proof that the old voters are permanently gone."""

    def on_post(self, req, resp) -> None:
        """Creates the group from the newest state among the processes that respond."""
        request = web.read_json(RiskDoc, req, resp)
        if request is None:
            return
        if request.accept != RISK_STATEMENT:
            return web.reject_early(req, resp, 400, [Finding("accept", f"must say: {RISK_STATEMENT}")])
        founded = self.task.bootstrap_task.found_new_group()
        if founded.is_err():
            return web.reject_early(req, resp, 409, [Finding("control", founded.err_value)])
        decision = founded.ok_value
        web.send_json(
            resp,
            {"generation": decision.generation, "from": str(decision.base.addr), "index": decision.base.index},
        )


class Leader(Api):
    """The Raft status of this process: leader, voters and log position as known locally."""

    def on_get(self, req, resp) -> None:
        """Responds from the local state, without a confirmed read."""
        core = self.task.core
        raft = core.raft
        if raft is None:
            return web.send_json(resp, {"leader": None, "blank": True})
        configuration = raft.log.configuration
        web.send_json(
            resp,
            {
                "leader": str(core.leader()) if core.leader() else None,
                "term": raft.term,
                "generation": raft.group.generation,
                "role": raft.role,
                "index": core.state.index,
                "revision": core.state.revision,
                "voters": sorted(map(str, configuration.voters.values())),
                "learners": sorted(map(str, configuration.learners.values())),
                "roster": sorted(core.state.settings.roster),
                "disk": "refuses" if self.task.stalled else "well",
            },
        )


def add_routes(app: falcon.App, task: ControlTask) -> None:
    """Adds these resources, and those of items and of keyed coordination."""
    app.add_route("/config", Config(task))
    app.add_route("/plan", Plans(task))
    app.add_route("/evacuations", Evacuations(task))
    app.add_route("/leader", Leader(task))
    app.add_route("/strikes", Strikes(task))
    app.add_route("/found-anew", ForcedBootstrap(task))
    http_items.add_routes(app, task)
    http_coordination.add_routes(app, task)
