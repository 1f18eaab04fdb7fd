"""Tasks that a process cannot run without: started again after an error, within a limit."""

import gevent
import pytest
from gevent.event import Event

from mallowvalve import supervision
from mallowvalve.metrics import Counts, recent_events


class Failing:
    """A task that fails some times, and then waits."""

    def __init__(self, failures):
        self.left, self.runs, self.well = failures, 0, Event()

    def run(self):
        self.runs += 1
        if self.left:
            self.left -= 1
            raise KeyError("planted")
        self.well.set()
        Event().wait()


@pytest.fixture
def ends(monkeypatch):
    """The exit codes of ends of the process, which goes on."""
    codes = []
    monkeypatch.setattr(supervision.os, "_exit", codes.append)
    monkeypatch.setattr(supervision, "RESTART_PAUSE_MIN_S", 0.001)
    monkeypatch.setattr(supervision, "RESTART_PAUSE_MAX_S", 0.002)
    return codes


def test_a_task_that_fails_is_started_again_and_its_traceback_logged(ends):
    counts, task = Counts(), Failing(3)
    job = supervision.restart_on_failure("planted", task.run, counts)
    assert task.well.wait(timeout=10) and task.runs == 4 and ends == []
    assert counts.get("tasks_restarted") == 3
    assert "in run" in recent_events.about("task_failed")[-1]["trace"]
    job.kill()


def test_a_task_that_fails_again_and_again_ends_the_process(ends):
    task = Failing(1000)
    job = supervision.restart_on_failure("planted", task.run, Counts())
    gevent.joinall([job], timeout=10)
    Event().wait(timeout=0.05)
    assert task.runs == supervision.MAX_RESTARTS + 1 and ends == [supervision.TASK_DIED_EXIT_CODE]


def test_a_task_whose_state_may_be_broken_ends_the_process(ends):
    job = supervision.exit_on_failure(gevent.spawn(Failing(1).run))
    gevent.joinall([job], timeout=10)
    Event().wait(timeout=0.05)
    assert ends == [70] and recent_events.about("task_died")[-1]["error"] == "KeyError('planted')"
