"""Late first answers: the library of the operators' pages is loaded while callers wait."""

from twisted.internet import task

from gladedrum.forward.ports import PAGES_DELAY_S, BoxPorts
from gladedrum.utils import start


def test_the_pages_open_only_after_the_port_for_callers():
    clock, opened = task.Clock(), []

    async def open_pages():
        opened.append(clock.seconds())

    ports = BoxPorts(
        clock, None, None, None, None, None, None, lambda: True, lambda _informed: None
    )
    ports._pages_port.run = open_pages
    start(ports.pages_child().run())
    clock.pump([0.1] * 20)
    assert not opened
    ports._caller_port.port = 8090
    clock.pump([0.01] * 10)
    assert 2.0 + PAGES_DELAY_S <= opened[0] <= 2.1
