"""The entry of ``gladedrumd``: opens the callers' socket first, then imports the daemon.

The imports are most of a start. A caller that connects meanwhile waits in the kernel's queue for
what would else be a refused connection, and a caller has few of those. No garbage is collected during
the imports: what they make stays for the life of the process, and looking through it took a sixth of
them.
"""

import argparse
import configparser
import gc
import socket
import sys

__all__ = ["listen_early", "main"]

BACKLOG = 512
"""Connections that the kernel holds until they are accepted."""


def main(argv: list[str] | None = None) -> int:
    """Run a box until it is told to stop; see `gladedrum.daemon.main.main`."""
    gc.disable()
    early = listen_early(sys.argv[1:] if argv is None else argv)
    from .main import main as run

    return run(argv, early)


def listen_early(argv: list[str]) -> socket.socket | None:
    """Return the callers' listening socket of a box that forwards.

    None if the arguments or settings name none, or if it cannot be opened: the daemon then finds
    the same and reports it, with its place.
    """
    parser = argparse.ArgumentParser(add_help=False, exit_on_error=False)
    parser.add_argument("--config")
    parser.add_argument("--check", action="store_true")
    settings = configparser.ConfigParser(interpolation=None)
    try:
        args, _rest = parser.parse_known_args(argv)
        settings.read(args.config or (), encoding="utf-8")
        if args.check or not settings.getboolean("forward", "enabled", fallback=False):
            return None
        host, _, port = settings.get("forward", "callers", fallback="").rpartition(":")
        return _listen(host, int(port))
    except (argparse.ArgumentError, configparser.Error, OSError, ValueError):
        return None


def _listen(host: str, port: int) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind((host, port))
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


if __name__ == "__main__":
    sys.exit(main())
