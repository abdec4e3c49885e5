"""The columns of the table of weights and limits, each declared once.

The command line's help, the validation of edits and the documentation are derived from `KNOBS`.

Examples
--------
>>> KNOBS["weight"].parse("2.5")
2.5
>>> KNOBS["retry_share"].parse("-1")
Traceback (most recent call last):
    ...
ValueError: -1 is less than the minimum, 0
"""

from dataclasses import dataclass

__all__ = ["KNOBS", "CellValue", "Knob"]

CellValue = bool | int | float | str
"""The types of values that a cell can hold."""

_TRUE = ("yes", "true", "1")
_FALSE = ("no", "false", "0")


@dataclass(frozen=True, slots=True)
class Knob:
    """A column of the table.

    Parameters
    ----------
    name : str
        The column's heading.
    default : bool, int, float or str
        The value if no row sets the knob; its type is the knob's type.
    unit : str
        The unit of a number; empty for none.
    description : str
        What the knob controls.
    minimum, maximum : float, optional
        Inclusive bounds of a number.
    is_policy : bool
        True if the value must name a policy.
    """

    name: str
    default: CellValue
    unit: str
    description: str
    minimum: float | None = None
    maximum: float | None = None
    is_policy: bool = False

    def parse(self, text: str) -> CellValue:
        """Parse the text of a cell.

        Raises
        ------
        ValueError
            If the text is not valid for this knob; the message says what is allowed.
        """
        text = text.strip()
        match self.default:
            case bool():
                return _parse_bool(text)
            case int() | float():
                return self._parse_number(text)
            case _:
                return self._parse_name(text)

    def render(self, value: CellValue) -> str:
        """Return the text of a value, in the form that `parse` accepts."""
        match value:
            case bool():
                return "yes" if value else "no"
            case float():
                return f"{value:g}"
            case _:
                return str(value)

    def _parse_number(self, text: str) -> int | float:
        kind = type(self.default)
        try:
            value = kind(text)
        except ValueError:
            raise ValueError(f"{text!r} is not of type {kind.__name__}") from None
        if value != value or value in (float("inf"), float("-inf")):
            raise ValueError(f"{text} is not a finite number")
        if self.minimum is not None and value < self.minimum:
            raise ValueError(f"{text} is less than the minimum, {self._with_unit(self.minimum)}")
        if self.maximum is not None and value > self.maximum:
            raise ValueError(f"{text} is greater than the maximum, {self._with_unit(self.maximum)}")
        return value

    def _with_unit(self, number: float) -> str:
        return f"{number:g} {self.unit}".rstrip()

    def _parse_name(self, text: str) -> str:
        if self.is_policy:
            # Imported on first use, since most tables set no policy and a box starts without one.
            from ..scheduling import policy_names
            from ..scheduling.placement_policies import placement_names

            known = sorted({*policy_names(), *placement_names()})
            if text not in known:
                raise ValueError(f"{text!r} must be one of {', '.join(known)}")
        return text


def _parse_bool(text: str) -> bool:
    if text.lower() not in _TRUE + _FALSE:
        raise ValueError(f"{text!r} is neither yes nor no")
    return text.lower() in _TRUE


_KNOBS = (
    Knob("weight", 1.0, "", "Share of the fleet's work against other organisations.", 0.01, 1_000),
    Knob("deadline_s", 60.0, "s", "Time a request has if the caller gives none.", 0.1, 86_400),
    Knob("deadline_s_per_1k", 1.0, "s", "Further time for each 1,000 tokens of prompt.", 0, 3_600),
    Knob("max_deadline_s", 1_800.0, "s", "Most time that a caller may ask for.", 0.1, 86_400),
    Knob("may_repeat", False, "", "Whether what may have run may be sent to a target again."),
    Knob("retry_share", 0.1, "", "Retries allowed for each first try.", 0, 1),
    Knob("policy", "fair_slack", "", "The scheduling policy.", is_policy=True),
)

KNOBS: dict[str, Knob] = {knob.name: knob for knob in _KNOBS}
"""All knobs by name, in the order of the columns."""
