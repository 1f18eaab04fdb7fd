from __future__ import annotations

import uuid

import falcon
import gevent
import jsonpatch
import msgspec

from mallowvalve import clock, finding, web
from mallowvalve.aim.plan import Seen, plan
from mallowvalve.finding import Finding
from mallowvalve.kind import Address
from mallowvalve.law.echotask import ATTEMPT
from mallowvalve.law.state import Change, Evacuate, Params, Strike, encode
from mallowvalve.law.task import LawTask
from mallowvalve.law.wire import Took
from mallowvalve.tie.state import Lock, Next, Put, Renew, Said, Unlock

APPLY_LIMIT = 8.0
TIE_LIMIT = 3.0
CONFIG_BYTES = 8 << 20
WATCH_MOST = 25.0
_said = msgspec.msgpack.Decoder(Said).decode


class Api:
    def __init__(self, task: LawTask):
        self.task = task

    def confirm(self, resp: falcon.Response) -> Params | None:
        t = self.task.read(2.0)
        if t.code != "ok":
            self.bounce(resp, t)
            return None
        return self.task.core.state.params

    def bounce(self, resp: falcon.Response, t: Took) -> None:
        if t.code in ("leader", "replaced"):
            web.bounce(resp, 503, web.NOT_RUN, [Finding("law", "no leader here just now")], 1)
            if t.leader is not None:
                resp.set_header("Mallow-Leader", self.web_of(t.leader))
            return
        web.bounce(resp, 504, web.UNDECIDED, [Finding("law", "not confirmed in time; safe to repeat with the same key")], 1)

    def web_of(self, mesh) -> str:
        r = next((r for r in self.task.node.bond.view() if r.addr == mesh), None)
        return str(r.web) if r else ""


class ConfigDoc(msgspec.Struct):
    doc: dict
    base: int | None = None


class PatchDoc(msgspec.Struct):
    patch: list[dict]
    base: int


def patched(resp: falcon.Response, s: Params, d: PatchDoc) -> dict | None:
    if d.base != s.doc_revision:
        web.bounce(resp, 409, web.NOT_RUN, [Finding("base", f"the revision is {s.doc_revision} now")])
        return None
    try:
        doc = jsonpatch.apply_patch(msgspec.json.decode(s.doc), d.patch)
    except (jsonpatch.JsonPatchException, jsonpatch.JsonPointerException, TypeError, KeyError) as e:
        web.bounce(resp, 422, web.NOT_RUN, [Finding("patch", str(e))])
        return None
    if isinstance(doc, dict):
        return doc
    web.bounce(resp, 422, web.NOT_RUN, [Finding("patch", "leaves no object")])
    return None


class Config(Api):
    def on_get(self, req, resp) -> None:
        s = self.confirm(resp)
        if s is None:
            return
        web.say(resp, {"revision": s.doc_revision, "doc": msgspec.json.decode(s.doc), "evacuated": sorted(s.evacuated)})

    def on_put(self, req, resp) -> None:
        data = web.json_of(req, resp, CONFIG_BYTES)
        if data is None:
            return
        r = finding.read(ConfigDoc, data)
        if r.is_err():
            return web.bounce(resp, 400, web.NOT_RUN, r.err_value)
        self.apply(req, resp, r.ok_value.doc, r.ok_value.base)

    def on_patch(self, req, resp) -> None:
        data = web.json_of(req, resp, CONFIG_BYTES)
        if data is None:
            return
        r = finding.read(PatchDoc, data)
        if r.is_err():
            return web.bounce(resp, 400, web.NOT_RUN, r.err_value)
        s = self.confirm(resp)
        doc = patched(resp, s, r.ok_value) if s is not None else None
        if doc is not None:
            self.apply(req, resp, doc, r.ok_value.base)

    def apply(self, req, resp, doc: dict, base: int | None) -> None:
        built = self.task.check(doc)
        if built.is_err():
            return web.bounce(resp, 422, web.NOT_RUN, built.err_value)
        ask = req.get_header("Mallow-Key") or uuid.uuid4().hex
        t = self.task.offer(encode(Change(base, msgspec.json.encode(doc), ask)), APPLY_LIMIT)
        if t.code == "conflict":
            return web.bounce(resp, 409, web.NOT_RUN, [Finding("base", f"the revision is {t.revision} now")])
        if t.code != "ok":
            return self.bounce(resp, t)
        web.say(resp, {"revision": t.revision, "in_force": True})


class Plans(Api):
    """What a change would move; it changes nothing."""

    def on_post(self, req, resp) -> None:
        data = web.json_of(req, resp, CONFIG_BYTES)
        if data is None:
            return
        kind = PatchDoc if isinstance(data, dict) and "patch" in data else ConfigDoc
        r = finding.read(kind, data)
        if r.is_err():
            return web.bounce(resp, 400, web.NOT_RUN, r.err_value)
        s = self.confirm(resp)
        if s is None:
            return
        d = r.ok_value
        if isinstance(d, ConfigDoc) and d.base not in (None, s.doc_revision):
            return web.bounce(resp, 409, web.NOT_RUN, [Finding("base", f"the revision is {s.doc_revision} now")])
        doc = patched(resp, s, d) if isinstance(d, PatchDoc) else d.doc
        if doc is None:
            return
        new = self.task.check(doc)
        if new.is_err():
            return web.bounce(resp, 422, web.NOT_RUN, new.err_value)
        board = self.task.node.beats.board.all(clock.now())
        seen = [Seen(b.service, b.instance, b.locality) for b, health, _ in board if health == "ready"]
        old = self.task.tree()
        web.say(resp, {"base": s.doc_revision, "moves": plan(old, new.ok_value, seen, s.evacuated), "doc": doc})


class EvacuateDoc(msgspec.Struct):
    zone: str
    evacuated: bool


class Evacuations(Api):
    def on_post(self, req, resp) -> None:
        data = web.json_of(req, resp, 65536)
        if data is None:
            return
        r = finding.read(EvacuateDoc, data)
        if r.is_err():
            return web.bounce(resp, 400, web.NOT_RUN, r.err_value)
        s = self.confirm(resp)
        if s is None:
            return
        regions = self.task.tree().doc.regions
        known = {z for r_ in regions.values() for z in r_.zones} | {f"{n}/{z}" for n, r_ in regions.items() for z in r_.zones}
        if r.ok_value.zone not in known | set(regions) and r.ok_value.evacuated:
            return web.bounce(resp, 404, web.NOT_RUN, [Finding("zone", f"no zone {r.ok_value.zone!r}")])
        t = self.task.offer(encode(Evacuate(r.ok_value.zone, r.ok_value.evacuated)), APPLY_LIMIT)
        if t.code != "ok":
            return self.bounce(resp, t)
        web.say(resp, {"revision": t.revision, "in_force": True})


class StrikeDoc(msgspec.Struct):
    proxy: str


class Strikes(Api):
    def on_post(self, req, resp) -> None:
        data = web.json_of(req, resp, 65536)
        if data is None:
            return
        r = finding.read(StrikeDoc, data)
        if r.is_err():
            return web.bounce(resp, 400, web.NOT_RUN, r.err_value)
        s = self.confirm(resp)
        if s is None:
            return
        if r.ok_value.proxy not in s.roster:
            return web.bounce(resp, 404, web.NOT_RUN, [Finding("proxy", f"{r.ok_value.proxy!r} is not on the roster")])
        t = self.task.offer(encode(Strike(Address.read(r.ok_value.proxy).ok_value)), TIE_LIMIT)
        web.say(resp, {"struck": r.ok_value.proxy, "in_force": t.code == "ok"}, 200)


RISK = "changes acknowledged by voters that cannot be reached may be lost"


class FoundAnew(Api):
    def on_post(self, req, resp) -> None:
        data = web.json_of(req, resp, 65536)
        if data is None:
            return
        if data != {"accept": RISK}:
            return web.bounce(resp, 400, web.NOT_RUN, [Finding("accept", f"must say: {RISK}")])
        r = self.task.found_anew()
        if r.is_err():
            return web.bounce(resp, 409, web.NOT_RUN, [Finding("law", r.err_value)])
        web.say(resp, {"generation": r.ok_value.generation, "from": str(r.ok_value.base.addr), "index": r.ok_value.base.index})


class Leader(Api):
    def on_get(self, req, resp) -> None:
        c = self.task.core
        r = c.raft
        if r is None:
            return web.say(resp, {"leader": None, "blank": True})
        v = r.log.voters
        web.say(resp, {
            "leader": str(c.leader()) if c.leader() else None, "term": r.term, "generation": r.group.generation,
            "role": r.role, "index": c.state.index, "revision": c.state.revision,
            "voters": sorted(map(str, v.voters.values())), "learners": sorted(map(str, v.learners.values())),
            "roster": sorted(c.state.params.roster), "disk": "refuses" if self.task.stalled else "well",
        })


class TieDoc(msgspec.Struct):
    holder: str = ""
    ttl_ms: int = 10000
    token: int = 0
    value: str | None = None
    base: int | None = None


class Locks(Api):
    def on_post(self, req, resp, name: str, act: str) -> None:
        d = self.read(req, resp)
        if d is None:
            return
        if not d.holder or not 100 <= d.ttl_ms <= 600_000:
            return web.bounce(resp, 400, web.NOT_RUN, [Finding("holder, ttl_ms", "want a holder and 100 to 600000 ms")])
        ask = req.get_header("Mallow-Key") or uuid.uuid4().hex
        match act:
            case "take":
                self.run(resp, Lock(name, d.holder, d.ttl_ms, ask))
            case "renew":
                self.run(resp, Renew(name, d.holder, d.token, d.ttl_ms))
            case "free":
                self.run(resp, Unlock(name, d.holder, d.token))
            case _:
                web.bounce(resp, 404, web.NOT_RUN, [Finding("path", "want take, renew or free")])

    def read(self, req, resp) -> TieDoc | None:
        data = web.json_of(req, resp, 1 << 20)
        if data is None:
            return None
        r = finding.read(TieDoc, data)
        if r.is_err():
            web.bounce(resp, 400, web.NOT_RUN, r.err_value)
            return None
        return r.ok_value

    def run(self, resp, c) -> None:
        again = not isinstance(c, Renew | Unlock)
        t = self.task.offer(encode(c), TIE_LIMIT, ATTEMPT if again else TIE_LIMIT, again)
        if not t.body:
            return self.bounce(resp, t)
        s = _said(t.body)
        status = {"ok": 200, "held": 409, "conflict": 409, "lost": 410, "missing": 404}[s.code]
        body = {"code": s.code, "revision": t.revision}
        if s.code == "held":
            body |= {"holder": s.holder, "retry_ms": s.number}
            resp.set_header("Retry-After", str(max(1, s.number // 1000)))
        else:
            body["number"] = s.number
        web.say(resp, body, status)


class Numbers(Locks):
    def on_post(self, req, resp, name: str) -> None:
        self.run(resp, Next(name, req.get_header("Mallow-Key") or uuid.uuid4().hex))


class Keys(Locks):
    def on_get(self, req, resp, name: str) -> None:
        if self.confirm(resp) is None:
            return
        st = self.task.core.state
        had = st.tie.keys.get(name)
        body = {"name": name, "value": had[0] if had else None, "at": had[1] if had else 0, "revision": st.revision}
        web.say(resp, body, 200 if had else 404)

    def on_put(self, req, resp, name: str) -> None:
        d = self.read(req, resp)
        if d is None:
            return
        if d.value is None or len(d.value) > 65536:
            return web.bounce(resp, 400, web.NOT_RUN, [Finding("value", "want text of at most 65536 characters")])
        self.run(resp, Put(name, d.value, d.base, req.get_header("Mallow-Key") or uuid.uuid4().hex))

    def on_delete(self, req, resp, name: str) -> None:
        self.run(resp, Put(name, None, None, req.get_header("Mallow-Key") or uuid.uuid4().hex))


class Watch(Api):
    def on_get(self, req, resp) -> None:
        since = req.get_param_as_int("since", required=True, min_value=0)
        prefix = req.get_param("prefix") or ""
        wait = min(WATCH_MOST, (req.get_param_as_int("wait_ms") or 0) / 1000)
        end = clock.now() + wait
        if self.confirm(resp) is None:
            return
        while True:
            st = self.task.core.state
            if st is None:
                return self.bounce(resp, Took("leader"))
            events = st.tie.since(since, prefix)
            if events is None:
                return web.bounce(resp, 410, web.NOT_RUN, [Finding("since", f"compacted up to {st.tie.compacted}")])
            if events or clock.now() >= end or self.task.node.stopping.is_set():
                break
            gevent.sleep(0.05)
        web.say(resp, {
            "revision": events[-1].revision if events else max(since, 0),
            "events": [{"revision": e.revision, "name": e.name, "value": e.value} for e in events],
        })


def add_routes(app: falcon.App, task: LawTask) -> None:
    app.add_route("/config", Config(task))
    app.add_route("/plan", Plans(task))
    app.add_route("/evacuations", Evacuations(task))
    app.add_route("/leader", Leader(task))
    app.add_route("/strikes", Strikes(task))
    app.add_route("/found-anew", FoundAnew(task))
    app.add_route("/locks/{name}/{act}", Locks(task))
    app.add_route("/numbers/{name}", Numbers(task))
    app.add_route("/keys/{name}", Keys(task))
    app.add_route("/watch", Watch(task))
