"""Registry of message handlers, by message type."""

from cyclamenlift.core.registry import Registry

# Filled by elections, leading, following and installing.
MESSAGE_HANDLERS: Registry = Registry('message')


class InvariantError(Exception):
    """A consensus invariant is violated; the replica must halt."""
