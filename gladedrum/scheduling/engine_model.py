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

_NEVER = float("inf")
"""The time of an event that does not come within the passes played."""

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
    played = _Playing(traits, [*present, newcomer], pace)
    for _ in range(_MOST_PASSES):
        if not played.play_pass():
            break
    return played.prospects


class _Playing:
    """The state of an engine while its coming passes are played.

    Lists go by the place of a request in `works`. A box that decides for a large fleet plays
    thousands of passes a second, so each looks at a request once.
    """

    def __init__(self, traits: EngineTraits, works: Sequence[Work], pace: float):
        self._traits = traits
        self._pace = pace
        self._now_s = 0.0
        self._joint = [work.pair_share > 1 or not work.writes for work in works]
        self._writes = [work.writes for work in works]
        self._pair_share = [work.pair_share for work in works]
        self._read_left = [work.read_left for work in works]
        self._depth = [work.depth for work in works]
        self._answer_left = [work.answer_left for work in works]
        self._first_s = [0.0 if work.writes and work.read_left <= 0 else _NEVER for work in works]
        self._last_event_s = [0.0] * len(works)
        self._pause_s = [0.0] * len(works)

    @property
    def prospects(self) -> list[Prospect]:
        """What each request is to expect, as far as was played."""
        return list(map(Prospect, self._first_s, self._pause_s))

    def play_pass(self) -> bool:
        """Play one pass; return whether a further one can tell more."""
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
        """Return which requests write and which are read, the latter in the order of reading."""
        writers: list[int] = []
        joint: list[int] = []
        whole: list[int] = []
        room = self._traits.slots
        for i, read_left in enumerate(self._read_left):
            if read_left > 0:
                (joint if self._joint[i] else whole).append(i)
            elif self._writes[i] and self._answer_left[i] > 0:
                writers.append(i)
            else:
                continue
            room -= 1
            if not room:
                break
        # As `reading_order`.
        joint.reverse()
        return writers, joint + whole

    def _steps(self, writers: Sequence[int], readers: Sequence[int]) -> int:
        if writers:
            return self._traits.stride
        return max(1, -int(-self._read_left[readers[0]] // self._traits.chunk))

    def _step_time_s(self, writers: Sequence[int]) -> float:
        """Return the time of one step, without reading."""
        traits = self._traits
        context = sum([self._depth[i] for i in writers])
        writing_s = len(writers) * traits.per_writer_s
        return traits.step_s + writing_s + context * traits.per_context_token_s

    def _read_all(self, readers: Sequence[int], steps: int, step_s: float) -> float:
        """Read what a pass has room for; return the time that it takes, without steps."""
        chunk = self._traits.chunk
        budget = steps * chunk
        read_s = 0.0
        for i in readers:
            taken = min(self._read_left[i], budget)
            if taken <= 0:
                break
            read_s += self._read(i, taken)
            budget -= taken
            if self._read_left[i] <= 0 and not self._writes[i]:
                # A part for another engine is done within the pass, at the step that reads its end.
                steps_so_far = steps - budget / chunk
                self._first_s[i] = self._now_s + (steps_so_far * step_s + read_s) * self._pace
        return read_s

    def _read(self, i: int, taken: float) -> float:
        """Read tokens of a prompt; return the time that it takes, without steps."""
        pairs = (taken * self._depth[i] + taken * taken / 2) * self._pair_share[i]
        self._read_left[i] -= taken
        self._depth[i] += taken
        return taken / self._traits.read_tokens_per_s + pairs * self._traits.per_pair_s

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
    """Return the order in which prompts are read: joint parts first, the newest of them first.

    `readers` come in the order of admission; `is_joint` as `Work.joint`.

    That the newest goes first is not published; it was found from first events that came as much
    later as later parts took.
    """
    joint = [reader for reader in readers if is_joint(reader)]
    return [*reversed(joint), *(reader for reader in readers if not is_joint(reader))]
