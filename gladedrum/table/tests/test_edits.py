"""Edits conflict only on the same cell, and the table in force never goes back."""

from hypothesis import given
from hypothesis import strategies as st
from twisted.internet import task

from gladedrum.table import (
    KNOBS,
    Cell,
    Edit,
    Head,
    Table,
    TableInForce,
    apply_edits,
    check_cells,
    conflicts_of,
)

_ROWS = ("default", "organisation:a", "class:c")
_cells = st.builds(
    Cell,
    st.sampled_from(_ROWS),
    st.sampled_from(["weight", "deadline_s"]),
    st.one_of(st.none(), st.floats(0.1, 100)),
)
_edit_lists = st.lists(st.lists(_cells, min_size=1, max_size=3), max_size=12).map(
    lambda rows: [Edit(str(n), n, cells, "w", "", 0.0) for n, cells in enumerate(rows, 1)]
)


def test_all_invalid_cells_are_reported_together():
    cells = [
        Cell("acme", "weight", 1.0),
        Cell("default", "wieght", 1.0),
        Cell("default", "weight", -1),
    ]
    assert [f.place for f in check_cells(cells)] == [
        "acme weight",
        "default wieght",
        "default weight",
    ]


def test_the_same_cell_conflicts_and_others_do_not():
    head = Head(0, [Edit("e", 1, [Cell("default", "weight", 2.0)], "w", "", 0.0)])
    mine = [Cell("default", "weight", 3.0), Cell("default", "deadline_s", 5.0)]
    assert [(c.theirs, c.yours) for c in conflicts_of(mine, 0, head)] == [(2.0, 3.0)]
    assert conflicts_of(mine, 1, head) == []
    assert conflicts_of([Cell("default", "weight", 2.0)], 0, head) == []


def test_the_row_with_the_highest_precedence_applies():
    rows = {
        "default": {"weight": 2.0, "policy": "fifo"},
        "class:c": {"weight": 3.0},
        "organisation:a": {"policy": "least_loaded"},
    }
    effective = Table(1, rows).effective("a", "c")
    assert effective.number("weight") == 3.0
    assert effective.name("policy") == "least_loaded"
    assert effective.number("deadline_s") == KNOBS["deadline_s"].default


@given(_edit_lists, st.data())
def test_messages_in_any_order_lead_to_the_same_table_and_never_go_back(edits, data):
    """Messages between boxes may be delayed, duplicated and reordered."""
    clock = task.Clock()
    tables = [apply_edits(Table(), edits[:n]) for n in range(len(edits) + 1)]
    sender, receiver = TableInForce(clock), TableInForce(clock)
    messages = [b""]
    for number, table in enumerate(tables):
        sender.adopt(table, edits[max(0, number - 3) : number])
        messages.append(sender.message_for(data.draw(st.integers(0, number))))
    highest = 0
    for message in data.draw(st.permutations(messages * 2)):
        receiver.apply_message(message)
        assert receiver.table.revision >= highest
        highest = receiver.table.revision
        assert receiver.table.rows == tables[highest].rows
    receiver.apply_message(sender.message_for(receiver.table.revision))
    assert receiver.table == tables[-1]
