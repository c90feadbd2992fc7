"""The newest document of a process and the changes that led to it."""

import collections

from cyclamenlift.events.changes import make_change
from cyclamenlift.models.lines import Lines
from cyclamenlift.wire.gen.protocol.ttypes import DocumentChange

# Requesters that are further behind get the full document. Changes come 0.3 s
# apart in an ordinary burst, so these cover nearly 5 s of it: ten failed
# pulls.
CHANGES_KEPT = 16
# The compressed size of a large document. Every daemon keeps the changes in
# memory.
CHANGE_BYTES_KEPT = 64 * 1024


class DocumentHistory:
    """Provides the changes since a version, or the full document."""

    def __init__(self) -> None:
        self.version = 0
        self.lines: Lines = ()
        self.changes: collections.deque[DocumentChange] = collections.deque()
        # The full document as one change, built on first use.
        self.packed_full_document = b''

    def put(self, version: int, lines: Lines, packed: bytes = b'') -> None:
        """Store a newer version; ``packed`` is the diff that made it."""
        if self.version:
            packed = packed or make_change(self.lines, lines)
            change = DocumentChange(self.version, version, packed)
            self.changes.append(change)
        self.version = version
        self.lines = lines
        self.packed_full_document = b''
        self.drop_oldest()

    def drop_oldest(self) -> None:
        while len(self.changes) > CHANGES_KEPT:
            self.changes.popleft()
        size = sum(len(change.packed) for change in self.changes)
        while size > CHANGE_BYTES_KEPT:
            size -= len(self.changes.popleft().packed)

    def since(self, known: int) -> list[DocumentChange]:
        """Return the changes from version ``known`` to the newest one."""
        if known >= self.version:
            return []
        steps = list(self.changes)
        for place, change in enumerate(steps):
            if change.base_version == known:
                return steps[place:]
        return [self.full_document()]

    def last(self) -> list[DocumentChange]:
        """Return the newest change, empty if there is none."""
        return list(self.changes)[-1:]

    def full_document(self) -> DocumentChange:
        """Return the full document as a change of the empty one."""
        if not self.packed_full_document:
            self.packed_full_document = make_change((), self.lines)
        return DocumentChange(0, self.version, self.packed_full_document)


def packed_size(changes: list[DocumentChange]) -> int:
    """Return the compressed size of a list of changes."""
    return sum(len(change.packed) for change in changes)
