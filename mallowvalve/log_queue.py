"""The destination of a daemon's log: a bounded queue, and a thread that writes its lines.

Only the thread may block, on a pipe that nobody reads or a slow disk. Lines for which there is no room, or that cannot
be written, are counted; the count is logged once lines can be written again.
"""

from __future__ import annotations

import atexit
import io
import logging
import os
import sys
import time
from logging.handlers import QueueListener
from queue import SimpleQueue
from typing import cast

import eliot

MAX_QUEUED_LINES = 10_000
END_FLUSH_S = 0.2
"""How long the end of a process waits for its last lines; it is a small part of any grace period."""
FLUSH_POLL_S = 0.002
STANDARD_ERROR = 2


class LineWriter(logging.Handler):
    """Writes lines to a descriptor, in the listener's thread; lines that cannot be written are counted."""

    def __init__(self, descriptor: int) -> None:
        """Writes to `descriptor`, which stays open.

        It has no lock: at the end of the process, `logging` would wait for a writer that is blocked.
        """
        super().__init__()
        self.lock = None
        self.descriptor = descriptor
        self.handled = 0
        self.failed = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a line."""
        remaining = memoryview(cast(bytes, record.msg))
        try:
            while remaining:
                remaining = remaining[os.write(self.descriptor, remaining) :]
        except OSError:
            self.failed += 1
        finally:
            self.handled += 1


class LogQueue:
    """A binary file for log lines, written by a thread; without a thread, it writes the lines itself."""

    def __init__(self, descriptor: int, capacity: int = MAX_QUEUED_LINES) -> None:
        """Writes to `descriptor`; `capacity` is in lines."""
        self.writer = LineWriter(descriptor)
        self.capacity = capacity
        self._lines: SimpleQueue[logging.LogRecord] = SimpleQueue()
        self._queued = self._dropped = self._reported = 0
        self._listener: QueueListener | None = QueueListener(self._lines, self.writer)
        try:
            self._listener.start()
        except RuntimeError:
            self._listener = None

    @property
    def lost(self) -> int:
        """The number of lines that were dropped or could not be written."""
        return self._dropped + self.writer.failed

    def write(self, line: bytes) -> int:
        """Queues a line."""
        if line:
            self._report_lost()
            self._put(line)
        return len(line)

    def flush(self) -> None:
        """Does nothing: `drain` waits for the writer."""

    def drain(self, limit_s: float) -> bool:
        """Waits until all queued lines have been handled, for `limit_s` at most; returns whether they have."""
        end = time.monotonic() + limit_s
        while self._listener is not None and self.writer.handled < self._queued:
            if time.monotonic() >= end:
                return False
            time.sleep(FLUSH_POLL_S)
        return True

    def _report_lost(self) -> None:
        lost = self.lost
        if lost > self._reported and self._lines.qsize() <= self.capacity // 2:
            self._put(b'{"message_type":"log_lines_lost","lines":%d}\n' % (lost - self._reported))
            self._reported = lost

    def _put(self, line: bytes) -> None:
        record = logging.LogRecord("mallowvalve", logging.INFO, "", 0, line, None, None)
        if self._listener is None:
            self.writer.emit(record)
        elif self._lines.qsize() >= self.capacity:
            self._dropped += 1
        else:
            self._lines.put(record)
            self._queued += 1


class LogStream(io.TextIOBase):
    """A text stream whose lines go to the log: it takes the place of the standard error stream."""

    def __init__(self, log: LogQueue) -> None:
        """Writes to `log`."""
        self.log = log
        self._partial = ""

    def writable(self) -> bool:
        """Returns true."""
        return True

    def write(self, text: str) -> int:
        """Queues all complete lines of `text`, after what was left of the previous call."""
        *lines, self._partial = (self._partial + text).split("\n")
        for line in lines:
            self.log.write(line.encode(errors="replace") + b"\n")
        return len(text)

    def flush(self) -> None:
        """Does nothing: `LogQueue.drain` waits for the writer."""


class _ProcessLog:
    """The queues of this process, once its log was opened."""

    queues: list[LogQueue] = []


def log_to(path: str | None) -> None:
    """Sets the destination of this process's log: a file that is appended to, or standard error; raises OSError.

    What is written to `sys.stderr`, tracebacks among it, goes through a queue from then on too.
    """
    errors = LogQueue(STANDARD_ERROR)
    log = errors if path is None else LogQueue(os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644))
    _ProcessLog.queues = [log] if log is errors else [log, errors]
    sys.stderr = LogStream(errors)
    atexit.register(drain_log, END_FLUSH_S)
    eliot.to_file(log)


def drain_log(limit_s: float) -> None:
    """Waits for the lines that this process has logged, for `limit_s` at most."""
    for queue in _ProcessLog.queues:
        queue.drain(limit_s)


def lost_lines() -> int:
    """Returns the number of log lines of this process that were lost."""
    return sum(queue.lost for queue in _ProcessLog.queues)
