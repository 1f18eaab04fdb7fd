"""The deployment templates, filled with recorded platform settings, and the deploy file."""

import json
import re
import shlex
import tomllib
from pathlib import Path

import pytest

from mallowvalve import settings
from mallowvalve.cli import main
from tests.fill import fill

ROOT = Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy/system.toml").read_text())
RECORDED_GROUPS = {"proxy": "edge", "control": "core"}
ROLES = sorted(RECORDED_GROUPS)
TEMPLATE_BYTES_MAX = 65536


def template(role: str) -> str:
    return (ROOT / DEPLOY["roles"][role]["template"]).read_text()


def recorded(role: str, **changes) -> dict:
    """Returns the platform's recorded settings for a role, with some of them changed."""
    return json.loads((ROOT / f"platform/recorded/{RECORDED_GROUPS[role]}.json").read_text()) | changes


@pytest.fixture
def load(tmp_path):
    def load_text(role: str, text: str):
        file = tmp_path / "local.json"
        file.write_text(text)
        return settings.load(role, str(file), {})

    return load_text


def test_templates_are_rendered():
    values = {"a": {"b": "x", "c": [1, 2.5, True]}, "t": {"k": "v", "l": "w"}, "none": None, "no": False}
    for text, expected in (
        ("{{a.b}} {{a.c.1}} {{a.c}} {{none}}{{nothing.at.all}}", "x 2.5 1,2.5,true "),
        ("{{a.b|json}} {{none|json}} {{a.c|json}}", '"x" null [1, 2.5, true]'),
        ("{{#t}}{{@}}={{.|json}}{{,}}{{/t}}", 'k="v",l="w"'),
        ("{{#a.c}}{{@}}:{{.}}{{,}}{{/a.c}}", "0:1,1:2.5,2:true"),
        ("{{#a}}{{/a}}{{#a.b}}once{{/a.b}}{{#no}}x{{/no}}{{^no}}y{{/no}}{{^none}}z{{/none}}{{^a}}q{{/a}}", "onceyz"),
    ):
        assert fill(text, values) == expected, text


@pytest.mark.parametrize("role", ROLES)
def test_a_template_filled_with_the_platforms_settings_is_valid(load, role):
    platform = recorded(role)
    loaded = load(role, fill(template(role), platform)).unwrap()
    assert loaded.name == platform["node-name"] and loaded.zones == platform["zones"]
    assert str(loaded.locality) == f"{platform['region']}/{platform['zone']}"
    port = platform["internal-ports"][0]
    assert str(loaded.transport) == f"{platform['ip']}:{port}" and loaded.polite == platform["bounds"]["grace-s"]
    assert [str(seed) for seed in loaded.seeds] == [
        f"{seed.partition(':')[0]}:{port}" for seed in platform["seed-nodes"]
    ]


def test_the_proxys_platform_settings_are_used(load):
    platform = recorded("proxy")
    loaded = load("proxy", fill(template("proxy"), platform)).unwrap()
    assert (str(loaded.web), str(loaded.pages)) == (platform["bind"]["front"], platform["bind"]["readiness"])
    assert (loaded.serve_on, loaded.holds, loaded.data, loaded.directory) == (True, "settings", None, None)
    bounds, budget = platform["bounds"], loaded.budget
    assert budget.ratio == bounds["retry-ratio"]
    assert (budget.span, budget.slack) == (bounds["retry-window-s"], bounds["retry-slack"])
    assert (loaded.cold.over, loaded.cold.slack) == (bounds["cold-overshoot"], bounds["cold-slack"])
    assert all(getattr(loaded.terms, field) for field in loaded.terms.__struct_fields__)


def test_the_cores_platform_settings_are_used(load):
    platform = recorded("control")
    loaded = load("control", fill(template("control"), platform)).unwrap()
    assert (str(loaded.web), str(loaded.directory)) == (platform["bind"]["control"], platform["bind"]["directory"])
    assert str(loaded.data) == platform["data-dir"]
    assert (loaded.heartbeat_ms, loaded.holds) == (platform["heartbeat-s"], "all")


@pytest.mark.parametrize("role", ROLES)
def test_missing_platform_settings_are_reported_with_their_places(load, role):
    def finding_places(**changes):
        loaded = load(role, fill(template(role), recorded(role, **changes)))
        return {finding.place.partition("[")[0] for finding in loaded.err_value}

    assert finding_places(region="") == {"locality"} and finding_places(ip="") == {"transport"}
    assert finding_places(bind={}) >= {"web"}
    assert finding_places(**{"seed-nodes": ["here"]}) == {"seeds"} and finding_places(**{"node-name": 7}) == {"name"}
    assert finding_places(**{"seed-nodes": [f"10.0.0.{number}:1" for number in range(4)]}) == {"seeds"}
    (finding,) = load(role, fill(template(role), recorded(role, bounds={}))).err_value
    assert "not TOML" in finding.text


@pytest.mark.parametrize("role", ROLES)
def test_a_template_with_an_unknown_or_a_missing_key_is_refused(load, role):
    text = fill(template(role), recorded(role))
    assert [finding.place for finding in load(role, "colour = 1\n" + text).err_value] == ["colour"]
    for key in ("name", "locality", "transport", "web"):
        without_key = re.sub(rf"^{key} = .*\n", "", text, flags=re.M)
        findings = load(role, without_key).err_value
        assert [(finding.place, finding.text.startswith("missing")) for finding in findings] == [(key, True)]


def test_the_deploy_file_names_existing_programs_and_files():
    assert sorted(DEPLOY["roles"]) == ROLES
    assert (ROOT / "requirements.txt").exists() and "requirements.txt" in DEPLOY["build"]
    services = []
    for role, deployed in DEPLOY["roles"].items():
        program, *arguments = shlex.split(deployed["run"])
        assert (program, *arguments[:3], arguments[3]) == ("python3", "-S", "deploy/daemon.py", role, "--settings")
        assert (ROOT / arguments[1]).is_file()
        command = main.get_command(None, role)
        options = {option for parameter in command.params for option in parameter.opts}
        assert options >= {argument for argument in arguments if argument.startswith("--")}
        assert (ROOT / deployed["template"]).stat().st_size < TEMPLATE_BYTES_MAX and deployed["on"] in ("edge", "core")
        services += deployed["serves"]
    assert sorted(services) == ["control_plane", "edge", "resolver"]


def test_the_fault_budget_is_taken_from_the_platform_and_may_be_missing(load):
    """Guards against a core that plans for other losses than the platform names, or does not start without them."""
    budget = {"machines": 2, "zones": 1, "regions": 1, "racks": 3}
    for given, wanted in (
        (budget, settings.FaultBudget(machines=2)),
        ({}, settings.FaultBudget()),
        (None, settings.FaultBudget()),
    ):
        filled = fill(template("control"), recorded("control", **{"fault-budget": given}))
        assert load("control", filled).unwrap().fault_budget == wanted


def test_the_platforms_names_are_used_only_in_its_own_files():
    wire = tomllib.loads((ROOT / "deploy/wire.toml").read_text())
    names = {name for name in wire["fields"] if "-" in name}
    for role in ROLES:
        text = template(role)
        tags = re.findall(r"\{\{[#^/]?([^{}|]+)", text)
        names |= {part for tag in tags for part in tag.split(".") if "-" in part}
        names |= set(tomllib.loads(fill(text, recorded(role))).get("terms", {}).values())
    assert len(names) > 30 and {"X-Attempt-Id", "seed-nodes", "fence-token"} <= names
    found = []
    for folder in ("mallowvalve", "sim"):
        for path in sorted((ROOT / folder).rglob("*")):
            if path.suffix in (".py", ".lark"):
                text = path.read_text().lower()
                found += [
                    f"{path.relative_to(ROOT)}: {name}"
                    for name in names
                    if re.search(rf"(?<![\w-]){re.escape(name.lower())}(?![\w-])", text)
                ]
    assert found == []
