"""Injected faults of the control plane: each removes one protection of sessions, not-after times or leases."""

from __future__ import annotations

from typing import Any

from msgspec.structs import replace

from mallowvalve.control import lease, reconfiguration
from mallowvalve.control.core import Core
from mallowvalve.control.outcome import Code, Outcome
from mallowvalve.control.sessions import Origin, SessionOutcome, Sessions
from mallowvalve.raft.contact import QuorumContact
from mallowvalve.raft.messages import AppendEntries
from mallowvalve.raft.raft import Raft
from verification.bounds import RANDOM_WALK, UNBOUNDED
from verification.control_cluster import ControlCluster
from verification.faults import STALE_READ, STATE_MACHINE_SAFETY, Fault
from verification.region_cluster import REGION_PATH_STEPS, REGION_WEIGHTS, RegionCluster

CONTROL_BOUNDS = replace(RANDOM_WALK, shared_clock=True, passes=UNBOUNDED)
WATCHING_BOUNDS = replace(CONTROL_BOUNDS, crashes=0, compactions=0, reads=0, repeats=0)
CALLING_BOUNDS = replace(CONTROL_BOUNDS, reads=0, repeats=0)
REGION_BOUNDS = replace(CONTROL_BOUNDS, spares=1, greetings=UNBOUNDED, outages=UNBOUNDED)
AT_MOST_ONCE = "once"
UNEVEN_VOTERS = "uneven voters"
NO_MAJORITY = "no majority"
NOT_AFTER = "not after"
STALE_WATCH = "stale watch"
NO_WATCH_LAG = ((lease, "MAX_WATCH_LAG_ENTRIES", 0),)
"""Permits a watch no lag, so that the short logs of a random walk show the violations that long logs would."""

_original_judge = Sessions.deduplicate
_original_on_append_entries = Raft._on_append_entries


def _discard_outcome(sessions: Sessions, origin: Origin, outcome: Outcome) -> None:
    """Stores no outcome."""


def _discard_rows(sessions: Sessions, rows: list[SessionOutcome]) -> None:
    """Takes over no outcomes from a snapshot."""


def _ignore_not_after(sessions: Sessions, origin: Origin, at: int) -> Outcome | Code | None:
    """Judges a late command as if it had arrived in time."""
    if (origin.session, origin.number) in sessions.rows:
        return _original_judge(sessions, origin, at)
    return _original_judge(sessions, replace(origin, not_after=max(sessions.latest, at)), at)


def _count_contact_from_arrival(contact: QuorumContact, confirmed_stamp: float, now: float) -> None:
    """Counts quorum contact from the arrival of the leader's message, not from the question."""
    contact.confirmed_at = now


def _commit_index_from_matching_appends(raft: Raft, sender: str, message: AppendEntries, now: float) -> None:
    """Learns the commit index only from an append that matches the log.

    Quorum contact still counts from every append.
    """
    previous = raft.known_commit_index
    _original_on_append_entries(raft, sender, message, now)
    if not raft._after_save[-1][1].ok:
        raft.known_commit_index = previous


def _contact_is_now(raft: Raft) -> float:
    """Reports permanent contact with a quorum, at a leader and at a follower."""
    return raft._now


def _current_in_any_term(core: Core, now: float) -> bool:
    """Serves watches from a state of an earlier term."""
    return (
        core.may_answer(lease.AnswerKind.WATCH, now)
        and core.state.index + lease.MAX_WATCH_LAG_ENTRIES >= core.raft.known_commit_index
    )


def _leads_before_applying(core: Core) -> bool:
    """Answers as leader before all entries that earlier leaders acknowledged are applied."""
    return core.raft is not None and core.raft.leads


def _no_exchange(*_args: object) -> None:
    """Finds no exchange of voters for the better."""


def _fault(
    name: str, expected_failures: tuple[str, ...], *patches: tuple[Any, str, Any], bounds=CALLING_BOUNDS
) -> Fault:
    return Fault(name, expected_failures, patches=patches, bounds=bounds, cluster_class=ControlCluster)


CONTROL_FAULTS = (
    _fault("outcomes kept by session and number", (AT_MOST_ONCE,), (Sessions, "store_outcome", _discard_outcome)),
    _fault(
        "sessions in the snapshot", (STATE_MACHINE_SAFETY, AT_MOST_ONCE), (Sessions, "restore_outcomes", _discard_rows)
    ),
    _fault("no effect after the not-after", (NOT_AFTER,), (Sessions, "deduplicate", _ignore_not_after)),
    _fault(
        "contact counted from the question",
        (STALE_WATCH,),
        (QuorumContact, "record_echo", _count_contact_from_arrival),
        *NO_WATCH_LAG,
        bounds=WATCHING_BOUNDS,
    ),
    _fault(
        "what is decided heard from every append",
        (STALE_WATCH,),
        (Raft, "_on_append_entries", _commit_index_from_matching_appends),
        *NO_WATCH_LAG,
        bounds=WATCHING_BOUNDS,
    ),
    _fault(
        "watches only while in touch",
        (STALE_WATCH,),
        (Raft, "last_quorum_contact", _contact_is_now),
        *NO_WATCH_LAG,
        bounds=WATCHING_BOUNDS,
    ),
    _fault(
        "watches from a state of the term",
        (STALE_WATCH,),
        (Core, "current", _current_in_any_term),
        *NO_WATCH_LAG,
        bounds=WATCHING_BOUNDS,
    ),
    _fault(
        "a leader answers once it has applied all",
        (STALE_READ,),
        (Core, "leads", property(_leads_before_applying)),
        bounds=CONTROL_BOUNDS,
    ),
)

REGION_FAULTS = (
    Fault(
        "voters are spread again after a loss",
        (UNEVEN_VOTERS, NO_MAJORITY),
        patches=((reconfiguration, "better_exchange", _no_exchange),),
        bounds=REGION_BOUNDS,
        cluster_class=RegionCluster,
        length=REGION_PATH_STEPS,
        weights=REGION_WEIGHTS,
    ),
)
