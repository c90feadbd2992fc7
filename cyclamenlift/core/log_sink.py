"""Writes log lines to a descriptor without ever waiting for its reader.

A reader of logs may stall, and a process that waits for it stops serving.
A pipe that polls as writable takes at least ``PIPE_BUF`` bytes, so pieces of
that size never block. What does not go out is kept up to a limit; beyond it
lines are left out and counted, and the count is written when there is room.
"""

from collections import deque
import json
import os
import select

# What a pipe that is ready for writing takes at once, in bytes (POSIX says
# 512 at least, this system has 4096).
PIECE_BYTES = select.PIPE_BUF
# Lines that are kept for a reader that stalls, in bytes: some seconds of a
# busy process, little against its memory.
KEPT_BYTES = 128 * 1024
STANDARD_OUTPUT = 1


class LogSink:
    """The one way out of log lines; ``msg`` is what structlog calls."""

    def __init__(self, descriptor: int = STANDARD_OUTPUT):
        self.descriptor = descriptor
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLOUT)
        self.waiting: deque[bytes] = deque()
        self.size = 0
        self.left_out = 0

    def msg(self, line: str) -> None:
        """Write a line now, keep it, or leave it out."""
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
        """Write what the reader takes now."""
        while self.waiting and self.is_writable():
            piece = self.next_piece()
            try:
                written = os.write(self.descriptor, piece)
            except OSError:
                # Nobody reads any more; there is no place to say so.
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
        """Take lines that fit into one write, or a part of a long one."""
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
    """Return the sink of this process, as structlog's factory."""
    return SINK
