"""Keeps modules that a forwarding box needs late or never out of its start.

Twisted and the Prometheus client import more than a forwarding box uses: TLS, event loops of
asyncio, an HTTP server. `use_late_imports` is called before either is imported. It changes only
when modules are loaded, except that TLS is not available, which a forwarding box does not use.

The finder and the loader don't derive from the abstract classes of `importlib.abc`, whose import
takes longer than what some of these modules would.

Modules are loaded in the reactor's thread; `importlib.util.LazyLoader` is not safe for use in
several threads before Python 3.12.
"""

import importlib
import importlib.util
import sys
from collections.abc import Mapping, Sequence
from importlib.machinery import ModuleSpec, PathFinder
from types import ModuleType

__all__ = ["use_late_imports"]

ABSENT = ("OpenSSL",)
"""Optional packages that count as not installed: Twisted then does without TLS."""

LATE_MODULES = (
    "attr.validators", "attrs.validators", "http.cookiejar", "ipaddress", "ssl",
    "urllib.request",
)  # fmt: skip
"""Modules that are loaded when one of their names is first used."""

PARTIAL_PACKAGES: Mapping[str, Mapping[str, str]] = {
    "asyncio": {
        "AbstractEventLoop": "events",
        "Future": "futures",
        "iscoroutine": "coroutines",
    },
    "prometheus_client": {
        "CollectorRegistry": "registry",
        "Counter": "metrics",
        "Gauge": "metrics",
        "Histogram": "metrics",
    },
}
"""Packages that are loaded when a name is used that is not listed here, and for each listed name
the submodule that defines it."""


def use_late_imports() -> None:
    """Let later imports of these modules defer their loading or find them absent."""
    for name in ABSENT:
        # The documented way to make an import fail with `ModuleNotFoundError`.
        sys.modules.setdefault(name, None)
    sys.meta_path.insert(0, _LateFinder())


class _LateFinder:
    """Finds modules as usual, and defers the loading of those that are listed above."""

    def find_spec(
        self, fullname: str, path: Sequence[str] | None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        names = PARTIAL_PACKAGES.get(fullname)
        if names is None and fullname not in LATE_MODULES:
            return None
        spec = PathFinder.find_spec(fullname, path, target)
        if spec is not None and spec.loader is not None:
            spec.loader = (
                importlib.util.LazyLoader(spec.loader)
                if names is None
                else _PartialLoader(spec.loader, names)
            )
        return spec


class _PartialLoader:
    """Loads a package without running its code; the code runs when another name is used.

    Parameters
    ----------
    loader : importlib.abc.Loader
        Runs the package's own code.
    submodules : mapping of str to str
        For each name that is used before that, the submodule that defines it.
    """

    def __init__(self, loader, submodules: Mapping[str, str]):
        self._loader = loader
        self._submodules = submodules

    def create_module(self, spec: ModuleSpec) -> ModuleType | None:
        """Create the module as usual."""
        return self._loader.create_module(spec)

    def exec_module(self, module: ModuleType) -> None:
        """Install the lookup of names in place of the package's code."""
        module.__getattr__ = lambda name: self._get(module, name)

    def _get(self, module: ModuleType, name: str) -> object:
        if name in self._submodules:
            submodule = importlib.import_module(f"{module.__name__}.{self._submodules[name]}")
            return getattr(submodule, name)
        full_name = f"{module.__name__}.{name}"
        if not name.startswith("__") and importlib.util.find_spec(full_name) is not None:
            return importlib.import_module(full_name)
        vars(module).pop("__getattr__", None)
        self._loader.exec_module(module)
        return getattr(module, name)
