"""Notices that the settings file has changed, with or without a signal."""

from collections.abc import Callable
import os
import signal

from circuits.core.components import BaseComponent
from circuits.core.handlers import handler
from returns.result import Failure
import structlog

from cyclamenlift.core.streams import Address
from cyclamenlift.membership.tasks import Membership
from cyclamenlift.platform.settings import Fields
from cyclamenlift.platform.settings import gossip_seeds
from cyclamenlift.platform.settings import PATH_VARIABLE
from cyclamenlift.platform.settings import read_fields

# The file may change without a signal; a look costs one system call.
LOOK_SECONDS = 2.0
LOG = structlog.get_logger('settings')


class SettingsWatch(BaseComponent):
    """Reads the file again on SIGHUP or when it has another time stamp."""

    channel = 'settings'

    def __init__(self, root, fields: Fields, apply: Callable[[Fields], None]):
        super().__init__(channel='settings')
        self.loop = root
        self.fields = fields
        self.apply = apply
        self.stamp = file_stamp()
        self.register(root)
        signal.signal(signal.SIGHUP, root._signal_handler)
        root.scheduler.every(LOOK_SECONDS, self.look)

    @handler('signal', channel='*')
    def _on_signal(self, event, number, _stack) -> None:
        if number == signal.SIGHUP:
            event.stop()
            self.reload('signal')

    def look(self) -> None:
        """Read the file if it is another than before."""
        if file_stamp() != self.stamp:
            self.reload('changed file')

    def reload(self, reason: str) -> None:
        """Take over what has changed; an unreadable file changes nothing."""
        self.stamp = file_stamp()
        found = read_fields()
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


def file_stamp() -> tuple[int, int]:
    """Return what changes with the file; zeros while it is not there."""
    try:
        status = os.stat(os.environ.get(PATH_VARIABLE, ''))
    except OSError:
        return 0, 0
    return status.st_mtime_ns, status.st_size


def take_seeds(membership: Membership, fields: Fields) -> None:
    """Let membership ask the seeds that the file names now."""
    seeds = [Address.parse(seed) for seed in gossip_seeds(fields)]
    membership.set_seeds(seeds)
