"""Each fault that was found in the storage, by the shortest run that shows it."""

import random
from pathlib import Path

import pytest

from mallowvalve.control import store
from mallowvalve.raft.messages import ClusterConfiguration, Entry, GroupId, HardState, RaftSnapshot
from mallowvalve.storage import disk as disk_module
from mallowvalve.storage.disk import Folder
from mallowvalve.storage.log import DiskLog, encode_record
from sim.disk import SimDisk
from tests.power import ROOT, PowerLossError, PowerSystem, Removed

GROUP = GroupId(1, "g")


@pytest.fixture
def system(monkeypatch):
    """The file system under each folder of a test."""
    system = PowerSystem(random.Random(1))
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
    return store.head(HardState(GROUP, 1, ""), [entry(i) for i in range(first, last + 1)])


def held(log):
    """Up to which entry a start holds everything."""
    loaded = store.load(log).unwrap()
    return loaded.entries[-1].index if loaded.entries else loaded.snapshot.index


def test_a_wiped_machine_starts_though_only_some_of_its_files_come_back(system):
    log = opened().unwrap()
    store.turn(log, snapshot(10), head(11, 12))
    log.wipe("new")
    system.lose_power(keeps=lambda c: not (isinstance(c, Removed) and c.name.startswith("log-")))
    again = opened().unwrap()
    assert again.identity.id == "new" and store.load(again).unwrap() == store.Loaded(None, None, [])


def test_a_wipe_that_is_broken_off_leaves_no_old_state_under_the_new_identity(system):
    log = opened().unwrap()
    store.turn(log, snapshot(10), head(11, 12))
    wiped = system.replace
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(system, "replace", lambda *a: (wiped(*a), setattr(system, "fail_at", 0)))
        with pytest.raises(PowerLossError):
            log.wipe("new")
    system.dead = False
    system.kill()
    again = opened().unwrap()
    assert again.identity.id == "new" and again.snapshot is None and again.batches == []


def test_a_snapshot_that_the_log_has_overtaken_takes_nothing_with_it_when_the_power_goes(system):
    """A machine stores its own snapshot while one with a higher index is installed and turned to."""
    log = opened().unwrap()
    store.turn(log, snapshot(10), head(11, 900))
    store.turn(log, snapshot(1000), head(1001, 1005))
    log.store_snapshot(log.reserve_snapshot(), store.parts(snapshot(900)))
    system.lose_power()
    assert held(opened().unwrap()) == 1005


def test_a_dropped_snapshot_that_comes_back_counts_no_more(system):
    log = opened().unwrap()
    store.turn(log, snapshot(1000), head(1001, 1005))
    name = log.reserve_snapshot()
    log.store_snapshot(name, store.parts(snapshot(900)))
    log.drop_snapshot(name)
    log.save([store.ENTRY + store.encode(entry(1006))])
    system.lose_power(keeps=lambda c: not isinstance(c, Removed))
    assert held(opened().unwrap()) == 1006


def test_a_turn_to_one_snapshot_keeps_another_that_waits_for_its_own(system):
    """A snapshot from the leader is stored and waits for its step while the machine turns to one of its own."""
    log = opened().unwrap()
    store.turn(log, snapshot(10), head(11, 12))
    theirs = log.reserve_snapshot()
    log.store_snapshot(theirs, store.parts(snapshot(2000)))
    mine = log.reserve_snapshot()
    log.store_snapshot(mine, store.parts(snapshot(12)))
    store.turn(log, snapshot(12), head(13, 13), mine)
    store.turn(log, snapshot(2000), head(2001, 2001), theirs)
    system.kill()
    assert held(opened().unwrap()) == 2001


def test_a_head_that_found_no_room_is_no_damage_once_the_log_has_gone_on():
    disk = SimDisk(random.Random(3))
    log = opened(disk).unwrap()
    store.turn(log, snapshot(10), head(11, 12))
    name = log.reserve_snapshot()
    log.store_snapshot(name, store.parts(snapshot(12)))
    disk.full = True
    with pytest.raises(OSError):
        store.turn(log, snapshot(12), head(13, 13), name)
    disk.full = False
    disk.remove = lambda name: None
    store.turn(log, snapshot(12), head(13, 13), name)
    assert held(opened(disk).unwrap()) == 13


def test_what_a_killed_process_wrote_is_safe_once_the_next_one_has_read_it(system):
    log = opened().unwrap()
    log.save([b"one"])
    system.fdatasync = lambda fd: system.go_dark()
    with pytest.raises(PowerLossError):
        log.save([b"two"])
    del system.fdatasync
    system.dead = False
    system.kill()
    seen = opened().unwrap().batches
    for fate in range(20):
        system.rng = random.Random(fate)
        system.lose_power()
        assert opened().unwrap().batches == seen == [[b"one"], [b"two"]]


def test_the_name_that_a_killed_process_made_is_safe_once_the_next_one_writes_to_the_file(system):
    log = opened().unwrap()
    synced = system.fsync
    system.fsync = lambda fd: system.go_dark() if system.files[fd].folder else synced(fd)
    with pytest.raises(PowerLossError):
        log.save([b"one"])
    system.fsync = synced
    system.dead = False
    system.kill()
    again = opened().unwrap()
    again.save([b"two"])
    system.lose_power(keeps=lambda c: False)
    assert opened().unwrap().batches[-1] == [b"two"]


def test_a_name_whose_sync_failed_is_synced_with_the_next_write(system):
    log = opened().unwrap()
    synced, failed = system.fsync, []

    def fsync(fd):
        if system.files[fd].folder and not failed:
            failed.append(fd)
            raise OSError("input or output error")
        synced(fd)

    system.fsync = fsync
    with pytest.raises(OSError):
        log.save([b"one"])
    log.save([b"two"])
    system.lose_power(keeps=lambda c: False)
    assert opened().unwrap().batches[-1] == [b"two"]


def test_a_torn_header_followed_by_zeros_is_a_torn_end():
    for torn in range(1, len(encode_record(b""))):
        disk = SimDisk(random.Random(1))
        log = opened(disk).unwrap()
        log.save([b"one"])
        name = max(n for n in disk.names() if n.startswith("log-"))
        disk.append(name, encode_record(b"payload")[:torn] + bytes(100))
        assert opened(disk).unwrap().batches == [[b"one"]]


def test_what_was_being_put_when_the_process_ended_is_gone_after_its_start(tmp_path):
    with Folder(tmp_path / "d") as folder:
        folder.put("snapshot-1", b"whole")
    (tmp_path / "d" / "snapshot-2.new").write_bytes(b"half")
    with Folder(tmp_path / "d") as folder:
        assert folder.names() == ["snapshot-1"]
    assert not (tmp_path / "d" / "snapshot-2.new").exists()


def test_the_folders_own_name_is_safe_before_it_is_used(tmp_path, monkeypatch):
    synced = []
    real = disk_module._sync_folder
    monkeypatch.setattr(disk_module, "_sync_folder", lambda path: (synced.append(path), real(path)))
    with Folder(tmp_path / "a" / "b"):
        pass
    assert synced == [tmp_path, tmp_path / "a", tmp_path / "a" / "b"]
