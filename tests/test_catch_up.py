"""Members that come back while changes go on, and the snapshots that they fetch meanwhile."""

from unittest.mock import patch

import pytest

from mallowvalve.control.snapshot_transfer import (
    LOG_RETENTION_AFTER_REQUEST_S,
    MAX_LOG_RETENTION_S,
    FetchProgress,
    PieceRequest,
    SnapshotCache,
)
from mallowvalve.raft.messages import ClusterConfiguration, GroupId, RaftSnapshot
from sim.catch_up import KINDS, play

G = GroupId(1, "g")
SOON = 5.0
SLOWLY = {"made": 400, "rate": 200.0, "slow": 0.1, "rows": 20}


def snapshot(index):
    return RaftSnapshot(G, index, 1, ClusterConfiguration({}), [b"a", b"b", b"c"])


def test_a_snapshot_that_is_being_fetched_outlives_newer_ones():
    shelf = SnapshotCache()
    for t, index in enumerate((10, 20, 30, 40)):
        shelf.put(snapshot(index), float(t))
        assert shelf.get_piece(PieceRequest(G, 10, t % 3), t + 0.5) is not None
    assert (
        shelf.get_piece(PieceRequest(G, 30, 0), 4.0) is None
        and shelf.get_piece(PieceRequest(G, 40, 0), 4.0) is not None
    )


def test_the_log_after_a_snapshot_stays_while_it_is_fetched_but_not_for_ever():
    shelf = SnapshotCache()
    assert not shelf.retains_log(0.0)
    shelf.put(snapshot(10), 0.0)
    assert shelf.retains_log(LOG_RETENTION_AFTER_REQUEST_S - 0.1) and not shelf.retains_log(
        LOG_RETENTION_AFTER_REQUEST_S
    )
    now = 0.0
    while now < MAX_LOG_RETENTION_S + 1.0:
        shelf.get_piece(PieceRequest(G, 10, 0), now)
        assert shelf.retains_log(now) == (now < MAX_LOG_RETENTION_S)
        now += 0.5


def test_a_settings_part_holds_no_log():
    shelf = SnapshotCache()
    shelf.put(snapshot(10), 0.0, settings=True)
    assert not shelf.retains_log(0.1)


def test_one_transfer_at_a_time_and_newer_ones_announced_meanwhile_are_counted_once():
    f = FetchProgress()
    assert [f.on_announcement(i) for i in (10, 10, 20, 20, 15, 30)] == [True, False, False, False, False, False]
    assert f.end() == 2
    assert f.on_announcement(30) and f.end() == 0


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("made", [100, 2_000])
def test_members_catch_up_in_a_time_that_does_not_grow_with_the_changes(kind, made):
    row = play(kind, made)
    assert row.seconds is not None and row.seconds < SOON and row.overtaken == 0


@pytest.mark.parametrize("kind", ["restarted", "wiped", "new"])
def test_a_transfer_slower_than_snapshots_are_made_still_ends(kind):
    row = play(kind, **SLOWLY)
    assert row.seconds is not None and row.seconds < MAX_LOG_RETENTION_S and row.overtaken <= 1


def test_without_the_log_that_follows_a_slow_transfer_is_overtaken_again_and_again():
    with patch.object(SnapshotCache, "retains_log", lambda self, now: False):
        row = play("restarted", **SLOWLY)
    assert row.seconds is None and row.overtaken >= 2
