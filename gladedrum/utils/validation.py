"""Checks of values that other programs state, made once where they enter the process."""

import ipaddress

__all__ = ["is_host", "is_port", "split_address"]

_MAX_PORT = 65_535
_PORT_DIGITS = 5


def is_host(value: object) -> bool:
    """Whether a value is the text of an IPv4 address."""
    if not isinstance(value, str):
        return False
    try:
        ipaddress.IPv4Address(value)
    except ValueError:
        return False
    return True


def is_port(value: object) -> bool:
    """Whether a value is the number of a port that can be connected to."""
    return isinstance(value, int) and not isinstance(value, bool) and 0 < value <= _MAX_PORT


def split_address(text: str) -> tuple[str, int]:
    """Split IP:PORT into host and port.

    Raises
    ------
    ValueError
        If the text is no such address.

    Examples
    --------
    >>> split_address("10.9.0.7:8080")
    ('10.9.0.7', 8080)
    """
    host, _, digits = text.rpartition(":")
    if not is_host(host):
        raise ValueError("it is not IP:PORT")
    # The length first: `int` raises on text of thousands of digits.
    is_number = len(digits) <= _PORT_DIGITS and digits.isascii() and digits.isdecimal()
    if not (is_number and is_port(int(digits))):
        raise ValueError("its port is no number from 1 to 65535")
    return host, int(digits)
