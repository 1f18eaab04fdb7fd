"""Validation of the settings, and the command's exit codes."""

import subprocess
import sys
import tempfile

import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from mallowvalve import clock, settings
from mallowvalve.cli import main

VALID_SETTINGS = {
    "name": "a",
    "locality": "eu/a",
    "transport": "127.0.0.1:4001",
    "web": "127.0.0.1:4002",
    "seeds": ["127.0.0.1:4003"],
}


def finding_places(role="proxy", **fields):
    return {finding.place for finding in settings.check(role, {**VALID_SETTINGS, **fields}).err_value}


def test_faults_are_refused_outside_a_trial_fleet():
    base = {"name": "n", "locality": "eu/a", "transport": "127.0.0.1:1", "web": "127.0.0.1:2", "faults": "f.json"}
    (finding,) = settings.check("proxy", base).err_value
    assert finding.place == "faults" and "only for trials" in finding.text
    assert settings.check("proxy", {**base, "fleet": "localfleet"}).unwrap().faults == "f.json"


def test_valid_settings_are_parsed():
    parsed = settings.check("proxy", VALID_SETTINGS).unwrap()
    assert str(parsed.locality) == "eu/a" and parsed.transport.port == 4001 and parsed.detector.detect == 3.0


def test_every_finding_is_reported_with_its_place():
    assert finding_places(transport="nowhere", locality="eu", colour=1) == {"colour"}
    assert finding_places(transport="nowhere", locality="eu", seeds=["x"]) == {"transport", "locality", "seeds[0]"}
    assert finding_places(polite="soon", detector={"loss": "much", "speed": 1}) == {
        "polite",
        "detector.loss",
        "detector.speed",
    }
    assert finding_places(role="control") == {"data"}
    assert finding_places(detector={"loss": 1.5}) == {"detector.loss"}
    assert finding_places(seeds=["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4"]) == {"seeds"}


def test_invalid_settings_exit_with_code_2(tmp_path):
    file = tmp_path / "p.toml"
    file.write_text('name = "a"\nlocality = 5\n')
    result = CliRunner().invoke(main, ["proxy", "--settings", str(file), "--web", "here"])
    assert result.exit_code == 2
    assert "locality" in result.stderr and "transport: missing" in result.stderr
    for unreadable in (tmp_path / "none.toml", tmp_path):
        assert CliRunner().invoke(main, ["directory", "--settings", str(unreadable)]).exit_code == 2
    file.write_text("name = = 1")
    assert CliRunner().invoke(main, ["control", "--settings", str(file)]).exit_code == 2


def test_a_port_in_use_exits_with_code_2():
    import socket

    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        used_address = f"127.0.0.1:{listener.getsockname()[1]}"
        args = [
            "directory",
            "--name",
            "a",
            "--locality",
            "eu/a",
            "--transport",
            used_address,
            "--web",
            "127.0.0.1:1",
            "--log",
            "/dev/null",
            "--start-wait-s",
            "0.5",
        ]
        begun = clock.now()
        result = subprocess.run(
            [sys.executable, "-m", "mallowvalve", *args], capture_output=True, text=True, check=False
        )
    assert result.returncode == 2 and "start:" in result.stderr and clock.now() - begun >= 0.5


@pytest.mark.parametrize(
    "text",
    [
        "polite = " + "9" * 5000,
        "a = " + "[" * 5000,
        'name = "a"\npolite = nan',
        "polite = inf",
        "pace = nan",
        "polite = -inf",
    ],
)
def test_numbers_and_depths_beyond_any_bound_are_findings(text, tmp_path):
    """Guards against a traceback at a start, and against a process that stops never or at once, by a settings file."""
    file = tmp_path / "settings.toml"
    file.write_text(text)
    flags = {field: value for field, value in VALID_SETTINGS.items() if not text.startswith(field)}
    assert settings.load("proxy", str(file), flags).is_err()


@given(st.binary(max_size=400))
def test_any_bytes_as_a_settings_file_are_settings_or_findings(data):
    with tempfile.NamedTemporaryFile() as file:
        file.write(data)
        file.flush()
        assert settings.load("control", file.name, {}).is_err()
