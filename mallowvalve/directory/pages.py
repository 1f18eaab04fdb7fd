"""The directory's HTTP: answers to clients that ask where to go, at a directory or at a control process."""

from __future__ import annotations

from collections.abc import Callable

import falcon
from result import Err, Ok

from mallowvalve import clock, web
from mallowvalve.configuration.model import Tree
from mallowvalve.control import lease
from mallowvalve.directory import answer
from mallowvalve.directory.sight import Answers
from mallowvalve.finding import Finding
from mallowvalve.membership.task import NAMES
from mallowvalve.membership.wire import Record
from mallowvalve.node import Node
from mallowvalve.types import Address, Locality, emptied

LIFE_MS, LIFE_S = 3000, 2
"""How long a client may go by an answer, at `/connect` (ms) and at `/proxies` (s)."""

NOBODY_S = 1
"""Seconds after which to ask again where there is no proxy."""

MOST = 6
"""Proxies in an answer at `/connect`."""


class Contact:
    """How old an answer of the directory is, and whether it may still be given (bounds in `control/lease.py`).

    `asked` is when (s) this process asked what a majority has confirmed since. What is named comes from the membership,
    of which nothing survives a process: so nothing is older than this one, and without a majority its start counts.
    """

    def __init__(self, node: Node, asked: Callable[[], float]) -> None:
        """The process starts now."""
        self.node = node
        self.asked = asked
        self.born = clock.now()

    def marks(self, resp: falcon.Response) -> dict[str, int | bool] | None:
        """What marks the answer, or None once it was refused: past the bound nobody knows who else names proxies."""
        now = clock.now()
        since = max(self.born, self.asked())
        if not lease.holds(lease.Answer.DIRECTORY, since, now):
            self.node.counts.add("directory_out_of_touch")
            found = [Finding("control", "out of touch with a majority for too long")]
            web.reject(resp, 503, web.NOT_RUN, found, lease.retry_after(False))
            return None
        return {"age_ms": int(1000 * (now - since)), "stale": not lease.holds(lease.Answer.WATCH, since, now)}


class Connect:
    """`GET /connect`: where clients of a tenant may go, those nearest to `locality` first, those of `avoid` last."""

    def __init__(
        self, node: Node, tree: Callable[[], Tree], evacuated: Callable[[], dict[str, int]], contact: Contact
    ) -> None:
        """Answer by the configuration and the evacuations of now."""
        self.node = node
        self.tree = tree
        self.evacuated = evacuated
        self.contact = contact

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Proxies that serve, and how long the answer holds."""
        near = Locality.read(req.get_param("locality") or str(self.node.settings.locality))
        if isinstance(near, Err):
            web.reject(resp, 400, web.NOT_RUN, [Finding("locality", near.err_value)])
            return
        tenant = req.get_param("tenant")
        if tenant is not None and tenant not in self.tree().cell_of:
            web.reject(resp, 404, web.NOT_RUN, [Finding("tenant", f"no tenant {tenant!r}")])
            return
        evacuated = self.evacuated()
        alive = self.node.membership.alive("proxy")
        good = answer.serving([record for record in alive if not emptied(record.locality, evacuated)])
        marks = self.contact.marks(resp)
        if marks is None:
            return
        if not good:
            web.reject(resp, 503, web.NOT_RUN, [Finding("proxies", "none is ready")], NOBODY_S)
            return
        read = map(Address.read, req.get_param_as_list("avoid") or [])
        avoid = {result.ok_value for result in read if isinstance(result, Ok)}
        caller = req.env.get("REMOTE_PORT")
        good.sort(
            key=lambda record: (
                record.web in avoid,
                record.locality.distance(near.ok_value),
                hash((record.addr, self.node.boot, caller)),
            )
        )
        self.node.counts.add("directory_answers")
        web.say(resp, {"life_ms": LIFE_MS, "proxies": [self._row(record) for record in good[:MOST]], **marks})

    def _row(self, record: Record) -> dict[str, str]:
        return {"web": str(record.web), "locality": str(record.locality), "name": record.name}


class Proxies:
    """`GET /proxies`: where the clients of a host may go.

    It is answered from the membership alone, so a node without a state answers too.
    """

    def __init__(self, node: Node, contact: Contact) -> None:
        """Answer by the membership of now."""
        self.node = node
        self.contact = contact
        self.answers = Answers(node.counts)
        node.gauge("directory_by_region", self.answers.by_region)

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Addresses of proxies for a `zone`, of a `region` or of the settings' region for it."""
        near = place(req, self.node)
        marks = self.contact.marks(resp)
        if marks is None:
            return
        known = self.node.membership.alive("proxy")
        choice = answer.choose(known, near)
        self.answers.gave(near.region, choice, known)
        if not choice.named:
            web.reject(resp, 503, web.NOT_RUN, [Finding("proxies", "none is ready")], NOBODY_S)
            return
        self.node.counts.add("directory_answers")
        web.say(resp, {"proxies": [str(record.web) for record in choice.named], "life_s": LIFE_S, **marks})


class Named:
    """`GET /-/named`: for operators, who would be named to a client of a place now, and why."""

    def __init__(self, node: Node) -> None:
        """Answer by the membership of now."""
        self.node = node

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """The proxies of an answer for a `zone` or `region`, with their state, and the reason for these."""
        near = place(req, self.node)
        choice = answer.choose(self.node.membership.alive("proxy"), near)
        rows = [
            {
                "name": record.name,
                "web": str(record.web),
                "locality": str(record.locality),
                "status": NAMES[record.state],
            }
            for record in choice.named
        ]
        web.say(resp, {"region": near.region, "reason": choice.reason.value, "named": rows})


def place(req: falcon.Request, node: Node) -> Locality:
    """Where a client is, by its `zone` and `region`, or the settings' region for the zone; else this node's place."""
    zone = req.get_param("zone") or ""
    region = req.get_param("region") or node.settings.zones.get(zone)
    return Locality(region, zone) if region else node.settings.locality


def add_routes(
    app: falcon.App | web.Later,
    node: Node,
    tree: Callable[[], Tree],
    evacuated: Callable[[], dict[str, int]],
    asked: Callable[[], float],
) -> None:
    """Add the directory's pages; `asked` is when (s) this process asked what a majority has confirmed since."""
    contact = Contact(node, asked)
    app.add_route("/connect", Connect(node, tree, evacuated, contact))
    app.add_route("/proxies", Proxies(node, contact))
