"""Scheduling decisions: which request runs where and when. Free of I/O; the time is passed in.

The package has two independent parts.

- Queues, for requests that `entry` runs: the owner of a target queues them and reserves memory for
  them (`queue`, `jobs`, `policies`, `segments`, `quotes`, `decisions`). This namespace exports
  these modules, which are imported when the first of their names is used: a forwarding box needs
  few of them, and late.
- Placement, for requests that `forward` sends on by the operator's routes (`expected_loss`,
  `placement_policies`, `ranked_placement`, `engine_model`, `ledger`, `arrivals`), with waiting of
  long prompts (`waiting`), rate limits (`rates`), cold targets (`coldness`), detection of requests
  that crash targets (`suspects`) and questions to coordinators (`questions`). These modules are
  imported by name.

An *engine* is the inference engine of a target. An *attempt* is one send of a request to a target.
The *entry box* of a request is the box that received it from the caller. *Coordinators* are the
boxes that place requests for the others, see `beliefs.coordinators`.

The placement modules say *reading* for prefill and *writing* for decode, see `engine_model`. Queues
divide a prompt into *segments*, which engines prefill one after another; placement divides it into
*parts*, which engines read at the same time. The length from which a prompt counts as *long*
differs between modules; each has its own constant.
"""

import importlib

_EXPORTED = ("decisions", "jobs", "policies", "queue", "quotes", "segments")


def __getattr__(name: str) -> object:
    """Return a name of the exported modules."""
    if not name.startswith("_"):
        for path in _EXPORTED:
            module = importlib.import_module(f"{__name__}.{path}")
            if name in module.__all__:
                return getattr(module, name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
