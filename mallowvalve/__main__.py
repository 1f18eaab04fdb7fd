"""`python -m mallowvalve`; a daemon ignores SIGHUP until its settings are loaded, as the signal would end it."""

import signal
import sys

if sys.argv[1:2] in (["proxy"], ["control"], ["directory"]):
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from mallowvalve.cli import main  # noqa: E402

main()
