"""Injected faults: cut links of the transport, full disks, and invalid files of faults."""

import json
import random

import pytest

from mallowvalve.fault import FaultyDisk, InjectedFaults
from mallowvalve.localfleet.ports import free_ports
from mallowvalve.metrics import Counts
from mallowvalve.storage.log import DiskLog
from mallowvalve.transport.task import Transport
from mallowvalve.types import Address
from sim.disk import SimDisk

A, B = Address("127.0.0.1", 1), Address("127.0.0.1", 2)


@pytest.fixture
def inject(tmp_path):
    """Returns a function that writes the file of faults and returns the faults as read from it."""
    faults = InjectedFaults(str(tmp_path / "faults.json"), "control0")

    def inject_faults(**spec):
        faults.path.write_text(json.dumps(spec))
        faults._file_mtime_ns = -1
        faults.check_file()
        return faults

    return inject_faults


def test_a_cut_drops_datagrams_in_one_direction_and_streams_in_both(inject):
    faults = inject(cuts=[[str(A), str(B)]])
    assert faults.drops_datagram(A, B) and not faults.drops_datagram(B, A)
    assert faults.cuts_stream(A, B) and faults.cuts_stream(B, A)
    assert not inject().cuts_stream(A, B) and not InjectedFaults().cuts_stream(A, B)


def test_an_invalid_file_leaves_the_faults_unchanged(inject):
    faults = inject(full=["control0"])
    faults.path.write_text('{"fill": 1}')
    faults._file_mtime_ns = -1
    faults.check_file()
    assert faults.disk_full


def test_a_write_to_a_full_disk_fails_and_its_torn_record_is_truncated(inject):
    faults = inject()
    log = DiskLog.open(FaultyDisk(SimDisk(random.Random(1)), faults), "f", "id").unwrap()
    log.save([b"one"])
    inject(full=["control0"])
    faults.check_file()
    with pytest.raises(OSError, match="no space"):
        log.save([b"two"])
    inject()
    log.save([b"three"])
    assert DiskLog.open(log.disk, "f", "id").unwrap().batches == [[b"one"], [b"three"]]


def test_a_call_over_a_cut_link_times_out_and_succeeds_once_the_link_is_restored(inject):
    near, far = (Address("127.0.0.1", port) for port in free_ports(2))
    faults = inject()
    with Transport(near, "f", Counts(), faults) as caller, Transport(far, "f", Counts()) as peer:
        peer.on("replica", lambda sender, body: body)
        assert caller.call(far, "replica", b"1", 2.0).unwrap() == b"1"
        inject(cuts=[[str(far), str(near)]])
        assert caller.call(far, "replica", b"2", 0.1).err_value == "limit"
        inject()
        assert caller.call(far, "replica", b"3", 2.0).unwrap() == b"3"
