"""Closing of a caller's connection: lingering close, timeout, reset."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

from cyclamenlift.core.problems import Problem
from cyclamenlift.core.streams import Stream
from cyclamenlift.http.deadline import MovingDeadline
from cyclamenlift.http.exchange import CLOSE
from cyclamenlift.http.response import problem_body
from cyclamenlift.http.response import problem_headers
from cyclamenlift.http.response import problem_status
from cyclamenlift.http.response import response_head

if TYPE_CHECKING:
    from cyclamenlift.http.server import HttpServer

RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class ClosingConnection:
    """Base of a caller's connection that implements closing.

    ``lingering`` is set once the last response was written: further input
    is discarded until the caller closes too or ``linger_seconds`` pass.
    """

    __slots__ = ('deadline', 'lingering', 'last_pending', 'server', 'stream')

    def __init__(self, server: HttpServer, stream: Stream):
        self.server = server
        self.stream = stream
        self.lingering = False
        self.last_pending = 0
        self.deadline = MovingDeadline(server.root.scheduler, self.expire)

    def expire(self) -> None:
        """Handle the expired deadline of the connection."""
        raise NotImplementedError

    def refuse(self, problem: Problem) -> None:
        """Send an error response without an exchange, then close."""
        if self.lingering or not self.stream.open:
            return
        body = problem_body(problem)
        framing = [CLOSE, ('Content-Length', str(len(body)))]
        head = response_head(
            problem_status(problem),
            problem_headers(problem, self.server.dialect),
            framing,
        )
        self.stream.write(head + body)
        self.linger()

    def linger(self) -> None:
        """Close after all output was sent, while still reading input.

        Closing with unread input would make the kernel send a reset, which
        can destroy the response before the caller has read it.
        """
        if self.lingering or not self.stream.open:
            return
        self.lingering = True
        limits = self.server.limits
        self.stream.resume_reading()
        if self.stream.pending:
            self.deadline.set_after(limits.send_seconds)
        else:
            self.shut_down_output()

    def shut_down_output(self) -> None:
        """Shut down the sending side of the connection."""
        self.deadline.set_after(self.server.limits.linger_seconds)
        try:
            self.stream.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.stream.close()

    def check_send_progress(self) -> None:
        """Extend the deadline of a slow reader while it makes progress."""
        pending = self.stream.pending
        if not pending:
            self.stream.close()
        elif self.last_pending and pending >= self.last_pending:
            self.reset()
        else:
            self.last_pending = pending
            self.deadline.set_after(self.server.limits.send_seconds)

    def reset(self) -> None:
        """Reset the connection, so that no partial response is accepted."""
        self.deadline.cancel()
        if not self.stream.open:
            return
        self.stream.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )
        self.stream.close()
