"""The in-memory log and its durable index."""

from collections import deque

from cyclamenlift.wire.gen.protocol.ttypes import LogEntry

KIND_NO_OP = 0
KIND_COMMAND = 1
KIND_CONFIGURATION = 2


class Log:
    """Log entries after a base index that a snapshot covers.

    ``durable_index`` is the last entry synced on the local disk. Pending
    writes are tracked by ticket; truncating the log also lowers the index
    that they will make durable.
    """

    def __init__(self, base_index: int, base_term: int, entries):
        self.base_index = base_index
        self.base_term = base_term
        self.entries: list[LogEntry] = list(entries)
        self.writes: deque[tuple[int, int]] = deque()
        self.durable_index = self.last_index

    @property
    def last_index(self) -> int:
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, None if the entry is not in memory."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def after(self, index: int, limit: int, size: int) -> list[LogEntry]:
        """Return at most ``limit`` entries after ``index``.

        Stops when the commands reach ``size`` bytes, but returns at least
        one entry if there is one.
        """
        start = index - self.base_index
        chosen = []
        for entry in self.entries[start : start + limit]:
            chosen.append(entry)
            size -= len(entry.command)
            if size <= 0:
                break
        return chosen

    def between(self, after: int, last: int) -> list[LogEntry]:
        """Return the entries after ``after`` up to ``last``."""
        start = after - self.base_index
        return self.entries[start : last - self.base_index]

    def bytes_between(self, after: int, last: int) -> int:
        """Return the size of the commands after ``after`` up to ``last``."""
        return sum(len(e.command) for e in self.between(after, last))

    def start_of_tail(self, last: int, limit: int, size: int) -> int:
        """Return the index after which the entries up to ``last`` are few.

        They are at most ``limit``, with commands of ``size`` bytes at most.
        """
        index = last
        while index > max(self.base_index, last - limit):
            size -= len(self.entries[index - self.base_index - 1].command)
            if size < 0:
                break
            index -= 1
        return index

    def first_of_term(self, index: int) -> int:
        """Return the first known index of the term of entry ``index``."""
        term = self.term_at(index)
        while index - 1 > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def append(self, entries: list[LogEntry], ticket: int) -> None:
        """Append entries that are written with ``ticket``."""
        self.entries.extend(entries)
        self.writes.append((ticket, self.last_index))

    def truncate_from(self, index: int) -> None:
        """Remove the entries from ``index`` on."""
        del self.entries[index - self.base_index - 1 :]
        last = index - 1
        self.durable_index = min(self.durable_index, last)
        self.writes = deque((t, min(i, last)) for t, i in self.writes)

    def synced(self, ticket: int) -> None:
        """Advance the durable index after writes up to ``ticket``."""
        while self.writes and self.writes[0][0] <= ticket:
            index = self.writes.popleft()[1]
            self.durable_index = max(self.durable_index, index)

    def compact(self, index: int) -> None:
        """Remove the entries up to ``index``, which a snapshot covers."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        del self.entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def cover(self, index: int, ticket: int) -> None:
        """Compact up to a snapshot that is written with ``ticket``."""
        self.compact(index)
        self.writes.append((ticket, index))

    def reset(self, index: int, term: int, ticket: int) -> None:
        """Empty the log after a snapshot that is written with ``ticket``."""
        self.base_index = index
        self.base_term = term
        self.entries.clear()
        self.writes.clear()
        self.durable_index = 0
        self.writes.append((ticket, index))
