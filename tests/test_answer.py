"""Which proxies a client is told of, and why."""

from mallowvalve.directory.answer import RECENT_FAILURE_S, UNKNOWN_HOMES, ProxyView, Reason, choose_proxies
from mallowvalve.membership.members import RETURN_WINDOW_S
from mallowvalve.membership.wire import FAILED, LEAVING, LEFT
from mallowvalve.types import Locality
from tests.directory_records import EVERY_HOMES, HOME_BOTH, HOME_US, A, B, C, at, gone, numbers, proxies, reason


def test_all_of_the_region_the_own_zone_first():
    rows = [at(1, C), at(2, B), at(3, A), at(4, B), at(5, A)]
    got = numbers(proxies(rows, A))
    assert sorted(got) == [2, 3, 4, 5] and sorted(got[:2]) == [3, 5]
    assert sorted(numbers(proxies(rows, Locality("eu", "nowhere")))) == [2, 3, 4, 5]


def test_a_region_with_one_that_is_ready_keeps_its_clients():
    rows = [at(1, C), at(2, B), at(3, A), at(4, C, LEAVING), at(5, C, ready=False)]
    for homes in EVERY_HOMES:
        assert numbers(proxies(rows, C, homes)) == [1]
        assert reason(rows, C, homes) is Reason.LONE
    left = [gone(at(6, C, LEFT, ready=False))]
    assert numbers(proxies(rows, C, gone=left)) == [1]


def test_a_region_whose_others_failed_just_now_is_helped_by_those_that_may_serve():
    rows, failed = [at(1, C), at(2, B), at(3, A), at(4, Locality("ap", "ap-a"))], [gone(at(9, C, FAILED))]
    assert sorted(numbers(proxies(rows, C, gone=failed))) == [1, 2, 3, 4]
    assert numbers(proxies(rows, C, gone=failed))[0] == 1
    assert sorted(numbers(proxies(rows, C, HOME_BOTH, gone=failed))) == [1, 2, 3]
    assert numbers(proxies(rows, C, HOME_US, gone=failed)) == [1]
    assert numbers(proxies(rows, C, UNKNOWN_HOMES, gone=failed)) == [1]
    assert numbers(proxies(rows, C, gone=[gone(at(9, C, FAILED), RECENT_FAILURE_S)])) == [1]
    assert reason(rows, C, gone=failed) is Reason.REST_FAILED


def test_without_one_that_is_ready_the_homes_come_before_those_that_leave():
    rows = [at(1, C, LEAVING), at(2, A), at(3, B)]
    assert sorted(numbers(proxies(rows, C, HOME_BOTH))) == [2, 3]
    assert reason(rows, C, HOME_BOTH) is Reason.HOME_REGION
    for homes in (None, UNKNOWN_HOMES, HOME_US):
        assert numbers(proxies(rows, C, homes)) == [1]
        assert reason(rows, C, homes) is Reason.LEAVING
    rows = [at(1, C, LEAVING), at(2, A, LEAVING)]
    assert numbers(proxies(rows, Locality("ap", "ap-a"), HOME_US)) == [1]


def test_where_nobody_accepts_a_host_with_homes_waits_for_a_restart_and_another_host_goes_elsewhere():
    rows, left = [at(2, A), at(3, B)], [gone(at(1, C, LEFT, ready=False))]
    assert numbers(proxies(rows, C, HOME_US, gone=left)) == []
    assert reason(rows, C, HOME_US, gone=left) is Reason.RETURNING
    assert reason([*rows, at(1, C, ready=False)], C, HOME_US) is Reason.RETURNING
    assert reason([*rows, at(1, C, LEAVING, ready=False)], C, HOME_US) is Reason.RETURNING
    assert sorted(numbers(proxies(rows, C, gone=left))) == [2, 3]
    assert sorted(numbers(proxies(rows, C, HOME_US, gone=[gone(at(1, C, LEFT), RETURN_WINDOW_S)]))) == [2, 3]
    assert sorted(numbers(proxies(rows, C, HOME_US, gone=[gone(at(1, C, FAILED))]))) == [2, 3]
    assert reason(rows, C) is Reason.NONE_ACCEPTS
    assert reason([], C, HOME_US) is Reason.NOBODY


def test_one_that_is_doubted_is_named_only_where_nobody_else_is():
    silent = {"suspects": lambda record: record.web.host == "10.0.0.1"}
    rows = [at(1, C), at(2, A), at(3, B)]
    assert sorted(numbers(proxies(rows, C, **silent))) == [2, 3]
    assert sorted(numbers(proxies(rows, C, HOME_US, **silent))) == [2, 3]
    assert numbers(proxies(rows[:1], C, **silent)) == [1]


def test_none_that_is_unready_stopping_or_failed_or_no_proxy():
    rows = [
        at(1, A),
        at(2, A),
        at(3, A, LEAVING),
        at(8, A, LEAVING, ready=False),
        at(4, A, FAILED),
        at(5, A, LEFT),
        at(6, A, ready=False),
        at(7, A, role="control"),
    ]
    assert sorted(numbers(proxies(rows, A))) == [1, 2]
    assert numbers(proxies(rows[2:], A)) == [3]
    assert proxies(rows[3:], A) == []


def test_those_that_leave_are_named_where_none_is_ready_in_their_region():
    rows = [at(1, A, LEAVING), at(2, B, LEAVING), at(3, C)]
    assert sorted(numbers(proxies(rows, A))) == [1, 2]
    assert numbers(proxies(rows, C)) == [3]
    assert numbers(proxies([*rows, at(4, B)], A)) == [4]
    assert sorted(numbers(proxies(rows[:2], C))) == [1, 2]
    closed = [at(1, A, LEAVING, ready=False), at(3, C)]
    assert reason(closed, A) is Reason.RETURNING
    assert [r.name for r in choose_proxies(ProxyView(closed), A, wait_for_return=False).proxies] == ["n3"]


def test_a_long_answer_is_cut_to_the_nearest_and_zones_leave_out_different_ones():
    rows = [at(n, A) for n in range(10)] + [at(n, B) for n in range(10, 200)]
    got = numbers(proxies(rows, A))
    assert len(got) == 64 and set(got[:10]) == set(range(10))
    wide = [at(n, C) for n in range(200)]
    assert set(proxies(wide, Locality("us", "us-b"))) != set(proxies(wide, Locality("us", "us-c")))
    assert numbers(proxies(rows, A)) == numbers(proxies(rows[::-1], A))
