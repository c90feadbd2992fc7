"""What an instance knows of evacuated data centres, and how it learns it.

States come from the replicated log, from answers to document requests and
with each packet of the membership protocol, in any order and repeatedly. The
one with the highest revision holds. All of them were committed before anyone
passed them on. A state is a few bytes, so it is sent whole.
"""

from collections.abc import Callable

import structlog

from cyclamenlift.membership.tasks import Membership
from cyclamenlift.wire.gen.protocol.ttypes import EvacuationState

# Members that a control instance, and a member that has just learned of a
# change, tell at once. All others learn it within a period of the membership
# protocol.
FIRST_FANOUT = 8
FORWARD_FANOUT = 4
MAX_NAMES = 64
MAX_NAME_LENGTH = 63
LOG = structlog.get_logger('evacuations')

EvacuationHook = Callable[[frozenset[str]], None]


class EvacuationView:
    """The newest known state."""

    def __init__(self) -> None:
        self.state: EvacuationState | None = None
        self.data_centres: frozenset[str] = frozenset()

    @property
    def revision(self) -> int:
        """The revision of the state, 0 before the first evacuation."""
        return self.state.revision if self.state else 0

    def note(self, state: EvacuationState | None) -> bool:
        """Adopt a newer state; return whether it is newer."""
        if not is_valid(state) or state.revision <= self.revision:
            return False
        self.state = state
        self.data_centres = frozenset(state.data_centres or ())
        return True


class EvacuationFollower:
    """Keeps the newest state in force on this instance and passes it on."""

    def __init__(self, unix_ms: Callable[[], int]):
        self.unix_ms = unix_ms
        self.view = EvacuationView()
        self.hooks: list[EvacuationHook] = []
        self.membership: Membership | None = None

    def subscribe(self, hook: EvacuationHook) -> None:
        """Call ``hook`` with the evacuated data centres when they change."""
        self.hooks.append(hook)

    def join(self, membership: Membership) -> None:
        """Exchange states with the members of the cluster."""
        self.membership = membership
        membership.subscribe_evacuations(self.note)

    def note(
        self,
        state: EvacuationState | None,
        source: str,
        fanout: int = FORWARD_FANOUT,
    ) -> None:
        """Put a state in force if it is newer, and tell other members."""
        if not self.view.note(state):
            return
        LOG.info(
            'evacuations_in_force',
            revision=self.view.revision,
            data_centres=sorted(self.view.data_centres),
            source=source,
            age_ms=self.unix_ms() - (state.changed_unix_ms or 0),
        )
        for hook in self.hooks:
            hook(self.view.data_centres)
        self.announce(fanout)

    def announce(self, fanout: int) -> None:
        """Tell some members now, and all with each packet from now on."""
        if self.membership is not None and self.view.state is not None:
            self.membership.spread_evacuations(self.view.state, fanout)


def is_valid(state: EvacuationState | None) -> bool:
    """Return whether a state from a peer has valid fields."""
    if state is None or not isinstance(state.revision, int):
        return False
    names = state.data_centres or ()
    return len(names) <= MAX_NAMES and all(map(is_name, names))


def is_name(name: object) -> bool:
    return isinstance(name, str) and 0 < len(name) <= MAX_NAME_LENGTH
