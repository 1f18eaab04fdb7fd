"""Reload of the settings in a running process: on SIGHUP, and when the file changes."""

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
from mallowvalve.metrics import Counts, log_event
from mallowvalve.settings import Settings
from mallowvalve.supervision import restart_on_failure

CHECK_INTERVAL_S = 2.0
"""Time between two checks of the file's modification time."""

LIVE_FIELDS = ("seeds",)
"""Fields that a running process applies."""

SOURCE_FIELDS = ("path", "flags")
"""Fields that name the source of the settings."""

FileVersion = tuple[int, int, int]
"""Identifies a state of a file: its modification time (ns), size and inode."""


class SettingsDiff(msgspec.Struct, frozen=True):
    """The changes between two settings: those applied to a running process, and those deferred to its next start."""

    applied: dict[str, object]
    deferred: Findings


def compare_settings(old: Settings, new: Settings) -> SettingsDiff:
    """Returns the differences between settings, by whether a running process can apply them."""
    changed = [
        field
        for field in old.__struct_fields__
        if field not in SOURCE_FIELDS and getattr(old, field) != getattr(new, field)
    ]
    return SettingsDiff(
        {field: getattr(new, field) for field in changed if field in LIVE_FIELDS},
        [Finding(field, "changes only at the next start") for field in changed if field not in LIVE_FIELDS],
    )


class SettingsReloader:
    """Calls `on_change(Settings)` with each new version of the settings, in which only live fields differ.

    Without a file it does nothing. A file that is unreadable or has findings changes nothing and is logged once.
    """

    __slots__ = ("settings", "on_change", "counts", "_reload_requested", "_file_version", "_jobs", "_last_logged")

    def __init__(self, first: Settings, on_change: Callable[[Settings], None], counts: Counts) -> None:
        """Compares with `first`, which names the file and the command-line options."""
        self.settings = first
        self.on_change = on_change
        self.counts = counts
        self._reload_requested = Event()
        self._file_version: FileVersion | None = None
        self._last_logged: tuple[str, ...] = ()
        self._jobs: list[gevent.Greenlet] = []

    def __enter__(self) -> SettingsReloader:
        """Starts to check the file and to handle SIGHUP."""
        if self.settings.path is not None:
            gevent.signal_handler(signal.SIGHUP, self._reload_requested.set)
            self._jobs = [restart_on_failure("settings", self._run, self.counts)]
        return self

    def __exit__(self, *_: object) -> None:
        """Stops checking the file."""
        gevent.killall(self._jobs)

    def check_file(self, force: bool = False) -> None:
        """Reads the file if it has changed since the last check, or with `force`."""
        if self.settings.path is None:
            return
        file_version = self._stat_file()
        if file_version == self._file_version and not force:
            return
        self._file_version = file_version
        self._reload()

    def _reload(self) -> None:
        old = self.settings
        loaded = settings.load(old.role, old.path, old.flags)
        if isinstance(loaded, Err):
            self.counts.add("settings_refused")
            self._log_findings("settings_refused", loaded.err_value)
            return
        diff = compare_settings(old, loaded.ok_value)
        self._log_findings("settings_left", diff.deferred)
        if not diff.applied:
            return
        self.settings = msgspec.structs.replace(old, **diff.applied)
        self.counts.add("settings_taken")
        log_event("settings_taken", fields=sorted(diff.applied))
        self.on_change(self.settings)

    def _log_findings(self, event: str, found: Findings) -> None:
        logged = (event, *map(str, found)) if found else ()
        if found and logged != self._last_logged:
            log_event(event, findings=[str(one) for one in found])
        self._last_logged = logged

    def _stat_file(self) -> FileVersion | None:
        try:
            status = os.stat(str(self.settings.path))
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino

    def _run(self) -> None:
        while True:
            requested = self._reload_requested.wait(timeout=CHECK_INTERVAL_S)
            self._reload_requested.clear()
            self.check_file(bool(requested))
