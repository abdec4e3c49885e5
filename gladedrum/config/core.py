"""Declaration, reading and validation of settings.

A module that needs a setting declares an `Item` at import time and later gets its value from a
`Settings` object. `load_settings` validates a whole file against all declared items and reports
all errors together, each as a `Finding` with file, section and key.

Examples
--------
>>> item = Item("example", "patience_s", 2.5, "How long to wait.", unit="s", minimum=0)
>>> Settings({}).get(item)
2.5
"""

import configparser
import difflib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Generic, TypeVar

from ..errors import ConfigError, Finding

__all__ = ["Item", "Settings", "declared_items", "load_settings", "parse_settings"]

T = TypeVar("T", str, int, float, bool, tuple)

_BOOLEANS = configparser.ConfigParser.BOOLEAN_STATES
_items: dict[tuple[str, str], "Item"] = {}
"""All declared items, by section and key."""


@dataclass(frozen=True)
class Item(Generic[T]):
    """The declaration of one setting.

    Parameters
    ----------
    section, key : str
        The section and key in the INI file.
    default : str, int, float, bool or tuple of str
        The value if the file does not set the key; its type is the setting's type.
    description : str
        One or two sentences for the sample file and the documentation.
    unit : str, optional
        The unit of a number, e.g. ``s``, ``tokens``, ``bytes``.
    minimum, maximum : float, optional
        Inclusive bounds of a number.
    choices : tuple of str, optional
        The allowed values of a string.
    secret : bool, optional
        True if the value must not be printed.
    """

    section: str
    key: str
    default: T
    description: str
    unit: str = ""
    minimum: float | None = None
    maximum: float | None = None
    choices: tuple[str, ...] = ()
    secret: bool = False

    def __post_init__(self) -> None:
        _items[(self.section, self.key)] = self

    @property
    def type_name(self) -> str:
        """The name of the type in the documentation."""
        return "list" if isinstance(self.default, tuple) else type(self.default).__name__

    def parse(self, text: str) -> T:
        """Parse the text of a value.

        Raises
        ------
        ValueError
            If the text is not valid for this setting; the message says what is allowed.
        """
        value = self._convert(text.strip())
        self._check_bounds(value)
        return value

    def _convert(self, text: str) -> T:
        match self.default:
            case bool():
                if text.lower() not in _BOOLEANS:
                    raise ValueError(f"{text!r} is neither yes nor no")
                return _BOOLEANS[text.lower()]
            case int() | float():
                kind = type(self.default)
                try:
                    return kind(text)
                except ValueError:
                    raise ValueError(f"{text!r} is not of type {kind.__name__}") from None
            case tuple():
                return tuple(part.strip() for part in text.split(",") if part.strip())
            case _:
                return text

    def _check_bounds(self, value: T) -> None:
        if self.choices and value not in self.choices:
            raise ValueError(f"{value!r} must be one of {', '.join(self.choices)}")
        if isinstance(value, bool) or not isinstance(value, int | float):
            return
        if value != value or value in (float("inf"), float("-inf")):
            raise ValueError(f"{value} is not a finite number")
        if self.minimum is not None and value < self.minimum:
            raise ValueError(f"{value} is less than the minimum, {self.minimum} {self.unit}")
        if self.maximum is not None and value > self.maximum:
            raise ValueError(f"{value} is greater than the maximum, {self.maximum} {self.unit}")


class Settings:
    """The validated values of all settings; settings that are not given have their defaults.

    Parameters
    ----------
    values : mapping of (section, key) to value
        Only the values that differ from the defaults are needed.
    """

    def __init__(self, values: Mapping[tuple[str, str], object]):
        self._values = dict(values)

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Settings) and self._values == other._values

    __hash__ = None

    def get(self, item: Item[T]) -> T:
        """Return the value of `item`."""
        return self._values.get((item.section, item.key), item.default)

    def replace(self, values: Mapping[Item, object]) -> "Settings":
        """Return a copy in which some items have other values."""
        changes = {(item.section, item.key): value for item, value in values.items()}
        return Settings({**self._values, **changes})


def declared_items() -> list[Item]:
    """Return every declared item, sorted by section and key."""
    return [item for _, item in sorted(_items.items())]


def load_settings(path: str | Path) -> Settings:
    """Read and validate a settings file.

    Raises
    ------
    ConfigError
        If the file is not valid; holds all findings.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise ConfigError([Finding(str(path), f"cannot be read: {exc}")]) from exc
    return parse_settings(text, str(path))


def parse_settings(text: str, name: str = "settings") -> Settings:
    """Validate the text of a settings file; findings refer to it as `name`.

    Raises
    ------
    ConfigError
        If the text is not valid; holds all findings.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, name)
    except configparser.Error as exc:
        raise ConfigError([Finding(name, f"is not an INI file: {exc.message}")]) from exc
    values: dict[tuple[str, str], object] = {}
    findings: list[Finding] = []
    for section in parser.sections():
        for key, raw in parser.items(section):
            place = f"{name} [{section}] {key}"
            item = _items.get((section, key))
            if item is None:
                findings.append(Finding(place, _unknown_key_message(section, key)))
                continue
            try:
                values[(section, key)] = item.parse(raw)
            except ValueError as exc:
                findings.append(Finding(place, str(exc)))
    if findings:
        raise ConfigError(findings)
    return Settings(values)


def _unknown_key_message(section: str, key: str) -> str:
    names = [f"[{known_section}] {known_key}" for known_section, known_key in _items]
    similar = difflib.get_close_matches(f"[{section}] {key}", names, n=1)
    hint = f"; did you mean {similar[0]}?" if similar else ""
    return f"unknown setting{hint}"
