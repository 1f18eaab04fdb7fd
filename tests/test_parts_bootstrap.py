from mallowvalve.control.bootstrap import FoundGroup, decide
from mallowvalve.control.snapshot import decode_snapshot, encode_pieces, encode_settings_pieces, encode_snapshot
from mallowvalve.control.snapshot_transfer import PieceCollector, SnapshotCache
from mallowvalve.control.state import ReplicatedState, encode
from mallowvalve.control.wire import ProcessStatus
from mallowvalve.raft.messages import ClusterConfiguration, RaftSnapshot
from mallowvalve.types import Address
from tests.test_parts import EU, G, populated_state, service_amendment, settings_content


def test_a_snapshot_of_the_settings_part_contains_nothing_else():
    state = populated_state()
    whole, part = decode_snapshot(encode_snapshot(state)), decode_snapshot(list(encode_settings_pieces(state)))
    assert settings_content(whole) == settings_content(part) == settings_content(state)
    assert (
        whole.plain.snapshot() == state.plain.snapshot()
        and whole.ledger.rows == state.ledger.rows
        and whole.asks.rows == state.asks.rows
    )
    assert part.plain.snapshot() == ReplicatedState(3).plain.snapshot()
    assert not (
        part.ledger.rows
        or part.coordination.keys
        or part.coordination.numbers
        or part.asks.rows
        or part.coordination.events
    )


def test_a_shelf_separates_whole_and_settings_snapshots():
    state, shelf = populated_state(), SnapshotCache()
    labels = [
        shelf.put(RaftSnapshot(G, state.index, 1, ClusterConfiguration({}), list(pieces)), 0.0, part)
        for pieces, part in ((encode_pieces(state), False), (encode_settings_pieces(state), True))
    ]
    assert shelf.newest(G, state.index, 0.0, True) is not shelf.newest(G, state.index, 0.0)
    for snapshot_label, is_whole in zip(labels, (True, False)):
        gather = PieceCollector(snapshot_label)
        while (request := gather.next_request()) is not None:
            assert gather.accept(shelf.get_piece(request, 0.0)).is_ok()
        assert bool(gather.done().unwrap()[1].ledger.rows) == is_whole
    other = PieceCollector(labels[0])
    assert other.accept(shelf.get_piece(PieceCollector(labels[1]).next_request(), 0.0)).is_err()


def status(id, address, index, holds_all=True, role="control", group=G, blank=False):
    voters = None if blank else ClusterConfiguration({name: Address("10.0.0.1", n + 1) for n, name in enumerate("abc")})
    known_group = None if blank else group
    return ProcessStatus(role, id, address, EU, [], blank, known_group, index, voters, None, holds_all)


def test_a_refounded_core_starts_from_a_whole_state_with_the_newest_settings():
    first, second, third = (Address("10.0.0.1", port) for port in (1, 2, 3))
    blank_first, blank_second = status("x", first, 0, blank=True), status("y", second, 0, blank=True)
    proxy = status("", Address("10.0.1.1", 1), 90, False, "proxy")
    decision = decide(blank_first, [blank_second, status("c", third, 70), proxy], 1, False)
    assert isinstance(decision, FoundGroup)
    assert (decision.base.id, decision.base.index, decision.settings_source) == ("c", 70, proxy)
    decision = decide(blank_first, [blank_second, status("z", third, 0, blank=True), proxy], 1, False)
    assert (decision.base, decision.settings_source) == (proxy, None)
    decision = decide(blank_first, [blank_second, status("c", third, 95), proxy], 1, False)
    assert (decision.base.index, decision.settings_source) == (95, None)
    older, newer = populated_state(), populated_state()
    newer.apply(newer.index + 1, 500, encode(service_amendment("s", 9)))
    older.replace_settings(decode_snapshot(list(encode_settings_pieces(newer))))
    assert settings_content(older) == settings_content(newer) and older.ledger.rows == newer.ledger.rows
