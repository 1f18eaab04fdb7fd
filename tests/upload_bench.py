"""Uploads through a proxy's frontend in a process of its own: its resident memory, and small requests beside them.

`python -m tests.upload_bench --help` measures it.
"""

from __future__ import annotations

import os
import subprocess
import sys
import time
from contextlib import contextmanager
from pathlib import Path

import click
import gevent
import msgspec
from gevent import socket
from gevent.pool import Group
from gevent.server import StreamServer

from mallowvalve import clock, web
from mallowvalve.configuration.items import Limits
from mallowvalve.metrics import Counts
from mallowvalve.proxy.frontend import Frontend
from mallowvalve.types import Address
from tests.host_bench import HostBench

ROOT = Path(__file__).parent.parent
MEBIBYTE = 1 << 20
LIMIT_MS = 10_000.0
WATCH_INTERVAL_S = 0.005
UNREAD_INTERVAL_S = 0.05
USER_TIME_FIELD, SYSTEM_TIME_FIELD = 11, 12
"""Places in /proc/PID/stat behind the name."""

SETTLING_S = 5.0
CLIENT_TIMEOUT_S = 30.0
SMALL_CLIENTS = 4
PART = b"x" * (256 << 10)
CHUNK = b"%x\r\n%s\r\n" % (len(PART), PART)
SLOW_PART_BYTES = 16 << 10
LAST_CHUNK = b"0\r\n\r\n"


def serve_proxy(upstream_port: int, memory_mb: float) -> None:
    """Serves a frontend with one upstream until standard input ends; prints its port first."""
    bench = HostBench(clock.now)
    bench.route("o", "/o/", "try", service="s", tries=2, limit_ms=LIMIT_MS, aim_ms=LIMIT_MS)
    bench.upstream("u0", port=upstream_port, slots=200)
    bench.state.items.limits = Limits(
        version=1, header_bytes=16384, body_bytes=64 * MEBIBYTE, header_ms=3000.0, idle_ms=60000.0
    )
    frontend = Frontend(bench.forwarder, None, True)
    bench.hosts.on_free = frontend.capacity_queue.wake_next
    server = web.Server(Address("127.0.0.1", 0), frontend, Counts(), 512)
    if hasattr(web, "BodyBudget"):
        server.body_budget = web.BodyBudget.of_memory(memory_mb)
    with server:
        server.minimal_environ, server.limits = True, lambda: bench.state.items.limits
        bench.forwarder.admission.serves_until = lambda: server.stop_deadline
        print(server.server_port, flush=True)
        gevent.get_hub().threadpool.apply(sys.stdin.read)


class DiscardingUpstream:
    """An upstream that reads bodies without keeping them, `part_pause_s` after each part, and answers."""

    def __init__(self, part_pause_s: float = 0.0, work_s: float = 0.05):
        self.part_pause_s, self.work_s, self.received_bytes = part_pause_s, work_s, 0
        self.server = StreamServer(("127.0.0.1", 0), self._run)

    def _run(self, sock, _address) -> None:
        reader = sock.makefile("rb")
        with sock, reader:
            while reader.readline():
                headers = {}
                while line := reader.readline().strip():
                    name, _, value = line.decode("latin-1").partition(": ")
                    headers[name.lower()] = value
                if headers.get("transfer-encoding") == "chunked":
                    self._read_chunks(reader)
                else:
                    self._read_body(reader, int(headers.get("content-length", "0")))
                gevent.sleep(self.work_s)
                head = f"HTTP/1.1 200 OK\r\nMallow-Ask: {headers['mallow-ask']}\r\nX-Seal: 1\r\n"
                sock.sendall(f"{head}Content-Length: 2\r\n\r\nok".encode())

    def _read_body(self, reader, left: int) -> None:
        while left and (part := reader.read(min(left, len(PART)))):
            left -= len(part)
            self.received_bytes += len(part)
            gevent.sleep(self.part_pause_s)

    def _read_chunks(self, reader) -> None:
        while size := int(reader.readline() or b"0", 16):
            self._read_body(reader, size)
            reader.readline()
        reader.readline()


class ProxyProcess:
    """The proxy's process; `peak_mb` is the most resident memory that was seen, `peak_unread_mb` with unread bytes."""

    def __init__(self, popen, port: int, upstream_port: int):
        self.popen, self.port, self.upstream_port = popen, port, upstream_port
        self.peak_mb = self.peak_unread_mb = 0.0

    def resident_mb(self) -> float:
        for line in Path(f"/proc/{self.popen.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def unread_mb(self) -> float:
        """Returns what has arrived at the proxy's sockets and was not read yet."""
        unread_bytes = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            _, local, remote, _, queues = line.split()[:5]
            ports = int(local.partition(":")[2], 16), int(remote.partition(":")[2], 16)
            if ports[0] == self.port or ports[1] == self.upstream_port:
                unread_bytes += int(queues.partition(":")[2], 16)
        return unread_bytes / MEBIBYTE

    def processor_s(self) -> float:
        """Returns the processor time that the process has used."""
        fields = Path(f"/proc/{self.popen.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[USER_TIME_FIELD]) + int(fields[SYSTEM_TIME_FIELD])) / os.sysconf("SC_CLK_TCK")

    def watch(self) -> None:
        while self.popen.poll() is None:
            resident_mb = self.resident_mb()
            self.peak_mb = max(self.peak_mb, resident_mb)
            gevent.sleep(WATCH_INTERVAL_S)

    def watch_unread(self) -> None:
        while self.popen.poll() is None:
            self.peak_unread_mb = max(self.peak_unread_mb, self.resident_mb() + self.unread_mb())
            gevent.sleep(UNREAD_INTERVAL_S)


@contextmanager
def run_proxy(upstream: DiscardingUpstream, memory_mb: float):
    """Runs the upstream, and a proxy that may use `memory_mb`; yields the proxy's process."""
    upstream.server.start()
    command = [sys.executable, "-m", "tests.upload_bench", "--serve", str(upstream.server.server_port)]
    with subprocess.Popen(
        [*command, "--memory", str(memory_mb)], cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE
    ) as popen:
        proxy = ProxyProcess(popen, int(popen.stdout.readline()), upstream.server.server_port)
        watcher = gevent.spawn(proxy.watch)
        try:
            yield proxy
        finally:
            popen.stdin.close()
            popen.wait(timeout=10)
            watcher.kill()
            upstream.server.stop()


class UploadAnswer(msgspec.Struct):
    """The status of an answer (0 without one), its headers and how long it took (s)."""

    status: int
    head: str
    seconds: float


def upload(port: int, size: int, request_id: str, chunked: bool = False) -> UploadAnswer:
    """Sends a request with a body of `size` bytes; an early answer ends it."""
    began = time.monotonic()
    framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {size}"
    head = f"POST /o/1 HTTP/1.1\r\nHost: h.example\r\nMallow-Ask: {request_id}\r\n{framing}\r\n\r\n"
    answer = b""
    try:
        with gevent.Timeout(CLIENT_TIMEOUT_S), socket.create_connection(("127.0.0.1", port), timeout=10) as sock:
            sock.settimeout(None)
            try:
                sock.sendall(head.encode())
                for sent in range(0, size, len(PART)):
                    sock.sendall(CHUNK if chunked else PART[: size - sent])
                sock.sendall(LAST_CHUNK if chunked else b"")
            except OSError:
                pass
            while b"\r\n\r\n" not in answer and (data := sock.recv(65536)):
                answer += data
    except OSError:
        pass
    lines = answer.decode("latin-1").partition("\r\n\r\n")[0]
    return UploadAnswer(int(lines.split()[1]) if lines else 0, lines, time.monotonic() - began)


def upload_at_once(port: int, count: int, size: int, chunked: bool = False) -> list[UploadAnswer]:
    """Sends so many uploads at the same time; returns their answers."""
    answers: list[UploadAnswer] = []
    clients = Group()
    for index in range(count):
        clients.spawn(lambda name=f"u{index}": answers.append(upload(port, size, name, chunked)))
    clients.join()
    return answers


def send_slowly(sock, size: int, seconds: float) -> None:
    """Sends `size` bytes over so many seconds, as a client that reads no response before the end of its request."""
    for sent in range(0, size, SLOW_PART_BYTES):
        sock.sendall(PART[: min(SLOW_PART_BYTES, size - sent)])
        gevent.sleep(seconds * SLOW_PART_BYTES / size)


class Figures(msgspec.Struct):
    """What was measured for one number and size of uploads at a time."""

    uploads: int
    size_mib: float
    chunked: bool
    served: int
    refused: int
    no_answer: int
    idle_mb: float
    peak_mb: float
    peak_with_unread_mb: float
    after_mb: float
    mib_per_s: float
    processor_ms_per_mib: float
    small_served: int
    small_failed: int
    small_p50_ms: float
    small_p99_ms: float


class Load:
    """Uploads and small requests that are sent at the same time until `end`."""

    def __init__(self, port: int, end: float):
        self.port, self.end = port, end
        self.clients = Group()

    def add(self, answers: list[UploadAnswer], clients: int, size: int, pause_s: float, chunked: bool = False) -> None:
        for index in range(clients):
            self.clients.spawn(self._send, answers, f"{size}-{index}", size, pause_s, chunked)

    def _send(self, answers: list[UploadAnswer], name: str, size: int, pause_s: float, chunked: bool) -> None:
        while time.monotonic() < self.end:
            answers.append(upload(self.port, size, f"{name}-{len(answers)}", chunked))
            gevent.sleep(pause_s)


def measure(uploads: int, size: int, chunked: bool, part_pause_s: float, memory_mb: float, seconds: float) -> Figures:
    """Uploads `uploads` bodies at a time for `seconds`, with small requests beside them."""
    upstream = DiscardingUpstream(part_pause_s=part_pause_s)
    answers: list[UploadAnswer] = []
    small: list[UploadAnswer] = []
    with run_proxy(upstream, memory_mb) as proxy:
        gevent.spawn(proxy.watch_unread)
        upload(proxy.port, 100, "warm")
        idle_mb, processor_s, began = proxy.resident_mb(), proxy.processor_s(), time.monotonic()
        load = Load(proxy.port, began + seconds)
        load.add(answers, uploads, size, 0.05, chunked)
        load.add(small, SMALL_CLIENTS, 100, 0.02)
        load.clients.join()
        lasted, processor_s = time.monotonic() - began, proxy.processor_s() - processor_s
        received_mib = upstream.received_bytes / MEBIBYTE
        gevent.sleep(SETTLING_S)
        after_mb = proxy.resident_mb()
    times = sorted(answer.seconds for answer in small if answer.status == 200) or [0.0]
    return Figures(
        uploads,
        size / MEBIBYTE,
        chunked,
        sum(answer.status == 200 for answer in answers),
        sum(answer.status == 503 for answer in answers),
        sum(answer.status not in (200, 503) for answer in answers),
        round(idle_mb, 1),
        round(proxy.peak_mb, 1),
        round(proxy.peak_unread_mb, 1),
        round(after_mb, 1),
        round(received_mib / lasted, 1),
        round(1000 * processor_s / max(1.0, received_mib), 2),
        sum(answer.status == 200 for answer in small),
        sum(answer.status != 200 for answer in small),
        round(1000 * times[len(times) // 2], 1),
        round(1000 * times[int(0.99 * (len(times) - 1))], 1),
    )


@click.command()
@click.option("--serve", type=int, help="serve as the proxy of this upstream's port")
@click.option("--memory", default=300.0, help="memory that the proxy may use (megabytes)")
@click.option("--seconds", default=6.0, help="duration of each measurement")
@click.option("--cases", default="60x6,30x12,8x48,1x200", help="sizes of bodies (MiB) x uploads at a time")
@click.option("--part-pause", default=0.0, help="pause of the upstream after each 256 KiB (s)")
def main(serve: int | None, memory: float, seconds: float, cases: str, part_pause: float) -> None:
    """Measure a proxy's memory under uploads, their ends, and small requests beside them."""
    if serve is not None:
        serve_proxy(serve, memory)
        return
    for case in cases.split(","):
        size_mib, _, uploads = case.partition("x")
        for chunked in (False, True):
            figures = measure(int(uploads), int(float(size_mib) * MEBIBYTE), chunked, part_pause, memory, seconds)
            click.echo(msgspec.json.encode(figures).decode())


if __name__ == "__main__":
    main()
