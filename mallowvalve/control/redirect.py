"""Where a caller goes from a control process that is out of touch with a majority: by 307 to one in touch."""

from __future__ import annotations

import random

import falcon

from mallowvalve import web
from mallowvalve.control import lease
from mallowvalve.control.task import ControlTask
from mallowvalve.finding import Finding
from mallowvalve.membership.wire import ALIVE, MemberRecord
from mallowvalve.types import Address

REDIRECTED_PARAMETER = "moved"


def choose_control_process(controls: list[MemberRecord], me: Address, leader: Address | None) -> MemberRecord | None:
    """One that says of itself that it is in touch (`ready`), never this one, and the leader last.

    What this process holds for the leader gave it no lease, so it may be cut off as well.
    """
    known = [r for r in controls if r.state == ALIVE and r.ready and r.addr != me]
    return random.choice([r for r in known if r.addr != leader] or known) if known else None


def redirect_location(task: ControlTask, req: falcon.Request) -> str | None:
    """The Location for this call; None for one that was sent here by another: two out of touch never send it round."""
    membership = task.node.membership
    if req.get_param(REDIRECTED_PARAMETER) is not None:
        return None
    r = choose_control_process(membership.alive("control"), membership.membership.me.addr, task.core.leader())
    if r is None:
        return None
    return f"http://{r.web}{req.path}?" + "&".join(filter(None, (req.query_string, f"{REDIRECTED_PARAMETER}=1")))


def reject_out_of_touch(
    task: ControlTask, req: falcon.Request, resp: falcon.Response, outcome: str = web.UNDECIDED
) -> None:
    """307 to one that may know, else 503 with the time after which an answer can be had here."""
    found = [Finding("control", "out of touch with a majority: not confirmed, safe to repeat")]
    to = redirect_location(task, req)
    if to is None:
        return web.reject(resp, 503, outcome, found, lease.retry_after(task.core.leader() is not None))
    web.reject(resp, 307, outcome, found)
    resp.set_header("Location", to)
