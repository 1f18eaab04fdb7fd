"""A process over the storage, what a start of it may show, and what it does in the storage's tests."""

from pathlib import Path

import msgspec
from msgspec.structs import replace

from mallowvalve.storage import disk as disk_module
from mallowvalve.storage.disk import Folder
from mallowvalve.storage.log import DiskLog
from tests.power import ROOT, PowerSystem


class Shown(msgspec.Struct, frozen=True):
    """What a start shows."""

    id: str
    snapshot: tuple[bytes, ...] | None = None
    batches: tuple[bytes, ...] = ()


class Machine:
    """A process over the file system, and what a start may show: what it goes on from, or what was under way."""

    def __init__(self, rng):
        self.rng = rng
        self.system = PowerSystem(rng)
        self.n = 0
        self.folder = self.log = None
        self.stored = []
        self.live = self.shown = {Shown("id0")}

    def fresh(self):
        self.n += 1
        return b"%d" % self.n * self.rng.choice((1, 40))

    def start(self):
        """Opens the folder; a new machine's first start may be cut short and come again."""
        self.folder = Folder(Path(ROOT)).__enter__()
        opened = DiskLog.open(self.folder, "f", "id0")
        assert opened.is_ok(), opened.err_value
        self.log = opened.ok_value
        snapshot = tuple(self.log.snapshot) if self.log.snapshot is not None else None
        seen = Shown(self.log.identity.id, snapshot, tuple(b[0] for b in self.log.batches))
        assert seen in self.shown, f"{seen} is none of {self.shown}"
        self.live = self.shown = {seen}
        self.stored = []

    def stop(self, power):
        """Ends the process at once, and the machine's power with it or not."""
        self.folder = self.log = None
        self.system.dead = False
        if power:
            self.system.lose_power()
        else:
            self.system.kill()

    def save(self):
        batch = self.fresh()
        after = {replace(s, batches=(*s.batches, batch)) for s in self.live}
        self._do(after, lambda: self.log.save([batch]), changes=False)

    def store(self):
        name, snapshot = self.log.reserve_snapshot(), [self.fresh(), self.fresh()]
        self.log.store_snapshot(name, snapshot)
        self.stored.append((name, snapshot))

    def turn(self, at=-1):
        if not self.stored:
            self.store()
        name, snapshot = self.stored.pop(at)
        head = self.fresh()
        after = {Shown(s.id, tuple(snapshot), (head,)) for s in self.live}
        self._do(after, lambda: self.log.start_from_snapshot(name, snapshot, [head]))

    def drop(self):
        if self.stored:
            self.log.drop_snapshot(self.stored.pop()[0])

    def wipe(self):
        self.n += 1
        new = f"id{self.n}"
        self.stored = []
        self._do({Shown(new)}, lambda: self.log.wipe(new))

    def _do(self, after, act, changes=True):
        """What was under way when an error came may be there or not; a turn or wipe may also be what is gone on from."""
        before, was = self.live, self.shown
        self.shown = was | after
        self.live = before | after if changes else before
        act()
        self.live = self.shown = after


def use(monkeypatch, m):
    monkeypatch.setattr(disk_module, "os", m.system)


def calm(m):
    m.save()
    m.turn()
    m.save()


SCENARIOS = {
    "saves": (Machine.save, Machine.save, Machine.save),
    "turns": (Machine.save, Machine.turn, Machine.save, Machine.turn, Machine.save),
    "a snapshot that was overtaken": (
        Machine.turn,
        Machine.store,
        Machine.store,
        Machine.save,
        lambda m: m.turn(0),
        Machine.save,
        lambda m: m.turn(0),
        Machine.save,
    ),
    "a snapshot that is dropped": (Machine.turn, Machine.store, Machine.save, Machine.drop, Machine.save),
    "a wipe": (Machine.save, Machine.turn, Machine.save, Machine.wipe, Machine.save, Machine.turn, Machine.save),
    "wipes in a row": (Machine.turn, Machine.store, Machine.wipe, Machine.wipe, Machine.turn, Machine.save),
}


def run(m, acts, tries=3):
    """Plays a scenario. The daemon does again what the disk refused; with one try something else is done next."""
    for act in acts:
        for _ in range(tries):
            try:
                act(m)
                break
            except OSError:
                m.system.full = False
