"""The newest document of a process and the steps that led to it."""

import collections

from cyclamenlift.events.changes import make_change
from cyclamenlift.models.lines import Lines
from cyclamenlift.wire.gen.protocol.ttypes import DocumentChange

# Who is further behind gets the whole document. Changes come 0.3 s apart in
# an ordinary storm, so these are nearly 5 s of it: ten pulls that failed.
CHANGES_KEPT = 16
# A large document packed; the steps are kept in memory by every daemon.
CHANGE_BYTES_KEPT = 64 * 1024


class DocumentHistory:
    """Gives anybody what he lacks: the steps since his version, or all."""

    def __init__(self) -> None:
        self.version = 0
        self.lines: Lines = ()
        self.changes: collections.deque[DocumentChange] = collections.deque()
        # The whole document as one change, made when somebody asks for it.
        self.packed_whole = b''

    def put(self, version: int, lines: Lines, packed: bytes = b'') -> None:
        """Take a newer version; ``packed`` made it from the one before."""
        if self.version:
            packed = packed or make_change(self.lines, lines)
            change = DocumentChange(self.version, version, packed)
            self.changes.append(change)
        self.version = version
        self.lines = lines
        self.packed_whole = b''
        self.drop_oldest()

    def drop_oldest(self) -> None:
        while len(self.changes) > CHANGES_KEPT:
            self.changes.popleft()
        size = sum(len(change.packed) for change in self.changes)
        while size > CHANGE_BYTES_KEPT:
            size -= len(self.changes.popleft().packed)

    def since(self, known: int) -> list[DocumentChange]:
        """Return what leads from version ``known`` to the newest one."""
        if known >= self.version:
            return []
        steps = list(self.changes)
        for place, change in enumerate(steps):
            if change.base_version == known:
                return steps[place:]
        return [self.whole()]

    def last(self) -> list[DocumentChange]:
        """Return the newest step, nothing if there is none."""
        return list(self.changes)[-1:]

    def whole(self) -> DocumentChange:
        """Return the whole document as a change of nothing."""
        if not self.packed_whole:
            self.packed_whole = make_change((), self.lines)
        return DocumentChange(0, self.version, self.packed_whole)


def packed_size(changes: list[DocumentChange]) -> int:
    """Return the bytes that changes take when they travel."""
    return sum(len(change.packed) for change in changes)
