"""The directory's HTTP: answers to clients that ask where to go, at a directory or at a control process."""

from __future__ import annotations

from collections.abc import Callable, Collection

import falcon
from result import Err, Ok

from mallowvalve import clock, web
from mallowvalve.configuration.items import Items
from mallowvalve.configuration.model import Tree
from mallowvalve.control import lease
from mallowvalve.directory import answer
from mallowvalve.directory.answer import ROLE, Choice, Reason
from mallowvalve.directory.look_up import LIFE_S, Directory, life
from mallowvalve.directory.sight import Answers
from mallowvalve.finding import Finding
from mallowvalve.membership.task import STATE_NAMES
from mallowvalve.membership.wire import MemberRecord
from mallowvalve.node import Node
from mallowvalve.types import Address, Locality, emptied

LIFE_MS = 3000
"""How long a client may go by an answer at `/connect` (ms), where one at `/proxies` holds for `look_up.LIFE_S`."""

NOBODY_S = 1
"""Seconds after which to ask again where there is no proxy."""

MOST = 6
"""Proxies in an answer at `/connect`."""

REFUSALS = {
    Reason.NOBODY: "none is ready",
    Reason.RETURNING: "those that may serve are being restarted",
    Reason.NOT_SETTLED: "this process has just started and may not know those that may serve",
}
"""What a look-up that names nobody says."""


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

    def __init__(self, pages: Pages) -> None:
        """Answer by the configuration and the evacuations of now."""
        self.pages = pages
        self.node = pages.node

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Proxies that serve, and how long the answer holds."""
        near = Locality.read(req.get_param("locality") or str(self.node.settings.locality))
        if isinstance(near, Err):
            web.reject(resp, 400, web.NOT_RUN, [Finding("locality", near.err_value)])
            return
        tenant = req.get_param("tenant")
        tree = self.pages.tree()
        if tenant is not None and tenant not in tree.cell_of:
            web.reject(resp, 404, web.NOT_RUN, [Finding("tenant", f"no tenant {tenant!r}")])
            return
        homes = tree.homes(tenant) if tenant is not None else None
        evacuated = self.pages.evacuated()
        read = map(Address.read, req.get_param_as_list("avoid") or [])
        avoid = {result.ok_value for result in read if isinstance(result, Ok)}

        def usable(record: MemberRecord) -> bool:
            return not emptied(record.locality, evacuated)

        choice = self.pages.directory.look_up(near.ok_value, homes, avoid, usable)
        marks = self.pages.give(resp, near.ok_value.region, homes, choice)
        if marks is None:
            return
        rows = [self._row(record) for record in self._in_order(req, near.ok_value, choice, avoid)]
        life_ms = int(LIFE_MS * life(choice) / LIFE_S)
        web.send_json(resp, {"life_ms": life_ms, "proxies": rows[:MOST], **marks})

    def _in_order(
        self, req: falcon.Request, near: Locality, choice: Choice, avoid: Collection[Address]
    ) -> list[MemberRecord]:
        """The nearest first; of those equally near another one first for each caller."""
        caller = req.env.get("REMOTE_PORT")

        def place(record: MemberRecord) -> tuple[bool, int, int]:
            drawn = hash((record.addr, self.node.boot, caller))
            return record.web in avoid, record.locality.distance(near), drawn

        return sorted(choice.named, key=place)

    def _row(self, record: MemberRecord) -> dict[str, str]:
        return {"web": str(record.web), "locality": str(record.locality), "name": record.name}


class Proxies:
    """`GET /proxies`: where the clients of a host may go.

    It is answered from the membership, and by the homes of the host's routes; a node without settings takes no other
    region than the client's for a home.
    """

    def __init__(self, pages: Pages) -> None:
        """Answer by the membership of now."""
        self.pages = pages

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Addresses of proxies for a host `name` and a `zone`, of a `region` or of the settings' region for it."""
        near = place(req, self.pages.node)
        homes = self.pages.homes(req.get_param("name") or "")
        choice = self.pages.directory.look_up(near, homes)
        marks = self.pages.give(resp, near.region, homes, choice)
        if marks is not None:
            web.send_json(resp, {"proxies": [str(r.web) for r in choice.named], "life_s": life(choice), **marks})


class Pages:
    """What the pages share: whom they ask, and how an answer or a refusal is given and counted.

    `tree` and `items` give the settings of now, `items` None where none are known; `evacuated` the zones evacuated.
    """

    def __init__(
        self,
        node: Node,
        tree: Callable[[], Tree],
        items: Callable[[], Items | None],
        evacuated: Callable[[], dict[str, int]],
        contact: Contact,
    ) -> None:
        """Answer by the membership and the settings of now."""
        self.node = node
        self.tree = tree
        self.items = items
        self.evacuated = evacuated
        self.contact = contact
        self.directory = Directory(node.membership, clock.now)
        self.answers = Answers(node.counts)
        node.gauge("directory_by_region", self.answers.by_region)

    def homes(self, host: str) -> frozenset[str] | None:
        """The homes of a host's routes: None where any region is as good, nothing while no settings are known."""
        items = self.items()
        return answer.UNKNOWN_HOMES if items is None else items.homes(host)

    def give(
        self, resp: falcon.Response, region: str, homes: frozenset[str] | None, choice: Choice
    ) -> dict[str, int | bool] | None:
        """What marks an answer, or None once it was refused."""
        marks = self.contact.marks(resp)
        if marks is None:
            return None
        self.directory.watch(region, choice)
        self.answers.gave(region, homes, choice, self.node.membership.alive(ROLE))
        if not choice.named:
            web.reject(resp, 503, web.NOT_RUN, [Finding("proxies", REFUSALS[choice.reason])], NOBODY_S)
            return None
        self.node.counts.add("directory_answers")
        return marks


class Named:
    """`GET /-/named`: for operators, who would be named to a client of a place now, and why."""

    def __init__(self, pages: Pages) -> None:
        """Answer by the membership and the settings of now."""
        self.pages = pages

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """The proxies of an answer for a host `name`, a `zone` or `region`, with their state, and the reason."""
        near = place(req, self.pages.node)
        choice = self.pages.directory.look_up(near, self.pages.homes(req.get_param("name") or ""))
        rows = [
            {
                "name": record.name,
                "web": str(record.web),
                "locality": str(record.locality),
                "status": STATE_NAMES[record.state],
            }
            for record in choice.named
        ]
        web.send_json(resp, {"region": near.region, "reason": choice.reason.value, "named": rows})


def place(req: falcon.Request, node: Node) -> Locality:
    """Where a client is, by its `zone` and `region`, or the settings' region for the zone; else this node's place."""
    zone = req.get_param("zone") or ""
    region = req.get_param("region") or node.settings.zones.get(zone)
    return Locality(region, zone) if region else node.settings.locality


def add_routes(app: falcon.App | web.LazyApp, pages: Pages) -> None:
    """Add the directory's pages."""
    app.add_route("/connect", Connect(pages))
    app.add_route("/proxies", Proxies(pages))
