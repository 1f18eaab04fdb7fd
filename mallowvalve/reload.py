"""Settings read anew while the process runs: at SIGHUP, and when their file was changed."""

from __future__ import annotations

import os
import signal
from collections.abc import Callable

import gevent
import msgspec
from gevent.event import Event
from result import Err

from mallowvalve import settings
from mallowvalve.finding import Finding, Findings
from mallowvalve.metrics import Counts, exit_on_failure, log_event
from mallowvalve.settings import Settings

CHECK_INTERVAL_S = 2.0
"""Seconds between two looks at the file's date."""

LIVE = ("seeds",)
"""Fields that are taken in while the process runs."""

OWN = ("path", "flags")
"""Fields that say where the settings come from."""

Mark = tuple[int, int, int]
"""What tells one state of a file from another: its date (ns), size and inode."""


class SettingsDiff(msgspec.Struct, frozen=True):
    """What of new settings is taken in while running, and what has to wait for the next start."""

    taken: dict[str, object]
    left: Findings


def compare_settings(old: Settings, new: Settings) -> SettingsDiff:
    """What differs in new settings, by whether it can be taken in now."""
    other = [f for f in old.__struct_fields__ if f not in OWN and getattr(old, f) != getattr(new, f)]
    return SettingsDiff(
        {f: getattr(new, f) for f in other if f in LIVE},
        [Finding(f, "changes only at the next start") for f in other if f not in LIVE],
    )


class SettingsReloader:
    """Hands each new settings to `take(Settings)`, with only what may change in flight changed.

    Without a file it does nothing.
    A file that cannot be read or has findings changes nothing and is logged once.
    """

    __slots__ = ("settings", "take", "counts", "_told", "_seen", "_jobs", "_said")

    def __init__(self, first: Settings, take: Callable[[Settings], None], counts: Counts) -> None:
        """Compare with `first`, which names the file and the options."""
        self.settings = first
        self.take = take
        self.counts = counts
        self._told = Event()
        self._seen: Mark | None = None
        self._said: tuple[str, ...] = ()
        self._jobs: list[gevent.Greenlet] = []

    def __enter__(self) -> SettingsReloader:
        """Begin to look, and to listen to SIGHUP."""
        if self.settings.path is not None:
            gevent.signal_handler(signal.SIGHUP, self._told.set)
            self._jobs = [exit_on_failure(gevent.spawn(self._run))]
        return self

    def __exit__(self, *_: object) -> None:
        """Look no more."""
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
        old = self.settings
        loaded = settings.load(old.role, old.path, old.flags)
        if isinstance(loaded, Err):
            self.counts.add("settings_refused")
            self._say("settings_refused", loaded.err_value)
            return
        new = compare_settings(old, loaded.ok_value)
        self._say("settings_left", new.left)
        if not new.taken:
            return
        self.settings = msgspec.structs.replace(old, **new.taken)
        self.counts.add("settings_taken")
        log_event("settings_taken", fields=sorted(new.taken))
        self.take(self.settings)

    def _say(self, what: str, found: Findings) -> None:
        said = (what, *map(str, found)) if found else ()
        if found and said != self._said:
            log_event(what, findings=[str(one) for one in found])
        self._said = said

    def _mark(self) -> Mark | None:
        try:
            status = os.stat(str(self.settings.path))
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino

    def _run(self) -> None:
        while True:
            told = self._told.wait(timeout=CHECK_INTERVAL_S)
            self._told.clear()
            self.look(bool(told))
