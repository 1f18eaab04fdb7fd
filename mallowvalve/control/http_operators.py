"""The operators' pages: the configuration document, plans, evacuations, the roster, who leads."""

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
from mallowvalve.planner.plan import Seen, plan
from mallowvalve.types import Address

CONFIG_BYTES = 8 << 20


class ConfigDoc(msgspec.Struct):
    """A whole document; `base` is the revision that it replaces, or None for any."""

    doc: dict
    base: int | None = None


class PatchDoc(msgspec.Struct):
    """A JSON patch on the document of the revision `base`."""

    patch: list[dict]
    base: int


class PlanDoc(msgspec.Struct):
    """A document or a patch whose effect is asked about."""

    doc: dict | None = None
    patch: list[dict] | None = None
    base: int | None = None


def patched(s: ReplicatedSettings, patch: list[dict]) -> Result[dict, Findings]:
    """The document with the patch on it, or what is wrong with the patch."""
    try:
        doc = jsonpatch.apply_patch(msgspec.json.decode(s.doc), patch)
    except (jsonpatch.JsonPatchException, jsonpatch.JsonPointerException, TypeError, KeyError) as e:
        return Err([Finding("patch", str(e))])
    return Ok(doc) if isinstance(doc, dict) else Err([Finding("patch", "leaves no object")])


class Config(Api):
    """The configuration document."""

    def on_get(self, req, resp) -> None:
        """A confirmed read of the document."""
        s = self.confirm(req, resp)
        if s is None:
            return
        web.say(resp, {"revision": s.doc_revision, "doc": msgspec.json.decode(s.doc), "evacuated": sorted(s.evacuated)})

    def on_put(self, req, resp) -> None:
        """Replaces the document."""
        d = web.read_as(ConfigDoc, req, resp, CONFIG_BYTES)
        key = self.key(req, resp) if d is not None else None
        if key is not None:
            self.apply(req, resp, Change(d.base, msgspec.json.encode(d.doc), key), d.doc)

    def on_patch(self, req, resp) -> None:
        """Changes the document by a JSON patch."""
        d = web.read_as(PatchDoc, req, resp, CONFIG_BYTES)
        key = self.key(req, resp) if d is not None else None
        s = self.confirm(req, resp) if key is not None else None
        if s is None:
            return
        digest = hashlib.blake2b(encode([d.base, msgspec.json.encode(d.patch)]), digest_size=16).hexdigest()
        c = Change(d.base, b"", key, digest)
        if self.task.core.state.asks.find(command_key(c), digest) is not None:
            return self.offer(req, resp, c)
        if d.base != s.doc_revision:
            return self.reject(req, resp, CommandResponse(Code.CONFLICT, s.doc_revision))
        doc = patched(s, d.patch)
        if doc.is_err():
            return web.turn_away(req, resp, 422, doc.err_value)
        self.apply(req, resp, msgspec.structs.replace(c, doc=msgspec.json.encode(doc.ok_value)), doc.ok_value)

    def apply(self, req, resp, c: Change, doc: dict) -> None:
        """Checks the document, then offers the change."""
        built = self.task.check(doc)
        if built.is_err():
            return web.turn_away(req, resp, 422, built.err_value)
        self.offer(req, resp, c)


class Plans(Api):
    """What a change would move; it changes nothing."""

    def on_post(self, req, resp) -> None:
        """What the change would move."""
        d = web.read_as(PlanDoc, req, resp, CONFIG_BYTES)
        if d is None:
            return
        if (d.doc is None) == (d.patch is None):
            return web.turn_away(req, resp, 400, [Finding("doc, patch", "want one of them")])
        if d.patch is not None and d.base is None:
            return web.turn_away(req, resp, 400, [Finding("base", "missing: a patch needs it")])
        s = self.confirm(req, resp)
        if s is None:
            return
        if d.base not in (None, s.doc_revision):
            return self.reject(req, resp, CommandResponse(Code.CONFLICT, s.doc_revision))
        doc = Ok(d.doc) if d.patch is None else patched(s, d.patch)
        new = doc.and_then(self.task.check)
        if new.is_err():
            return web.turn_away(req, resp, 422, new.err_value)
        board = self.task.node.heartbeats.board.all(clock.now())
        seen = [Seen(b.service, b.instance, b.locality) for b, status, _ in board if status == "ready"]
        moves = plan(self.task.tree(), new.ok_value, seen, s.evacuated)
        web.say(resp, {"base": s.doc_revision, "moves": moves, "doc": doc.ok_value})


class EvacuateDoc(msgspec.Struct):
    """A zone or region, to be emptied or given back."""

    zone: str
    evacuated: bool


class Evacuations(Api):
    """Evacuations of zones and regions."""

    def on_post(self, req, resp) -> None:
        """Empties a zone, or gives it back."""
        d = web.read_as(EvacuateDoc, req, resp)
        key = self.key(req, resp) if d is not None else None
        s = self.confirm(req, resp) if key is not None else None
        if s is None:
            return
        regions = self.task.tree().doc.regions
        known = {z for r in regions.values() for z in r.zones} | {
            f"{n}/{z}" for n, r in regions.items() for z in r.zones
        }
        if d.zone not in known | set(regions) and d.zone not in s.evacuated:
            return web.turn_away(req, resp, 404, [Finding("zone", f"no zone {d.zone[:200]!r}")])
        self.offer(req, resp, Evacuate(d.zone, d.evacuated, key))


class StrikeDoc(msgspec.Struct):
    """A proxy's address."""

    proxy: str


class Strikes(Api):
    """Takes proxies off the roster."""

    def on_post(self, req, resp) -> None:
        """Strikes a proxy that will not come back."""
        d = web.read_as(StrikeDoc, req, resp)
        key = self.key(req, resp) if d is not None else None
        s = self.confirm(req, resp) if key is not None else None
        if s is None:
            return
        seat = s.roster.get(d.proxy)
        if seat is None:
            return web.turn_away(req, resp, 404, [Finding("proxy", f"{d.proxy[:200]!r} is not on the roster")])
        self.offer(req, resp, Strike(Address.read(d.proxy).ok_value, seat.boot, key))


RISK = "changes acknowledged by voters that cannot be reached may be lost"


class RiskDoc(msgspec.Struct):
    """The words by which an operator takes the risk."""

    accept: str


class FoundAnew(Api):
    """A founding by an operator's word, in place of proof that the old voters are gone for good."""

    def on_post(self, req, resp) -> None:
        """Founds anew from the newest state that answers."""
        d = web.read_as(RiskDoc, req, resp)
        if d is None:
            return
        if d.accept != RISK:
            return web.turn_away(req, resp, 400, [Finding("accept", f"must say: {RISK}")])
        r = self.task.bootstrap_task.found_new_group()
        if r.is_err():
            return web.turn_away(req, resp, 409, [Finding("control", r.err_value)])
        web.say(
            resp,
            {"generation": r.ok_value.generation, "from": str(r.ok_value.base.addr), "index": r.ok_value.base.index},
        )


class Leader(Api):
    """Who leads, and who votes, by what this process knows."""

    def on_get(self, req, resp) -> None:
        """Answers without asking anybody."""
        c = self.task.core
        r = c.raft
        if r is None:
            return web.say(resp, {"leader": None, "blank": True})
        v = r.log.configuration
        web.say(
            resp,
            {
                "leader": str(c.leader()) if c.leader() else None,
                "term": r.term,
                "generation": r.group.generation,
                "role": r.role,
                "index": c.state.index,
                "revision": c.state.revision,
                "voters": sorted(map(str, v.voters.values())),
                "learners": sorted(map(str, v.learners.values())),
                "roster": sorted(c.state.settings.roster),
                "disk": "refuses" if self.task.stalled else "well",
            },
        )


def add_routes(app: falcon.App, task: ControlTask) -> None:
    """Adds these pages, and those of items and of coordination."""
    app.add_route("/config", Config(task))
    app.add_route("/plan", Plans(task))
    app.add_route("/evacuations", Evacuations(task))
    app.add_route("/leader", Leader(task))
    app.add_route("/strikes", Strikes(task))
    app.add_route("/found-anew", FoundAnew(task))
    http_items.add_routes(app, task)
    http_coordination.add_routes(app, task)
