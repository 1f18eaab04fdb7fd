"""What the pages ask of the replicated state, for callers who can be served here and still wait.

A process that is out of touch with a majority could only let its callers wait for nothing: it sends them on at once.

A call may lie in a connection while its process is frozen or its link silent, and be read only after its caller went
on to another process. It would then be a new call, with a not-after of its own, and undo what the caller was told
elsewhere since. A caller who goes on closes its connection, so a call is offered only while its connection stands.
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
"""What is said to a caller who has gone: nothing was offered."""


def accept_or_redirect(task: ControlTask, req: falcon.Request, resp: falcon.Response) -> bool:
    """Whether a call that needs a majority may begin here; otherwise it was answered: 307, or 503 and when to come.

    Nothing was offered; but of a call with a key, an earlier try elsewhere may have run.
    """
    if task.core.may_answer(AnswerKind.CALL, clock.now()):
        return True
    keyed = req.get_header("Mallow-Key") is not None
    redirect.reject_out_of_touch(task, req, resp, web.UNDECIDED if keyed else web.NOT_RUN)
    return False


def offer(
    task: ControlTask, req: falcon.Request, command: bytes, limit: float, attempt: float, effect: float | None = None
) -> CommandResponse:
    """As `ControlTask.offer` (s), but nothing is offered for a caller whose connection has ended."""
    if web.client_left(req):
        return CLIENT_LEFT
    return task.offer(command, limit, attempt) if effect is None else task.offer(command, limit, attempt, effect)
