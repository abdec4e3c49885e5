"""A relay in front of a target that goes on accepting connections when the target has ended."""

import argparse
import json

from twisted.internet import reactor

from .proxy import LinkProxy

if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--server-port", type=int, required=True)
    parser.add_argument(
        "--outlives-s",
        type=float,
        required=True,
        help="after how long it closes what it accepts meanwhile",
    )
    args = parser.parse_args()
    link = LinkProxy(args.server_port, args.port)
    link.outlives_s = args.outlives_s
    print(json.dumps({"port": link.port}), flush=True)
    reactor.run()
