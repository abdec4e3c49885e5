"""Shared parts of the stand-ins: JSON over HTTP, listening and the main function."""

import argparse
import json
import sys
from collections.abc import Callable
from typing import Any, Protocol

from klein import Klein
from twisted.internet import defer, endpoints, reactor
from twisted.internet.interfaces import IListeningPort
from twisted.web.server import Request, Site

from ..utils import use_elapsed_clock

__all__ = ["Standin", "json_body", "json_reply", "listen", "port_of", "run_standin", "sleep"]

LOOPBACK = "127.0.0.1"


class Standin(Protocol):
    """Interface of a stand-in, for its own program and for a process that embeds it."""

    app: Klein

    def stop(self) -> None:
        """Cancel every timer."""


def json_body(request: Request) -> dict[str, Any]:
    """Return the JSON object in the body of `request`; an empty one if there is no body."""
    content = request.content.read()
    return json.loads(content) if content else {}


def json_reply(request: Request, body: object, status: int = 200) -> bytes:
    """Set the status and content type of the response and return its encoded body."""
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    return json.dumps(body).encode()


def sleep(delay_s: float) -> defer.Deferred[None]:
    """Return a deferred that fires after `delay_s` seconds; cancelling it stops its timer."""
    done: defer.Deferred[None] = defer.Deferred(lambda _done: timer.cancel())
    timer = reactor.callLater(delay_s, done.callback, None)
    return done


def listen(app: Klein, port: int, host: str = LOOPBACK) -> defer.Deferred[IListeningPort]:
    """Serve `app`; port 0 lets the operating system choose."""
    endpoint = endpoints.TCP4ServerEndpoint(reactor, port, interface=host)
    return endpoint.listen(Site(app.resource()))


def port_of(listening: IListeningPort) -> int:
    """Return the TCP port that `listening` is bound to."""
    return listening.getHost().port


def run_standin(
    description: str,
    add_arguments: Callable[[argparse.ArgumentParser], None],
    make: Callable[[argparse.Namespace], Standin],
) -> None:
    """Run a stand-in program: parse arguments, listen, print the port as JSON, serve."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--host", default=LOOPBACK, help="address to listen on")
    parser.add_argument("--port", type=int, default=0, help="TCP port; 0 lets the system choose")
    add_arguments(parser)
    args = parser.parse_args()
    use_elapsed_clock(reactor)
    standin = make(args)

    def announce(listening: IListeningPort) -> None:
        print(json.dumps({"port": port_of(listening)}), flush=True)

    def fail(failure) -> None:
        print(failure.getErrorMessage(), file=sys.stderr)
        reactor.stop()

    listen(standin.app, args.port, args.host).addCallbacks(announce, fail)
    reactor.addSystemEventTrigger("before", "shutdown", standin.stop)
    reactor.run()
