"""Compression of documents for transfer, logs and storage.

Documents with hundreds of routes are repetitive and compress to about a
tenth. Every version is sent to every instance, and links between data
centres and to small instances are expensive.
"""

import zlib

# The default trade-off of zlib: 1 ms for a document of 180 kB.
LEVEL = 6


def compress(data: bytes) -> bytes:
    """Return ``data`` compressed.

    >>> decompress(compress(b'route ' * 100), 600) == b'route ' * 100
    True
    """
    return zlib.compress(data, LEVEL)


def decompress(data: bytes, limit: int) -> bytes:
    """Return decompressed data; ValueError if invalid or over ``limit``.

    >>> decompress(compress(b'abc'), 2)
    Traceback (most recent call last):
    ...
    ValueError: over 2 bytes when decompressed
    """
    reader = zlib.decompressobj()
    try:
        found = reader.decompress(data, limit + 1)
    except zlib.error as error:
        raise ValueError(f'invalid compressed data: {error}') from error
    if len(found) > limit:
        raise ValueError(f'over {limit} bytes when decompressed')
    if not reader.eof or reader.unused_data:
        raise ValueError('truncated or trailing compressed data')
    return found
