"""The storage against a model: power loss, process kill, full disk and I/O errors at any step."""

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
from tests.power import ROOT, PowerLossError, PowerLossFileSystem
from tests.storage_scenarios import SCENARIOS, StorageProcess, install_file_system, run, save_and_switch

SEED_COUNT = 6


@pytest.fixture(autouse=True)
def simulated_locks(monkeypatch):
    """Replaces file locks; each process installs its own simulated file system."""
    monkeypatch.setattr(disk_module, "fcntl", PowerLossFileSystem)
    monkeypatch.setattr(PowerLossFileSystem, "flock", lambda *_: None)


def run_until(scenario, step, power, seed, monkeypatch):
    """Runs a scenario up to a step at which the process ends; also returns whether it reached that step."""
    process = StorageProcess(random.Random(f"{scenario}/{step}/{power}/{seed}"))
    install_file_system(monkeypatch, process)
    process.system.power_loss_in = step
    try:
        process.start()
        run(process, SCENARIOS[scenario])
    except PowerLossError:
        process.stop(power)
        return process, True
    process.stop(power)
    return process, False


def end_at_each_step(scenario, power, monkeypatch):
    """Ends the process at each step of a scenario, and for some seeds again soon after the following start."""
    for seed in range(SEED_COUNT):
        step, reached = 0, True
        while reached:
            process, reached = run_until(scenario, step, power, seed, monkeypatch)
            process.system.power_loss_in = seed * 3 if seed % 2 else None
            with suppress(PowerLossError):
                process.start()
                process.save()
            process.stop(power=True)
            process.start()
            run(process, (save_and_switch,))
            process.stop(power=True)
            process.start()
            step += 1
        assert step > 8


def fail_at_each_step(scenario, trouble, monkeypatch, tries=3):
    """Fills the disk after some operation, or fails one step; failed operations are retried or abandoned."""
    for seed in range(SEED_COUNT):
        for step in range(40):
            process = StorageProcess(random.Random(f"{scenario}/{step}/{trouble}/{seed}"))
            install_file_system(monkeypatch, process)
            process.start()
            if trouble == "full":
                run(process, SCENARIOS[scenario][: 1 + step % len(SCENARIOS[scenario])], tries)
                process.system.full = True
            else:
                process.system.error_in = step
            run(process, SCENARIOS[scenario], tries)
            process.stop(power=seed % 2 == 0)
            process.start()
            run(process, (save_and_switch,))
            process.stop(power=True)
            process.start()


@pytest.mark.parametrize("scenario", SCENARIOS)
@pytest.mark.parametrize("power", [True, False], ids=["power", "kill"])
def test_no_saved_data_is_lost_and_no_partial_state_is_read_after_an_end_at_any_step(scenario, power, monkeypatch):
    end_at_each_step(scenario, power, monkeypatch)


@pytest.mark.parametrize("scenario", SCENARIOS)
@pytest.mark.parametrize("trouble", ["full", "error"])
@pytest.mark.parametrize("tries", [1, 3])
def test_an_error_at_any_step_loses_no_saved_data(scenario, trouble, tries, monkeypatch):
    fail_at_each_step(scenario, trouble, monkeypatch, tries)


def unsynced_whole(folder, path, parts):
    """`put` does not sync the data before the rename."""
    fd = disk_module.os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC)
    for part in parts:
        disk_module._write_all(fd, part)
    disk_module.os.close(fd)


def truncate_only_if_shorter(folder, name, size, real=Folder.truncate):
    """A start does not sync the data that it has read."""
    if size < len(folder.read(name)):
        real(folder, name, size)


def overwriting_put(folder, name, *parts):
    """`put` overwrites the file instead of renaming a temporary file."""
    folder.remove(name)
    folder.append(name, b"".join(parts))
    folder.sync(name)


def unsynced_names_at_start(folder, real=Folder.__enter__):
    """A start does not sync the names that it has found."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Folder, "_sync_names", lambda _: None)
        return real(folder)


def reserve_without_record(log):
    """The log does not record the snapshots that it has yet to start from."""
    return "snapshot-" + log._next_serial()


REMOVED_PROTECTIONS = {
    "the sync of a save": (Folder, "sync", lambda *_: None),
    "the sync of names": (Folder, "_sync_names", lambda _: None),
    "the sync of names at a start": (Folder, "__enter__", unsynced_names_at_start),
    "the sync before a rename": (Folder, "_write_whole", unsynced_whole),
    "the rename": (Folder, "put", overwriting_put),
    "the sync of the data read at a start": (Folder, "truncate", truncate_only_if_shorter),
    "the truncation of a failed write": (Folder, "truncate", lambda *_: None),
    "the reversal of a failed put": (DiskLog, "_undo_failed_writes", lambda _: None),
    "the serial numbers before a wipe": (
        log_module,
        "_encode_identity",
        lambda i, real=log_module._encode_identity: real(replace(i, before=0)),
    ),
    "the record of stored snapshots": (DiskLog, "reserve_snapshot", reserve_without_record),
    "the length in the checksum": (log_module, "_checksum", zlib.crc32),
}


@pytest.mark.parametrize("protection", REMOVED_PROTECTIONS)
def test_the_removal_of_each_protection_is_detected(protection, monkeypatch):
    monkeypatch.setattr(*REMOVED_PROTECTIONS[protection])
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
    raise AssertionError(f"no scenario detects the removal of {protection}")


class StorageMachine(RuleBasedStateMachine):
    """Runs the storage operations, starts and failures in any order."""

    @initialize(seed=st.integers(0, 1 << 32))
    def begin(self, seed):
        self.process = StorageProcess(random.Random(seed))
        self.patch = pytest.MonkeyPatch()
        install_file_system(self.patch, self.process)
        self.process.start()

    def teardown(self):
        if hasattr(self, "patch"):
            self.process.stop(power=True)
            self.process.start()
            self.patch.undo()

    @rule(operation=st.sampled_from(("save", "save", "store_snapshot", "switch", "drop_snapshot", "wipe")))
    def run_operation(self, operation):
        self.attempt(getattr(self.process, operation))

    @precondition(lambda self: len(self.process.stored) > 1)
    @rule()
    def switch_to_the_oldest(self):
        self.attempt(lambda: self.process.switch(0))

    @rule(
        steps=st.integers(0, 12),
        operation=st.sampled_from(("save", "switch", "wipe", "store_snapshot", "start")),
        power=st.booleans(),
    )
    def interrupt(self, steps, operation, power):
        self.process.system.power_loss_in = steps
        if operation == "start":
            self.process.stop(power=False)
            self.process.system.power_loss_in = steps
        with suppress(PowerLossError, OSError):
            getattr(self.process, operation)()
        self.process.stop(power)
        self.process.start()

    @rule(steps=st.integers(0, 12))
    def fail_soon(self, steps):
        self.process.system.error_in = steps

    @rule(full=st.booleans())
    def fill(self, full):
        self.process.system.full = full

    def attempt(self, operation):
        try:
            operation()
        except OSError:
            self.process.system.full = False


StorageMachine.TestCase.settings = settings(derandomize=True, max_examples=60, stateful_step_count=40, deadline=None)
TestStorage = StorageMachine.TestCase


def test_a_damaged_record_before_the_last_prevents_the_start_and_is_located(monkeypatch):
    for seed in range(300):
        rng = random.Random(seed)
        process = StorageProcess(rng)
        install_file_system(monkeypatch, process)
        process.start()
        run(process, (StorageProcess.switch, *[StorageProcess.save] * rng.randint(1, 4)))
        process.stop(power=True)
        name = max(n for n in process.system.names if n.startswith("log-"))
        data = process.system.names[name].data
        starts = [0]
        while starts[-1] < len(data):
            starts.append(starts[-1] + len(encode_record(decode_record(data, starts[-1]))))
        damaged = rng.randrange(len(starts) - 2)
        data[rng.randrange(starts[damaged], starts[damaged + 1])] ^= 1 << rng.randrange(8)
        with Folder(Path(ROOT)) as folder:
            found = DiskLog.open(folder, "f", "x").err_value
        assert [f.place for f in found] == [f"{name}@{starts[damaged]}"]


def test_a_damaged_header_or_a_damaged_or_missing_snapshot_prevents_the_start_and_is_named(monkeypatch):
    for seed in range(100):
        rng = random.Random(seed)
        process = StorageProcess(rng)
        install_file_system(monkeypatch, process)
        process.start()
        run(process, (StorageProcess.switch,))
        process.stop(power=True)
        name = rng.choice([n for n in process.system.names if n.startswith(("log-", "snapshot-"))])
        data = process.system.names[name].data
        if name.startswith("snapshot-") and rng.random() < 0.5:
            del process.system.names[name]
        else:
            data[rng.randrange(len(data))] ^= 1
        with Folder(Path(ROOT)) as folder:
            found = DiskLog.open(folder, "f", "x").err_value
        assert [f.place.partition("@")[0] for f in found] == [name]


def test_obsolete_files_are_removed(monkeypatch):
    process = StorageProcess(random.Random(1))
    install_file_system(monkeypatch, process)
    process.start()
    run(
        process,
        (
            StorageProcess.store_snapshot,
            StorageProcess.save,
            StorageProcess.switch,
            StorageProcess.wipe,
            StorageProcess.store_snapshot,
            StorageProcess.switch,
            StorageProcess.save,
        ),
    )
    assert sorted(n.partition("-")[0] for n in process.system.names) == [".lock", "identity", "log", "snapshot"]
    process.system.power_loss_in = 2
    with pytest.raises(PowerLossError):
        process.store_snapshot()
    process.stop(power=False)
    assert any(n.endswith(".new") for n in process.system.names)
    process.start()
    assert not any(n.endswith(".new") for n in process.system.names)
