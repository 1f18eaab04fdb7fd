"""`python -m mallowvalve`; a daemon ignores SIGHUP until it knows its settings file, so that none ends it."""

import signal
import sys

if sys.argv[1:2] in (["proxy"], ["control"], ["directory"]):
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from mallowvalve.cli import main  # noqa: E402

main()
