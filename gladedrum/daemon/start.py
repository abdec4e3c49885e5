"""Entry point of ``gladedrumd``, which imports the daemon with garbage collection disabled.

Imported modules stay for the life of the process, so collecting during the imports only delays the
start.
"""

import gc
import signal
import sys

__all__ = ["main"]


def main(argv: list[str] | None = None) -> int:
    """Run a box until it is stopped; see `gladedrum.daemon.main.main`."""
    gc.disable()
    # Ignore SIGHUP, whose default action ends the process, until the box installs its own handler.
    # No change of settings is missed: they are read later, and then polled.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .main import main as run

    return run(argv)


if __name__ == "__main__":
    sys.exit(main())
