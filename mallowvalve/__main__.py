import signal
import sys

if sys.argv[1:2] in (["flow"], ["law"], ["way"]):
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from mallowvalve.cli import main  # noqa: E402

main()
