import http.client

from click.testing import CliRunner

from mallowvalve.cli import main


class Refuses:
    asked: list = []

    def __init__(self, host, port, timeout):
        self.asked.append((host, port))

    def request(self, *_, **__):
        raise OSError("no route")

    def close(self):
        pass


def test_will_asks_the_hosts_it_is_given_in_turn_and_says_what_failed(monkeypatch):
    Refuses.asked = []
    monkeypatch.setattr(http.client, "HTTPConnection", Refuses)
    r = CliRunner().invoke(main, ["admin", "--at", "10.1.2.3:8000", "--at", "10.1.2.4:8001", "leader"])
    assert Refuses.asked == [("10.1.2.3", 8000), ("10.1.2.4", 8001)]
    assert r.exit_code == 1 and "no route" in r.stderr


def test_bad_addresses_and_files_end_with_code_2(tmp_path):
    for args in (["admin", "--at", "nowhere", "leader"], ["planner", "--at", "1.2.3.4:0", str(tmp_path / "x")]):
        assert CliRunner().invoke(main, args).exit_code == 2
    bad = tmp_path / "bad.json"
    bad.write_text("{")
    r = CliRunner().invoke(main, ["admin", "--at", "127.0.0.1:1", "apply", str(bad)])
    assert r.exit_code == 2 and "bad.json" in r.stderr
