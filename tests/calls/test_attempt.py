"""Request bodies sent within the flow-control credit of a gate."""

from cyclamenlift.calls.attempt import CHUNK_BYTES
from cyclamenlift.calls.attempt import Try
from cyclamenlift.wire.gen.protocol.ttypes import BodyChunk
from cyclamenlift.wire.gen.protocol.ttypes import CallStart

LARGE = 8 * 1024 * 1024


class EagerLink:
    """A link to a gate in this process, which credits chunks at once."""

    pending = 0
    was_established = True

    def __init__(self):
        self.attempt = Try(1, 'own', self, 0.0)
        self.received = []

    def post(self, message) -> bytes:
        if isinstance(message, BodyChunk):
            self.received.append(message)
            self.attempt.add_credit(len(message.data))
        else:
            self.attempt.add_credit(2 * CHUNK_BYTES)
        return b'frame'


def test_a_large_body_to_the_local_gate_is_sent_whole():
    # Regression: each credit sent the next chunk recursively, so a body of
    # some megabytes exceeded the recursion limit.
    link = EagerLink()
    body = bytes(LARGE)
    assert link.attempt.send(CallStart(), body)
    assert sum(len(chunk.data) for chunk in link.received) == LARGE
    assert [c.last for c in link.received].count(True) == 1
    assert link.received[-1].last
