"""The states of a request, and what each says about it if nothing more is heard.

::

    placing --send--> sent --answer--> answering --finish--> finished
       ^                | |                ^
       +----unstarted---+ +-doubt-> doubtful
"""

from typing import Protocol

from automat import TypeMachineBuilder

from ..outcome import Failed, NotRun, Outcome, Unknown

__all__ = ["Lifecycle", "new_lifecycle"]


class Lifecycle(Protocol):
    """The inputs of the state machine of a request."""

    def send(self) -> None:
        """Bytes of it may reach a target from now on."""

    def unstarted(self) -> None:
        """The target vouches that it did not start it, or no byte reached it."""

    def doubt(self) -> None:
        """A target may have run it and gives no word; another try does not change that."""

    def answer(self) -> None:
        """A piece of its answer has come."""

    def finish(self) -> None:
        """The whole answer has come."""

    def lost(self, reason: str) -> Outcome:
        """Return the outcome if the request ends here for the given reason."""


class _Core:
    """The state machine keeps no data beside its state."""


def _lost_before_sending(_machine: Lifecycle, _core: _Core, reason: str) -> Outcome:
    return NotRun(reason)


def _lost_after_sending(_machine: Lifecycle, _core: _Core, reason: str) -> Outcome:
    return Unknown(f"{reason}; it may have run")


def _lost_while_answering(_machine: Lifecycle, _core: _Core, reason: str) -> Outcome:
    return Failed(f"{reason}; it ran, and its answer is not whole")


def _do_nothing(_machine: Lifecycle, _core: _Core) -> None:
    """Only the state changes."""


def _build():
    builder = TypeMachineBuilder(Lifecycle, _Core)
    placing = builder.state("placing")
    sent = builder.state("sent")
    doubtful = builder.state("doubtful")
    answering = builder.state("answering")
    finished = builder.state("finished")
    for origin, step, goal in (
        (placing, Lifecycle.send, sent),
        (placing, Lifecycle.unstarted, placing),
        # Each segment of a long prompt is sent on its own.
        (sent, Lifecycle.send, sent),
        (sent, Lifecycle.unstarted, placing),
        (sent, Lifecycle.doubt, doubtful),
        (doubtful, Lifecycle.send, doubtful),
        (doubtful, Lifecycle.unstarted, doubtful),
        (doubtful, Lifecycle.doubt, doubtful),
        (doubtful, Lifecycle.answer, answering),
        (sent, Lifecycle.answer, answering),
        (answering, Lifecycle.answer, answering),
        # A request that is resumed elsewhere has answered before; it stays so.
        (answering, Lifecycle.send, answering),
        (answering, Lifecycle.unstarted, answering),
        (answering, Lifecycle.doubt, answering),
        (answering, Lifecycle.finish, finished),
    ):
        origin.upon(step).to(goal).returns(None)
    for state, verdict in (
        (placing, _lost_before_sending),
        (sent, _lost_after_sending),
        (doubtful, _lost_after_sending),
        (answering, _lost_while_answering),
        (finished, _lost_while_answering),
    ):
        state.upon(Lifecycle.lost).loop()(verdict)
    return builder.build()


_make = _build()


def new_lifecycle() -> Lifecycle:
    """Return a request's state machine, in its first state.

    Examples
    --------
    >>> life = new_lifecycle()
    >>> life.lost("no room")
    NotRun(reason='no room', retry_after_s=1.0, status=<HTTPStatus.SERVICE_UNAVAILABLE: 503>)
    >>> life.send()
    >>> type(life.lost("connection lost")).__name__
    'Unknown'
    """
    return _make(_Core())
