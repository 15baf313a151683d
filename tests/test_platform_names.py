"""The platform's words and folder: known in one place, and not in the way of Python's own `platform`."""

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
def test_no_word_of_the_platform_is_known_outside_its_folder(word):
    case = re.IGNORECASE if re.search("[-_]", word) else 0  # a word of plain English counts as the platform writes it
    parts = re.compile(rf"(?<![A-Za-z0-9]){word}(?![A-Za-z0-9])", case)
    assert [str(p.relative_to(ROOT)) for p in PRODUCT if parts.search(p.read_text())] == []


def test_the_product_takes_nothing_from_the_folder():
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
def test_pythons_own_platform_stays_what_it_is(path):
    done = run(
        ["-c", "import platform; print(platform.__file__); platform.system()"], {"PYTHONPATH": os.pathsep.join(path)}
    )
    assert done.returncode == 0 and not pathlib.Path(done.stdout.strip()).is_relative_to(ROOT), done.stderr


def test_the_folder_is_no_package_and_hides_no_module():
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


def spoiled(**change):
    return json.dumps({**SETTINGS, **change})


BAD = {
    "missing": None,
    "empty": "",
    "torn": json.dumps(SETTINGS)[:60],
    "a list": "[]",
    "a number": "7",
    "no bytes of a text": "\ud7ff\x00",
    "no address of its own": spoiled(own_ip=None),
    "no zone": spoiled(zone=""),
    "no gates": spoiled(gates={}),
    "no seeds": spoiled(seed_nodes=[]),
    "a name that is none": spoiled(station="a b"),
    "no ports": spoiled(port_range=[]),
    "a port that is none": spoiled(port_range=[70000, 70001]),
    "no provider": spoiled(provider={}),
    "gates as text": spoiled(gates="x"),
    "a gate that is no address": spoiled(gates={"counter": "here"}),
    "grace as text": spoiled(guarantees={"grace_s": "long"}),
}


@pytest.mark.parametrize("program", ["route", "keep"])
@pytest.mark.parametrize("name", ["missing", "torn"])
def test_settings_that_cannot_be_read_are_one_line_and_exit_2(tmp_path, program, name):
    done = start([program], BAD[name], tmp_path)
    said = (done.stderr + done.stdout).strip()
    assert done.returncode == 2 and said and len(said.splitlines()) == 1 and "Traceback" not in said, said


def test_settings_with_any_fault_are_one_line_and_exit_2(tmp_path):
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


def test_settings_that_nobody_named_are_one_line_and_exit_2():
    done = run([str(ROOT / "platform" / "start.py"), "route"], {"MOTHSHED_SETTINGS": None})
    assert done.returncode == 2 and len(done.stderr.strip().splitlines()) == 1 and "MOTHSHED_SETTINGS" in done.stderr


@pytest.mark.parametrize("words", [[], ["other"], ["route", "keep"]])
def test_a_program_that_is_none_is_exit_2(tmp_path, words):
    done = start(words, json.dumps(SETTINGS), tmp_path)
    assert done.returncode == 2 and len(done.stderr.strip().splitlines()) == 1


def test_fields_that_nobody_knows_are_passed_over():
    more = {
        "new": {"deep": [1]},
        "gates": {**SETTINGS["gates"], "new": 7},
        "provider": {**SETTINGS["provider"], "rate_per_s": 9},
    }
    code = "import json, sys, node_settings as n; print(json.dumps([n.translate(json.loads(t)) for t in sys.argv[1:]]))"
    paths = os.pathsep.join([str(ROOT), str(ROOT / "platform")])
    done = run(["-c", code, json.dumps(SETTINGS), spoiled(**more)], {"PYTHONPATH": paths})
    plain, odd = json.loads(done.stdout)
    assert plain == odd and plain["http"] == "127.0.0.1:20001" and plain["list_url"] == "http://127.0.0.1:20003"


def test_the_guarantees_become_bounds_of_our_own():
    said = spoiled(guarantees={"edition_ms": 2500, "tenure_ms": 3000, "grace_s": 8})
    code = "import json, sys, node_settings as n; print(json.dumps([n.translate(json.loads(t)) for t in sys.argv[1:]]))"
    paths = os.pathsep.join([str(ROOT), str(ROOT / "platform")])
    done = run(["-c", code, said, spoiled(guarantees={})], {"PYTHONPATH": paths})
    named, unnamed = json.loads(done.stdout)
    assert (named["in_force_s"], named["tenure_s"]) == (2.5, 3.0)
    assert "in_force_s" not in unnamed and "tenure_s" not in unnamed
