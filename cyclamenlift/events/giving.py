"""Answers to those who ask for a document, and when to send them on.

The load that the bound answers: on links of 2 Mbit/s a change of 22 KB takes
0.09 s for each who is given it, and all who heard of it from one daemon ask
that one. Without a bound copies waited for up to 2 s in the link of one
daemon, in front of its calls, while other links and those of control
instances were idle.
"""

import structlog

from cyclamenlift.events.history import DocumentHistory
from cyclamenlift.events.history import packed_size
from cyclamenlift.wire.gen.protocol.ttypes import DocumentAnswer
from cyclamenlift.wire.gen.protocol.ttypes import DocumentRequest
from cyclamenlift.wire.network import Link

# How long documents may occupy a link before others are sent elsewhere, in
# seconds: an eighth of the 2 s in which a change has to be in force.
MOST_OCCUPIED_SECONDS = 0.25
LOG = structlog.get_logger('events')


class LinkShare:
    """Bounds the documents that wait in the link of one daemon."""

    def __init__(self) -> None:
        # Bytes in a second; 0 where it is not known and nothing is bounded.
        self.link_rate = 0.0
        self.free_at = 0.0

    def take(self, size: int, now: float) -> bool:
        """Occupy the link with ``size`` bytes, if it is free soon."""
        if not self.link_rate:
            return True
        begins_at = max(now, self.free_at)
        if begins_at - now > MOST_OCCUPIED_SECONDS:
            return False
        self.free_at = begins_at + size / self.link_rate
        return True


def lacks(history: DocumentHistory, request: DocumentRequest) -> bool:
    """Tell whether the sender wants a document that it does not have."""
    if request.without_document:
        return False
    return history.version > (request.known_version or 0)


def bare_answer(
    version: int, request: DocumentRequest, committed: bool
) -> DocumentAnswer:
    """Return an answer that only names the version."""
    return DocumentAnswer(
        request_id=request.request_id or 0,
        version=version,
        document=b'',
        committed=committed,
        packed_document=b'',
        changes=[],
    )


def given_bytes(answer: DocumentAnswer) -> int:
    """Return how many bytes of a document an answer holds."""
    return len(answer.packed_document) + packed_size(answer.changes)


def log_given(
    link: Link, request: DocumentRequest, answer: DocumentAnswer
) -> None:
    """Tell that a document went out: to whom, how large, behind what."""
    size = given_bytes(answer)
    if not size and not answer.busy:
        return
    LOG.info(
        'document_given' if size else 'document_not_given',
        version=answer.version,
        known=request.known_version,
        packed_bytes=size,
        peer=link.hello.instance if link.hello else '',
        pending=link.pending,
    )
