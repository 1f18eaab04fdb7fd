"""A fleet of real processes whose state is larger than any one message may be: start, compaction, catch-up, wipe."""

from __future__ import annotations

import tempfile
import time
import uuid
from pathlib import Path
from threading import Event, Thread

import click
import msgspec

from mallowvalve.control import store
from mallowvalve.control.snapshot import encode_snapshot
from mallowvalve.control.state import ReplicatedState
from mallowvalve.fault import TRIAL_FLEET
from mallowvalve.ledger.ledger import DONE, ClaimRecord
from mallowvalve.localfleet.call import call
from mallowvalve.localfleet.fleet import FleetProcess, LocalFleet, wait_until
from mallowvalve.localfleet.main import load_shape
from mallowvalve.proxy.tenant_request import request_digest
from mallowvalve.raft.messages import ClusterConfiguration, GroupId, HardState, RaftSnapshot
from mallowvalve.storage.disk import Folder
from mallowvalve.storage.log import DiskLog
from mallowvalve.types import Address

ANSWER = b'{"by":"before"}'


def state(config: dict, rows: int, body: int) -> ReplicatedState:
    s = ReplicatedState(7)
    s.index = 10
    s.settings.doc, s.settings.doc_revision, s.settings.revision = msgspec.json.encode(config), s.revision, s.revision
    dig = request_digest("POST", "/runs", b"{}")
    for i in range(rows):
        k = f"runner\0{i:032x}"
        s.ledger.rows[k] = ClaimRecord(
            dig, DONE, "10.0.0.1:7000#123456789012345678", f"{i:032x}", 0, 200, "application/json", ANSWER + b" " * body
        )
        s.ledger.body_sizes[k] = len(ANSWER) + body
    s.ledger._stored_bytes = sum(s.ledger.body_sizes.values())
    return s


def plant(f: LocalFleet, s: ReplicatedState) -> int:
    """Gives the first core machines disks that hold this state, as if they had been stopped."""
    controls = f.with_role("control")[:3]
    ids = {uuid.uuid4().hex: p for p in controls}
    voters = ClusterConfiguration({i: Address("127.0.0.1", p.transport_port) for i, p in ids.items()})
    pic = RaftSnapshot(GroupId(7, uuid.uuid4().hex), s.index, 1, voters, encode_snapshot(s))
    for i, p in ids.items():
        with Folder(p.data) as d:
            store.restart_log(
                DiskLog.open(d, TRIAL_FLEET, i).unwrap(), pic, store.encode_log_head(HardState(pic.group, 1, ""), [])
            )
    return sum(map(len, pic.state))


class Numbers:
    """Asks for numbers all the time; the longest wait for one says how long the core did not answer."""

    def __init__(self, f: LocalFleet):
        self.f, self.stop, self.worst, self.n = f, Event(), 0.0, 0
        self.job = Thread(target=self._run)

    def __enter__(self) -> Numbers:
        """Begin to draw numbers."""
        self.job.start()
        return self

    def __exit__(self, *_) -> None:
        """End, once the last call is answered."""
        self.stop.set()
        self.job.join()

    def _run(self) -> None:
        while not self.stop.wait(0.02):
            t = time.monotonic()
            ok = call(self.f.with_role("control")[self.n % 3].web_port, "POST", "/numbers/n", {})[0] == 200
            self.n += ok
            self.worst = max(self.worst, time.monotonic() - t)


def ready(f: LocalFleet) -> bool:
    return all(
        call(p.web_port, "GET", "/-/ready", timeout_s=2)[0] == 200
        for r in ("control", "proxy", "directory")
        for p in f.with_role(r)
    )


def known(f: LocalFleet, key: int) -> bool:
    h = {"Mallow-Tenant": "runner", "Mallow-Key": f"{key:032x}"}
    status, data, got = call(f.with_role("proxy")[0].web_port, "POST", "/runs", "{}", h)
    return status == 200 and data == {"by": "before"} and got.get("mallow-repeat") == "1"


def index(p: FleetProcess) -> int:
    status, data, _ = call(p.web_port, "GET", "/leader")
    return data.get("index", 0) if status == 200 else 0


def timed(what: str, test, timeout_s: float) -> None:
    t = time.monotonic()
    ok = wait_until(test, timeout_s)
    click.echo(f"{what}: {time.monotonic() - t:.1f} s{'' if ok else ' (not reached)'}")
    if not ok:
        raise SystemExit(1)


@click.command()
@click.option("--rows", default=400_000, help="facts in the ledger; 15 minutes at 400 requests a second are 360 000")
@click.option("--body", default=60, help="bytes of each kept answer")
def main(rows: int, body: int) -> None:
    shape = load_shape(str(Path(__file__).parent.parent / "examples" / "small.json"))
    f = LocalFleet(shape, Path(tempfile.mkdtemp(prefix="large-")))
    size = plant(f, state(shape.config, rows, body))
    click.echo(f"{rows} facts, a snapshot of {size / 1e6:.1f} MB")
    with f:
        timed("started, every process ready", lambda: ready(f), 120)
        timed("a key of before is answered from the ledger", lambda: known(f, rows // 2), 20)
        with Numbers(f) as idle:
            time.sleep(5)
        click.echo(f"numbers, nothing else: {idle.n}, worst {idle.worst * 1000:.0f} ms")
        taken = sum(
            call(p.web_port, "GET", "/-/counts")[1]["counts"].get("snapshots_taken", 0) for p in f.with_role("control")
        )
        with Numbers(f) as busy:
            for i in range(1, size // 2 // 65000 + 60):
                call(f.with_role("control")[0].web_port, "PUT", f"/keys/k{i % 10}", {"value": "v" * 65000})
            timed(
                "snapshots taken by the core",
                lambda: (
                    sum(
                        call(p.web_port, "GET", "/-/counts")[1]["counts"].get("snapshots_taken", 0)
                        for p in f.with_role("control")
                    )
                    > taken + 2
                ),
                60,
            )
        click.echo(f"numbers while the log grew and was turned: {busy.n}, worst {busy.worst * 1000:.0f} ms")
        new = f.add_node("control", "us/us-b", "control9")
        lead = max(index(p) for p in f.with_role("control")[:3])
        timed("an empty core machine caught up", lambda: index(new) >= lead, 60)
        disk = max(sum(x.stat().st_size for x in p.data.iterdir()) for p in f.with_role("control"))
        click.echo(f"largest folder {disk / 1e6:.0f} MB")
        for p in f.with_role("control"):
            f.kill(p.name)
            f.delete_data(p.name)
        for p in f.with_role("control"):
            f.start(p.name)
        timed(
            "control back after the whole core was wiped",
            lambda: call(f.with_role("control")[0].web_port, "GET", "/config")[0] == 200,
            60,
        )
        timed("and the key of before", lambda: known(f, rows // 2), 20)
        if f.read_journal("ran.jsonl"):
            raise SystemExit("a key of before ran again")


if __name__ == "__main__":
    main()
