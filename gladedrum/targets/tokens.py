"""Estimates of token counts, and digests of a prompt's leading part.

A box does not know the models' vocabularies. It estimates the number of tokens from the
number of bytes, which is what reservations, classes and deadlines need.

Examples
--------
>>> estimate_tokens(4_000, bytes_per_token=4.0)
1000
>>> len(prefix_digests(b"x" * 40_000, bytes_per_token=4.0))
2
"""

import hashlib
import itertools

from ..config import Item
from ..scheduling import MAX_DIGESTS, PREFIX_GROWTH, PREFIX_STEP_TOKENS

__all__ = [
    "BYTES_PER_TOKEN",
    "estimate_tokens",
    "prefix_digests",
    "split_prompt",
]

BYTES_PER_TOKEN = Item(
    "entry", "bytes_per_token", 4.0, "The mean length of a token in UTF-8, for estimates.",
    unit="bytes", minimum=0.5, maximum=32,
)  # fmt: skip


def estimate_tokens(length_bytes: int, bytes_per_token: float) -> int:
    """Return the estimated number of tokens of a text, at least 1."""
    return max(1, -int(-length_bytes // bytes_per_token))


def prefix_digests(raw: bytes, bytes_per_token: float) -> tuple[int, ...]:
    """Return digests of the leading 1024, 4096, 16384, … tokens of a prompt.

    Two prompts that share a leading part share the digests that lie within it. The number of
    digests is bounded, so that a request's description stays small.
    """
    step_bytes = int(PREFIX_STEP_TOKENS * bytes_per_token)
    lengths = (step_bytes * PREFIX_GROWTH**n for n in range(MAX_DIGESTS))
    ends = list(itertools.takewhile(lambda end: end <= len(raw), lengths))
    digest = hashlib.blake2b(digest_size=8)
    digests = []
    for start, end in itertools.pairwise([0, *ends]):
        digest.update(raw[start:end])
        # One bit less than 64, since the wire format's integers are signed.
        digests.append(int.from_bytes(digest.digest(), "big") >> 1)
    return tuple(digests)


def split_prompt(prompt: str, lengths_tokens: list[int]) -> list[str]:
    """Cut a prompt into parts whose lengths have the given proportions.

    Examples
    --------
    >>> split_prompt("abcdef", [2, 1])
    ['abcd', 'ef']
    """
    if len(lengths_tokens) == 1:
        return [prompt]
    whole = sum(lengths_tokens)
    ends = [len(prompt) * done // whole for done in itertools.accumulate(lengths_tokens)]
    return [prompt[start:end] for start, end in itertools.pairwise([0, *ends])]
