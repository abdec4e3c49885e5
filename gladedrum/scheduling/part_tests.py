"""Group testing of the parts of prompts: which part ends the targets that run it.

When a target ends, any part of any prompt on it may be the cause. Most of these parts are common,
and requests that share them run to their end all the time, which clears them. A part under which
two targets have ended and which nothing has cleared is *tested*: a request with it runs alone, one
at a time in the fleet. If it runs to its end, its parts are cleared. If its target ends, one of its
parts, or the request by itself, is the cause.

A part is condemned once three targets have ended under it, two of them in tests with different
requests, and no one or two other parts explain all of these tests. Two such ends by chance are
unlikely even while a rack fails; different requests are needed because a request may be the cause
by itself. If two parts were in the same tests, only requests with both are refused, and a request
with one of them is the next test.

For a moment after each loss no request with one of the lost parts starts, so that ends under
requests that are already running are counted first.

The request whose other parts are the least suspect is tested first: the others wait, the longer the
more targets have ended under them. A common part is therefore cleared by a sound request before one
with the deadly part is tested, and two deadly parts do not convict what they have in common.

The load that this answers: dozens of requests a second that share a deadly part, at all boxes at
once, among sound ones that share every other part.
"""

import itertools
from collections.abc import Sequence
from typing import NamedTuple

from .standing import ENDS_TO_CONDEMN, LOSS_RETENTION_S, Standing, TargetStart, count_starts

__all__ = ["ENDS_TO_TEST", "PART_LOSS_RETENTION_S", "PartLoss"]
__all__ += ["is_proved", "may_start_test", "patience_s", "standing_of_part"]

ENDS_TO_TEST = 2
"""Number of ended targets from which on a part is tested. After a single end, all parts of all
prompts on the target would be held back, although ends of other causes are common."""

TESTS_TO_CONDEMN = 2
"""Number of targets that must have ended in tests of a part."""

SETTLE_S = 0.12
"""How long requests with a part wait after each loss of it, in seconds. Requests with the same
deadly part that were sent just before the loss end their targets meanwhile, and then the part is
tested; without the pause more of them start before that. After an end of another cause, requests
with a common part start this much later."""

MAX_RIVALS = 2
"""Number of other deadly parts that may explain the tests of a part in its place. Two deadly parts
at once are expected; three or more, each of which ended several targets, are less likely than the
one part that all these tests share."""

VERDICT_WAIT_S = 0.5
"""How long a further test waits to learn whether the target of the last one has ended, in seconds;
a connection attempt tells within some hundredths of a second."""

PART_LOSS_RETENTION_S = 2 * LOSS_RETENTION_S
"""How long the last loss of a part keeps the earlier ones, in seconds: after `LOSS_RETENTION_S` a
condemned part is tested again, and the end of that one target condemns it for as long again."""

PATIENCE_S, MAX_PATIENCE_ENDS = 0.15, 4
"""How long a request waits per target that has ended under another part of it, in seconds, and how
many of these count. A request without such a part usually comes meanwhile; if none comes, the part
may be rare, and the request that waits is the test."""

WRITING_S = 0.25
"""A test that has been writing for this long, in seconds, allows two more. It does not clear its
parts, but without it all requests with a common part would wait for the longest answer."""

TEST_TIMEOUT_S = 1.0
"""A test that has not begun to write after this time, in seconds, allows another one: a long prompt
is still being read, or its end was not heard."""


class PartLoss(NamedTuple):
    """A loss of a part that is not cleared.

    Parameters
    ----------
    start : TargetStart
        The start of the target.
    age_s : float
        Seconds since the loss.
    ended : bool
        Whether the target is known to have ended.
    isolated : bool
        Whether the request ran alone, as a test.
    request : bytes
        Identifies the request that bore the part.
    explained : bool
        Whether another part that ran on the target is proved to end targets, and this one is not.
    rivals : frozenset of bytes
        Other parts that were lost in this test, under which `ENDS_TO_TEST` targets have ended, and
        which are not in the request in question.
    """

    start: TargetStart
    age_s: float
    ended: bool
    isolated: bool
    request: bytes
    explained: bool
    rivals: frozenset[bytes]


def standing_of_part(losses: Sequence[PartLoss]) -> Standing:
    """Return the standing of a part, given its losses.

    Parameters
    ----------
    losses : sequence of PartLoss
        Its losses that are not cleared.

    Returns
    -------
    Standing
        Clear, alone (to be tested), held (just lost, or its last test has no verdict yet) or
        condemned.
    """
    ended = [loss for loss in losses if loss.ended and not loss.explained]
    starts = count_starts(loss.start for loss in ended)
    if is_proved(ended) and min(loss.age_s for loss in ended) < LOSS_RETENTION_S:
        return Standing.CONDEMNED
    if any(_is_settling(loss) for loss in losses):
        return Standing.HELD
    return Standing.ALONE if starts >= ENDS_TO_TEST else Standing.CLEAR


def is_proved(losses: Sequence[PartLoss]) -> bool:
    """Return whether losses prove that their part ends targets."""
    ended = [loss for loss in losses if loss.ended]
    tests = [loss for loss in ended if loss.isolated]
    return (
        count_starts(loss.start for loss in ended) >= ENDS_TO_CONDEMN
        and count_starts(loss.start for loss in tests) >= TESTS_TO_CONDEMN
        and len({loss.request for loss in tests}) >= TESTS_TO_CONDEMN
        and not _are_explained([loss.rivals for loss in tests])
    )


def _are_explained(rivals: Sequence[frozenset[bytes]]) -> bool:
    """Return whether `MAX_RIVALS` parts are enough to explain all tests, given their rivals."""
    candidates = frozenset().union(*rivals)
    return any(
        all(not found.isdisjoint(chosen) for found in rivals)
        for chosen in itertools.combinations(candidates, min(MAX_RIVALS, len(candidates)))
    )


def _is_settling(loss: PartLoss) -> bool:
    """Whether to wait for what else is known of a loss soon."""
    awaits_verdict = loss.isolated and not loss.ended
    return not loss.explained and loss.age_s < (VERDICT_WAIT_S if awaits_verdict else SETTLE_S)


def patience_s(other_ends: int) -> float:
    """Return how long after the last loss of a part a request waits before it may test the part.

    Parameters
    ----------
    other_ends : int
        The number of targets that have ended under any other part of the request.

    Returns
    -------
    float
        Seconds; 0 if nothing speaks against the rest of the request.
    """
    return PATIENCE_S * min(other_ends, MAX_PATIENCE_ENDS)


def may_start_test(writing_since_s: Sequence[float | None], ages_s: Sequence[float]) -> bool:
    """Return whether a further test of a part may start beside those under way.

    Parameters
    ----------
    writing_since_s : sequence of float or None
        For each test, for how many seconds it has been writing; None if it has not begun.
    ages_s : sequence of float
        For each test, the seconds since it was placed.
    """
    passed = sum(since is not None and since >= WRITING_S for since in writing_since_s)
    unproved = sum(
        (since is None and age < TEST_TIMEOUT_S) or (since is not None and since < WRITING_S)
        for since, age in zip(writing_since_s, ages_s, strict=True)
    )
    return unproved <= passed
