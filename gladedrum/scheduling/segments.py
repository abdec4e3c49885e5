"""Prompts longer than one engine's memory: cut into segments, one engine each.

The segments are prefilled one after another. Each stays where it was prefilled, and the engine
of the next one reads it from there; the last engine writes the answer. The memory of all is
reserved before the first starts, in the order of the targets' names, so that two such requests
can never wait for each other.
"""

import math
from typing import NamedTuple

from .jobs import Job

__all__ = ["MAX_SEGMENTS", "Segment", "jobs_of", "plan_segments", "reservation_order"]

MAX_SEGMENTS = 8
"""The most engines that one request may hold."""


class Segment(NamedTuple):
    """A part of a prompt that one engine holds.

    Parameters
    ----------
    start_tokens : int
        The position of its first token in the whole prompt.
    prompt_tokens : int
        Its length.
    output_tokens : int
        The length of the answer in the last segment, 0 in the others.
    """

    start_tokens: int
    prompt_tokens: int
    output_tokens: int


def plan_segments(
    prompt_tokens: int, output_tokens: int, memory_tokens: int, share: float
) -> list[Segment]:
    """Cut a prompt into as few segments of about equal length as fit.

    Parameters
    ----------
    prompt_tokens, output_tokens : int
        The request.
    memory_tokens : int
        The memory of the smallest engine in question.
    share : float
        The part of an engine's memory that one request may take.

    Returns
    -------
    list of Segment
        One if the request fits into one engine; empty if it does not fit into `MAX_SEGMENTS`.

    Examples
    --------
    >>> [s.prompt_tokens for s in plan_segments(900_000, 1_000, 400_000, 1.0)]
    [300334, 300334, 299332]
    >>> plan_segments(9_000_000, 1_000, 400_000, 1.0)
    []
    """
    room = int(memory_tokens * share)
    total = prompt_tokens + output_tokens
    count = max(1, math.ceil(total / room)) if room > 0 else MAX_SEGMENTS + 1
    if count > MAX_SEGMENTS:
        return []
    length = math.ceil(total / count)
    starts = range(0, prompt_tokens, length)
    if len(starts) < count or prompt_tokens <= length * (count - 1):
        # The answer alone is longer than a segment, which no engine could hold.
        return [] if count > 1 else [Segment(0, prompt_tokens, output_tokens)]
    lengths = [min(length, prompt_tokens - start) for start in starts]
    outputs = [0] * (count - 1) + [output_tokens]
    return [Segment(*parts) for parts in zip(starts, lengths, outputs, strict=True)]


def jobs_of(job: Job, memory_tokens: int, share: float) -> list[Job]:
    """Return the jobs by which a request reserves: itself, or one for each segment.

    Parameters
    ----------
    job : Job
        The whole request.
    memory_tokens : int
        The memory of the smallest engine in question.
    share : float
        The part of an engine's memory that one request may take.

    Returns
    -------
    list of Job
        Empty if the request is too long for any number of engines.
    """
    segments = plan_segments(job.prompt_tokens, job.output_tokens, memory_tokens, share)
    if len(segments) <= 1:
        return [job] * len(segments)
    return [_segment_job(job, number, segment) for number, segment in enumerate(segments)]


def _segment_job(job: Job, number: int, segment: Segment) -> Job:
    """Return the job by which the memory of a segment is reserved."""
    return job._replace(
        job_id=f"{job.job_id}.s{number}",
        prompt_tokens=segment.prompt_tokens,
        output_tokens=segment.output_tokens,
        start_tokens=segment.start_tokens,
        whole_tokens=job.prompt_tokens,
        prefix=job.prefix if number == 0 else (),
    )


def reservation_order(targets: list[str]) -> list[str]:
    """Return the one order in which all boxes reserve on several targets."""
    return sorted(targets)
