"""Non-blocking output of log lines.

If the log reader stalls, a blocking write would stop the process from
serving. A pipe that polls as writable accepts at least ``PIPE_BUF`` bytes,
so writes of that size never block. Unwritten lines are buffered up to a
limit; further lines are dropped and counted, and the count is logged when
the buffer has drained.
"""

from collections import deque
import json
import os
import select

# Bytes that a writable pipe accepts at once (POSIX requires 512 or
# more, Linux has 4096).
PIECE_BYTES = select.PIPE_BUF
# Size of the buffer for a stalled reader, in bytes: some seconds of output
# of a busy process, small compared to its memory.
KEPT_BYTES = 128 * 1024
STANDARD_OUTPUT = 1


class LogSink:
    """Output of all log lines; structlog calls ``msg``."""

    def __init__(self, descriptor: int = STANDARD_OUTPUT):
        self.descriptor = descriptor
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLOUT)
        self.waiting: deque[bytes] = deque()
        self.size = 0
        self.left_out = 0

    def msg(self, line: str) -> None:
        """Write, buffer or drop a line."""
        data = line.encode() + b'\n'
        if self.size + len(data) > KEPT_BYTES:
            self.left_out += 1
        else:
            self.waiting.append(data)
            self.size += len(data)
        self.flush()

    log = debug = info = warning = warn = error = critical = msg
    exception = fatal = msg

    def flush(self) -> None:
        """Write buffered data as far as possible without blocking."""
        while self.waiting and self.is_writable():
            piece = self.next_piece()
            try:
                written = os.write(self.descriptor, piece)
            except OSError:
                # The reader is gone, so the error can't be logged either.
                self.forget()
                return
            self.size -= written
            if written < len(piece):
                self.waiting.appendleft(piece[written:])
        if self.left_out and not self.waiting:
            self.tell_left_out()

    def is_writable(self) -> bool:
        ready = self.poll.poll(0)
        return bool(ready) and bool(ready[0][1] & select.POLLOUT)

    def next_piece(self) -> bytes:
        """Remove and return lines that fit one write, or part of a line."""
        piece = self.waiting.popleft()
        while self.waiting and len(piece) + len(self.waiting[0]) <= (
            PIECE_BYTES
        ):
            piece += self.waiting.popleft()
        if len(piece) > PIECE_BYTES:
            self.waiting.appendleft(piece[PIECE_BYTES:])
            piece = piece[:PIECE_BYTES]
        return piece

    def tell_left_out(self) -> None:
        count, self.left_out = self.left_out, 0
        line = {'event': 'log_lines_left_out', 'count': count}
        data = json.dumps(line).encode() + b'\n'
        self.waiting.append(data)
        self.size += len(data)

    def forget(self) -> None:
        self.waiting.clear()
        self.size = 0


SINK = LogSink()


def make_sink(*_arguments) -> LogSink:
    """Logger factory for structlog; returns the sink of the process."""
    return SINK
