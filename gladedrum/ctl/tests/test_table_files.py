"""An exported table can be edited and imported without overwriting the cells of others."""

import json

import pytest

from gladedrum.ctl import table
from gladedrum.ctl.main import _parser, _run
from gladedrum.ctl.table_files import TableUsageError, read_file, rows_at, to_file
from gladedrum.utils import JsonReply, start

ROWS = {"default": {"weight": 2.0}, "class:quick": {"weight": 5.0, "policy": "fifo"}}
EDITS = [
    {"revision": 4, "cells": [{"row": "class:quick", "knob": "weight", "value": 5.0}]},
    {"revision": 3, "cells": [{"row": "class:old", "knob": "weight", "value": None}]},
    {"revision": 2, "cells": [
        {"row": "class:quick", "knob": "weight", "value": 3.0},
        {"row": "class:quick", "knob": "policy", "value": "fifo"},
        {"row": "class:old", "knob": "weight", "value": 1.0},
    ]},
    {"revision": 1, "cells": [{"row": "default", "knob": "weight", "value": 2.0}]},
]  # fmt: skip


def test_exported_table_is_read_back_with_its_revision():
    file = read_file(to_file(ROWS, 4))
    assert file.rows == ROWS
    assert file.revision == 4
    assert read_file(to_file(ROWS)).revision is None


def test_all_invalid_lines_of_a_file_are_reported():
    text = to_file(ROWS, 4).replace("class:quick,5", "class:quick,many") + ",1\n"
    with pytest.raises(TableUsageError) as raised:
        read_file(text)
    assert "line 3" in str(raised.value)
    assert "line 5" in str(raised.value)
    with pytest.raises(TableUsageError, match="is not a revision"):
        read_file("# revision x\nrow\n")


def test_table_at_an_earlier_revision():
    assert rows_at(4, 4, ROWS, EDITS) == ROWS
    assert rows_at(2, 4, ROWS, EDITS) == {
        "default": {"weight": 2.0},
        "class:quick": {"weight": 3.0, "policy": "fifo"},
        "class:old": {"weight": 1.0},
    }
    assert rows_at(0, 4, ROWS, EDITS) == {}
    for revision, edits in ((5, EDITS), (-1, EDITS), (0, EDITS[:2])):
        with pytest.raises(TableUsageError):
            rows_at(revision, 4, ROWS, edits)


@pytest.fixture
def operators(monkeypatch):
    """Fake the operators' interface of a box; returns the edits that were posted."""
    edits = []

    async def call(_args, _reactor, method, path, body=None):
        if method == "POST":
            edits.append(body)
            return JsonReply(200, {"result": "accepted", "revision": 5})
        if path.startswith("history"):
            return JsonReply(200, {"edits": EDITS})
        return JsonReply(200, {"revision": 4, "rows": ROWS})

    monkeypatch.setattr(table, "_call", call)
    return edits


def run(*argv):
    codes = []
    start(_run(_parser().parse_args(argv), None)).addCallback(codes.append)
    return codes[0]


def test_diff_shows_each_cell_before_and_after(operators, capsys):
    assert run("table", "diff", "2", "--json") == 0
    changes = json.loads(capsys.readouterr().out)
    assert changes == [
        {"row": "class:old", "knob": "weight", "before": 1.0, "after": None},
        {"row": "class:quick", "knob": "weight", "before": 3.0, "after": 5.0},
    ]
    assert run("table", "diff", "1", "2") == 0
    assert "class:old" in capsys.readouterr().out
    assert run("table", "diff", "9") != 0


def test_import_of_an_old_file_changes_only_the_cells_its_author_changed(
    operators, capsys, tmp_path
):
    """Guards against an import of an old file that reverts the changes of other operators."""
    assert run("table", "export", "--at", "2") == 0
    text = capsys.readouterr().out
    path = tmp_path / "table.csv"
    path.write_text(text.replace("default,2", "default,7"))
    assert run("table", "import", str(path)) == 0
    (edit,) = operators
    assert edit["cells"] == [{"row": "default", "knob": "weight", "value": 7.0}]
    assert edit["seen_revision"] == 2


# Guards against an import that clears the cells whose lines a cut export has lost.
def test_a_file_that_is_cut_at_any_byte_is_refused():
    text = to_file(ROWS, 4)
    # The end of the last line adds nothing.
    for end in range(len(text) - 1):
        with pytest.raises(TableUsageError):
            read_file(text[:end])


# Guards against a whole file that is refused since a spreadsheet has filled its last line.
def test_a_file_that_a_spreadsheet_has_written_is_whole():
    text = to_file(ROWS, 4).replace("# end", "# end,,,").replace("\n", "\r\n")
    assert read_file(text) == (ROWS, 4)
    written_by_hand = "row,weight\ndefault,2\n"
    assert read_file(written_by_hand) == ({"default": {"weight": 2.0}}, None)
