"""Conversion between the scheduling types and the records of the Thrift interface.

Clocks of boxes differ, so records carry ages and remaining times instead of timestamps.
"""

from ..scheduling import Grant, Job, Quote, Refused
from .wire.ttypes import JobRecord, QuoteRecord, ReserveRecord

__all__ = [
    "job_from_record",
    "quote_from_record",
    "record_of_job",
    "record_of_quote",
    "record_of_reserve",
    "reserve_from_record",
]


def record_of_job(job: Job, policy: str, now_s: float) -> JobRecord:
    """Return the record of a job that is scheduled by the named policy."""
    return JobRecord(
        job_id=job.job_id,
        organisation=job.organisation,
        request_class=job.request_class,
        prompt_tokens=job.prompt_tokens,
        output_tokens=job.output_tokens,
        age_s=now_s - job.arrival_s,
        time_left_s=job.deadline_s - now_s,
        weight=job.weight,
        prefix=list(job.prefix),
        policy=policy,
        entry_box=job.entry_box,
        start_tokens=job.start_tokens,
        whole_tokens=job.whole_tokens,
    )


def job_from_record(record: JobRecord, now_s: float) -> Job:
    """Return the job of a record that was received at `now_s`."""
    return Job(
        job_id=record.job_id,
        organisation=record.organisation,
        request_class=record.request_class,
        prompt_tokens=record.prompt_tokens,
        output_tokens=record.output_tokens,
        arrival_s=now_s - record.age_s,
        deadline_s=now_s + record.time_left_s,
        weight=record.weight,
        prefix=tuple(record.prefix),
        entry_box=record.entry_box,
        start_tokens=record.start_tokens,
        whole_tokens=record.whole_tokens,
    )


def record_of_quote(target: str, quote: Quote) -> QuoteRecord:
    """Return the record of a quote for a target."""
    refused = quote.refused or Refused("", 0.0)
    return QuoteRecord(
        target=target,
        accepted=quote.refused is None,
        first_token_s=quote.first_token_s,
        cost=quote.cost,
        reason=refused.reason,
        retry_after_s=refused.retry_after_s,
    )


def quote_from_record(record: QuoteRecord) -> Quote:
    """Return the quote of a record."""
    refused = None if record.accepted else Refused(record.reason, record.retry_after_s)
    return Quote(record.first_token_s, record.cost, refused)


def record_of_reserve(answer: Grant | Refused) -> ReserveRecord:
    """Return the record of the answer to a reservation."""
    match answer:
        case Grant(priority=priority):
            return ReserveRecord(granted=True, priority=priority, reason="", retry_after_s=0.0)
        case Refused(reason=reason, retry_after_s=retry_after_s):
            return ReserveRecord(
                granted=False, priority=0, reason=reason, retry_after_s=retry_after_s
            )


def reserve_from_record(record: ReserveRecord, job: Job) -> Grant | Refused:
    """Return the answer to a reservation that a record holds."""
    if record.granted:
        return Grant(job, record.priority)
    return Refused(record.reason, record.retry_after_s)
