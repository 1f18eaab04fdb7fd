"""The control daemon: opens its data folder and serves until it is asked to stop."""

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
from mallowvalve.fault import FaultyDisk, InjectedFaults
from mallowvalve.finding import Finding, Findings
from mallowvalve.memory_gauges import register_memory_gauges
from mallowvalve.node import Node
from mallowvalve.settings import Settings
from mallowvalve.start_wait import StartWait, WaitingPart
from mallowvalve.storage.disk import Disk, Folder
from mallowvalve.storage.log import DiskLog
from mallowvalve.types import Address

PEERS_FILE = "peers"
PEERS_SAVE_INTERVAL_S = 10.0
MAX_SAVED_PEERS = 64


def run(settings: Settings) -> Result[None, Findings]:
    """Serves until it is asked to stop; returns findings if the data folder cannot be used."""
    if settings.data is None:
        return Err([Finding("data", "missing")])
    try:
        faults = InjectedFaults(settings.faults, settings.name)
        start_wait = StartWait(limit_s=settings.start_wait_s)
        with WaitingPart(folder := Folder(settings.data), start_wait):
            disk = FaultyDisk(folder, faults) if settings.faults is not None else folder
            opened = open_state(settings, disk, start_wait)
            if isinstance(opened, Err):
                return opened
            serve(settings, *opened.ok_value, faults)
            return Ok(None)
    except OSError as error:
        return Err([Finding(str(settings.data), str(error))])


def open_state(
    settings: Settings, disk: Disk, start_wait: StartWait
) -> Result[tuple[DiskLog, store.StoredState], Findings]:
    """Returns the log in the data folder and the state in it, or why they cannot be used; raises OSError."""
    fresh_id = uuid.uuid4().hex[:ID_LENGTH]
    try:
        disk_log = start_wait.retry("DiskLog", lambda: DiskLog.open(disk, settings.fleet, fresh_id))
        result = disk_log.and_then(lambda log: store.load(log).map(lambda loaded: (log, loaded)))
    except ValueError as error:
        return Err([Finding(str(settings.data), f"a record is not understood: {error}")])
    return result.map_err(lambda found: [Finding(f"{settings.data}/{f.place}", f.text) for f in found])


def load_peers(disk: Disk) -> list[Address]:
    """Returns the saved addresses of peers; none if they cannot be read."""
    if PEERS_FILE not in disk.names():
        return []
    try:
        return msgspec.json.decode(disk.read(PEERS_FILE), type=list[Address])
    except msgspec.DecodeError:
        return []


class PeersFile:
    """Saves the peers' addresses on disk, for a start when all seeds are gone."""

    __slots__ = ("node", "disk", "_job", "_saved")

    def __init__(self, node: Node, disk: Disk):
        """Creates the task, which has saved nothing yet."""
        self.node, self.disk = node, disk
        self._saved: list[Address] = []

    def __enter__(self) -> PeersFile:
        """Starts to save the addresses from time to time."""
        self._job = gevent.spawn(self._run)
        return self

    def __exit__(self, *_: object) -> None:
        """Stops."""
        self._job.kill()

    def _run(self) -> None:
        while True:
            gevent.sleep(PEERS_SAVE_INTERVAL_S)
            peers = sorted(record.addr for record in self.node.membership.alive())[:MAX_SAVED_PEERS]
            if not peers or peers == self._saved:
                continue
            try:
                gevent.get_hub().threadpool.apply(self.disk.put, (PEERS_FILE, msgspec.json.encode(peers)))
                self._saved = peers
            except OSError:
                self.node.counts.add("disk_errors")


def directory_pages(node: Node, task: ControlTask) -> directory.DirectoryService:
    """Returns the directory's pages, which answer from the applied state and the membership of this process."""

    def evacuated() -> dict[str, int]:
        return task.core.state.settings.evacuated if task.core.state else {}

    def items() -> Items | None:
        return task.core.state.items if task.core.state else None

    return directory.DirectoryService(
        node, task.tree, items, evacuated, directory.AnswerFreshness(node, task.core.contact)
    )


def directory_server(node: Node, pages: directory.DirectoryService) -> web.Server | None:
    """Returns the server of the directory on its own address, or None if none is configured."""
    settings = node.settings
    if settings.directory is None:
        return None
    app = web.make_app()
    directory.add_routes(app, pages)
    server = web.Server(settings.directory, app, node.counts, settings.connections)
    server.body_budget = node.body_budget
    return server


def serve(settings: Settings, disk_log: DiskLog, loaded: store.StoredState, faults: InjectedFaults) -> None:
    """Creates the parts of the process and serves until it is asked to stop."""
    node = Node(settings, load_peers(disk_log.disk), faults)
    task = ControlTask(node, disk_log, loaded)
    registry = RegistryTask(task)
    http_operators.add_routes(node.app, task)
    http_upstreams.add_routes(node.app, task, registry)
    http_plain.add_routes(node.app, task, settings.coordination_at)
    node.set_service_filter(lambda service: service in task.tree().doc.services)
    register_memory_gauges(node)
    node.gauge("role", lambda: task.core.raft.role if task.core.raft else "blank")
    node.gauge("core_survives_loss_of", task.tolerance_report.gauge)
    node.gauge("votes", lambda: task.core.raft.counts.snapshot() if task.core.raft else {})
    pages = directory_pages(node, task)
    node.app.add_route("/-/named", directory.NamedResource(pages))
    directory_listener = directory_server(node, pages)
    listening = WaitingPart(directory_listener or contextlib.nullcontext(), node.start_wait)

    def leave() -> None:
        if directory_listener is not None:
            directory_listener.draining = True
        task.begin_leaving()

    with node, task, registry, PeersFile(node, disk_log.disk), listening:
        node.run(
            lambda: task.core.may_answer(AnswerKind.HEARTBEAT, clock.now()) and not task.stalled,
            leave,
            task.bootstrap_task.leave,
        )
