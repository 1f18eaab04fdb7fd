"""The base of the operators' and the coordination pages: confirmed reads, commands, keys and rejections."""

from __future__ import annotations

import uuid

import falcon

from mallowvalve import web
from mallowvalve.control import http_submission
from mallowvalve.control.outcome import Code
from mallowvalve.control.state import Change, Evacuate, ReplicatedState, Strike, encode
from mallowvalve.control.task import ControlTask
from mallowvalve.control.wire import CommandResponse
from mallowvalve.finding import Finding
from mallowvalve.types import Address

MAX_KEY_CHARACTERS = 200
REQUEST_TIMEOUT_S = 8.0
ATTEMPT_TIMEOUT_S = 3.0


class Api:
    """Base class of the operators' and the coordination pages."""

    def __init__(self, task: ControlTask):
        """Creates the pages of a control process."""
        self.task = task

    def confirm(self, req: falcon.Request, resp: falcon.Response) -> ReplicatedState | None:
        """Returns the state with all changes acknowledged before this call; None after a rejection was sent."""
        if not http_submission.accept_or_redirect(self.task, req, resp):
            return None
        response = self.task.read(2.0)
        state = self.task.core.state
        if response.code == Code.OK and state is not None:
            return state
        self.reject(req, resp, response)
        return None

    def offer(self, req: falcon.Request, resp: falcon.Response, command: Change | Evacuate | Strike) -> None:
        """Offers a command and responds with its outcome."""
        if not http_submission.accept_or_redirect(self.task, req, resp):
            return
        response = http_submission.offer(self.task, req, encode(command), REQUEST_TIMEOUT_S, ATTEMPT_TIMEOUT_S)
        if response.code != Code.OK:
            self.reject(req, resp, response)
            return
        web.send_json(resp, {"revision": response.revision, "in_force": True})

    def key(self, req: falcon.Request, resp: falcon.Response) -> str | None:
        """Returns the caller's key for its command, or a new one; None after an invalid key was rejected."""
        key = req.get_header("Mallow-Key")
        if key is None:
            return uuid.uuid4().hex
        if 0 < len(key) <= MAX_KEY_CHARACTERS:
            return key
        web.reject_early(req, resp, 400, [Finding("Mallow-Key", f"want 1 to {MAX_KEY_CHARACTERS} characters")])
        return None

    def name_is_valid(self, req: falcon.Request, resp: falcon.Response, name: str) -> bool:
        """Whether the name is valid; an invalid one is rejected."""
        if len(name) <= MAX_KEY_CHARACTERS and name.isprintable():
            return True
        web.reject_early(req, resp, 400, [Finding("name", f"want 1 to {MAX_KEY_CHARACTERS} printable characters")])
        return False

    def reject(self, req: falcon.Request, resp: falcon.Response, response: CommandResponse) -> None:
        """Responds with the outcome of a command that was not acknowledged."""
        match response.code:
            case Code.LEADER | Code.REPLACED:
                web.reject_early(req, resp, 503, [Finding("control", "no leader here just now")], 1)
                if response.leader is not None:
                    resp.set_header("Mallow-Leader", self.web_address(response.leader))
            case Code.REUSED:
                web.reject(resp, 409, web.UNDECIDED, [Finding("Mallow-Key", "was used for another command")])
            case Code.CONFLICT:
                web.reject(resp, 409, web.NOT_RUN, [Finding("base", f"the revision is {response.revision} now")])
            case Code.GONE:
                web.reject(resp, 409, web.NOT_RUN, [Finding("state", "changed meanwhile: look and say it again")])
            case _:
                found = [Finding("control", "not confirmed in time; safe to repeat with the same key")]
                web.reject(resp, 504, web.UNDECIDED, found, 1)

    def web_address(self, transport: Address) -> str:
        """Returns the HTTP address of the process at a transport address; empty if it is unknown."""
        record = next((record for record in self.task.node.membership.view() if record.addr == transport), None)
        return str(record.web) if record else ""
