"""A process that uses the storage, the states that its restart may read, and the scenarios of the storage tests."""

from pathlib import Path

import msgspec
from msgspec.structs import replace

from mallowvalve.storage import disk as disk_module
from mallowvalve.storage.disk import Folder
from mallowvalve.storage.log import DiskLog
from tests.power import ROOT, PowerLossFileSystem


class StoredState(msgspec.Struct, frozen=True):
    """The state that a start reads."""

    id: str
    snapshot: tuple[bytes, ...] | None = None
    batches: tuple[bytes, ...] = ()


class StorageProcess:
    """A process on a simulated file system.

    `allowed_states` are the states that the next start may read, and `current_states` those that the log may continue
    from: usually one state, but more after a failed operation, whose effect is undetermined.
    """

    def __init__(self, rng):
        self.rng = rng
        self.system = PowerLossFileSystem(rng)
        self.count = 0
        self.folder = self.log = None
        self.stored = []
        self.current_states = self.allowed_states = {StoredState("id0")}

    def fresh(self):
        self.count += 1
        return b"%d" % self.count * self.rng.choice((1, 40))

    def start(self):
        """Opens the folder and checks that the state is allowed; the first start may be interrupted and repeated."""
        self.folder = Folder(Path(ROOT)).__enter__()
        opened = DiskLog.open(self.folder, "f", "id0")
        assert opened.is_ok(), opened.err_value
        self.log = opened.ok_value
        snapshot = tuple(self.log.snapshot) if self.log.snapshot is not None else None
        state = StoredState(self.log.identity.id, snapshot, tuple(b[0] for b in self.log.batches))
        assert state in self.allowed_states, f"{state} is not among {self.allowed_states}"
        self.current_states = self.allowed_states = {state}
        self.stored = []

    def stop(self, power):
        """Kills the process, together with a power loss if `power` is set."""
        self.folder = self.log = None
        self.system.dead = False
        if power:
            self.system.lose_power()
        else:
            self.system.kill_process()

    def save(self):
        batch = self.fresh()
        after = {replace(s, batches=(*s.batches, batch)) for s in self.current_states}
        self._apply(after, lambda: self.log.save([batch]), replaces=False)

    def store_snapshot(self):
        name, snapshot = self.log.reserve_snapshot(), [self.fresh(), self.fresh()]
        self.log.store_snapshot(name, snapshot)
        self.stored.append((name, snapshot))

    def switch(self, at=-1):
        if not self.stored:
            self.store_snapshot()
        name, snapshot = self.stored.pop(at)
        first = self.fresh()
        after = {StoredState(s.id, tuple(snapshot), (first,)) for s in self.current_states}
        self._apply(after, lambda: self.log.start_from_snapshot(name, snapshot, [first]))

    def drop_snapshot(self):
        if self.stored:
            self.log.drop_snapshot(self.stored.pop()[0])

    def wipe(self):
        self.count += 1
        new_id = f"id{self.count}"
        self.stored = []
        self._apply({StoredState(new_id)}, lambda: self.log.wipe(new_id))

    def _apply(self, after, operation, replaces=True):
        """Runs an operation that leads to the states `after`.

        After an error, its effect may be present or not; if it replaces the log, the process may continue from it.
        """
        before, allowed = self.current_states, self.allowed_states
        self.allowed_states = allowed | after
        self.current_states = before | after if replaces else before
        operation()
        self.current_states = self.allowed_states = after


def install_file_system(monkeypatch, process):
    monkeypatch.setattr(disk_module, "os", process.system)


def save_and_switch(process):
    process.save()
    process.switch()
    process.save()


SCENARIOS = {
    "saves": (StorageProcess.save, StorageProcess.save, StorageProcess.save),
    "snapshots": (
        StorageProcess.save,
        StorageProcess.switch,
        StorageProcess.save,
        StorageProcess.switch,
        StorageProcess.save,
    ),
    "an obsolete snapshot": (
        StorageProcess.switch,
        StorageProcess.store_snapshot,
        StorageProcess.store_snapshot,
        StorageProcess.save,
        lambda process: process.switch(0),
        StorageProcess.save,
        lambda process: process.switch(0),
        StorageProcess.save,
    ),
    "a dropped snapshot": (
        StorageProcess.switch,
        StorageProcess.store_snapshot,
        StorageProcess.save,
        StorageProcess.drop_snapshot,
        StorageProcess.save,
    ),
    "a wipe": (
        StorageProcess.save,
        StorageProcess.switch,
        StorageProcess.save,
        StorageProcess.wipe,
        StorageProcess.save,
        StorageProcess.switch,
        StorageProcess.save,
    ),
    "consecutive wipes": (
        StorageProcess.switch,
        StorageProcess.store_snapshot,
        StorageProcess.wipe,
        StorageProcess.wipe,
        StorageProcess.switch,
        StorageProcess.save,
    ),
}


def run(process, operations, tries=3):
    """Runs a scenario. Retries an operation that the disk refused; with a single try, the next operation follows."""
    for operation in operations:
        for _ in range(tries):
            try:
                operation(process)
                break
            except OSError:
                process.system.full = False
