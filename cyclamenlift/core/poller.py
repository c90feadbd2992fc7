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
WAKEUP_READ_BYTES = 4096


@runtime_checkable
class DirectOwner(Protocol):
    """A component that is notified of socket readiness by method calls."""

    def on_poll_read(self, sock) -> None:
        """Called when ``sock`` is readable."""

    def on_poll_write(self, sock) -> None:
        """Called when ``sock`` is writable."""

    def on_poll_lost(self, sock) -> None:
        """Called when the peer of ``sock`` is gone."""


class Registration:
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
        self.by_sock: dict[object, Registration] = {}
        self.by_descriptor: dict[int, Registration] = {}
        os.set_blocking(self._ctrl_recv, False)
        os.set_blocking(self._ctrl_send, False)
        self.epoll.register(self._ctrl_recv, select.EPOLLIN)

    # -- interface for owners ----------------------------------------------

    def addReader(self, source, fd) -> None:  # noqa: N802
        self.update_mask(source, fd, add=select.EPOLLIN)

    def addWriter(self, source, fd) -> None:  # noqa: N802
        self.update_mask(source, fd, add=select.EPOLLOUT)

    def removeReader(self, fd) -> None:  # noqa: N802
        self.update_mask(None, fd, remove=select.EPOLLIN)

    def removeWriter(self, fd) -> None:  # noqa: N802
        self.update_mask(None, fd, remove=select.EPOLLOUT)

    def isReading(self, fd) -> bool:  # noqa: N802
        registration = self.by_sock.get(fd)
        return registration is not None and bool(
            registration.mask & select.EPOLLIN
        )

    def isWriting(self, fd) -> bool:  # noqa: N802
        registration = self.by_sock.get(fd)
        return registration is not None and bool(
            registration.mask & select.EPOLLOUT
        )

    def discard(self, fd) -> None:
        """Unregister a socket. Must be called before it is closed."""
        registration = self.by_sock.pop(fd, None)
        if registration is None:
            return
        descriptor = fd.fileno()
        if self.by_descriptor.get(descriptor) is registration:
            del self.by_descriptor[descriptor]
            with contextlib.suppress(OSError):
                self.epoll.unregister(descriptor)

    def update_mask(self, source, fd, add: int = 0, remove: int = 0) -> None:
        """Update the event mask of ``fd``; an empty mask unregisters it."""
        registration = self.by_sock.get(fd)
        if registration is None:
            if not add:
                return
            registration = Registration(fd, source)
            registration.mask = add
            self.by_sock[fd] = registration
            self.by_descriptor[fd.fileno()] = registration
            self.epoll.register(fd.fileno(), add)
            return
        registration.mask = (registration.mask | add) & ~remove
        if registration.mask:
            self.epoll.modify(fd.fileno(), registration.mask)
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
            for descriptor, mask in ready:
                self.handle_ready(descriptor, mask)
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

    def handle_ready(self, descriptor: int, mask: int) -> None:
        """Notify the owner of one ready socket."""
        registration = self.by_descriptor.get(descriptor)
        if registration is None:
            if descriptor == self._ctrl_recv:
                self.drain_wakeups()
            return
        if not registration.direct:
            self.fire_circuits_events(registration, mask)
            return
        try:
            self.notify_owner(registration, mask)
        except Exception:
            # An error of one socket must not affect the other sockets.
            LOG.exception(
                'socket_failed', owner=str(registration.owner.channel)
            )
            registration.owner.on_poll_lost(registration.sock)

    def drain_wakeups(self) -> None:
        """Read the bytes that ``resume`` has written."""
        with contextlib.suppress(BlockingIOError):
            os.read(self._ctrl_recv, WAKEUP_READ_BYTES)

    def notify_owner(self, registration: Registration, mask: int) -> None:
        owner = registration.owner
        if mask == select.EPOLLIN:
            owner.on_poll_read(registration.sock)
            return
        if mask & LOST and not mask & select.EPOLLIN:
            owner.on_poll_lost(registration.sock)
            return
        if mask & select.EPOLLIN:
            owner.on_poll_read(registration.sock)
        if mask & select.EPOLLOUT:
            owner.on_poll_write(registration.sock)

    def fire_circuits_events(
        self, registration: Registration, mask: int
    ) -> None:
        """Fire the events that a poller of circuits would fire."""
        channel = registration.owner.channel
        if mask & LOST and not mask & select.EPOLLIN:
            self.discard(registration.sock)
            self.fire(_disconnect(registration.sock), channel)
            return
        if mask & select.EPOLLIN:
            self.fire(_read(registration.sock), channel)
        if mask & select.EPOLLOUT:
            self.fire(_write(registration.sock), channel)
