"""Names of the platform's protocols occur only in the adapter."""

import ast
import re
from pathlib import Path

import pytest

import gladedrum
from gladedrum.platform import wire

_ROOT = Path(gladedrum.__file__).parent
_ALLOWED = ("platform", "standins")
"""The adapter, and the stand-ins that implement the platform's side of the protocols."""

_PLATFORM_NAMES = re.compile(
    r"x-gladedrum-|/api/|kv-(key|range|watch|txn|lease|keep)|op/config|servers/|expectedRevision"
    r"|pathPrefix|maxAttempts|latencyTargetMs|allowAnonymous|apiKeys|holdMs|GLADEDRUM_NODE_FILE",
    re.IGNORECASE,
)


def _sources() -> list[Path]:
    paths = sorted(_ROOT.rglob("*.py"))
    return [
        path
        for path in paths
        if "tests" not in path.parts and path.relative_to(_ROOT).parts[0] not in _ALLOWED
    ]


@pytest.mark.parametrize("path", _sources(), ids=lambda path: str(path.relative_to(_ROOT)))
def test_module_spells_no_platform_name(path):
    strings = [
        node.value if isinstance(node.value, str) else node.value.decode("latin-1")
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Constant) and isinstance(node.value, str | bytes)
    ]
    assert [text for text in strings if _PLATFORM_NAMES.search(text)] == []


def test_pattern_matches_known_names():
    assert _PLATFORM_NAMES.search(wire.REQUEST_ID.decode())
    assert _PLATFORM_NAMES.search(wire.STORE_TRANSACTION_PATH)
    assert _PLATFORM_NAMES.search(wire.TARGETS_PREFIX)
