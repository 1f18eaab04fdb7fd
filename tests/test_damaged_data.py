"""Data folders whose files hold what no code of ours wrote: a start names them and ends with code 2."""

import random

import pytest

from mallowvalve import settings
from mallowvalve.control import main
from mallowvalve.control.main import open_state
from mallowvalve.start_wait import StartWait
from mallowvalve.storage.disk import Folder
from mallowvalve.storage.log import DiskLog, encode_record

SETTINGS = settings.check(
    "control", {"name": "c", "locality": "eu/a", "transport": "127.0.0.1:1", "web": "127.0.0.1:2", "data": "/nowhere"}
).unwrap()


def random_records(rng):
    payloads = [rng.choice([b"", b"\xc1", b"\x90", b"\x92\xc0\x91\xc4\x02E\xc1", rng.randbytes(30)]) for _ in range(3)]
    return b"".join(map(encode_record, payloads)) + rng.choice([b"", b"torn"])


@pytest.mark.parametrize("seed", range(40))
def test_files_with_valid_checksums_and_other_contents_are_findings(seed, tmp_path):
    """Guards against a traceback and code 1 at each start where a record cannot be decoded."""
    rng = random.Random(seed)
    with Folder(tmp_path) as folder:
        DiskLog.open(folder, SETTINGS.fleet, "a" * 12).unwrap()
        folder.put(f"log-{1:016x}", random_records(rng))
        if rng.random() < 0.5:
            folder.put(f"snapshot-{1:016x}", random_records(rng))
        opened = open_state(SETTINGS, folder, StartWait(limit_s=0.0))
    assert opened.is_err() and str(SETTINGS.data) in opened.err_value[0].place


def test_a_damaged_folder_ends_the_start_with_findings(tmp_path):
    with Folder(tmp_path) as folder:
        DiskLog.open(folder, SETTINGS.fleet, "a" * 12).unwrap()
        folder.put(f"log-{1:016x}", encode_record(b"\xc1"))
    found = main.run(settings.msgspec.structs.replace(SETTINGS, data=tmp_path)).err_value
    assert "not understood" in found[0].text
