"""State machine of a request, which decides the outcome if the request ends early.

::

    placing --send--> sent --answer--> answering --finish--> finished
       ^               | |                 ^
       +--not_started--+ +--in_doubt--> uncertain

A request that ends while placing has not run. In states sent and uncertain it may have run. While
answering it has run and failed.
"""

from typing import Protocol

from automat import TypeMachineBuilder

from ..outcome import Failed, NotRun, Outcome, Unknown

__all__ = ["Lifecycle", "new_lifecycle"]


class Lifecycle(Protocol):
    """Inputs of the state machine of a request."""

    def send(self) -> None:
        """Bytes of the request may reach a target from now on."""

    def not_started(self) -> None:
        """The target confirmed that it did not start the request, or received no byte of it."""

    def in_doubt(self) -> None:
        """A target may have run the request. Later attempts that fail do not change that."""

    def answer(self) -> None:
        """A piece of the answer has arrived."""

    def finish(self) -> None:
        """The whole answer has arrived."""

    def outcome_if_ended(self, reason: str) -> Outcome:
        """Return the outcome of the request if it ends in this state for the given reason."""


class _NoData:
    """Placeholder: the state machine has no data besides its state."""


def _ended_before_sending(_machine: Lifecycle, _data: _NoData, reason: str) -> Outcome:
    return NotRun(reason)


def _ended_after_sending(_machine: Lifecycle, _data: _NoData, reason: str) -> Outcome:
    return Unknown(f"{reason}; it may have run")


def _ended_while_answering(_machine: Lifecycle, _data: _NoData, reason: str) -> Outcome:
    return Failed(f"{reason}; it ran, and its answer is not whole")


def _keep_data(_machine: Lifecycle, _data: _NoData) -> None:
    """Change only the state."""


def _build():
    builder = TypeMachineBuilder(Lifecycle, _NoData)
    placing = builder.state("placing")
    sent = builder.state("sent")
    uncertain = builder.state("uncertain")
    answering = builder.state("answering")
    finished = builder.state("finished")
    for origin, step, goal in (
        (placing, Lifecycle.send, sent),
        (placing, Lifecycle.not_started, placing),
        # Each segment of a long prompt is sent separately.
        (sent, Lifecycle.send, sent),
        (sent, Lifecycle.not_started, placing),
        (sent, Lifecycle.in_doubt, uncertain),
        (uncertain, Lifecycle.send, uncertain),
        (uncertain, Lifecycle.not_started, uncertain),
        (uncertain, Lifecycle.in_doubt, uncertain),
        (uncertain, Lifecycle.answer, answering),
        (sent, Lifecycle.answer, answering),
        (answering, Lifecycle.answer, answering),
        # A request that answered before and is sent to another target has still run.
        (answering, Lifecycle.send, answering),
        (answering, Lifecycle.not_started, answering),
        (answering, Lifecycle.in_doubt, answering),
        (answering, Lifecycle.finish, finished),
    ):
        origin.upon(step).to(goal).returns(None)
    for state, make_outcome in (
        (placing, _ended_before_sending),
        (sent, _ended_after_sending),
        (uncertain, _ended_after_sending),
        (answering, _ended_while_answering),
        (finished, _ended_while_answering),
    ):
        state.upon(Lifecycle.outcome_if_ended).loop()(make_outcome)
    return builder.build()


_new_machine = _build()


def new_lifecycle() -> Lifecycle:
    """Return a state machine in its initial state.

    Examples
    --------
    >>> lifecycle = new_lifecycle()
    >>> lifecycle.outcome_if_ended("no room")
    NotRun(reason='no room', retry_after_s=1.0, status=<HTTPStatus.SERVICE_UNAVAILABLE: 503>)
    >>> lifecycle.send()
    >>> type(lifecycle.outcome_if_ended("connection lost")).__name__
    'Unknown'
    """
    return _new_machine(_NoData())
