"""The disk log on a simulated disk: recovery after crashes, damage detection, full disks and the folder's lock."""

import random

import pytest

from mallowvalve.storage.disk import Folder
from mallowvalve.storage.log import DiskLog
from sim.disk import SimDisk


def opened(disk, fleet="f"):
    return DiskLog.open(disk, fleet, "id")


def filled(n=5):
    disk = SimDisk(random.Random(1))
    disk_log = opened(disk).unwrap()
    for i in range(n):
        disk_log.save([b"%d" % i * 30])
    return disk, disk_log


def start_from(disk_log, snapshot, head):
    name = disk_log.reserve_snapshot()
    disk_log.store_snapshot(name, [snapshot])
    disk_log.start_from_snapshot(name, [snapshot], head)


def test_saved_batches_are_read_back():
    disk, disk_log = filled()
    reopened = opened(disk).unwrap()
    assert [b[0][:1] for b in reopened.batches] == [b"0", b"1", b"2", b"3", b"4"] and reopened.identity.id == "id"


def test_a_torn_end_is_truncated_and_the_log_continues():
    for torn_bytes in range(1, 60, 7):
        disk, disk_log = filled()
        name = disk.names()[-1]
        del disk.files[name][-torn_bytes:]
        disk_log = opened(disk).unwrap()
        assert len(disk_log.batches) == (4 if torn_bytes < 49 else 3)
        disk_log.save([b"next"])
        assert opened(disk).unwrap().batches[-1] == [b"next"]


def test_damage_before_the_end_prevents_the_start_and_is_located():
    disk, disk_log = filled()
    name = disk.names()[-1]
    disk.files[name][20] ^= 1
    (finding,) = opened(disk).err_value
    assert finding.place == f"{name}@0" and "damaged" in finding.text


def test_damage_in_the_segment_the_snapshot_or_the_identity_prevents_the_start():
    disk, disk_log = filled()
    start_from(disk_log, b"snapshot", [b"head"])
    for name in disk.names():
        last_byte = disk.files[name][-1]
        disk.files[name][-1] = last_byte ^ 1
        assert name in opened(disk).err_value[0].place
        disk, disk_log = filled()
        start_from(disk_log, b"snapshot", [b"head"])


def test_a_snapshot_replaces_the_segments_before_it():
    disk, disk_log = filled()
    start_from(disk_log, b"p1", [b"a"])
    disk_log.save([b"b"])
    start_from(disk_log, b"p2", [b"c"])
    reopened = opened(disk).unwrap()
    assert reopened.snapshot == [b"p2"] and reopened.batches == [[b"c"]] and len(disk.names()) == 3


def interrupted_switch(step_limit):
    """Switches to a snapshot until the power fails after `step_limit` steps; also returns whether it failed."""
    disk, disk_log = filled()
    steps = 0
    for operation in ("put", "append", "sync", "remove"):
        original = getattr(disk, operation)

        def counted(*args, original=original):
            nonlocal steps
            steps += 1
            if steps > step_limit:
                raise RuntimeError("power lost")
            return original(*args)

        setattr(disk, operation, counted)
    try:
        start_from(disk_log, b"new", [b"tail"])
    except RuntimeError:
        return disk, True
    finally:
        for operation in ("put", "append", "sync", "remove"):
            delattr(disk, operation)
    return disk, False


def test_a_crash_at_any_step_of_a_switch_leaves_the_old_or_the_new_state():
    """Each state is complete: neither a snapshot without its batches nor batches without their snapshot are read."""
    states = []
    for step_limit in range(100):
        disk, interrupted = interrupted_switch(step_limit)
        disk.crash()
        reopened = opened(disk).unwrap()
        states.append((reopened.snapshot, len(reopened.batches)))
        if not interrupted:
            break
    assert states == [(None, 5), (None, 5), ([b"new"], 1), ([b"new"], 1)] and reopened.batches == [[b"tail"]]


def test_a_snapshot_with_a_missing_part_is_reported_as_damaged():
    disk, disk_log = filled()
    name = disk_log.reserve_snapshot()
    disk_log.store_snapshot(name, [b"one", b"two"])
    assert opened(disk).unwrap().snapshot is None
    disk_log.start_from_snapshot(name, [b"one", b"two"], [b"head"])
    name = next(n for n in disk.names() if n.startswith("snapshot"))
    assert opened(disk).unwrap().snapshot == [b"one", b"two"]
    del disk.files[name][-15:]
    assert opened(disk).err_value[0].place == name


def test_the_log_grows_to_half_the_size_of_a_large_snapshot_before_the_next():
    disk, disk_log = filled()
    disk_log.segment_bytes = 1000
    name = disk_log.reserve_snapshot()
    disk_log.store_snapshot(name, [b"x" * 10_000])
    disk_log.start_from_snapshot(name, [b"x" * 10_000], [b"head"])
    count = 0
    while not disk_log.snapshot_due():
        disk_log.save([b"y" * 100])
        count += 1
    assert 40 <= count <= 50


def test_a_full_disk_fails_saves_until_space_is_available():
    disk, disk_log = filled()
    disk.full = True
    for _ in range(3):
        with pytest.raises(OSError):
            disk_log.save([b"lost?" * 10])
    disk.full = False
    disk_log.save([b"kept"])
    assert opened(disk).unwrap().batches[-1] == [b"kept"] and len(opened(disk).unwrap().batches) == 6


def test_a_disk_of_another_fleet_or_format_is_rejected():
    disk, disk_log = filled()
    assert [f.place for f in opened(disk, "other").err_value] == ["identity.fleet"]
    from mallowvalve.storage import log

    disk.put("identity", log.encode_record(b'{"format":9,"fleet":"other","id":"x"}'))
    assert [f.place for f in opened(disk).err_value] == ["identity.format", "identity.fleet"]
    disk.remove("identity")
    assert "identity" in opened(disk).err_value[0].place


def test_a_folder_serves_one_process_at_a_time(tmp_path):
    with Folder(tmp_path / "d"):
        with pytest.raises(OSError, match="in use"):
            Folder(tmp_path / "d").__enter__()
    with Folder(tmp_path / "d") as disk:
        assert disk.names() == []


def test_the_folder_keeps_the_same_data_as_the_simulated_disk(tmp_path):
    with Folder(tmp_path / "d") as disk:
        disk_log = opened(disk).unwrap()
        for i in range(3):
            disk_log.save([b"%d" % i])
        start_from(disk_log, b"snapshot", [b"head"])
        disk_log.save([b"tail"])
        disk.append(disk.names()[1], b"torn")
    with Folder(tmp_path / "d") as disk:
        reopened = opened(disk).unwrap()
        assert reopened.snapshot == [b"snapshot"] and reopened.batches == [[b"head"], [b"tail"]]
