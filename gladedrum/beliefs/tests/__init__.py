"""Tests of `gladedrum.beliefs`."""
