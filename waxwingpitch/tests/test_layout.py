"""Import cycles, use of the platform's names, and the size of its adapter."""

from __future__ import annotations

import ast
import re
from pathlib import Path

PACKAGE = Path(__file__).parents[1]
PLATFORM_NAMES = re.compile(
    r"attempt-id|response-seal|not-executed|prompt-prefix|token-counts|expect-instance"
    r"|kv-(txn|watch|range|lease|keep)|traffic_split|target_latency_ms|cold_left_ms"
    r"|/waxwingpitch/(ready|order|report)|op/config|op/evacuate",
    re.IGNORECASE,
)


def iter_modules():
    for path in sorted(PACKAGE.rglob("*.py")):
        if "tests" not in path.parts:
            yield path


def name_module(path: Path) -> str:
    parts = path.relative_to(PACKAGE).with_suffix("").parts
    return ".".join(part for part in parts if part != "__init__")


def iter_imports(path: Path):
    """Yield the modules of the package that a module imports."""
    package = path.relative_to(PACKAGE).parent.parts
    tree = ast.parse(path.read_text())
    for node in ast.walk(tree):
        if not isinstance(node, ast.ImportFrom) or not node.level:
            continue
        base = package[: len(package) - (node.level - 1)]
        prefix = ".".join((*base, *(node.module.split(".") if node.module else ())))
        yield prefix
        for alias in node.names:
            yield f"{prefix}.{alias.name}".lstrip(".")


def find_import_cycles() -> set[frozenset[str]]:
    modules = {name_module(path): path for path in iter_modules()}
    graph = {
        name: {item for item in iter_imports(path) if item in modules and item != name}
        for name, path in modules.items()
        if path.name != "__init__.py"
    }
    reachable = {name: set(imported) for name, imported in graph.items()}
    changed = True
    while changed:
        changed = False
        for name, imported in reachable.items():
            extended = imported.union(
                *(reachable.get(item, set()) for item in imported)
            )
            if extended != imported:
                reachable[name], changed = extended, True
    cycles = set()
    for name, imported in reachable.items():
        if name in imported:
            cycles.add(
                frozenset(
                    other for other in imported if name in reachable.get(other, set())
                )
            )
    return cycles


def test_platform_names_occur_only_in_the_adapter():
    found = [
        f"{path.relative_to(PACKAGE)}: {match[0]}"
        for path in iter_modules()
        if path.relative_to(PACKAGE).parts[0] != "platform"
        for match in PLATFORM_NAMES.finditer(path.read_text())
    ]
    assert found == []


def test_there_are_no_import_cycles():
    assert find_import_cycles() == set()


def test_adapter_stays_small():
    lines = sum(
        len(path.read_text().splitlines())
        for path in (PACKAGE / "platform").glob("*")
        if path.suffix == ".py"
    )
    assert lines <= 900
