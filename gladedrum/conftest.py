"""Fixtures and settings of all tests; Hypothesis uses the same examples in every run."""

import pytest
from hypothesis import settings

from gladedrum.forward.tests.support import disconnect_all_callers

settings.register_profile("same-every-time", derandomize=True, deadline=None)
settings.load_profile("same-every-time")


@pytest.fixture(autouse=True)
def end_remaining_requests():
    """End the requests that a test has left running."""
    yield
    disconnect_all_callers()
