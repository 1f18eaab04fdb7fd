#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are plain Python, so compiling them is all there is to do.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'PY'
import ast, pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
PY
PYTHONPATH=target/deps python3 -c "import mallowvalve.proxy.main, mallowvalve.control.main"
echo "stand-ins built"
