from __future__ import annotations

from collections.abc import Callable

import falcon

from mallowvalve import web
from mallowvalve.configuration.model import Tree
from mallowvalve.control.replica_task import ReplicaTask
from mallowvalve.directory import answer
from mallowvalve.finding import Finding
from mallowvalve.membership.wire import ALIVE
from mallowvalve.node import Node
from mallowvalve.settings import Settings
from mallowvalve.types import Address, Locality, emptied

LIFE_MS, LIFE_S = 3000, 2
MOST = 6


class Connect:
    def __init__(self, node: Node, tree: Callable[[], Tree], evacuated: Callable[[], dict[str, int]]):
        self.node, self.tree, self.evacuated = node, tree, evacuated

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        near = Locality.read(req.get_param("locality") or str(self.node.settings.locality))
        if near.is_err():
            return web.reject(resp, 400, web.NOT_RUN, [Finding("locality", near.err_value)])
        tenant = req.get_param("tenant")
        if tenant is not None and tenant not in self.tree().cell_of:
            return web.reject(resp, 404, web.NOT_RUN, [Finding("tenant", f"no tenant {tenant!r}")])
        out = self.evacuated()
        good = [
            r
            for r in self.node.membership.alive("proxy")
            if r.state == ALIVE and r.ready and not emptied(r.locality, out)
        ]
        if not good:
            return web.reject(resp, 503, web.NOT_RUN, [Finding("proxies", "none is ready")], 1)
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
            },
        )


class Proxies:
    """Where the clients of a host may go; answered from the membership alone, so a node without a state answers too."""

    def __init__(self, node: Node):
        self.node = node

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        p = self.node.settings
        zone = req.get_param("zone") or ""
        region = req.get_param("region") or p.zones.get(zone)
        near = Locality(region, zone) if region else p.locality
        to = answer.proxies(self.node.membership.alive("proxy"), near)
        if not to:
            self.node.counts.add("directory_nobody")
            return web.reject(resp, 503, web.NOT_RUN, [Finding("proxies", "none is ready")], 1)
        self.node.counts.add("directory_answers")
        web.say(resp, {"proxies": list(map(str, to)), "life_s": LIFE_S})


def add_routes(
    app: falcon.App,
    node: Node,
    tree: Callable[[], Tree],
    evacuated: Callable[[], dict[str, int]],
) -> None:
    app.add_route("/connect", Connect(node, tree, evacuated))
    app.add_route("/proxies", Proxies(node))


def run(settings: Settings) -> None:
    node = Node(settings)
    replica = ReplicaTask(node)
    add_routes(
        node.app,
        node,
        lambda: replica.tree,
        lambda: replica.replica.state.settings.evacuated if replica.replica.state else {},
    )
    with node, replica:
        node.run(lambda: replica.replica.state is not None)
