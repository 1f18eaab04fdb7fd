"""Redirects clients from a control process without contact to a majority to one that has contact (307)."""

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
    """Returns a random other control process that reports contact to a majority (`ready`), preferably not the leader.

    The process that is known here as the leader did not renew the lease, so it may be partitioned as well.
    """
    ready = [record for record in controls if record.state == ALIVE and record.ready and record.addr != me]
    return random.choice([record for record in ready if record.addr != leader] or ready) if ready else None


def redirect_location(task: ControlTask, req: falcon.Request) -> str | None:
    """Returns the Location for this request, or None if there is no target.

    A request that was redirected before is not redirected again, so that two processes without contact to a majority
    don't redirect it in a loop.
    """
    membership = task.node.membership
    if req.get_param(REDIRECTED_PARAMETER) is not None:
        return None
    target = choose_control_process(membership.alive("control"), membership.membership.me.addr, task.core.leader())
    if target is None:
        return None
    return f"http://{target.web}{req.path}?" + "&".join(filter(None, (req.query_string, f"{REDIRECTED_PARAMETER}=1")))


def reject_out_of_touch(
    task: ControlTask, req: falcon.Request, resp: falcon.Response, outcome: str = web.UNDECIDED
) -> None:
    """Responds with 307 to a control process that has contact, else with 503 and the time after which to retry."""
    found = [Finding("control", "out of touch with a majority: not confirmed, safe to repeat")]
    location = redirect_location(task, req)
    if location is None:
        return web.reject(resp, 503, outcome, found, lease.retry_after(task.core.leader() is not None))
    web.reject(resp, 307, outcome, found)
    resp.set_header("Location", location)
