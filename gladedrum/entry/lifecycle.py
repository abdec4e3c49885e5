"""The states of a request, and what each says about it if nothing more is heard.

::

    placing --send--> sent --answer--> answering --finish--> finished
       ^                | |                ^
       +----not_started---+ +-in_doubt-> doubtful
"""

from typing import Protocol

from automat import TypeMachineBuilder

from ..outcome import Failed, NotRun, Outcome, Unknown

__all__ = ["Lifecycle", "new_lifecycle"]


class Lifecycle(Protocol):
    """The inputs of the state machine of a request."""

    def send(self) -> None:
        """Bytes of it may reach a target from now on."""

    def not_started(self) -> None:
        """The target vouches that it did not start it, or no byte reached it."""

    def in_doubt(self) -> None:
        """A target may have run it and gives no word; another try does not change that."""

    def answer(self) -> None:
        """A piece of its answer has come."""

    def finish(self) -> None:
        """The whole answer has come."""

    def outcome_if_ended(self, reason: str) -> Outcome:
        """Return the outcome if the request ends here for the given reason."""


class _NoData:
    """The state machine keeps no data beside its state."""


def _ended_before_sending(_machine: Lifecycle, _data: _NoData, reason: str) -> Outcome:
    return NotRun(reason)


def _ended_after_sending(_machine: Lifecycle, _data: _NoData, reason: str) -> Outcome:
    return Unknown(f"{reason}; it may have run")


def _ended_while_answering(_machine: Lifecycle, _data: _NoData, reason: str) -> Outcome:
    return Failed(f"{reason}; it ran, and its answer is not whole")


def _keep_data(_machine: Lifecycle, _data: _NoData) -> None:
    """Only the state changes."""


def _build():
    builder = TypeMachineBuilder(Lifecycle, _NoData)
    placing = builder.state("placing")
    sent = builder.state("sent")
    doubtful = builder.state("doubtful")
    answering = builder.state("answering")
    finished = builder.state("finished")
    for origin, step, goal in (
        (placing, Lifecycle.send, sent),
        (placing, Lifecycle.not_started, placing),
        # Each segment of a long prompt is sent on its own.
        (sent, Lifecycle.send, sent),
        (sent, Lifecycle.not_started, placing),
        (sent, Lifecycle.in_doubt, doubtful),
        (doubtful, Lifecycle.send, doubtful),
        (doubtful, Lifecycle.not_started, doubtful),
        (doubtful, Lifecycle.in_doubt, doubtful),
        (doubtful, Lifecycle.answer, answering),
        (sent, Lifecycle.answer, answering),
        (answering, Lifecycle.answer, answering),
        # A request that is resumed elsewhere has answered before; it stays so.
        (answering, Lifecycle.send, answering),
        (answering, Lifecycle.not_started, answering),
        (answering, Lifecycle.in_doubt, answering),
        (answering, Lifecycle.finish, finished),
    ):
        origin.upon(step).to(goal).returns(None)
    for state, verdict in (
        (placing, _ended_before_sending),
        (sent, _ended_after_sending),
        (doubtful, _ended_after_sending),
        (answering, _ended_while_answering),
        (finished, _ended_while_answering),
    ):
        state.upon(Lifecycle.outcome_if_ended).loop()(verdict)
    return builder.build()


_new_machine = _build()


def new_lifecycle() -> Lifecycle:
    """Return a request's state machine, in its first state.

    Examples
    --------
    >>> life = new_lifecycle()
    >>> life.outcome_if_ended("no room")
    NotRun(reason='no room', retry_after_s=1.0, status=<HTTPStatus.SERVICE_UNAVAILABLE: 503>)
    >>> life.send()
    >>> type(life.outcome_if_ended("connection lost")).__name__
    'Unknown'
    """
    return _new_machine(_NoData())
