"""What the pages offer to the replicated state for a caller who still waits.

A call may lie in a connection while its process is frozen or its link silent, and be read only after its caller went
on to another process. It would then be a new call, with a not-after of its own, and undo what the caller was told
elsewhere since. A caller who goes on closes its connection, so a call is offered only while its connection stands.
"""

from __future__ import annotations

import falcon

from mallowvalve import web
from mallowvalve.control.outcome import Code
from mallowvalve.control.task import ControlTask
from mallowvalve.control.wire import Took

LEFT = Took(Code.LEADER)
"""What is said to a caller who has gone: nothing was offered."""


def offer(
    task: ControlTask, req: falcon.Request, command: bytes, limit: float, attempt: float, effect: float | None = None
) -> Took:
    """As `ControlTask.offer` (s), but nothing is offered for a caller whose connection has ended."""
    if web.client_left(req):
        return LEFT
    return task.offer(command, limit, attempt) if effect is None else task.offer(command, limit, attempt, effect)
