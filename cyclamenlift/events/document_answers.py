"""Answers to document requests and a limit on outgoing documents.

On links of 2 Mbit/s a change of 22 KB takes 0.09 s for each recipient, and all
daemons that learn of it from one daemon ask that one. Without a limit, copies
queued for up to 2 s on the link of one daemon, ahead of its calls, while other
links and those of control instances were idle.
"""

import structlog

from cyclamenlift.events.history import DocumentHistory
from cyclamenlift.events.history import packed_size
from cyclamenlift.wire.gen.protocol.ttypes import DocumentAnswer
from cyclamenlift.wire.gen.protocol.ttypes import DocumentRequest
from cyclamenlift.wire.tasks import Link

# How long queued documents may occupy a link before further requests are
# redirected, in seconds: an eighth of the 2 s in which a change has to be in
# force.
MAX_QUEUED_SECONDS = 0.25
LOG = structlog.get_logger('events')


class LinkBudget:
    """Limits how many documents are queued on a daemon's link."""

    def __init__(self) -> None:
        # Bytes per second; 0 if unknown, which disables the limit.
        self.link_rate = 0.0
        self.free_at = 0.0

    def reserve(self, size: int, now: float) -> bool:
        """Reserve link time for ``size`` bytes, unless too much is queued."""
        if not self.link_rate:
            return True
        begins_at = max(now, self.free_at)
        if begins_at - now > MAX_QUEUED_SECONDS:
            return False
        self.free_at = begins_at + size / self.link_rate
        return True


def needs_document(history: DocumentHistory, request: DocumentRequest) -> bool:
    """Return whether the sender needs a newer document."""
    if request.without_document:
        return False
    return history.version > (request.known_version or 0)


def version_answer(
    version: int, request: DocumentRequest, committed: bool
) -> DocumentAnswer:
    """Return an answer that contains only the version."""
    return DocumentAnswer(
        request_id=request.request_id or 0,
        version=version,
        document=b'',
        committed=committed,
        packed_document=b'',
        changes=[],
    )


def document_size(answer: DocumentAnswer) -> int:
    """Return the size of the document data in an answer."""
    return len(answer.packed_document) + packed_size(answer.changes)


def log_document_answer(
    link: Link, request: DocumentRequest, answer: DocumentAnswer
) -> None:
    """Log that a document was sent, or not sent to save the link."""
    size = document_size(answer)
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
