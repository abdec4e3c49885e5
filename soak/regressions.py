"""Seeds that failed once, each with its cause; ``python -m soak --regressions`` plays them."""

__all__ = ["REGRESSIONS"]

REGRESSIONS: dict[int, str] = {}
"""Seed to cause, in a line."""
