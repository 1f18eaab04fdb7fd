"""A member that runs the whole control plane: Raft, replicated state, sessions, leases and reconfiguration."""

from __future__ import annotations

import contextlib

import msgspec
from msgspec.structs import replace

from mallowvalve.control import store
from mallowvalve.control.core import Core
from mallowvalve.control.outcome import Code
from mallowvalve.control.snapshot import decode_snapshot, initial_snapshot
from mallowvalve.control.wire import CommandResponse, ProcessStatus
from mallowvalve.raft.messages import ClusterConfiguration, Envelope, GroupId, InstallSnapshot, Message, RaftSnapshot
from mallowvalve.raft.raft import Raft
from mallowvalve.settings import Acks
from mallowvalve.storage.log import DiskLog
from mallowvalve.types import Address, Locality, Revision
from verification.disk import PowerLossDisk
from verification.identity import digest
from verification.member import FLEET, TIMINGS, AnsweredRead, SentMessages, SimulatedMember

ACKS = Acks(settings="commit", coordination="commit")
LOCALITY = Locality("region", "zone")
HOST = "10.0.0.1"
FIRST_PORT = 7001
ROLE = "control"


class CommandReply(msgspec.Struct, frozen=True):
    """The response of a member to a frame of a client's call."""

    call: int
    frame: int
    unheard: bool
    response: CommandResponse


class OfferedFrame(msgspec.Struct, frozen=True):
    """The token that identifies an offered frame in its reply."""

    call: int
    frame: int
    unheard: bool


class ReadFloor(msgspec.Struct, frozen=True):
    """The token of a read: the highest index that was acknowledged when the read started."""

    index: int


class AppliedControlState:
    """The applied state for the checks: its index, and a digest of all effects of calls."""

    __slots__ = ("index", "history")

    def __init__(self, core: Core):
        """Summarizes the state that `core` has applied."""
        state = core.state
        self.index = state.index
        rows = sorted((key, kept.outcome) for key, kept in state.sessions.rows.items())
        events = list(state.coordination.events)
        self.history = digest(
            [state.clock, sorted(state.coordination.keys.items()), events, rows, state.sessions.times]
        )


class ControlMember(SimulatedMember):
    """Runs a `Core` over the disk log; the cluster takes `replies` and delivers them to the clients."""

    __slots__ = ("core", "replies", "boot")

    @staticmethod
    def founding_snapshot(group: GroupId, voters: ClusterConfiguration) -> RaftSnapshot:
        """Returns the snapshot that all members start from."""
        return initial_snapshot(group, voters, None)

    @classmethod
    def locality_of(cls, name: str) -> Locality:
        """Returns the place of a member: the same for all."""
        return LOCALITY

    def _start(self, disk: PowerLossDisk) -> None:
        self.disk_log = DiskLog.open(disk, FLEET, self.id).unwrap()
        loaded = store.load(self.disk_log).unwrap()
        self.core = Core(self.id, address(self.id), self.locality_of(self.id), self.rng, ACKS, TIMINGS)
        self.core.start(loaded.snapshot, loaded.hard, loaded.entries, self.now)
        self.raft: Raft = self.core.raft
        self.highest_applied, self.pending_save, self.configuration_before_step = 0, None, None
        self.acknowledged_indexes, self.read_answers = [], []
        self.replies: list[CommandReply] = []
        self._cached_state_key = None
        self._note_durable(loaded.hard)
        self._update_applied_state()

    def step(self, act=lambda raft: None) -> SentMessages:
        """Runs an action on the state machine and returns the messages that don't wait for the disk."""
        self.begin_step()
        act(self.raft)
        self.core.tick(self.now)
        ready = self.core.ready(self.now)
        if ready.hard_state is None and not ready.entries and ready.snapshot is None:
            return ready.before_save + self._finish_step(ready)
        self.pending_save = ready, self.raft.hard_state()
        return ready.before_save

    def receive(self, sender: str, message: Message) -> SentMessages:
        """Processes a message; decodes the state of a snapshot beforehand, as the daemon does."""
        if (
            isinstance(message, InstallSnapshot)
            and message.snapshot.state
            and message.snapshot.index > self.raft.commit_index
        ):
            snapshot = message.snapshot
            self.core.keep_fetched_state(snapshot, decode_snapshot(snapshot.state, snapshot.group.generation))
        envelope = Envelope(self.raft.group, sender, self.id, address(sender), message)
        return self.step(lambda raft: self.core.receive(envelope, self.now))

    def offer_frame(self, data: bytes, frame: OfferedFrame, limit: float) -> SentMessages:
        """Processes a frame of a call; `limit` is the time at which its answer is given up (s)."""
        return self.step(lambda raft: self.core.propose(data, frame, limit, self.now))

    def read(self, floor: int) -> SentMessages:
        """Starts a confirmed read; `floor` is the highest index acknowledged so far."""
        return self.step(lambda raft: self.core.read(ReadFloor(floor), float("inf"), self.now))

    def receive_status(self, process_status: ProcessStatus) -> SentMessages:
        """Processes the status of another member."""
        return self.step(lambda raft: self.core.announced(process_status, self.now))

    def process_status(self, leaving: bool) -> ProcessStatus:
        """Returns the status that this member announces."""
        return replace(self.core.process_status(ROLE, []), leaving=leaving)

    def compact(self) -> None:
        """Writes a snapshot of the state and starts the log anew from it."""
        head, pieces = self.core.snapshot()
        snapshot = replace(head, state=list(pieces))
        tail = [entry for entry in self.raft.log.entries if entry.index > snapshot.index]
        store.restart_log(self.disk_log, snapshot, store.encode_log_head(self.raft.hard_state(), tail))
        self.core.compact(snapshot)
        self._note_durable(self.raft.hard_state())

    def may_answer_watches(self) -> bool:
        """Returns whether the member would answer watches from its local state."""
        return self.core.current(self.now)

    def _finish_step(self, ready) -> SentMessages:
        self.core.saved(ready, self.now)
        self._update_applied_state()
        replies, self.core.replies = self.core.replies, []
        for token, response in replies:
            if isinstance(token, OfferedFrame):
                self.replies.append(CommandReply(token.call, token.frame, token.unheard, response))
            elif response.code == Code.OK:
                self.read_answers.append(AnsweredRead(token.index, Revision(response.revision).index))
        return ready.after_save

    def _update_applied_state(self) -> None:
        with contextlib.suppress(AttributeError):
            if self.applied.index == self.core.state.index:
                return
        self.applied = AppliedControlState(self.core)
        self.highest_applied = max(self.highest_applied, self.applied.index)


def address(name: str) -> Address:
    """Returns the address of a member, derived from the number in its name."""
    return Address(HOST, FIRST_PORT + int(name[1:]))
