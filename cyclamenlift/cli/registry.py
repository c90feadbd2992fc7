"""Registry of commands: functions that return an exit status."""

from collections.abc import Callable
import enum
import functools

from cyclamenlift.core.registry import Registry


class ExitStatus(enum.IntEnum):
    """Exit status of the process."""

    SUCCESS = 0
    FAILED = 1
    USAGE_ERROR = 2


Command = Callable[..., ExitStatus]
COMMANDS: Registry[Command] = Registry('command')


def command(name: str) -> Callable[[Command], Command]:
    """Return a decorator that registers a function as the command ``name``.

    ``event publish`` is the command ``publish`` in the group ``event``.
    The function receives its arguments as unparsed strings.
    """
    return COMMANDS.register(name)


class CommandRunner:
    """Wraps commands for fire and keeps the exit status of the last one.

    fire prints the return value of a function and looks up further commands
    in it, so the wrappers return nothing.
    """

    def __init__(self) -> None:
        self.status = ExitStatus.SUCCESS

    def wrap(self, function: Command) -> Callable[..., None]:
        @functools.wraps(function)
        def run(*args, **flags) -> None:
            self.status = function(*args, **flags)

        return run

    def command_tree(self) -> dict:
        """Return the commands as nested dicts, the form that fire expects."""
        root: dict = {}
        for name in COMMANDS:
            *groups, command_name = name.split()
            node = root
            for group in groups:
                node = node.setdefault(group, {})
            node[command_name] = self.wrap(COMMANDS.get(name))
        return root
