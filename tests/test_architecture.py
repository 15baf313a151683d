"""The import graph: packages import only what docs/architecture.md allows, and no modules form a circle."""

import ast
import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parent.parent
PACKAGES = (
    "mothshed.constants",
    "mothshed.runtime",
    "mothshed.storage",
    "mothshed.http",
    "mothshed.transport",
    "mothshed.configuration",
    "mothshed.replicas",
    "mothshed.control_plane",
    "mothshed.data_plane",
    "mothshed.programs",
)
TOP = ("platform", "tools", "tests")
ALL_OURS = (*PACKAGES, *TOP)


def module_name(path):
    """Name a file as it is imported; those of platform/ are found through their folder."""
    parts = path.relative_to(ROOT).with_suffix("").parts
    if parts[0] == "platform":
        return "/".join(parts)
    return ".".join(parts).removesuffix(".__init__")


MODULES = {module_name(path): path for top in ("mothshed", *TOP) for path in (ROOT / top).rglob("*.py")}
OF_PLATFORM = {name.split("/")[1]: name for name in MODULES if name.startswith("platform/")}


def imports(tree):
    """Give the modules of ours that a file imports, at its top or within functions."""
    names = {alias.name for node in ast.walk(tree) if isinstance(node, ast.Import) for alias in node.names}
    return {OF_PLATFORM.get(name, name) for name in names if name in MODULES or name in OF_PLATFORM}


GRAPH = {name: imports(ast.parse(path.read_text())) for name, path in MODULES.items()}


def package_of(module):
    return next((name for name in ALL_OURS if re.match(rf"{re.escape(name)}(\.|/|$)", module)), "mothshed")


def allowed():
    """Read the page's table: package -> prefixes that it may import."""
    found = {}
    for line in (ROOT / "docs" / "architecture.md").read_text().splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if len(cells) == 3 and cells[0].strip("`") in ALL_OURS:
            package = cells[0].strip("`")
            named = set(re.findall(r"`([^`]+)`", cells[2]))
            if cells[2].startswith("all"):
                named = set(ALL_OURS) - named
            found[package] = named | {package}
    return found


def refused(package, graph, table):
    """Give the imports of one package's modules that the table does not allow."""
    return sorted(
        (module, target)
        for module, targets in graph.items()
        if package_of(module) == package
        for target in targets
        if not any(re.match(rf"{re.escape(prefix)}(\.|/|$)", target) for prefix in table[package])
    )


def circles(graph):
    """Give modules from which a chain of imports leads back to themselves."""
    reached = {}
    for module in graph:
        seen, waiting = set(), list(graph[module])
        while waiting:
            target = waiting.pop()
            if target not in seen:
                seen.add(target)
                waiting.extend(graph[target])
        reached[module] = seen
    return sorted(module for module, seen in reached.items() if module in seen)


def test_the_page_names_each_package_once():
    assert sorted(allowed()) == sorted(ALL_OURS)


@pytest.mark.parametrize("package", ALL_OURS)
def test_a_package_imports_only_what_the_page_allows(package):
    assert refused(package, GRAPH, allowed()) == []


def test_no_modules_import_each_other_in_a_circle():
    assert circles(GRAPH) == []


def test_the_programs_import_tools_within_functions_only():
    tops = [
        alias.name
        for path in (ROOT / "mothshed").rglob("*.py")
        for node in ast.parse(path.read_text()).body
        if isinstance(node, ast.Import)
        for alias in node.names
    ]
    assert [name for name in tops if name.split(".")[0] in ("tools", "tests")] == []


def test_a_forbidden_import_and_a_circle_are_found():
    graph = {
        "mothshed.http.http_client": {"tools.fleet"},
        "tools.fleet": {"mothshed.http.http_client"},
        "tests.one": set(),
    }
    assert refused("mothshed.http", graph, allowed()) == [("mothshed.http.http_client", "tools.fleet")]
    assert refused("tools", graph, allowed()) == []
    assert circles(graph) == ["mothshed.http.http_client", "tools.fleet"]


def test_every_file_named_on_the_page_exists():
    page = (ROOT / "docs" / "architecture.md").read_text()
    folders = "|".join(name.removeprefix("mothshed.") for name in (*PACKAGES, "platform"))
    named = re.findall(rf"`((?:{folders})/\w+)`", page)
    assert (
        named
        and [name for name in named if not any((base / f"{name}.py").exists() for base in (ROOT, ROOT / "mothshed"))]
        == []
    )
