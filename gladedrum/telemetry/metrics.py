"""Prometheus metrics of a box that serves the OpenAI interface.

Each `Metrics` has its own registry, so that several boxes can run in one process.
"""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

__all__ = ["Metrics", "length_class"]

_LENGTH_CLASSES = ((4_000, "under-4k"), (32_000, "4k-32k"), (100_000, "32k-100k"))
_LONGEST_CLASS = "over-100k"
_FIRST_TOKEN_BUCKETS_S = (
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.64, 1, 2, 4, 8, 16, 32, 64, 128, 256
)  # fmt: skip
_BETWEEN_TOKENS_BUCKETS_S = (0.005, 0.01, 0.02, 0.03, 0.043, 0.06, 0.1, 0.2, 0.5, 1, 5)


def length_class(prompt_tokens: int) -> str:
    """Return the prompt-length class, a label of the metrics of requests.

    Examples
    --------
    >>> length_class(1_200), length_class(250_000)
    ('under-4k', 'over-100k')
    """
    for below, name in _LENGTH_CLASSES:
        if prompt_tokens < below:
            return name
    return _LONGEST_CLASS


class Metrics:
    """All metrics that such a box exports; those of a forwarding box are in `ForwardMetrics`."""

    def __init__(self) -> None:
        registry = CollectorRegistry()
        self.registry = registry
        self.first_token_s = Histogram(
            "gladedrum_time_to_first_token_seconds",
            "Time from the arrival of a request to its first token, by prompt length.",
            ["length"],
            buckets=_FIRST_TOKEN_BUCKETS_S,
            registry=registry,
        )
        self.between_tokens_s = Histogram(
            "gladedrum_time_between_tokens_seconds",
            "Time between two pieces of a stream as they leave the box.",
            buckets=_BETWEEN_TOKENS_BUCKETS_S,
            registry=registry,
        )
        self.outcomes = Counter(
            "gladedrum_requests",
            "Requests that have ended, by outcome and prompt length.",
            ["outcome", "length"],
            registry=registry,
        )
        self.dropped_pieces = Counter(
            "gladedrum_dropped_pieces",
            "Pieces of answers that did not fit their request and were dropped.",
            ["why"],
            registry=registry,
        )
        self.in_flight = Gauge(
            "gladedrum_requests_in_flight", "Requests that have not ended.", registry=registry
        )
        self.queue_length = Gauge(
            "gladedrum_queue_length", "Requests that wait at a target's owner.", ["target"],
            registry=registry,
        )  # fmt: skip
        self.reserved_tokens = Gauge(
            "gladedrum_reserved_tokens",
            "Memory reserved on a target, in tokens.",
            ["target"],
            registry=registry,
        )
        self.peer_calls = Counter(
            "gladedrum_peer_calls", "Calls to other boxes, by result.", ["call", "result"],
            registry=registry,
        )  # fmt: skip
        self.child_restarts = Counter(
            "gladedrum_child_restarts", "Supervised children that failed and were restarted.",
            ["child"], registry=registry,
        )  # fmt: skip
