"""Requests and engines as the queues of owners and their policies see them."""

from typing import NamedTuple

__all__ = [
    "LONG_PROMPT_TOKENS",
    "MAX_DIGESTS",
    "PREFIX_GROWTH",
    "PREFIX_STEP_TOKENS",
    "Job",
    "QueueEngineTraits",
]

LONG_PROMPT_TOKENS = 32_000
"""Prompts of at least this length count as long, in tokens."""

PREFIX_STEP_TOKENS = 1_024
"""Length of the shortest prefix that is compared between prompts, in tokens."""

PREFIX_GROWTH = 4
"""Ratio of the lengths of successive compared prefixes."""

MAX_DIGESTS = 4
"""Maximum number of prefixes compared per prompt."""


class Job(NamedTuple):
    """A request, or a segment of one, as a queue and its policy see it.

    Parameters
    ----------
    job_id : str
        Unique to an attempt, or to a segment of one.
    organisation : str
        The customer.
    request_class : str
        The kind of request that the caller states, e.g. ``clause`` or ``dossier``.
    prompt_tokens, output_tokens : int
        Length of the prompt, and maximum length of the answer.
    arrival_s, deadline_s : float
        Times by the clock of the box that holds this record, in seconds. They are converted when
        a box sends it to another.
    weight : float
        Weight of the organisation; its fair share is proportional to it.
    prefix : tuple of int
        Digests of the prompt's prefixes, shortest first.
    entry_box : str
        The box that received the request.
    start_tokens : int
        Position of its first token in a longer prompt, if it is a segment of one.
    whole_tokens : int
        Length of that longer prompt; 0 if it is not a segment.
    """

    job_id: str
    organisation: str
    request_class: str
    prompt_tokens: int
    output_tokens: int
    arrival_s: float
    deadline_s: float
    weight: float = 1.0
    prefix: tuple[int, ...] = ()
    entry_box: str = ""
    start_tokens: int = 0
    whole_tokens: int = 0

    @property
    def memory_tokens(self) -> int:
        """Memory for its prompt and full answer, in tokens."""
        return self.prompt_tokens + self.output_tokens

    @property
    def is_long(self) -> bool:
        """True if the whole prompt counts as long."""
        return self.length_tokens >= LONG_PROMPT_TOKENS

    @property
    def length_tokens(self) -> int:
        """Length of the whole prompt, in tokens."""
        return self.whole_tokens or self.prompt_tokens


class QueueEngineTraits(NamedTuple):
    """Size and speed of an engine, for the estimates of its queue.

    Placement uses the traits in `engine_model` instead.

    Parameters
    ----------
    memory_tokens : int
        Its memory, in tokens.
    prefill_tokens_per_s : float
        Prefill speed at the start of a prompt.
    attention_tokens : int
        Position in a prompt at which prefilling a token takes twice as long.
    decode_step_s : float
        Time between two tokens without prefill, in seconds.
    chunk_tokens : int
        Maximum number of tokens that the engine prefills between two tokens of an answer.
    """

    memory_tokens: int
    prefill_tokens_per_s: float = 25_000.0
    attention_tokens: int = 250_000
    decode_step_s: float = 0.015
    chunk_tokens: int = 512

    def prefill_s(self, tokens: int, start_tokens: int = 0) -> float:
        """Return the seconds to prefill from position `start_tokens` to `tokens`."""
        fresh = max(1, tokens - start_tokens)
        middle = start_tokens + fresh / 2
        compute_s = fresh / self.prefill_tokens_per_s * (1 + middle / self.attention_tokens)
        return compute_s + fresh / self.chunk_tokens * self.decode_step_s
