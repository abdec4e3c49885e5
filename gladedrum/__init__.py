"""gladedrum: a serving layer for LLM prompts of very different lengths on one shared fleet."""

__all__ = ["__version__"]

__version__ = "0.1.0"
