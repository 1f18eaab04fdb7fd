"""The queue of the log: a log that is slow, full or broken stops nothing, and what is lost is counted."""

import contextlib
import os
import subprocess
import sys
import threading

import pytest

from mallowvalve.log_queue import LogQueue, LogStream
from tests.deployed_processes import ROOT, answers, planned_fleet, start, wait_until


@pytest.fixture
def pipe():
    ends = os.pipe()
    yield ends
    for end in ends:
        with contextlib.suppress(OSError):
            os.close(end)


def fill_pipe(write_end):
    os.set_blocking(write_end, False)
    try:
        while True:
            os.write(write_end, b"x" * 4096)
    except BlockingIOError:
        os.set_blocking(write_end, True)


@pytest.mark.parametrize("role", ["core", "edge"])
def test_a_process_whose_log_nobody_reads_serves_and_stops(role, tmp_path, pipe):
    """Guards against a process that stands still in its first line since standard error is a full pipe."""
    fill_pipe(pipe[1])
    with planned_fleet(tmp_path) as fleet:
        machine = getattr(fleet, role)[0]
        process = start(machine, stderr=pipe[1])
        assert wait_until(lambda: answers(machine))
        process.terminate()
        assert process.wait(timeout=fleet.shape.grace_s) == 0


def test_lines_without_room_are_counted_and_the_count_is_logged(pipe):
    fill_pipe(pipe[1])
    log = LogQueue(pipe[1], capacity=4)
    for number in range(20):
        log.write(b"%d\n" % number)
    assert log.lost >= 15 and not log.drain(0.05)
    read = bytearray()
    while len(read) < 65536:
        read += os.read(pipe[0], 65536)
    assert log.drain(5.0)
    lost = log.lost
    log.write(b"later\n")
    assert log.drain(5.0)
    text = os.read(pipe[0], 65536).decode()
    assert f'"log_lines_lost","lines":{lost}' in text and text.endswith("later\n") and log.lost == lost


def test_a_broken_log_is_counted(pipe):
    os.close(pipe[0])
    log = LogQueue(pipe[1])
    log.write(b"line\n")
    assert log.drain(5.0) and log.lost == 1


def test_without_a_thread_the_lines_are_written_at_once(pipe, monkeypatch):
    """Guards against a start that fails where the system has no room for another thread."""

    def refuse(_thread):
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(threading.Thread, "start", refuse)
    log = LogQueue(pipe[1])
    log.write(b"line\n")
    assert os.read(pipe[0], 100) == b"line\n" and log.drain(0.0)


def test_lines_keep_their_order_and_a_stream_passes_on_whole_lines(pipe):
    log = LogQueue(pipe[1])
    stream = LogStream(log)
    print("a\nb", file=stream, end="")
    print("c", file=stream)
    assert log.drain(5.0) and os.read(pipe[0], 100) == b"a\nbc\n"


def test_the_traceback_of_an_end_by_an_error_is_written(tmp_path):
    """Guards against an end without its cause in the log."""
    code = (
        "import gevent\n"
        "from mallowvalve import log_queue, supervision\n"
        "log_queue.log_to(None)\n"
        "def fail(): raise MemoryError('planted')\n"
        "supervision.exit_on_failure(gevent.spawn(fail))\n"
        "gevent.sleep(10)\n"
    )
    ended = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=False)
    assert ended.returncode == 70
    assert "task_died" in ended.stderr and "in fail" in ended.stderr and "planted" in ended.stderr
