"""Stand-in for the platform's list of live and leaving boxes and targets, which lags.

``PUT /v1/boxes`` and ``PUT /v1/targets`` replace a whole list. ``GET`` of the same path returns
the list as it was ``lag_s`` seconds ago.
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
    """Serves the lists of boxes and targets with a lag.

    Parameters
    ----------
    lists : dict
        Initial rows, under ``boxes`` and ``targets``.
    lag_s : float
        Age of the reported lists, in seconds.
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
        """Do nothing, since there are no timers."""

    def put_rows(self, kind: str, rows: list[dict]) -> None:
        """Replace a list; `get` returns the new rows once the lag has passed."""
        self._versions[kind].append((self._clock.seconds(), rows))

    @app.route("/v1/<kind>", methods=["GET"])
    def get(self, request: Request, kind: str) -> bytes:
        """Return a list as it was `lag_s` seconds ago."""
        if self.outage:
            return json_reply(request, {"error": "unavailable"}, 503)
        visible_until_s = self._clock.seconds() - self.lag_s
        visible = [rows for at_s, rows in self._versions[kind] if at_s <= visible_until_s]
        digest = hashlib.sha256(json.dumps(visible[-1]).encode()).hexdigest()
        request.setETag(f'"{digest[:16]}"'.encode())
        if request.code == HTTPStatus.NOT_MODIFIED:
            return b""
        return json_reply(request, {kind: visible[-1]})

    @app.route("/v1/<kind>", methods=["PUT"])
    def put(self, request: Request, kind: str) -> bytes:
        """Replace a list with the rows in the request."""
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
