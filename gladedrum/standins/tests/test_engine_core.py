"""The engine model keeps to its memory and its priorities."""

import pytest

from gladedrum.standins.engine_core import EngineCore, EngineSpec, MemoryFullError, Session

_SPEC = EngineSpec(memory_tokens=10_000, prefill_tokens_per_s=1_000, chunk_tokens=100)


def _run(core):
    """Run the engine dry; returns the time and session of each first token."""
    now_s, firsts = 0.0, {}
    while (step := core.begin_step()) is not None:
        duration_s, chunks = step
        now_s += duration_s
        for piece in core.finish_step(chunks):
            firsts.setdefault(piece.session.session_id, now_s)
    return firsts


def test_a_short_prompt_with_higher_priority_passes_a_long_one():
    core = EngineCore(_SPEC)
    core.submit(Session("long", 5_000, 1, priority=5))
    core.submit(Session("short", 100, 1, priority=1))
    firsts = _run(core)
    assert firsts["short"] < 0.2 < firsts["long"]


def test_equal_priorities_go_in_order_of_arrival():
    core = EngineCore(_SPEC)
    core.submit(Session("long", 5_000, 1))
    core.submit(Session("short", 100, 1))
    firsts = _run(core)
    assert firsts["long"] < firsts["short"]


def test_what_does_not_fit_waits_and_memory_is_free_in_the_end():
    core = EngineCore(_SPEC)
    for name in "abc":
        core.submit(Session(name, 5_900, 100))
    core.begin_step()
    assert core.free_tokens == 4_000
    assert len(_run(core)) == 3
    assert core.free_tokens == 10_000


def test_a_session_larger_than_the_engine_is_refused():
    with pytest.raises(MemoryFullError):
        EngineCore(_SPEC).submit(Session("huge", 10_000, 1))


def test_a_cached_prefix_is_not_prefilled_again():
    core = EngineCore(_SPEC)
    blocks = tuple(range(1, 9))
    core.submit(Session("first", 4_096, 1, blocks=blocks))
    cold_s = _run(core)["first"]
    core.submit(Session("second", 4_096, 1, blocks=blocks))
    assert _run(core)["second"] < cold_s / 10


def test_cancelling_frees_memory_at_once():
    core = EngineCore(_SPEC)
    core.submit(Session("a", 5_000, 10))
    core.begin_step()
    assert core.cancel("a")
    assert not core.cancel("a")
    assert core.free_tokens == 10_000
