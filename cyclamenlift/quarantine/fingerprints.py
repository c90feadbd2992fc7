"""What makes two attempts the same request: their fingerprint.

It covers what the target acts on and what comes again each time: host,
method, path with query, the client account, and the
body. Names of attempts, deadlines, traces and other header fields differ
each time and are left out. The hash is cryptographic, so that nobody can
make a request that has the fingerprint of somebody else's.
"""

import hashlib

# 96 bits: too many to find another request with a given fingerprint, and
# 14 bytes on the wire for each call.
FINGERPRINT_BYTES = 12


class RequestHash:
    """Hashes one request; the body is added as it passes."""

    __slots__ = ('hash',)

    def __init__(self, host: str, method: str, path: str, client_account: str):
        parts = (host, method, path, client_account)
        head = '\n'.join(parts).encode('utf-8', 'surrogateescape')
        self.hash = hashlib.blake2b(head, digest_size=FINGERPRINT_BYTES)
        # No header field holds a line end, so the parts stay apart.
        self.hash.update(b'\n')

    def add(self, data: bytes) -> None:
        """Take the next piece of the body."""
        self.hash.update(data)

    def digest(self) -> bytes:
        """Return the fingerprint of what was added so far.

        >>> one = RequestHash('a.example', 'GET', '/p', '')
        >>> other = RequestHash('a.example', 'GET', '/q', '')
        >>> len(one.digest()), one.digest() == other.digest()
        (12, False)
        """
        return self.hash.digest()
