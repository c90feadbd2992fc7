"""What targets said of themselves that has to outlive their gates.

An entry that passed on a target's limit is bound by it while the daemon
beside the target restarts. It returns what it was told with each call, so
that the new gate knows it before the target's first answer. Kept apart from
the estimates, which end with a member.
"""

import collections

from cyclamenlift.wire.gen.protocol.ttypes import TargetStatement

# Instances that are remembered: all of a large fleet.
MAX_STATEMENTS = 2_000


class TargetStatements:
    """The last statement of each target that made one, by instance."""

    def __init__(self) -> None:
        self.by_instance: collections.OrderedDict[str, TargetStatement] = (
            collections.OrderedDict()
        )

    def note(self, instance: str, statement: TargetStatement) -> None:
        """Remember what the target of an instance said last."""
        self.by_instance[instance] = statement
        self.by_instance.move_to_end(instance)
        while len(self.by_instance) > MAX_STATEMENTS:
            self.by_instance.popitem(last=False)

    def forget(self, instance: str) -> None:
        """Forget the statement of a target that makes none any more."""
        self.by_instance.pop(instance, None)

    def find(self, instance: str) -> TargetStatement | None:
        """Return what the target of an instance said last, if anything."""
        return self.by_instance.get(instance)
