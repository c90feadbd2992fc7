"""The body of a stand-in target's answer, made so that it can be checked.

The first line is JSON with the id of the request and the length and CRC of
the payload; the payload follows. A sender can tell a whole answer of its
own from a cut one and from another caller's.
"""

import dataclasses
import enum
import json
import zlib

SEPARATOR = b'\n'


class AnswerFault(enum.Enum):
    """What is wrong with the body of an answer."""

    NONE = 'none'
    CUT = 'cut'
    FOREIGN = 'foreign'


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerFacts:
    """What a target says of the request that it answers."""

    request_id: str
    target: str
    received_bytes: int
    received_sha256: str


def build_answer(facts: AnswerFacts, size: int) -> bytes:
    """Return a body whose payload has ``size`` bytes.

    >>> facts = AnswerFacts('r1', 't1', 0, '')
    >>> check_answer(build_answer(facts, 10), 'r1')
    <AnswerFault.NONE: 'none'>
    >>> check_answer(build_answer(facts, 10)[:-1], 'r1')
    <AnswerFault.CUT: 'cut'>
    >>> check_answer(build_answer(facts, 10), 'r2')
    <AnswerFault.FOREIGN: 'foreign'>
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
    """Tell whether ``body`` is the whole answer to ``request_id``."""
    line = read_first_line(body)
    if line is None:
        return AnswerFault.CUT
    if line.get('id') != request_id:
        return AnswerFault.FOREIGN
    payload = body.partition(SEPARATOR)[2]
    if len(payload) != line.get('length'):
        return AnswerFault.CUT
    if zlib.crc32(payload) != line.get('crc32'):
        return AnswerFault.FOREIGN
    return AnswerFault.NONE


def read_first_line(body: bytes) -> dict | None:
    """Return the JSON of the first line, None when it is not whole."""
    head, found, _ = body.partition(SEPARATOR)
    if not found:
        return None
    try:
        line = json.loads(head)
    except ValueError:
        return None
    return line if isinstance(line, dict) else None
