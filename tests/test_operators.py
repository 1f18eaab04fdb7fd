"""Runs each admin and planner command that the operators' pages show against a small fleet."""

import json
import re
import shlex
from pathlib import Path

import pytest
from click.testing import CliRunner

from mallowvalve.cli import main
from mallowvalve.localfleet.call import call
from mallowvalve.localfleet.fleet import LocalFleet
from mallowvalve.localfleet.main import wait_until_settled
from tests.shapes import small_shape

DOCS = Path(__file__).parent.parent / "docs"
PAGES = sorted((DOCS / "operators").glob("*.md")) + [DOCS / "first-hour.md"]
COMMAND = re.compile(r"^    mallowvalve ((?:admin|planner)\b[^#\n]*)", re.MULTILINE)


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with LocalFleet(small_shape(), tmp_path_factory.mktemp("pages")) as local_fleet:
        assert wait_until_settled(local_fleet)
        yield local_fleet


def commands():
    return [(page.stem, command.strip()) for page in PAGES for command in COMMAND.findall(page.read_text())]


def test_the_pages_show_commands():
    assert len(commands()) > 25 and {page for page, _ in commands()} >= {
        "agreement",
        "configuration",
        "draining",
        "upstreams",
    }


@pytest.mark.parametrize("page,line", commands())
def test_each_command_on_the_pages_works(fleet, tmp_path, page, line):
    control, proxy = (
        f"127.0.0.1:{fleet.with_role('control')[0].web_port}",
        f"127.0.0.1:{fleet.with_role('proxy')[0].web_port}",
    )
    current = call(fleet.with_role("control")[0].web_port, "GET", "/config")[1]
    (tmp_path / "next.json").write_text(json.dumps(current["doc"]))
    (tmp_path / "change.json").write_text(json.dumps([{"op": "add", "path": "/services/more", "value": {}}]))
    words = shlex.split(line.partition(">")[0])
    substitutions = {
        "CONTROL": control,
        "PROXY": proxy,
        "NEW": control,
        "R": str(current["revision"]),
        "REVISION": str(current["revision"]),
    }
    words = [str(tmp_path / word) if word.endswith(".json") else substitutions.get(word, word) for word in words]
    result = CliRunner().invoke(main, words, env={"MALLOWVALVE_AT": control})
    if "found-anew" in words:
        assert result.exit_code == 1 and "ask one that is blank" in result.stderr
        return
    assert result.exit_code == 0, (line, result.output, result.stderr)
