"""Settings files are validated as a whole, and findings name the file, section and key."""

from pathlib import Path

import pytest

from gladedrum import forward  # noqa: F401 - declares settings
from gladedrum.config import (
    Item,
    core,
    declared_items,
    parse_settings,
    render_reference,
    render_sample,
)
from gladedrum.daemon import box  # noqa: F401 - declares the settings
from gladedrum.errors import ConfigError

_ITEM = Item("tests", "share", 0.5, "A share.", minimum=0, maximum=1)
_EXAMPLE_SECTIONS = ("tests", "example")
_LIST = Item("tests", "names", (), "Some names.")


def test_settings_that_a_file_does_not_set_have_their_defaults():
    cfg = parse_settings("[tests]\nnames = a, b\n")
    assert cfg.get(_ITEM) == 0.5
    assert cfg.get(_LIST) == ("a", "b")


def test_all_findings_are_reported_together_with_their_places():
    text = "[tests]\nshare = 2\nshares = 1\n[entry]\nport = many\n"
    with pytest.raises(ConfigError) as caught:
        parse_settings(text, "box.ini")
    places = [finding.place for finding in caught.value.findings]
    assert places == ["box.ini [tests] share", "box.ini [tests] shares", "box.ini [entry] port"]
    assert "did you mean [tests] share" in caught.value.findings[1].message


@pytest.mark.parametrize("text", ["nan", "inf", "-0.1", "x", ""])
def test_invalid_and_out_of_range_numbers_are_rejected(text):
    with pytest.raises(ConfigError):
        parse_settings(f"[tests]\nshare = {text}\n")


def test_a_file_that_is_not_ini_is_one_finding():
    with pytest.raises(ConfigError) as caught:
        parse_settings("port = 1\n", "box.ini")
    assert len(caught.value.findings) == 1


def test_sample_and_reference_list_every_setting():
    sample, reference = render_sample(), render_reference()
    for item in declared_items():
        assert f"#{item.key} = " in sample
        assert f"| `{item.key}` |" in reference


def test_the_pages_generated_from_the_settings_are_current(monkeypatch):
    """`make docs` generates them again."""
    real = {place: item for place, item in core._items.items() if place[0] not in _EXAMPLE_SECTIONS}
    monkeypatch.setattr(core, "_items", real)
    root = Path(__file__).parents[3]
    assert (root / "docs/operators/settings.md").read_text() == render_reference()
    assert (root / "examples/sample.ini").read_text() == render_sample()


def test_sample_with_all_settings_uncommented_is_valid():
    lines = [
        line[1:] if line.startswith("#") and not line.startswith("# ") else line
        for line in render_sample().splitlines()
    ]
    parse_settings("\n".join(lines))
