"""Request fingerprints, which identify repeated attempts of a request.

A fingerprint covers what the target acts on and what stays the same on each
attempt: host, method, path with query, the client account and the body.
Attempt ids, deadlines, trace ids and other header fields change with each
attempt and are left out. The hash is cryptographic, so that nobody can craft a
request with the fingerprint of another client's request.
"""

import hashlib

# 96 bits are enough to prevent a second request with a given fingerprint, and
# take 14 bytes on the wire for each call.
FINGERPRINT_BYTES = 12


class RequestHash:
    """Incremental hash of one request and its body."""

    __slots__ = ('hash',)

    def __init__(self, host: str, method: str, path: str, client_account: str):
        parts = (host, method, path, client_account)
        head = '\n'.join(parts).encode('utf-8', 'surrogateescape')
        self.hash = hashlib.blake2b(head, digest_size=FINGERPRINT_BYTES)
        # Header fields cannot contain a line end, so the separator is
        # unambiguous.
        self.hash.update(b'\n')

    def add(self, data: bytes) -> None:
        """Add the next chunk of the body."""
        self.hash.update(data)

    def digest(self) -> bytes:
        """Return the fingerprint of the data added so far.

        >>> one = RequestHash('a.example', 'GET', '/p', '')
        >>> other = RequestHash('a.example', 'GET', '/q', '')
        >>> len(one.digest()), one.digest() == other.digest()
        (12, False)
        """
        return self.hash.digest()
