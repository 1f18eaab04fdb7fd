from mallowvalve.control.bootstrap import Found, decide
from mallowvalve.control.snapshot import cut_settings, load
from mallowvalve.control.state import encode
from mallowvalve.control.wire import ProcessStatus
from mallowvalve.raft.messages import Voters
from mallowvalve.types import Address
from tests.test_parts import EU, G, populated_state, service_amendment, settings_content


def who(id, addr, index, whole=True, role="control", group=G, blank=False):
    voters = None if blank else Voters({i: Address("10.0.0.1", n + 1) for n, i in enumerate("abc")})
    return ProcessStatus(role, id, addr, EU, [], blank, None if blank else group, index, voters, None, whole)


def test_a_core_renewed_goes_on_from_a_whole_state_with_the_newest_settings():
    a, b, c = (Address("10.0.0.1", n) for n in (1, 2, 3))
    e = who("", Address("10.0.1.1", 1), 90, False, "proxy")
    v = decide(who("x", a, 0, blank=True), [who("y", b, 0, blank=True), who("c", c, 70), e], 1, False)
    assert isinstance(v, Found) and (v.base.id, v.base.index, v.further) == ("c", 70, e)
    v = decide(who("x", a, 0, blank=True), [who("y", b, 0, blank=True), who("z", c, 0, blank=True), e], 1, False)
    assert (v.base, v.further) == (e, None)
    v = decide(who("x", a, 0, blank=True), [who("y", b, 0, blank=True), who("c", c, 95), e], 1, False)
    assert (v.base.index, v.further) == (95, None)
    s, t = populated_state(), populated_state()
    t.apply(t.index + 1, 500, encode(service_amendment("s", 9)))
    s.replace_settings(load(list(cut_settings(t))))
    assert settings_content(s) == settings_content(t) and s.ledger.rows == t.ledger.rows
