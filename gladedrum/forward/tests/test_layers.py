"""The rooms of a forwarding box import each other one way only."""

import ast
from pathlib import Path

import pytest

import gladedrum

ROOT = Path(gladedrum.__file__).parent

MAY_IMPORT = {
    "gossip": set(),
    "connections": set(),
    "beliefs": {"gossip"},
    "placing": {"gossip", "connections", "beliefs", "scheduling"},
    "scheduling": set(),
    "forward": {"gossip", "connections", "beliefs", "placing", "scheduling"},
}
"""Which of these rooms each may import, beside what is under all of them."""


def imported_rooms(path: Path) -> set[str]:
    """Return the packages of the product that a module imports."""
    depth = len(path.relative_to(ROOT).parts)
    found = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and node.level == depth:
            names = [node.module] if node.module else [alias.name for alias in node.names]
            found |= {name.split(".")[0] for name in names}
    return found


@pytest.mark.parametrize("room", MAY_IMPORT)
def test_a_room_imports_only_those_below_it(room):
    modules = [p for p in (ROOT / room).rglob("*.py") if not {"tests", "wire"} & set(p.parts)]
    assert modules
    above = (set(MAY_IMPORT) | {"daemon", "entry", "ctl"}) - MAY_IMPORT[room] - {room}
    for path in modules:
        assert not imported_rooms(path) & above, path
