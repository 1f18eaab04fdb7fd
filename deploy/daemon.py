"""Starts a daemon by file: `python3 -S deploy/daemon.py ROLE --settings FILE`.

A signal ends a process that has not set its handler. Handlers are therefore set before anything is imported that takes
time: the interpreter starts without `site`, which is loaded afterwards, and `_signal` is built in, while `signal` would
import `enum`.
"""

import _signal
import os
import sys

STANDARD_STREAMS = (0, 1, 2)


def _end_cleanly(*_: object) -> None:
    """Ends a process that is told to stop while it starts: it has accepted nothing yet."""
    os._exit(0)


_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)
_signal.signal(_signal.SIGTERM, _end_cleanly)
_signal.signal(_signal.SIGINT, _end_cleanly)


def _open_standard_streams() -> None:
    """Opens the null device for closed standard streams: a socket or file would get their descriptors otherwise."""
    for descriptor in STANDARD_STREAMS:
        try:
            os.fstat(descriptor)
        except OSError:
            os.open(os.devnull, os.O_RDWR)


def _run() -> None:
    """Loads the installed libraries, as a start without `-S` does first, and runs the command line."""
    sys.path[0] = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
    if sys.flags.no_site:
        __import__("site").main()
    __import__("runpy").run_module("mallowvalve", run_name="__main__")


_open_standard_streams()
_run()
