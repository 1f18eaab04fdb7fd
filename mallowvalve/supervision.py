"""Supervision of the tasks that a process cannot run without.

A task whose state may be broken after an error ends the process: a wrong answer is worse than none. One that starts
each turn from what others hold is started again, with a growing pause, unless it fails again and again.
"""

from __future__ import annotations

import os
import traceback
from collections import deque
from collections.abc import Callable

import gevent
from gevent import Greenlet

from mallowvalve import clock
from mallowvalve.log_queue import drain_log
from mallowvalve.metrics import Counts, log_event

TASK_DIED_EXIT_CODE = 70
"""Exit code of a process whose vital task died: EX_SOFTWARE of sysexits.h."""
LAST_LINES_LIMIT_S = 1.0
"""How long an end by an error waits for the last lines of the log."""
RESTART_PAUSE_MIN_S = 0.1
"""The pause after the first failure of a task; it doubles with each further one."""
RESTART_PAUSE_MAX_S = 2.0
MAX_RESTARTS = 20
"""A task that fails more often than this within `RESTART_WINDOW_S` ends the process."""
RESTART_WINDOW_S = 60.0


def exit_on_failure(task: Greenlet) -> Greenlet:
    """Returns the same task; an exception in it ends the process with exit code 70."""
    task.link_exception(_exit_process)
    return task


def restart_on_failure(name: str, run: Callable[[], object], counts: Counts) -> Greenlet:
    """Starts a task that is started again after an exception, which is logged and counted as `tasks_restarted`."""
    return exit_on_failure(gevent.spawn(_run_again, name, run, counts))


def _run_again(name: str, run: Callable[[], object], counts: Counts) -> None:
    failures: deque[float] = deque(maxlen=MAX_RESTARTS)
    pause_s = RESTART_PAUSE_MIN_S
    while True:
        try:
            run()
            return
        except Exception as error:
            now = clock.now()
            counts.add("tasks_restarted")
            log_event("task_failed", task=name, error=repr(error), trace=traceback.format_exc())
            if len(failures) == MAX_RESTARTS and now - failures[0] < RESTART_WINDOW_S:
                raise
            if failures and now - failures[-1] > RESTART_WINDOW_S:
                pause_s = RESTART_PAUSE_MIN_S
            failures.append(now)
        gevent.sleep(pause_s)
        pause_s = min(2 * pause_s, RESTART_PAUSE_MAX_S)


def _exit_process(task: Greenlet) -> None:
    try:
        trace = "".join(traceback.format_exception(task.exception))
        log_event("task_died", task=str(task), error=repr(task.exception), trace=trace)
        drain_log(LAST_LINES_LIMIT_S)
    finally:
        os._exit(TASK_DIED_EXIT_CODE)
