"""`python -m mallowvalve`; a daemon ignores SIGHUP until its settings are loaded, as the signal would end it."""

import os
import signal
import sys

if sys.argv[1:2] in (["proxy"], ["control"], ["directory"]):
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

try:
    from mallowvalve.cli import main

    main()
except ImportError as error:
    version = ".".join(map(str, sys.version_info[:3]))
    raise SystemExit(
        f"mallowvalve: a library cannot be loaded: {error}. Python {version} on {os.uname().machine} "
        "needs libraries of its own: remove those of another one, and install requirements.txt again."
    ) from error
