"""Settings read anew while the process runs: at SIGHUP, and when their file was changed."""

from __future__ import annotations

import os
import signal

import gevent
import msgspec
from gevent.event import Event

from mallowvalve import settings
from mallowvalve.finding import Finding, Findings
from mallowvalve.metrics import Counts, change, vital
from mallowvalve.settings import Settings

LOOK = 2.0
LIVE = ("seeds",)
OWN = ("path", "flags")


class Changes(msgspec.Struct, frozen=True):
    """What of new settings is taken in while running, and what has to wait for the next start."""

    taken: dict[str, object]
    left: Findings


def changes(old: Settings, new: Settings) -> Changes:
    other = [f for f in old.__struct_fields__ if f not in OWN and getattr(old, f) != getattr(new, f)]
    return Changes(
        {f: getattr(new, f) for f in other if f in LIVE},
        [Finding(f, "changes only at the next start") for f in other if f not in LIVE],
    )


class Reload:
    """Hands each new settings to `take(Settings)`, with only what may change in flight changed; without a file it does nothing.

    A file that cannot be read or has findings changes nothing and is logged once.
    """

    __slots__ = ("settings", "take", "counts", "_told", "_seen", "_jobs", "_said")

    def __init__(self, first: Settings, take, counts: Counts):
        self.settings, self.take, self.counts = first, take, counts
        self._told = Event()
        self._seen: tuple | None = None
        self._said: tuple = ()
        self._jobs: list = []

    def __enter__(self) -> Reload:
        if self.settings.path is not None:
            gevent.signal_handler(signal.SIGHUP, self._told.set)
            self._jobs = [vital(gevent.spawn(self._run))]
        return self

    def __exit__(self, *_) -> None:
        gevent.killall(self._jobs)

    def look(self, told: bool = False) -> None:
        """Reads the file if it was changed since the last look, or if told to."""
        if self.settings.path is None:
            return
        seen = self._mark()
        if seen == self._seen and not told:
            return
        self._seen = seen
        self._read()

    def _read(self) -> None:
        p = self.settings
        r = settings.load(p.role, p.path, p.flags)
        if r.is_err():
            self.counts.add("settings_refused")
            return self._say("settings_refused", r.err_value)
        c = changes(p, r.ok_value)
        self._say("settings_left", c.left)
        if not c.taken:
            return
        self.settings = msgspec.structs.replace(p, **c.taken)
        self.counts.add("settings_taken")
        change("settings_taken", fields=sorted(c.taken))
        self.take(self.settings)

    def _say(self, what: str, found: Findings) -> None:
        said = (what, *map(str, found)) if found else ()
        if found and said != self._said:
            change(what, findings=[str(f) for f in found])
        self._said = said

    def _mark(self) -> tuple | None:
        try:
            s = os.stat(self.settings.path)
        except OSError:
            return None
        return s.st_mtime_ns, s.st_size, s.st_ino

    def _run(self) -> None:
        while True:
            told = self._told.wait(timeout=LOOK)
            self._told.clear()
            self.look(bool(told))
