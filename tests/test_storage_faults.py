"""Regression tests for faults found in the storage, each with the shortest run that reproduces the fault."""

import random
from pathlib import Path

import pytest

from mallowvalve.control import store
from mallowvalve.raft.messages import ClusterConfiguration, Entry, GroupId, HardState, RaftSnapshot
from mallowvalve.storage import disk as disk_module
from mallowvalve.storage.disk import Folder
from mallowvalve.storage.log import DiskLog, encode_record
from sim.disk import SimDisk
from tests.power import ROOT, NameRemoved, PowerLossError, PowerLossFileSystem

GROUP = GroupId(1, "g")


@pytest.fixture
def system(monkeypatch):
    """The simulated file system that replaces `os` and `fcntl` in the storage."""
    system = PowerLossFileSystem(random.Random(1))
    monkeypatch.setattr(disk_module, "os", system)
    monkeypatch.setattr(disk_module, "fcntl", system)
    return system


def opened(disk=None):
    return DiskLog.open(disk or Folder(Path(ROOT)).__enter__(), "f", "id")


def snapshot(index):
    return RaftSnapshot(GROUP, index, 1, ClusterConfiguration({}), [b"state %d" % index])


def entry(index):
    return Entry(index=index, term=1, kind=0, at=0, data=b"")


def head(first, last):
    return store.encode_log_head(HardState(GROUP, 1, ""), [entry(index) for index in range(first, last + 1)])


def last_index_after_start(log):
    """The index up to which a start has all entries."""
    loaded = store.load(log).unwrap()
    return loaded.entries[-1].index if loaded.entries else loaded.snapshot.index


def test_a_wiped_disk_starts_empty_though_some_removed_files_reappear(system):
    log = opened().unwrap()
    store.restart_log(log, snapshot(10), head(11, 12))
    log.wipe("new")
    system.lose_power(survives=lambda change: not (isinstance(change, NameRemoved) and change.name.startswith("log-")))
    reopened = opened().unwrap()
    assert reopened.identity.id == "new" and store.load(reopened).unwrap() == store.StoredState(None, None, [])


def test_an_interrupted_wipe_leaves_no_old_state_under_the_new_identity(system):
    log = opened().unwrap()
    store.restart_log(log, snapshot(10), head(11, 12))
    original_replace = system.replace
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(system, "replace", lambda *a: (original_replace(*a), setattr(system, "power_loss_in", 0)))
        with pytest.raises(PowerLossError):
            log.wipe("new")
    system.dead = False
    system.kill_process()
    reopened = opened().unwrap()
    assert reopened.identity.id == "new" and reopened.snapshot is None and reopened.batches == []


def test_an_obsolete_stored_snapshot_loses_no_entries_after_a_power_loss(system):
    """A process stores its own snapshot while it installs one with a higher index and starts from that one."""
    log = opened().unwrap()
    store.restart_log(log, snapshot(10), head(11, 900))
    store.restart_log(log, snapshot(1000), head(1001, 1005))
    log.store_snapshot(log.reserve_snapshot(), store.encode_snapshot(snapshot(900)))
    system.lose_power()
    assert last_index_after_start(opened().unwrap()) == 1005


def test_a_dropped_snapshot_that_reappears_has_no_effect(system):
    log = opened().unwrap()
    store.restart_log(log, snapshot(1000), head(1001, 1005))
    name = log.reserve_snapshot()
    log.store_snapshot(name, store.encode_snapshot(snapshot(900)))
    log.drop_snapshot(name)
    log.save([store.ENTRY_TAG + store.encode(entry(1006))])
    system.lose_power(survives=lambda change: not isinstance(change, NameRemoved))
    assert last_index_after_start(opened().unwrap()) == 1006


def test_a_switch_to_one_snapshot_keeps_another_stored_snapshot(system):
    """A snapshot from the leader is stored but not yet in use while the process switches to its own snapshot."""
    log = opened().unwrap()
    store.restart_log(log, snapshot(10), head(11, 12))
    leaders = log.reserve_snapshot()
    log.store_snapshot(leaders, store.encode_snapshot(snapshot(2000)))
    own = log.reserve_snapshot()
    log.store_snapshot(own, store.encode_snapshot(snapshot(12)))
    store.restart_log(log, snapshot(12), head(13, 13), own)
    store.restart_log(log, snapshot(2000), head(2001, 2001), leaders)
    system.kill_process()
    assert last_index_after_start(opened().unwrap()) == 2001


def test_a_segment_header_that_failed_on_a_full_disk_does_not_count_as_damage_later():
    disk = SimDisk(random.Random(3))
    log = opened(disk).unwrap()
    store.restart_log(log, snapshot(10), head(11, 12))
    name = log.reserve_snapshot()
    log.store_snapshot(name, store.encode_snapshot(snapshot(12)))
    disk.full = True
    with pytest.raises(OSError):
        store.restart_log(log, snapshot(12), head(13, 13), name)
    disk.full = False
    disk.remove = lambda name: None
    store.restart_log(log, snapshot(12), head(13, 13), name)
    assert last_index_after_start(opened(disk).unwrap()) == 13


def test_data_of_a_killed_process_is_durable_once_the_next_process_has_read_it(system):
    log = opened().unwrap()
    log.save([b"one"])
    system.fdatasync = lambda fd: system.lose_power_now()
    with pytest.raises(PowerLossError):
        log.save([b"two"])
    del system.fdatasync
    system.dead = False
    system.kill_process()
    seen = opened().unwrap().batches
    for seed in range(20):
        system.rng = random.Random(seed)
        system.lose_power()
        assert opened().unwrap().batches == seen == [[b"one"], [b"two"]]


def test_a_name_created_by_a_killed_process_is_durable_once_the_next_process_writes_to_the_file(system):
    log = opened().unwrap()
    original_fsync = system.fsync
    system.fsync = lambda fd: system.lose_power_now() if system.files[fd].folder else original_fsync(fd)
    with pytest.raises(PowerLossError):
        log.save([b"one"])
    system.fsync = original_fsync
    system.dead = False
    system.kill_process()
    reopened = opened().unwrap()
    reopened.save([b"two"])
    system.lose_power(survives=lambda change: False)
    assert opened().unwrap().batches[-1] == [b"two"]


def test_a_name_whose_sync_failed_is_synced_by_the_next_write(system):
    log = opened().unwrap()
    original_fsync, failed = system.fsync, []

    def fsync(fd):
        if system.files[fd].folder and not failed:
            failed.append(fd)
            raise OSError("input or output error")
        original_fsync(fd)

    system.fsync = fsync
    with pytest.raises(OSError):
        log.save([b"one"])
    log.save([b"two"])
    system.lose_power(survives=lambda change: False)
    assert opened().unwrap().batches[-1] == [b"two"]


def test_a_torn_header_followed_by_zeros_counts_as_a_torn_end():
    for torn in range(1, len(encode_record(b""))):
        disk = SimDisk(random.Random(1))
        log = opened(disk).unwrap()
        log.save([b"one"])
        name = max(n for n in disk.names() if n.startswith("log-"))
        disk.append(name, encode_record(b"payload")[:torn] + bytes(100))
        assert opened(disk).unwrap().batches == [[b"one"]]


def test_a_start_removes_temporary_files(tmp_path):
    with Folder(tmp_path / "d") as folder:
        folder.put("snapshot-1", b"whole")
    (tmp_path / "d" / "snapshot-2.new").write_bytes(b"half")
    with Folder(tmp_path / "d") as folder:
        assert folder.names() == ["snapshot-1"]
    assert not (tmp_path / "d" / "snapshot-2.new").exists()


def test_the_folders_own_name_is_synced_before_use(tmp_path, monkeypatch):
    synced_folders = []
    original_sync = disk_module._sync_folder
    monkeypatch.setattr(disk_module, "_sync_folder", lambda path: (synced_folders.append(path), original_sync(path)))
    with Folder(tmp_path / "a" / "b"):
        pass
    assert synced_folders == [tmp_path, tmp_path / "a", tmp_path / "a" / "b"]
