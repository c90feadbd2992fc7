"""Verifiable response bodies of a stand-in target.

The first line is JSON with the id of the request and the length and CRC of
the payload; the payload follows. A client can tell its own complete response
from a truncated one and from the response to another request.
"""

import dataclasses
import enum
import json
import zlib

SEPARATOR = b'\n'


class AnswerFault(enum.Enum):
    """Possible defects of a response body."""

    NONE = 'none'
    TRUNCATED = 'cut'
    MISMATCHED = 'foreign'


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerFacts:
    """Facts about a request that the target reports in its response."""

    request_id: str
    target: str
    received_bytes: int
    received_sha256: str


def build_answer(facts: AnswerFacts, size: int) -> bytes:
    """Build a body with a payload of ``size`` bytes.

    >>> facts = AnswerFacts('r1', 't1', 0, '')
    >>> check_answer(build_answer(facts, 10), 'r1')
    <AnswerFault.NONE: 'none'>
    >>> check_answer(build_answer(facts, 10)[:-1], 'r1')
    <AnswerFault.TRUNCATED: 'cut'>
    >>> check_answer(build_answer(facts, 10), 'r2')
    <AnswerFault.MISMATCHED: 'foreign'>
    """
    seed = (facts.request_id or '-').encode()
    payload = (seed * (size // len(seed) + 1))[:size]
    line = {
        'id': facts.request_id,
        'target': facts.target,
        'received_bytes': facts.received_bytes,
        'received_sha256': facts.received_sha256,
        'length': size,
        'crc32': zlib.crc32(payload),
    }
    return json.dumps(line).encode() + SEPARATOR + payload


def check_answer(body: bytes, request_id: str) -> AnswerFault:
    """Check that ``body`` is the complete response to ``request_id``."""
    line = read_first_line(body)
    if line is None:
        return AnswerFault.TRUNCATED
    if line.get('id') != request_id:
        return AnswerFault.MISMATCHED
    payload = body.partition(SEPARATOR)[2]
    if len(payload) != line.get('length'):
        return AnswerFault.TRUNCATED
    if zlib.crc32(payload) != line.get('crc32'):
        return AnswerFault.MISMATCHED
    return AnswerFault.NONE


def read_first_line(body: bytes) -> dict | None:
    """Parse the first line as JSON; return None if it is incomplete."""
    head, found, _ = body.partition(SEPARATOR)
    if not found:
        return None
    try:
        line = json.loads(head)
    except ValueError:
        return None
    return line if isinstance(line, dict) else None
