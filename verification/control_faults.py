"""Protections of the control machine taken out one at a time: sessions, not-after, leases."""

from __future__ import annotations

from typing import Any

from msgspec.structs import replace

from mallowvalve.control import lease
from mallowvalve.control.core import Core
from mallowvalve.control.outcome import Code, Outcome
from mallowvalve.control.sessions import Origin, SessionOutcome, Sessions
from mallowvalve.raft.contact import QuorumContact
from mallowvalve.raft.messages import AppendEntries
from mallowvalve.raft.raft import Raft
from verification.bounds import UNBOUNDED, WALK
from verification.control_cluster import ControlCluster
from verification.faults import STALE, STATE, Fault

CONTROL = replace(WALK, shared_clock=True, passes=UNBOUNDED)
WATCHING = replace(CONTROL, crashes=0, compactions=0, reads=0, repeats=0)
CALLING = replace(CONTROL, reads=0, repeats=0)
ONCE, NOT_AFTER, STALE_WATCH = "once", "not after", "stale watch"
EXACT = ((lease, "MAX_WATCH_LAG_ENTRIES", 0),)
"""With it a watch may lag by no entry, so that short logs show what long ones would."""

_judge, _on_append_entries = Sessions.deduplicate, Raft._on_append_entries


def _keep_nothing(sessions: Sessions, origin: Origin, outcome: Outcome) -> None:
    """A memory of nothing."""


def _adopt_nothing(sessions: Sessions, rows: list[SessionOutcome]) -> None:
    """A snapshot that brings no memory."""


def _never_late(sessions: Sessions, origin: Origin, at: int) -> Outcome | Code | None:
    """A judgement that takes the late for timely."""
    if (origin.session, origin.number) in sessions.rows:
        return _judge(sessions, origin, at)
    return _judge(sessions, replace(origin, not_after=max(sessions.latest, at)), at)


def _from_arrival(contact: QuorumContact, sure: float, now: float) -> None:
    """Contact that is counted from when the leader's word came."""
    contact.confirmed_at = now


def _told_by_what_fits(raft: Raft, sender: str, message: AppendEntries, now: float) -> None:
    """What is decided is heard only from an append that fits the log, contact from every one."""
    told = raft.known_commit_index
    _on_append_entries(raft, sender, message, now)
    if not raft._after_save[-1][1].ok:
        raft.known_commit_index = told


def _always_in_touch(raft: Raft) -> float:
    """A leader, or a follower, that takes itself to be in touch for ever."""
    return raft._now


def _current_in_any_term(machine: Core, now: float) -> bool:
    """Watches served from a state of an earlier term."""
    return (
        machine.may_answer(lease.AnswerKind.WATCH, now)
        and machine.state.index + lease.MAX_WATCH_LAG_ENTRIES >= machine.raft.known_commit_index
    )


def _leads_at_once(machine: Core) -> bool:
    """A leader that answers before it has applied what former ones acknowledged."""
    return machine.raft is not None and machine.raft.leads


def _fault(name: str, breaks: tuple[str, ...], *patches: tuple[Any, str, Any], bounds=CALLING) -> Fault:
    return Fault(name, breaks, patches=patches, bounds=bounds, cluster=ControlCluster)


CONTROL_FAULTS = (
    _fault("outcomes kept by session and number", (ONCE,), (Sessions, "store_outcome", _keep_nothing)),
    _fault("sessions in the snapshot", (STATE, ONCE), (Sessions, "restore_outcomes", _adopt_nothing)),
    _fault("no effect after the not-after", (NOT_AFTER,), (Sessions, "deduplicate", _never_late)),
    _fault(
        "contact counted from the question",
        (STALE_WATCH,),
        (QuorumContact, "record_echo", _from_arrival),
        *EXACT,
        bounds=WATCHING,
    ),
    _fault(
        "what is decided heard from every append",
        (STALE_WATCH,),
        (Raft, "_on_append_entries", _told_by_what_fits),
        *EXACT,
        bounds=WATCHING,
    ),
    _fault(
        "watches only while in touch",
        (STALE_WATCH,),
        (Raft, "last_quorum_contact", _always_in_touch),
        *EXACT,
        bounds=WATCHING,
    ),
    _fault(
        "watches from a state of the term",
        (STALE_WATCH,),
        (Core, "current", _current_in_any_term),
        *EXACT,
        bounds=WATCHING,
    ),
    _fault(
        "a leader answers once it has applied all", (STALE,), (Core, "leads", property(_leads_at_once)), bounds=CONTROL
    ),
)
