from __future__ import annotations

import uuid

import falcon

from mallowvalve import web
from mallowvalve.control import page_offer
from mallowvalve.control.state import Change, Evacuate, Settings, Strike, encode
from mallowvalve.control.task import ControlTask
from mallowvalve.control.wire import Took
from mallowvalve.finding import Finding

KEY_BYTES = 200
LIMIT, ATTEMPT = 8.0, 3.0


class Api:
    """What the operators' and the coordination pages share."""

    def __init__(self, task: ControlTask):
        self.task = task

    def confirm(self, req: falcon.Request, resp: falcon.Response) -> Settings | None:
        t = self.task.read(2.0)
        if t.code == "ok":
            return self.task.core.state.settings
        self.reject(req, resp, t)
        return None

    def offer(self, req: falcon.Request, resp: falcon.Response, c: Change | Evacuate | Strike) -> None:
        t = page_offer.offer(self.task, req, encode(c), LIMIT, ATTEMPT)
        if t.code != "ok":
            return self.reject(req, resp, t)
        web.say(resp, {"revision": t.revision, "in_force": True})

    def key(self, req: falcon.Request, resp: falcon.Response) -> str | None:
        key = req.get_header("Mallow-Key")
        if key is None:
            return uuid.uuid4().hex
        if 0 < len(key) <= KEY_BYTES:
            return key
        return web.turn_away(req, resp, 400, [Finding("Mallow-Key", f"want 1 to {KEY_BYTES} characters")])

    def named(self, req: falcon.Request, resp: falcon.Response, name: str) -> bool:
        if len(name) <= KEY_BYTES and name.isprintable():
            return True
        web.turn_away(req, resp, 400, [Finding("name", f"want 1 to {KEY_BYTES} printable characters")])
        return False

    def reject(self, req: falcon.Request, resp: falcon.Response, t: Took) -> None:
        match t.code:
            case "leader" | "replaced":
                web.turn_away(req, resp, 503, [Finding("control", "no leader here just now")], 1)
                if t.leader is not None:
                    resp.set_header("Mallow-Leader", self.web_of(t.leader))
            case "reused":
                web.reject(resp, 409, web.UNDECIDED, [Finding("Mallow-Key", "was used for another command")])
            case "conflict":
                web.reject(resp, 409, web.NOT_RUN, [Finding("base", f"the revision is {t.revision} now")])
            case "gone":
                web.reject(resp, 409, web.NOT_RUN, [Finding("state", "changed meanwhile: look and say it again")])
            case _:
                found = [Finding("control", "not confirmed in time; safe to repeat with the same key")]
                web.reject(resp, 504, web.UNDECIDED, found, 1)

    def web_of(self, transport) -> str:
        r = next((r for r in self.task.node.membership.view() if r.addr == transport), None)
        return str(r.web) if r else ""
