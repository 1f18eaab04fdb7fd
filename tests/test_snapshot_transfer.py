"""Snapshot encoding, the cache of served snapshots, and their transfer in pieces."""

import random
from zlib import crc32

import msgspec
import pytest
from result import Err

from mallowvalve.control import snapshot as snapshots
from mallowvalve.control.snapshot import decode_snapshot, encode_snapshot
from mallowvalve.control.snapshot_fetch import CURRENT_SNAPSHOT, SnapshotExchange
from mallowvalve.control.snapshot_transfer import (
    IDLE_TIMEOUT_S,
    Piece,
    PieceCollector,
    PieceError,
    PieceRequest,
    SnapshotCache,
)
from mallowvalve.control.state import ReplicatedState, encode
from mallowvalve.coordination.state import Lock, Next, Put
from mallowvalve.ledger.ledger import Claim, Done
from mallowvalve.localfleet.ports import free_ports
from mallowvalve.metrics import Counts
from mallowvalve.raft.messages import ClusterConfiguration, GroupId, RaftSnapshot
from mallowvalve.transport.frame import BODY_BYTES_MAX
from mallowvalve.transport.task import Transport
from mallowvalve.types import Address

GROUP = GroupId(3, "g")


def filled_state(rows=300, body=b"x" * 100, seed=1):
    state, random_source = ReplicatedState(3), random.Random(seed)
    for number in range(rows):
        key = f"k{random_source.randrange(10**9)}"
        for command in (
            Claim(key, "d", "p", key),
            Done(key, key, 200, "t", body),
            Put(f"n{number % 50}", "v" * 50, None, key),
            Next("n", key),
        ):
            state.apply(state.index + 1, number, encode(command))
    state.apply(state.index + 1, rows, encode(Lock("l", "x", 9000, "a")))
    return state


def raft_snapshot(state):
    return RaftSnapshot(GROUP, state.index, 1, ClusterConfiguration({}), encode_snapshot(state))


def states_equal(a, b):
    return all(
        (
            a.revision == b.revision,
            a.ledger.rows == b.ledger.rows,
            list(a.ledger.body_sizes) == list(b.ledger.body_sizes),
            a.ledger._stored_bytes == b.ledger._stored_bytes,
            a.coordination.keys == b.coordination.keys,
            a.coordination.events == b.coordination.events,
            a.coordination.locks == b.coordination.locks,
            a.coordination.numbers == b.coordination.numbers,
            a.asks.rows == b.asks.rows,
            a.settings == b.settings,
            a.clock == b.clock,
        )
    )


@pytest.fixture(autouse=True)
def small_pieces(monkeypatch):
    monkeypatch.setattr(snapshots, "MAX_ROWS_PER_PIECE", 25)


def test_a_snapshot_is_consistent_while_the_state_changes():
    state = filled_state()
    copy, parts = decode_snapshot(encode_snapshot(state)), snapshots.encode_pieces(state)
    first = [next(parts) for _ in range(3)]
    for number in range(200):
        state.apply(state.index + 1, 10**7 + number, encode(Claim(f"later{number}", "d", "p", "n")))
    assert not states_equal(state, copy) and states_equal(decode_snapshot([*first, *parts]), copy)


def test_pieces_in_order_build_the_state_and_a_lost_piece_is_requested_again():
    state, cache = filled_state(), SnapshotCache()
    collector = PieceCollector(cache.put(raft_snapshot(state), 0.0))
    assert collector.label.count > 20
    while (request := collector.next_request()) is not None:
        assert collector.accept(cache.get_piece(request, 0.0)).is_ok()
        if len(collector.pieces) == 5:
            assert not collector.record_failure() and collector.next_request().number == 5
    snapshot, decoded_state = collector.done().unwrap()
    assert states_equal(state, decoded_state) and snapshot.state == encode_snapshot(state)


def test_foreign_unordered_damaged_and_missing_pieces_are_rejected_with_their_number():
    state, cache = filled_state(), SnapshotCache()
    label = cache.put(raft_snapshot(state), 0.0)
    good = [cache.get_piece(PieceRequest(GROUP, label.index, number), 0.0) for number in range(label.count)]
    foreign = msgspec.structs.replace(good[0], group=GroupId(4, "g"))
    later = msgspec.structs.replace(good[0], index=label.index + 1)
    damaged = msgspec.structs.replace(good[0], data=good[0].data[:-1])
    garbage = Piece(GROUP, label.index, 0, crc32(b"\xff"), b"\xff")
    collector = PieceCollector(label)
    for piece, reason, text in (
        (foreign, PieceError.FOREIGN, "piece of 4/"),
        (later, PieceError.FOREIGN, "want 3/"),
        (good[1], PieceError.OUT_OF_TURN, "piece 1, want 0"),
        (damaged, PieceError.DAMAGED, "damaged"),
        (garbage, PieceError.NOT_UNDERSTOOD, "not understood"),
    ):
        rejection = collector.accept(piece)
        assert (
            rejection.err_value.reason is reason
            and text in rejection.err_value.text
            and collector.next_request().number == 0
        )
    assert collector.accept(good[0]).is_ok() and "want 1" in collector.accept(good[0]).err_value.text
    incomplete = collector.done().err_value
    assert incomplete.reason is PieceError.CUT_SHORT and "1 of" in incomplete.text
    forged = msgspec.structs.replace(good[0], number=1)
    assert "second header" in collector.accept(forged).err_value.text


def test_the_cache_is_bounded_and_evicts_idle_snapshots():
    cache, served = SnapshotCache(), [raft_snapshot(filled_state(5, seed=number)) for number in range(3)]
    served = [msgspec.structs.replace(snapshot, index=number) for number, snapshot in enumerate(served)]
    for snapshot in served:
        cache.put(snapshot, 0.0)
    assert [cache.get_piece(PieceRequest(GROUP, number, 0), 1.0) is not None for number in range(3)] == [
        False,
        True,
        True,
    ]
    assert (
        cache.get_piece(PieceRequest(GROUP, 1, 99), 1.0) is None
        and cache.get_piece(PieceRequest(GROUP, 1, -1), 1.0) is None
    )
    assert cache.get_piece(PieceRequest(GROUP, 1, 0), IDLE_TIMEOUT_S) is not None
    cache.evict_idle(IDLE_TIMEOUT_S + 2.0)
    assert (
        cache.get_piece(PieceRequest(GROUP, 2, 0), 0.0) is None
        and cache.get_piece(PieceRequest(GROUP, 1, 0), 0.0) is not None
    )


@pytest.fixture
def transports():
    a, b = (Address("127.0.0.1", snapshot) for snapshot in free_ports(2))
    with Transport(a, "f", Counts()) as sender_transport, Transport(b, "f", Counts()) as receiver_transport:
        yield sender_transport, receiver_transport


def test_a_state_larger_than_a_frame_is_transferred(transports, monkeypatch):
    monkeypatch.setattr(snapshots, "MAX_ROWS_PER_PIECE", 2000)
    sender_transport, receiver_transport = transports
    state = filled_state(5, b"y" * 60_000)
    state.ledger.rows |= {
        f"big{number}": msgspec.structs.replace(next(iter(state.ledger.rows.values())), body=b"z" * 60_000)
        for number in range(1200)
    }
    snapshot = RaftSnapshot(GROUP, state.index, 1, ClusterConfiguration({}), [])
    SnapshotExchange(sender_transport, lambda: (snapshot, snapshots.encode_pieces(state)))
    fetched = SnapshotExchange(receiver_transport, lambda: None).fetch(sender_transport.me, CURRENT_SNAPSHOT)
    whole, decoded_state = fetched.unwrap()
    assert sum(map(len, whole.state)) > BODY_BYTES_MAX and decoded_state.ledger.rows == state.ledger.rows
    assert max(map(len, whole.state)) < BODY_BYTES_MAX // 16


def test_a_fetch_without_an_acceptable_snapshot_or_without_progress_fails(transports, monkeypatch):
    sender_transport, receiver_transport = transports
    state = filled_state(20)
    sender = SnapshotExchange(
        sender_transport,
        lambda: (RaftSnapshot(GROUP, state.index, 1, ClusterConfiguration({}), []), snapshots.encode_pieces(state)),
    )
    receiver = SnapshotExchange(receiver_transport, lambda: None)
    assert receiver.fetch(sender_transport.me, CURRENT_SNAPSHOT, lambda label: label.index > state.index) == Err(
        "the process has no acceptable snapshot"
    )
    assert sender.fetch(receiver_transport.me, CURRENT_SNAPSHOT) == Err("the process has no acceptable snapshot")
    sender_transport.on("piece", lambda sender, body: encode(None), inline=True)
    assert (
        receiver.fetch(sender_transport.me, CURRENT_SNAPSHOT) == Err("the snapshot is no longer available")
        and receiver_transport.counts.get("piece_refused") > 3
    )
