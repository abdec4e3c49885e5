"""Planned stops of several boxes at once, with requests that outlast them (real processes)."""

import signal
from concurrent.futures import ThreadPoolExecutor

from .deployment import running, wait_until

REQUESTS = 4
LONG = "?pause_ms=30000"


# Guards against requests that are cut without an answer as their boxes stop.
def test_requests_that_outlast_a_stop_of_two_boxes_get_answers(tmp_path):
    with running(tmp_path) as deployment, ThreadPoolExecutor(2 * REQUESTS) as pool:
        deployment.start()
        *stopped, left = deployment.boxes
        futures = [
            pool.submit(box.ask, method, b"", LONG)
            for box in stopped
            for method in ("GET", "POST") * (REQUESTS // 2)
        ]
        wait_until(
            "all requests are placed",
            lambda: all(len(box.logged("request placed")) >= REQUESTS for box in stopped),
        )
        for box in stopped:
            box.send(signal.SIGTERM)
        assert [fut.result().status for fut in futures] == [504] * len(futures)
        assert [box.stop() for box in stopped] == [0, 0]
        assert left.ask().status == 200
