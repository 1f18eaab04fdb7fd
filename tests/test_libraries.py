"""Libraries that were installed for another kind of machine or another Python are noticed."""

import os
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
BUILD = tomllib.loads((ROOT / "deploy/system.toml").read_text())["build"]


@pytest.fixture
def foreign_libraries(tmp_path):
    """A folder of libraries whose gevent is one of another machine."""
    package = tmp_path / "target" / "deps" / "gevent"
    package.mkdir(parents=True)
    (package / "__init__.py").write_text('raise ImportError("wrong ELF class: ELFCLASS32")')
    return package.parent


def test_a_process_with_foreign_libraries_ends_with_a_clear_error(foreign_libraries):
    """Guards against a traceback as the only sign of libraries that were carried over from another machine."""
    ended = subprocess.run(
        [sys.executable, "-m", "mallowvalve", "proxy", "--settings", "/nowhere"],
        cwd=ROOT,
        env=os.environ | {"PYTHONPATH": str(foreign_libraries)},
        capture_output=True,
        text=True,
        check=False,
    )
    assert ended.returncode == 1
    assert ended.stderr.startswith("mallowvalve: a library cannot be loaded: wrong ELF class")
    assert len(ended.stderr.splitlines()) == 1


def run_build(folder, log):
    """Runs the build line with an installer that only records that it was called."""
    programs = folder / "programs"
    programs.mkdir(exist_ok=True)
    python = programs / "python3"
    python.write_text(f'#!/bin/sh\nif [ "$1" = -m ]; then echo "$2" >> {log}; else exec {sys.executable} "$@"; fi\n')
    python.chmod(0o755)
    (folder / "requirements.txt").touch()
    path = f"{programs}:{os.environ['PATH']}"
    subprocess.run(["sh", "-c", BUILD], cwd=folder, env={"PATH": path}, check=True)


def test_the_build_replaces_foreign_libraries(foreign_libraries, tmp_path):
    log = tmp_path / "log"
    (tmp_path / "requirements.txt").touch()
    os.utime(tmp_path / "requirements.txt", (1, 1))
    run_build(tmp_path, log)
    assert log.read_text() == "pip\n" and not foreign_libraries.exists()


def test_the_build_installs_libraries_where_there_are_none(tmp_path):
    log = tmp_path / "log"
    run_build(tmp_path, log)
    assert log.read_text() == "pip\n"
