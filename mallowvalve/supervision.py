"""Supervision of the tasks that a process cannot run without."""

from __future__ import annotations

import os
import traceback

from gevent import Greenlet

from mallowvalve.log_queue import drain_log
from mallowvalve.metrics import log_event

TASK_DIED_EXIT_CODE = 70
"""Exit code of a process whose vital task died: EX_SOFTWARE of sysexits.h."""
LAST_LINES_LIMIT_S = 1.0
"""How long an end by an error waits for the last lines of the log."""


def exit_on_failure(task: Greenlet) -> Greenlet:
    """Returns the same task; an exception in it ends the process with exit code 70."""
    task.link_exception(_exit_process)
    return task


def _exit_process(task: Greenlet) -> None:
    try:
        trace = "".join(traceback.format_exception(task.exception))
        log_event("task_died", task=str(task), error=repr(task.exception), trace=trace)
        drain_log(LAST_LINES_LIMIT_S)
    finally:
        os._exit(TASK_DIED_EXIT_CODE)
