"""Settings of all tests: properties are tried on the same examples in every run."""

from hypothesis import settings

settings.register_profile("same-every-time", derandomize=True, deadline=None)
settings.load_profile("same-every-time")
