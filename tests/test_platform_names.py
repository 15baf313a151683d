"""The platform's names are used in its folder only, and the folder does not hide the standard library's `platform`."""

import ast
import json
import os
import pathlib
import re
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent
PRODUCT = sorted(
    p for d in ("mothshed", "tools") for p in (ROOT / d).rglob("*") if p.suffix in (".py", ".json", ".yaml")
)
WORDS = (
    "Try-Id",
    "Postmark",
    "Cache-From",
    "consignment",
    "itinerary",
    "itineraries",
    "depot",
    "depots",
    "winding_down",
    "in_service",
    "signal_box",
    "MOTHSHED_SETTINGS",
    "Expect-Replica",
    "Not-Run",
    "Prompt-Prefix",
    "Time-Left",
    "kv-handle",
    "parcel_bytes",
    "headway_ms",
    "fence_no",
    "bearer_id",
    "provider",
)
SETTINGS = {
    "station": "n1",
    "own_ip": "127.0.0.1",
    "port_range": [20000, 20100],
    "zone": "a",
    "seed_nodes": ["127.0.0.1:1"],
    "gates": {"counter": "127.0.0.1:20001", "readiness": "127.0.0.1:20002"},
    "provider": {"address": "127.0.0.1:20003"},
}


@pytest.mark.parametrize("word", WORDS)
def test_names_of_the_platform_are_used_in_its_folder_only(word):
    case = (
        re.IGNORECASE if re.search("[-_]", word) else 0
    )  # common English words match only as the platform spells them
    parts = re.compile(rf"(?<![A-Za-z0-9]){word}(?![A-Za-z0-9])", case)
    assert [str(p.relative_to(ROOT)) for p in PRODUCT if parts.search(p.read_text())] == []


def test_other_packages_import_nothing_from_the_folder():
    names = {p.stem for p in (ROOT / "platform").glob("*.py")}
    assert names
    found = [
        (p.name, a.name)
        for p in PRODUCT
        if p.suffix == ".py"
        for node in ast.walk(ast.parse(p.read_text()))
        if isinstance(node, ast.Import)
        for a in node.names
        if a.name in names
    ]
    assert found == []


def run(words, env=None, cwd=ROOT):
    return subprocess.run(
        [sys.executable, *words],
        capture_output=True,
        text=True,
        timeout=20,
        cwd=cwd,
        env={k: v for k, v in {**os.environ, **(env or {})}.items() if v is not None},
    )


@pytest.mark.parametrize(
    "path", [[], [str(ROOT / "platform")], [str(ROOT)], [str(ROOT), str(ROOT / "platform")]], ids=len
)
def test_import_platform_gives_the_standard_library_module(path):
    done = run(
        ["-c", "import platform; print(platform.__file__); platform.system()"], {"PYTHONPATH": os.pathsep.join(path)}
    )
    assert done.returncode == 0 and not pathlib.Path(done.stdout.strip()).is_relative_to(ROOT), done.stderr


def test_the_folder_is_no_package_and_hides_no_standard_module():
    names = {p.stem for p in (ROOT / "platform").glob("*.py")}
    assert "__init__" not in names and names & set(sys.stdlib_module_names) == set()


def test_the_folder_keeps_the_house_style():
    for path in (ROOT / "platform").glob("*.py"):
        tree = ast.parse(path.read_text())
        kinds = {type(node) for node in ast.walk(tree)}
        assert ast.get_docstring(tree) and not kinds & {ast.ImportFrom, ast.AsyncFunctionDef, ast.Await}, path.name


def start(words, text, tmp_path):
    path = tmp_path / "settings.json"
    if text is not None:
        path.write_text(text)
    return run([str(ROOT / "platform" / "start.py"), *words], {"MOTHSHED_SETTINGS": str(path)}, tmp_path)


def settings_with(**change):
    return json.dumps({**SETTINGS, **change})


BAD = {
    "missing": None,
    "empty": "",
    "truncated": json.dumps(SETTINGS)[:60],
    "a list": "[]",
    "a number": "7",
    "no bytes of a text": "\ud7ff\x00",
    "no address of its own": settings_with(own_ip=None),
    "no zone": settings_with(zone=""),
    "no gates": settings_with(gates={}),
    "no seeds": settings_with(seed_nodes=[]),
    "a name that is none": settings_with(station="a b"),
    "no ports": settings_with(port_range=[]),
    "a port that is none": settings_with(port_range=[70000, 70001]),
    "no provider": settings_with(provider={}),
    "gates as text": settings_with(gates="x"),
    "a gate that is no address": settings_with(gates={"counter": "here"}),
    "grace as text": settings_with(guarantees={"grace_s": "long"}),
}


@pytest.mark.parametrize("program", ["route", "keep"])
@pytest.mark.parametrize("name", ["missing", "truncated"])
def test_unreadable_settings_give_one_line_and_exit_2(tmp_path, program, name):
    done = start([program], BAD[name], tmp_path)
    output = (done.stderr + done.stdout).strip()
    assert done.returncode == 2 and output and len(output.splitlines()) == 1 and "Traceback" not in output, output


def test_invalid_settings_give_one_line_and_exit_2(tmp_path):
    for number, text in enumerate(BAD.values()):
        if text is not None:
            (tmp_path / str(number)).write_text(text)
    code = (
        "import os, sys, start\nfor path in sys.argv[1:]:\n    os.environ['MOTHSHED_SETTINGS'] = path\n"
        "    print(start.main(['route']), start.main(['keep']), flush=True, file=sys.stderr)"
    )
    done = run(["-c", code, *[str(tmp_path / str(n)) for n in range(len(BAD))]], {"PYTHONPATH": str(ROOT / "platform")})
    rows = done.stderr.splitlines()
    assert len(rows) == 3 * len(BAD), done.stderr
    assert rows[2::3] == ["2 2"] * len(BAD) and all(
        r.startswith("settings are not valid: ") for r in rows[0::3] + rows[1::3]
    )


def test_an_unset_settings_variable_gives_one_line_and_exit_2():
    done = run([str(ROOT / "platform" / "start.py"), "route"], {"MOTHSHED_SETTINGS": None})
    assert done.returncode == 2 and len(done.stderr.strip().splitlines()) == 1 and "MOTHSHED_SETTINGS" in done.stderr


@pytest.mark.parametrize("words", [[], ["other"], ["route", "keep"]])
def test_an_unknown_program_gives_exit_2(tmp_path, words):
    done = start(words, json.dumps(SETTINGS), tmp_path)
    assert done.returncode == 2 and len(done.stderr.strip().splitlines()) == 1


def test_unknown_fields_are_ignored():
    more = {
        "new": {"deep": [1]},
        "gates": {**SETTINGS["gates"], "new": 7},
        "provider": {**SETTINGS["provider"], "rate_per_s": 9},
    }
    code = "import json, sys, node_settings as n; print(json.dumps([n.translate(json.loads(t)) for t in sys.argv[1:]]))"
    paths = os.pathsep.join([str(ROOT), str(ROOT / "platform")])
    done = run(["-c", code, json.dumps(SETTINGS), settings_with(**more)], {"PYTHONPATH": paths})
    plain, odd = json.loads(done.stdout)
    assert plain == odd and plain["http"] == "127.0.0.1:20001" and plain["list_url"] == "http://127.0.0.1:20003"


def test_guarantees_are_translated_to_settings():
    node = settings_with(guarantees={"edition_ms": 2500, "tenure_ms": 3000, "grace_s": 8})
    code = "import json, sys, node_settings as n; print(json.dumps([n.translate(json.loads(t)) for t in sys.argv[1:]]))"
    paths = os.pathsep.join([str(ROOT), str(ROOT / "platform")])
    done = run(["-c", code, node, settings_with(guarantees={})], {"PYTHONPATH": paths})
    named, unnamed = json.loads(done.stdout)
    assert (named["in_force_s"], named["tenure_s"]) == (2.5, 3.0)
    assert "in_force_s" not in unnamed and "tenure_s" not in unnamed
