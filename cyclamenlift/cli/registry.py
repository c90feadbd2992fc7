"""The commands by name; each is a function that returns an exit status."""

from collections.abc import Callable
import enum
import functools

from cyclamenlift.core.registry import Registry


class ExitStatus(enum.IntEnum):
    """What the shell sees."""

    FINE = 0
    FAILED = 1
    WRONG_USE = 2


Command = Callable[..., ExitStatus]
COMMANDS: Registry[Command] = Registry('command')


def command(name: str) -> Callable[[Command], Command]:
    """Return a decorator that makes a function the command ``name``.

    ``event publish`` is the command ``publish`` in the group ``event``.
    Arguments reach the function as the strings that were typed.
    """
    return COMMANDS.register(name)


class Recorder:
    """Runs commands for fire and keeps the exit status of the last.

    fire prints what a function returns and looks for further commands in
    it, so it gets nothing back.
    """

    def __init__(self) -> None:
        self.status = ExitStatus.FINE

    def wrap(self, function: Command) -> Callable[..., None]:
        @functools.wraps(function)
        def run(*args, **flags) -> None:
            self.status = function(*args, **flags)

        return run

    def tree(self) -> dict:
        """Return the commands as fire wants them: groups are dicts."""
        root: dict = {}
        for name in COMMANDS:
            *groups, last = name.split()
            place = root
            for group in groups:
                place = place.setdefault(group, {})
            place[last] = self.wrap(COMMANDS.get(name))
        return root
