"""Segments cover the prompt once, fit their engines, and are reserved in one order."""

from hypothesis import given
from hypothesis import strategies as st

from gladedrum.scheduling import Job, SegmentRule, jobs_of, plan_segments, reservation_order
from gladedrum.scheduling.segments import MAX_SEGMENTS


@given(
    prompt=st.integers(1, 2_000_000),
    output=st.integers(1, 5_000),
    memory=st.integers(10_000, 500_000),
    engines=st.integers(1, 20),
    preferred=st.floats(0.1, 0.85),
)
def test_segments_cover_the_prompt_and_fit(prompt, output, memory, engines, preferred):
    rule = SegmentRule(preferred, 0.85)
    segments = plan_segments(prompt, output, memory, engines, rule)
    room = int(memory * 0.85)
    if not segments:
        # Too long for the engines, or for the answer to fit behind the end of the prompt.
        assert prompt + output > min(room, preferred * memory)
        return
    assert len(segments) <= min(engines, MAX_SEGMENTS)
    assert sum(s.prompt_tokens for s in segments) == prompt
    assert sum(s.output_tokens for s in segments) == output == segments[-1].output_tokens
    position = 0
    for segment in segments:
        assert segment.start_tokens == position
        assert segment.prompt_tokens > 0
        assert segment.prompt_tokens + segment.output_tokens <= room
        position += segment.prompt_tokens


@given(st.lists(st.text(max_size=5), unique=True))
def test_all_boxes_reserve_in_the_same_order(names):
    assert reservation_order(names) == reservation_order(names[::-1])


def test_jobs_of_segments_know_their_place():
    job = Job("r", "a", "dossier", 900_000, 100, 0.0, 1.0, prefix=(1, 2))
    jobs = jobs_of(job, 400_000, 18, SegmentRule(0.85, 0.85))
    assert [j.job_id for j in jobs] == ["r.s0", "r.s1", "r.s2"]
    assert all(j.length_tokens == 900_000 and j.is_long for j in jobs)
    assert jobs[0].prefix and not jobs[1].prefix


def test_a_request_that_fits_is_its_own_job():
    job = Job("r", "a", "clause", 1_000, 100, 0.0, 1.0)
    assert jobs_of(job, 400_000, 18, SegmentRule(0.85, 0.85)) == [job]
