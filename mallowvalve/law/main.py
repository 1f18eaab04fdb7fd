from __future__ import annotations

import uuid

from result import Err, Ok, Result

from mallowvalve.finding import Finding, Findings
from mallowvalve.law import http, store
from mallowvalve.law.task import LawTask
from mallowvalve.node import Node
from mallowvalve.params import Params
from mallowvalve.tale.disk import Folder
from mallowvalve.tale.log import Tale


def run(params: Params) -> Result[None, Findings]:
    try:
        with Folder(params.data) as disk:
            tale = Tale.open(disk, params.fleet, uuid.uuid4().hex)
            if tale.is_err():
                return Err([Finding(f"{params.data}/{f.place}", f.text) for f in tale.err_value])
            loaded = store.load(tale.ok_value)
            if loaded.is_err():
                return Err([Finding(f"{params.data}/{f.place}", f.text) for f in loaded.err_value])
            serve(params, tale.ok_value, loaded.ok_value)
            return Ok(None)
    except OSError as e:
        return Err([Finding(str(params.data), str(e))])


def serve(params: Params, tale: Tale, loaded: store.Loaded) -> None:
    node = Node(params)
    task = LawTask(node, tale, loaded)
    http.add_routes(node.app, task)
    node.allow(lambda service: service in task.tree().doc.services)
    node.gauge("role", lambda: task.core.raft.role if task.core.raft else "blank")
    node.gauge("votes", lambda: task.core.raft.counts.picture() if task.core.raft else {})
    with node, task:
        node.run(lambda: task.core.leader() is not None and not task.stalled, task.hand_over)
