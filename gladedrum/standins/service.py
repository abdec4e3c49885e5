"""Stand-in for a plain service, some of whose calls must not be retried."""

import argparse

from klein import Klein
from twisted.web.http import Request

from ._http import json_body, json_reply, run_standin, sleep

__all__ = ["Service"]


class Service:
    """Echoes every request and records it.

    Parameters
    ----------
    delay_s : float
        Duration of a call, in seconds.
    """

    app = Klein()

    def __init__(self, delay_s: float = 0.0):
        self.delay_s = delay_s
        self.lose_answers = False
        self.calls: list[dict] = []

    def stop(self) -> None:
        """Do nothing, since there are no timers."""

    @app.route("/record", methods=["GET"])
    def record(self, request: Request) -> bytes:
        """List the recorded calls, for tests."""
        return json_reply(request, {"calls": self.calls})

    @app.route("/switches", methods=["POST"])
    def set_switches(self, request: Request) -> bytes:
        """Change ``delay_s`` and ``lose_answers`` (abort the connection after each call)."""
        body = json_body(request)
        self.delay_s = body.get("delay_s", self.delay_s)
        self.lose_answers = body.get("lose_answers", self.lose_answers)
        return json_reply(request, {"delay_s": self.delay_s, "lose_answers": self.lose_answers})

    @app.route("/", branch=True, methods=["GET", "POST", "PUT", "DELETE"])
    async def call(self, request: Request) -> bytes:
        """Record a call, wait for the delay and echo the call."""
        body = request.content.read().decode("utf-8", "replace")
        row = {"method": request.method.decode(), "path": request.path.decode(), "body": body}
        self.calls.append(row)
        await sleep(self.delay_s)
        if self.lose_answers:
            request.transport.abortConnection()
        return json_reply(request, {"ran": len(self.calls), **row})


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--delay-s", type=float, default=0.0, help="duration of a call, seconds")


if __name__ == "__main__":
    run_standin(
        "A stand-in for a plain service.", _add_arguments, lambda args: Service(args.delay_s)
    )
