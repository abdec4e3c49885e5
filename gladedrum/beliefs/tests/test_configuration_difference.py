"""Differences of configurations restore exactly what the operator wrote, or are rejected."""

import zlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gladedrum.beliefs.configuration_difference import (
    MAX_CONFIGURATION_BYTES,
    apply_difference,
    encode_difference,
)

TEXTS = st.lists(st.sampled_from([b"{a}", b"{b}", b"}", b"x", b""])).map(b"".join)


@given(TEXTS, TEXTS)
def test_a_difference_leads_to_the_new_version(old, new):
    assert apply_difference(old, encode_difference(old, new)) == new


@given(st.binary(), TEXTS)
def test_malformed_differences_raise_value_errors(difference, old):
    with pytest.raises(ValueError):
        apply_difference(old, difference)


def test_a_difference_from_another_version_is_rejected():
    with pytest.raises(ValueError, match="another version"):
        apply_difference(b"{c}{b}", encode_difference(b"{a}{b}", b"{a}{b}{b}"))


@pytest.mark.parametrize("operations", [
    [(0, MAX_CONFIGURATION_BYTES)] * 3, [(-1, 2)], [(0, -5)], [b"x" * MAX_CONFIGURATION_BYTES] * 2,
])  # fmt: skip
def test_differences_that_expand_too_far_are_rejected(operations):
    difference = zlib.compress(msgspec.msgpack.encode((operations, b"")))
    with pytest.raises(ValueError):
        apply_difference(b"x" * MAX_CONFIGURATION_BYTES, difference)
