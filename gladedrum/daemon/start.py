"""The entry of ``gladedrumd``: imports the daemon without collecting garbage meanwhile.

What is imported stays for the life of the process, so looking through it for garbage only delays
the start, by about a sixth of it.
"""

import gc
import sys

__all__ = ["main"]


def main(argv: list[str] | None = None) -> int:
    """Run a box until it is told to stop; see `gladedrum.daemon.main.main`."""
    gc.disable()
    from .main import main as run

    return run(argv)


if __name__ == "__main__":
    sys.exit(main())
