"""Token count estimates and prompt prefix digests.

A box has no tokenizers. It estimates the number of tokens from the number of bytes, which is
precise enough for reservations, length classes and deadlines.

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
    """Return digests of the first 1024, 4096, 16384, … tokens of a prompt.

    Prompts with a common prefix have equal digests up to its length. At most `MAX_DIGESTS` are
    returned, which bounds the size of a request's record.
    """
    step_bytes = int(PREFIX_STEP_TOKENS * bytes_per_token)
    lengths = (step_bytes * PREFIX_GROWTH**n for n in range(MAX_DIGESTS))
    ends = list(itertools.takewhile(lambda end: end <= len(raw), lengths))
    digest = hashlib.blake2b(digest_size=8)
    digests = []
    for start, end in itertools.pairwise([0, *ends]):
        digest.update(raw[start:end])
        # 63 bits, because the integers of the wire format are signed.
        digests.append(int.from_bytes(digest.digest(), "big") >> 1)
    return tuple(digests)


def split_prompt(prompt: str, lengths_tokens: list[int]) -> list[str]:
    """Split a prompt into segments with lengths in the given proportions.

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
