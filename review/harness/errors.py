"""The exception of the scripts."""

__all__ = ["CannotRunError"]


class CannotRunError(Exception):
    """The case could not be brought about."""
