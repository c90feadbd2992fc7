"""The log in memory, and how much of it is synced."""

from collections import deque

from cyclamenlift.wire.gen.protocol.ttypes import LogEntry

KIND_NO_OP = 0
KIND_COMMAND = 1
KIND_CONFIGURATION = 2


class Log:
    """Entries after a base that a snapshot covers.

    ``durable_index`` is the last entry that is synced here. Writes that are
    under way are kept with their ticket; cutting the log also cuts what
    they will have made durable.
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
        """Return the term of an entry, None where it is not known."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def after(self, index: int, limit: int, size: int) -> list[LogEntry]:
        """Return at most ``limit`` entries after ``index``.

        Stops once the commands reach ``size`` bytes, but returns at least
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

    def first_of_term(self, index: int) -> int:
        """Return the first index whose term is that of ``index``."""
        term = self.term_at(index)
        while index - 1 > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def append(self, entries: list[LogEntry], ticket: int) -> None:
        """Add entries whose write goes under ``ticket``."""
        self.entries.extend(entries)
        self.writes.append((ticket, self.last_index))

    def truncate_from(self, index: int) -> None:
        """Drop the entries from ``index`` on."""
        del self.entries[index - self.base_index - 1 :]
        last = index - 1
        self.durable_index = min(self.durable_index, last)
        self.writes = deque((t, min(i, last)) for t, i in self.writes)

    def synced(self, ticket: int) -> None:
        """Note that everything written up to ``ticket`` is durable."""
        while self.writes and self.writes[0][0] <= ticket:
            index = self.writes.popleft()[1]
            self.durable_index = max(self.durable_index, index)

    def compact(self, index: int) -> None:
        """Forget the entries up to ``index``, which a snapshot covers."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        del self.entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def cover(self, index: int, ticket: int) -> None:
        """Compact up to a snapshot whose write goes under ``ticket``."""
        self.compact(index)
        self.writes.append((ticket, index))

    def reset(self, index: int, term: int, ticket: int) -> None:
        """Start after a snapshot whose write goes under ``ticket``."""
        self.base_index = index
        self.base_term = term
        self.entries.clear()
        self.writes.clear()
        self.durable_index = 0
        self.writes.append((ticket, index))
