"""Tests the connection errors and invalid input of the admin command."""

import http.client

from click.testing import CliRunner

from mallowvalve.cli import main


class UnreachableConnection:
    addresses: list = []

    def __init__(self, host, port, timeout):
        self.addresses.append((host, port))

    def request(self, *_, **__):
        raise OSError("no route")

    def close(self):
        pass


def test_admin_calls_the_given_addresses_in_turn_and_prints_the_error(monkeypatch):
    UnreachableConnection.addresses = []
    monkeypatch.setattr(http.client, "HTTPConnection", UnreachableConnection)
    result = CliRunner().invoke(main, ["admin", "--at", "10.1.2.3:8000", "--at", "10.1.2.4:8001", "leader"])
    assert UnreachableConnection.addresses == [("10.1.2.3", 8000), ("10.1.2.4", 8001)]
    assert result.exit_code == 1 and "no route" in result.stderr


def test_invalid_addresses_and_files_end_with_code_2(tmp_path):
    for args in (["admin", "--at", "nowhere", "leader"], ["planner", "--at", "1.2.3.4:0", str(tmp_path / "x")]):
        assert CliRunner().invoke(main, args).exit_code == 2
    malformed = tmp_path / "bad.json"
    malformed.write_text("{")
    result = CliRunner().invoke(main, ["admin", "--at", "127.0.0.1:1", "apply", str(malformed)])
    assert result.exit_code == 2 and "bad.json" in result.stderr
