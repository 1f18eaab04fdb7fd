"""Settings as items, and evacuations of single zones: no keys, every call may be said again, to any node."""

from __future__ import annotations

import gevent
import msgspec

from mallowvalve import web
from mallowvalve.configuration.item_request import parse_amend
from mallowvalve.configuration.items import LIMITS_KIND, Amend, Items
from mallowvalve.control import page_offer
from mallowvalve.control.api import ATTEMPT_TIMEOUT_S, REQUEST_TIMEOUT_S, Api
from mallowvalve.control.outcome import Code
from mallowvalve.control.state import Evacuate, encode
from mallowvalve.finding import Finding, Findings

CALL_BYTES = 8 << 20
EFFECT = 1.0
"""Evacuations have no version: a caller that got no answer for this long (s) calls another process, and what it was
answered there must not be undone by what it said here."""
STANDS = 0.2
"""How long (s) the caller's connection must have stood before an evacuation is offered for it. A call that lay on a
silent link comes after its caller closed the connection, and the connection's end follows one round trip later."""
_findings = msgspec.msgpack.Decoder(Findings).decode


def _refusal(items: Items, c: Amend) -> tuple[int, Findings] | None:
    """The status and findings of a call that these items refuse."""
    turn = items.evaluate(c)
    if turn.found:
        return 400, turn.found
    return (409, turn.conflicts) if turn.conflicts else None


class ItemApi(Api):
    """What these pages share."""

    def offer(self, req, resp, c: Amend | Evacuate, effect: float | None = None) -> None:
        """Offers a command; it takes effect within `effect` seconds or never, where that is given."""
        if not page_offer.may_begin(self.task, req, resp):
            return None
        t = page_offer.offer(self.task, req, encode(c), REQUEST_TIMEOUT_S, ATTEMPT_TIMEOUT_S, effect)
        if t.code == Code.INVALID:
            return web.turn_away(req, resp, 400, _findings(t.body))
        if t.code == Code.CONFLICT:
            return web.turn_away(req, resp, 409, _findings(t.body))
        if t.code != Code.OK:
            return self.reject(req, resp, t)
        web.say(resp, {"revision": t.revision})


class ItemsView(ItemApi):
    """All items."""

    def on_get(self, req, resp) -> None:
        """A confirmed read of all items, laid out as they are sent."""
        if self.confirm(req, resp) is None:
            return
        items = self.task.core.state.items
        web.say(resp, {kind: self._laid_out(items, kind) for kind in items.kinds()})

    def _laid_out(self, items: Items, kind: str):
        held = items.current_documents(kind)
        alone = kind == LIMITS_KIND or (kind, "") in items.rows
        return held if not alone else held[0] if held else {}

    def on_patch(self, req, resp) -> None:
        """What this node finds wrong may only be news it has not heard yet; the leader's state has the last word."""
        body = web.body_of(req, CALL_BYTES)
        if body is None:
            return web.turn_away(req, resp, 413, [Finding("body", f"larger than {CALL_BYTES} bytes")])
        r = parse_amend(body)
        if r.is_err():
            return web.turn_away(req, resp, 400, r.err_value)
        c, s = r.ok_value, self.task.core.state
        if s is not None and _refusal(s.items, c) is not None:
            if self.confirm(req, resp) is None:
                return
            refusal = _refusal(self.task.core.state.items, c)
            if refusal is not None:
                return web.turn_away(req, resp, *refusal)
        elif s is not None and not s.items.has_newer(c):
            c = Amend([])
        self.offer(req, resp, c)


class EvacuatedZone(ItemApi):
    """One zone's evacuation."""

    def on_post(self, req, resp, zone: str) -> None:
        """Nothing more is to be sent to the zone."""
        self.turn(req, resp, zone, True)

    def on_delete(self, req, resp, zone: str) -> None:
        """The zone is given back."""
        self.turn(req, resp, zone, False)

    def turn(self, req, resp, zone: str, on: bool) -> None:
        """Evacuates the zone or gives it back, if the caller still waits after `STANDS`."""
        if zone not in self.task.node.settings.zones:
            s = self.confirm(req, resp)
            if s is None:
                return
            known = {z for r in self.task.tree().doc.regions.values() for z in r.zones}
            if zone not in known and zone not in s.evacuated:
                return web.turn_away(req, resp, 404, [Finding("zone", f"no zone {zone[:200]!r}")])
        gevent.sleep(STANDS)
        self.offer(req, resp, Evacuate(zone, on), EFFECT - STANDS)


def add_routes(app, task) -> None:
    """Adds these pages."""
    app.add_route("/items", ItemsView(task))
    app.add_route("/evacuations/{zone}", EvacuatedZone(task))
