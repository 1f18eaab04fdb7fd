"""The layers of docs/architecture.md: no package imports from its own layer or a higher one."""

import ast
import re
from collections import Counter
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PRODUCT = "mallowvalve"
PAGE = (ROOT / "docs" / "architecture.md").read_text()
ALLOWED_VIOLATIONS: dict[tuple[str, str], int] = {}
"""The tolerated imports against the layers, as (importer, imported) and their number. It may only shrink."""

CHECKER_USERS = {"localfleet.history", "localfleet.trial"}
"""The modules, of a development tool, that use the history checker in verification/. The set may only shrink."""

CHECKER_DEPENDENCIES = {"mallowvalve.finding", "mallowvalve.finding.Finding", "mallowvalve.finding.Findings"}
"""All modules and names of the product that the checker may import, which prevents an import cycle."""


def modules() -> dict[str, Path]:
    """Returns the files of the product by module name, such as `raft.log` or `cli`; a package by its own name."""
    found = {}
    for path in sorted((ROOT / PRODUCT).rglob("*.py")):
        parts = path.relative_to(ROOT / PRODUCT).with_suffix("").parts
        found[".".join(parts[:-1] if parts[-1] == "__init__" and len(parts) > 1 else parts)] = path
    return found


MODULES = modules()


def layers(page: str) -> dict[str, int]:
    """Returns the layer numbers in the page's table, lines `| 3 | `node` | ...`, by package or module."""
    table = {}
    for number, names in re.findall(r"^\| (\d+) \| ([^|]*) \|", page, re.M):
        for name in re.findall(r"`([\w.]+)`", names):
            assert name not in table, f"{name} is in two layers"
            table[name] = int(number)
    return table


def layer_name(module: str, table: dict[str, int]) -> str:
    """Returns the table's entry for a module: its own name or that of its package."""
    return module if module in table else module.partition(".")[0]


def imports_of(tree: ast.AST) -> list[str]:
    """Returns the product modules that a module imports, at any depth, by the names of `modules`."""
    found = []
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            found += [alias.name.partition(".")[2] for alias in node.names if alias.name.partition(".")[0] == PRODUCT]
        elif isinstance(node, ast.ImportFrom) and node.module and node.module.partition(".")[0] == PRODUCT:
            inside = node.module.partition(".")[2]
            for alias in node.names:
                whole = f"{inside}.{alias.name}" if inside else alias.name
                found.append(whole if whole in MODULES else inside or "__init__")
    return found


def violations(imports: dict[str, list[str]], table: dict[str, int]) -> Counter:
    """Counts the imports that do not go to a lower layer, by (importer, imported) as named in the table."""
    found: Counter = Counter()
    for module, others in imports.items():
        for other in others:
            importer, imported = layer_name(module, table), layer_name(other, table)
            if importer != imported and table[importer] <= table[imported]:
                found[importer, imported] += 1
    return found


IMPORTS = {module: imports_of(ast.parse(path.read_text())) for module, path in MODULES.items()}


def test_the_page_assigns_a_layer_to_every_module_and_names_no_others():
    table = layers(PAGE)
    assert sorted({layer_name(module, table) for module in MODULES}) == sorted(table)


def test_no_import_violates_the_layers_except_those_listed():
    found = violations(IMPORTS, layers(PAGE))
    assert {pair: n for pair, n in found.items() if n > ALLOWED_VIOLATIONS.get(pair, 0)} == {}
    assert {pair: n for pair, n in ALLOWED_VIOLATIONS.items() if found[pair] < n} == {}, (
        "reduce the list to the violations that remain"
    )


def test_there_is_no_import_cycle():
    graph = {module: set(others) - {module} for module, others in IMPORTS.items()}
    assert tuple(TopologicalSorter(graph).static_order())


def modules_imported(path: Path) -> set[str]:
    """Returns the full names of the modules that a file imports, including `package.module` in `from` imports."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            found |= {node.module} | {f"{node.module}.{alias.name}" for alias in node.names}
        elif isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
    return found


def test_the_product_imports_no_test_code_except_the_history_checker():
    others = {"sim", "tests", "verification", "platform"}
    found = {
        (module, name)
        for module, path in MODULES.items()
        for name in modules_imported(path)
        if name.partition(".")[0] in others
    }
    assert {module for module, _ in found} == CHECKER_USERS
    checker = {f"verification.{p.stem}": p for p in (ROOT / "verification").glob("*.py")}
    pending = [name for _, name in found if name in checker]
    reached: set[str] = set()
    while pending:
        name = pending.pop()
        if name in reached:
            continue
        reached.add(name)
        dependencies = modules_imported(checker[name])
        assert {n for n in dependencies if n.partition(".")[0] == PRODUCT} <= CHECKER_DEPENDENCIES, name
        pending += [n for n in dependencies if n in checker]
    assert bool(reached) == bool(found)


def test_the_checks_detect_violations():
    table = {"low": 0, "mid": 1, "beside": 1, "mid.pure": 0}
    assert violations({"mid.a": ["low.x", "mid.b"]}, table) == {}
    assert violations({"low.a": ["mid.b"], "mid.a": ["beside"]}, table) == {("low", "mid"): 1, ("mid", "beside"): 1}
    assert violations({"low.a": ["mid.pure"], "mid.a": ["mid.pure"]}, table) == {("low", "mid.pure"): 1}
    text = "from mallowvalve.raft import log\ndef f():\n    from mallowvalve import cli\nimport mallowvalve.types\n"
    assert imports_of(ast.parse(text)) == ["raft.log", "types", "cli"]
    with pytest.raises(CycleError):
        tuple(TopologicalSorter({"a": {"b"}, "b": {"a"}}).static_order())


def functions_in(path: Path) -> set[str]:
    """Returns the functions of a file as the page names them: `name` or `Class.name`."""
    found = set()
    for node in ast.parse(path.read_text()).body:
        if isinstance(node, ast.FunctionDef):
            found.add(node.name)
        elif isinstance(node, ast.ClassDef):
            found |= {f"{node.name}.{part.name}" for part in node.body if isinstance(part, ast.FunctionDef)}
    return found


def test_the_functions_listed_on_the_page_exist():
    steps = re.findall(r"^\| [^|]+ \| `([\w/]+\.py)` \| `([\w.]+)` \|$", PAGE, re.M)
    assert len(steps) > 20
    assert [step for step in steps if step[1] not in functions_in(ROOT / step[0])] == []


def test_the_state_machines_listed_on_the_page_exist():
    text = PAGE.partition("## State machines and tasks")[2].partition("They take `now`")[0]
    named = re.findall(r"`(\w+\.\w+)`", text)
    assert len(named) > 15 and [name for name in named if name not in MODULES] == []
