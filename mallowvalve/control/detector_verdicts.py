"""Passes the failure detector's verdicts on the members to the core of the process that leads."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import gevent

from mallowvalve.control.core import Core
from mallowvalve.membership.task import MembershipTask
from mallowvalve.membership.wire import FAILED, LEFT
from mallowvalve.types import Address

POLL_INTERVAL_S = 0.25


def report_detector_verdicts(
    core: Core, membership: MembershipTask, post: Callable[[Callable[[float], object]], None]
) -> None:
    """Reports, without an end, which members the detector finds failed, and which addresses others have.

    `post` queues a function for the loop of the core, which calls it with the time (s).
    """
    while True:
        gevent.sleep(POLL_INTERVAL_S)
        raft = core.raft
        if raft is None or not raft.leads:
            continue
        view = membership.membership.view
        records = [view[address] for address in raft.log.configuration.members().values() if address in view]
        departed = {record.addr: record.boot for record in records if record.state in (FAILED, LEFT)}
        reassigned = {record.addr for record in records if record.role != "control"}
        post(partial(_update, core, departed, reassigned))


def _update(core: Core, departed: dict[Address, int], reassigned: set[Address], _now: float) -> None:
    core.members.update_detector_verdicts(departed, reassigned)
