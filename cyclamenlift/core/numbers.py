"""Reads unsigned integers that callers, targets, peers or operators wrote."""

# Enough for any 64-bit number. Reading a text takes more than linear time, and
# Python refuses to read one of more than 4,300 digits.
MAX_DIGITS = 18


def read_unsigned(text: str) -> int | None:
    """Return the number that a text is, None if it is none or too long.

    Digits of other scripts and superscripts are none.

    >>> read_unsigned('007'), read_unsigned('0')
    (7, 0)
    >>> read_unsigned(''), read_unsigned('-1'), read_unsigned('1_000')
    (None, None, None)
    >>> read_unsigned('\\u00b2'), read_unsigned('\\u0663')
    (None, None)
    >>> read_unsigned('9' * 19) is None
    True
    """
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        return None
    return int(text)
