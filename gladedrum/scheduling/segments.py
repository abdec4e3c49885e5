"""Segments of prompts that exceed a policy's preferred share of an engine's memory.

Each segment has an engine of its own; they are prefilled one after another. Each stays in the
memory of its engine, from which the engine of the next segment fetches it; the last engine writes
the answer. The memory of all segments is reserved before the first one starts, in the order of the
targets' names, so that two such requests cannot deadlock.
"""

import math
from typing import NamedTuple

from .jobs import Job

__all__ = [
    "MAX_SEGMENTS",
    "Segment",
    "SegmentRule",
    "plan_segments",
    "reservation_order",
    "segment_jobs",
]

MAX_SEGMENTS = 16
"""Maximum number of engines that one request may hold."""


class Segment(NamedTuple):
    """Consecutive tokens of a prompt that one engine prefills and holds.

    Parameters
    ----------
    start_tokens : int
        Position of its first token in the whole prompt.
    prompt_tokens : int
        Its length.
    output_tokens : int
        Maximum length of the answer for the last segment, 0 for the others.
    """

    start_tokens: int
    prompt_tokens: int
    output_tokens: int


class SegmentRule(NamedTuple):
    """Sizes of segments under a policy.

    Parameters
    ----------
    preferred_share : float
        Preferred share of an engine's memory for a segment.
    largest_share : float
        Maximum share, used if there are too few engines.
    """

    preferred_share: float = 1.0
    largest_share: float = 1.0


def plan_segments(
    prompt_tokens: int, output_tokens: int, memory_tokens: int, engines: int, rule: SegmentRule
) -> list[Segment]:
    """Split a prompt into segments of about equal length.

    Parameters
    ----------
    prompt_tokens, output_tokens : int
        Length of the prompt and maximum length of the answer.
    memory_tokens : int
        Memory of the smallest candidate engine.
    engines : int
        Number of candidate engines.
    rule : SegmentRule
        Sizes of segments.

    Returns
    -------
    list of Segment
        A single one if the request is not split; empty if the engines are too few or too small.

    Examples
    --------
    >>> [s.prompt_tokens for s in plan_segments(900_000, 1_000, 400_000, 18, SegmentRule())]
    [300334, 300334, 299332]
    >>> plan_segments(900_000, 1_000, 400_000, 2, SegmentRule())
    []
    """
    total = prompt_tokens + output_tokens
    preferred = max(1, int(memory_tokens * rule.preferred_share))
    largest = int(memory_tokens * rule.largest_share)
    count = min(math.ceil(total / preferred), engines, MAX_SEGMENTS)
    if count < 1 or math.ceil(total / count) > largest:
        return []
    length = math.ceil(total / count)
    starts = range(0, prompt_tokens, length)
    lengths = [min(length, prompt_tokens - start) for start in starts]
    outputs = [0] * (len(starts) - 1) + [output_tokens]
    if lengths[-1] + output_tokens > largest:
        # The answer does not fit behind the last segment of the prompt.
        return []
    return [Segment(*parts) for parts in zip(starts, lengths, outputs, strict=True)]


def segment_jobs(job: Job, memory_tokens: int, engines: int, rule: SegmentRule) -> list[Job]:
    """Return the jobs that reserve memory for a request: itself, or one for each segment.

    Parameters are those of `plan_segments`. The list is empty if the request is too long.
    """
    segments = plan_segments(job.prompt_tokens, job.output_tokens, memory_tokens, engines, rule)
    if len(segments) <= 1:
        return [job] * len(segments)
    return [_segment_job(job, number, segment) for number, segment in enumerate(segments)]


def _segment_job(job: Job, number: int, segment: Segment) -> Job:
    """Return the job that reserves the memory of a segment."""
    return job._replace(
        job_id=f"{job.job_id}.s{number}",
        prompt_tokens=segment.prompt_tokens,
        output_tokens=segment.output_tokens,
        start_tokens=segment.start_tokens,
        whole_tokens=job.prompt_tokens,
        prefix=job.prefix if number == 0 else (),
    )


def reservation_order(targets: list[str]) -> list[str]:
    """Return the order in which every box reserves on several targets."""
    return sorted(targets)
