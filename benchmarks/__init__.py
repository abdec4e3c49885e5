"""Benchmarks whose results the documentation quotes; each module is one command."""
