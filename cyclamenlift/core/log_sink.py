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
MAX_WRITE_BYTES = select.PIPE_BUF
# Size of the buffer for a stalled reader, in bytes: some seconds of output
# of a busy process, small compared to its memory.
MAX_BUFFERED_BYTES = 128 * 1024
STANDARD_OUTPUT = 1


class LogSink:
    """Output of all log lines; structlog calls ``msg``."""

    def __init__(self, descriptor: int = STANDARD_OUTPUT):
        self.descriptor = descriptor
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLOUT)
        self.buffer: deque[bytes] = deque()
        self.buffered_bytes = 0
        self.dropped = 0

    def msg(self, line: str) -> None:
        """Write, buffer or drop a line."""
        data = line.encode() + b'\n'
        if self.buffered_bytes + len(data) > MAX_BUFFERED_BYTES:
            self.dropped += 1
        else:
            self.buffer.append(data)
            self.buffered_bytes += len(data)
        self.flush()

    log = debug = info = warning = warn = error = critical = msg
    exception = fatal = msg

    def flush(self) -> None:
        """Write buffered data as far as possible without blocking."""
        while self.buffer and self.is_writable():
            chunk = self.next_chunk()
            try:
                written = os.write(self.descriptor, chunk)
            except OSError:
                # The reader is gone, so the error can't be logged either.
                self.discard_buffer()
                return
            self.buffered_bytes -= written
            if written < len(chunk):
                self.buffer.appendleft(chunk[written:])
        if self.dropped and not self.buffer:
            self.report_dropped()

    def is_writable(self) -> bool:
        ready = self.poll.poll(0)
        return bool(ready) and bool(ready[0][1] & select.POLLOUT)

    def next_chunk(self) -> bytes:
        """Remove and return lines that fit one write, or part of a line."""
        chunk = self.buffer.popleft()
        while self.buffer and len(chunk) + len(self.buffer[0]) <= (
            MAX_WRITE_BYTES
        ):
            chunk += self.buffer.popleft()
        if len(chunk) > MAX_WRITE_BYTES:
            self.buffer.appendleft(chunk[MAX_WRITE_BYTES:])
            chunk = chunk[:MAX_WRITE_BYTES]
        return chunk

    def report_dropped(self) -> None:
        count, self.dropped = self.dropped, 0
        line = {'event': 'log_lines_left_out', 'count': count}
        data = json.dumps(line).encode() + b'\n'
        self.buffer.append(data)
        self.buffered_bytes += len(data)

    def discard_buffer(self) -> None:
        self.buffer.clear()
        self.buffered_bytes = 0


SINK = LogSink()


def make_sink(*_arguments) -> LogSink:
    """Logger factory for structlog; returns the sink of the process."""
    return SINK
