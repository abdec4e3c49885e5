"""A model of how an engine spends its time, for predictions and for the stand-in.

An engine works in passes. While requests write, a pass has `stride` steps and each writer gets
one event at its end; prompts are read in between, at most `chunk` tokens a step. A pass without
writers is one step. What delays a short answer is therefore the reading beside it, which
stretches the passes, far more than the number of requests.

Examples
--------
>>> traits = EngineTraits()
>>> alone = predict(traits, [], Work(read_left=133_000, answer_left=700))
>>> 1.8 < alone[-1].first_event_s < 2.1
True
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import NamedTuple, TypeVar

__all__ = ["EngineTraits", "Prospect", "Work", "predict", "read_time_s", "reading_order"]

_T = TypeVar("_T")

_MOST_PASSES = 24
"""Passes that a prediction plays; later ones differ little from the last."""


class EngineTraits(NamedTuple):
    """The figures of an engine; the defaults are those of the first deployments.

    Parameters
    ----------
    slots : int
        Requests that run at once.
    memory_tokens : int
        Memory for prompts and answers, in tokens.
    step_s, per_writer_s, per_context_token_s : float
        A step costs the first, plus the others for each writer and each token of its context.
    read_tokens_per_s : float
        Speed of reading prompts.
    per_pair_s : float
        Further cost of reading for each pair of a token and one before it.
    chunk : int
        The most prompt tokens that are read in a step.
    stride : int
        Steps of a pass with writers, which is the tokens of an event.
    hop_s : float
        Added to each step of a request whose memory lies on several engines.
    report_lag_s : float
        How old a report on the load may be when it is given.
    usual_answer : float
        Mean tokens of an answer, for requests that don't say.
    """

    slots: int = 8
    memory_tokens: int = 232_000
    step_s: float = 0.00102
    per_writer_s: float = 0.0000045
    per_context_token_s: float = 4.31e-9
    read_tokens_per_s: float = 206_000.0
    per_pair_s: float = 1.38e-10
    chunk: int = 2048
    stride: int = 43
    hop_s: float = 0.000075
    report_lag_s: float = 0.2
    usual_answer: float = 1300.0


@dataclass(slots=True)
class Work:
    """One request on an engine, as far as a prediction needs it.

    Parameters
    ----------
    read_left : float
        Prompt tokens still to be read here; 0 once the request writes.
    answer_left : float
        Tokens still to be written.
    depth : float
        Prompt tokens before the ones still to be read.
    pair_share : float
        Share of the prompt's pairs that are computed here; below 1 with helping engines.
    writes : bool
        Whether it writes here when it is read; False on helping engines.
    """

    read_left: float
    answer_left: float
    depth: float = 0.0
    pair_share: float = 1.0
    writes: bool = True

    @property
    def joint(self) -> bool:
        """Whether it is a part of a prompt that several engines read."""
        return self.pair_share > 1 or not self.writes


class Prospect(NamedTuple):
    """What a request is to expect: seconds to its first event, and its longest pause."""

    first_event_s: float
    pause_s: float


def read_time_s(traits: EngineTraits, tokens: float, depth: float = 0.0) -> float:
    """Return the time to read `tokens` that follow `depth` others, without steps."""
    pairs = tokens * depth + tokens * tokens / 2
    return tokens / traits.read_tokens_per_s + pairs * traits.per_pair_s


def predict(
    traits: EngineTraits, present: Sequence[Work], newcomer: Work, pace: float = 1.0
) -> list[Prospect]:
    """Play the coming passes of an engine.

    Parameters
    ----------
    traits : EngineTraits
        The engine's figures.
    present : sequence of Work
        What the engine has, in the order of admission.
    newcomer : Work
        What would come last.
    pace : float
        Over 1 if the engine is slower than its figures.

    Returns
    -------
    list of Prospect
        One for each of `present`, then the newcomer's. A request that writes already has a first
        event after 0 s; one that does not start within the passes played has infinity.
    """
    works = [*present, newcomer]
    count = len(works)
    read_left = [work.read_left for work in works]
    depth = [work.depth for work in works]
    answer_left = [work.answer_left for work in works]
    first = [0.0 if work.writes and work.read_left <= 0 else float("inf") for work in works]
    last_event = [0.0] * count
    pause = [0.0] * count
    now_s = 0.0
    for _ in range(_MOST_PASSES):
        running = [i for i in range(count) if _is_open(works[i], read_left[i], answer_left[i])]
        running = running[: traits.slots]
        writers = [i for i in running if read_left[i] <= 0]
        readers = reading_order([i for i in running if read_left[i] > 0], lambda i: works[i].joint)
        if not writers and not readers:
            break
        steps = traits.stride if writers else _steps_alone(traits, read_left[readers[0]])
        context = sum(depth[i] for i in writers)
        spent_s = steps * (
            traits.step_s
            + len(writers) * traits.per_writer_s
            + context * traits.per_context_token_s
        )
        budget = steps * traits.chunk
        finished = []
        for i in readers:
            taken = min(read_left[i], budget)
            if taken <= 0:
                break
            pairs = (taken * depth[i] + taken * taken / 2) * works[i].pair_share
            spent_s += taken / traits.read_tokens_per_s + pairs * traits.per_pair_s
            budget -= taken
            read_left[i] -= taken
            depth[i] += taken
            if read_left[i] <= 0:
                finished.append(i)
        now_s += spent_s * pace
        for i in writers:
            if first[i] == float("inf"):
                first[i] = now_s
            else:
                pause[i] = max(pause[i], now_s - last_event[i])
            last_event[i] = now_s
            answer_left[i] -= traits.stride
        for i in finished:
            if not works[i].writes:
                first[i] = now_s
        if not readers and all(first[i] < float("inf") for i in range(count)):
            break
    return [Prospect(first[i], pause[i]) for i in range(count)]


def reading_order(readers: Sequence[_T], is_joint: Callable[[_T], bool]) -> list[_T]:
    """Return the order in which prompts are read: joint parts first, the newest of them first.

    `readers` come in the order of admission; `is_joint` as `Work.joint`.

    That the newest goes first is not published; it was found from first events that came as much
    later as later parts took.
    """
    joint = [reader for reader in readers if is_joint(reader)]
    return [*reversed(joint), *(reader for reader in readers if not is_joint(reader))]


def _is_open(work: Work, read_left: float, answer_left: float) -> bool:
    return read_left > 0 or (work.writes and answer_left > 0)


def _steps_alone(traits: EngineTraits, tokens: float) -> int:
    return max(1, -int(-tokens // traits.chunk))
