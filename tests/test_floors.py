"""The packages stand on floors, as docs/architecture.md lists them: none uses what is on its own floor or above."""

import ast
import re
from collections import Counter
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PRODUCT = "mallowvalve"
PAGE = (ROOT / "docs" / "architecture.md").read_text()
UPWARD: dict[tuple[str, str], int] = {}
"""Imports against the floors, (who, whom) and how many: a list that may only shrink, and is empty."""


CHECKED = {"localfleet.history", "localfleet.trial"}
"""The modules, of a development tool, that use the checker of histories in verification/; the set may only shrink."""

CHECKER_USES = {"mallowvalve.finding", "mallowvalve.finding.Finding", "mallowvalve.finding.Findings"}
"""All that the checker may use of the product, so that there is no circle through it."""


def modules() -> dict[str, Path]:
    """Each module of the product by its name within it: `raft.log`, `cli`; a package itself by its own name."""
    found = {}
    for path in sorted((ROOT / PRODUCT).rglob("*.py")):
        parts = path.relative_to(ROOT / PRODUCT).with_suffix("").parts
        found[".".join(parts[:-1] if parts[-1] == "__init__" and len(parts) > 1 else parts)] = path
    return found


MODULES = modules()


def floors(page: str) -> dict[str, int]:
    """The page's table: lines `| 3 | `node` | ...`, by package or, more exactly, by module."""
    table = {}
    for number, names in re.findall(r"^\| (\d+) \| ([^|]*) \|", page, re.M):
        for name in re.findall(r"`([\w.]+)`", names):
            assert name not in table, f"{name} stands on two floors"
            table[name] = int(number)
    return table


def row(module: str, table: dict[str, int]) -> str:
    """The name in the table that covers a module: its own, or that of its package."""
    return module if module in table else module.partition(".")[0]


def imported(tree: ast.AST) -> list[str]:
    """What a module imports from the product, at any depth, by names as in `modules`."""
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


def against(imports: dict[str, list[str]], table: dict[str, int]) -> Counter:
    """Imports that do not go down, by (who, whom), names as in the table."""
    found: Counter = Counter()
    for module, others in imports.items():
        for other in others:
            who, whom = row(module, table), row(other, table)
            if who != whom and table[who] <= table[whom]:
                found[who, whom] += 1
    return found


IMPORTS = {module: imported(ast.parse(path.read_text())) for module, path in MODULES.items()}


def test_every_module_has_a_floor_on_the_page_and_the_page_names_nothing_else():
    table = floors(PAGE)
    assert sorted({row(module, table) for module in MODULES}) == sorted(table)


def test_no_import_goes_up_but_those_that_are_listed():
    found = against(IMPORTS, floors(PAGE))
    assert {pair: n for pair, n in found.items() if n > UPWARD.get(pair, 0)} == {}
    assert {pair: n for pair, n in UPWARD.items() if found[pair] < n} == {}, "lower the list: it may only shrink"


def test_no_modules_import_each_other_in_a_circle():
    graph = {module: set(others) - {module} for module, others in IMPORTS.items()}
    assert tuple(TopologicalSorter(graph).static_order())


def modules_named(path: Path) -> set[str]:
    """The modules that a file imports, in full; `from package import module` names the module too."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            found |= {node.module} | {f"{node.module}.{alias.name}" for alias in node.names}
        elif isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
    return found


def test_the_product_imports_nothing_of_what_tries_it_but_the_tool_of_trials_its_checker():
    others = {"sim", "tests", "verification", "platform"}
    found = {
        (module, name)
        for module, path in MODULES.items()
        for name in modules_named(path)
        if name.partition(".")[0] in others
    }
    assert {module for module, _ in found} == CHECKED
    checker = {f"verification.{p.stem}": p for p in (ROOT / "verification").glob("*.py")}
    waiting = [name for _, name in found if name in checker]
    reached: set[str] = set()
    while waiting:
        name = waiting.pop()
        if name in reached:
            continue
        reached.add(name)
        inside = modules_named(checker[name])
        assert {n for n in inside if n.partition(".")[0] == PRODUCT} <= CHECKER_USES, name
        waiting += [n for n in inside if n in checker]
    assert bool(reached) == bool(found)


def test_the_checks_see_what_they_are_for():
    table = {"low": 0, "mid": 1, "beside": 1, "mid.pure": 0}
    assert against({"mid.a": ["low.x", "mid.b"]}, table) == {}
    assert against({"low.a": ["mid.b"], "mid.a": ["beside"]}, table) == {("low", "mid"): 1, ("mid", "beside"): 1}
    assert against({"low.a": ["mid.pure"], "mid.a": ["mid.pure"]}, table) == {("low", "mid.pure"): 1}
    text = "from mallowvalve.raft import log\ndef f():\n    from mallowvalve import cli\nimport mallowvalve.types\n"
    assert imported(ast.parse(text)) == ["raft.log", "types", "cli"]
    with pytest.raises(CycleError):
        tuple(TopologicalSorter({"a": {"b"}, "b": {"a"}}).static_order())


def defined(path: Path) -> set[str]:
    """Functions of a file as the page names them: `name`, `Class.name`."""
    found = set()
    for node in ast.parse(path.read_text()).body:
        if isinstance(node, ast.FunctionDef):
            found.add(node.name)
        elif isinstance(node, ast.ClassDef):
            found |= {f"{node.name}.{part.name}" for part in node.body if isinstance(part, ast.FunctionDef)}
    return found


def test_the_functions_that_the_page_leads_through_are_where_it_says():
    steps = re.findall(r"^\| [^|]+ \| `([\w/]+\.py)` \| `([\w.]+)` \|$", PAGE, re.M)
    assert len(steps) > 20
    assert [step for step in steps if step[1] not in defined(ROOT / step[0])] == []


def test_the_machines_that_the_page_names_exist():
    text = PAGE.partition("## State machines and tasks")[2].partition("They take `now`")[0]
    named = re.findall(r"`(\w+\.\w+)`", text)
    assert len(named) > 15 and [name for name in named if name not in MODULES] == []
