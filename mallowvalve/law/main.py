from __future__ import annotations

import contextlib
import uuid

import gevent
import msgspec
from result import Err, Ok, Result

from mallowvalve import web
from mallowvalve.fault import FaultyDisk, Faults
from mallowvalve.finding import Finding, Findings
from mallowvalve.kind import Address
from mallowvalve.law import beathttp, http, plainhttp, store
from mallowvalve.law.rolltask import RollTask
from mallowvalve.law.foundtask import ID
from mallowvalve.law.task import LawTask
from mallowvalve.node import Node
from mallowvalve.params import Params
from mallowvalve.tale.disk import Disk, Folder
from mallowvalve.tale.log import Tale
from mallowvalve.way import main as way

MEMORY, EVERY, MOST = "neighbours", 10.0, 64


def run(params: Params) -> Result[None, Findings]:
    try:
        faults = Faults(params.faults, params.name)
        with Folder(params.data) as folder:
            disk = FaultyDisk(folder, faults) if params.faults is not None else folder
            tale = Tale.open(disk, params.fleet, uuid.uuid4().hex[:ID])
            if tale.is_err():
                return Err([Finding(f"{params.data}/{f.place}", f.text) for f in tale.err_value])
            loaded = store.load(tale.ok_value)
            if loaded.is_err():
                return Err([Finding(f"{params.data}/{f.place}", f.text) for f in loaded.err_value])
            serve(params, tale.ok_value, loaded.ok_value, faults)
            return Ok(None)
    except OSError as e:
        return Err([Finding(str(params.data), str(e))])


def remembered(disk: Disk) -> list[Address]:
    if MEMORY not in disk.names():
        return []
    try:
        return msgspec.json.decode(disk.read(MEMORY), type=list[Address])
    except msgspec.DecodeError:
        return []


class Memory:
    """Keeps neighbours' addresses on disk, for a start when all seeds are gone."""

    __slots__ = ("node", "disk", "_job", "_last")

    def __init__(self, node: Node, disk: Disk):
        self.node, self.disk, self._last = node, disk, []

    def __enter__(self) -> Memory:
        self._job = gevent.spawn(self._run)
        return self

    def __exit__(self, *_) -> None:
        self._job.kill()

    def _run(self) -> None:
        while True:
            gevent.sleep(EVERY)
            now = sorted(r.addr for r in self.node.bond.alive())[:MOST]
            if not now or now == self._last:
                continue
            try:
                gevent.get_hub().threadpool.apply(self.disk.put, (MEMORY, msgspec.json.encode(now)))
                self._last = now
            except OSError:
                self.node.counts.add("disk_errors")


def directory(node: Node, task: LawTask) -> web.Server | None:
    """The directory's answers, on an address of their own; None where this node gives none."""
    p = node.params
    if p.directory is None:
        return None
    app = web.make_app()
    way.add_routes(app, node, task.tree, lambda: task.core.state.params.evacuated if task.core.state else {})
    return web.Server(p.directory, app, node.counts, p.sessions)


def serve(params: Params, tale: Tale, loaded: store.Loaded, faults: Faults) -> None:
    node = Node(params, remembered(tale.disk), faults)
    task = LawTask(node, tale, loaded)
    roll = RollTask(task)
    http.add_routes(node.app, task)
    beathttp.add_routes(node.app, task, roll)
    plainhttp.add_routes(node.app, task, params.ties_at)
    node.allow(lambda service: service in task.tree().doc.services)
    node.gauge("role", lambda: task.core.raft.role if task.core.raft else "blank")
    node.gauge("votes", lambda: task.core.raft.counts.picture() if task.core.raft else {})
    ways = directory(node, task)

    def leave() -> None:
        if ways is not None:
            ways.draining = True
        task.hand_over()

    with node, task, roll, Memory(node, tale.disk), ways or contextlib.nullcontext():
        node.run(lambda: task.core.leader() is not None and not task.stalled, leave)
