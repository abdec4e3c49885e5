"""Packages of the forwarding box import each other in one direction only."""

import ast
from pathlib import Path

import pytest

import gladedrum

ROOT = Path(gladedrum.__file__).parent

MAY_IMPORT = {
    "gossip": set(),
    "connections": set(),
    "paths": {"gossip", "connections"},
    "beliefs": {"gossip"},
    "placing": {"gossip", "connections", "beliefs", "scheduling"},
    "scheduling": set(),
    "forward": {"gossip", "connections", "paths", "beliefs", "placing", "scheduling"},
}
"""Which of these packages each may import; common base packages are not listed."""


def imported_packages(path: Path) -> set[str]:
    """Return the top-level gladedrum packages that a module imports."""
    depth = len(path.relative_to(ROOT).parts)
    found = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and node.level == depth:
            names = [node.module] if node.module else [alias.name for alias in node.names]
            found |= {name.split(".")[0] for name in names}
    return found


@pytest.mark.parametrize("package", MAY_IMPORT)
def test_a_package_imports_only_lower_packages(package):
    modules = [p for p in (ROOT / package).rglob("*.py") if not {"tests", "wire"} & set(p.parts)]
    assert modules
    above = (set(MAY_IMPORT) | {"daemon", "entry", "ctl"}) - MAY_IMPORT[package] - {package}
    for path in modules:
        assert not imported_packages(path) & above, path
