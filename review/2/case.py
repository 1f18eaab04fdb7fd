"""Clients upload bodies inside `max-body-bytes`; the platform kills a process that goes over `memory-mb`."""

from __future__ import annotations

import random
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from fleet import EDGE_MB, HOST, Fleet, Record, ask_id, call, play, route, small_fleet, trouble  # noqa: E402

LENGTH_S = 60.0
UPLOADERS = 6
BODY = (60 << 20) if trouble() else (60 << 10)
PART, PER_S = 256 << 10, 20 << 20
"""Six clients at 20 MiB/s each are one machine's link of 1,000 Mbit/s."""
ENDS, MACHINES = 3, 2


def upload(fleet: Fleet, machine, record: Record) -> None:
    """One request with a body of a known length, sent at the pace of a link; it is recorded how it ended."""
    ask = ask_id()
    head = (
        f"POST /up/doc HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {ask}\r\nX-Deadline-Ms: 9000\r\n"
        f"Content-Length: {BODY}\r\n\r\n"
    )
    record("client sends", ask, "to", machine.name, BODY, "bytes")
    try:
        with socket.create_connection((machine.ip, fleet.ports["front"]), timeout=10) as s:
            s.sendall(head.encode())
            part, sent = b"x" * PART, 0
            while sent < BODY:
                s.sendall(part[: BODY - sent])
                sent += PART
                time.sleep(PART / PER_S)
            answer = s.recv(65536).split(b"\r\n")[0].decode("latin-1")
    except OSError as e:
        answer = f"no answer: {e}"
    record("client", ask, "gets", answer or "a closed connection")


def uploads(fleet: Fleet, record: Record) -> None:
    """One upload after the other, each to a machine that is ready."""
    while not fleet.over.is_set():
        up = [m for m in fleet.edge if m.ready()]
        if up:
            upload(fleet, random.choice(up), record)
        time.sleep(0.2)


def small(fleet: Fleet, record: Record) -> None:
    """Ordinary small requests beside them."""
    while not fleet.over.is_set():
        m, ask = random.choice(fleet.edge), ask_id()
        headers = {"Host": HOST, "X-Attempt-Id": ask, "X-Deadline-Ms": "1500"}
        record("client sends", ask, "to", m.name, "small")
        status, _, data = call(m.ip, fleet.ports["front"], "POST", "/small/x", b"order", headers, limit=2.0)
        record("client", ask, "gets", status or f"no answer: {data.decode()}")
        time.sleep(0.1)


def run(record: Record) -> bool:
    """Whether enough processes went over their memory often enough."""
    with Fleet(record) as fleet:
        routes = [route("r-up", "/up/", "svc-a", limit_ms=10000), route("r-small", "/small/", "svc-a", limit_ms=1500)]
        small_fleet(fleet, routes, ["svc-a"])
        jobs = [(uploads, UPLOADERS), (small, 2)]
        for job, count in jobs:
            for _ in range(count):
                threading.Thread(target=job, args=(fleet, record), daemon=True).start()
        over = {m: 0 for m in fleet.edge}
        ended = {m: 0 for m in fleet.edge}
        down: dict = {}
        peak = 0.0
        end = time.monotonic() + LENGTH_S
        while time.monotonic() < end and min(over.values()) < ENDS:
            now = time.monotonic()
            for m in fleet.edge:
                if m in down:
                    if now >= down[m]:
                        del down[m]
                        m.start()
                    continue
                rss = m.rss_mb()
                peak = max(peak, rss)
                if m.proc.poll() is not None:
                    ended[m] += 1
                    record(m.name, "ended by itself with", m.proc.returncode)
                    down[m] = now + 0.5
                elif rss > EDGE_MB:
                    over[m] += 1
                    record("platform kills", m.name, f"at {rss:.0f} MB of {EDGE_MB} MB, time {over[m]}")
                    m.proc.kill()
                    m.proc.wait()
                    down[m] = now + 0.5
            time.sleep(0.01)
        for m in fleet.edge:
            record(m.name, "over its memory", over[m], "times, ended otherwise", ended[m], "times")
        record(f"highest resident memory seen: {peak:.0f} MB")
        return sum(over[m] + ended[m] >= ENDS for m in fleet.edge) >= MACHINES


play(Path(__file__).parent, run)
