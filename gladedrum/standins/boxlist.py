"""A stand-in for the platform's lagging list of live and leaving boxes and targets.

A list is changed by ``PUT /v1/boxes`` or ``PUT /v1/targets`` (whole list) and read, as it
was ``lag_s`` ago, by ``GET`` of the same path.
"""

import argparse
import hashlib
import json
from http import HTTPStatus
from pathlib import Path

from klein import Klein
from twisted.internet import reactor
from twisted.web.http import Request

from ._http import json_body, json_reply, run_standin

__all__ = ["BoxList"]


class BoxList:
    """The lists and their lag.

    Parameters
    ----------
    lists : dict
        The rows at the start, under ``boxes`` and ``targets``.
    lag_s : float
        The age of what is reported, in seconds.
    """

    app = Klein()

    def __init__(self, lists: dict[str, list[dict]], lag_s: float = 0.0, clock=reactor):
        self.lag_s = lag_s
        self.outage = False
        self._clock = clock
        self._versions = {
            kind: [(float("-inf"), lists.get(kind, []))] for kind in ("boxes", "targets")
        }

    def stop(self) -> None:
        """Do nothing; the list has no timers."""

    def put_rows(self, kind: str, rows: list[dict]) -> None:
        """Replace a list from now on."""
        self._versions[kind].append((self._clock.seconds(), rows))

    @app.route("/v1/<kind>", methods=["GET"])
    def get(self, request: Request, kind: str) -> bytes:
        """Report a list as it was a lag ago."""
        if self.outage:
            return json_reply(request, {"error": "unavailable"}, 503)
        limit_s = self._clock.seconds() - self.lag_s
        known = [rows for at_s, rows in self._versions[kind] if at_s <= limit_s]
        digest = hashlib.sha256(json.dumps(known[-1]).encode()).hexdigest()
        request.setETag(f'"{digest[:16]}"'.encode())
        if request.code == HTTPStatus.NOT_MODIFIED:
            return b""
        return json_reply(request, {kind: known[-1]})

    @app.route("/v1/<kind>", methods=["PUT"])
    def put(self, request: Request, kind: str) -> bytes:
        """Replace a list from now on."""
        self.put_rows(kind, json_body(request)[kind])
        return json_reply(request, {})

    @app.route("/switches", methods=["POST"])
    def set_switches(self, request: Request) -> bytes:
        """Change ``lag_s`` and ``outage``."""
        body = json_body(request)
        self.lag_s = body.get("lag_s", self.lag_s)
        self.outage = body.get("outage", self.outage)
        return json_reply(request, {"lag_s": self.lag_s, "outage": self.outage})


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--file", help="JSON file with the lists at the start")
    parser.add_argument("--lag-s", type=float, default=0.0, help="age of the report, seconds")


def _make(args: argparse.Namespace) -> BoxList:
    lists = json.loads(Path(args.file).read_text()) if args.file else {}
    return BoxList(lists, args.lag_s)


if __name__ == "__main__":
    run_standin("A stand-in for the list of boxes and targets.", _add_arguments, _make)
