"""Settings as items, and evacuations of single zones, over HTTP.

Requests have no key: every request is idempotent and may be repeated at any control process.
"""

from __future__ import annotations

import falcon
import gevent
import msgspec
from result import Err

from mallowvalve import web
from mallowvalve.configuration.item_request import parse_amend
from mallowvalve.configuration.items import LIMITS_KIND, Amend, Items
from mallowvalve.control import http_submission
from mallowvalve.control.api import ATTEMPT_TIMEOUT_S, REQUEST_TIMEOUT_S, Api
from mallowvalve.control.outcome import Code
from mallowvalve.control.state import Evacuate, encode
from mallowvalve.control.task import ControlTask
from mallowvalve.finding import Finding, Findings

MAX_BODY_BYTES = 8 << 20
EVACUATION_EFFECT_LIMIT_S = 1.0
"""How long after its arrival an evacuation may take effect. Evacuations have no version: a client without a response
for this long retries at another process, and the earlier request must not undo what that process acknowledged."""
CONNECTION_CHECK_DELAY_S = 0.2
"""How long the client's connection must stay open before an evacuation is submitted. A request that was delayed on a
silent link arrives after its client has closed the connection, and the close arrives one round trip later."""
_decode_findings = msgspec.msgpack.Decoder(Findings).decode


def _find_rejection(items: Items, command: Amend) -> tuple[int, Findings] | None:
    """Returns the HTTP status and findings if these items reject the command, else None."""
    evaluation = items.evaluate(command)
    if evaluation.found:
        return 400, evaluation.found
    return (409, evaluation.conflicts) if evaluation.conflicts else None


class ItemResource(Api):
    """Base class of the resources for items and zones."""

    def submit(
        self, req: falcon.Request, resp: falcon.Response, command: Amend | Evacuate, effect: float | None = None
    ) -> None:
        """Submits a command and responds with its outcome; `effect` limits the time until it takes effect (s)."""
        if not http_submission.accept_or_redirect(self.task, req, resp):
            return
        response = http_submission.offer(self.task, req, encode(command), REQUEST_TIMEOUT_S, ATTEMPT_TIMEOUT_S, effect)
        match response.code:
            case Code.OK:
                web.send_json(resp, {"revision": response.revision})
            case Code.INVALID:
                web.reject_early(req, resp, 400, _decode_findings(response.body))
            case Code.CONFLICT:
                web.reject_early(req, resp, 409, _decode_findings(response.body))
            case _:
                self.reject(req, resp, response)


class ItemsView(ItemResource):
    """All items."""

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Responds with all items in the format of a PATCH request, from a confirmed read."""
        state = self.confirm(req, resp)
        if state is None:
            return
        items = state.items
        web.send_json(resp, {kind: self._documents(items, kind) for kind in items.kinds()})

    def _documents(self, items: Items, kind: str) -> object:
        documents = items.current_documents(kind)
        single = kind == LIMITS_KIND or (kind, "") in items.rows
        return documents if not single else documents[0] if documents else {}

    def on_patch(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Changes items. Rejects the request only after a confirmed read, since the local state may be stale."""
        body = web.read_body(req, MAX_BODY_BYTES)
        if body is None:
            web.reject_early(req, resp, 413, [Finding("body", f"larger than {MAX_BODY_BYTES} bytes")])
            return
        parsed = parse_amend(body)
        if isinstance(parsed, Err):
            web.reject_early(req, resp, 400, parsed.err_value)
            return
        command, state = parsed.ok_value, self.task.core.state
        if state is not None and _find_rejection(state.items, command) is not None:
            state = self.confirm(req, resp)
            if state is None:
                return
            rejection = _find_rejection(state.items, command)
            if rejection is not None:
                web.reject_early(req, resp, *rejection)
                return
        elif state is not None and not state.items.has_newer(command):
            command = Amend([])
        self.submit(req, resp, command)


class EvacuatedZone(ItemResource):
    """The evacuation of one zone."""

    def on_post(self, req: falcon.Request, resp: falcon.Response, zone: str) -> None:
        """Evacuates the zone, so that it gets no new traffic."""
        self.set_evacuated(req, resp, zone, True)

    def on_delete(self, req: falcon.Request, resp: falcon.Response, zone: str) -> None:
        """Ends the zone's evacuation."""
        self.set_evacuated(req, resp, zone, False)

    def set_evacuated(self, req: falcon.Request, resp: falcon.Response, zone: str, on: bool) -> None:
        """Starts or ends an evacuation if the client is still connected after `CONNECTION_CHECK_DELAY_S`."""
        if zone not in self.task.node.settings.zones:
            state = self.confirm(req, resp)
            if state is None:
                return
            known = {name for region in self.task.tree().doc.regions.values() for name in region.zones}
            if zone not in known and zone not in state.settings.evacuated:
                web.reject_early(req, resp, 404, [Finding("zone", f"no zone {zone[:200]!r}")])
                return
        gevent.sleep(CONNECTION_CHECK_DELAY_S)
        self.submit(req, resp, Evacuate(zone, on), EVACUATION_EFFECT_LIMIT_S - CONNECTION_CHECK_DELAY_S)


def add_routes(app: falcon.App | web.LazyApp, task: ControlTask) -> None:
    """Adds these resources."""
    app.add_route("/items", ItemsView(task))
    app.add_route("/evacuations/{zone}", EvacuatedZone(task))
