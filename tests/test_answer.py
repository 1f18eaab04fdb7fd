"""Selection of the proxies that an answer names, and its reason."""

from mallowvalve.directory.answer import RECENT_FAILURE_S, UNKNOWN_HOMES, ProxyView, Reason, choose_proxies
from mallowvalve.membership.members import RETURN_WINDOW_S
from mallowvalve.membership.wire import FAILED, LEAVING, LEFT
from mallowvalve.types import Locality
from tests.directory_records import (
    ALL_HOMES,
    AP_A,
    EU_A,
    EU_B,
    HOME_EU_US,
    HOME_US,
    US_A,
    departed_member,
    named_numbers,
    named_proxies,
    proxy_record,
    reason,
)


def test_all_proxies_of_the_region_are_named_those_of_the_clients_zone_first():
    records = [
        proxy_record(1, US_A),
        proxy_record(2, EU_B),
        proxy_record(3, EU_A),
        proxy_record(4, EU_B),
        proxy_record(5, EU_A),
    ]
    named = named_numbers(records, EU_A)
    assert sorted(named) == [2, 3, 4, 5] and sorted(named[:2]) == [3, 5]
    assert sorted(named_numbers(records, Locality("eu", "nowhere"))) == [2, 3, 4, 5]


def test_a_region_with_one_ready_proxy_keeps_its_clients():
    records = [
        proxy_record(1, US_A),
        proxy_record(2, EU_B),
        proxy_record(3, EU_A),
        proxy_record(4, US_A, LEAVING),
        proxy_record(5, US_A, ready=False),
    ]
    for homes in ALL_HOMES:
        assert named_numbers(records, US_A, homes) == [1]
        assert reason(records, US_A, homes) is Reason.LONE
    left = [departed_member(proxy_record(6, US_A, LEFT, ready=False))]
    assert named_numbers(records, US_A, departed=left) == [1]


def test_after_a_recent_failure_in_the_region_allowed_proxies_of_others_are_named_too():
    records = [proxy_record(1, US_A), proxy_record(2, EU_B), proxy_record(3, EU_A), proxy_record(4, AP_A)]
    failed = [departed_member(proxy_record(9, US_A, FAILED))]
    failed_earlier = [departed_member(proxy_record(9, US_A, FAILED), RECENT_FAILURE_S)]
    assert sorted(named_numbers(records, US_A, departed=failed)) == [1, 2, 3, 4]
    assert named_numbers(records, US_A, departed=failed)[0] == 1
    assert sorted(named_numbers(records, US_A, HOME_EU_US, departed=failed)) == [1, 2, 3]
    assert named_numbers(records, US_A, HOME_US, departed=failed) == [1]
    assert named_numbers(records, US_A, UNKNOWN_HOMES, departed=failed) == [1]
    assert named_numbers(records, US_A, departed=failed_earlier) == [1]
    assert reason(records, US_A, departed=failed) is Reason.REST_FAILED


def test_without_a_ready_proxy_the_home_regions_come_before_leaving_proxies():
    records = [proxy_record(1, US_A, LEAVING), proxy_record(2, EU_A), proxy_record(3, EU_B)]
    assert sorted(named_numbers(records, US_A, HOME_EU_US)) == [2, 3]
    assert reason(records, US_A, HOME_EU_US) is Reason.HOME_REGION
    for homes in (None, UNKNOWN_HOMES, HOME_US):
        assert named_numbers(records, US_A, homes) == [1]
        assert reason(records, US_A, homes) is Reason.LEAVING
    records = [proxy_record(1, US_A, LEAVING), proxy_record(2, EU_A, LEAVING)]
    assert named_numbers(records, AP_A, HOME_US) == [1]


def test_if_no_proxy_accepts_a_host_with_homes_waits_for_a_restart_and_another_host_goes_elsewhere():
    records = [proxy_record(2, EU_A), proxy_record(3, EU_B)]
    left = [departed_member(proxy_record(1, US_A, LEFT, ready=False))]
    left_earlier = [departed_member(proxy_record(1, US_A, LEFT), RETURN_WINDOW_S)]
    failed = [departed_member(proxy_record(1, US_A, FAILED))]
    assert named_numbers(records, US_A, HOME_US, departed=left) == []
    assert reason(records, US_A, HOME_US, departed=left) is Reason.RETURNING
    assert reason([*records, proxy_record(1, US_A, ready=False)], US_A, HOME_US) is Reason.RETURNING
    assert reason([*records, proxy_record(1, US_A, LEAVING, ready=False)], US_A, HOME_US) is Reason.RETURNING
    assert sorted(named_numbers(records, US_A, departed=left)) == [2, 3]
    assert sorted(named_numbers(records, US_A, HOME_US, departed=left_earlier)) == [2, 3]
    assert sorted(named_numbers(records, US_A, HOME_US, departed=failed)) == [2, 3]
    assert reason(records, US_A) is Reason.NONE_ACCEPTS
    assert reason([], US_A, HOME_US) is Reason.NOBODY


def test_a_suspected_proxy_is_named_only_if_no_other_is_available():
    suspected = {"is_suspected": lambda record: record.web.host == "10.0.0.1"}
    records = [proxy_record(1, US_A), proxy_record(2, EU_A), proxy_record(3, EU_B)]
    assert sorted(named_numbers(records, US_A, **suspected)) == [2, 3]
    assert sorted(named_numbers(records, US_A, HOME_US, **suspected)) == [2, 3]
    assert named_numbers(records[:1], US_A, **suspected) == [1]


def test_members_that_are_unready_stopping_or_failed_or_not_proxies_are_not_named():
    records = [
        proxy_record(1, EU_A),
        proxy_record(2, EU_A),
        proxy_record(3, EU_A, LEAVING),
        proxy_record(8, EU_A, LEAVING, ready=False),
        proxy_record(4, EU_A, FAILED),
        proxy_record(5, EU_A, LEFT),
        proxy_record(6, EU_A, ready=False),
        proxy_record(7, EU_A, role="control"),
    ]
    assert sorted(named_numbers(records, EU_A)) == [1, 2]
    assert named_numbers(records[2:], EU_A) == [3]
    assert named_proxies(records[3:], EU_A) == []


def test_leaving_proxies_are_named_if_none_is_ready_in_their_region():
    records = [proxy_record(1, EU_A, LEAVING), proxy_record(2, EU_B, LEAVING), proxy_record(3, US_A)]
    assert sorted(named_numbers(records, EU_A)) == [1, 2]
    assert named_numbers(records, US_A) == [3]
    assert named_numbers([*records, proxy_record(4, EU_B)], EU_A) == [4]
    assert sorted(named_numbers(records[:2], US_A)) == [1, 2]
    closed = [proxy_record(1, EU_A, LEAVING, ready=False), proxy_record(3, US_A)]
    assert reason(closed, EU_A) is Reason.RETURNING
    choice = choose_proxies(ProxyView(closed), EU_A, wait_for_return=False)
    assert [record.name for record in choice.proxies] == ["n3"]


def test_a_long_answer_is_cut_to_the_nearest_proxies_and_each_zone_drops_different_ones():
    records = [proxy_record(number, EU_A) for number in range(10)]
    records += [proxy_record(number, EU_B) for number in range(10, 200)]
    named = named_numbers(records, EU_A)
    assert len(named) == 64 and set(named[:10]) == set(range(10))
    equally_near = [proxy_record(number, US_A) for number in range(200)]
    assert set(named_proxies(equally_near, Locality("us", "us-b"))) != set(
        named_proxies(equally_near, Locality("us", "us-c"))
    )
    assert named_numbers(records, EU_A) == named_numbers(records[::-1], EU_A)
