"""The table at one revision, and the values that apply to a request.

A row is named ``default``, ``organisation:NAME`` or ``class:NAME``. The value of a knob is taken
from the first of these that sets it: the organisation's row, the request class's row, the default
row, the knob's own default.

Examples
--------
>>> table = Table(3, {"class:dossier": {"deadline_s": 900.0}})
>>> table.effective("acme", "dossier").number("deadline_s")
900.0
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..platform import Revision
from .knobs import KNOBS, CellValue

__all__ = ["DEFAULT_ROW", "EffectiveValues", "Table", "row_names"]

DEFAULT_ROW = "default"
"""The row that applies to all requests, with the lowest precedence."""


def row_names(organisation: str, request_class: str) -> tuple[str, str, str]:
    """Return the names of the rows that apply to a request, highest precedence first."""
    return (f"organisation:{organisation}", f"class:{request_class}", DEFAULT_ROW)


class EffectiveValues(dict[str, CellValue]):
    """The values of all knobs for one request."""

    def number(self, knob: str) -> float:
        """Return the value of a numeric knob."""
        return float(self[knob])

    def flag(self, knob: str) -> bool:
        """Return the value of a boolean knob."""
        return bool(self[knob])

    def name(self, knob: str) -> str:
        """Return the value of a knob that holds a name."""
        return str(self[knob])


@dataclass(frozen=True)
class Table:
    """All rows at one revision.

    Parameters
    ----------
    revision : int
        Increases by one with each accepted edit; 0 is the empty table.
    rows : mapping of str to mapping of str to value
        The cells that are set, by row and knob.
    era : int
        The store's era in which the table was read. A new era begins when the store is restored
        from a copy; revisions may then be assigned again, to other edits.
    """

    revision: int = 0
    rows: Mapping[str, Mapping[str, CellValue]] = field(default_factory=dict)
    era: int = 0

    @property
    def full_revision(self) -> Revision:
        """The revision together with its era; newer tables have a higher one."""
        return Revision(self.era, self.revision)

    def sets(self, organisation: str, request_class: str, knob: str) -> bool:
        """Whether a row that applies to a request sets a knob."""
        names = row_names(organisation, request_class)
        return any(knob in self.rows.get(name, {}) for name in names)

    def effective(self, organisation: str, request_class: str) -> EffectiveValues:
        """Return the values of all knobs for a request."""
        values = EffectiveValues({name: knob.default for name, knob in KNOBS.items()})
        for row in reversed(row_names(organisation, request_class)):
            values.update(self.rows.get(row, {}))
        return values
