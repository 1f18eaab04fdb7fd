"""Runs `Replica` in a daemon: follows the leader, and searches for newer settings while there is none."""

from __future__ import annotations

import random
import secrets

import gevent
from gevent.event import Event
from gevent.queue import Empty, Queue
from result import Err, Result

from mallowvalve import clock
from mallowvalve.configuration.build import build_document
from mallowvalve.configuration.model import Tree
from mallowvalve.control import wire
from mallowvalve.control.confirmation import Confirmation
from mallowvalve.control.outcome import RETRYABLE, Code
from mallowvalve.control.replica import DEFAULT_MAX_WAIT_S, Replica
from mallowvalve.control.sessions import Session, SessionCall
from mallowvalve.control.snapshot_fetch import BASE_SNAPSHOT, CURRENT_SNAPSHOT, SETTINGS_SNAPSHOT, SnapshotExchange
from mallowvalve.control.snapshot_transfer import SnapshotLabel
from mallowvalve.control.state import Change, decode_command, is_command
from mallowvalve.finding import Findings
from mallowvalve.metrics import log_event
from mallowvalve.node import Node
from mallowvalve.raft.messages import COMMAND, Entry
from mallowvalve.supervision import exit_on_failure, restart_on_failure
from mallowvalve.types import Address

REVISION_QUERY_INTERVAL_S = 0.3
MAX_REVISION_QUERY_TARGETS = 3
LEADER_SEARCH_TIMEOUT_S = 0.8
MAX_LEADER_SEARCH_TARGETS = 3
RESPONSE_GRACE_S = 0.6
"""How long a response may take beyond the time for which the leader may delay it."""
AVOID_UNRESPONSIVE_S = 1.0
SETTINGS_SEARCH_INTERVAL_S = 1.0
INITIAL_FETCH_DELAY_S = 0.02
INITIAL_RETRY_DELAY_S = 0.1
INITIAL_FURTHER_ANSWERS_S = 0.05
"""How long a start waits for further answers after the first process that has settings."""
STATUS_QUERY_TIMEOUT_S = 0.4
SERVE_ON_MAX_WAIT_S = 1.0
LARGE_DOC_BYTES = 32768
ATTEMPT_TIMEOUT_S = 0.8


class ReplicaTask:
    """Owns a `Replica` and follows the leader while the context is open."""

    __slots__ = (
        "node",
        "replica",
        "snapshot_exchange",
        "_jobs",
        "_rng",
        "_fetching",
        "_last_responder",
        "_unresponsive_until",
        "_last_settings_search_at",
        "settings_available",
        "_session",
        "confirmation",
    )

    def __init__(self, node: Node):
        """Creates the task of the node and registers its transport handlers and gauges."""
        self.node = node
        settings = node.settings
        max_wait_s = SERVE_ON_MAX_WAIT_S if settings.serve_on else DEFAULT_MAX_WAIT_S
        self.replica = Replica(
            settings.transport,
            node.boot,
            settings.role,
            settings.locality,
            self._log_settings,
            settings.holds,
            max_wait_s,
        )
        self._rng = random.Random()
        self._fetching = False
        self.snapshot_exchange = SnapshotExchange(
            node.transport, self.replica.snapshot, settings=self.replica.settings_snapshot
        )
        self._last_responder: Address | None = None
        self._unresponsive_until: dict[Address, float] = {}
        self._last_settings_search_at = -1e9
        self._session = Session(lambda: secrets.randbits(64))
        self.settings_available = Event()
        self.confirmation = Confirmation(self.replica, self._request_entries, self._handle_response)
        on = node.transport.on
        on(
            "round",
            lambda _, body: wire.encode(self.replica.answer_revision_query(wire.decode_revision_query(body))),
            inline=True,
        )
        on("who", lambda _, body: wire.encode(self._process_status()), inline=True)
        node.gauge("revision", lambda: self.replica.revision)
        node.gauge("held_index", lambda: self.replica.state.index if self.replica.state else 0)
        node.gauge("fresh", lambda: self.replica.fresh(clock.now()))
        node.set_service_filter(lambda service: service in self.tree.doc.services)

    def __enter__(self) -> ReplicaTask:
        """Starts to follow the leader."""
        counts = self.node.counts
        self._jobs = [
            exit_on_failure(gevent.spawn(self._follow)),
            restart_on_failure("revision_queries", self._query_revisions, counts),
        ]
        if self.node.settings.serve_on:
            self._jobs.append(restart_on_failure("initial_settings", self._fetch_initial_settings, counts))
        return self

    def __exit__(self, *_: object) -> None:
        """Stops the jobs."""
        gevent.killall(self._jobs)

    @property
    def tree(self) -> Tree:
        """The configuration that requests are routed by."""
        return self.replica.tree

    def admits(self) -> bool:
        """Whether requests may be admitted by the settings held."""
        return self.replica.admits(clock.now())

    def control(self) -> Address | None:
        """Returns the control process to ask: the leader, or another one; None if none is known."""
        if self.replica.leader is not None:
            return self.replica.leader
        return next(iter(self._control_processes()), None)

    def _control_processes(self) -> list[Address]:
        """Returns the control processes and the seeds, as membership may be empty yet; unresponsive ones come last."""
        alive = [record.addr for record in self.node.membership.alive("control")]
        seeds = [address for address in self.node.settings.seeds if address not in alive]
        for addresses in (alive, seeds):
            self._rng.shuffle(addresses)
        now = clock.now()
        return sorted([*alive, *seeds], key=lambda address: self._unresponsive_until.get(address, now) > now)

    def offer(self, command: bytes, limit: float) -> wire.CommandResponse:
        """Offers a command until `limit` (s) in short attempts, as the machine of a dead leader doesn't respond."""
        end = clock.now() + limit
        call = SessionCall(self._session, command, end)
        while (left := end - clock.now()) > 0:
            to = self.control()
            if to is None:
                gevent.sleep(min(0.05, left))
                continue
            left = min(left, ATTEMPT_TIMEOUT_S)
            data = call.encoded_command(self.replica.clock(now := clock.now()), now)
            body = wire.encode(wire.CommandRequest(data, left))
            reply = self.node.transport.request(to, "offer", body, left, wire.decode_command_response)
            if isinstance(reply, Err):
                call.on_response(wire.CommandResponse(Code.UNDECIDED), clock.now())
                self._avoid(to)
                gevent.sleep(min(0.05, left))
                continue
            response = call.on_response(reply.ok_value, clock.now())
            if response.code not in RETRYABLE:
                return call.final_response(response, RETRYABLE)
            self.replica.leader = response.leader
            gevent.sleep(min(0.05, left))
        return wire.CommandResponse(Code.UNDECIDED)

    def _avoid(self, address: Address) -> None:
        """Avoids an unresponsive process for a while, and no longer takes it for the leader."""
        if self.replica.leader == address:
            self.replica.leader = None
        now = clock.now()
        unresponsive = {other: until for other, until in self._unresponsive_until.items() if until > now}
        self._unresponsive_until = unresponsive | {address: now + AVOID_UNRESPONSIVE_S}

    def _log_settings(self, built: Result[Tree, Findings]) -> None:
        if isinstance(built, Err):
            found = [str(problem) for problem in built.err_value]
            log_event("snapshot_not_understood", revision=self.replica.revision, findings=found)
            return
        self.node.counts.add("snapshots")
        state = self.replica.state
        evacuated = sorted(state.settings.evacuated) if state is not None else []
        log_event("settings_in_use", revision=self.replica.revision, evacuated=evacuated)

    def _process_status(self) -> wire.ProcessStatus:
        settings, replica = self.node.settings, self.replica
        return wire.ProcessStatus(
            settings.role,
            "",
            settings.transport,
            settings.locality,
            settings.seeds,
            replica.state is None,
            replica.group,
            replica.state.index if replica.state else 0,
            replica.voters,
            replica.leader,
            replica.scope == "all",
        )

    def _follow(self) -> None:
        while True:
            to = self.replica.leader
            if to is None:
                self._find_leader()
                continue
            max_wait_s = self.replica.max_wait_s if to == self._last_responder else 0.0
            response = self._request_entries(to, max_wait_s, max_wait_s + RESPONSE_GRACE_S)
            if response is None:
                self._avoid(to)
                continue
            self._handle_response(to, response)
            if response.group is None:
                gevent.sleep(0.05 if response.leader in (None, to) else 0.01)

    def _request_entries(self, to: Address, max_wait_s: float, limit: float) -> wire.ReplicationResponse | None:
        request = self.replica.replication_request(clock.now(), max_wait_s)
        body = wire.encode(request)
        return self.node.transport.request(to, "want", body, limit, wire.decode_replication_response).ok()

    def _handle_response(self, sender: Address, response: wire.ReplicationResponse) -> None:
        prebuild_trees(large_docs(response.entries))
        self.replica.receive_response(response, clock.now())
        self._note_settings()
        if response.group is None:
            return
        self._last_responder = sender
        what = SETTINGS_SNAPSHOT if self.replica.scope == "settings" else BASE_SNAPSHOT
        if response.needs_snapshot and not self._fetch(sender, what):
            gevent.sleep(0.05)

    def ask_for_confirmation(self) -> bool:
        """Asks several control processes to confirm the held state; returns whether a question is under way."""
        return self.confirmation.ask(self._control_processes()[:MAX_LEADER_SEARCH_TARGETS])

    def _find_leader(self) -> None:
        """Asks a few control processes in parallel; the first to name a leader that is not unresponsive decides."""
        responses: Queue = Queue()
        asked = self._control_processes()[:MAX_LEADER_SEARCH_TARGETS]
        for address in asked:
            gevent.spawn(
                lambda address=address: responses.put(
                    (address, self._request_entries(address, 0.0, LEADER_SEARCH_TIMEOUT_S))
                )
            )
        for _ in asked:
            try:
                address, response = responses.get(timeout=LEADER_SEARCH_TIMEOUT_S + 0.1)
            except Empty:
                break
            if response is None:
                self._avoid(address)
            elif response.group is not None and not self.replica.is_older_generation(response.group):
                return self._handle_response(address, response)
            elif response.leader is not None and self._unresponsive_until.get(response.leader, -1e9) < clock.now():
                self.replica.leader = response.leader
                return
        if self.node.settings.serve_on:
            self._search_settings()
        gevent.sleep(0.1)

    def _fetch_initial_settings(self) -> None:
        """Fetches the newest settings that any process has, without waiting for unresponsive ones.

        The retry delay doubles, since the whole fleet asks where no process has settings.
        """
        gevent.sleep(INITIAL_FETCH_DELAY_S)
        delay = INITIAL_RETRY_DELAY_S
        while not self.settings_available.is_set():
            self._fetch_newest(INITIAL_FURTHER_ANSWERS_S)
            self.settings_available.wait(timeout=delay)
            delay = min(2 * delay, SETTINGS_SEARCH_INTERVAL_S)

    def _search_settings(self) -> None:
        """Fetches newer settings from a control process or another replica while there is no leader."""
        now = clock.now()
        if now - self._last_settings_search_at < SETTINGS_SEARCH_INTERVAL_S:
            return
        self._last_settings_search_at = now
        self._fetch_newest(None)

    def _fetch_newest(self, wait: float | None) -> None:
        """Fetches the newest state of all processes that answer, or that do within `wait` (s) of the first state."""
        proxies = [record.addr for record in self.node.membership.alive("proxy") if record.addr != self.replica.addr]
        controls = self._control_processes()[: 2 * MAX_LEADER_SEARCH_TARGETS]
        sample = self._rng.sample(proxies, min(len(proxies), MAX_LEADER_SEARCH_TARGETS))
        statuses = self._query_statuses([*controls, *sample], wait)
        for status in sorted(statuses, key=lambda status: (status.generation, status.index), reverse=True):
            if status.group is None:
                continue
            label = SnapshotLabel(status.group, status.index, 0, status.configuration, 0)
            if self.replica.is_behind(label) and self._fetch(status.addr, self._current_state_kind):
                return

    def _query_statuses(self, to: list[Address], wait: float | None) -> list[wire.ProcessStatus]:
        replies: Queue = Queue()
        for address in to:
            gevent.spawn(
                lambda address=address: replies.put(
                    self.node.transport.request(address, "who", b"", STATUS_QUERY_TIMEOUT_S, wire.decode_status)
                )
            )
        statuses: list[wire.ProcessStatus] = []
        end = clock.now() + STATUS_QUERY_TIMEOUT_S + 0.1
        for _ in to:
            try:
                reply = replies.get(timeout=max(0.001, end - clock.now()))
            except Empty:
                break
            status = reply.ok()
            if status is None or status.group is None or status.voters is None:
                continue
            if not statuses and wait is not None:
                end = min(end, clock.now() + wait)
            statuses.append(status)
        return statuses

    def _note_settings(self) -> None:
        state = self.replica.state
        if state is not None and state.items.revision:
            self.settings_available.set()

    @property
    def _current_state_kind(self) -> bytes:
        return SETTINGS_SNAPSHOT if self.replica.scope == "settings" else CURRENT_SNAPSHOT

    def _fetch(self, address: Address, what: bytes) -> bool:
        pulled = self.snapshot_exchange.fetch(address, what, self.replica.is_behind)
        if isinstance(pulled, Err):
            return False
        snapshot, state = pulled.ok_value
        prebuild_trees([state.settings.doc] if len(state.settings.doc) > LARGE_DOC_BYTES else [])
        self.replica.install(snapshot, state)
        self._note_settings()
        return True

    def _query_revisions(self) -> None:
        """Asks other replicas for their revision while the leader is silent."""
        while True:
            gevent.sleep(REVISION_QUERY_INTERVAL_S)
            now = clock.now()
            if not self.replica.leader_is_silent(now):
                continue
            query = self.replica.revision_query(now)
            if query is None:
                continue
            body = wire.encode(query)
            others = [address for address in self.replica.roster() if address != self.replica.addr]
            if self.node.settings.serve_on:
                others = self._rng.sample(others, min(len(others), MAX_REVISION_QUERY_TARGETS))
            for address in others:
                gevent.spawn(self._query_revision, address, body)

    def _query_revision(self, address: Address, body: bytes) -> None:
        reply = self.node.transport.request(address, "round", body, 1.0, wire.decode_revision_reply)
        if isinstance(reply, Err) or not self.replica.receive_revision_reply(reply.ok_value):
            return
        if self._fetching:
            return
        self._fetching = True
        try:
            self._fetch(address, self._current_state_kind)
        finally:
            self._fetching = False


def large_docs(entries: list[Entry]) -> list[bytes]:
    """Returns the configuration documents among the entries that take long to parse."""
    datas = [entry.data for entry in entries if entry.kind == COMMAND and len(entry.data) > LARGE_DOC_BYTES]
    return [command.doc for command in map(decode_command, filter(is_command, datas)) if isinstance(command, Change)]


def prebuild_trees(docs: list[bytes]) -> None:
    """Builds large trees in the thread pool, so that the event loop later finds their parts cached."""
    for doc in docs:
        gevent.get_hub().threadpool.apply(build_document, (doc,))
