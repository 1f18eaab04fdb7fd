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
def faults(tmp_path):
    f = InjectedFaults(str(tmp_path / "faults.json"), "control0")

    def wish(**w):
        f.path.write_text(json.dumps(w))
        f._seen = -1
        f.look()
        return f

    return wish


def test_a_datagram_is_lost_one_way_and_a_stream_both(faults):
    f = faults(cuts=[[str(A), str(B)]])
    assert f.drops_datagram(A, B) and not f.drops_datagram(B, A) and f.cuts_stream(A, B) and f.cuts_stream(B, A)
    assert not faults().cuts_stream(A, B) and not InjectedFaults().cuts_stream(A, B)


def test_a_file_that_is_not_understood_changes_nothing(faults):
    f = faults(full=["control0"])
    f.path.write_text('{"fill": 1}')
    f._seen = -1
    f.look()
    assert f.full


def test_a_full_disk_refuses_below_the_log_and_its_torn_record_is_cut(faults):
    f = faults()
    t = DiskLog.open(FaultyDisk(SimDisk(random.Random(1)), f), "f", "id").unwrap()
    t.save([b"one"])
    faults(full=["control0"])
    f.look()
    with pytest.raises(OSError, match="no space"):
        t.save([b"two"])
    faults()
    t.save([b"three"])
    assert DiskLog.open(t.disk, "f", "id").unwrap().batches == [[b"one"], [b"three"]]


def test_the_transport_loses_what_is_cut_and_goes_on_once_healed(faults):
    a, b = (Address("127.0.0.1", p) for p in free_ports(2))
    f = faults()
    with Transport(a, "f", Counts(), f) as x, Transport(b, "f", Counts()) as y:
        y.on("replica", lambda sender, body: body)
        assert x.call(b, "replica", b"1", 2.0).unwrap() == b"1"
        faults(cuts=[[str(b), str(a)]])
        assert x.call(b, "replica", b"2", 0.1).err_value == "limit"
        faults()
        assert x.call(b, "replica", b"3", 2.0).unwrap() == b"3"
