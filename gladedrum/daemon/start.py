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
    # The default action of SIGHUP ends the process. No change of settings is missed before the box
    # installs its own handler: the settings are read later, and polled.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .main import main as run

    return run(argv)


if __name__ == "__main__":
    sys.exit(main())
