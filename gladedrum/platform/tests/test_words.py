"""Nothing outside the adapter knows the platform's words."""

import ast
import re
from pathlib import Path

import pytest

import gladedrum
from gladedrum.platform import wire

_ROOT = Path(gladedrum.__file__).parent
_SPEAKERS = ("platform", "standins")
"""The adapter, and the stand-ins that speak the platform's side of its protocol."""

_WORDS = re.compile(
    r"x-gladedrum-|/api/|kv-(key|range|watch|txn|lease|keep)|op/config|servers/|expectedRevision"
    r"|pathPrefix|maxAttempts|latencyTargetMs|allowAnonymous|apiKeys|holdMs|GLADEDRUM_NODE_FILE",
    re.IGNORECASE,
)


def _sources() -> list[Path]:
    paths = sorted(_ROOT.rglob("*.py"))
    return [
        path
        for path in paths
        if "tests" not in path.parts and path.relative_to(_ROOT).parts[0] not in _SPEAKERS
    ]


@pytest.mark.parametrize("path", _sources(), ids=lambda path: str(path.relative_to(_ROOT)))
def test_no_word_of_the_platform_outside_the_adapter(path):
    strings = [
        node.value if isinstance(node.value, str) else node.value.decode("latin-1")
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Constant) and isinstance(node.value, str | bytes)
    ]
    assert [text for text in strings if _WORDS.search(text)] == []


def test_the_check_knows_the_words():
    assert _WORDS.search(wire.REQUEST_ID.decode())
    assert _WORDS.search(wire.STORE_TRANSACTION)
    assert _WORDS.search(wire.TARGETS_PREFIX)
