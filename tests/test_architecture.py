"""Import graph checks: packages import only what docs/architecture.md allows, and no import cycle exists."""

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
OTHER_FOLDERS = ("platform", "tools", "tests")
ALL_PACKAGES = (*PACKAGES, *OTHER_FOLDERS)


def module_name(path):
    """Return the import name of a file; modules of platform/, which is not a package, get a path-like name."""
    parts = path.relative_to(ROOT).with_suffix("").parts
    if parts[0] == "platform":
        return "/".join(parts)
    return ".".join(parts).removesuffix(".__init__")


MODULES = {module_name(path): path for top in ("mothshed", *OTHER_FOLDERS) for path in (ROOT / top).rglob("*.py")}
PLATFORM_MODULES = {name.split("/")[1]: name for name in MODULES if name.startswith("platform/")}


def imports(tree):
    """Return the repository modules that a file imports, at module level or within functions."""
    names = {alias.name for node in ast.walk(tree) if isinstance(node, ast.Import) for alias in node.names}
    return {PLATFORM_MODULES.get(name, name) for name in names if name in MODULES or name in PLATFORM_MODULES}


GRAPH = {name: imports(ast.parse(path.read_text())) for name, path in MODULES.items()}


def package_of(module):
    return next((name for name in ALL_PACKAGES if re.match(rf"{re.escape(name)}(\.|/|$)", module)), "mothshed")


def allowed_imports():
    """Read the table in docs/architecture.md: package -> module prefixes that it may import."""
    prefixes = {}
    for line in (ROOT / "docs" / "architecture.md").read_text().splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if len(cells) == 3 and cells[0].strip("`") in ALL_PACKAGES:
            package = cells[0].strip("`")
            named = set(re.findall(r"`([^`]+)`", cells[2]))
            if cells[2].startswith("all"):
                named = set(ALL_PACKAGES) - named
            prefixes[package] = named | {package}
    return prefixes


def forbidden_imports(package, graph, table):
    """Return the (module, target) imports of one package that the table does not allow."""
    return sorted(
        (module, target)
        for module, targets in graph.items()
        if package_of(module) == package
        for target in targets
        if not any(re.match(rf"{re.escape(prefix)}(\.|/|$)", target) for prefix in table[package])
    )


def modules_in_cycles(graph):
    """Return the modules that import themselves, directly or through other modules."""
    reached = {}
    for module in graph:
        visited, pending = set(), list(graph[module])
        while pending:
            target = pending.pop()
            if target not in visited:
                visited.add(target)
                pending.extend(graph[target])
        reached[module] = visited
    return sorted(module for module, visited in reached.items() if module in visited)


def test_the_table_names_each_package_once():
    assert sorted(allowed_imports()) == sorted(ALL_PACKAGES)


@pytest.mark.parametrize("package", ALL_PACKAGES)
def test_a_package_imports_only_what_the_table_allows(package):
    assert forbidden_imports(package, GRAPH, allowed_imports()) == []


def test_there_is_no_import_cycle():
    assert modules_in_cycles(GRAPH) == []


def test_the_product_imports_tools_within_functions_only():
    module_level_imports = [
        alias.name
        for path in (ROOT / "mothshed").rglob("*.py")
        for node in ast.parse(path.read_text()).body
        if isinstance(node, ast.Import)
        for alias in node.names
    ]
    assert [name for name in module_level_imports if name.split(".")[0] in ("tools", "tests")] == []


def test_a_forbidden_import_and_an_import_cycle_are_reported():
    graph = {
        "mothshed.http.http_client": {"tools.fleet"},
        "tools.fleet": {"mothshed.http.http_client"},
        "tests.one": set(),
    }
    assert forbidden_imports("mothshed.http", graph, allowed_imports()) == [
        ("mothshed.http.http_client", "tools.fleet")
    ]
    assert forbidden_imports("tools", graph, allowed_imports()) == []
    assert modules_in_cycles(graph) == ["mothshed.http.http_client", "tools.fleet"]


def test_every_file_named_in_the_architecture_document_exists():
    page = (ROOT / "docs" / "architecture.md").read_text()
    folders = "|".join(name.removeprefix("mothshed.") for name in (*PACKAGES, "platform"))
    named = re.findall(rf"`((?:{folders})/\w+)`", page)
    assert (
        named
        and [name for name in named if not any((base / f"{name}.py").exists() for base in (ROOT, ROOT / "mothshed"))]
        == []
    )
