"""Reloads a settings file on SIGHUP or when the file has changed."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import signal

from circuits.core.components import BaseComponent
from circuits.core.handlers import handler
from returns.result import Failure
from returns.result import Result
import structlog

from cyclamenlift.core.problems import Problem

# Polling also detects changes without a signal and costs one system call.
POLL_SECONDS = 2.0
Fields = Mapping[str, str]
Stamp = tuple[int, int]
LOG = structlog.get_logger('settings')


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsFile:
    """Functions that read a file and return its modification stamp."""

    read: Callable[[], Result[Fields, Problem]]
    stamp: Callable[[], Stamp]


class SettingsWatcher(BaseComponent):
    """Reloads the file on SIGHUP or when its stamp has changed.

    ``stamp`` must be taken before ``fields`` are read, so that a change
    between the two is detected.
    """

    channel = 'settings'

    def __init__(
        self,
        root,
        file: SettingsFile,
        fields: Fields,
        stamp: Stamp,
        apply: Callable[[Fields], None],
    ):
        super().__init__(channel='settings')
        self.loop = root
        self.file = file
        self.fields = fields
        self.apply = apply
        self.stamp = stamp
        self.register(root)
        signal.signal(signal.SIGHUP, root._signal_handler)
        root.scheduler.after(0.0, self.check_file)
        root.scheduler.every(POLL_SECONDS, self.check_file)

    @handler('signal', channel='*')
    def _on_signal(self, event, number, _stack) -> None:
        if number == signal.SIGHUP:
            event.stop()
            self.reload('signal')

    def check_file(self) -> None:
        """Reload the file if its stamp has changed."""
        if self.file.stamp() != self.stamp:
            self.reload('changed file')

    def reload(self, reason: str) -> None:
        """Read the file and apply changes; ignore an unreadable file."""
        self.stamp = self.file.stamp()
        found = self.file.read()
        if isinstance(found, Failure):
            problem = found.failure().line()
            LOG.error('settings_unreadable', reason=reason, problem=problem)
            return
        fields = found.unwrap()
        changed = sorted(
            name
            for name in {*fields, *self.fields}
            if fields.get(name) != self.fields.get(name)
        )
        self.fields = fields
        LOG.info('settings_reloaded', reason=reason, changed=changed)
        if changed:
            self.apply(fields)
