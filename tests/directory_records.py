"""Records of proxies at three places, as the tests of the directory take them."""

from mallowvalve.directory.answer import UNKNOWN_HOMES, ProxyView, choose_proxies
from mallowvalve.membership.members import DepartedMember
from mallowvalve.membership.wire import ALIVE, MemberRecord
from mallowvalve.types import Address, Locality

A, B, C = Locality("eu", "eu-a"), Locality("eu", "eu-b"), Locality("us", "us-a")


def at(n, loc, state=ALIVE, ready=True, role="proxy"):
    return MemberRecord(Address(f"10.0.0.{n}", 1), 1, 0, state, role, f"n{n}", loc, Address(f"10.0.0.{n}", 80), ready)


def known(rows, gone=(), suspects=lambda record: False):
    return ProxyView(rows, lambda: gone, suspects)


def proxies(rows, near, homes=None, **how):
    return [record.web for record in choose_proxies(known(rows, **how), near, homes).proxies]


def reason(rows, near, homes=None, **how):
    return choose_proxies(known(rows, **how), near, homes).reason


def gone(record, ago=1.0):
    return DepartedMember(record, ago)


def numbers(found):
    return [int(a.host.rpartition(".")[2]) for a in found]


HOME_US, HOME_BOTH = frozenset({"us"}), frozenset({"eu", "us"})
EVERY_HOMES = (None, UNKNOWN_HOMES, HOME_US, HOME_BOTH)
