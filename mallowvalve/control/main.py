"""The control daemon: opens its folder and serves until it is told to stop."""

from __future__ import annotations

import contextlib
import uuid

import gevent
import msgspec
from result import Err, Ok, Result

from mallowvalve import clock, web
from mallowvalve.configuration.items import Items
from mallowvalve.control import http_operators, http_plain, http_upstreams, store
from mallowvalve.control.bootstrap_task import ID_LENGTH
from mallowvalve.control.lease import AnswerKind
from mallowvalve.control.registry_task import RegistryTask
from mallowvalve.control.task import ControlTask
from mallowvalve.directory import pages as directory
from mallowvalve.fault import Faults, FaultyDisk
from mallowvalve.finding import Finding, Findings
from mallowvalve.node import Node
from mallowvalve.settings import Settings
from mallowvalve.storage.disk import Disk, Folder
from mallowvalve.storage.log import DiskLog
from mallowvalve.types import Address

MEMORY, EVERY, MOST = "peers", 10.0, 64


def run(settings: Settings) -> Result[None, Findings]:
    """Serves until it is told to stop; findings where the folder cannot be used."""
    try:
        faults = Faults(settings.faults, settings.name)
        with Folder(settings.data) as folder:
            disk = FaultyDisk(folder, faults) if settings.faults is not None else folder
            disk_log = DiskLog.open(disk, settings.fleet, uuid.uuid4().hex[:ID_LENGTH])
            if disk_log.is_err():
                return Err([Finding(f"{settings.data}/{f.place}", f.text) for f in disk_log.err_value])
            loaded = store.load(disk_log.ok_value)
            if loaded.is_err():
                return Err([Finding(f"{settings.data}/{f.place}", f.text) for f in loaded.err_value])
            serve(settings, disk_log.ok_value, loaded.ok_value, faults)
            return Ok(None)
    except OSError as e:
        return Err([Finding(str(settings.data), str(e))])


def remembered(disk: Disk) -> list[Address]:
    """The peers' addresses that were written down; none where they cannot be read."""
    if MEMORY not in disk.names():
        return []
    try:
        return msgspec.json.decode(disk.read(MEMORY), type=list[Address])
    except msgspec.DecodeError:
        return []


class Memory:
    """Keeps peers' addresses on disk, for a start when all seeds are gone."""

    __slots__ = ("node", "disk", "_job", "_last")

    def __init__(self, node: Node, disk: Disk):
        """Nothing was written yet by this process."""
        self.node, self.disk, self._last = node, disk, []

    def __enter__(self) -> Memory:
        """Begins to look."""
        self._job = gevent.spawn(self._run)
        return self

    def __exit__(self, *_) -> None:
        """Ends."""
        self._job.kill()

    def _run(self) -> None:
        while True:
            gevent.sleep(EVERY)
            now = sorted(r.addr for r in self.node.membership.alive())[:MOST]
            if not now or now == self._last:
                continue
            try:
                gevent.get_hub().threadpool.apply(self.disk.put, (MEMORY, msgspec.json.encode(now)))
                self._last = now
            except OSError:
                self.node.counts.add("disk_errors")


def directory_pages(node: Node, task: ControlTask) -> directory.Pages:
    """The directory's answers by what this process holds and knows."""

    def evacuated() -> dict[str, int]:
        return task.core.state.settings.evacuated if task.core.state else {}

    def items() -> Items | None:
        return task.core.state.items if task.core.state else None

    return directory.Pages(node, task.tree, items, evacuated, directory.Contact(node, task.core.contact))


def directory_server(node: Node, pages: directory.Pages) -> web.Server | None:
    """The directory's answers, on an address of their own; None where this node gives none."""
    its = node.settings
    if its.directory is None:
        return None
    app = web.make_app()
    directory.add_routes(app, pages)
    return web.Server(its.directory, app, node.counts, its.connections)


def serve(settings: Settings, disk_log: DiskLog, loaded: store.StoredState, faults: Faults) -> None:
    """Puts the process together, and serves until it is told to stop."""
    node = Node(settings, remembered(disk_log.disk), faults)
    task = ControlTask(node, disk_log, loaded)
    registry = RegistryTask(task)
    http_operators.add_routes(node.app, task)
    http_upstreams.add_routes(node.app, task, registry)
    http_plain.add_routes(node.app, task, settings.coordination_at)
    node.allow(lambda service: service in task.tree().doc.services)
    node.gauge("role", lambda: task.core.raft.role if task.core.raft else "blank")
    node.gauge("votes", lambda: task.core.raft.counts.snapshot() if task.core.raft else {})
    pages = directory_pages(node, task)
    node.app.add_route("/-/named", directory.Named(pages))
    directory_front = directory_server(node, pages)

    def leave() -> None:
        if directory_front is not None:
            directory_front.draining = True
        task.begin_leaving()

    with node, task, registry, Memory(node, disk_log.disk), directory_front or contextlib.nullcontext():
        node.run(
            lambda: task.core.may_answer(AnswerKind.HEARTBEAT, clock.now()) and not task.stalled,
            leave,
            task.bootstrap_task.leave,
        )
