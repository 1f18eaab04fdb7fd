from click.testing import CliRunner

from mallowvalve import settings
from mallowvalve.cli import main

GOOD = {
    "name": "a",
    "locality": "eu/a",
    "transport": "127.0.0.1:4001",
    "web": "127.0.0.1:4002",
    "seeds": ["127.0.0.1:4003"],
}


def places(role="proxy", **fields):
    return {f.place for f in settings.check(role, {**GOOD, **fields}).err_value}


def test_faults_are_refused_outside_trials_and_said():
    base = {"name": "n", "locality": "eu/a", "transport": "127.0.0.1:1", "web": "127.0.0.1:2", "faults": "f.json"}
    (f,) = settings.check("proxy", base).err_value
    assert f.place == "faults" and "only for trials" in f.text
    assert settings.check("proxy", {**base, "fleet": "localfleet"}).unwrap().faults == "f.json"


def test_good_settings_are_read():
    p = settings.check("proxy", GOOD).unwrap()
    assert str(p.locality) == "eu/a" and p.transport.port == 4001 and p.detector.detect == 3.0


def test_every_finding_is_reported_with_its_place():
    assert places(transport="nowhere", locality="eu", colour=1) == {"colour"}
    assert places(transport="nowhere", locality="eu", seeds=["x"]) == {"transport", "locality", "seeds[0]"}
    assert places(polite="soon", detector={"loss": "much", "speed": 1}) == {"polite", "detector.loss", "detector.speed"}
    assert places(role="control") == {"data"}
    assert places(detector={"loss": 1.5}) == {"detector.loss"}
    assert places(seeds=["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4"]) == {"seeds"}


def test_bad_settings_end_the_program_with_code_2(tmp_path):
    f = tmp_path / "p.toml"
    f.write_text('name = "a"\nlocality = 5\n')
    r = CliRunner().invoke(main, ["proxy", "--settings", str(f), "--web", "here"])
    assert r.exit_code == 2
    assert "locality" in r.stderr and "transport: missing" in r.stderr
    for bad in (tmp_path / "none.toml", tmp_path):
        assert CliRunner().invoke(main, ["directory", "--settings", str(bad)]).exit_code == 2
    f.write_text("name = = 1")
    assert CliRunner().invoke(main, ["control", "--settings", str(f)]).exit_code == 2


def test_a_port_in_use_ends_the_program_with_code_2():
    import socket

    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        s.listen()
        taken = f"127.0.0.1:{s.getsockname()[1]}"
        args = [
            "directory",
            "--name",
            "a",
            "--locality",
            "eu/a",
            "--transport",
            taken,
            "--web",
            "127.0.0.1:1",
            "--log",
            "/dev/null",
        ]
        r = CliRunner().invoke(main, args)
    assert r.exit_code == 2 and "start:" in r.stderr
