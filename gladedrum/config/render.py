"""The sample settings file and the documentation page, generated from the declared items."""

import itertools

from .core import Item, declared_items

__all__ = ["render_reference", "render_sample"]


def render_sample() -> str:
    """Return an INI file that lists every setting with its default, commented out."""
    lines = ["# Every setting of gladedrumd with its default. Uncomment what you change."]
    for section, items in itertools.groupby(declared_items(), key=lambda item: item.section):
        lines += ["", f"[{section}]"]
        for item in items:
            lines += [
                f"# {item.description}",
                f"# {_constraints(item)}",
                f"#{item.key} = {_default(item)}",
            ]
    return "\n".join(lines) + "\n"


def render_reference() -> str:
    """Return the Markdown page that lists every setting."""
    lines = ["# Settings", "", "Made by `gladedrumctl settings reference`; do not edit by hand."]
    for section, items in itertools.groupby(declared_items(), key=lambda item: item.section):
        lines += ["", f"## [{section}]", "", "| key | type | default | meaning |"]
        lines += ["| --- | --- | --- | --- |"]
        lines += [
            f"| `{item.key}` | {_constraints(item)} | `{_default(item)}` | {item.description} |"
            for item in items
        ]
    return "\n".join(lines) + "\n"


def _constraints(item: Item) -> str:
    parts = [item.type_name]
    if item.unit:
        parts.append(f"in {item.unit}")
    if item.choices:
        parts.append("one of " + ", ".join(item.choices))
    if item.minimum is not None:
        parts.append(f"at least {item.minimum:g}")
    if item.maximum is not None:
        parts.append(f"at most {item.maximum:g}")
    return ", ".join(parts)


def _default(item: Item) -> str:
    match item.default:
        case bool():
            return "yes" if item.default else "no"
        case tuple():
            return ", ".join(item.default)
        case _:
            return str(item.default)
