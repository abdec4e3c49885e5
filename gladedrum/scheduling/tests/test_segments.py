"""Segments cover the prompt exactly once, fit their engines and are reserved in a fixed order."""

from hypothesis import given
from hypothesis import strategies as st

from gladedrum.scheduling import Job, SegmentRule, plan_segments, reservation_order, segment_jobs
from gladedrum.scheduling.segments import MAX_SEGMENTS


@given(
    prompt=st.integers(1, 2_000_000),
    output=st.integers(1, 5_000),
    memory=st.integers(10_000, 500_000),
    engines=st.integers(1, 20),
    preferred=st.floats(0.1, 0.85),
)
def test_segments_cover_the_prompt_and_fit_into_memory(prompt, output, memory, engines, preferred):
    rule = SegmentRule(preferred, 0.85)
    segments = plan_segments(prompt, output, memory, engines, rule)
    largest = int(memory * 0.85)
    if not segments:
        # The engines are too few, or the answer does not fit behind the last segment.
        assert prompt + output > min(largest, preferred * memory)
        return
    assert len(segments) <= min(engines, MAX_SEGMENTS)
    assert sum(s.prompt_tokens for s in segments) == prompt
    assert sum(s.output_tokens for s in segments) == output == segments[-1].output_tokens
    position = 0
    for segment in segments:
        assert segment.start_tokens == position
        assert segment.prompt_tokens > 0
        assert segment.prompt_tokens + segment.output_tokens <= largest
        position += segment.prompt_tokens


@given(st.lists(st.text(max_size=5), unique=True))
def test_reservation_order_does_not_depend_on_input_order(names):
    assert reservation_order(names) == reservation_order(names[::-1])


def test_segment_jobs_keep_the_length_of_the_whole_prompt():
    job = Job("r", "a", "dossier", 900_000, 100, 0.0, 1.0, prefix=(1, 2))
    jobs = segment_jobs(job, 400_000, 18, SegmentRule(0.85, 0.85))
    assert [j.job_id for j in jobs] == ["r.s0", "r.s1", "r.s2"]
    assert all(j.length_tokens == 900_000 and j.is_long for j in jobs)
    assert jobs[0].prefix and not jobs[1].prefix


def test_request_that_fits_is_not_split():
    job = Job("r", "a", "clause", 1_000, 100, 0.0, 1.0)
    assert segment_jobs(job, 400_000, 18, SegmentRule(0.85, 0.85)) == [job]
