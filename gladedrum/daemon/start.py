"""The entry of ``gladedrumd``: imports the daemon without collecting garbage meanwhile.

What is imported stays for the life of the process, so looking through it for garbage only delays
the start, by about a sixth of it.
"""

import gc
import signal
import sys

__all__ = ["main"]


def main(argv: list[str] | None = None) -> int:
    """Run a box until it is told to stop; see `gladedrum.daemon.main.main`."""
    gc.disable()
    # Its default action ends the process. The settings are read after this, and again every 2 s,
    # so nothing is missed until the box has its own handler.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .main import main as run

    return run(argv)


if __name__ == "__main__":
    sys.exit(main())
