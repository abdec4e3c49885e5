"""The simulated engine respects its memory limit and the priorities of its sessions."""

import pytest

from gladedrum.standins.engine_core import EngineCore, EngineSpec, MemoryFullError, Session

_SPEC = EngineSpec(memory_tokens=10_000, prefill_tokens_per_s=1_000, chunk_tokens=100)


def _first_token_times(core):
    """Run until no session is left; return the time of each session's first token."""
    now_s, firsts = 0.0, {}
    while (step := core.begin_step()) is not None:
        duration_s, chunks = step
        now_s += duration_s
        for output in core.finish_step(chunks):
            firsts.setdefault(output.session.session_id, now_s)
    return firsts


def test_short_prompt_with_higher_priority_overtakes_a_long_one():
    core = EngineCore(_SPEC)
    core.submit(Session("long", 5_000, 1, priority=5))
    core.submit(Session("short", 100, 1, priority=1))
    firsts = _first_token_times(core)
    assert firsts["short"] < 0.2 < firsts["long"]


def test_sessions_of_equal_priority_run_in_order_of_arrival():
    core = EngineCore(_SPEC)
    core.submit(Session("long", 5_000, 1))
    core.submit(Session("short", 100, 1))
    firsts = _first_token_times(core)
    assert firsts["long"] < firsts["short"]


def test_sessions_wait_for_memory_and_free_it_when_done():
    core = EngineCore(_SPEC)
    for name in "abc":
        core.submit(Session(name, 5_900, 100))
    core.begin_step()
    assert core.free_tokens == 4_000
    assert len(_first_token_times(core)) == 3
    assert core.free_tokens == 10_000


def test_session_larger_than_the_memory_is_refused():
    with pytest.raises(MemoryFullError):
        EngineCore(_SPEC).submit(Session("huge", 10_000, 1))


def test_cached_prefix_is_not_prefilled_again():
    core = EngineCore(_SPEC)
    blocks = tuple(range(1, 9))
    core.submit(Session("first", 4_096, 1, blocks=blocks))
    cold_s = _first_token_times(core)["first"]
    core.submit(Session("second", 4_096, 1, blocks=blocks))
    assert _first_token_times(core)["second"] < cold_s / 10


def test_cancelled_session_frees_its_memory():
    core = EngineCore(_SPEC)
    core.submit(Session("a", 5_000, 10))
    core.begin_step()
    assert core.cancel("a")
    assert not core.cancel("a")
    assert core.free_tokens == 10_000
