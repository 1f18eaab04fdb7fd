"""The directory's HTTP resources, served by directories and by control processes."""

from __future__ import annotations

from collections.abc import Callable, Collection

import falcon
from result import Err, Ok

from mallowvalve import clock, web
from mallowvalve.configuration.items import Items
from mallowvalve.configuration.model import Tree
from mallowvalve.control import lease
from mallowvalve.directory import answer
from mallowvalve.directory.answer import PROXY_ROLE, Choice, Reason
from mallowvalve.directory.look_up import ANSWER_TTL_S, Directory, answer_ttl_s
from mallowvalve.directory.sight import AnswerMetrics
from mallowvalve.finding import Finding
from mallowvalve.membership.task import STATE_NAMES
from mallowvalve.membership.wire import MemberRecord
from mallowvalve.node import Node
from mallowvalve.types import Address, Locality, is_evacuated

CONNECT_TTL_MS = 3000
"""Time to live of an answer of `/connect` where an answer of `/proxies` has `look_up.ANSWER_TTL_S`."""

NO_PROXY_RETRY_S = 1

MAX_CONNECT_PROXIES = 6

REFUSAL_TEXTS = {
    Reason.NOBODY: "none is ready",
    Reason.RETURNING: "those that may serve are being restarted",
    Reason.NOT_SETTLED: "this process has just started and may not know those that may serve",
}


class AnswerFreshness:
    """Computes the age of a directory answer and enforces its upper bound (`control/lease.py`).

    `confirmed_at` returns the newest time (s) up to which a majority has confirmed the state of this process. The
    selection uses the membership, which is not persistent, so an answer is never older than the process; without a
    confirmation the age counts from the start of the process.
    """

    def __init__(self, node: Node, confirmed_at: Callable[[], float]) -> None:
        """Takes the current time as the start of the process."""
        self.node = node
        self.confirmed_at = confirmed_at
        self.started_at_s = clock.now()

    def fields(self, resp: falcon.Response) -> dict[str, int | bool] | None:
        """Returns the answer's age and staleness, or None after refusing it because its age is past the bound.

        Past the bound this process cannot know which other processes still name proxies.
        """
        now = clock.now()
        since = max(self.started_at_s, self.confirmed_at())
        if not lease.is_valid(lease.AnswerKind.DIRECTORY, since, now):
            self.node.counts.add("directory_out_of_touch")
            found = [Finding("control", "out of touch with a majority for too long")]
            web.reject(resp, 503, web.NOT_RUN, found, lease.retry_after(False))
            return None
        return {"age_ms": int(1000 * (now - since)), "stale": not lease.is_valid(lease.AnswerKind.WATCH, since, now)}


class ConnectResource:
    """`GET /connect`: the proxies for a tenant's clients, the nearest to `locality` first, those of `avoid` last."""

    def __init__(self, service: DirectoryService) -> None:
        """Answers from the current configuration and evacuations."""
        self.service = service
        self.node = service.node

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns usable proxies and the answer's time to live (ms)."""
        near = Locality.read(req.get_param("locality") or str(self.node.settings.locality))
        if isinstance(near, Err):
            web.reject(resp, 400, web.NOT_RUN, [Finding("locality", near.err_value)])
            return
        tenant = req.get_param("tenant")
        tree = self.service.tree()
        if tenant is not None and tenant not in tree.cell_of:
            web.reject(resp, 404, web.NOT_RUN, [Finding("tenant", f"no tenant {tenant!r}")])
            return
        homes = tree.homes(tenant) if tenant is not None else None
        evacuated = self.service.evacuated()
        addresses = map(Address.read, req.get_param_as_list("avoid") or [])
        avoid = {result.ok_value for result in addresses if isinstance(result, Ok)}

        def usable(record: MemberRecord) -> bool:
            return not is_evacuated(record.locality, evacuated)

        choice = self.service.directory.look_up(near.ok_value, homes, avoid, usable)
        freshness = self.service.check_answer(resp, near.ok_value.region, homes, choice)
        if freshness is None:
            return
        rows = [self._row(record) for record in self._sorted(req, near.ok_value, choice, avoid)]
        ttl_ms = int(CONNECT_TTL_MS * answer_ttl_s(choice) / ANSWER_TTL_S)
        web.send_json(resp, {"life_ms": ttl_ms, "proxies": rows[:MAX_CONNECT_PROXIES], **freshness})

    def _sorted(
        self, req: falcon.Request, near: Locality, choice: Choice, avoid: Collection[Address]
    ) -> list[MemberRecord]:
        """Sorts avoided proxies last, then by distance; the order among equally near proxies varies by caller."""
        caller = req.env.get("REMOTE_PORT")

        def sort_key(record: MemberRecord) -> tuple[bool, int, int]:
            tie_breaker = hash((record.addr, self.node.boot, caller))
            return record.web in avoid, record.locality.distance(near), tie_breaker

        return sorted(choice.proxies, key=sort_key)

    def _row(self, record: MemberRecord) -> dict[str, str]:
        return {"web": str(record.web), "locality": str(record.locality), "name": record.name}


class ProxiesResource:
    """`GET /proxies`: the proxies for the clients of a host.

    The answer depends on the membership and on the home regions of the host's routes. A node without settings takes
    only the client's own region for a home region.
    """

    def __init__(self, service: DirectoryService) -> None:
        """Answers from the current membership."""
        self.service = service

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns proxy addresses for the host `name`; the client is located by `zone` and `region`."""
        near = client_locality(req, self.service.node)
        homes = self.service.homes(req.get_param("name") or "")
        choice = self.service.directory.look_up(near, homes)
        freshness = self.service.check_answer(resp, near.region, homes, choice)
        if freshness is not None:
            web.send_json(
                resp,
                {
                    "proxies": [str(record.web) for record in choice.proxies],
                    "life_s": answer_ttl_s(choice),
                    **freshness,
                },
            )


class DirectoryService:
    """State shared by the resources: the sources of an answer, its checks and its counters.

    `tree` and `items` return the current settings, `items` None if none are known; `evacuated` returns the evacuated
    zones.
    """

    def __init__(
        self,
        node: Node,
        tree: Callable[[], Tree],
        items: Callable[[], Items | None],
        evacuated: Callable[[], dict[str, int]],
        freshness: AnswerFreshness,
    ) -> None:
        """Answers from the current membership and settings."""
        self.node = node
        self.tree = tree
        self.items = items
        self.evacuated = evacuated
        self.freshness = freshness
        self.directory = Directory(node.membership, clock.now)
        self.metrics = AnswerMetrics(node.counts)
        node.gauge("directory_by_region", self.metrics.by_region)

    def homes(self, host: str) -> frozenset[str] | None:
        """Returns the home regions of a host's routes: None for any region, empty while no settings are known."""
        items = self.items()
        return answer.UNKNOWN_HOMES if items is None else items.homes(host)

    def check_answer(
        self, resp: falcon.Response, region: str, homes: frozenset[str] | None, choice: Choice
    ) -> dict[str, int | bool] | None:
        """Counts the answer and returns its age and staleness, or None after writing a refusal to `resp`."""
        freshness = self.freshness.fields(resp)
        if freshness is None:
            return None
        self.directory.probe_proxies(region, choice)
        self.metrics.record(region, homes, choice, self.node.membership.alive(PROXY_ROLE))
        if not choice.proxies:
            web.reject(resp, 503, web.NOT_RUN, [Finding("proxies", REFUSAL_TEXTS[choice.reason])], NO_PROXY_RETRY_S)
            return None
        self.node.counts.add("directory_answers")
        return freshness


class NamedResource:
    """`GET /-/named`: for operators, the proxies that a client would get now, and the reason."""

    def __init__(self, service: DirectoryService) -> None:
        """Answers from the current membership and settings."""
        self.service = service

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns the proxies for the host `name` and the client's `zone` and `region`, and the reason."""
        near = client_locality(req, self.service.node)
        choice = self.service.directory.look_up(near, self.service.homes(req.get_param("name") or ""))
        rows = [
            {
                "name": record.name,
                "web": str(record.web),
                "locality": str(record.locality),
                "status": STATE_NAMES[record.state],
            }
            for record in choice.proxies
        ]
        web.send_json(resp, {"region": near.region, "reason": choice.reason.value, "named": rows})


def client_locality(req: falcon.Request, node: Node) -> Locality:
    """Returns the client's locality by the parameters `zone` and `region`, or this node's locality without a region.

    A missing `region` is taken from the settings' region of the zone.
    """
    zone = req.get_param("zone") or ""
    region = req.get_param("region") or node.settings.zones.get(zone)
    return Locality(region, zone) if region else node.settings.locality


def add_routes(app: falcon.App | web.LazyApp, service: DirectoryService) -> None:
    """Adds the directory's routes to `app`."""
    app.add_route("/connect", ConnectResource(service))
    app.add_route("/proxies", ProxiesResource(service))
