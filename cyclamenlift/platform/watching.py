"""Notices that the settings file has changed, with or without a signal."""

from collections.abc import Callable
import signal

from circuits.core.components import BaseComponent
from circuits.core.handlers import handler
from returns.result import Failure
import structlog

from cyclamenlift.core.streams import Address
from cyclamenlift.membership.tasks import Membership
from cyclamenlift.platform.settings import Fields
from cyclamenlift.platform.settings import file_stamp
from cyclamenlift.platform.settings import gossip_seeds
from cyclamenlift.platform.settings import read_fields

# The file may change without a signal; a look costs one system call.
LOOK_SECONDS = 2.0
LOG = structlog.get_logger('settings')


class SettingsWatch(BaseComponent):
    """Reads the file again on SIGHUP or when it has another time stamp."""

    channel = 'settings'

    def __init__(
        self,
        root,
        fields: Fields,
        stamp: tuple[int, int],
        apply: Callable[[Fields], None],
    ):
        super().__init__(channel='settings')
        self.loop = root
        self.fields = fields
        self.apply = apply
        # Of before the file was read: a change since then is noticed.
        self.stamp = stamp
        self.register(root)
        signal.signal(signal.SIGHUP, root._signal_handler)
        root.scheduler.after(0.0, self.look)
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


def take_seeds(membership: Membership, fields: Fields) -> None:
    """Let membership ask the seeds that the file names now."""
    seeds = [Address.parse(seed) for seed in gossip_seeds(fields)]
    membership.set_seeds(seeds)
