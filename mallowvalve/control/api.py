"""What the operators' and the coordination pages share: confirmed reads, offers, keys, refusals."""

from __future__ import annotations

import uuid

import falcon

from mallowvalve import web
from mallowvalve.control import page_offer
from mallowvalve.control.outcome import Code
from mallowvalve.control.state import Change, Evacuate, ReplicatedSettings, Strike, encode
from mallowvalve.control.task import ControlTask
from mallowvalve.control.wire import CommandResponse
from mallowvalve.finding import Finding
from mallowvalve.types import Address

KEY_BYTES = 200
REQUEST_TIMEOUT_S, ATTEMPT_TIMEOUT_S = 8.0, 3.0


class Api:
    """What the operators' and the coordination pages share."""

    def __init__(self, task: ControlTask):
        """Pages of one control process."""
        self.task = task

    def confirm(self, req: falcon.Request, resp: falcon.Response) -> ReplicatedSettings | None:
        """The settings, with all that was acknowledged before this call; None once the trouble was answered."""
        if not page_offer.may_begin(self.task, req, resp):
            return None
        t = self.task.read(2.0)
        state = self.task.core.state
        if t.code == Code.OK and state is not None:
            return state.settings
        self.reject(req, resp, t)
        return None

    def offer(self, req: falcon.Request, resp: falcon.Response, c: Change | Evacuate | Strike) -> None:
        """Offers a command and answers with its outcome."""
        if not page_offer.may_begin(self.task, req, resp):
            return None
        t = page_offer.offer(self.task, req, encode(c), REQUEST_TIMEOUT_S, ATTEMPT_TIMEOUT_S)
        if t.code != Code.OK:
            return self.reject(req, resp, t)
        web.say(resp, {"revision": t.revision, "in_force": True})

    def key(self, req: falcon.Request, resp: falcon.Response) -> str | None:
        """The caller's key for its command, or a new one; None once a finding was answered."""
        key = req.get_header("Mallow-Key")
        if key is None:
            return uuid.uuid4().hex
        if 0 < len(key) <= KEY_BYTES:
            return key
        web.turn_away(req, resp, 400, [Finding("Mallow-Key", f"want 1 to {KEY_BYTES} characters")])
        return None

    def name_is_valid(self, req: falcon.Request, resp: falcon.Response, name: str) -> bool:
        """Whether the name may be used; otherwise a finding was answered."""
        if len(name) <= KEY_BYTES and name.isprintable():
            return True
        web.turn_away(req, resp, 400, [Finding("name", f"want 1 to {KEY_BYTES} printable characters")])
        return False

    def reject(self, req: falcon.Request, resp: falcon.Response, t: CommandResponse) -> None:
        """Answers with what became of a command that was not acknowledged."""
        match t.code:
            case Code.LEADER | Code.REPLACED:
                web.turn_away(req, resp, 503, [Finding("control", "no leader here just now")], 1)
                if t.leader is not None:
                    resp.set_header("Mallow-Leader", self.web_of(t.leader))
            case Code.REUSED:
                web.reject(resp, 409, web.UNDECIDED, [Finding("Mallow-Key", "was used for another command")])
            case Code.CONFLICT:
                web.reject(resp, 409, web.NOT_RUN, [Finding("base", f"the revision is {t.revision} now")])
            case Code.GONE:
                web.reject(resp, 409, web.NOT_RUN, [Finding("state", "changed meanwhile: look and say it again")])
            case _:
                found = [Finding("control", "not confirmed in time; safe to repeat with the same key")]
                web.reject(resp, 504, web.UNDECIDED, found, 1)

    def web_of(self, transport: Address) -> str:
        """The HTTP address of the process at a transport address; empty if it is not known."""
        r = next((r for r in self.task.node.membership.view() if r.addr == transport), None)
        return str(r.web) if r else ""
