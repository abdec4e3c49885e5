"""Settings of all tests: properties are tried on the same examples in every run."""

import pytest
from hypothesis import settings

from gladedrum.forward.tests.support import leave_all

settings.register_profile("same-every-time", derandomize=True, deadline=None)
settings.load_profile("same-every-time")


@pytest.fixture(autouse=True)
def no_request_outlives_its_test():
    """End what a test has left at work before the next one begins."""
    yield
    leave_all()
