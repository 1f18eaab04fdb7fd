"""Starts a daemon by file: `python3 -S deploy/daemon.py ROLE --settings FILE`.

A signal ends a process that has not set its handler. Handlers are therefore set before anything is imported that takes
time: the interpreter starts without `site`, which is loaded afterwards, and `_signal` is built in, while `signal` would
import `enum`.
"""

import _signal
import os
import sys


def _end_cleanly(*_: object) -> None:
    """Ends a process that is told to stop while it starts: it has accepted nothing yet."""
    os._exit(0)


_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)
_signal.signal(_signal.SIGTERM, _end_cleanly)
_signal.signal(_signal.SIGINT, _end_cleanly)


def _load_site() -> None:
    """Makes the installed libraries available, as a start without `-S` does first."""
    if sys.flags.no_site:
        import site  # noqa: PLC0415

        site.main()


sys.path[0] = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
_load_site()

from mallowvalve.__main__ import run  # noqa: E402

run()
