"""Entry point of ``gladedrumd``, which prepares the imports of the daemon.

Garbage collection is disabled: imported modules stay for the life of the process, so collecting
during the imports only delays the start. A forwarding box defers modules that it needs late or
never (see `late_imports`).
"""

import argparse
import gc
import signal
import sys

from ..forward.settings import forwards
from .late_imports import use_late_imports

__all__ = ["main"]


def main(argv: list[str] | None = None) -> int:
    """Run a box until it is stopped; see `gladedrum.daemon.main.main`."""
    gc.disable()
    # Ignore SIGHUP, whose default action ends the process, until the box installs its own handler.
    # No change of settings is missed: they are read later, and then polled.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    if forwards(_settings_path(argv)):
        use_late_imports()
    from .main import main as run

    return run(argv)


def _settings_path(argv: list[str] | None) -> str:
    """Return the path of the settings file, empty if the arguments name none."""
    parser = argparse.ArgumentParser(add_help=False, exit_on_error=False)
    parser.add_argument("--config", default="")
    try:
        return parser.parse_known_args(argv)[0].config
    except argparse.ArgumentError:
        # `main` reports the error.
        return ""


if __name__ == "__main__":
    sys.exit(main())
