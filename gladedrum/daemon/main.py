"""The ``gladedrumd`` command, which runs a box.

There are two kinds of box: one that forwards requests to targets, and one that serves the OpenAI
interface. The settings decide which of them runs.
"""

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
from ..utils import start, use_elapsed_clock
from ..utils.listening import CannotListenError, open_early_socket

__all__ = ["main"]

SETTINGS_POLL_INTERVAL_S = 2.0
"""Interval between reads of the settings file: it may change without a signal."""

EXIT_OK, EXIT_FAILED, EXIT_SETTINGS = 0, 1, 2

_log = logging.getLogger(__name__)


def main(argv: list[str] | None = None) -> int:
    """Run a box until it is stopped.

    Returns
    -------
    int
        The exit code: 0 after a planned stop, 1 if the box could not start or failed, 2 if the
        settings are invalid.
    """
    args = _parser().parse_args(argv)
    use_elapsed_clock(reactor)
    # Importing a module declares its settings, so import the box before loading them.
    factory = _forwarding_factory(args) if forwards(args.config) else _openai_factory()
    # Exempt the imported modules from garbage collection: they are never freed.
    gc.freeze()
    gc.enable()
    try:
        cfg = load_settings(args.config)
    except ConfigError as exc:
        for finding in exc.findings:
            print(finding, file=sys.stderr)
        return EXIT_SETTINGS
    if args.check:
        print(f"{args.config}: the settings are valid")
        return EXIT_OK
    configure_logging(cfg, cfg.get(BOX_NAME))
    run = _DaemonRun(cfg, factory, args.config)
    signal.signal(signal.SIGHUP, lambda _number, _frame: reactor.callFromThread(run.reload))
    return run.run_until_stopped()


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="gladedrumd",
        description="Run a box of the gladedrum serving layer.",
        epilog="Exit codes: 0 planned stop, 1 could not start or failed, "
        "2 invalid settings or usage.",
    )
    parser.add_argument("--config", required=True, metavar="FILE.ini", help="the settings")
    parser.add_argument("--check", action="store_true", help="only check the settings")
    parser.add_argument("--version", action="version", version=f"gladedrumd {__version__}")
    return parser


class _Box(Protocol):
    """Interface of both kinds of box."""

    cannot_start: defer.Deferred[None]

    async def run(self) -> None:
        """Run until cancelled."""

    def drain(self) -> defer.Deferred[None]:
        """Stop accepting requests; fires when the process may exit."""

    def reload(self, cfg: Settings) -> None:
        """Apply changed settings."""


class _BoxFactory(NamedTuple):
    """Functions that prepare and create one kind of box.

    Parameters
    ----------
    prepare : callable
        Starts the services that the box needs; returns the settings to use.
    make_box : callable
        Creates the box from a reactor and settings.
    """

    prepare: Callable[[Settings], Awaitable[Settings]]
    make_box: Callable[..., _Box]


def _forwarding_factory(args: argparse.Namespace) -> _BoxFactory:
    # Callers that connect during the remaining imports wait in the kernel's backlog instead of
    # being refused. The socket is not opened earlier: a caller that waits longer would usually be
    # answered too late, while another box could serve it in time after a refusal.
    early_socket = None if args.check else open_early_socket(callers_address(args.config))
    from ..forward.box import ForwardingBox

    async def prepare(cfg: Settings) -> Settings:
        return cfg

    return _BoxFactory(prepare, lambda reactor, cfg: ForwardingBox(reactor, cfg, early_socket))


def _openai_factory() -> _BoxFactory:
    from .box import OpenAIBox
    from .embedded import EMBEDDED, start_embedded

    async def prepare(cfg: Settings) -> Settings:
        if not cfg.get(EMBEDDED):
            return cfg
        embedded = await start_embedded(cfg)
        reactor.addSystemEventTrigger("during", "shutdown", embedded.stop)
        return embedded.cfg

    return _BoxFactory(prepare, OpenAIBox)


class _DaemonRun:
    """Runs the box of this process and determines the exit code."""

    def __init__(self, cfg: Settings, factory: _BoxFactory, path: str):
        self._cfg = cfg
        self._factory = factory
        self._path = path
        self._forwards = forwards(path)
        self._box: _Box | None = None
        self._exit_code = EXIT_OK

    def run_until_stopped(self) -> int:
        reactor.callWhenRunning(lambda: start(self._start()).addErrback(self._fail))
        reactor.run()
        return self._exit_code

    async def _start(self) -> None:
        cfg = await self._factory.prepare(self._cfg)
        self._box = box = self._factory.make_box(reactor, cfg)
        polling = task.LoopingCall(self.reload)
        polling.start(SETTINGS_POLL_INTERVAL_S, now=False).addErrback(self._fail)
        box.cannot_start.addErrback(self._fail)
        running = start(box.run()).addErrback(_swallow_cancelled)
        reactor.addSystemEventTrigger("before", "shutdown", self._stop, box, running)

    def reload(self) -> None:
        """Read the settings file again and apply changes; called on SIGHUP and periodically.

        If the file is invalid, the box keeps its current settings. An exception here would stop
        the box.
        """
        if self._box is None:
            return
        try:
            cfg = load_settings(self._path)
            if forwards(self._path) != self._forwards:
                # A file that is being rewritten may be empty, which is valid: all defaults apply.
                # A forwarding box rejects it here, since the default is the other kind of box.
                raise ValueError("the kind of box has changed; restart to apply")
            if cfg != self._cfg:
                self._box.reload(cfg)
                self._cfg = cfg
        except (ConfigError, ValueError) as exc:
            _log.error(
                "changed settings are invalid; keeping the current ones", extra={"reason": str(exc)}
            )

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
            _log.error("cannot start or continue", extra={"reason": failure.getTraceback()})
        if reactor.running:
            reactor.stop()


def _swallow_cancelled(failure) -> None:
    failure.trap(defer.CancelledError)


if __name__ == "__main__":
    sys.exit(main())
