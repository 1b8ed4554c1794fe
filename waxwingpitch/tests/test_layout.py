"""Rules of the package's layout that a reader relies on."""

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
# Modules that import each other, from before this check; each is to be taken apart.
KNOWN_CIRCLES = {
    frozenset({"entry.daemon", "entry.dump", "entry.web"}),
    frozenset({"entry.bound_runs", "entry.plain_path"}),
    frozenset({"standins.engine", "standins.fleet"}),
}


def iter_modules():
    for path in sorted(PACKAGE.rglob("*.py")):
        if "tests" not in path.parts:
            yield path


def name_module(path: Path) -> str:
    parts = path.relative_to(PACKAGE).with_suffix("").parts
    return ".".join(part for part in parts if part != "__init__")


def iter_imports(path: Path):
    """Yield the modules of the package that a module imports when it is loaded."""
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


def find_circles() -> set[frozenset[str]]:
    modules = {name_module(path): path for path in iter_modules()}
    graph = {
        name: {item for item in iter_imports(path) if item in modules and item != name}
        for name, path in modules.items()
        if path.name != "__init__.py"
    }
    reach = {name: set(targets) for name, targets in graph.items()}
    changed = True
    while changed:
        changed = False
        for name, targets in reach.items():
            grown = targets.union(*(reach.get(item, set()) for item in targets))
            if grown != targets:
                reach[name], changed = grown, True
    circles = set()
    for name, targets in reach.items():
        if name in targets:
            circles.add(
                frozenset(other for other in targets if name in reach.get(other, set()))
            )
    return circles


def test_only_the_adapter_knows_the_platforms_names():
    found = [
        f"{path.relative_to(PACKAGE)}: {match[0]}"
        for path in iter_modules()
        if path.relative_to(PACKAGE).parts[0] != "platform"
        for match in PLATFORM_NAMES.finditer(path.read_text())
    ]
    assert found == []


def test_modules_do_not_import_each_other_in_circles():
    assert find_circles() <= KNOWN_CIRCLES


def test_adapter_stays_small():
    lines = sum(
        len(path.read_text().splitlines())
        for path in (PACKAGE / "platform").glob("*")
        if path.suffix == ".py"
    )
    assert lines <= 900
