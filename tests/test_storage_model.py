"""The storage against a model, over a file system that loses power, is killed, is full or fails at any step."""

import os
import random
import zlib
from contextlib import suppress
from functools import partial
from itertools import product
from pathlib import Path

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule
from msgspec.structs import replace

from mallowvalve.storage import disk as disk_module
from mallowvalve.storage import log as log_module
from mallowvalve.storage.disk import Folder
from mallowvalve.storage.log import DiskLog, decode_record, encode_record
from tests.power import ROOT, PowerLossError, PowerSystem
from tests.storageplay import SCENARIOS, Machine, calm, run, use

SEEDS = 6


@pytest.fixture(autouse=True)
def under_power(monkeypatch):
    """Each machine's own file system goes under the folder when it acts."""
    monkeypatch.setattr(disk_module, "fcntl", PowerSystem)
    monkeypatch.setattr(PowerSystem, "flock", lambda *_: None)


def broken_at(scenario, at, power, seed, monkeypatch):
    """The scenario up to a step in which the process ends; whether it came to that step."""
    m = Machine(random.Random(f"{scenario}/{at}/{power}/{seed}"))
    use(monkeypatch, m)
    m.system.fail_at = at
    try:
        m.start()
        run(m, SCENARIOS[scenario])
    except PowerLossError:
        m.stop(power)
        return m, True
    m.stop(power)
    return m, False


def end_at_each_step(scenario, power, monkeypatch):
    """And the same again for what is done after that start, at its first steps and later: the power goes again."""
    for seed in range(SEEDS):
        at, more = 0, True
        while more:
            m, more = broken_at(scenario, at, power, seed, monkeypatch)
            m.system.fail_at = seed * 3 if seed % 2 else None
            with suppress(PowerLossError):
                m.start()
                m.save()
            m.stop(power=True)
            m.start()
            run(m, (calm,))
            m.stop(power=True)
            m.start()
            at += 1
        assert at > 8


def fail_at_each_step(scenario, trouble, monkeypatch, tries=3):
    """The disk is full from some act on, or one step fails; what failed is done again, or given up."""
    for seed in range(SEEDS):
        for at in range(40):
            m = Machine(random.Random(f"{scenario}/{at}/{trouble}/{seed}"))
            use(monkeypatch, m)
            m.start()
            if trouble == "full":
                run(m, SCENARIOS[scenario][: 1 + at % len(SCENARIOS[scenario])], tries)
                m.system.full = True
            else:
                m.system.error_at = at
            run(m, SCENARIOS[scenario], tries)
            m.stop(power=seed % 2 == 0)
            m.start()
            run(m, (calm,))
            m.stop(power=True)
            m.start()


@pytest.mark.parametrize("scenario", SCENARIOS)
@pytest.mark.parametrize("power", [True, False], ids=["power", "kill"])
def test_nothing_saved_is_lost_and_nothing_half_is_shown_whatever_step_is_the_last(scenario, power, monkeypatch):
    end_at_each_step(scenario, power, monkeypatch)


@pytest.mark.parametrize("scenario", SCENARIOS)
@pytest.mark.parametrize("trouble", ["full", "error"])
@pytest.mark.parametrize("tries", [1, 3])
def test_an_error_at_any_step_loses_nothing_either(scenario, trouble, tries, monkeypatch):
    fail_at_each_step(scenario, trouble, monkeypatch, tries)


def unsynced_whole(folder, path, parts):
    """The bytes of a file that is put are not safe before it has its name."""
    fd = disk_module.os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC)
    for part in parts:
        disk_module._write_all(fd, part)
    disk_module.os.close(fd)


def cut_only_shorter(folder, name, size, real=Folder.truncate):
    """What a start read is not made safe."""
    if size < len(folder.read(name)):
        real(folder, name, size)


def plain_put(folder, name, *parts):
    """A file is put by writing over it, not by a rename."""
    folder.remove(name)
    folder.append(name, b"".join(parts))
    folder.sync(name)


def no_names_at_start(folder, real=Folder.__enter__):
    """The names that a start found are not made safe."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Folder, "_sync_names", lambda _: None)
        return real(folder)


def forgets_stored(log):
    """A turn does not know which snapshots wait for their own."""
    return "snapshot-" + log._next_serial()


TAKEN_OUT = {
    "the sync of a save": (Folder, "sync", lambda *_: None),
    "the sync of names": (Folder, "_sync_names", lambda _: None),
    "the sync of names at the start": (Folder, "__enter__", no_names_at_start),
    "the sync before a rename": (Folder, "_write_whole", unsynced_whole),
    "the rename": (Folder, "put", plain_put),
    "the sync of what a start read": (Folder, "truncate", cut_only_shorter),
    "the cut of what failed": (Folder, "truncate", lambda *_: None),
    "what a put that failed may have left is taken back": (DiskLog, "_undo_failed_writes", lambda _: None),
    "the serial of an earlier life": (
        log_module,
        "_encode_identity",
        lambda i, real=log_module._encode_identity: real(replace(i, before=0)),
    ),
    "the snapshots that wait": (DiskLog, "reserve_snapshot", forgets_stored),
    "the length in the checksum": (log_module, "_checksum", zlib.crc32),
}


@pytest.mark.parametrize("what", TAKEN_OUT)
def test_each_protection_that_is_taken_out_is_missed(what, monkeypatch):
    monkeypatch.setattr(*TAKEN_OUT[what])
    sweeps = (
        partial(end_at_each_step, power=True),
        partial(end_at_each_step, power=False),
        partial(fail_at_each_step, trouble="error", tries=1),
    )
    for sweep, scenario in product(sweeps, SCENARIOS):
        try:
            sweep(scenario, monkeypatch=monkeypatch)
        except (AssertionError, msgspec.DecodeError, FileNotFoundError):
            return
    raise AssertionError(f"nothing misses {what}")


class StorageMachine(RuleBasedStateMachine):
    """Any order of all that the daemon does, of starts and of trouble."""

    @initialize(seed=st.integers(0, 1 << 32))
    def begin(self, seed):
        self.m = Machine(random.Random(seed))
        self.patch = pytest.MonkeyPatch()
        use(self.patch, self.m)
        self.m.start()

    def teardown(self):
        if hasattr(self, "patch"):
            self.m.stop(power=True)
            self.m.start()
            self.patch.undo()

    @rule(act=st.sampled_from(("save", "save", "store", "turn", "drop", "wipe")))
    def act(self, act):
        self.attempt(getattr(self.m, act))

    @precondition(lambda self: len(self.m.stored) > 1)
    @rule()
    def turn_to_the_oldest(self):
        self.attempt(lambda: self.m.turn(0))

    @rule(
        steps=st.integers(0, 12), act=st.sampled_from(("save", "turn", "wipe", "store", "start")), power=st.booleans()
    )
    def break_off(self, steps, act, power):
        self.m.system.fail_at = steps
        if act == "start":
            self.m.stop(power=False)
            self.m.system.fail_at = steps
        with suppress(PowerLossError, OSError):
            getattr(self.m, act)()
        self.m.stop(power)
        self.m.start()

    @rule(steps=st.integers(0, 12))
    def fail_soon(self, steps):
        self.m.system.error_at = steps

    @rule(full=st.booleans())
    def fill(self, full):
        self.m.system.full = full

    def attempt(self, act):
        try:
            act()
        except OSError:
            self.m.system.full = False


StorageMachine.TestCase.settings = settings(derandomize=True, max_examples=60, stateful_step_count=40, deadline=None)
TestStorage = StorageMachine.TestCase


def test_a_damaged_older_record_stops_with_its_place(monkeypatch):
    for seed in range(300):
        rng = random.Random(seed)
        m = Machine(rng)
        use(monkeypatch, m)
        m.start()
        run(m, (Machine.turn, *[Machine.save] * rng.randint(1, 4)))
        m.stop(power=True)
        name = max(n for n in m.system.names if n.startswith("log-"))
        data = m.system.names[name].data
        starts = [0]
        while starts[-1] < len(data):
            starts.append(starts[-1] + len(encode_record(decode_record(data, starts[-1]))))
        which = rng.randrange(len(starts) - 2)
        data[rng.randrange(starts[which], starts[which + 1])] ^= 1 << rng.randrange(8)
        with Folder(Path(ROOT)) as folder:
            found = DiskLog.open(folder, "f", "x").err_value
        assert [f.place for f in found] == [f"{name}@{starts[which]}"]


def test_a_head_or_snapshot_that_is_damaged_or_gone_stops_with_its_name(monkeypatch):
    for seed in range(100):
        rng = random.Random(seed)
        m = Machine(rng)
        use(monkeypatch, m)
        m.start()
        run(m, (Machine.turn,))
        m.stop(power=True)
        name = rng.choice([n for n in m.system.names if n.startswith(("log-", "snapshot-"))])
        data = m.system.names[name].data
        if name.startswith("snapshot-") and rng.random() < 0.5:
            del m.system.names[name]
        else:
            data[rng.randrange(len(data))] ^= 1
        with Folder(Path(ROOT)) as folder:
            found = DiskLog.open(folder, "f", "x").err_value
        assert [f.place.partition("@")[0] for f in found] == [name]


def test_nothing_that_counts_no_more_is_left_behind(monkeypatch):
    m = Machine(random.Random(1))
    use(monkeypatch, m)
    m.start()
    run(m, (Machine.store, Machine.save, Machine.turn, Machine.wipe, Machine.store, Machine.turn, Machine.save))
    assert sorted(n.partition("-")[0] for n in m.system.names) == [".lock", "identity", "log", "snapshot"]
    m.system.fail_at = 2
    with pytest.raises(PowerLossError):
        m.store()
    m.stop(power=False)
    assert any(n.endswith(".new") for n in m.system.names)
    m.start()
    assert not any(n.endswith(".new") for n in m.system.names)
