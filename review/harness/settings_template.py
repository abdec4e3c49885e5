"""Filling of a settings template as the users' page on deployment describes it."""

import re

__all__ = ["fill_template"]

_SECTION = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
_GAP = re.compile(r"\{\{([^#^/}][^}]*)\}\}")


def fill_template(template, values):
    """Return a template with its sections and gaps filled from nested tables."""
    return _expand(template, [values])


def _expand(text, scopes):
    def replace(match):
        kind, name, inner = match.groups()
        value = _find(name, scopes)
        if kind == "^":
            return _expand(inner, scopes) if value in (None, False) else ""
        if value in (None, False):
            return ""
        rows = value if isinstance(value, list) else [value]
        return "".join(_expand(inner, [*scopes, row]) for row in rows)

    text = _SECTION.sub(replace, text)
    return _GAP.sub(lambda match: _text(_find(match[1], scopes)), text)


def _find(name, scopes):
    """Return the value of a name in the innermost scope that has it, None if none has."""
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        found = scope
        for part in name.split("."):
            match found:
                case dict():
                    found = found.get(part)
                case list() if part.isdigit() and int(part) < len(found):
                    found = found[int(part)]
                case _:
                    found = None
        if found is not None:
            return found
    return None


def _text(value):
    match value:
        case None:
            return ""
        case bool():
            return str(value).lower()
        case list():
            return ",".join(map(_text, value))
        case _:
            return str(value)
