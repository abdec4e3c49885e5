"""Choice among the quotes of several targets."""

from collections.abc import Mapping

from .decisions import Quote, Refused

__all__ = ["best_refusal", "order_by_cost"]


def order_by_cost(quotes: Mapping[str, Quote]) -> list[str]:
    """Return the targets that accept the request, cheapest first."""
    accepted = [name for name, quote in quotes.items() if quote.refused is None]
    return sorted(accepted, key=lambda name: quotes[name].cost)


def best_refusal(quotes: Mapping[str, Quote]) -> Refused | None:
    """Return the refusal with the shortest time to a retry; None if no target refused."""
    refusals = [quote.refused for quote in quotes.values() if quote.refused is not None]
    return min(refusals, key=lambda refused: refused.retry_after_s, default=None)
