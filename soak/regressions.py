"""Seeds that once failed, each with its cause; ``python -m soak --regressions`` runs them.

A plan is generated from its seed, so a change in `plan` changes the faults of a seed. Therefore
each failure is also covered by a test.
"""

__all__ = ["REGRESSIONS"]

REGRESSIONS: dict[int, str] = {
    2: "no response on a kept-alive connection after a refused key (forward/tests/test_life.py)",
    4: "streams were aborted during a pause of all targets: the retry budget was used up",
    101: "the proxy let bytes overtake delayed ones (soak/tests/test_proxy.py)",
    1042: "fault in the soak: most prompts were longer than its few engines could hold at once",
    3001: "fault in the soak: a port chosen by the system went to an outgoing connection",
    3011: "fault in the soak: two writes of the operator were reordered in the store",
}
"""Cause of the failure by seed."""
