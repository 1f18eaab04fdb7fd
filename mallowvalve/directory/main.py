"""The directory: HTTP answers to clients that ask where to go."""

from __future__ import annotations

from collections.abc import Callable

import falcon

from mallowvalve import clock, web
from mallowvalve.configuration.model import Tree
from mallowvalve.control import lease
from mallowvalve.control.replica_task import ReplicaTask
from mallowvalve.directory import answer
from mallowvalve.finding import Finding
from mallowvalve.node import Node
from mallowvalve.settings import Settings
from mallowvalve.types import Address, Locality, emptied

LIFE_MS, LIFE_S = 3000, 2
NOBODY_S = 1
MOST = 6


class Contact:
    """How old an answer of the directory is, and whether it may still be given (bounds in `control/lease.py`).

    `asked` is when (s) this process asked what a majority has confirmed since. What is named comes from the membership,
    of which nothing survives a process: so nothing is older than this one, and without a majority its start counts.
    """

    def __init__(self, node: Node, asked: Callable[[], float]):
        self.node, self.asked, self.born = node, asked, clock.now()

    def marks(self, resp: falcon.Response) -> dict | None:
        """What marks the answer, or None once it was refused: past the bound nobody knows who else names proxies."""
        now = clock.now()
        since = max(self.born, self.asked())
        if not lease.holds(lease.Answer.DIRECTORY, since, now):
            self.node.counts.add("directory_out_of_touch")
            found = [Finding("control", "out of touch with a majority for too long")]
            return web.reject(resp, 503, web.NOT_RUN, found, lease.retry_after(False))
        return {"age_ms": int(1000 * (now - since)), "stale": not lease.holds(lease.Answer.WATCH, since, now)}


class Connect:
    def __init__(self, node: Node, tree: Callable[[], Tree], evacuated: Callable[[], dict[str, int]], contact: Contact):
        self.node, self.tree, self.evacuated, self.contact = node, tree, evacuated, contact

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        near = Locality.read(req.get_param("locality") or str(self.node.settings.locality))
        if near.is_err():
            return web.reject(resp, 400, web.NOT_RUN, [Finding("locality", near.err_value)])
        tenant = req.get_param("tenant")
        if tenant is not None and tenant not in self.tree().cell_of:
            return web.reject(resp, 404, web.NOT_RUN, [Finding("tenant", f"no tenant {tenant!r}")])
        out = self.evacuated()
        good = answer.serving([r for r in self.node.membership.alive("proxy") if not emptied(r.locality, out)])
        marks = self.contact.marks(resp)
        if marks is None:
            return None
        if not good:
            return web.reject(resp, 503, web.NOT_RUN, [Finding("proxies", "none is ready")], NOBODY_S)
        avoid = {a.ok_value for a in map(Address.read, req.get_param_as_list("avoid") or []) if a.is_ok()}
        good.sort(
            key=lambda r: (
                r.web in avoid,
                r.locality.distance(near.ok_value),
                hash((r.addr, self.node.boot, req.env.get("REMOTE_PORT"))),
            )
        )
        self.node.counts.add("directory_answers")
        web.say(
            resp,
            {
                "life_ms": LIFE_MS,
                "proxies": [{"web": str(r.web), "locality": str(r.locality), "name": r.name} for r in good[:MOST]],
                **marks,
            },
        )


class Proxies:
    """Where the clients of a host may go; answered from the membership alone, so a node without a state answers too."""

    def __init__(self, node: Node, contact: Contact):
        self.node, self.contact = node, contact

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        p = self.node.settings
        zone = req.get_param("zone") or ""
        region = req.get_param("region") or p.zones.get(zone)
        near = Locality(region, zone) if region else p.locality
        marks = self.contact.marks(resp)
        if marks is None:
            return None
        to = answer.proxies(self.node.membership.alive("proxy"), near)
        if not to:
            self.node.counts.add("directory_nobody")
            return web.reject(resp, 503, web.NOT_RUN, [Finding("proxies", "none is ready")], NOBODY_S)
        self.node.counts.add("directory_answers")
        web.say(resp, {"proxies": list(map(str, to)), "life_s": LIFE_S, **marks})


def add_routes(
    app: falcon.App,
    node: Node,
    tree: Callable[[], Tree],
    evacuated: Callable[[], dict[str, int]],
    asked: Callable[[], float],
) -> None:
    """`asked` is when (s) this process asked what a majority has confirmed since."""
    contact = Contact(node, asked)
    app.add_route("/connect", Connect(node, tree, evacuated, contact))
    app.add_route("/proxies", Proxies(node, contact))


def run(settings: Settings) -> None:
    node = Node(settings)
    replica = ReplicaTask(node)
    add_routes(
        node.app,
        node,
        lambda: replica.tree,
        lambda: replica.replica.state.settings.evacuated if replica.replica.state else {},
        lambda: replica.replica.sure,
    )
    with node, replica:
        node.run(lambda: replica.replica.state is not None)
