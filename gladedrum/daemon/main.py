"""``gladedrumd``: run a box."""

import argparse
import gc
import logging
import signal
import sys
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

from twisted.internet import defer, reactor, task
from twisted.python.failure import Failure

from .. import __version__
from ..config import BOX_NAME, Settings, load_settings
from ..errors import ConfigError
from ..forward import callers_address, forwards
from ..telemetry import configure_logging
from ..utils import keep_elapsed_time, start
from ..utils.listening import CannotListenError, listen_early

__all__ = ["main"]

SETTINGS_EVERY_S = 2.0
"""How often the settings file is read again, in seconds: it may change without a signal."""

EXIT_OK, EXIT_FAILED, EXIT_SETTINGS = 0, 1, 2

_log = logging.getLogger(__name__)


def main(argv: list[str] | None = None) -> int:
    """Run a box until it is told to stop.

    Returns
    -------
    int
        0 after a planned stop, 1 if an address could not be listened on, 2 if the settings
        are wrong.
    """
    args = _parser().parse_args(argv)
    keep_elapsed_time(reactor)
    # Settings are declared by the modules that read them, so those are imported first.
    parts = _forwarding_parts(args) if forwards(args.config) else _openai_parts()
    # What has been imported by now is never garbage; see `start`.
    gc.freeze()
    gc.enable()
    try:
        cfg = load_settings(args.config)
    except ConfigError as exc:
        for finding in exc.findings:
            print(finding, file=sys.stderr)
        return EXIT_SETTINGS
    if args.check:
        print(f"{args.config}: the settings are right")
        return EXIT_OK
    configure_logging(cfg, cfg.get(BOX_NAME))
    run = _Run(cfg, parts, args.config)
    signal.signal(signal.SIGHUP, lambda _number, _frame: reactor.callFromThread(run.reload))
    return run.until_stopped()


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="gladedrumd",
        description="Run a box of the gladedrum serving layer.",
        epilog="Exit codes: 0 stopped as told, 1 could not start, 2 wrong settings or usage.",
    )
    parser.add_argument("--config", required=True, metavar="FILE.ini", help="the settings")
    parser.add_argument("--check", action="store_true", help="only check the settings")
    parser.add_argument("--version", action="version", version=f"gladedrumd {__version__}")
    return parser


class _Box(Protocol):
    """What either kind of box offers."""

    cannot_start: defer.Deferred[None]

    async def run(self) -> None:
        """Run until cancelled."""

    def drain(self) -> defer.Deferred[None]:
        """Take no new work; fires when the process may end."""

    def reload(self, cfg: Settings) -> None:
        """Take over settings that may have changed."""


class _Parts(NamedTuple):
    """What differs between the kinds of box.

    Parameters
    ----------
    prepare : callable
        Starts what the box needs beside it; returns the settings to use.
    make_box : callable
        Makes the box from a reactor and settings.
    """

    prepare: Callable[[Settings], Awaitable[Settings]]
    make_box: Callable[..., _Box]


def _forwarding_parts(args: argparse.Namespace) -> _Parts:
    # Callers that connect during the rest of the imports, about a third of a start, wait in the
    # kernel's queue in place of being refused. If they waited during all of it, most would be late
    # who are served in time by another box after a refusal.
    early = None if args.check else listen_early(callers_address(args.config))
    from ..forward.box import ForwardingBox

    async def prepare(cfg: Settings) -> Settings:
        return cfg

    return _Parts(prepare, lambda reactor, cfg: ForwardingBox(reactor, cfg, early))


def _openai_parts() -> _Parts:
    from .box import BoxProcess
    from .embedded import EMBEDDED, start_embedded

    async def prepare(cfg: Settings) -> Settings:
        if not cfg.get(EMBEDDED):
            return cfg
        embedded = await start_embedded(cfg)
        reactor.addSystemEventTrigger("during", "shutdown", embedded.stop)
        return embedded.cfg

    return _Parts(prepare, BoxProcess)


class _Run:
    """The process's one box, from start to exit code."""

    def __init__(self, cfg: Settings, parts: _Parts, path: str):
        self._cfg = cfg
        self._parts = parts
        self._path = path
        self._forwards = forwards(path)
        self._box: _Box | None = None
        self._exit_code = EXIT_OK

    def until_stopped(self) -> int:
        reactor.callWhenRunning(lambda: start(self._start()).addErrback(self._fail))
        reactor.run()
        return self._exit_code

    async def _start(self) -> None:
        cfg = await self._parts.prepare(self._cfg)
        self._box = box = self._parts.make_box(reactor, cfg)
        watching = task.LoopingCall(self.reload)
        watching.start(SETTINGS_EVERY_S, now=False).addErrback(self._fail)
        box.cannot_start.addErrback(self._fail)
        running = start(box.run()).addErrback(_swallow_cancelled)
        reactor.addSystemEventTrigger("before", "shutdown", self._stop, box, running)

    def reload(self) -> None:
        """Read the settings file again, after a hang-up signal and now and then without one.

        Whatever is wrong with it, the box goes on with what it has: a failure here would stop it.
        """
        if self._box is None:
            return
        try:
            cfg = load_settings(self._path)
            if forwards(self._path) != self._forwards:
                # An empty file, while it is written anew, would put all defaults into force.
                raise ValueError("the kind of box has changed, which takes a restart")
            if cfg != self._cfg:
                self._box.reload(cfg)
                self._cfg = cfg
        except (ConfigError, ValueError) as exc:
            _log.error("changed settings are wrong; the old ones stay", extra={"reason": str(exc)})

    def _stop(self, box: _Box, running: defer.Deferred[None]) -> defer.Deferred[None]:
        drained = box.drain()

        def end(result: object) -> None:
            if isinstance(result, Failure):
                _log.error("drain failed", extra={"reason": result.getTraceback()})
            _log.info("stopped")
            running.cancel()

        return drained.addBoth(end)

    def _fail(self, failure) -> None:
        self._exit_code = EXIT_FAILED
        if failure.check(CannotListenError):
            _log.error("cannot start", extra={"reason": failure.getErrorMessage()})
        else:
            _log.error("cannot start", extra={"reason": failure.getTraceback()})
        if reactor.running:
            reactor.stop()


def _swallow_cancelled(failure) -> None:
    failure.trap(defer.CancelledError)


if __name__ == "__main__":
    sys.exit(main())
