import subprocess
import sys

import pytest

from mallowvalve.cli import TOOLS, main

LOOK = """
import sys
sys.argv = "mallowvalve {role} --check --name a --locality eu/a --mesh 127.0.0.1:1 --web 127.0.0.1:2 --data d".split()
from mallowvalve.cli import main
main(standalone_mode=False)
import mallowvalve.{role}.main
print(*sorted(sys.modules))
"""
NOT_THERE = {"lark", "mallowvalve.word.maker", *(f"mallowvalve.{t}.main" for t in TOOLS)}


@pytest.mark.parametrize("role", ["flow", "law", "way"])
def test_a_daemon_loads_no_tool_and_no_grammar(role):
    out = subprocess.run([sys.executable, "-c", LOOK.format(role=role)], capture_output=True, text=True, check=True).stdout
    loaded = set(out.split())
    assert f"mallowvalve.{role}.main" in loaded and NOT_THERE & loaded == set()


def test_every_tool_is_listed_and_found():
    assert main.list_commands(None) == sorted([*TOOLS, "flow", "law", "way"])
    assert all(main.get_command(None, t).name == t for t in TOOLS) and main.get_command(None, "none") is None
