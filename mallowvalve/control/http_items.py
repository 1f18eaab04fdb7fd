"""Settings as items, and evacuations of single zones, over HTTP.

Requests have no key: every request is idempotent and may be repeated at any control process.
"""

from __future__ import annotations

import gevent
import msgspec

from mallowvalve import web
from mallowvalve.configuration.item_request import parse_amend
from mallowvalve.configuration.items import LIMITS_KIND, Amend, Items
from mallowvalve.control import http_submission
from mallowvalve.control.api import ATTEMPT_TIMEOUT_S, REQUEST_TIMEOUT_S, Api
from mallowvalve.control.outcome import Code
from mallowvalve.control.state import Evacuate, encode
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

    def offer(self, req, resp, command: Amend | Evacuate, effect: float | None = None) -> None:
        """Submits a command and responds with its outcome; `effect` limits the time until it takes effect (s)."""
        if not http_submission.accept_or_redirect(self.task, req, resp):
            return None
        response = http_submission.offer(self.task, req, encode(command), REQUEST_TIMEOUT_S, ATTEMPT_TIMEOUT_S, effect)
        if response.code == Code.INVALID:
            return web.reject_early(req, resp, 400, _decode_findings(response.body))
        if response.code == Code.CONFLICT:
            return web.reject_early(req, resp, 409, _decode_findings(response.body))
        if response.code != Code.OK:
            return self.reject(req, resp, response)
        web.send_json(resp, {"revision": response.revision})


class ItemsView(ItemResource):
    """All items."""

    def on_get(self, req, resp) -> None:
        """Responds with all items in the format of a PATCH request, from a confirmed read."""
        if self.confirm(req, resp) is None:
            return
        items = self.task.core.state.items
        web.send_json(resp, {kind: self._documents(items, kind) for kind in items.kinds()})

    def _documents(self, items: Items, kind: str):
        documents = items.current_documents(kind)
        single = kind == LIMITS_KIND or (kind, "") in items.rows
        return documents if not single else documents[0] if documents else {}

    def on_patch(self, req, resp) -> None:
        """Changes items. Rejects the request only after a confirmed read, since the local state may be stale."""
        body = web.read_body(req, MAX_BODY_BYTES)
        if body is None:
            return web.reject_early(req, resp, 413, [Finding("body", f"larger than {MAX_BODY_BYTES} bytes")])
        parsed = parse_amend(body)
        if parsed.is_err():
            return web.reject_early(req, resp, 400, parsed.err_value)
        command, state = parsed.ok_value, self.task.core.state
        if state is not None and _find_rejection(state.items, command) is not None:
            if self.confirm(req, resp) is None:
                return
            rejection = _find_rejection(self.task.core.state.items, command)
            if rejection is not None:
                return web.reject_early(req, resp, *rejection)
        elif state is not None and not state.items.has_newer(command):
            command = Amend([])
        self.offer(req, resp, command)


class EvacuatedZone(ItemResource):
    """The evacuation of one zone."""

    def on_post(self, req, resp, zone: str) -> None:
        """Evacuates the zone, so that it gets no new traffic."""
        self.set_evacuated(req, resp, zone, True)

    def on_delete(self, req, resp, zone: str) -> None:
        """Ends the zone's evacuation."""
        self.set_evacuated(req, resp, zone, False)

    def set_evacuated(self, req, resp, zone: str, on: bool) -> None:
        """Starts or ends an evacuation if the client is still connected after `CONNECTION_CHECK_DELAY_S`."""
        if zone not in self.task.node.settings.zones:
            settings = self.confirm(req, resp)
            if settings is None:
                return
            known = {name for region in self.task.tree().doc.regions.values() for name in region.zones}
            if zone not in known and zone not in settings.evacuated:
                return web.reject_early(req, resp, 404, [Finding("zone", f"no zone {zone[:200]!r}")])
        gevent.sleep(CONNECTION_CHECK_DELAY_S)
        self.offer(req, resp, Evacuate(zone, on), EVACUATION_EFFECT_LIMIT_S - CONNECTION_CHECK_DELAY_S)


def add_routes(app, task) -> None:
    """Adds these resources."""
    app.add_route("/items", ItemsView(task))
    app.add_route("/evacuations/{zone}", EvacuatedZone(task))
