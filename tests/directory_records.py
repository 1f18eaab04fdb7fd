"""Proxy records and helpers for the directory's tests."""

from mallowvalve.directory.answer import UNKNOWN_HOMES, ProxyView, choose_proxies
from mallowvalve.membership.members import DepartedMember
from mallowvalve.membership.wire import ALIVE, MemberRecord
from mallowvalve.types import Address, Locality

EU_A = Locality("eu", "eu-a")
EU_B = Locality("eu", "eu-b")
US_A = Locality("us", "us-a")
AP_A = Locality("ap", "ap-a")

HOME_US = frozenset({"us"})
HOME_EU_US = frozenset({"eu", "us"})
ALL_HOMES = (None, UNKNOWN_HOMES, HOME_US, HOME_EU_US)


def proxy_record(number, locality, state=ALIVE, ready=True, role="proxy"):
    host = f"10.0.0.{number}"
    return MemberRecord(Address(host, 1), 1, 0, state, role, f"n{number}", locality, Address(host, 80), ready)


def proxy_view(records, departed=(), is_suspected=lambda record: False):
    return ProxyView(records, lambda: departed, is_suspected)


def named_proxies(records, near, homes=None, **view):
    return [record.web for record in choose_proxies(proxy_view(records, **view), near, homes).proxies]


def named_numbers(records, near, homes=None, **view):
    """Returns the numbers that `proxy_record` gave to the named proxies."""
    return [int(address.host.rpartition(".")[2]) for address in named_proxies(records, near, homes, **view)]


def reason(records, near, homes=None, **view):
    return choose_proxies(proxy_view(records, **view), near, homes).reason


def departed_member(record, departed_for_s=1.0):
    return DepartedMember(record, departed_for_s)
