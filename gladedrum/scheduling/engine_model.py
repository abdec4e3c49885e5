"""Model of an engine's time, for predictions and for the simulated targets.

Terms: an engine *reads* a prompt (prefill) and *writes* an answer (decode). It works in passes.
While requests write, a pass has `stride` steps, and each writer emits one event of `stride` tokens
at its end; a pass without writers has one step. Prompts are read between the steps, at most `chunk`
tokens per step. Reading therefore stretches the passes and with them the pauses between events, far
more than the number of writers does. The cost of reading has a term for each *pair* of a token and
an earlier one (attention). A prompt may be read in parts by several engines; these parts are
*joint*. One of these engines also writes the answer; the others are its *helpers*. The caller
receives each event when its pass ends; the time between two events is a *pause*.

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

__all__ = ["EngineTraits", "Prediction", "Work", "predict", "read_time_s", "reading_order"]

_T = TypeVar("_T")

_NEVER = float("inf")
"""Time of an event that does not occur within the simulated passes."""

_MAX_PASSES = 24
"""Number of passes that a prediction simulates; later ones differ little from the last."""


class EngineTraits(NamedTuple):
    """Size and speed of an engine.

    The defaults are those of the first deployments.

    Parameters
    ----------
    slots : int
        Number of requests that run at once.
    memory_tokens : int
        Memory for prompts and answers, in tokens.
    step_s, per_writer_s, per_context_token_s : float
        Duration of a step: a constant, plus one term per writer and one per token of its context.
    read_tokens_per_s : float
        Reading speed.
    per_pair_s : float
        Additional reading time for each pair of a token and an earlier one.
    chunk : int
        Maximum number of prompt tokens read in a step.
    stride : int
        Steps of a pass with writers, and tokens of an event.
    hop_s : float
        Time added to each step of a request whose memory is spread over several engines. The
        predictions do not include it.
    report_lag_s : float
        Maximum age of a load report when it is sent.
    usual_answer : float
        Mean length of an answer in tokens, for requests that do not state one.
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
        Answer tokens still to be written.
    depth : float
        Prompt tokens before those still to be read.
    pair_factor : float
        Factor on the pairs of the tokens read here. It is the number of parts for a part of a joint
        prompt, as the pairs of the whole prompt are shared evenly.
    writes : bool
        Whether it writes here once it is read; False on helpers.
    """

    read_left: float
    answer_left: float
    depth: float = 0.0
    pair_factor: float = 1.0
    writes: bool = True

    @property
    def is_joint(self) -> bool:
        """Whether it is a part of a prompt that several engines read."""
        return self.pair_factor > 1 or not self.writes


class Prediction(NamedTuple):
    """Predicted seconds to a request's first event, and its longest pause."""

    first_event_s: float
    pause_s: float


def read_time_s(traits: EngineTraits, tokens: float, depth: float = 0.0) -> float:
    """Return the time to read `tokens` that follow `depth` others, without the steps."""
    pairs = tokens * depth + tokens * tokens / 2
    return tokens / traits.read_tokens_per_s + pairs * traits.per_pair_s


def predict(
    traits: EngineTraits, present: Sequence[Work], newcomer: Work, pace: float = 1.0
) -> list[Prediction]:
    """Simulate the coming passes of an engine.

    Parameters
    ----------
    traits : EngineTraits
        Size and speed of the engine.
    present : sequence of Work
        The requests on the engine, in order of admission.
    newcomer : Work
        The request that is added last.
    pace : float
        Factor by which the engine is slower than its traits.

    Returns
    -------
    list of Prediction
        One for each of `present`, then the newcomer's. The first event of a request that writes
        already is at 0 s, that of a request that does not start in the simulated passes at
        infinity.
    """
    simulation = _Simulation(traits, [*present, newcomer], pace)
    for _ in range(_MAX_PASSES):
        if not simulation.run_pass():
            break
    return simulation.predictions


class _Simulation:
    """The state of an engine while its coming passes are simulated.

    All lists are indexed by the position of a request in `works`. Plain lists and a single loop
    over the requests keep a pass cheap: a coordinator of a large fleet simulates thousands a
    second.
    """

    def __init__(self, traits: EngineTraits, works: Sequence[Work], pace: float):
        self._traits = traits
        self._pace = pace
        self._now_s = 0.0
        self._joint = [work.pair_factor > 1 or not work.writes for work in works]
        self._writes = [work.writes for work in works]
        self._pair_factor = [work.pair_factor for work in works]
        self._read_left = [work.read_left for work in works]
        self._depth = [work.depth for work in works]
        self._answer_left = [work.answer_left for work in works]
        self._first_s = [0.0 if work.writes and work.read_left <= 0 else _NEVER for work in works]
        self._last_event_s = [0.0] * len(works)
        self._pause_s = [0.0] * len(works)

    @property
    def predictions(self) -> list[Prediction]:
        """Prediction for each request from the passes simulated so far."""
        return list(map(Prediction, self._first_s, self._pause_s))

    def run_pass(self) -> bool:
        """Simulate one pass; return whether another one can change the predictions."""
        writers, readers = self._running()
        if not writers and not readers:
            return False
        steps = self._steps(writers, readers)
        step_s = self._step_time_s(writers)
        read_s = self._read_all(readers, steps, step_s) if readers else 0.0
        self._now_s += (steps * step_s + read_s) * self._pace
        self._write(writers)
        return bool(readers) or _NEVER in self._first_s

    def _running(self) -> tuple[list[int], list[int]]:
        """Return the requests that write, and those that are read, in reading order."""
        writers: list[int] = []
        joint: list[int] = []
        whole: list[int] = []
        free_slots = self._traits.slots
        for i, read_left in enumerate(self._read_left):
            if read_left > 0:
                (joint if self._joint[i] else whole).append(i)
            elif self._writes[i] and self._answer_left[i] > 0:
                writers.append(i)
            else:
                continue
            free_slots -= 1
            if not free_slots:
                break
        # The same order as `reading_order`, without its further loops over the requests.
        joint.reverse()
        return writers, joint + whole

    def _steps(self, writers: Sequence[int], readers: Sequence[int]) -> int:
        """Return the number of steps of the next simulated pass.

        Without writers, the engine's passes of one step each are simulated as a single one, up to
        the step that finishes the first prompt in reading order.
        """
        if writers:
            return self._traits.stride
        return max(1, -int(-self._read_left[readers[0]] // self._traits.chunk))

    def _step_time_s(self, writers: Sequence[int]) -> float:
        """Return the duration of one step, without reading."""
        traits = self._traits
        context = sum([self._depth[i] for i in writers])
        writing_s = len(writers) * traits.per_writer_s
        return traits.step_s + writing_s + context * traits.per_context_token_s

    def _read_all(self, readers: Sequence[int], steps: int, step_s: float) -> float:
        """Read as much as a pass allows; return the time it takes, without the steps."""
        chunk = self._traits.chunk
        budget = steps * chunk
        read_s = 0.0
        for i in readers:
            read_tokens = min(self._read_left[i], budget)
            if read_tokens <= 0:
                break
            read_s += self._read(i, read_tokens)
            budget -= read_tokens
            if self._read_left[i] <= 0 and not self._writes[i]:
                # A helper finishes within the pass, at the step that reads the last token.
                steps_so_far = steps - budget / chunk
                self._first_s[i] = self._now_s + (steps_so_far * step_s + read_s) * self._pace
        return read_s

    def _read(self, i: int, read_tokens: float) -> float:
        """Read tokens of a prompt; return the time it takes, without the steps."""
        pairs = (read_tokens * self._depth[i] + read_tokens * read_tokens / 2) * self._pair_factor[
            i
        ]
        self._read_left[i] -= read_tokens
        self._depth[i] += read_tokens
        return read_tokens / self._traits.read_tokens_per_s + pairs * self._traits.per_pair_s

    def _write(self, writers: Sequence[int]) -> None:
        now_s, stride = self._now_s, self._traits.stride
        for i in writers:
            if self._first_s[i] == _NEVER:
                self._first_s[i] = now_s
            elif now_s - self._last_event_s[i] > self._pause_s[i]:
                self._pause_s[i] = now_s - self._last_event_s[i]
            self._last_event_s[i] = now_s
            self._answer_left[i] -= stride


def reading_order(readers: Sequence[_T], is_joint: Callable[[_T], bool]) -> list[_T]:
    """Return the reading order of an engine: joint parts first, the newest of them first.

    `readers` are in order of admission; `is_joint` tells whether one is a part of a joint prompt.
    That the newest goes first is not published. It was found from first events that were late by as
    much as later parts took to read.
    """
    joint = [reader for reader in readers if is_joint(reader)]
    return [*reversed(joint), *(reader for reader in readers if not is_joint(reader))]
