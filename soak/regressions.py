"""Seeds that failed once, each with its cause; ``python -m soak --regressions`` plays them.

A plan is drawn anew from its seed, so a change of `plan` changes what a seed plays; what each has
found is held by a test as well.
"""

__all__ = ["REGRESSIONS"]

REGRESSIONS: dict[int, str] = {
    2: "a kept connection answered nothing after a refused key (forward/tests/test_life.py)",
    4: "begun streams were given up in a pause of all targets, for repeats that were used up",
    101: "the proxy let bytes overtake delayed ones (soak/tests/test_proxy.py)",
    1042: "most prompts were longer than the few engines could hold at once: the soak's own mix",
    3001: "a port chosen by the system went to an outgoing connection: the soak's own",
    3011: "two of the operator's writes overtook each other in the store: the soak's own",
}
"""Seed to cause, in a line."""
