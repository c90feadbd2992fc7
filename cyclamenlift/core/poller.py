"""An epoll poller that calls the owners of sockets without events.

The pollers of circuits fire one event for each ready socket and return to
the manager, which costs two events and an iteration of the manager for each
piece of input. This poller calls the owner of a ready socket directly, runs
the timers that are due, and polls again; it returns to circuits only when an
event is queued there. Owners that don't implement ``DirectOwner`` still get
the events of circuits.
"""

import contextlib
import os
import select
from typing import Protocol
from typing import runtime_checkable

from circuits.core.handlers import handler
from circuits.core.pollers import _disconnect
from circuits.core.pollers import _read
from circuits.core.pollers import _write
from circuits.core.pollers import BasePoller
import structlog

LOG = structlog.get_logger('poller')
LOST = select.EPOLLHUP | select.EPOLLERR
CONTROL_BYTES = 4096


@runtime_checkable
class DirectOwner(Protocol):
    """A component that is notified of socket readiness by method calls."""

    def on_poll_read(self, sock) -> None:
        """Called when ``sock`` is readable."""

    def on_poll_write(self, sock) -> None:
        """Called when ``sock`` is writable."""

    def on_poll_lost(self, sock) -> None:
        """Called when the peer of ``sock`` is gone."""


class Watched:
    """A registered socket, its owner and its event mask."""

    __slots__ = ('direct', 'mask', 'owner', 'sock')

    def __init__(self, sock, owner):
        self.sock = sock
        self.owner = owner
        self.mask = 0
        self.direct = isinstance(owner, DirectOwner)


class DirectPoller(BasePoller):
    """Poller that owns the epoll descriptor of the process."""

    channel = 'poller'

    def __init__(self, scheduler):
        super().__init__(channel='poller')
        self.scheduler = scheduler
        self.epoll = select.epoll()
        self.by_sock: dict[object, Watched] = {}
        self.by_number: dict[int, Watched] = {}
        os.set_blocking(self._ctrl_recv, False)
        os.set_blocking(self._ctrl_send, False)
        self.epoll.register(self._ctrl_recv, select.EPOLLIN)

    # -- interface for owners ----------------------------------------------

    def addReader(self, source, fd) -> None:  # noqa: N802
        self.change(source, fd, add=select.EPOLLIN)

    def addWriter(self, source, fd) -> None:  # noqa: N802
        self.change(source, fd, add=select.EPOLLOUT)

    def removeReader(self, fd) -> None:  # noqa: N802
        self.change(None, fd, remove=select.EPOLLIN)

    def removeWriter(self, fd) -> None:  # noqa: N802
        self.change(None, fd, remove=select.EPOLLOUT)

    def isReading(self, fd) -> bool:  # noqa: N802
        watched = self.by_sock.get(fd)
        return watched is not None and bool(watched.mask & select.EPOLLIN)

    def isWriting(self, fd) -> bool:  # noqa: N802
        watched = self.by_sock.get(fd)
        return watched is not None and bool(watched.mask & select.EPOLLOUT)

    def discard(self, fd) -> None:
        """Unregister a socket. Must be called before it is closed."""
        watched = self.by_sock.pop(fd, None)
        if watched is None:
            return
        number = fd.fileno()
        if self.by_number.get(number) is watched:
            del self.by_number[number]
            with contextlib.suppress(OSError):
                self.epoll.unregister(number)

    def change(self, source, fd, add: int = 0, remove: int = 0) -> None:
        """Update the event mask of ``fd``; an empty mask unregisters it."""
        watched = self.by_sock.get(fd)
        if watched is None:
            if not add:
                return
            watched = Watched(fd, source)
            watched.mask = add
            self.by_sock[fd] = watched
            self.by_number[fd.fileno()] = watched
            self.epoll.register(fd.fileno(), add)
            return
        watched.mask = (watched.mask | add) & ~remove
        if watched.mask:
            self.epoll.modify(fd.fileno(), watched.mask)
        else:
            self.discard(fd)

    def resume(self) -> None:
        """Wake the poller after another thread has fired an event."""
        with contextlib.suppress(BlockingIOError):
            os.write(self._ctrl_send, b'\0')

    # -- the loop -----------------------------------------------------------

    @handler('generate_events', priority=-9, override=True)
    def _on_generate_events(self, event) -> None:
        event.stop()
        root = self.root
        while True:
            ready = self.poll(event)
            for number, mask in ready:
                self.serve(number, mask)
            if not root.running or len(root._queue) or root._tasks:
                return
            if event.time_left >= 0:
                # The manager asked for a bounded wait, which is over.
                return

    def poll(self, event) -> list[tuple[int, int]]:
        """Wait for ready sockets, at most until the next timer is due."""
        timeout = event.time_left
        due = self.scheduler.run_due()
        if len(self.root._queue):
            timeout = 0
        elif due is not None and (timeout < 0 or due < timeout):
            timeout = due
        return self.epoll.poll(timeout)

    def serve(self, number: int, mask: int) -> None:
        """Notify the owner of one ready socket."""
        watched = self.by_number.get(number)
        if watched is None:
            if number == self._ctrl_recv:
                self.clear_wake_up()
            return
        if not watched.direct:
            self.fire_stock(watched, mask)
            return
        try:
            self.call_owner(watched, mask)
        except Exception:
            # An error of one socket must not affect the other sockets.
            LOG.exception('socket_failed', owner=str(watched.owner.channel))
            watched.owner.on_poll_lost(watched.sock)

    def clear_wake_up(self) -> None:
        """Read the bytes that ``resume`` has written."""
        with contextlib.suppress(BlockingIOError):
            os.read(self._ctrl_recv, CONTROL_BYTES)

    def call_owner(self, watched: Watched, mask: int) -> None:
        owner = watched.owner
        if mask == select.EPOLLIN:
            owner.on_poll_read(watched.sock)
            return
        if mask & LOST and not mask & select.EPOLLIN:
            owner.on_poll_lost(watched.sock)
            return
        if mask & select.EPOLLIN:
            owner.on_poll_read(watched.sock)
        if mask & select.EPOLLOUT:
            owner.on_poll_write(watched.sock)

    def fire_stock(self, watched: Watched, mask: int) -> None:
        """Fire the events that a poller of circuits would fire."""
        channel = watched.owner.channel
        if mask & LOST and not mask & select.EPOLLIN:
            self.discard(watched.sock)
            self.fire(_disconnect(watched.sock), channel)
            return
        if mask & select.EPOLLIN:
            self.fire(_read(watched.sock), channel)
        if mask & select.EPOLLOUT:
            self.fire(_write(watched.sock), channel)
