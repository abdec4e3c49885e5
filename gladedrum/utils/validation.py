"""Checks of values that other programs state, made once where they enter the process."""

import ipaddress

__all__ = ["MAX_HALL_LENGTH", "MAX_INT32", "MAX_INT64", "is_box_name", "is_host", "is_port"]
__all__ += ["is_text", "split_address"]

MAX_INT32, MAX_INT64 = 2**31 - 1, 2**63 - 1
"""Largest integers that the protocol between boxes can carry."""

MAX_HALL_LENGTH = 100
"""Maximum length of a data hall's name, in characters. Boxes pass the name on in datagrams, which
hold 64 kB at most."""

_MAX_BOX_NAME_LENGTH = 300
"""Maximum length of a box's name, in characters; boxes name each other in datagrams."""

_MAX_PORT = 65_535
_PORT_DIGITS = 5
_BROADCAST = "255.255.255.255"


def is_host(value: object) -> bool:
    """Whether a value is the text of an IPv4 address that one process can have.

    Examples
    --------
    >>> [is_host(value) for value in ("10.9.0.7", "0.0.0.0", "224.0.0.1", "engine-1", 8)]
    [True, False, False, False, False]
    """
    if not isinstance(value, str) or value == _BROADCAST:
        return False
    try:
        address = ipaddress.IPv4Address(value)
    except ValueError:
        return False
    return not (address.is_unspecified or address.is_multicast)


def is_port(value: object) -> bool:
    """Whether a value is the number of a port that can be connected to."""
    return isinstance(value, int) and not isinstance(value, bool) and 0 < value <= _MAX_PORT


def is_text(value: object, max_length: int) -> bool:
    """Whether a value is printable text of at most so many characters; it may be empty.

    Text with lone surrogates, which JSON allows, is not printable and can't be encoded.
    """
    return isinstance(value, str) and len(value) <= max_length and value.isprintable()


def is_box_name(value: object) -> bool:
    """Whether a value can be the name of a box's start.

    Examples
    --------
    >>> [is_box_name(value) for value in ("box-1.9f3a", "", None, "x" * 5000)]
    [True, False, False, False]
    """
    return bool(value) and is_text(value, _MAX_BOX_NAME_LENGTH)


def split_address(text: str) -> tuple[str, int]:
    """Split IP:PORT into host and port.

    Raises
    ------
    ValueError
        If the text is no address that one process can have.

    Examples
    --------
    >>> split_address("10.9.0.7:8080")
    ('10.9.0.7', 8080)
    """
    host, _, digits = text.rpartition(":")
    if not is_host(host):
        raise ValueError("it is not IP:PORT with the address of one machine")
    # The length first: `int` raises on text of thousands of digits.
    is_number = len(digits) <= _PORT_DIGITS and digits.isascii() and digits.isdecimal()
    if not (is_number and is_port(int(digits))):
        raise ValueError("its port is no number from 1 to 65535")
    return host, int(digits)
