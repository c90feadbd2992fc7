"""Documents in few bytes, for what is sent, logged and kept.

A document with hundreds of routes says the same words in each; packed it is
about a tenth. Every instance is sent every version, and the ways between
data centres and to small instances are dear.
"""

import zlib

# The usual trade of time for size: 1 ms for a document of 180 kB.
LEVEL = 6


def pack(data: bytes) -> bytes:
    """Return ``data`` in fewer bytes.

    >>> unpack(pack(b'route ' * 100), 600) == b'route ' * 100
    True
    """
    return zlib.compress(data, LEVEL)


def unpack(data: bytes, limit: int) -> bytes:
    """Return what was packed; ValueError if it is foreign or over ``limit``.

    >>> unpack(pack(b'abc'), 2)
    Traceback (most recent call last):
    ...
    ValueError: over 2 bytes when unpacked
    """
    reader = zlib.decompressobj()
    try:
        found = reader.decompress(data, limit + 1)
    except zlib.error as error:
        raise ValueError(f'not packed: {error}') from error
    if len(found) > limit:
        raise ValueError(f'over {limit} bytes when unpacked')
    if not reader.eof or reader.unused_data:
        raise ValueError('not packed whole')
    return found
