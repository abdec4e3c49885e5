"""Processor time of decoding a configuration, and of encoding and applying its differences.

``python -m benchmarks.configuration_codec`` writes `results/configuration_codec.json`.
"""

import base64
import json
import random
import time
from collections.abc import Callable

from benchmarks.configuration_spread import CHANGED_ROUTES, ROUTES, random_route
from benchmarks.measure import save
from gladedrum.beliefs.configuration_difference import apply_difference, encode_difference
from gladedrum.platform.codecs import decode_configuration

REPETITIONS = 20


def cpu_ms(action: Callable[[], object]) -> float:
    """Return the mean processor time of an action, in milliseconds."""
    begun_s = time.process_time()
    for _ in range(REPETITIONS):
        action()
    return round((time.process_time() - begun_s) / REPETITIONS * 1000, 1)


def main() -> None:
    """Measure with a few changed routes of many."""
    rng = random.Random(1)
    routes = [random_route(rng) for _ in range(ROUTES)]
    changed = [*routes[CHANGED_ROUTES:], *(random_route(rng) for _ in range(CHANGED_ROUTES))]
    old, new = (
        json.dumps({"version": version, "routes": rows}, separators=(",", ":")).encode()
        for version, rows in ((2, routes), (3, changed))
    )
    difference, whole = encode_difference(old, new), encode_difference(b"", new)
    answer = json.dumps({"items": [{"value": base64.b64encode(new).decode()}]})
    row = {
        "bytes": {"configuration": len(new), "difference": len(difference), "whole": len(whole)},
        "ms": {
            "decode the configuration": cpu_ms(lambda: decode_configuration(new)),
            "decode the store's answer": cpu_ms(
                lambda: base64.b64decode(json.loads(answer)["items"][0]["value"], validate=True)
            ),
            "apply the difference": cpu_ms(lambda: apply_difference(old, difference)),
            "apply the whole": cpu_ms(lambda: apply_difference(b"", whole)),
            "encode the difference": cpu_ms(lambda: encode_difference(old, new)),
            "encode the whole": cpu_ms(lambda: encode_difference(b"", new)),
        },
    }
    print(json.dumps(row, indent=2))
    save("configuration_codec", row)


if __name__ == "__main__":
    main()
