"""Submits the commands of HTTP requests, if this process can serve them and the client is still connected.

A process without recent contact to a majority could only keep its clients waiting, so it redirects them at once.

A request may sit in a connection while the process is suspended or the link is silent, and be read only after the
client has retried at another process. It would then be a new call with a `not_after` of its own, and would undo what
the client was told by the other process. A client closes its connection before it retries elsewhere, so a command is
submitted only while the connection is open.
"""

from __future__ import annotations

import falcon

from mallowvalve import clock, web
from mallowvalve.control import redirect
from mallowvalve.control.lease import AnswerKind
from mallowvalve.control.outcome import Code
from mallowvalve.control.task import ControlTask
from mallowvalve.control.wire import CommandResponse

CLIENT_LEFT = CommandResponse(Code.LEADER)
"""The response for a client that has disconnected: its command was not submitted."""


def accept_or_redirect(task: ControlTask, req: falcon.Request, resp: falcon.Response) -> bool:
    """Returns whether this process may serve a request that needs a majority; if not, responds with 307 or 503.

    This process has then submitted nothing, but an earlier attempt of a request with a key may have run elsewhere.
    """
    if task.core.may_answer(AnswerKind.CALL, clock.now()):
        return True
    keyed = req.get_header("Mallow-Key") is not None
    redirect.reject_out_of_touch(task, req, resp, web.UNDECIDED if keyed else web.NOT_RUN)
    return False


def offer(
    task: ControlTask, req: falcon.Request, command: bytes, limit: float, attempt: float, effect: float | None = None
) -> CommandResponse:
    """Like `ControlTask.offer` (times in s), but submits nothing if the client has closed its connection."""
    if web.client_left(req):
        return CLIENT_LEFT
    return task.offer(command, limit, attempt) if effect is None else task.offer(command, limit, attempt, effect)
