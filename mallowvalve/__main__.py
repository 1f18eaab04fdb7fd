"""`python -m mallowvalve`; a daemon ignores SIGHUP until its settings are loaded, as the signal would end it."""

import os
import signal
import sys

if sys.argv[1:2] in (["proxy"], ["control"], ["directory"]):
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def run() -> None:
    """Runs the command line; ends with a clear error if a library cannot be loaded."""
    try:
        from mallowvalve.cli import main  # noqa: PLC0415

        main(prog_name="mallowvalve")
    except ImportError as error:
        version = ".".join(map(str, sys.version_info[:3]))
        raise SystemExit(
            f"mallowvalve: a library cannot be loaded: {error}. Python {version} on {os.uname().machine} "
            "needs libraries of its own: remove those of another one, and install requirements.txt again."
        ) from error


if __name__ == "__main__":
    run()
