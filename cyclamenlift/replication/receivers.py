"""The registry of what receives each kind of message."""

from cyclamenlift.core.registry import Registry

# Filled by the modules that receive: elections, leading, following and
# installing.
RECEIVERS: Registry = Registry('message')


class InvariantError(Exception):
    """A rule that holds the log together is broken: stop, touch nothing."""
