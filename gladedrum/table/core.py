"""The table at one revision.

A row is named ``default``, ``organisation:NAME`` or ``class:NAME``. For each knob, the cell of
the organisation's row counts first, then that of the request class, then that of the default
row, then the knob's own default.

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

__all__ = ["DEFAULT_ROW", "Effective", "Table", "row_names"]

DEFAULT_ROW = "default"
"""The row that counts where no other does."""


def row_names(organisation: str, request_class: str) -> tuple[str, str, str]:
    """Return the rows that count for a request, the strongest first."""
    return (f"organisation:{organisation}", f"class:{request_class}", DEFAULT_ROW)


class Effective(dict[str, CellValue]):
    """The values of all knobs for one request."""

    def number(self, knob: str) -> float:
        """Return the value of a knob that is a number."""
        return float(self[knob])

    def flag(self, knob: str) -> bool:
        """Return the value of a knob that is yes or no."""
        return bool(self[knob])

    def name(self, knob: str) -> str:
        """Return the value of a knob that is a name."""
        return str(self[knob])


@dataclass(frozen=True)
class Table:
    """All rows at one revision.

    Parameters
    ----------
    revision : int
        Grows by one with each accepted edit; 0 is the empty table.
    rows : mapping of str to mapping of str to value
        Only cells that have been set.
    era : int
        The store's era in which it was read. The store may come back from a copy, and give a
        revision to another edit.
    """

    revision: int = 0
    rows: Mapping[str, Mapping[str, CellValue]] = field(default_factory=dict)
    era: int = 0

    @property
    def place(self) -> Revision:
        """The order of tables: of two eras the later one's is the newer, whatever its revision."""
        return Revision(self.era, self.revision)

    def effective(self, organisation: str, request_class: str) -> Effective:
        """Return what counts for a request."""
        values = Effective({name: knob.default for name, knob in KNOBS.items()})
        for row in reversed(row_names(organisation, request_class)):
            values.update(self.rows.get(row, {}))
        return values
